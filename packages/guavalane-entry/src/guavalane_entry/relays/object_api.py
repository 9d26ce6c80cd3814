"""Object API client that can receive changes from a relay."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

from guavalane_core.exceptions import ObjectApiError, WatchGapError
from guavalane_core.objects import ObjectBatch, PollableObjectApi, StoredObject
from guavalane_core.timers import Timers
from guavalane_entry.relays.link import RelayLink
from guavalane_entry.relays.server import RelayServer

# Maximum age of the data of the most urgent kinds, in seconds, so that changes
# are applied within the shortest time limit of operators for their delay, 2 s.
# It is also the maximum wait of a poll: each response confirms that this node
# knows all changes, and a connection that went silent shows only in a missing
# response.
MAX_AGE_S = 1.6
# The same on a relay, whose data must reach its followers before it is too old.
MAX_RELAY_WAIT_S = 1.0
# The same as a part of the maximum age of a kind.
RELAY_WAIT_FRACTION = MAX_RELAY_WAIT_S / MAX_AGE_S
# Time from a response with changes to the next poll of a batched kind, in
# seconds. When all nodes of a fleet start, the entry of each would otherwise
# end the polls of all others at once. A node has to be known within about 1 s.
BATCH_PAUSE_S = 0.5
# Wait of a poll that only reads existing changes.
MIN_WAIT_S = 0.001


class RelayedObjectApi:
    """Reads lists from the object API, and changes from a relay if possible.

    A relay reads the object API itself and forwards changes to its followers.

    Args:
      api: Object API.
      link: Connection to a relay.
      server: Server for the followers of this node.
      urgent: Kinds whose changes must not be delayed, with the maximum age of
          their data in seconds.
      timers: Timer service.
      batched: Kinds whose changes are read from the object API in batches. The
          first change after a time without any is not delayed.
    """

    def __init__(
        self,
        api: PollableObjectApi,
        link: RelayLink,
        server: RelayServer,
        urgent: Mapping[str, float],
        timers: Timers,
        batched: Collection[str] = (),
    ) -> None:
        self._api = api
        self._link = link
        self._server = server
        self._urgent = urgent
        self._timers = timers
        self._batched = batched
        # Time of the last response with changes, by batched kind.
        self._changed_s: dict[str, float] = {}
        # Start of the last list of this node by kind.
        self._listed_s: dict[str, float] = {}

    async def list(self, kind: str) -> tuple[list[StoredObject], str]:
        """Returns all objects of a kind; see `ObjectApi`."""
        began_s = self._timers.now()
        objects, version = await self._api.list(kind)
        self._listed_s[kind] = began_s
        self._server.on_listed(kind, version)
        return objects, version

    async def poll(self, kind: str, version: str, wait_s: float) -> ObjectBatch:
        """Waits for changes of a kind; see `PollableObjectApi`.

        Raises:
          WatchGapError: The relay had to list the kind again, so that changes
              may be missing from what this node received.
        """
        end_s = self._timers.now() + wait_s
        max_age_s = self._max_age_s(kind)
        while not self._is_direct():
            listed_s = self._listed_s.get(kind, 0.0)
            if self._link.is_broken_since(kind, listed_s):
                raise WatchGapError(f"{kind}: the relay had to list it again")
            if not self._link.covers(kind, version, max_age_s=max_age_s):
                break
            batch = self._link.changes(kind, version)
            left_s = end_s - self._timers.now()
            if batch.events or left_s <= 0:
                return batch
            await self._link.wait(kind, left_s, max_age_s=max_age_s)
        pause_s = self._pause_s(kind)
        if pause_s > 0:
            await self._timers.sleep(pause_s)
            # A relay may provide the changes by now.
            left_s = max(MIN_WAIT_S, wait_s - pause_s)
            return await self.poll(kind, version, left_s)
        return await self._poll_directly(kind, version, wait_s)

    def _pause_s(self, kind: str) -> float:
        """Returns the time until a kind may be polled, in seconds."""
        due_s = self._changed_s.get(kind, -math.inf) + BATCH_PAUSE_S
        return due_s - self._timers.now()

    def _max_age_s(self, kind: str) -> float:
        """Returns the maximum age of the data of a kind; may be infinite."""
        return self._urgent.get(kind, math.inf)

    def _is_direct(self) -> bool:
        return self._server.followers > 0 or self._link.is_relay()

    async def _poll_directly(
        self, kind: str, version: str, wait_s: float
    ) -> ObjectBatch:
        max_age_s = self._max_age_s(kind)
        wait_s = min(wait_s, max_age_s)
        if self._is_direct():
            wait_s = min(wait_s, max_age_s * RELAY_WAIT_FRACTION)
        elif self._link.is_ahead(kind, version, max_age_s=max_age_s):
            # Reads the changes that the relay does not provide.
            wait_s = MIN_WAIT_S
        try:
            batch = await self._api.poll(kind, version, wait_s)
        except ObjectApiError:
            self._server.mark_unavailable(kind)
            raise
        if batch.events and kind in self._batched:
            self._changed_s[kind] = self._timers.now()
        self._server.publish(kind, version, batch)
        return batch
