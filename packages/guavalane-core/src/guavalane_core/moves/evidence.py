"""Outcomes of attempts, counted per time window, version and route."""

from __future__ import annotations

import math

import attrs

from guavalane_core.messages import Evidence

# Length of a window in seconds. Shorter windows find faults sooner; at 2 s,
# eight reporters of three routes stay within 2 KB/s at the leader.
WINDOW_S = 2.0
# Windows that a node keeps, so that a new leader can be told about them.
HISTORY_WINDOWS = 30
# Four buckets per doubling, from 1 ms to 15 minutes. A bucket is then 19 %
# wide; with two per doubling, the quantile that counts as slow was so rough
# that equal versions seemed to differ.
BUCKETS_PER_DOUBLING = 4
BUCKET_COUNT = 80


def window_index(wall_s: float) -> int:
    """Returns the number of the window at a wall time in seconds."""
    return int(wall_s // WINDOW_S)


def latency_bucket(seconds: float) -> int:
    """Returns the latency bucket of a time in seconds."""
    milliseconds = max(1.0, seconds * 1000)
    index = math.ceil(BUCKETS_PER_DOUBLING * math.log2(milliseconds))
    return min(BUCKET_COUNT - 1, index)


def bucket_limit_s(index: int) -> float:
    """Returns the upper limit of a bucket in seconds."""
    return 2 ** (index / BUCKETS_PER_DOUBLING) / 1000


def _empty_buckets() -> list[int]:
    return [0] * BUCKET_COUNT


@attrs.define
class AttemptCounts:
    """Outcomes of one version on one route.

    Attributes:
      requests: Attempts that ended.
      errors: Attempts that failed.
      rejected: Attempts answered with a 4xx status.
      latency: Attempts per bucket of the time to the first token or answer.
      gaps: Streams per bucket of the mean time between events.
    """

    requests: int = 0
    errors: int = 0
    rejected: int = 0
    latency: list[int] = attrs.field(factory=_empty_buckets)
    gaps: list[int] = attrs.field(factory=_empty_buckets)

    def add(self, other: AttemptCounts) -> None:
        """Adds the figures of another node or window."""
        self.requests += other.requests
        self.errors += other.errors
        self.rejected += other.rejected
        for mine, theirs in (
            (self.latency, other.latency),
            (self.gaps, other.gaps),
        ):
            for index, count in enumerate(theirs):
                mine[index] += count


def _packed(buckets: list[int]) -> tuple[int, ...]:
    """Returns the first bucket in use, then the counts up to the last one."""
    used = [index for index, count in enumerate(buckets) if count]
    if not used:
        return ()
    return (used[0], *buckets[used[0] : used[-1] + 1])


def _unpacked(packed: tuple[int, ...]) -> list[int]:
    buckets = _empty_buckets()
    for index, count in enumerate(packed[1:], start=packed[0] if packed else 0):
        if index < BUCKET_COUNT:
            buckets[index] = count
    return buckets


def to_message(
    move: str, version: str, route: str, window: int, figures: AttemptCounts
) -> Evidence:
    """Returns the message that carries figures to the leader."""
    return Evidence(
        move=move,
        version=version,
        route=route,
        window=window,
        requests=figures.requests,
        errors=figures.errors,
        rejected=figures.rejected,
        latency_buckets=_packed(figures.latency),
        gap_buckets=_packed(figures.gaps),
    )


def from_message(evidence: Evidence) -> AttemptCounts:
    """Returns the figures that a message carries."""
    return AttemptCounts(
        evidence.requests,
        evidence.errors,
        evidence.rejected,
        _unpacked(evidence.latency_buckets),
        _unpacked(evidence.gap_buckets),
    )


# Figures of one window by version and route.
WindowFigures = dict[tuple[str, str], AttemptCounts]


class EvidenceWindows:
    """Counts the outcomes of one node's attempts, by deployment."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[str, WindowFigures]] = {}

    def figures(
        self, window: int, deployment: str, version: str, route: str
    ) -> AttemptCounts:
        """Returns the figures to add an outcome to."""
        if window not in self._windows:
            self._windows[window] = {}
            for old in sorted(self._windows)[:-HISTORY_WINDOWS]:
                del self._windows[old]
        deployments = self._windows.get(window)
        if deployments is None:
            # The clock was set back by more than the history; the outcome
            # belongs to no window that anybody still judges.
            return AttemptCounts()
        by_version = deployments.setdefault(deployment, {})
        found = by_version.get((version, route))
        if found is None:
            found = by_version[version, route] = AttemptCounts()
        return found

    def closed(
        self, deployment: str, window: int, after: int
    ) -> dict[int, WindowFigures]:
        """Returns the windows that have ended.

        Args:
          deployment: Deployment.
          window: Window that is open now.
          after: Last window that is not wanted.
        """
        return {
            number: deployments.get(deployment, {})
            for number, deployments in sorted(self._windows.items())
            if after < number < window
        }

    def request_rate(self, deployment: str, window: int) -> float:
        """Returns the attempts per second over the windows kept."""
        closed = self.closed(deployment, window, window - HISTORY_WINDOWS)
        if not closed:
            return 0.0
        requests = sum(
            figures.requests
            for by_version in closed.values()
            for figures in by_version.values()
        )
        return requests / ((window - min(closed)) * WINDOW_S)


class EvidenceBook:
    """Merges the evidence of all nodes on one move.

    The same evidence may arrive twice, since nodes repeat it to a new leader;
    the copy of a node for a window replaces the one before.
    """

    def __init__(self) -> None:
        self._windows: dict[int, dict[tuple[str, str, str], AttemptCounts]] = {}
        self._judged = -1
        self._late = 0

    @property
    def judged(self) -> int:
        """Last window that was taken."""
        return self._judged

    @property
    def late(self) -> int:
        """Messages that came after their window was taken."""
        return self._late

    def offer(self, origin: str, evidence: Evidence, open_window: int) -> bool:
        """Adds evidence; returns whether its window is still to be judged.

        Args:
          origin: Node that sent it.
          evidence: Evidence.
          open_window: Window that is open now; a later one comes from a node
              whose clock is wrong, and is dropped.
        """
        if not self._judged < evidence.window <= open_window:
            self._late += 1
            return False
        key = (origin, evidence.version, evidence.route)
        by_origin = self._windows.setdefault(evidence.window, {})
        by_origin[key] = from_message(evidence)
        return True

    def take(self, before: int) -> list[tuple[int, WindowFigures]]:
        """Removes and returns the merged windows before a window."""
        taken = []
        for window in sorted(w for w in self._windows if w < before):
            merged: WindowFigures = {}
            for (_, version, route), figures in sorted(
                self._windows.pop(window).items()
            ):
                merged.setdefault((version, route), AttemptCounts()).add(
                    figures
                )
            taken.append((window, merged))
        # Not the maximum: after the clock was set back, the judgement goes on.
        self._judged = before - 1
        return taken
