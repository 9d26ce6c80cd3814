"""Removes the entries of nodes that are gone."""

from __future__ import annotations

from guavalane_core.exceptions import ObjectNotFoundError
from guavalane_core.leases import LeaseHolder
from guavalane_entry.gateway.duties import DUTIES, DutyContext
from guavalane_entry.gateway.registration import NODE_KIND

# Time without a report after which a node's entry is removed, in seconds. It
# is longer than a restart takes; a node that lives registers again.
FORGET_S = 15.0


@DUTIES.register("nodes")
class NodeDuty:
    """Keeps the list of nodes to those that are heard.

    A node that is gone for good would count for ever: its part of each
    allotment's inflow and of the retry budget would go unused.

    Args:
      context: What duties work with.
    """

    def __init__(self, context: DutyContext) -> None:
        self._view = context.view
        self._api = context.api
        self._live = context.live
        self._log = context.log
        self._silent_since_s: dict[str, float] = {}

    async def step(self, lease: LeaseHolder) -> None:
        """Removes entries that are due."""
        for name in self._due(self._view.timers.now()):
            lease.require()
            await self._remove(name)

    def _due(self, now_s: float) -> list[str]:
        peers = set(self._view.peers)
        silent = peers - set(self._live())
        if 2 * len(silent) > len(peers):
            # Rather this node is cut off than most others.
            self._silent_since_s.clear()
            return []
        self._silent_since_s = {
            name: self._silent_since_s.get(name, now_s) for name in silent
        }
        return [
            name
            for name, since_s in self._silent_since_s.items()
            if now_s - since_s >= FORGET_S
        ]

    async def _remove(self, name: str) -> None:
        try:
            stored = await self._api.get(NODE_KIND, name)
            await self._api.delete(NODE_KIND, name, stored.version)
        except ObjectNotFoundError:
            # An earlier attempt removed it, and its answer was lost.
            pass
        self._silent_since_s.pop(name, None)
        self._log.event("node.forgotten", peer=name)
