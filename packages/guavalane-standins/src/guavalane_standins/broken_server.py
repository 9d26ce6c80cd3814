"""HTTP servers whose responses are broken."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import uvloop

from guavalane_core.tasks import cancel_tasks
from guavalane_entry.event_loop import EventLoop

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
# Returns the response to the head of a request.
Respond = Callable[[bytes], bytes]

BROKEN_STATUSES = (b"000", b"099", b"600", b"999")
# Larger than the buffers of both sockets, so that it is still being written
# when a response arrives.
UPLOAD = b"x" * (16 * 1024 * 1024)
# Time in which the client reads a response before the reset, in seconds.
RESET_DELAY_S = 0.05
HEAD_END = b"\r\n\r\n"
MAX_READ_BYTES = 65_536
# Send buffer that takes a response at once, in bytes.
SEND_BUFFER_BYTES = 1024 * 1024
# Makes the close of a socket reset its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class End(enum.Enum):
    """How a server ends its connections."""

    CLOSE = "closed"
    RESET = "reset"
    # All bytes have arrived before the reset.
    RESET_AFTER_CLOSE = "reset after the close"


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


@contextlib.asynccontextmanager
async def listen_until_killed(response: bytes) -> AsyncIterator[str]:
    """Ends as a killed process does after one response; yields the address.

    Nothing listens any more, and the connection ends in order.

    Args:
      response: Response, as it is sent.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(HEAD_END)
        writer.write(response)
        await writer.drain()
        server.close()
        writer.close()

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
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    return serve


@contextlib.asynccontextmanager
async def listen_at_once(respond: Respond, end: End) -> AsyncIterator[str]:
    """Serves one request per connection; yields the address.

    Each response is sent and its connection ended in one step of the event
    loop. So a client on the same loop finds the reset beside unread bytes, as a
    node does that is late to read.

    Args:
      respond: Function that makes the response, which fits into the buffers of
          both sockets.
      end: How connections end after the response.
    """
    loop = asyncio.get_running_loop()
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.setblocking(False)

    async def serve(sock: socket.socket) -> None:
        head = b""
        while HEAD_END not in head:
            data = await loop.sock_recv(sock, MAX_READ_BYTES)
            if not data:
                break
            head += data
        else:
            sock.sendall(respond(head))
        if end is End.RESET_AFTER_CLOSE:
            sock.shutdown(socket.SHUT_WR)
        if end is not End.CLOSE:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()

    async def accept() -> None:
        async with asyncio.TaskGroup() as tasks:
            while True:
                sock, _ = await loop.sock_accept(listener)
                sock.setblocking(False)
                tasks.create_task(serve(sock))

    task = asyncio.create_task(accept())
    host, port = listener.getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        await cancel_tasks(task)
        listener.close()
