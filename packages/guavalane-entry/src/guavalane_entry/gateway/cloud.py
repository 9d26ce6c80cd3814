"""Interface to the platform API, which only the duty holder calls."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from guavalane_core.exceptions import GuavalaneError


class CloudError(GuavalaneError):
    """A platform call failed, or its response was lost."""

    code = "cloud_unavailable"
    status = 503


class NoneAvailableError(CloudError):
    """The platform currently has no such endpoints in the zone."""

    code = "none_available"
    status = 409


class Cloud(Protocol):
    """Platform API. Each call carries the caller's fencing number."""

    async def report_usage(
        self, fencing_number: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Reports the request count of each organisation for one window.

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
          NoneAvailableError: The zone currently has no such endpoints.
          CloudError: The call may not have taken effect.
        """
