"""Scheduling of model loads within the weight store's rate."""

from __future__ import annotations

import math
from collections.abc import Callable

from guavalane_core.orders.order import DesiredState


class LoadSchedule:
    """Schedules model loads one at a time at the full rate of the weight store.

    Concurrent loads would share the rate and all finish late. Run in sequence,
    each engine serves as early as possible.

    Args:
      bytes_per_s: Rate of the weight store, or a function that returns the
          rate for an endpoint. At a rate of 0, a load never starts.
    """

    def __init__(self, bytes_per_s: float | Callable[[str], float]) -> None:
        self._rate_of = (
            bytes_per_s if callable(bytes_per_s) else lambda _: bytes_per_s
        )
        self._starts: dict[str, tuple[DesiredState, float]] = {}
        self._running: set[str] = set()
        self._free_at = 0.0
        self._busy_until = 0.0

    def reserve(
        self, endpoint: str, desired: DesiredState, size_bytes: int, now: float
    ) -> float:
        """Returns the start time of a load; marks it as running if it is due.

        A load that starts late, because the caller was busy or the engine did
        not respond, delays the ones after it.

        Args:
          endpoint: Engine that loads.
          desired: State that requires the load.
          size_bytes: Size of the load in bytes.
          now: Monotonic time in seconds.
        """
        rate = self._rate_of(endpoint)
        if rate <= 0:
            return math.inf
        known, start = self._starts.get(endpoint, (None, 0.0))
        if known != desired:
            self._running.discard(endpoint)
            start = max(now, self._free_at, self._busy_until)
            self._starts[endpoint] = (desired, start)
            self._free_at = start + size_bytes / rate
        if endpoint in self._running:
            return start
        start = max(start, self._busy_until)
        if now >= start:
            self._running.add(endpoint)
            self._busy_until = now + size_bytes / rate
        return start

    def is_scheduled(self, endpoint: str) -> bool:
        """Returns whether a load of this engine is scheduled."""
        return endpoint in self._starts

    def finish(self, endpoint: str) -> None:
        """Removes a load; the engine's next one gets a new start time."""
        self._starts.pop(endpoint, None)
        self._running.discard(endpoint)
