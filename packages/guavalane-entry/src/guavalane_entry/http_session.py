"""Client sessions that never send a request twice by themselves."""

from __future__ import annotations

import socket
from typing import Any

import aiohttp

# Time after which sent bytes without an acknowledgement break a connection, in
# milliseconds.
USER_TIMEOUT_MS = 2500
# Probes of an idle connection, in seconds. One that went silent is noticed
# after about four seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


class ConnectionLostError(aiohttp.ClientError):
    """The connection broke after the request may have been sent."""


async def _forbid_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp repeats PUT, DELETE and other idempotent methods on a lost
    # connection. The caller decides here, since an at-most-once call may use
    # any method and a conditional write conflicts with its own repeat.
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(repr(error)) from error


def make_session(**kwargs: Any) -> aiohttp.ClientSession:
    """Returns a session; arguments are those of `aiohttp.ClientSession`."""
    return aiohttp.ClientSession(middlewares=(_forbid_resend,), **kwargs)


def make_probed_socket(address_info: Any) -> socket.socket:
    """Returns a TCP socket that notices a peer that has gone silent.

    Args:
      address_info: Entry of `socket.getaddrinfo`, as aiohttp passes it.
    """
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock
