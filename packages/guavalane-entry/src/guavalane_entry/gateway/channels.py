"""HTTP connections to endpoints."""

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

# Time for a connection to come about, in seconds. Endpoints are at most a few
# milliseconds away, so a slower one is down or cut off.
CONNECT_TIMEOUT_S = 0.4
# Idle connections are used again for this time, in seconds. A request that may
# run once must not meet a connection that its endpoint is about to close, as
# nobody could tell then whether it ran.
REPEATABLE_IDLE_S = 8.0
ONCE_IDLE_S = 1.5
# Largest body that is read whole before it is passed on.
MAX_WHOLE_BODY_BYTES = 16 * 1024 * 1024


class NotSentError(Exception):
    """No connection came about; the endpoint has nothing of the request."""


class BrokenAnswerError(Exception):
    """The answer is missing, incomplete or not one to this request."""


@attrs.frozen(eq=False)
class EndpointAnswer:
    """Begin of an endpoint's answer.

    Attributes:
      status: HTTP status.
      headers: Headers in order.
      response: Answer of the HTTP library.
      protocol: Protocol of its connection.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    response: aiohttp.ClientResponse
    protocol: Any

    @property
    def framed(self) -> bool:
        """Whether the answer itself tells where its body ends."""
        headers = self.response.headers
        return "Content-Length" in headers or "Transfer-Encoding" in headers

    def header(self, name: str) -> str | None:
        """Returns a header; None if it is missing."""
        return self.response.headers.get(name)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
          BrokenAnswerError: The body is incomplete.
        """
        try:
            async for data in self.response.content.iter_any():
                yield data
        except (aiohttp.ClientError, OSError) as error:
            raise BrokenAnswerError(repr(error)) from error
        # The library takes a reset for the end of a body without a length.
        if isinstance(self.protocol.exception(), OSError):
            raise BrokenAnswerError("the connection was reset")

    async def read_whole(self) -> bytes:
        """Returns the whole body.

        Raises:
          BrokenAnswerError: The body is incomplete or too large.
        """
        body = bytearray()
        async for data in self.chunks():
            body += data
            if len(body) > MAX_WHOLE_BODY_BYTES:
                raise BrokenAnswerError("the body is too large")
        return bytes(body)


# Protocol of the connection that the running task was last given. A response
# does not tell it once its body has ended.
_current_protocol: contextvars.ContextVar[Any] = contextvars.ContextVar(
    "current_protocol", default=None
)


class _CleanConnector(aiohttp.TCPConnector):
    """Connector that never hands out a connection with unread bytes.

    An endpoint may send bytes after a complete answer while the connection is
    idle; the library would take them for the answer to the next request.
    """

    async def connect(self, *args: Any, **kwargs: Any) -> Any:
        """Returns a connection; arguments are those of the library."""
        while True:
            connection = await super().connect(*args, **kwargs)
            if not connection.protocol.should_close:
                _current_protocol.set(connection.protocol)
                return connection
            connection.close()


class EndpointChannels:
    """Sends requests to endpoints, each at most once by itself."""

    def __init__(self) -> None:
        self._repeatable = _open_session(REPEATABLE_IDLE_S)
        self._once = _open_session(ONCE_IDLE_S)

    async def close(self) -> None:
        """Closes all connections."""
        await self._repeatable.close()
        await self._once.close()

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
    ) -> AsyncIterator[EndpointAnswer]:
        """Sends a request and yields the begin of the answer.

        The connection is closed unless the whole answer was read.

        Raises:
          NotSentError: No connection came about.
          BrokenAnswerError: The connection broke, or the bytes are no answer.
        """
        session = self._repeatable if repeatable else self._once
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
            raise BrokenAnswerError(repr(error)) from error
        try:
            yield EndpointAnswer(
                response.status,
                tuple(
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in response.raw_headers
                ),
                response,
                _current_protocol.get(),
            )
        finally:
            # Closes the connection unless it went back to the pool.
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
