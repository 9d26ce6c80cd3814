"""Estimate of true time that one stepped clock cannot move."""

from __future__ import annotations

import statistics

from guavalane_core.timers import Timers

# Times of day that other nodes told longer ago than this, in seconds, are not
# used.
SAMPLE_TTL_S = 3.0


class MedianClock:
    """Median of this node's time of day and of those that others report.

    Args:
      timers: Timer service; its monotonic clock has to count suspended time.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        # Offset of a node's time of day from this node's monotonic clock, and
        # when it was told.
        self._offsets: dict[str, tuple[float, float]] = {}

    def observe(self, node: str, wall_s: float) -> None:
        """Takes the time of day that another node has just told."""
        now_s = self._timers.now()
        self._offsets[node] = (wall_s - now_s, now_s)

    def now(self) -> float:
        """Returns the estimate in seconds since the epoch."""
        now_s = self._timers.now()
        offsets = [self._timers.wall() - now_s]
        offsets += [
            offset
            for offset, told_s in self._offsets.values()
            if now_s - told_s <= SAMPLE_TTL_S
        ]
        return now_s + statistics.median(offsets)
