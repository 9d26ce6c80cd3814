"""Leaderless comparison of two versions from totals of all nodes.

Each node counts the outcomes of its own attempts and sends its totals to the
others, so that every node can evaluate the sum without a leader or a store.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from guavalane_core.moves.evidence import AttemptCounts, WindowCounts
from guavalane_core.moves.exposure import RouteTraffic
from guavalane_core.moves.failure_evidence import (
    MIN_ROUTE_ATTEMPTS,
    Events,
    attempts_needed,
    combine_old,
    weak_route,
)
from guavalane_core.moves.judge import Judge
from guavalane_core.moves.rules import ERRORS, REJECTIONS, SLOW_RULES
from guavalane_core.moves.samples import AttemptSample

# Attempts of the new version required to accept it.
MIN_ATTEMPTS = 20
# Fraction of the attempts on one route that fail for the smallest fault that is
# looked for. Half of it is more than a service with some 50 attempts can tell.
FAULT_RATE = 0.25
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


def _failures_of(counts: AttemptCounts) -> Iterable[tuple[str, Events]]:
    """Yields the failed and the rejected attempts by rule."""
    yield ERRORS, Events(counts.requests, counts.errors)
    yield REJECTIONS, Events(counts.requests, counts.rejected)


class VersionTrial:
    """Evaluates the new version of a service during a move.

    Args:
      baseline: Outcomes of the old version before the move, by route. They
        serve to estimate when an attempt is slow, and how often the old
        version fails.
    """

    def __init__(
        self, baseline: Mapping[str, AttemptCounts] | None = None
    ) -> None:
        self._own: dict[tuple[str, bool], AttemptCounts] = {}
        self._baseline: list[VersionCount] = []
        for route, counts in (baseline or {}).items():
            self._own[route, False] = AttemptCounts(
                latency=list(counts.latency), gaps=list(counts.gaps)
            )
            failures = AttemptCounts(
                counts.requests, counts.errors, counts.rejected
            )
            self._baseline.append(VersionCount(route, False, failures))
        self._reported_baselines: dict[
            tuple[str, int], tuple[VersionCount, ...]
        ] = {}
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

    @property
    def baseline(self) -> tuple[VersionCount, ...]:
        """Outcomes of this process before the move, for other nodes."""
        return tuple(self._baseline)

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

    def report_baseline(
        self, node: str, incarnation: int, counts: Iterable[VersionCount]
    ) -> None:
        """Replaces the outcomes of another process before the move."""
        self._reported_baselines[node, incarnation] = tuple(counts)

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

    def unmet_requirement(self, evidence: float) -> str:
        """Describes what an acceptance of the new version lacks, if anything.

        The absence of a finding does not suffice: a version that answers too
        few attempts causes none.

        Args:
          evidence: Log evidence that each route requires.
        """
        judge = self._judge
        return (
            judge.missing_requests(MIN_ATTEMPTS)
            or judge.weak_rule(SLOW_RULES, FAULT_RATE, FALSE_PASS_TARGET)
            or judge.doubtful_route(SLOW_RULES)
            or self._untested_route()
            or weak_route(self._failures(), FAULT_RATE, evidence)
        )

    def traffic(self) -> dict[str, RouteTraffic]:
        """Returns the traffic of the routes that are in use.

        It is that during the move as soon as there is some.
        """
        during = self._during_move()
        totals = {
            route: new.total + old.total
            for (rule, route), (new, old) in during.items()
            if rule == ERRORS
        }
        if not sum(totals.values()):
            totals = {
                route: events.total
                for (rule, route), events in self._before_move().items()
                if rule == ERRORS
            }
        requests = sum(totals.values())
        failures = self._failures()
        return {
            route: RouteTraffic(
                total / requests,
                attempts_needed(failures[ERRORS, route][1], FAULT_RATE),
            )
            for route, total in totals.items()
            if total
        }

    def requests(self) -> int:
        """Returns the completed attempts of both versions on all nodes."""
        return sum(c.counts.requests for c in self._all_counts())

    def _before_move(self) -> dict[tuple[str, str], Events]:
        """Returns the old version's events before the move."""
        before: dict[tuple[str, str], Events] = {}
        for baseline in (self._baseline, *self._reported_baselines.values()):
            for count in baseline:
                for rule, events in _failures_of(count.counts):
                    key = (rule, count.route)
                    before[key] = before.get(key, Events()).plus(events)
        return before

    def _during_move(self) -> dict[tuple[str, str], tuple[Events, Events]]:
        """Returns the events of both versions, as far as they are known.

        These are later than what the judge has evaluated last.
        """
        during: dict[tuple[str, str], tuple[Events, Events]] = {}
        for count in self._all_counts():
            for rule, events in _failures_of(count.counts):
                key = (rule, count.route)
                new, old = during.get(key, (Events(), Events()))
                if count.is_new:
                    during[key] = (new.plus(events), old)
                else:
                    during[key] = (new, old.plus(events))
        return during

    def _failures(self) -> dict[tuple[str, str], tuple[Events, Events]]:
        """Returns the events of both versions, with those before the move."""
        failures = self._during_move()
        for key, before in self._before_move().items():
            new, old = failures.get(key, (Events(), Events()))
            failures[key] = (new, combine_old(old, before))
        return failures

    def _untested_route(self) -> str:
        """Describes a route in use with too few attempts of the new version.

        None is required if there are so many routes that most have too few.
        """
        attempts = {
            route: versions
            for (rule, route), versions in self._during_move().items()
            if rule == ERRORS
        }
        if self.attempts() < MIN_ROUTE_ATTEMPTS * len(attempts):
            return ""
        for route, (new, old) in attempts.items():
            if new.total < min(MIN_ROUTE_ATTEMPTS, old.total):
                return f"attempts on {route}"
        return ""

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
