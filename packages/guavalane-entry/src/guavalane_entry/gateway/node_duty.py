"""Removal of the entries of failed nodes."""

from __future__ import annotations

from guavalane_core.exceptions import ObjectNotFoundError
from guavalane_core.leases import LeaseHolder
from guavalane_entry.gateway.duties import DUTIES, DutyContext
from guavalane_entry.gateway.registration import NODE_KIND

# Time without a report after which the entry of a node is removed, in seconds.
# It is longer than a restart; a node that is still running registers again.
REMOVAL_DELAY_S = 15.0


@DUTIES.register("nodes")
class NodeDuty:
    """Removes nodes that no longer send reports from the list of nodes.

    Otherwise the share of a node that is gone in the inflow of each allotment
    and in the retry budget would stay unused.

    Args:
      context: Dependencies of duties.
    """

    def __init__(self, context: DutyContext) -> None:
        self._view = context.view
        self._api = context.api
        self._live = context.live
        self._log = context.log
        self._silent_since_s: dict[str, float] = {}

    async def step(self, lease: LeaseHolder) -> None:
        """Removes the entries that are due."""
        for name in self._due(self._view.timers.now()):
            lease.require()
            await self._remove(name)

    def _due(self, now_s: float) -> list[str]:
        peers = set(self._view.peers)
        silent = peers - set(self._live())
        if 2 * len(silent) > len(peers):
            # It is more likely that this node is partitioned than that most
            # others have failed.
            self._silent_since_s.clear()
            return []
        self._silent_since_s = {
            name: self._silent_since_s.get(name, now_s) for name in silent
        }
        return [
            name
            for name, since_s in self._silent_since_s.items()
            if now_s - since_s >= REMOVAL_DELAY_S
        ]

    async def _remove(self, name: str) -> None:
        try:
            stored = await self._api.get(NODE_KIND, name)
            await self._api.delete(NODE_KIND, name, stored.version)
        except ObjectNotFoundError:
            # An earlier attempt removed it, but its response was lost.
            pass
        self._silent_since_s.pop(name, None)
        self._log.event("node.forgotten", peer=name)
