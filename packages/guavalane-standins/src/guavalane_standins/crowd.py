"""Clients that hold connections and memory of a process."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import pathlib
import re
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

# Bytes by which an unfinished body stops short of its end.
MISSING_BYTES = 100
# One of this many clients sends its whole body.
COMPLETE_PERIOD = 10
# Size of the pieces of a chunked body, in bytes.
CHUNK_BYTES = 16 * 1024
SAMPLE_PERIOD_S = 0.02
# Size of the parts in which a client hands a body to its connection, in bytes.
# A client that hands it over at once holds all of it in its own memory.
PART_BYTES = 64 * 1024
# Time that one client may take to send, in seconds.
SEND_LIMIT_S = 20.0
# Time for which the crowd holds its connections, in seconds.
HOLD_S = 2.0

# Time for which some clients pause in the middle of a body, in seconds; longer
# than that after which a body counts as stalled.
PAUSE_S = 1.2
# Part of a body that a trickling client sends at once, its later pieces, in
# bytes, and the time between them, in seconds: less than a body may stall for.
TRICKLE_START_BYTES = 300_000
TRICKLE_PIECE_BYTES = 100
TRICKLE_PERIOD_S = 0.8
TRICKLE_PIECES = 4
# Receive buffer of a client that does not read, in bytes.
UNREAD_BUFFER_BYTES = 4096
# State of a listening socket in /proc/net/tcp, whose receive queue is a number
# of connections.
LISTEN_STATE = "0A"

# Returns the head of a request with a framing header.
MakeHead = Callable[[str], bytes]


def count_descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return sum(1 for _ in pathlib.Path(f"/proc/{pid}/fd").iterdir())


def read_resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    return _read_status_bytes(pid, "VmRSS")


def read_peak_resident_bytes(pid: int) -> int:
    """Returns the largest resident memory of a process so far, in bytes."""
    return _read_status_bytes(pid, "VmHWM")


def _read_status_bytes(pid: int, field: str) -> int:
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(re.search(rf"^{field}:\s+(\d+) kB", text, re.M)[1]) * 1024


def read_unread_bytes(address: str) -> int:
    """Returns the bytes that the kernel holds unread for a server.

    Those of connections that the server has not accepted are included.

    Args:
      address: Listening address of the server, `IP:PORT`.
    """
    host, port = address.split(":")
    number = int.from_bytes(ipaddress.IPv4Address(host).packed, sys.byteorder)
    local = f"{number:08X}:{int(port):04X}"
    text = pathlib.Path("/proc/net/tcp").read_text(encoding="ascii")
    total = 0
    for line in text.splitlines()[1:]:
        fields = line.split()
        if fields[1] == local and fields[3] != LISTEN_STATE:
            total += int(fields[4].partition(":")[2], 16)
    return total


class ProcessWatch:
    """Largest memory and number of descriptors of a process while it runs.

    Attributes:
      max_resident_bytes: Largest resident memory, in bytes.
      max_unread_bytes: Largest number of bytes that the kernel holds unread.
      max_held_bytes: Largest sum of resident memory and unread bytes at the
          same time, in bytes.
      max_descriptors: Largest number of open descriptors.

    Args:
      pid: Process identifier.
      address: Address at which the process listens, `IP:PORT`, whose unread
          bytes are watched; None for none.
    """

    def __init__(self, pid: int, address: str | None = None) -> None:
        self._pid = pid
        self._address = address
        self.max_resident_bytes = 0
        self.max_unread_bytes = 0
        self.max_held_bytes = 0
        self.max_descriptors = 0

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Samples the process during the block."""
        task = asyncio.create_task(self._run())
        try:
            yield
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            self._sample()

    async def _run(self) -> None:
        while True:
            self._sample()
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def _sample(self) -> None:
        """Takes a sample; raises OSError or ValueError if the process ended."""
        self.max_resident_bytes = max(
            self.max_resident_bytes, read_peak_resident_bytes(self._pid)
        )
        unread = 0
        if self._address is not None:
            unread = read_unread_bytes(self._address)
        self.max_unread_bytes = max(self.max_unread_bytes, unread)
        self.max_held_bytes = max(
            self.max_held_bytes,
            self.max_resident_bytes,
            read_resident_bytes(self._pid) + unread,
        )
        self.max_descriptors = max(
            self.max_descriptors, count_descriptors(self._pid)
        )


class Crowd:
    """Clients that open connections to one address and keep them open.

    Args:
      address: Address, `IP:PORT`.
      make_head: Returns the head of a request.
    """

    def __init__(self, address: str, make_head: MakeHead) -> None:
        self._host, port = address.split(":")
        self._port = int(port)
        self._make_head = make_head
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Crowd:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def send_bodies(self, count: int, size: int, chunked: bool) -> None:
        """Sends large bodies at the same time, most without their end."""
        await self._hold(
            self._send_body(size, chunked, number % COMPLETE_PERIOD == 0)
            for number in range(count)
        )

    async def send_mixed_bodies(self, count: int, size: int) -> None:
        """Sends large bodies in four ways at the same time.

        A quarter is chunked, a quarter has a length and a quarter pauses in the
        middle; these lack their last byte. The last quarter is whole.
        """
        await self._hold(
            self._send_mixed_body(size, number % 4) for number in range(count)
        )

    async def send_whole_bodies(self, count: int, size: int) -> None:
        """Sends whole bodies at the same time, half of them chunked."""
        await self._hold(
            self._send_body(size, number % 2 == 1, whole=True)
            for number in range(count)
        )

    async def trickle_bodies(self, count: int, size: int) -> None:
        """Sends the start of bodies and then small pieces of them."""
        head = self._make_head(f"Content-Length: {size}")
        await self._hold(self._trickle_body(head) for _ in range(count))

    async def send_heads(self, count: int, size: int) -> None:
        """Sends heads of a size that do not end."""
        head = self._make_head("Filler: ").removesuffix(b"\r\n\r\n")
        head += b"x" * (size - len(head))
        await self._hold(self._send(head) for _ in range(count))

    async def send_pipelined(self, count: int, depth: int, size: int) -> None:
        """Sends many requests without a body at once on each connection.

        Args:
          count: Number of connections.
          depth: Number of requests on each.
          size: Size of each request, in bytes.
        """
        await self._hold(
            self._send(*(self._make_padded_head(size) for _ in range(depth)))
            for _ in range(count)
        )

    async def leave_responses_unread(self, count: int) -> None:
        """Sends requests without a body and does not read the responses."""
        await self._hold(
            self._send(self._make_head("Content-Length: 0"), reads=False)
            for _ in range(count)
        )

    async def open_connections(self, count: int) -> None:
        """Opens connections, of which every other one begins a head."""
        await self._hold(
            self._send(b"POST / HTTP/1.1\r\n" if number % 2 else b"")
            for number in range(count)
        )

    async def _hold(self, clients: Iterable[Awaitable[None]]) -> None:
        """Runs clients at the same time and holds their connections."""
        await asyncio.gather(*clients)
        await asyncio.sleep(HOLD_S)

    def _make_padded_head(self, size: int) -> bytes:
        """Returns the head of a request without a body, of a size."""
        framing = "Content-Length: 0\r\nFiller: "
        padding = size - len(self._make_head(framing))
        return self._make_head(framing + "x" * padding)

    async def _send_mixed_body(self, size: int, kind: int) -> None:
        if kind == 0:
            await self._send_body(size, chunked=True, whole=False, missing=1)
        elif kind == 1:
            await self._send_body(size, chunked=False, whole=False, missing=1)
        elif kind == 2:
            head = self._make_head(f"Content-Length: {size}")
            half = size // 2
            rest = size - half - 1
            await self._send(head, b"x" * half, None, b"x" * rest)
        else:
            await self._send_body(size, chunked=False, whole=True)

    async def _trickle_body(self, head: bytes) -> None:
        writer = await self._send(head, b"x" * TRICKLE_START_BYTES)
        with contextlib.suppress(OSError):
            for _ in range(TRICKLE_PIECES):
                await asyncio.sleep(TRICKLE_PERIOD_S)
                if writer is None or writer.is_closing():
                    return
                writer.write(b"x" * TRICKLE_PIECE_BYTES)

    async def _send_body(
        self,
        size: int,
        chunked: bool,
        whole: bool,
        missing: int = MISSING_BYTES,
    ) -> None:
        sent = size if whole else size - missing
        if not chunked:
            head = self._make_head(f"Content-Length: {size}")
            await self._send(head, b"x" * sent)
            return
        piece = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
        left = sent % CHUNK_BYTES
        last = b"%x\r\n%b\r\n" % (left, b"x" * left) if left else b""
        await self._send(
            self._make_head("Transfer-Encoding: chunked"),
            *([piece] * (sent // CHUNK_BYTES)),
            last + (b"0\r\n\r\n" if whole else b""),
        )

    async def _send(
        self, *parts: bytes | None, reads: bool = True
    ) -> asyncio.StreamWriter | None:
        """Sends bytes unless the server closes the connection before.

        Args:
          parts: Bytes; None for a pause.
          reads: Whether the client reads what the server sends.
        """
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_LIMIT_S):
                writer = await self._open(reads)
                for part in parts:
                    if part is None:
                        await asyncio.sleep(PAUSE_S)
                        continue
                    view = memoryview(part)
                    for start in range(0, len(view), PART_BYTES):
                        writer.write(view[start : start + PART_BYTES])
                        await writer.drain()
                return writer
        return None

    async def _open(self, reads: bool) -> asyncio.StreamWriter:
        """Opens a connection."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        if not reads:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES
            )
        address = (self._host, self._port)
        await asyncio.get_running_loop().sock_connect(sock, address)
        _, writer = await asyncio.open_connection(sock=sock)
        self._writers.append(writer)
        if not reads:
            writer.transport.pause_reading()
        return writer
