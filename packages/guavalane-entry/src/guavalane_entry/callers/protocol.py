"""HTTP connections of sanic with bounds on what callers hold."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from typing import Any

from sanic import Request
from sanic.exceptions import BadRequest, PayloadTooLarge
from sanic.http import Http, Stage
from sanic.server.protocols.http_protocol import HttpProtocol

from guavalane_core.exceptions import BodyTimeoutError, MemoryShortError
from guavalane_core.limits.body_memory import Eviction
from guavalane_entry.caller_bounds import (
    LINGERING_TIME_S,
    BodyEvictedError,
    BodySizeError,
    CallerBounds,
)


class LingeringHttp(Http):
    """HTTP of a connection that is read for a short time after a rejection.

    Closing a connection with unread bytes resets it, and the response may not
    reach the caller, who still sends.
    """

    async def error_response(self, exception: Exception) -> None:
        """Responds to an error."""
        is_in_head = self.stage is Stage.REQUEST
        await super().error_response(exception)
        if is_in_head:
            # Makes the base class read on, although no body is known.
            self.request_body = self.request_body or "unknown"

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Discards the rest of a request; the base class iterates for it.

        The connection is kept if the rest ends in time.
        """
        keeps = self.keep_alive
        self.request_max_size = math.inf
        try:
            async with asyncio.timeout(LINGERING_TIME_S):
                await self._discard()
        except TimeoutError:
            keeps = False
        self.keep_alive = keeps and not self.request_body
        self.request_body = None
        # Nothing is left to iterate; a yield makes this an async generator.
        for part in ():
            yield part

    async def _discard(self) -> None:
        """Reads a body to its end, or until the connection ends."""
        try:
            while self.request_body in (True, "chunked"):
                await self.read()
        except BadRequest:
            pass
        while self.request_body and not self.protocol.conn_info.lost:
            self.recv_buffer.clear()
            await self._receive_more()


class BoundedProtocol(HttpProtocol):
    """Connection of a caller; `app.ctx.bounds` are those of its process."""

    HTTP_CLASS = LingeringHttp

    @property
    def bounds(self) -> CallerBounds:
        """Bounds on what callers hold."""
        return self.app.ctx.bounds

    def _setup(self) -> None:
        super()._setup()
        self.request_handler = self._handle_request

    def connection_made(self, transport: Any) -> None:
        """Counts a connection, and closes one if there are too many."""
        super().connection_made(transport)
        excess = self.bounds.open_connection(self)
        if excess is not None and excess.transport is not None:
            excess.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Processes bytes from a caller."""
        self.bounds.connections.on_progress(self)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection."""
        self.bounds.connections.close(self)
        super().connection_lost(exc)

    async def _handle_request(self, request: BoundedRequest) -> None:
        """Counts the body of a request until the request has ended."""
        bounds = self.bounds
        request.held = bounds.open(request.stream.request_bytes)
        if not request.stream.request_body:
            bounds.connections.hold(self)
        try:
            await self.app.handle_request(request)
        finally:
            bounds.memory.close(request.held)
            bounds.connections.release(self)


class BoundedRequest(Request):
    """Request whose body is in the account of its process."""

    __slots__ = ("held",)

    async def receive_body(self) -> None:
        """Reads the body.

        Raises:
          PayloadTooLarge: The body exceeds its limit.
          BodyTimeoutError: No part of the body arrived in time.
          MemoryShortError: The memory for bodies is used up.
        """
        if self.body:
            return
        bounds = self.protocol.bounds
        max_bytes = self.stream.request_max_size
        try:
            body = await bounds.collect(self.held, self.stream.read, max_bytes)
        except BodySizeError as error:
            self.stream.keep_alive = False
            raise PayloadTooLarge(str(error)) from error
        except BodyEvictedError as error:
            self.stream.keep_alive = False
            if error.reason is Eviction.STALLED:
                raise BodyTimeoutError(
                    "no part of the body arrived in time", not_run=True
                ) from error
            raise MemoryShortError(
                "the memory for bodies is used up", not_run=True
            ) from error
        bounds.connections.hold(self.protocol)
        self.body = bytes(body)
