"""Orders endpoints of services within their bounds."""

from __future__ import annotations

from guavalane_core.leases import LeaseHolder
from guavalane_entry.gateway.duties import DUTIES, DutyContext


@DUTIES.register("replicas")
class ReplicaDuty:
    """Orders the endpoints that the planner asks for.

    Args:
      context: What duties work with.
    """

    def __init__(self, context: DutyContext) -> None:
        self._context = context

    async def step(self, lease: LeaseHolder) -> None:
        """Orders what is missing."""
