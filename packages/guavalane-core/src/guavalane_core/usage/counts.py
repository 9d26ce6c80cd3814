"""Counts of started requests, by window and organisation."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

from guavalane_core.messages import WindowUsage

# A window's usage report is due two windows after its end, and a new holder of
# the reporting duty may take over later than that.
RETAINED_WINDOWS = 8
# Windows that are sent to other nodes; older ones have been sent repeatedly.
REPORTED_WINDOWS = 3


@attrs.frozen
class WindowCount:
    """Requests of one organisation in one window.

    Attributes:
      window: Window number since the epoch.
      organisation: Name of the organisation.
      requests: Number of started requests.
    """

    window: int
    organisation: str
    requests: int


class UsageCounts:
    """Counts of this node and of other nodes.

    The totals of a process are stored by node and incarnation, so those of a
    process that has ended still count.

    Args:
      window_s: Length of a window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._own: Counter[tuple[int, str]] = Counter()
        self._others: dict[tuple[str, int], dict[tuple[int, str], int]] = {}
        self._oldest = 0

    def window_at(self, time_s: float) -> int:
        """Returns the window number of a time in seconds since the epoch."""
        return int(time_s // self._window_s)

    def end_of(self, window: int) -> float:
        """Returns the end of a window in seconds since the epoch."""
        return (window + 1) * self._window_s

    def add(self, organisation: str, time_s: float) -> None:
        """Counts a started request."""
        window = self.window_at(time_s)
        self._own[window, organisation] += 1
        oldest = window - RETAINED_WINDOWS
        for key in [key for key in self._own if key[0] < oldest]:
            del self._own[key]

    def remove(self, organisation: str, time_s: float) -> None:
        """Reverts the count of a request that did not start after all."""
        key = (self.window_at(time_s), organisation)
        if self._own[key] > 0:
            self._own[key] -= 1

    def recent(self) -> Iterator[WindowCount]:
        """Yields the counts of this process for the latest windows."""
        newest = max((window for window, _ in self._own), default=0)
        for (window, organisation), requests in self._own.items():
            if window > newest - REPORTED_WINDOWS:
                yield WindowCount(window, organisation, requests)

    def report(
        self,
        node: str,
        incarnation: int,
        counts: Iterable[WindowCount | WindowUsage],
    ) -> None:
        """Replaces the totals of another process for the reported windows."""
        known = self._others.setdefault((node, incarnation), {})
        newest = 0
        for count in counts:
            known[count.window, count.organisation] = count.requests
            newest = max(newest, count.window)
        self._discard_before(newest - RETAINED_WINDOWS)

    @property
    def retained_windows(self) -> int:
        """Number of windows for which counts are retained."""
        return RETAINED_WINDOWS

    def oldest_window(self, newest: int) -> int | None:
        """Returns the oldest window up to `newest` that has a count."""
        windows = {
            window
            for counts in (self._own, *self._others.values())
            for window, _ in counts
            if window <= newest
        }
        return min(windows, default=None)

    def total(self, window: int) -> dict[str, int]:
        """Returns the requests of all nodes in a window, by organisation."""
        sums: Counter[str] = Counter()
        for counts in (self._own, *self._others.values()):
            for (number, organisation), requests in counts.items():
                if number == window:
                    sums[organisation] += requests
        return dict(sums)

    def _discard_before(self, oldest: int) -> None:
        # With many nodes, scanning the windows of all nodes for each report
        # would cost more than the report itself.
        if oldest <= self._oldest:
            return
        self._oldest = oldest
        for process, counts in list(self._others.items()):
            for key in [key for key in counts if key[0] < oldest]:
                del counts[key]
            if not counts:
                del self._others[process]
