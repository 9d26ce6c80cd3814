"""Counts of requests that began to run, by window and organisation."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

# Windows that are kept. A report is due two windows after the end of its own,
# and a new holder of the duty may come later.
RETAINED_WINDOWS = 8
# Windows that are told to other nodes; older ones have been told often.
REPORTED_WINDOWS = 3


@attrs.frozen
class WindowCount:
    """Requests of one organisation in one window.

    Attributes:
      window: Number of the window since the epoch.
      organisation: Name.
      requests: Requests that began to run.
    """

    window: int
    organisation: str
    requests: int


class UsageCounts:
    """Own counts and those of other nodes.

    A node that dies after it reported has still been counted: its last totals
    are kept under its incarnation.

    Args:
      window_s: Length of a window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._own: Counter[tuple[int, str]] = Counter()
        self._others: dict[tuple[str, int], dict[tuple[int, str], int]] = {}
        self._oldest = 0

    def window_at(self, true_s: float) -> int:
        """Returns the number of the window at a time since the epoch."""
        return int(true_s // self._window_s)

    def end_of(self, window: int) -> float:
        """Returns the end of a window in seconds since the epoch."""
        return (window + 1) * self._window_s

    def add(self, organisation: str, true_s: float) -> None:
        """Counts a request that began to run."""
        window = self.window_at(true_s)
        self._own[window, organisation] += 1
        oldest = window - RETAINED_WINDOWS
        for key in [key for key in self._own if key[0] < oldest]:
            del self._own[key]

    def remove(self, organisation: str, true_s: float) -> None:
        """Takes back a request that has not begun after all."""
        key = (self.window_at(true_s), organisation)
        if self._own[key] > 0:
            self._own[key] -= 1

    def recent(self) -> Iterator[WindowCount]:
        """Yields the counts of this process for the newest windows."""
        newest = max((window for window, _ in self._own), default=0)
        for (window, organisation), requests in self._own.items():
            if window > newest - REPORTED_WINDOWS:
                yield WindowCount(window, organisation, requests)

    def report(
        self, node: str, incarnation: int, counts: Iterable[WindowCount]
    ) -> None:
        """Replaces the totals that another process told for its windows."""
        known = self._others.setdefault((node, incarnation), {})
        newest = 0
        for count in counts:
            known[count.window, count.organisation] = count.requests
            newest = max(newest, count.window)
        self._forget(newest - RETAINED_WINDOWS)

    @property
    def retained_windows(self) -> int:
        """Windows for which counts are kept."""
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
        """Returns the requests of all nodes by organisation."""
        sums: Counter[str] = Counter()
        for counts in (self._own, *self._others.values()):
            for (number, organisation), requests in counts.items():
                if number == window:
                    sums[organisation] += requests
        return dict(sums)

    def _forget(self, oldest: int) -> None:
        # Looking through the windows of all nodes at each report would cost
        # more than the report, among many nodes.
        if oldest <= self._oldest:
            return
        self._oldest = oldest
        for process, counts in list(self._others.items()):
            for key in [key for key in counts if key[0] < oldest]:
                del counts[key]
            if not counts:
                del self._others[process]
