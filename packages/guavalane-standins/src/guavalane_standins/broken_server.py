"""HTTP servers whose responses are broken."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import uvloop

from guavalane_entry.event_loop import EventLoop

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

BROKEN_STATUSES = (b"000", b"099", b"600", b"999")
# Larger than the buffers of both sockets, so that it is still being written
# when a response arrives.
UPLOAD = b"x" * (16 * 1024 * 1024)
# Time in which the client reads a response before the reset, in seconds.
RESET_DELAY_S = 0.05


class ProgramLoopPolicy(uvloop.EventLoopPolicy):
    """Event loop policy of the programs."""

    def _loop_factory(self) -> EventLoop:
        return EventLoop()


# Event loops by name. They report a reset in different ways.
LOOP_POLICIES = {
    "asyncio": asyncio.DefaultEventLoopPolicy,
    "program": ProgramLoopPolicy,
}


@contextlib.asynccontextmanager
async def listen(serve: Serve) -> AsyncIterator[str]:
    """Serves connections on a loopback port; yields the address."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}"
    finally:
        server.close()


def status_server(status: bytes) -> Serve:
    """Returns a connection handler that answers a request with a status."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 " + status + b" X\r\nContent-Length: 2\r\n\r\n{}"
        )
        await reader.read()
        writer.close()

    return serve


def reset_server(
    body: bytes, *, delay_s: float = RESET_DELAY_S, linger: bool = True
) -> Serve:
    """Returns a connection handler that answers at once and then resets.

    Args:
      body: Body, which is sent without a length.
      delay_s: Time from the response to the reset, in seconds.
      linger: Whether the reset is forced. Otherwise the socket is closed as by
          a process that ends, which resets the connection if bytes are unread.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        await asyncio.sleep(delay_s)
        if linger:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.transport.abort()

    return serve
