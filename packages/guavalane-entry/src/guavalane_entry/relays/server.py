"""Server side of a relay."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_ws import WebSocketResponse
from loguru import logger as log

from guavalane_core.messages import (
    EndpointWork,
    RelayAge,
    RelayHeartbeat,
    encode,
)
from guavalane_core.objects import ObjectBatch
from guavalane_core.timers import Timers
from guavalane_entry.relays.frames import encode_batch, pack

PATH = "/changes"
# Interval between heartbeats of a relay.
HEARTBEAT_S = 0.25
# Unsent data above which a follower is disconnected.
MAX_UNSENT_BYTES = 4 * 1024 * 1024


class RelayServer:
    """Forwards changes read from the object API to the followers of a node.

    Args:
      timers: Timer service.
      loads: Returns the endpoint work reported by all nodes.
    """

    def __init__(
        self, timers: Timers, loads: Callable[[], tuple[EndpointWork, ...]]
    ) -> None:
        self._timers = timers
        self._loads = loads
        self._followers: dict[WebSocketResponse, asyncio.Transport] = {}
        self._versions: dict[str, str] = {}
        self._last_response_s: dict[str, float] = {}
        # Number and time of the lists by kind.
        self._lists: dict[str, tuple[int, float]] = {}

    @property
    def followers(self) -> int:
        """Number of nodes that follow this node."""
        return len(self._followers)

    def publish(self, kind: str, since: str, batch: ObjectBatch) -> None:
        """Sends a response of the object API to all followers."""
        self._versions[kind] = batch.version
        self._last_response_s[kind] = self._timers.now()
        if self._followers:
            self._send(encode_batch(kind, since, batch))

    def on_listed(self, kind: str, version: str) -> None:
        """Tells all followers that this node has listed a kind."""
        lists, _ = self._lists.get(kind, (0, 0.0))
        self._lists[kind] = (lists + 1, self._timers.now())
        self.publish(kind, version, ObjectBatch((), version))
        self.send_heartbeat()

    def mark_unavailable(self, kind: str) -> None:
        """Records that the object API does not respond for a kind."""
        if self._last_response_s.pop(kind, None) is not None:
            self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Sends the age of the data and the endpoint work to all followers."""
        if self._followers:
            self._send(self._heartbeat())

    async def serve(self, request: BaseRequest) -> StreamResponse:
        """Serves a follower until its connection is closed."""
        follower = WebSocketResponse(heartbeat=None)
        await follower.prepare(request)
        for kind, version in self._versions.items():
            start = encode_batch(kind, version, ObjectBatch((), version))
            await follower.send_bytes(start)
        await follower.send_bytes(self._heartbeat())
        self._followers[follower] = request.transport
        try:
            # Followers send nothing; the loop ends when the connection closes.
            async for _ in follower:
                pass
        finally:
            self._followers.pop(follower, None)
        return follower

    def _heartbeat(self) -> bytes:
        return encode(
            RelayHeartbeat(
                ages=tuple(
                    self._make_age(kind) for kind in self._last_response_s
                ),
                loads=self._loads(),
            )
        )

    def _make_age(self, kind: str) -> RelayAge:
        now_s = self._timers.now()
        lists, listed_s = self._lists.get(kind, (0, 0.0))
        return RelayAge(
            kind=kind,
            age_ms=int((now_s - self._last_response_s[kind]) * 1000),
            lists=lists,
            listed_ms=int((now_s - listed_s) * 1000),
        )

    def _send(self, frame: bytes) -> None:
        frame = pack(frame)
        for follower, transport in list(self._followers.items()):
            if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                del self._followers[follower]
                transport.abort()
            else:
                task = asyncio.ensure_future(follower.send_bytes(frame))
                task.add_done_callback(_log_send_error)


def _log_send_error(task: asyncio.Future) -> None:
    # A follower that lost its connection selects another relay.
    error = None if task.cancelled() else task.exception()
    if error is not None:
        log.debug("relays: connection to a follower failed: {!r}", error)
