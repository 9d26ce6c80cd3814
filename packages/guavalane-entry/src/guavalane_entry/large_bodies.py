"""Sending of large bodies without copies of them."""

from __future__ import annotations

from collections.abc import Iterator

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload

from guavalane_core.limits.body_memory import ORDINARY_BODY_BYTES

# Size of the slices of a large body, in bytes. The HTTP library waits for the
# connection after more than 64 KiB.
SLICE_BYTES = 128 * 1024


# Parts of a body below this size, in bytes, are joined until they reach it: a
# caller that sends single bytes must not cost an object for each.
MIN_PART_BYTES = 4096


class BodyParts:
    """Bytes of a body as they arrived.

    A buffer that grows is moved again and again, and the gaps that it leaves
    are too small for the next one: with 800 bodies of 4 MiB, half of the memory
    of a process was free but not returned.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Adds bytes at the end."""
        self._size += len(data)
        if self._tail or len(data) < MIN_PART_BYTES:
            self._tail += data
            if len(self._tail) >= MIN_PART_BYTES:
                self._parts.append(bytes(self._tail))
                self._tail = bytearray()
        else:
            self._parts.append(data)

    def clear(self) -> None:
        """Drops all bytes."""
        self._parts.clear()
        self._tail = bytearray()
        self._size = 0

    def join(self) -> bytes:
        """Returns all bytes, and drops them."""
        body = b"".join([*self._parts, self._tail])
        self.clear()
        return body


def slices_of(body: bytes | bytearray) -> Iterator[memoryview]:
    """Yields a body in slices that refer to it."""
    view = memoryview(body)
    for start in range(0, len(view), SLICE_BYTES):
        yield view[start : start + SLICE_BYTES]


class SlicedPayload(Payload):
    """Body that is written in slices.

    aiohttp joins a body of bytes with the head, which copies it, and queues all
    of it for the connection.

    Args:
      body: Body.
    """

    def __init__(self, body: bytes | bytearray) -> None:
        super().__init__(body, content_type="application/octet-stream")
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Returns the body as text."""
        return self._value.decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Writes the body."""
        for part in slices_of(self._value):
            await writer.write(part)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Writes the body, whose length is always the announced one."""
        del content_length
        await self.write(writer)


def payload_of(body: bytes | bytearray) -> bytes | SlicedPayload:
    """Returns what aiohttp sends as a body."""
    if len(body) > ORDINARY_BODY_BYTES:
        return SlicedPayload(body)
    return bytes(body)
