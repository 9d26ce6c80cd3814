"""Followers of a relay."""

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
from guavalane_entry.relays.frames import encode_batch

PATH = "/changes"
# Time between two heartbeats of a relay, in seconds.
HEARTBEAT_S = 0.25
# A follower that lets this much wait, in bytes, is disconnected.
MAX_UNSENT_BYTES = 4 * 1024 * 1024


class RelayServer:
    """Passes on what this node reads from the object API.

    Args:
      timers: Timer service.
      loads: Function that returns the work of all nodes.
    """

    def __init__(
        self, timers: Timers, loads: Callable[[], tuple[EndpointWork, ...]]
    ) -> None:
        self._timers = timers
        self._loads = loads
        self._followers: dict[WebSocketResponse, asyncio.Transport] = {}
        self._versions: dict[str, str] = {}
        self._answered_s: dict[str, float] = {}

    @property
    def followers(self) -> int:
        """Nodes that follow this one."""
        return len(self._followers)

    def publish(self, kind: str, since: str, batch: ObjectBatch) -> None:
        """Passes on an answer of the object API."""
        self._versions[kind] = batch.version
        self._answered_s[kind] = self._timers.now()
        if self._followers:
            self._send(encode_batch(kind, since, batch))

    def lose(self, kind: str) -> None:
        """Notes that the object API does not answer about a kind."""
        if self._answered_s.pop(kind, None) is not None:
            self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Tells followers the age of what this node knows, and all work."""
        if self._followers:
            self._send(self._heartbeat())

    async def serve(self, request: BaseRequest) -> StreamResponse:
        """Serves one follower until its connection ends."""
        follower = WebSocketResponse(heartbeat=None)
        await follower.prepare(request)
        for kind, version in self._versions.items():
            start = encode_batch(kind, version, ObjectBatch((), version))
            await follower.send_bytes(start)
        await follower.send_bytes(self._heartbeat())
        self._followers[follower] = request.transport
        try:
            # Followers send nothing; this ends with their connection.
            async for _ in follower:
                pass
        finally:
            self._followers.pop(follower, None)
        return follower

    def _heartbeat(self) -> bytes:
        now_s = self._timers.now()
        return encode(
            RelayHeartbeat(
                ages=tuple(
                    RelayAge(kind=kind, age_ms=int((now_s - at_s) * 1000))
                    for kind, at_s in self._answered_s.items()
                ),
                loads=self._loads(),
            )
        )

    def _send(self, frame: bytes) -> None:
        for follower, transport in list(self._followers.items()):
            if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                del self._followers[follower]
                transport.abort()
            else:
                task = asyncio.ensure_future(follower.send_bytes(frame))
                task.add_done_callback(_note_closed)


def _note_closed(task: asyncio.Future) -> None:
    # A follower whose connection broke finds another relay.
    error = None if task.cancelled() else task.exception()
    if error is not None:
        log.debug("relays: a follower has left: {!r}", error)
