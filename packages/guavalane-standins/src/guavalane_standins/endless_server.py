"""HTTP server that sends bytes without end, for tests."""

from __future__ import annotations

import asyncio
import contextlib

BLOCK = b"x" * 65_536
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# Bytes that an endpoint sends once, and bytes that it repeats.
HEADS = {
    "garbage": (b"", BLOCK),
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "blank lines": (b"", b"\r\n" * 30_000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "header name": (OK, BLOCK),
    "header value": (OK + b"A: ", BLOCK),
    "headers": (OK, b"A: b\r\n" * 10_000),
}
BODIES = {
    "no length": (OK + b"\r\n", BLOCK),
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "chunk size": (CHUNKED, b"0" * 65_536),
    "chunk extension": (CHUNKED + b"1;", BLOCK),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n" * 10_000),
}
# Time in which a client must close the connection, in seconds.
CLOSE_LIMIT_S = 10.0


class EndlessServer:
    """HTTP server that repeats bytes until its connection is closed.

    Attributes:
      address: Address, `IP:PORT`.
      closed: Set when a connection was closed by the client.

    Args:
      start: Bytes that it sends once.
      block: Bytes that it repeats.
    """

    def __init__(self, start: bytes, block: bytes) -> None:
        self._start = start
        self._block = block
        self._server: asyncio.Server | None = None
        self.address = ""
        self.closed = asyncio.Event()

    async def __aenter__(self) -> EndlessServer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *args: object) -> None:
        self._server.close()
        async with asyncio.timeout(CLOSE_LIMIT_S):
            await self.closed.wait()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._start)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(self._block)
                await writer.drain()
        writer.close()
        self.closed.set()
