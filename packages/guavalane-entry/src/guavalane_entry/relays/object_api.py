"""Object API whose changes may come from a relay."""

from __future__ import annotations

from collections.abc import Collection

from guavalane_core.exceptions import ObjectApiError
from guavalane_core.objects import ObjectBatch, PollableObjectApi, StoredObject
from guavalane_core.timers import Timers
from guavalane_entry.relays.link import RelayLink
from guavalane_entry.relays.server import RelayServer

# Wait of a relay's call about an urgent kind, in seconds. Its answer shows the
# followers that the object API still serves the relay.
RELAY_WAIT_S = 1.0
# Wait of a call that only fetches what is there, in seconds.
SHORTEST_WAIT_S = 0.001


class RelayedObjectApi:
    """Reads lists from the object API, and changes from a relay if it can.

    A node that others follow reads the object API itself and passes on what it
    reads.

    Args:
      api: Object API.
      link: Connection to a relay.
      server: Followers of this node.
      urgent: Kinds whose changes must not come late.
      timers: Timer service.
    """

    def __init__(
        self,
        api: PollableObjectApi,
        link: RelayLink,
        server: RelayServer,
        urgent: Collection[str],
        timers: Timers,
    ) -> None:
        self._api = api
        self._link = link
        self._server = server
        self._urgent = urgent
        self._timers = timers

    async def list(self, kind: str) -> tuple[list[StoredObject], str]:
        """Returns all objects of a kind; see `ObjectApi`."""
        objects, version = await self._api.list(kind)
        # What followers know ends here: the changes before were not read.
        self._server.publish(kind, version, ObjectBatch((), version))
        return objects, version

    async def poll(self, kind: str, version: str, wait_s: float) -> ObjectBatch:
        """Waits for changes of a kind; see `PollableObjectApi`."""
        end_s = self._timers.now() + wait_s
        urgent = kind in self._urgent
        while not self._is_direct():
            if not self._link.covers(kind, version, urgent=urgent):
                break
            batch = self._link.changes(kind, version)
            left_s = end_s - self._timers.now()
            if batch.events or left_s <= 0:
                return batch
            await self._link.wait(kind, left_s)
        return await self._poll_directly(kind, version, wait_s)

    def _is_direct(self) -> bool:
        return self._server.followers > 0 or self._link.is_relay()

    async def _poll_directly(
        self, kind: str, version: str, wait_s: float
    ) -> ObjectBatch:
        if self._is_direct():
            if kind in self._urgent:
                wait_s = min(wait_s, RELAY_WAIT_S)
        elif self._link.is_ahead(kind, version, urgent=kind in self._urgent):
            # Catches up with what the relay tells.
            wait_s = SHORTEST_WAIT_S
        try:
            batch = await self._api.poll(kind, version, wait_s)
        except ObjectApiError:
            self._server.lose(kind)
            raise
        self._server.publish(kind, version, batch)
        return batch
