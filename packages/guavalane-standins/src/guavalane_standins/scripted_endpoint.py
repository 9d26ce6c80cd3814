"""An endpoint whose answers a test writes byte by byte."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import attrs

MAX_HEADER_BYTES = 65_536


@attrs.frozen
class ReceivedRequest:
    """Request as it came over the socket.

    Attributes:
      line: First line.
      headers: Headers in order, names as sent.
      body: Body.
      connection: Number of the connection, from 0.
    """

    line: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connection: int

    def header(self, name: str) -> str | None:
        """Returns a header; None if it is missing."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


class Exchange:
    """One request and the connection to answer it on.

    Args:
      request: Request.
      reader: Reading side of the connection.
      writer: Writing side of the connection.
    """

    def __init__(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.request = request
        self._reader = reader
        self._writer = writer

    async def send(self, data: bytes) -> None:
        """Sends bytes as they are."""
        self._writer.write(data)
        await self._writer.drain()

    async def answer(
        self,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> None:
        """Sends a whole answer with a length."""
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        await self.send(head + body)

    async def close(self) -> None:
        """Closes the connection after what was sent."""
        self._writer.close()

    async def reset(self) -> None:
        """Resets the connection."""
        sock = self._writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._writer.transport.abort()

    async def wait_closed_by_peer(self) -> None:
        """Waits until the other side has closed the connection."""
        await self._reader.read()


Script = Callable[[Exchange], Awaitable[None]]


class ScriptedEndpoint:
    """Serves each request with the script of the test.

    Args:
      script: Function that answers a request.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self._connections = 0
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Connections that were opened."""
        return self._connections

    @property
    def address(self) -> str:
        """Address that it listens on, `IP:PORT`."""
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=MAX_HEADER_BYTES
        )

    async def stop(self) -> None:
        """Stops to listen."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._connections
        self._connections += 1
        try:
            while not writer.is_closing():
                request = await _read_request(reader, number)
                self.requests.append(request)
                await self.script(Exchange(request, reader, writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def _read_request(
    reader: asyncio.StreamReader, connection: int
) -> ReceivedRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rest = head.decode("latin-1").strip().split("\r\n")
    headers = tuple(
        (name, value.strip())
        for name, _, value in (entry.partition(":") for entry in rest)
    )
    length = 0
    for name, value in headers:
        if name.lower() == "content-length":
            length = int(value)
    body = await reader.readexactly(length)
    return ReceivedRequest(line, headers, body, connection)
