"""Bounds on what callers hold of a process, for all of its servers."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs

from guavalane_core.limits.body_memory import (
    BodyMemory,
    Eviction,
    HeldBody,
    limit_of_memory,
)
from guavalane_core.limits.connections import (
    CallerConnections,
    connection_limit,
)
from guavalane_core.timers import Timers
from guavalane_entry.free_memory import FreeMemory
from guavalane_entry.large_bodies import BodyParts

# Interval between checks for stalled bodies, in seconds.
CHECK_PERIOD_S = 0.25
# Time after which a caller may send a request again whose body was evicted, in
# seconds. Other uploads have ended or stalled by then.
RETRY_AFTER_S = 1.0
# Time to read and discard the rest of a body after an early response, in
# seconds.
LINGERING_TIME_S = 2.0


class BodyEvictedError(Exception):
    """A body was evicted before it was complete.

    Attributes:
      reason: Reason.
    """

    def __init__(self, reason: Eviction) -> None:
        super().__init__(f"the body was evicted: {reason}")
        self.reason = reason


class BodySizeError(Exception):
    """A body exceeds the maximum size."""


async def collect_body(
    memory: BodyMemory,
    body: HeldBody,
    timers: Timers,
    read: Callable[[], Awaitable[bytes | None]],
    max_bytes: int,
) -> bytes:
    """Reads a body while its entry is not evicted.

    Args:
      memory: Account of the bodies.
      body: Entry of the body, which the caller closes.
      timers: Timer service.
      read: Returns the next bytes; empty or None at the end.
      max_bytes: Maximum size in bytes.

    Raises:
      BodyEvictedError: The body was evicted.
      BodySizeError: The body is too large.
    """
    data = BodyParts()
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(None) as scope:

            def release() -> None:
                data.clear()
                scope.reschedule(loop.time())

            body.on_evicted = release
            while part := await read():
                if len(data) + len(part) > max_bytes:
                    raise BodySizeError(f"the body exceeds {max_bytes} bytes")
                if not memory.grow(body, len(part), timers.now()):
                    break
                data.append(part)
    except TimeoutError:
        if body.evicted is None:
            raise
    finally:
        body.on_evicted = None
    if body.evicted is not None:
        raise BodyEvictedError(body.evicted)
    memory.complete(body)
    return data.join()


def _open_descriptor_limit() -> int:
    """Returns how many descriptors the system lets the process open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft


@attrs.frozen(kw_only=True)
class CallerTotals:
    """What the bounds of a process have done since it started.

    Attributes:
      evictions: Number of evicted bodies by reason.
      connections_closed: Number of connections closed for space.
      connections: Open connections.
      held_bytes: Bytes of bodies that are held.
      limit_bytes: Bytes of bodies that may be held.
    """

    evictions: Mapping[str, int]
    connections_closed: int
    connections: int
    held_bytes: int
    limit_bytes: int


class CallerBounds:
    """Bodies and connections of callers, which share the limits of a process.

    Args:
      timers: Timer service.
      memory_mb: Memory of the process in MB; 0 if unknown.
      max_descriptors: Descriptors that it may open; 0 for what the system
          allows.
      report: Called with the totals after a check that finds new evictions or
          closed connections.
    """

    def __init__(
        self,
        timers: Timers,
        memory_mb: float = 0.0,
        max_descriptors: int = 0,
        report: Callable[[CallerTotals], None] = lambda totals: None,
    ) -> None:
        self._timers = timers
        self._report = report
        self._reported = 0
        self._free_memory = FreeMemory()
        self.memory = BodyMemory(limit_of_memory(memory_mb))
        descriptors = max_descriptors or _open_descriptor_limit()
        self.connections: CallerConnections[Any] = CallerConnections(
            connection_limit(descriptors, memory_mb)
        )

    @property
    def gauges(self) -> dict[str, Callable[[], dict[str, float]]]:
        """Gauges by name."""
        return {
            "body_bytes": lambda: {
                "held": self.memory.held_bytes,
                "limit": self.memory.limit_bytes,
            },
            "body_evictions": lambda: dict(self.memory.evictions),
            "caller_connections": lambda: {"": len(self.connections)},
            "caller_connections_closed": lambda: {"": self.connections.closed},
        }

    def open(
        self, announced_bytes: int | None, *, is_request: bool = True
    ) -> HeldBody:
        """Returns the entry of a body; see `BodyMemory.open`."""
        return self.memory.open(
            announced_bytes, self._timers.now(), is_request=is_request
        )

    def open_connection(self, connection: Any) -> Any:
        """Adds a connection; see `CallerConnections.open`."""
        return self.connections.open(connection, self._timers.now())

    def on_unread(self, connection: Any) -> None:
        """Records that a caller does not read; see `CallerConnections`."""
        self.connections.on_unread(connection, self._timers.now())

    async def collect(
        self,
        body: HeldBody,
        read: Callable[[], Awaitable[bytes | None]],
        max_bytes: int,
    ) -> bytes:
        """Reads a body; see `collect_body`."""
        return await collect_body(
            self.memory, body, self._timers, read, max_bytes
        )

    def check(self, idle_timeout_s: float) -> None:
        """Evicts bodies without progress and reports what was limited.

        It also returns the memory of dropped bodies to the system.

        The totals since the start are reported if a body was evicted or a
        connection was closed since the last check.

        Args:
          idle_timeout_s: Longest time without progress, in seconds.
        """
        self.memory.evict_stalled(idle_timeout_s, self._timers.now())
        self._free_memory.check(self.memory.dropped_bytes)
        evictions = self.memory.evictions
        total = evictions.total() + self.connections.closed
        if total != self._reported:
            self._reported = total
            self._report(
                CallerTotals(
                    evictions=dict(evictions),
                    connections_closed=self.connections.closed,
                    connections=len(self.connections),
                    held_bytes=self.memory.held_bytes,
                    limit_bytes=self.memory.limit_bytes,
                )
            )
