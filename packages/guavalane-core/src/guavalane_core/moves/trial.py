"""Leaderless comparison of two versions from totals of all nodes.

Each node counts the outcomes of its own attempts and sends its totals to the
others, so that every node can evaluate the sum without a leader or a store.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from guavalane_core.moves.evidence import AttemptCounts, WindowCounts
from guavalane_core.moves.judge import Judge
from guavalane_core.moves.samples import AttemptSample

# Attempts of the new version required to accept it.
MIN_ATTEMPTS = 20
# Tolerated rate of failed attempts in addition to that of the tolerated odds.
ERROR_TOLERANCE = 0.2
# Probability that a version at the limit of the tolerance passes one rule. A
# small service has few attempts in the time of a move, and a version of which
# half of the responses are slow is far beyond the limit.
FALSE_PASS_TARGET = 0.3
# Interval between evaluations, in seconds. In a shorter one, too few attempts
# of the old version estimate the limit of a slow attempt.
EVALUATION_PERIOD_S = 1.0
OLD = "the old version"
NEW = "the new version"


@attrs.frozen
class VersionCount:
    """Counts of one version on one route since the start of a process.

    Attributes:
      route: Name of the route.
      is_new: Whether the counts are of the new version.
      counts: Outcomes, latencies and gaps.
    """

    route: str
    is_new: bool
    counts: AttemptCounts


class VersionTrial:
    """Evaluates the new version of a service during a move.

    Args:
      baseline: Latencies and gaps of the old version before the move, by route.
        They only serve to estimate when an attempt is slow.
    """

    def __init__(
        self, baseline: Mapping[str, AttemptCounts] | None = None
    ) -> None:
        self._own: dict[tuple[str, bool], AttemptCounts] = {}
        for route, counts in (baseline or {}).items():
            self._own[route, False] = AttemptCounts(
                latency=list(counts.latency), gaps=list(counts.gaps)
            )
        self._open: dict[AttemptSample, str] = {}
        self._reported: dict[tuple[str, int], tuple[VersionCount, ...]] = {}
        self._judge = Judge(OLD, NEW, ())
        self._evaluated: WindowCounts = {}
        self._evaluated_s = -math.inf

    @property
    def counts(self) -> tuple[VersionCount, ...]:
        """Totals of this process, for other nodes."""
        return tuple(
            VersionCount(route, is_new, counts)
            for (route, is_new), counts in self._own.items()
        )

    def begin(self, route: str, *, is_new: bool, now_s: float) -> AttemptSample:
        """Starts the measurement of an attempt of this node.

        Args:
          route: Name of the route.
          is_new: Whether the endpoint is of the new version.
          now_s: Monotonic time in seconds.
        """
        counts = self._own.setdefault((route, is_new), AttemptCounts())
        sample = AttemptSample(counts, now_s)
        self._open[sample] = route
        return sample

    def end(self, sample: AttemptSample, now_s: float) -> None:
        """Ends the measurement of an attempt.

        One that its caller gave up counts as slow if it has waited too long.
        """
        route = self._open.pop(sample, None)
        if route is not None:
            self._count_if_slow(sample, route, now_s)

    def report(
        self, node: str, incarnation: int, counts: Iterable[VersionCount]
    ) -> None:
        """Replaces the totals of another process."""
        self._reported[node, incarnation] = tuple(counts)

    def attempts(self) -> int:
        """Returns the completed attempts of the new version on all nodes."""
        return sum(c.counts.requests for c in self._all_counts() if c.is_new)

    def judge(self, now_s: float) -> str:
        """Returns why the new version is rejected; empty if it is not."""
        if now_s - self._evaluated_s >= EVALUATION_PERIOD_S:
            self._evaluated_s = now_s
            self._count_waiting(now_s)
            self._evaluate()
        finding = self._judge.finding()
        return "" if finding is None else finding.text

    def unmet_requirement(self) -> str:
        """Describes what an acceptance of the new version lacks, if anything.

        The absence of a finding does not suffice: a version that answers too
        few attempts causes none.
        """
        return self._judge.unmet_requirement(
            MIN_ATTEMPTS,
            ERROR_TOLERANCE,
            false_pass_target=FALSE_PASS_TARGET,
        ) or self._judge.doubtful_route(ERROR_TOLERANCE)

    def _count_waiting(self, now_s: float) -> None:
        for sample, route in self._open.items():
            self._count_if_slow(sample, route, now_s)

    def _count_if_slow(
        self, sample: AttemptSample, route: str, now_s: float
    ) -> None:
        sample.count_waiting(
            now_s,
            self._judge.limit_s("latency", route),
            self._judge.limit_s("token_gap", route),
        )

    def _evaluate(self) -> None:
        """Evaluates what has been added to the totals of all nodes."""
        totals: WindowCounts = {}
        for count in self._all_counts():
            self._judge.add_route(count.route)
            key = (NEW if count.is_new else OLD, count.route)
            totals.setdefault(key, AttemptCounts()).add(count.counts)
        window = {
            key: counts.since(self._evaluated.get(key, AttemptCounts()))
            for key, counts in totals.items()
        }
        self._evaluated = totals
        self._judge.observe(window)

    def _all_counts(self) -> Iterable[VersionCount]:
        yield from self.counts
        for counts in self._reported.values():
            yield from counts
