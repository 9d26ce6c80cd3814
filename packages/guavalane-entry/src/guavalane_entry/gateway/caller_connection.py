"""Connections of callers, and responses on them."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Sequence
from typing import Any

from aiohttp.http import HttpVersion11
from aiohttp.http_parser import HttpRequestParser
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from loguru import logger as log

from guavalane_core.limits.body_memory import ORDINARY_BODY_BYTES
from guavalane_core.timers import Timers
from guavalane_entry.caller_bounds import LINGERING_TIME_S, CallerBounds
from guavalane_entry.large_bodies import slices_of

# Requests of a connection that are parsed while an earlier one is handled.
MAX_QUEUED_REQUESTS = 1
# Response to a header that took too long; the request was not processed.
HEADER_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
# Bytes without the end of a header after which a connection is closed; more
# than any configured limit. The HTTP library limits lines, not their sum.
MAX_HEADER_BYTES = 128 * 1024
HEADER_SIZE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class _UnframedResponse(StreamResponse):
    """Response whose body is delimited by the end of the connection."""

    # Makes aiohttp set neither Content-Length nor chunked encoding.
    _length_check = False


class ConnectionReply:
    """Response on the connection of one request.

    Args:
      request: Request object of aiohttp.
      is_closing: Function that returns whether connections are closed after
          their next response.
    """

    def __init__(
        self, request: BaseRequest, is_closing: Callable[[], bool]
    ) -> None:
        self._request = request
        self._is_closing = is_closing
        self._closes = False
        self._response: StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Whether the status line was sent."""
        return self._response is not None

    @property
    def response(self) -> StreamResponse | None:
        """Response object of aiohttp; None before the status is sent."""
        return self._response

    def close_after_response(self) -> None:
        """Makes the response announce the end of the connection."""
        self._closes = True

    async def send_response(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes | bytearray,
    ) -> None:
        """Sends a complete response."""
        response = self._make(StreamResponse(status=status), headers)
        response.content_length = len(body)
        await response.prepare(self._request)
        if len(body) <= ORDINARY_BODY_BYTES:
            await response.write_eof(body)
            return
        for part in slices_of(body):
            await response.write(part)
        await response.write_eof()

    async def start(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        *,
        framed: bool = True,
    ) -> None:
        """Sends the status and headers of a streamed response.

        HTTP/1.0 has no chunked encoding; there, the body ends with the
        connection.
        """
        if framed and self._request.version >= HttpVersion11:
            response = self._make(StreamResponse(status=status), headers)
            response.enable_chunked_encoding()
        else:
            response = self._make(_UnframedResponse(status=status), headers)
            response.force_close()
            self._set_reset_on_close(True)
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends part of the body."""
        await self._response.write(data)

    async def finish(self) -> None:
        """Marks the body as complete."""
        await self._response.write_eof()
        if isinstance(self._response, _UnframedResponse):
            await self._flush()
            self._set_reset_on_close(False)

    def abort(self) -> None:
        """Closes the connection, so that the response is seen as truncated."""
        transport = self._request.transport
        if transport is None:
            return
        if isinstance(self._response, _UnframedResponse):
            transport.abort()
        else:
            transport.close()

    async def _flush(self) -> None:
        """Waits until the kernel has taken all bytes of the response."""
        transport = self._request.transport
        if transport is not None:
            transport.set_write_buffer_limits(high=0)
            await self._request.writer.drain()

    def _set_reset_on_close(self, enabled: bool) -> None:
        """Sets whether the connection is reset when it is closed.

        An ordinary close marks the end of a body that nothing else delimits.
        The kernel closes the connections of a killed process as well.
        """
        transport = self._request.transport
        if transport is None:
            return
        linger = struct.pack("ii", int(enabled), 0)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _make(
        self,
        response: StreamResponse,
        headers: Sequence[tuple[str, str]],
    ) -> StreamResponse:
        for name, value in headers:
            response.headers.add(name, value)
        if self._closes or self._is_closing():
            response.force_close()
        self._response = response
        return response


class ConnectionSet:
    """Set of connections that allows waiting until it is empty."""

    def __init__(self) -> None:
        self._connections: set[CallerConnection] = set()
        self._empty = asyncio.Event()
        self._empty.set()

    def __len__(self) -> int:
        return len(self._connections)

    def __contains__(self, connection: CallerConnection) -> bool:
        return connection in self._connections

    def add(self, connection: CallerConnection) -> None:
        """Adds a connection."""
        self._connections.add(connection)
        self._empty.clear()

    def discard(self, connection: CallerConnection) -> None:
        """Removes a connection if present."""
        self._connections.discard(connection)
        if not self._connections:
            self._empty.set()

    async def wait_empty(self) -> None:
        """Waits until the set is empty."""
        await self._empty.wait()


class CallerConnection(RequestHandler):
    """Connection that tracks whether bytes of a request have arrived.

    aiohttp starts a handler in a later event loop step than the one that read
    the request, so a shutdown in between would treat the connection as idle.

    Args:
      timers: Timer service.
      unanswered: Connections with a request that has no final response. A
          connection adds and removes itself.
      lingering: Connections on which the rest of an answered request arrives.
          A connection adds and removes itself.
      bounds: Bounds on the connections.
      arguments: Arguments of the base class.
    """

    def __init__(
        self,
        timers: Timers,
        unanswered: ConnectionSet,
        lingering: ConnectionSet,
        bounds: CallerBounds,
        *arguments: Any,
        **named: Any,
    ) -> None:
        super().__init__(*arguments, **named)
        self._limit_pipeline(**named)
        self._bounds = bounds
        self._lingering = lingering
        self._timers = timers
        self._unanswered = unanswered
        self._header_since_s: float | None = None
        self._header_bytes = 0
        # Whether the response to an incomplete header was sent.
        self._is_rejected = False
        # Body of an answered request whose rest is discarded.
        self._discarded: StreamReader | None = None
        self._handled = False
        # Whether the header of a request was read whose handler has not
        # started.
        self._has_queued_request = False
        self._reply: ConnectionReply | None = None

    @property
    def busy(self) -> bool:
        """Whether a request has arrived partly or has no response."""
        return self in self._unanswered or self in self._lingering

    @property
    def header_age_s(self) -> float:
        """Time since the first byte of an incomplete header, in seconds."""
        if self._header_since_s is None:
            return 0.0
        return self._timers.now() - self._header_since_s

    def _limit_pipeline(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        max_line_size: int,
        max_field_size: int,
        read_bufsize: int,
        **_: Any,
    ) -> None:
        """Makes the parser wait while a request waits for its handler.

        aiohttp parses 32 requests in advance and has no parameter for this. The
        bytes of the others stay in the kernel, which limits them.
        """
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS - 1
        self._parser = HttpRequestParser(
            self,
            loop,
            read_bufsize,
            max_line_size=max_line_size,
            max_field_size=max_field_size,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts a connection, and closes one if there are too many."""
        super().connection_made(transport)
        excess = self._bounds.open_connection(self)
        if excess is not None and excess.transport is not None:
            excess.transport.abort()

    def pause_writing(self) -> None:
        """Records that the caller does not read its response."""
        super().pause_writing()
        self._bounds.on_unread(self)

    def resume_writing(self) -> None:
        """Records that the caller reads its response again."""
        super().resume_writing()
        self._bounds.connections.on_read(self)

    def data_received(self, data: bytes) -> None:
        """Processes bytes from a caller."""
        if self._is_rejected:
            return
        self._bounds.connections.on_progress(self)
        # The HTTP library passes no bytes when it resumes the parser.
        is_header = bool(data) and not self._discards()
        if is_header:
            self._unanswered.add(self)
        super().data_received(data)
        self._discards()
        if not (is_header or self._messages):
            return
        self._unanswered.add(self)
        if self._messages:
            self._has_queued_request = True
        if self._handled or self._has_queued_request:
            # A pause before its handler starts must not count as header time:
            # the handler runs even if the connection was closed with 408.
            self._header_since_s = None
            self._header_bytes = 0
        else:
            self._receive_header(len(data))

    def _discards(self) -> bool:
        """Returns whether the rest of an answered request still arrives."""
        if self._discarded is not None and self._discarded.is_eof():
            self._discarded = None
            self._lingering.discard(self)
        return self._discarded is not None

    def _receive_header(self, size_bytes: int) -> None:
        """Counts bytes of a header that is not complete."""
        if self._header_since_s is None:
            self._header_since_s = self._timers.now()
        self._header_bytes += size_bytes
        if self._header_bytes > MAX_HEADER_BYTES:
            log.info("listener: a header exceeds {} bytes", MAX_HEADER_BYTES)
            self._end_header(HEADER_SIZE_RESPONSE)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Discards a request that no handler has started."""
        self._bounds.connections.close(self)
        self._lingering.discard(self)
        super().connection_lost(exc)
        if not self._handled:
            self._unanswered.discard(self)

    def begin_request(self, reply: ConnectionReply) -> None:
        """Records that the handler of a request has started."""
        self._unanswered.add(self)
        self._handled = True
        self._has_queued_request = bool(self._messages)
        self._reply = reply
        self._header_since_s = None

    def hold(self) -> None:
        """Records that a request was read completely."""
        self._bounds.connections.hold(self)

    def abort_response(self) -> None:
        """Breaks off the response to the current request, if any."""
        if self._reply is not None:
            self._reply.abort()

    def end_request(self, body: StreamReader) -> None:
        """Records that a request was answered.

        Args:
          body: Body of the request.
        """
        if not body.is_eof() and self.transport is not None:
            self._discarded = body
            self._lingering.add(self)
        self._bounds.connections.release(self)
        self._handled = False
        self._reply = None
        if not self._has_queued_request or self.transport is None:
            self._unanswered.discard(self)

    def time_out_header(self) -> None:
        """Closes the connection with 408, as its header takes too long."""
        self._end_header(HEADER_TIMEOUT_RESPONSE)

    def _end_header(self, response: bytes) -> None:
        """Closes the connection with a response to an incomplete header.

        The caller may still send, and unread bytes would reset the connection,
        so what arrives is discarded for a short time.
        """
        self._header_since_s = None
        self._is_rejected = True
        self._unanswered.discard(self)
        if self.transport is None:
            return
        self.transport.write(response)
        self.transport.write_eof()
        self._timers.call_later(LINGERING_TIME_S, self.force_close)
