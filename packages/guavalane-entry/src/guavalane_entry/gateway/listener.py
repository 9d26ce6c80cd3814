"""HTTP servers for callers, readiness checks and metrics."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

from aiohttp.http import HttpVersion11
from aiohttp.http_parser import HttpRequestParser
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server
from loguru import logger as log

from guavalane_core.forwarding import CallerLimits, CallerRequest
from guavalane_core.limits.body_memory import (
    ORDINARY_BODY_BYTES,
    Eviction,
    HeldBody,
)
from guavalane_core.limits.connections import CallerConnections
from guavalane_core.timers import Subscription, Timers
from guavalane_entry.caller_bounds import (
    CHECK_PERIOD_S,
    LINGERING_TIME_S,
    RETRY_AFTER_S,
    BodyEvictedError,
    BodySizeError,
    CallerBounds,
)
from guavalane_entry.caller_socket import bind_caller_socket
from guavalane_entry.gateway.codec import RequestCodec
from guavalane_entry.gateway.errors import (
    BodyTimeoutError,
    BodyTooLargeError,
    HeaderTooLargeError,
    MemoryShortError,
    RefusalError,
    StoppingError,
)
from guavalane_entry.gateway.problems import problem_of
from guavalane_entry.gateway.settings import Address
from guavalane_entry.gateway.stop_deadline import StopDeadline
from guavalane_entry.large_bodies import slices_of

# Length of the accept queue; all callers may connect at the same time after a
# simultaneous start.
BACKLOG = 1024
# Idle connections are kept for this multiple of the configured idle timeout, so
# that a caller that respects the timeout never uses a closing connection.
IDLE_TIMEOUT_FACTOR = 1.25
MAX_LINE_BYTES = 65_536
# A connection is not read while twice this number of bytes of its body, which
# are not in the account of bodies yet, wait for the handler.
READ_BUFFER_BYTES = 16_384
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
# Connections of the readiness address, and of the metrics. The platform and the
# operators open one each.
MAX_STATUS_CONNECTIONS = 32
# Time for connections to close on shutdown, in seconds. aiohttp treats 0 as no
# limit.
CLOSE_TIMEOUT_S = 0.1

Handler = Callable[[CallerRequest, "ConnectionReply"], Awaitable[None]]
StreamHandler = Callable[[BaseRequest], Awaitable[StreamResponse]]


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


class _ConnectionSet:
    """Set of connections that allows waiting until it is empty."""

    def __init__(self) -> None:
        self._connections: set[_CallerConnection] = set()
        self._empty = asyncio.Event()
        self._empty.set()

    def __len__(self) -> int:
        return len(self._connections)

    def __contains__(self, connection: _CallerConnection) -> bool:
        return connection in self._connections

    def add(self, connection: _CallerConnection) -> None:
        """Adds a connection."""
        self._connections.add(connection)
        self._empty.clear()

    def discard(self, connection: _CallerConnection) -> None:
        """Removes a connection if present."""
        self._connections.discard(connection)
        if not self._connections:
            self._empty.set()

    async def wait_empty(self) -> None:
        """Waits until the set is empty."""
        await self._empty.wait()


class _CallerConnection(RequestHandler):
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
        unanswered: _ConnectionSet,
        lingering: _ConnectionSet,
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


class _LimitedServer(Server):
    """Server whose connections use the limits in force when they open."""

    def __init__(
        self,
        handler: Callable[[BaseRequest], Awaitable[StreamResponse]],
        limits: Callable[[], CallerLimits],
        timers: Timers,
        unanswered: _ConnectionSet,
        lingering: _ConnectionSet,
        bounds: CallerBounds,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._lingering = lingering
        self._bounds = bounds
        self._limits = limits
        self._timers = timers
        self._unanswered = unanswered

    def __call__(self) -> _CallerConnection:
        limits = self._limits()
        return _CallerConnection(
            self._timers,
            self._unanswered,
            self._lingering,
            self._bounds,
            self,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            lingering_time=LINGERING_TIME_S,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
            access_log=None,
        )


class CallerListener:
    """Reads caller requests and passes them to a handler.

    Args:
      address: Address to listen on.
      codec: Header codec.
      timers: Timer service.
      limits: Function that returns the limits in force.
      handler: Function that handles a request.
      stop_deadline: Time left for requests while the node stops.
      bounds: Bounds on bodies and connections; by default those of a process
          whose size is unknown.
    """

    def __init__(
        self,
        address: Address,
        codec: RequestCodec,
        timers: Timers,
        limits: Callable[[], CallerLimits],
        handler: Handler,
        stop_deadline: StopDeadline,
        bounds: CallerBounds | None = None,
    ) -> None:
        self._address = address
        self._codec = codec
        self._timers = timers
        self._limits = limits
        self._handler = handler
        self._stop_deadline = stop_deadline
        self._bounds = bounds or CallerBounds(timers)
        self._closing = False
        self._unanswered = _ConnectionSet()
        self._lingering = _ConnectionSet()
        self._server: _LimitedServer | None = None
        self._sockets: asyncio.Server | None = None
        self._sweep: Subscription | None = None

    @property
    def active(self) -> int:
        """Number of requests that have no final response."""
        return len(self._unanswered)

    @property
    def connections(self) -> list[_CallerConnection]:
        """Open connections."""
        return self._server.connections

    async def start(self) -> None:
        """Starts listening."""
        self._server = _LimitedServer(
            self._serve,
            self._limits,
            self._timers,
            self._unanswered,
            self._lingering,
            self._bounds,
        )
        self._sweep = self._timers.call_every(
            CHECK_PERIOD_S, self._check_callers
        )
        self._sockets = await asyncio.get_running_loop().create_server(
            self._server,
            sock=bind_caller_socket(self._address.host, self._address.port),
            backlog=BACKLOG,
        )

    def close_after_responses(self) -> None:
        """Closes each connection after its next response."""
        self._closing = True

    async def drain(self, timeout_s: float) -> None:
        """Stops listening and waits for pending responses.

        Idle connections are closed at once. A request sent on one of them at
        the same time was not read, so the caller may safely send it elsewhere.
        A request whose bytes have arrived is answered, even if its handler has
        not started yet.

        Args:
          timeout_s: Maximum wait in seconds.
        """
        self._sockets.close()
        for connection in self._server.connections:
            if not connection.busy:
                connection.force_close()
        try:
            async with asyncio.timeout(timeout_s):
                await self._unanswered.wait_empty()
                # A close would keep a rejection from a caller that still sends.
                await self._lingering.wait_empty()
        except TimeoutError:
            log.warning(
                "listener: {} requests unfinished at shutdown", self.active
            )
            for connection in self._server.connections:
                connection.abort_response()
        self._sweep.cancel()
        await self._server.shutdown(CLOSE_TIMEOUT_S)

    def _check_callers(self) -> None:
        limits = self._limits()
        self._bounds.check(limits.idle_timeout_s)
        timeout_s = limits.header_timeout_s
        for connection in self._server.connections:
            if connection.header_age_s > timeout_s:
                log.info("listener: a header took over {} s", timeout_s)
                connection.time_out_header()

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        reply = ConnectionReply(request, lambda: self._closing)
        request.protocol.begin_request(reply)
        try:
            await self._answer(request, reply)
        finally:
            request.protocol.end_request(request.content)
        # aiohttp expects a response even for an aborted connection; it is
        # dropped.
        response = reply.response or Response(status=502)
        if self._closing:
            response.force_close()
        return response

    async def _answer(
        self, request: BaseRequest, reply: ConnectionReply
    ) -> None:
        held = self._bounds.open(request.content_length)
        try:
            caller_request = await self._receive(request, reply, held)
            if caller_request is not None:
                request.protocol.hold()
                await self._handler(caller_request, reply)
        finally:
            self._bounds.memory.close(held)

    async def _receive(
        self, request: BaseRequest, reply: ConnectionReply, held: HeldBody
    ) -> CallerRequest | None:
        """Reads a request; returns None if it was rejected."""
        try:
            async with self._stop_deadline.limit():
                return await self._read(request, held)
        except TimeoutError:
            error = StoppingError("the node stops before the body has arrived")
        except (BodyTimeoutError, MemoryShortError) as refusal:
            reply.close_after_response()
            error = refusal
        except RefusalError as refusal:
            error = refusal
        await reply.send_response(*problem_of(error))
        return None

    async def _read(
        self, request: BaseRequest, held: HeldBody
    ) -> CallerRequest:
        arrived_s = self._timers.now()
        limits = self._limits()
        raw_headers = request.raw_headers
        size = sum(len(name) + len(value) + 4 for name, value in raw_headers)
        if size + len(request.raw_path) > limits.header_bytes:
            raise HeaderTooLargeError("the header is too large")
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in raw_headers
        ]
        body = await self._read_body(request, held, limits)
        return self._codec.read(
            request.method,
            request.headers.get("Host", ""),
            request.raw_path,
            headers,
            body,
            arrived_s,
        )

    async def _read_body(
        self, request: BaseRequest, held: HeldBody, limits: CallerLimits
    ) -> bytes | bytearray:
        if not request.can_read_body:
            return b""
        if (request.content_length or 0) > limits.body_bytes:
            raise BodyTooLargeError("the body is too large")
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            return await self._bounds.collect(
                held, request.content.readany, limits.body_bytes
            )
        except BodySizeError as error:
            raise BodyTooLargeError("the body is too large") from error
        except BodyEvictedError as error:
            if error.reason is Eviction.STALLED:
                raise BodyTimeoutError(
                    f"no part of the body arrived for {limits.idle_timeout_s} s"
                ) from error
            raise MemoryShortError(
                "the memory for bodies is used up", RETRY_AFTER_S
            ) from error


class _StatusConnection(RequestHandler):
    """Connection of a status listener, of which there are few.

    Args:
      connections: Open connections of the listener.
      arguments: Arguments of the base class.
    """

    def __init__(
        self,
        connections: CallerConnections[_StatusConnection],
        *arguments: Any,
        **named: Any,
    ) -> None:
        super().__init__(*arguments, **named)
        self._connections = connections

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts a connection, and closes one if there are too many."""
        super().connection_made(transport)
        excess = self._connections.open(self, self._loop.time())
        if excess is not None and excess.transport is not None:
            excess.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Processes bytes of a request."""
        self._connections.on_progress(self)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection."""
        self._connections.close(self)
        super().connection_lost(exc)


class _StatusServer(Server):
    """Server that closes the connection that was idle for longest.

    Args:
      handler: Handles a request.
      max_connections: Number of connections.
    """

    def __init__(
        self,
        handler: Callable[[BaseRequest], Awaitable[StreamResponse]],
        max_connections: int,
    ) -> None:
        super().__init__(handler)
        self._limited: CallerConnections[_StatusConnection] = CallerConnections(
            max_connections
        )

    def __call__(self) -> _StatusConnection:
        return _StatusConnection(
            self._limited,
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
        )


class StatusListener:
    """Serves short texts on a fixed set of paths.

    Args:
      address: Address to listen on.
      paths: Functions that return status and body, by path.
      streams: Functions that serve long-lived requests, by path.
      max_connections: Number of connections; None for no limit, between nodes.
    """

    def __init__(
        self,
        address: Address,
        paths: Mapping[str, Callable[[], tuple[int, bytes]]],
        streams: Mapping[str, StreamHandler] | None = None,
        max_connections: int | None = MAX_STATUS_CONNECTIONS,
    ) -> None:
        self._max_connections = max_connections
        self._address = address
        self._paths = paths
        self._streams = streams or {}
        self._server: Server | None = None
        self._sockets: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening."""
        if self._max_connections is None:
            self._server = Server(self._serve, access_log=None)
        else:
            self._server = _StatusServer(self._serve, self._max_connections)
        self._sockets = await asyncio.get_running_loop().create_server(
            self._server, self._address.host, self._address.port
        )

    async def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self._sockets is not None:
            self._sockets.close()
            await self._server.shutdown(CLOSE_TIMEOUT_S)

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        stream = self._streams.get(request.path)
        if stream is not None:
            return await stream(request)
        answer = self._paths.get(request.path)
        if answer is None or request.method != "GET":
            return Response(status=404)
        status, body = answer()
        return Response(status=status, body=body)
