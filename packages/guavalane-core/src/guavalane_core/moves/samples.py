"""Measurement of a single attempt, also before it has ended."""

from __future__ import annotations

from guavalane_core.moves.evidence import AttemptCounts, latency_bucket

# Gaps between events after which the pace of a stream is known. The longest
# streams would otherwise be compared last, and abandoned ones not at all.
PACE_GAPS = 8


class AttemptSample:
    """Adds the outcome, latency and pace of one attempt to shared counts.

    Each is counted as soon as it is known. An attempt that waits longer than
    the limit of a slow one is counted then, whether or not it ever ends.

    Args:
      counts: Counts of the version on the route, which are updated.
      began_s: Monotonic time of its start, in seconds.
    """

    def __init__(self, counts: AttemptCounts, began_s: float) -> None:
        self._counts = counts
        self._began_s = began_s
        self._first_s: float | None = None
        self._last_s = began_s
        self._events = 0
        self._latency_counted = False
        self._pace_counted = False

    def on_events(self, events: int, now_s: float) -> None:
        """Records events of a stream."""
        if self._first_s is None:
            self._first_s = now_s
            self._count_latency(now_s - self._began_s)
        self._events += events
        self._last_s = now_s
        if self._events > PACE_GAPS:
            self._count_pace(self._mean_gap_s())

    def finish(
        self, now_s: float, *, failed: bool, rejected: bool = False
    ) -> None:
        """Records the outcome.

        Args:
          now_s: Monotonic time in seconds.
          failed: Whether the attempt failed.
          rejected: Whether the endpoint answered with a 4xx status.
        """
        self._counts.requests += 1
        self._counts.errors += failed
        self._counts.rejected += rejected
        if failed:
            return
        if self._first_s is None:
            self._count_latency(now_s - self._began_s)
        elif self._events > 1:
            self._count_pace(self._mean_gap_s())

    def count_waiting(
        self,
        now_s: float,
        latency_limit_s: float | None,
        gap_limit_s: float | None,
    ) -> None:
        """Counts an attempt that has already waited longer than a limit.

        Args:
          now_s: Monotonic time in seconds.
          latency_limit_s: Time to the first output above which an attempt is
              slow, in seconds; None if it is not known.
          gap_limit_s: The same for the mean gap between events.
        """
        if self._first_s is None:
            waited_s = now_s - self._began_s
            if latency_limit_s is not None and waited_s > latency_limit_s:
                self._count_latency(waited_s)
            return
        # The mean gap is at least this, even if the next events come at once.
        least_gap_s = (now_s - self._first_s) / PACE_GAPS
        if gap_limit_s is not None and least_gap_s > gap_limit_s:
            self._count_pace(least_gap_s)

    def _mean_gap_s(self) -> float:
        return (self._last_s - self._first_s) / (self._events - 1)

    def _count_latency(self, seconds: float) -> None:
        if not self._latency_counted:
            self._latency_counted = True
            self._counts.latency[latency_bucket(seconds)] += 1

    def _count_pace(self, seconds: float) -> None:
        if not self._pace_counted:
            self._pace_counted = True
            self._counts.gaps[latency_bucket(seconds)] += 1
