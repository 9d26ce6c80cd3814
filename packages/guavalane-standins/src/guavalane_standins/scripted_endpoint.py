"""HTTP endpoint whose raw responses are scripted by a test."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import attrs

MAX_HEADER_BYTES = 65_536
# Time between the parts of a response that is sent in parts, in seconds.
PART_PAUSE_S = 0.02


@attrs.frozen
class ReceivedRequest:
    """A request as received on the socket.

    Attributes:
      line: Request line.
      headers: Header fields in order, with names as sent.
      body: Request body.
      connection: Index of the connection, from 0.
      head: Bytes of the request line and the headers.
    """

    line: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connection: int
    head: bytes

    @property
    def target(self) -> bytes:
        """Request target as received."""
        return self.head.split(b"\r\n", 1)[0].split(b" ")[1]

    @property
    def fields(self) -> list[tuple[bytes, bytes]]:
        """Header fields in order, with names in lower case."""
        return split_fields(self.head)

    def header(self, name: str) -> str | None:
        """Returns the value of a header field; None if it is missing."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


class Exchange:
    """A request and the connection to respond on.

    Args:
      request: Received request.
      reader: Stream reader of the connection.
      writer: Stream writer of the connection.
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
        """Sends raw bytes."""
        self._writer.write(data)
        await self._writer.drain()

    async def answer(
        self,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
        *,
        parts: int = 1,
    ) -> None:
        """Sends a complete response with a Content-Length header.

        Args:
          status: HTTP status.
          headers: Headers.
          body: Body.
          parts: Number of parts in which it is sent, with pauses in between.
        """
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        data = head + body
        size = -(-len(data) // parts)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(PART_PAUSE_S)
            await self.send(data[start : start + size])

    async def close(self) -> None:
        """Closes the connection after flushing sent data."""
        self._writer.close()

    async def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        sock = self._writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._writer.transport.abort()

    async def wait_closed_by_peer(self) -> None:
        """Waits until the peer has closed the connection."""
        await self._reader.read()


Script = Callable[[Exchange], Awaitable[None]]


class ScriptedEndpoint:
    """Runs a script of the test for each request.

    Args:
      script: Coroutine function that responds to a request.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self._connections = 0
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Number of connections accepted so far."""
        return self._connections

    @property
    def address(self) -> str:
        """Listening address, `IP:PORT`."""
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        """Starts listening on an unused port of the loopback address."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=MAX_HEADER_BYTES
        )

    def stop_listening(self) -> None:
        """Refuses new connections; open ones go on."""
        self._server.close()

    async def stop(self) -> None:
        """Stops listening."""
        self.stop_listening()

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
    return ReceivedRequest(line, headers, body, connection, head)


def split_fields(head: bytes) -> list[tuple[bytes, bytes]]:
    """Returns the header fields of a message, with names in lower case.

    Args:
      head: Bytes of the start line and the headers.
    """
    fields = []
    for line in head.removesuffix(b"\r\n\r\n").split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        fields.append((name.lower(), value.strip(b" \t")))
    return fields
