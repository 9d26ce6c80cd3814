"""Interface of the platform's calls that one node makes at a time."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from guavalane_core.exceptions import GuavalaneError


class CloudError(GuavalaneError):
    """The platform did not take a call, or its answer was lost."""

    code = "cloud_unavailable"
    status = 503


class NoneAvailableError(CloudError):
    """The platform has no such endpoints in the zone at the moment."""

    code = "none_available"
    status = 409


class Cloud(Protocol):
    """Calls of the platform. Each carries the caller's fencing number."""

    async def report_usage(
        self, fencing_number: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Reports the requests of each organisation in one window.

        Raises:
          CloudError: The call may not have taken effect.
        """

    async def order_replicas(
        self,
        fencing_number: int,
        service: str,
        zone: str,
        count: int,
        *,
        reclaimable: bool,
    ) -> None:
        """Orders a number of endpoints of a service in a zone.

        Raises:
          NoneAvailableError: There are none at the moment.
          CloudError: The call may not have taken effect.
        """
