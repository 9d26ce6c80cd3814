"""Clock that tolerates a step of a single node's clock."""

from __future__ import annotations

import statistics

from guavalane_core.timers import Timers

# Older samples from other nodes are ignored. In seconds.
SAMPLE_TTL_S = 3.0


class MedianClock:
    """Median of the wall clocks of this node and of other nodes.

    Args:
      timers: Timer service. Its monotonic clock must include suspended time.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        # Offset of each node's wall clock from this node's monotonic clock, and
        # the monotonic time of the sample.
        self._offsets: dict[str, tuple[float, float]] = {}

    def observe(self, node: str, wall_s: float) -> None:
        """Adds a sample of another node's wall clock."""
        now_s = self._timers.now()
        self._offsets[node] = (wall_s - now_s, now_s)

    def now(self) -> float:
        """Returns the estimated time in seconds since the epoch."""
        now_s = self._timers.now()
        offsets = [self._timers.wall() - now_s]
        offsets += [
            offset
            for offset, observed_s in self._offsets.values()
            if now_s - observed_s <= SAMPLE_TTL_S
        ]
        return now_s + statistics.median(offsets)
