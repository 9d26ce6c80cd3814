"""HTTP client for endpoints."""

from __future__ import annotations

import contextlib
import contextvars
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
from yarl import URL

from guavalane_core.forwarding import Endpoint
from guavalane_entry.http_session import make_keepalive_socket, make_session

# Connect timeout in seconds. Endpoints are at most a few milliseconds away, so
# a slower one is down or unreachable.
CONNECT_TIMEOUT_S = 0.4
# Time for which idle connections are reused, in seconds. It is shorter for
# non-repeatable requests: if the endpoint closed the connection as the request
# was sent, the gateway could not tell whether the request ran.
REPEATABLE_IDLE_TIMEOUT_S = 8.0
NON_REPEATABLE_IDLE_TIMEOUT_S = 1.5
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
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    response: aiohttp.ClientResponse
    protocol: Any

    @property
    def framed(self) -> bool:
        """Whether the response headers delimit the body."""
        headers = self.response.headers
        return "Content-Length" in headers or "Transfer-Encoding" in headers

    def header(self, name: str) -> str | None:
        """Returns a header; None if it is missing."""
        return self.response.headers.get(name)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
          BrokenResponseError: The body is incomplete.
        """
        try:
            async for data in self.response.content.iter_any():
                yield data
        except (aiohttp.ClientError, OSError) as error:
            raise BrokenResponseError(repr(error)) from error
        # aiohttp treats a connection reset as the end of a body without a
        # length.
        if isinstance(self.protocol.exception(), OSError):
            raise BrokenResponseError("the connection was reset")

    async def read_whole(self) -> bytes:
        """Reads the complete body.

        Raises:
          BrokenResponseError: The body is incomplete or too large.
        """
        body = bytearray()
        async for data in self.chunks():
            body += data
            if len(body) > MAX_WHOLE_BODY_BYTES:
                raise BrokenResponseError("the body is too large")
        return bytes(body)


# Protocol of the connection that the current task acquired last. A response no
# longer exposes it once its body has ended.
_current_protocol: contextvars.ContextVar[Any] = contextvars.ContextVar(
    "current_protocol", default=None
)


class _CleanConnector(aiohttp.TCPConnector):
    """Connector that never reuses a connection with unread bytes.

    An endpoint may send bytes after a complete response while the connection
    is idle; aiohttp would parse them as the response to the next request.
    """

    async def connect(self, *args: Any, **kwargs: Any) -> Any:
        """Returns a connection; the arguments are those of the base class."""
        while True:
            connection = await super().connect(*args, **kwargs)
            if not connection.protocol.should_close:
                _current_protocol.set(connection.protocol)
                return connection
            connection.close()


class EndpointClient:
    """Sends requests to endpoints without retrying them."""

    def __init__(self) -> None:
        self._repeatable = _open_session(REPEATABLE_IDLE_TIMEOUT_S)
        self._non_repeatable = _open_session(NON_REPEATABLE_IDLE_TIMEOUT_S)

    async def close(self) -> None:
        """Closes all connections."""
        await self._repeatable.close()
        await self._non_repeatable.close()

    @contextlib.asynccontextmanager
    async def send(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        repeatable: bool,
    ) -> AsyncIterator[EndpointResponse]:
        """Sends a request and yields the response once its headers arrive.

        The connection is closed unless the complete response was read.

        Raises:
          NotSentError: No connection was established.
          BrokenResponseError: The connection broke, or the bytes are not
              an HTTP response.
        """
        session = self._repeatable if repeatable else self._non_repeatable
        url = URL(f"http://{endpoint.address}{target}", encoded=True)
        try:
            response = await session.request(
                method,
                url,
                headers=headers,
                data=body or None,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise NotSentError(repr(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise BrokenResponseError(repr(error)) from error
        try:
            yield EndpointResponse(
                response.status,
                tuple(
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in response.raw_headers
                ),
                response,
                _current_protocol.get(),
            )
        finally:
            # Closes the connection unless it was returned to the pool.
            response.close()


def _open_session(idle_s: float) -> aiohttp.ClientSession:
    connector = _CleanConnector(
        limit=0,
        keepalive_timeout=idle_s,
        socket_factory=make_keepalive_socket,
        use_dns_cache=False,
    )
    return make_session(
        connector=connector,
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
