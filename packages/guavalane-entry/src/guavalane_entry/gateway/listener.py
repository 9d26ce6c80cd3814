"""HTTP server for callers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server
from loguru import logger as log

from guavalane_core.forwarding import CallerLimits, CallerRequest
from guavalane_core.header_text import decode_header
from guavalane_core.limits.body_memory import (
    Eviction,
    HeldBody,
)
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
from guavalane_entry.gateway.caller_connection import (
    CallerConnection,
    ConnectionReply,
    ConnectionSet,
)
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
from guavalane_entry.http_heads import make_received_request

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
# Time for connections to close on shutdown, in seconds. aiohttp treats 0 as no
# limit.
CLOSE_TIMEOUT_S = 0.1

Handler = Callable[[CallerRequest, ConnectionReply], Awaitable[None]]


class _LimitedServer(Server):
    """Server whose connections use the limits in force when they open."""

    def __init__(
        self,
        handler: Callable[[BaseRequest], Awaitable[StreamResponse]],
        limits: Callable[[], CallerLimits],
        timers: Timers,
        unanswered: ConnectionSet,
        lingering: ConnectionSet,
        bounds: CallerBounds,
    ) -> None:
        super().__init__(
            handler,
            request_factory=make_received_request,
            handler_cancellation=True,
        )
        self._lingering = lingering
        self._bounds = bounds
        self._limits = limits
        self._timers = timers
        self._unanswered = unanswered

    def __call__(self) -> CallerConnection:
        limits = self._limits()
        return CallerConnection(
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
        self._unanswered = ConnectionSet()
        self._lingering = ConnectionSet()
        self._server: _LimitedServer | None = None
        self._sockets: asyncio.Server | None = None
        self._sweep: Subscription | None = None

    @property
    def active(self) -> int:
        """Number of requests that have no final response."""
        return len(self._unanswered)

    @property
    def connections(self) -> list[CallerConnection]:
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
            (decode_header(name), decode_header(value))
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
