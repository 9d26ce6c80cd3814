"""Counts of attempt outcomes per time window, version and route."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from guavalane_core.messages import Evidence

# Length of a window in seconds. Shorter windows detect faults sooner; at 2 s,
# the reports of eight nodes on three routes stay within 2 KB/s at the leader.
WINDOW_S = 2.0
# Windows that a node retains to send them again to a new leader.
RETAINED_WINDOWS = 30
# Four buckets per doubling, from 1 ms to 15 minutes, make each bucket 19 %
# wide. With two per doubling, the slow quantile was too coarse: versions with
# the same latency appeared to differ.
BUCKETS_PER_DOUBLING = 4
BUCKET_COUNT = 80


def window_index(wall_s: float) -> int:
    """Returns the index of the window that contains a wall time in seconds."""
    return int(wall_s // WINDOW_S)


def latency_bucket(seconds: float) -> int:
    """Returns the index of the bucket for a latency in seconds."""
    milliseconds = max(1.0, seconds * 1000)
    index = math.ceil(BUCKETS_PER_DOUBLING * math.log2(milliseconds))
    return min(BUCKET_COUNT - 1, index)


def bucket_upper_bound_s(index: int) -> float:
    """Returns the upper bound of a bucket in seconds."""
    return 2 ** (index / BUCKETS_PER_DOUBLING) / 1000


def _empty_buckets() -> list[int]:
    return [0] * BUCKET_COUNT


@attrs.define
class AttemptCounts:
    """Outcome counts of one version on one route.

    Attributes:
      requests: Completed attempts, whether successful or not.
      errors: Failed attempts.
      rejected: Attempts with a 4xx response.
      latency: Histogram of the time to the first token or response.
      gaps: Histogram of the mean time between the events of a stream.
    """

    requests: int = 0
    errors: int = 0
    rejected: int = 0
    latency: list[int] = attrs.field(factory=_empty_buckets)
    gaps: list[int] = attrs.field(factory=_empty_buckets)

    def add(self, other: AttemptCounts) -> None:
        """Adds the counts of another node or window."""
        self.requests += other.requests
        self.errors += other.errors
        self.rejected += other.rejected
        for mine, theirs in (
            (self.latency, other.latency),
            (self.gaps, other.gaps),
        ):
            for index, count in enumerate(theirs):
                mine[index] += count

    def halve(self) -> None:
        """Halves all counts, so that later attempts weigh more."""
        self.requests //= 2
        self.errors //= 2
        self.rejected //= 2
        self.latency[:] = [count // 2 for count in self.latency]
        self.gaps[:] = [count // 2 for count in self.gaps]

    def since(self, earlier: AttemptCounts) -> AttemptCounts:
        """Returns what was added to totals since earlier ones."""
        return AttemptCounts(
            self.requests - earlier.requests,
            self.errors - earlier.errors,
            self.rejected - earlier.rejected,
            _difference(self.latency, earlier.latency),
            _difference(self.gaps, earlier.gaps),
        )


def _difference(buckets: list[int], earlier: list[int]) -> list[int]:
    return [a - b for a, b in zip(buckets, earlier, strict=True)]


def pack_buckets(buckets: list[int]) -> tuple[int, ...]:
    """Encodes a histogram without its leading and trailing empty buckets.

    The first element is the index of the first used bucket.
    """
    used = [index for index, count in enumerate(buckets) if count]
    if not used:
        return ()
    return (used[0], *buckets[used[0] : used[-1] + 1])


def unpack_buckets(packed: tuple[int, ...]) -> list[int]:
    """Decodes a histogram; buckets beyond the last one are ignored."""
    buckets = _empty_buckets()
    for index, count in enumerate(packed[1:], start=packed[0] if packed else 0):
        if index < BUCKET_COUNT:
            buckets[index] = count
    return buckets


def to_message(
    move: str, version: str, route: str, window: int, counts: AttemptCounts
) -> Evidence:
    """Encodes counts as a message to the leader."""
    # Gateway nodes count attempts, but send no evidence.
    from guavalane_core.messages import Evidence

    return Evidence(
        move=move,
        version=version,
        route=route,
        window=window,
        requests=counts.requests,
        errors=counts.errors,
        rejected=counts.rejected,
        latency_buckets=pack_buckets(counts.latency),
        gap_buckets=pack_buckets(counts.gaps),
    )


def from_message(evidence: Evidence) -> AttemptCounts:
    """Decodes the counts of a message."""
    return AttemptCounts(
        evidence.requests,
        evidence.errors,
        evidence.rejected,
        unpack_buckets(evidence.latency_buckets),
        unpack_buckets(evidence.gap_buckets),
    )


# Counts of one window by version and route.
WindowCounts = dict[tuple[str, str], AttemptCounts]


class EvidenceWindows:
    """Per-window outcome counts of one node, by deployment."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[str, WindowCounts]] = {}

    def counts(
        self, window: int, deployment: str, version: str, route: str
    ) -> AttemptCounts:
        """Returns the mutable counts of a window, created on first use."""
        if window not in self._windows:
            self._windows[window] = {}
            for old in sorted(self._windows)[:-RETAINED_WINDOWS]:
                del self._windows[old]
        deployments = self._windows.get(window)
        if deployments is None:
            # The clock was set back beyond the retained windows, none of which
            # includes this outcome. It is not counted.
            return AttemptCounts()
        by_version = deployments.setdefault(deployment, {})
        found = by_version.get((version, route))
        if found is None:
            found = by_version[version, route] = AttemptCounts()
        return found

    def closed(
        self, deployment: str, window: int, after: int
    ) -> dict[int, WindowCounts]:
        """Returns the complete windows after a given one.

        Args:
          deployment: Deployment.
          window: Index of the current window, which is excluded.
          after: Index of the window after which to start.
        """
        return {
            number: deployments.get(deployment, {})
            for number, deployments in sorted(self._windows.items())
            if after < number < window
        }

    def request_rate(self, deployment: str, window: int) -> float:
        """Returns the attempts per second over the retained windows."""
        closed = self.closed(deployment, window, window - RETAINED_WINDOWS)
        if not closed:
            return 0.0
        requests = sum(
            counts.requests
            for by_version in closed.values()
            for counts in by_version.values()
        )
        return requests / ((window - min(closed)) * WINDOW_S)


class EvidenceAggregator:
    """Aggregates the evidence of all nodes on one move.

    Nodes send their evidence again to a new leader, so it may arrive more than
    once. A later message of a node for the same window replaces the earlier.
    """

    def __init__(self) -> None:
        self._windows: dict[int, dict[tuple[str, str, str], AttemptCounts]] = {}
        self._last_taken = -1
        self._dropped = 0

    @property
    def last_taken(self) -> int:
        """Last window that `take_before` returned."""
        return self._last_taken

    @property
    def dropped(self) -> int:
        """Messages dropped because their window was closed or in the future."""
        return self._dropped

    def add(self, origin: str, evidence: Evidence, open_window: int) -> bool:
        """Adds the evidence of a node and returns whether it was accepted.

        Args:
          origin: Node that sent it.
          evidence: Evidence.
          open_window: Index of the current window. Evidence for a later window
              comes from a node with a wrong clock and is dropped.
        """
        if not self._last_taken < evidence.window <= open_window:
            self._dropped += 1
            return False
        key = (origin, evidence.version, evidence.route)
        by_origin = self._windows.setdefault(evidence.window, {})
        by_origin[key] = from_message(evidence)
        return True

    def take_before(self, before: int) -> list[tuple[int, WindowCounts]]:
        """Removes and returns the aggregated windows before a given one."""
        taken = []
        for window in sorted(w for w in self._windows if w < before):
            merged: WindowCounts = {}
            for (_, version, route), counts in sorted(
                self._windows.pop(window).items()
            ):
                merged.setdefault((version, route), AttemptCounts()).add(counts)
            taken.append((window, merged))
        # Not the maximum of both values: evaluation must continue after the
        # clock was set back.
        self._last_taken = before - 1
        return taken
