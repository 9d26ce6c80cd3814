"""Client connections that bound what a server may send."""

from __future__ import annotations

import asyncio
import contextvars
import errno
import functools
import itertools
import os
import socket
import ssl
from typing import Any

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage
from loguru import logger as log

# Bytes before the end of the response headers after which a connection is
# closed; also bytes of the framing of a body beyond a multiple of its size.
MAX_HEAD_BYTES = 256 * 1024
# Framing bytes per byte of a body. Chunks of one byte have five.
MAX_FRAMING_RATIO = 8
# Interim responses (1xx) before the final one.
MAX_INTERIM_RESPONSES = 16
# Late copies of other responses that are skipped before the response to a
# request, and the size of the body of one of them in bytes.
MAX_SKIPPED_COPIES = 4
MAX_SKIPPED_BODY_BYTES = 64 * 1024

# Identified requests after which a connection is closed, as it remembers each.
MAX_IDENTIFIED_REQUESTS = 1024

# Body of a response of another node or of the platform above which it is broken
# off, in bytes. The smallest nodes have 200 MB.
MAX_BODY_BYTES = 16 * 1024 * 1024

# Statuses outside this range are no HTTP responses.
MIN_STATUS = 100
MAX_STATUS = 599
NO_CLOSING_ALERT = "the TLS stream ended without a closing alert"

# Numbers of the connections of this process, for logs.
_numbers = itertools.count(1)

# Protocol of the connection that the current task acquired last. A response no
# longer exposes it once its body has ended.
current_protocol: contextvars.ContextVar[Any] = contextvars.ContextVar(
    "current_protocol", default=None
)


@attrs.frozen
class ResponseIdentity:
    """Header by which a server marks the response to a request.

    Attributes:
      header: Name of the header.
      value: Its value in the response to the request.
    """

    header: str
    value: str


# Identity of the response to the request that the current task sends next, if
# its server marks responses.
expected_identity: contextvars.ContextVar[ResponseIdentity | None] = (
    contextvars.ContextVar("expected_identity", default=None)
)


class BoundedResponseHandler(ResponseHandler):
    """Protocol that breaks off what is no complete response.

    A status outside 100 to 599 breaks the connection. A body without a length
    is complete only if the server ended the connection in order; aiohttp treats
    every end of the connection as the end of such a body.

    The parser limits lines and headers, but skips any number of blank lines
    before a response, interim responses, and digits and extensions of a chunk
    size.

    A server may send a copy of a response late, on a connection that is in use
    again. If responses are marked, a copy is skipped: the server still works on
    the request, which must not go on elsewhere. The mark of a request that is
    sent again tells nothing on a connection that has carried it before, so such
    a connection must not carry it again.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._number = next(_numbers)
        self._identity: ResponseIdentity | None = None
        self._skipped_copies = 0
        # Whether the body that is read belongs to a copy.
        self._is_skipping = False
        self._received = 0
        self._interim_responses = 0
        self._body: Any = None
        self._requests = 0
        # Whether the server has ended its stream in order, and the error found
        # when the event loop reported the end of a stream that was cut.
        self._has_ended = False
        self._cut: OSError | None = None
        # Hashes of the identities of the requests so far.
        self._carried: set[int] = set()

    @property
    def should_close(self) -> bool:
        """Whether the connection must not be used for another request."""
        is_full = len(self._carried) >= MAX_IDENTIFIED_REQUESTS
        return is_full or super().should_close

    @property
    def number(self) -> int:
        """Number of the connection in this process, from 1."""
        return self._number

    @property
    def is_first_request(self) -> bool:
        """Whether the connection was not used for an earlier request."""
        return self._requests == 1

    @property
    def skipped_copies(self) -> int:
        """Late copies of other responses before the last response."""
        return self._skipped_copies

    def has_carried(self, identity: ResponseIdentity | None) -> bool:
        """Returns whether a request was sent on this connection before.

        Args:
          identity: Identity of its response, if the server marks responses.
        """
        return identity is not None and hash(identity) in self._carried

    def begin_response(self, identity: ResponseIdentity | None = None) -> None:
        """Resets the limits for the response to the next request.

        Args:
          identity: Identity of that response, if the server marks responses.
        """
        self._requests += 1
        self._identity = identity
        if identity is not None:
            self._carried.add(hash(identity))
        self._skipped_copies = 0
        self._is_skipping = False
        self._received = 0
        self._interim_responses = 0
        self._body = None

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Receives the head of a response, with its body."""
        message, body = data
        if not MIN_STATUS <= message.code <= MAX_STATUS:
            self._break_off(message.code, body)
            return
        if 100 <= message.code < 200:
            self._interim_responses += 1
        else:
            self._body = body
            self._is_skipping = self._is_late_copy(message, body)
            if self._is_skipping:
                self._skipped_copies += 1
                return
        super().feed_data(data, size)

    def _break_off(self, status: int, body: Any) -> None:
        """Fails the request whose response has a broken status."""
        log.debug("http: closing a connection with the status {}", status)
        error = BadHttpMessage(f"the status is {status}")
        body.set_exception(aiohttp.ClientPayloadError(str(error)))
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> None:
        """Records whether the server has ended its stream in order."""
        if self.transport is not None:
            self._cut = _find_cut(self.transport)
            self._has_ended = self._cut is None
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails a body that the server has not ended."""
        exc = exc or self._cut
        body = self._payload
        if not self._has_ended and body is not None and not body.is_eof():
            # Before aiohttp marks the end of a body without a length. A later
            # close, such as one at the end of the upload, clears the exception
            # of the protocol but not that of the body.
            error = aiohttp.ClientPayloadError(f"connection cut: {exc!r}")
            error.__cause__ = exc
            body.set_exception(error)
        super().connection_lost(exc)

    def _is_late_copy(self, message: Any, body: Any) -> bool:
        """Returns whether a response belongs to an earlier request."""
        if (
            self._identity is None
            or self.is_first_request
            or self._skipped_copies >= MAX_SKIPPED_COPIES
        ):
            return False
        value = message.headers.get(self._identity.header)
        # A body without a length would include the response to the request.
        has_end = (
            "Content-Length" in message.headers
            or message.chunked
            or body is aiohttp.streams.EMPTY_PAYLOAD
        )
        return value is not None and value != self._identity.value and has_end

    def data_received(self, data: bytes) -> None:
        """Receives bytes of the connection."""
        super().data_received(data)
        self._received += len(data)
        body_bytes = 0 if self._body is None else self._body.total_bytes
        framing_bytes = self._received - body_bytes
        limit = MAX_HEAD_BYTES + MAX_FRAMING_RATIO * body_bytes
        is_endless = (
            framing_bytes > limit
            or (self._is_skipping and body_bytes > MAX_SKIPPED_BODY_BYTES)
            or self._interim_responses > MAX_INTERIM_RESPONSES
        )
        if is_endless and self.transport is not None:
            log.debug("http: closing a connection without a response")
            self.transport.abort()


def _find_cut(transport: asyncio.BaseTransport) -> OSError | None:
    """Returns the error of a stream that was cut; None if it ended in order.

    uvloop reports an ordinary end without another read if the kernel signals a
    hang-up beside the last bytes, which may be a reset. The error can be read
    once. EPIPE means that the reset came after the end of the stream.

    A TLS stream ends with a closing alert, whatever happens to its connection
    afterwards. asyncio reports an ordinary end without one as well.
    """
    tls = transport.get_extra_info("ssl_object")
    if tls is not None:
        return (
            None
            if _has_closing_alert(tls)
            else ConnectionResetError(NO_CLOSING_ALERT)
        )
    sock = transport.get_extra_info("socket")
    if sock is None:
        return None
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code in (0, errno.EPIPE):
        return None
    return OSError(code, os.strerror(code))


def _has_closing_alert(tls: ssl.SSLObject) -> bool:
    """Returns whether a TLS stream whose data was read has been closed."""
    try:
        return not tls.read(1)
    except ssl.SSLZeroReturnError:
        return True
    except ssl.SSLError:
        return False


class BoundedConnector(aiohttp.TCPConnector):
    """Connector that reuses connections whose next response can be identified.

    A server may send bytes after a complete response while the connection is
    idle; aiohttp would parse them as the response to the next request. A
    connection with unread bytes is closed, and so is one that has carried the
    request before.
    """

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        # aiohttp has no parameter for the protocol of its connections.
        self._factory = functools.partial(
            BoundedResponseHandler, loop=self._loop
        )

    async def connect(self, *args: Any, **kwargs: Any) -> Any:
        """Returns a connection; the arguments are those of the base class."""
        identity = expected_identity.get()
        while True:
            connection = await super().connect(*args, **kwargs)
            protocol = connection.protocol
            if not (protocol.should_close or protocol.has_carried(identity)):
                protocol.begin_response(identity)
                current_protocol.set(protocol)
                return connection
            connection.close()


async def read_bounded(
    response: aiohttp.ClientResponse, max_bytes: int | None = None
) -> bytes:
    """Returns the body of a response.

    Args:
      response: Response.
      max_bytes: Maximum size in bytes; `MAX_BODY_BYTES` by default.

    Raises:
      aiohttp.ClientPayloadError: The body is too large or incomplete.
    """
    limit = MAX_BODY_BYTES if max_bytes is None else max_bytes
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > limit:
            response.close()
            raise aiohttp.ClientPayloadError(f"the body exceeds {limit} bytes")
    return bytes(body)
