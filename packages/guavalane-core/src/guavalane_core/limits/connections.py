"""Bound on the connections of callers."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

from guavalane_core.limits.body_memory import (
    BASE_BYTES,
    BYTES_PER_MB,
    STALL_S,
)

# Descriptors that are kept for files.
RESERVED_DESCRIPTORS = 200
# Part of the other descriptors that callers may take. A request that runs takes
# a second one for the connection to its endpoint; a tenth is left for the
# store, other nodes and the status addresses.
CALLER_FRACTION = 0.45
# Memory of a connection whose caller fills all its buffers, in bytes: unread
# bytes in the kernel, bytes that wait for the account of bodies, the head with
# its parsed form, and a request that waits for its handler. While a response is
# forwarded, the buffers of the connection to its endpoint take their place.
CONNECTION_BYTES = 96 * 1024
# Part of the memory that connections may take beside bodies.
MEMORY_FRACTION = 0.35
# Lowest limit, for processes with few descriptors or little memory.
MIN_CONNECTIONS = 16

T = TypeVar("T", bound=Hashable)


def connection_limit(max_descriptors: int, memory_mb: float) -> int:
    """Returns how many connections callers may have.

    Args:
      max_descriptors: Descriptors that the process may open.
      memory_mb: Memory of the process in MB; 0 if unknown.
    """
    limit = int((max_descriptors - RESERVED_DESCRIPTORS) * CALLER_FRACTION)
    if memory_mb > 0:
        free_bytes = memory_mb * BYTES_PER_MB - BASE_BYTES
        by_memory = int(free_bytes * MEMORY_FRACTION / CONNECTION_BYTES)
        limit = min(limit, by_memory)
    return max(MIN_CONNECTIONS, limit)


class CallerConnections(Generic[T]):
    """Decides which connection is closed when callers open too many.

    A connection whose request was read completely is held: it is not closed
    for space, unless its caller has stopped reading the response. The others
    are ordered by their last progress.

    Args:
      limit: Number of connections.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._held: set[T] = set()
        # The keys of a dict are ordered; the first one has been without
        # progress for the longest time.
        self._waiting: dict[T, None] = {}
        # Monotonic time since which a caller does not read its response.
        self._unread_since_s: dict[T, float] = {}
        self._closed = 0

    def __len__(self) -> int:
        return len(self._held) + len(self._waiting)

    @property
    def closed(self) -> int:
        """Number of connections that were closed for space."""
        return self._closed

    def open(self, connection: T, now_s: float) -> T | None:
        """Adds a connection.

        Args:
          connection: Connection.
          now_s: Monotonic time in seconds.

        Returns:
          Connection that has to be closed, which is no longer counted. It is
          the new one if requests run on all others. None if there is space.
        """
        self._waiting[connection] = None
        if len(self) <= self._limit:
            return None
        victim = next(iter(self._waiting))
        if victim == connection:
            victim = self._find_unread(now_s) or connection
        self.close(victim)
        self._closed += 1
        return victim

    def _find_unread(self, now_s: float) -> T | None:
        """Returns the connection whose response is unread for longest."""
        if not self._unread_since_s:
            return None
        connection, since_s = next(iter(self._unread_since_s.items()))
        return connection if now_s - since_s >= STALL_S else None

    def on_unread(self, connection: T, now_s: float) -> None:
        """Records that a caller does not read its response for now."""
        self._unread_since_s.setdefault(connection, now_s)

    def on_read(self, connection: T) -> None:
        """Records that a caller reads its response again."""
        self._unread_since_s.pop(connection, None)

    def on_progress(self, connection: T) -> None:
        """Records that bytes have arrived on a connection."""
        if connection in self._waiting:
            del self._waiting[connection]
            self._waiting[connection] = None

    def hold(self, connection: T) -> None:
        """Records that a request was read completely."""
        if connection in self._waiting:
            del self._waiting[connection]
            self._held.add(connection)

    def release(self, connection: T) -> None:
        """Records that a request has ended."""
        if connection in self._held:
            self._held.remove(connection)
            self._waiting[connection] = None
        else:
            self.on_progress(connection)

    def close(self, connection: T) -> None:
        """Removes a connection that has ended."""
        self._held.discard(connection)
        self._waiting.pop(connection, None)
        self._unread_since_s.pop(connection, None)
