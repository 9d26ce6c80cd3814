"""Clients that hold connections and memory of a process."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator, Callable

# Bytes by which an unfinished body stops short of its end.
MISSING_BYTES = 100
# One of this many clients sends its whole body.
COMPLETE_PERIOD = 10
# Size of the pieces of a chunked body, in bytes.
CHUNK_BYTES = 16 * 1024
SAMPLE_PERIOD_S = 0.02
# Time that one client may take to send, in seconds.
SEND_LIMIT_S = 20.0
# Time for which the crowd holds its connections, in seconds.
HOLD_S = 2.0

# Returns the head of a request with a framing header.
MakeHead = Callable[[str], bytes]


def count_descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return sum(1 for _ in pathlib.Path(f"/proc/{pid}/fd").iterdir())


def read_resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    (line,) = (line for line in text.splitlines() if "VmRSS" in line)
    return int(line.split()[1]) * 1024


class ProcessWatch:
    """Largest memory and number of descriptors of a process while it runs.

    Attributes:
      max_resident_bytes: Largest resident memory, in bytes.
      max_descriptors: Largest number of open descriptors.

    Args:
      pid: Process identifier.
    """

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self.max_resident_bytes = 0
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
            self.max_resident_bytes, read_resident_bytes(self._pid)
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
        await asyncio.gather(
            *(
                self._send_body(size, chunked, number % COMPLETE_PERIOD == 0)
                for number in range(count)
            )
        )
        await asyncio.sleep(HOLD_S)

    async def open_connections(self, count: int) -> None:
        """Opens connections, of which every other one begins a head."""
        await asyncio.gather(
            *(
                self._send(b"POST / HTTP/1.1\r\n" if number % 2 else b"")
                for number in range(count)
            )
        )
        await asyncio.sleep(HOLD_S)

    async def _send_body(self, size: int, chunked: bool, whole: bool) -> None:
        sent = size if whole else size - MISSING_BYTES
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

    async def _send(self, *parts: bytes) -> None:
        """Sends bytes unless the server closes the connection before."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_LIMIT_S):
                _, writer = await asyncio.open_connection(
                    self._host, self._port
                )
                self._writers.append(writer)
                for part in parts:
                    writer.write(part)
                    await writer.drain()
