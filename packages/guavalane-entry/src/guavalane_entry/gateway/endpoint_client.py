"""HTTP client for endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
from yarl import URL

from guavalane_core.forwarding import Endpoint
from guavalane_core.header_text import decode_header
from guavalane_core.limits.body_memory import HeldBody
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import LoopTimers
from guavalane_entry.caller_bounds import (
    BodyEvictedError,
    BodySizeError,
    CallerBounds,
)
from guavalane_entry.gateway.settings import Address
from guavalane_entry.http_connection import (
    BoundedConnector,
    ResponseIdentity,
    current_protocol,
    expected_identity,
)
from guavalane_entry.http_heads import HeadRequest, exact_target
from guavalane_entry.http_session import make_keepalive_socket, make_session
from guavalane_entry.large_bodies import payload_of
from guavalane_entry.response_end import (
    Reachability,
    ResponseEnd,
    end_of,
    is_chunked,
    probe,
)

# Connect timeout in seconds. Endpoints are at most a few milliseconds away, so
# a slower one is down or unreachable.
CONNECT_TIMEOUT_S = 0.4
# Time for which idle connections are reused, in seconds. It is shorter for
# non-repeatable requests: if the endpoint closed the connection as the request
# was sent, the gateway could not tell whether the request ran.
REPEATABLE_IDLE_TIMEOUT_S = 8.0
NON_REPEATABLE_IDLE_TIMEOUT_S = 1.5
# Receive buffer of a connection to an endpoint in the kernel, in bytes. The
# event loop otherwise reads up to 256 KiB of each response before the account
# of bodies sees a byte.
RECEIVE_BUFFER_BYTES = 65_536
# Largest response body that is buffered before it is forwarded.
MAX_WHOLE_BODY_BYTES = 16 * 1024 * 1024


class NotSentError(Exception):
    """No connection was established; the endpoint received nothing."""


class BrokenResponseError(Exception):
    """The response is missing, incomplete or to another request."""


@attrs.frozen(eq=False)
class EndpointResponse:
    """Status and headers of an endpoint response, with access to its body.

    Attributes:
      status: HTTP status.
      headers: Headers in order of arrival.
      response: Response object of aiohttp.
      protocol: Protocol object of its connection.
      bounds: Bounds on the bodies that this node holds.
      held: Entry of the body among them.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    response: aiohttp.ClientResponse
    protocol: Any
    bounds: CallerBounds
    held: HeldBody

    @property
    def framed(self) -> bool:
        """Whether the response headers delimit the body."""
        has_length = "Content-Length" in self.response.headers
        return has_length or is_chunked(self.response)

    @property
    def end(self) -> ResponseEnd:
        """What ends the body."""
        return end_of(self.response)

    @property
    def is_attributable(self) -> bool:
        """Whether the response belongs to the request even without its ID.

        On a connection that was used before, it may be a late response to an
        earlier request.
        """
        return self.protocol.is_first_request

    @property
    def skipped_copies(self) -> int:
        """Late copies of other responses that came before this one."""
        return self.protocol.skipped_copies

    @property
    def connection(self) -> int:
        """Number of the connection in this process."""
        return self.protocol.number

    def header(self, name: str) -> str | None:
        """Returns a header; None if it is missing."""
        return self.response.headers.get(name)

    async def read_chunk(self) -> bytes | None:
        """Returns what has arrived of the body, or None at its end.

        It may be cancelled and called again without a loss of data.

        Raises:
          BrokenResponseError: The body is incomplete.
        """
        try:
            data = await self.response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise BrokenResponseError(repr(error)) from error
        return data or None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
          BrokenResponseError: The body is incomplete.
        """
        while (data := await self.read_chunk()) is not None:
            yield data

    async def read_whole(self) -> bytes:
        """Reads the complete body, which counts until `send` ends.

        Raises:
          BrokenResponseError: The body is incomplete or too large.
        """
        try:
            return await self.bounds.collect(
                self.held, self.read_chunk, MAX_WHOLE_BODY_BYTES
            )
        except (BodyEvictedError, BodySizeError) as error:
            raise BrokenResponseError(str(error)) from error


class EndpointClient:
    """Sends requests to endpoints without retrying them.

    Args:
      bounds: Bounds on the bodies that this node holds; by default those of a
          process whose size is unknown.
    """

    def __init__(self, bounds: CallerBounds | None = None) -> None:
        self._bounds = bounds or CallerBounds(LoopTimers())
        # Running checks by address of the endpoint.
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._repeatable = _open_session(REPEATABLE_IDLE_TIMEOUT_S)
        self._non_repeatable = _open_session(NON_REPEATABLE_IDLE_TIMEOUT_S)

    async def close(self) -> None:
        """Closes all connections."""
        await cancel_tasks(*self._checks.values())
        await self._repeatable.close()
        await self._non_repeatable.close()

    async def is_reachable(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint accepts a connection.

        Checks of the same endpoint at the same time share one connection.
        """
        check = self._checks.get(endpoint.address)
        if check is None:
            check = asyncio.create_task(self._accepts_connection(endpoint))
            self._checks[endpoint.address] = check
            check.add_done_callback(
                lambda _: self._checks.pop(endpoint.address, None)
            )
        return await asyncio.shield(check)

    async def _accepts_connection(self, endpoint: Endpoint) -> bool:
        return await self.probe(endpoint) is Reachability.ACCEPTS

    async def refuses_connections(self, endpoint: Endpoint) -> bool:
        """Returns whether nothing listens on an endpoint's port."""
        return await self.probe(endpoint) is Reachability.REFUSES

    async def probe(self, endpoint: Endpoint) -> Reachability:
        """Returns what a new connection to an endpoint shows."""
        try:
            address = Address.parse(endpoint.address)
        except ValueError:
            return Reachability.SILENT
        return await probe(address.host, address.port, CONNECT_TIMEOUT_S)

    @contextlib.asynccontextmanager
    async def send(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes | bytearray,
        *,
        repeatable: bool,
        identity: ResponseIdentity | None = None,
    ) -> AsyncIterator[EndpointResponse]:
        """Sends a request and yields the response once its headers arrive.

        The connection is closed unless the complete response was read.

        Args:
          endpoint: Endpoint.
          method: HTTP method.
          target: Path and query.
          headers: Headers in order.
          body: Body.
          repeatable: Whether the request may run more than once.
          identity: Identity of its response, if the endpoint marks responses.

        Raises:
          NotSentError: No connection was established.
          BrokenResponseError: The connection broke, or the bytes are not
              an HTTP response.
        """
        session = self._repeatable if repeatable else self._non_repeatable
        try:
            address = Address.parse(endpoint.address)
        except ValueError as error:
            raise NotSentError(repr(error)) from error
        url = URL(f"http://{address}", encoded=True)
        token = expected_identity.set(identity)
        try:
            with exact_target(target):
                response = await session.request(
                    method,
                    url,
                    headers=_unify_spelling(headers),
                    data=payload_of(body) or None,
                    allow_redirects=False,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise NotSentError(repr(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise BrokenResponseError(repr(error)) from error
        finally:
            expected_identity.reset(token)
        protocol = current_protocol.get()
        held = self._bounds.open(response.content_length, is_request=False)
        try:
            yield EndpointResponse(
                response.status,
                tuple(
                    (decode_header(name), decode_header(value))
                    for name, value in response.raw_headers
                ),
                response,
                protocol,
                self._bounds,
                held,
            )
        except BrokenResponseError:
            # The response may belong to another request, and its connection,
            # which is back in the pool if the body is empty, is out of step.
            protocol.close()
            raise
        finally:
            self._bounds.memory.close(held)
            # Closes the connection unless it was returned to the pool.
            response.close()


def _unify_spelling(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns headers whose equal names are spelled as in the first of them.

    aiohttp drops all earlier headers with a name that comes again in another
    letter case.
    """
    spellings: dict[str, str] = {}
    return [
        (spellings.setdefault(name.lower(), name), value)
        for name, value in headers
    ]


def _open_session(idle_s: float) -> aiohttp.ClientSession:
    connector = BoundedConnector(
        limit=0,
        keepalive_timeout=idle_s,
        socket_factory=functools.partial(
            make_keepalive_socket, receive_buffer_bytes=RECEIVE_BUFFER_BYTES
        ),
        use_dns_cache=False,
    )
    return make_session(
        connector=connector,
        request_class=HeadRequest,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            "User-Agent",
            "Accept",
            "Accept-Encoding",
            "Content-Type",
        ),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        max_line_size=65_536,
        max_field_size=65_536,
    )
