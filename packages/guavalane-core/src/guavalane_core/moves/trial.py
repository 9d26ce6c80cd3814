"""Leaderless comparison of two versions from totals of all nodes.

Each node counts the outcomes of its own attempts and sends its totals to the
others, so that every node can evaluate the sum without a leader or a store.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from guavalane_core.moves.evidence import BUCKET_COUNT, latency_bucket
from guavalane_core.moves.judge import (
    FALSE_ROLLBACK_TARGET,
    HOLD_EVIDENCE,
    MIN_COMPARED_ATTEMPTS,
)
from guavalane_core.moves.rules import (
    MIN_QUANTILE_SAMPLES,
    SLOW_QUANTILE,
    SLOW_TOLERATED_ODDS,
)
from guavalane_core.moves.sequential import TOLERATED_ODDS, SequentialTest

# Samples of the old version per route above which all bucket counts are halved,
# so that the latency threshold adapts to the load.
MAX_LATENCY_SAMPLES = 400
# Attempts of the new version required to accept it.
MIN_ATTEMPTS = 20
RULES = ("failed", "slow")


@attrs.frozen
class VersionCount:
    """Outcome counts on one route since the start of a process.

    Attributes:
      route: Name of the route.
      is_new: Whether the counts are of the new version.
      attempts: Completed attempts, whether successful or not.
      failed: Failed attempts.
      slow: Attempts slower than the 75th percentile of the old version.
    """

    route: str
    is_new: bool
    attempts: int = 0
    failed: int = 0
    slow: int = 0

    def __add__(self, other: VersionCount) -> VersionCount:
        return attrs.evolve(
            self,
            attempts=self.attempts + other.attempts,
            failed=self.failed + other.failed,
            slow=self.slow + other.slow,
        )

    def __sub__(self, other: VersionCount) -> VersionCount:
        return attrs.evolve(
            self,
            attempts=self.attempts - other.attempts,
            failed=self.failed - other.failed,
            slow=self.slow - other.slow,
        )


class _LatencyThreshold:
    """Latency above which an attempt on one route is slow."""

    def __init__(self) -> None:
        self._times = [0.0] * BUCKET_COUNT

    def add(self, elapsed_s: float) -> None:
        """Adds the latency of an attempt of the old version."""
        self._times[latency_bucket(elapsed_s)] += 1
        if sum(self._times) > MAX_LATENCY_SAMPLES:
            self._times = [count / 2 for count in self._times]

    def is_slow(self, elapsed_s: float) -> bool:
        """Returns whether a latency is above the old version's quantile."""
        total = sum(self._times)
        if total < MIN_QUANTILE_SAMPLES:
            return False
        below = sum(self._times[: latency_bucket(elapsed_s)])
        return below >= SLOW_QUANTILE * total


class _RouteTests:
    """Sequential tests of one route."""

    def __init__(self, route: str) -> None:
        self.tests = {
            "failed": SequentialTest(TOLERATED_ODDS),
            "slow": SequentialTest(SLOW_TOLERATED_ODDS),
        }
        self.evaluated = {
            is_new: VersionCount(route, is_new) for is_new in (False, True)
        }

    def update(self, totals: dict[bool, VersionCount]) -> None:
        """Evaluates new attempts once there are enough of them."""
        new = totals[True] - self.evaluated[True]
        old = totals[False] - self.evaluated[False]
        if old.attempts < MIN_COMPARED_ATTEMPTS or new.attempts <= 0:
            return
        self.evaluated = totals
        for rule, test in self.tests.items():
            test.update(
                new.attempts,
                getattr(new, rule),
                old.attempts,
                getattr(old, rule),
            )


class VersionTrial:
    """Evaluates the new version of a service during a move."""

    def __init__(self) -> None:
        self._own: dict[tuple[str, bool], VersionCount] = {}
        self._reported: dict[tuple[str, int], tuple[VersionCount, ...]] = {}
        self._limits: dict[str, _LatencyThreshold] = {}
        self._routes: dict[str, _RouteTests] = {}

    @property
    def counts(self) -> tuple[VersionCount, ...]:
        """Totals of this process, for other nodes."""
        return tuple(self._own.values())

    def record(
        self,
        route: str,
        *,
        is_new: bool,
        failed: bool,
        elapsed_s: float,
    ) -> None:
        """Counts an attempt of this node.

        Args:
          route: Name of the route.
          is_new: Whether the endpoint is of the new version.
          failed: Whether the attempt failed.
          elapsed_s: Time to the response or its first event, in seconds.
        """
        limit = self._limits.setdefault(route, _LatencyThreshold())
        slow = limit.is_slow(elapsed_s)
        if not is_new and not failed:
            limit.add(elapsed_s)
        key = (route, is_new)
        known = self._own.get(key, VersionCount(route, is_new))
        self._own[key] = known + VersionCount(
            route, is_new, 1, int(failed), int(slow)
        )

    def report(
        self, node: str, incarnation: int, counts: Iterable[VersionCount]
    ) -> None:
        """Replaces the totals of another process."""
        self._reported[node, incarnation] = tuple(counts)

    def attempts(self) -> int:
        """Returns the attempts of the new version on all nodes."""
        return sum(c.attempts for c in self._all_counts() if c.is_new)

    def judge(self) -> str:
        """Returns why the new version is rejected; empty if it is not."""
        totals: dict[str, dict[bool, VersionCount]] = {}
        for count in self._all_counts():
            by_version = totals.setdefault(
                count.route,
                {n: VersionCount(count.route, n) for n in (False, True)},
            )
            by_version[count.is_new] += count
        for route, by_version in totals.items():
            tests = self._routes.setdefault(route, _RouteTests(route))
            tests.update(by_version)
        limit = math.log(
            max(1, len(totals) * len(RULES)) / FALSE_ROLLBACK_TARGET
        )
        evidence, rule, route = self._strongest_evidence()
        if evidence < limit:
            return ""
        new, old = totals[route][True], totals[route][False]
        return (
            f"{rule} attempts on route {route}:"
            f" {getattr(new, rule)} of {new.attempts},"
            f" of the old version {getattr(old, rule)} of {old.attempts}"
        )

    def is_cleared(self) -> bool:
        """Returns whether the evidence suffices to accept the new version."""
        suspected, _, _ = self._strongest_evidence()
        return self.attempts() >= MIN_ATTEMPTS and suspected < math.log(
            HOLD_EVIDENCE
        )

    def _strongest_evidence(self) -> tuple[float, str, str]:
        return max(
            (
                (test.log_evidence, rule, route)
                for route, tests in self._routes.items()
                for rule, test in tests.tests.items()
            ),
            default=(-math.inf, "", ""),
        )

    def _all_counts(self) -> Iterable[VersionCount]:
        yield from self._own.values()
        for counts in self._reported.values():
            yield from counts
