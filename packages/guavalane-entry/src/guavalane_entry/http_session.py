"""HTTP client sessions without automatic retries."""

from __future__ import annotations

import socket
from typing import Any

import aiohttp

from guavalane_entry.http_connection import BoundedConnector

# Time after which a connection with unacknowledged data is closed.
USER_TIMEOUT_MS = 2500
# TCP keepalive. An unresponsive idle connection is closed after about 4 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


class ConnectionLostError(aiohttp.ClientError):
    """The connection was lost, and the request may have been sent."""


async def _forbid_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp retries idempotent methods such as PUT and DELETE when the
    # connection is lost. Here the caller decides: an at-most-once call may use
    # any method, and the retry of a conditional write conflicts with the first
    # attempt.
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(repr(error)) from error


def make_session(**kwargs: Any) -> aiohttp.ClientSession:
    """Returns a session that takes no broken response for a complete one.

    Args:
      **kwargs: Arguments of `aiohttp.ClientSession`. The connector is a
          `BoundedConnector` by default.
    """
    if "connector" not in kwargs:
        kwargs["connector"] = BoundedConnector()
    return aiohttp.ClientSession(middlewares=(_forbid_resend,), **kwargs)


def make_keepalive_socket(
    address_info: Any,
    *,
    probes: int = KEEPALIVE_PROBES,
    user_timeout_ms: int = USER_TIMEOUT_MS,
    receive_buffer_bytes: int | None = None,
) -> socket.socket:
    """Returns a TCP socket that detects an unresponsive peer.

    Args:
      address_info: Entry of `socket.getaddrinfo`, as passed by aiohttp.
      probes: Unanswered keepalive probes after which an idle connection is
          closed.
      user_timeout_ms: Time after which a connection with unacknowledged data
          is closed, in milliseconds.
      receive_buffer_bytes: Size of its receive buffer, in bytes; by default
          that of the system, which grows.
    """
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if receive_buffer_bytes is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, probes)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    return sock
