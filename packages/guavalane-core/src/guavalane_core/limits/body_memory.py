"""Account of the bodies that a process holds in memory."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable

import attrs

BYTES_PER_MB = 1_000_000
# Bodies up to this size, in bytes, have space that larger ones cannot take. A
# prompt of 12,000 tokens takes some 50 KB.
ORDINARY_BODY_BYTES = 65_536
# Part of the limit that is kept for bodies of ordinary size.
RESERVED_FRACTION = 0.25
# Time without progress after which a body is evicted before one that still
# arrives, in seconds. A caller that sends pauses for less, even after a loss.
STALL_S = 1.0
# Memory of a process without bodies and connections, in bytes: the operators'
# limit for a node that has started.
BASE_BYTES = 70 * BYTES_PER_MB
# Part of the other memory that bodies may take. Connections take another part;
# the rest is for free memory that the allocator keeps, and other copies.
BODY_FRACTION = 0.4
# Limit if the memory is unknown, in bytes: 24 bodies of 4 MiB. Beside
# `BASE_BYTES` it suits nodes of 200 MB; smaller ones, of which the smallest
# known have 152 MB, have to state their memory.
DEFAULT_LIMIT_BYTES = 96 * 1024 * 1024
# Lowest limit in bytes: one request body of 4 MiB and one response of 16 MiB,
# beside the reserve.
MIN_LIMIT_BYTES = 28 * 1024 * 1024


def limit_of_memory(memory_mb: float) -> int:
    """Returns the limit for the bodies of a process, in bytes.

    Args:
      memory_mb: Memory of the process in MB; 0 if unknown.
    """
    if memory_mb <= 0:
        return DEFAULT_LIMIT_BYTES
    free_bytes = memory_mb * BYTES_PER_MB - BASE_BYTES
    return max(MIN_LIMIT_BYTES, int(free_bytes * BODY_FRACTION))


class Eviction(enum.StrEnum):
    """Reason why a body was evicted."""

    MEMORY = "memory"
    STALLED = "stalled"


@attrs.define(eq=False)
class HeldBody:
    """Entry of one body.

    Attributes:
      announced_bytes: Size that its sender announced; 0 if unknown.
      progressed_s: Monotonic time of its last progress, in seconds.
      is_request: Whether it is that of a caller's request.
      size_bytes: Bytes held.
      is_complete: Whether it was received completely. It is then not evicted,
          as its request may run.
      evicted: Why it was evicted; None if it was not.
      on_evicted: Called when it is evicted; must release the bytes.
    """

    announced_bytes: int
    progressed_s: float
    is_request: bool = True
    size_bytes: int = 0
    is_complete: bool = False
    evicted: Eviction | None = None
    on_evicted: Callable[[], None] | None = None

    @property
    def is_large(self) -> bool:
        """Whether it is larger than an ordinary body."""
        return self.size_bytes > ORDINARY_BODY_BYTES


class BodyMemory:
    """Decides which bodies a process keeps when its memory is short.

    Bodies above the ordinary size share the limit without the reserve. If they
    exceed it, incomplete ones are evicted: those without progress first, from
    the longest time on, then the largest. Ordinary bodies are evicted only if
    the whole limit is exceeded without an incomplete large one.

    Args:
      limit_bytes: Bytes that may be held.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._large_limit_bytes = int(limit_bytes * (1 - RESERVED_FRACTION))
        self._held_bytes = 0
        self._large_bytes = 0
        self._dropped_bytes = 0
        self._incomplete: set[HeldBody] = set()
        self._evictions: Counter[str] = Counter()

    @property
    def limit_bytes(self) -> int:
        """Bytes that may be held."""
        return self._limit_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes that are held."""
        return self._held_bytes

    @property
    def dropped_bytes(self) -> int:
        """Bytes of bodies that were held since the start and are not now."""
        return self._dropped_bytes

    @property
    def evictions(self) -> Counter[str]:
        """Number of evicted bodies by reason."""
        return self._evictions

    def open(
        self,
        announced_bytes: int | None,
        now_s: float,
        *,
        is_request: bool = True,
    ) -> HeldBody:
        """Returns the entry of a body that begins to arrive.

        Args:
          announced_bytes: Announced size; None if unknown.
          now_s: Monotonic time in seconds.
          is_request: Whether it is that of a caller's request.
        """
        body = HeldBody(announced_bytes or 0, now_s, is_request)
        self._incomplete.add(body)
        return body

    def grow(self, body: HeldBody, size_bytes: int, now_s: float) -> bool:
        """Adds bytes to a body and evicts bodies if that is necessary.

        Returns:
          Whether the body is kept. Its bytes must be dropped otherwise.
        """
        if body.evicted is not None:
            return False
        self._resize(body, body.size_bytes + size_bytes)
        body.progressed_s = now_s
        while (victim := self._choose_victim(now_s)) is not None:
            self._evict(victim, Eviction.MEMORY)
        return body.evicted is None

    def complete(self, body: HeldBody) -> None:
        """Marks a body as complete; it counts until it is closed."""
        body.is_complete = True
        self._incomplete.discard(body)

    def close(self, body: HeldBody) -> None:
        """Removes the entry of a body whose bytes are not needed any more."""
        self._incomplete.discard(body)
        self._resize(body, 0)

    def evict_stalled(self, idle_s: float, now_s: float) -> None:
        """Evicts incomplete bodies of requests without progress for a time.

        Responses have the deadlines of their requests.

        Args:
          idle_s: Longest time without progress, in seconds.
          now_s: Monotonic time in seconds.
        """
        for body in tuple(self._incomplete):
            if body.is_request and now_s - body.progressed_s > idle_s:
                self._evict(body, Eviction.STALLED)

    def _resize(self, body: HeldBody, size_bytes: int) -> None:
        self._dropped_bytes += max(0, body.size_bytes - size_bytes)
        self._held_bytes -= body.size_bytes
        self._large_bytes -= body.size_bytes if body.is_large else 0
        body.size_bytes = size_bytes
        self._held_bytes += size_bytes
        self._large_bytes += size_bytes if body.is_large else 0

    def _choose_victim(self, now_s: float) -> HeldBody | None:
        """Returns the body to evict next; None if none has to be."""
        is_full = self._held_bytes > self._limit_bytes
        if not is_full and self._large_bytes <= self._large_limit_bytes:
            return None
        bodies = [body for body in self._incomplete if body.is_large]
        if not bodies and is_full:
            bodies = [body for body in self._incomplete if body.size_bytes]
        if not bodies:
            return None
        oldest = min(bodies, key=lambda body: body.progressed_s)
        if now_s - oldest.progressed_s >= STALL_S:
            return oldest
        return max(
            bodies, key=lambda body: (body.size_bytes, body.announced_bytes)
        )

    def _evict(self, body: HeldBody, reason: Eviction) -> None:
        body.evicted = reason
        self._evictions[reason.value] += 1
        self.close(body)
        if body.on_evicted is not None:
            body.on_evicted()
