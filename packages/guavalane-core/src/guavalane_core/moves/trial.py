"""Comparison of two versions from totals that all nodes share.

Each node counts the outcomes of its own attempts and tells the others its
totals, so that every node can judge the sum without a leader or a store.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from guavalane_core.moves.evidence import BUCKET_COUNT, latency_bucket
from guavalane_core.moves.judge import (
    COMPARED_ATTEMPTS,
    FALSE_ALARM_TARGET,
    SUSPICION,
)
from guavalane_core.moves.rules import (
    QUANTILE_SAMPLES,
    SLOW_QUANTILE,
    SLOW_TOLERATED_ODDS,
)
from guavalane_core.moves.sequential import TOLERATED_ODDS, SequentialTest

# Attempts of the old version on one route after which the times are halved, so
# that the limit of a slow attempt follows the load.
TIMES_KEPT = 400
# Attempts of the new version without which nothing speaks for it.
MIN_ATTEMPTS = 20
RULES = ("failed", "slow")


@attrs.frozen
class VersionCount:
    """Outcomes on one route since the start of a process.

    Attributes:
      route: Name of the route.
      is_new: Whether they are of the new version.
      attempts: Attempts that ended.
      failed: Attempts that failed.
      slow: Attempts slower than three quarters of the old version's.
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


class _SlowLimit:
    """Time above which an attempt on one route counts as slow."""

    def __init__(self) -> None:
        self._times = [0.0] * BUCKET_COUNT

    def add(self, elapsed_s: float) -> None:
        """Takes the time of an attempt of the old version."""
        self._times[latency_bucket(elapsed_s)] += 1
        if sum(self._times) > TIMES_KEPT:
            self._times = [count / 2 for count in self._times]

    def is_slow(self, elapsed_s: float) -> bool:
        """Returns whether a time is above the quantile of the old version."""
        total = sum(self._times)
        if total < QUANTILE_SAMPLES:
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
        self.judged = {
            is_new: VersionCount(route, is_new) for is_new in (False, True)
        }

    def update(self, totals: dict[bool, VersionCount]) -> None:
        """Judges what came since the last update, if it is enough."""
        new = totals[True] - self.judged[True]
        old = totals[False] - self.judged[False]
        if old.attempts < COMPARED_ATTEMPTS or new.attempts <= 0:
            return
        self.judged = totals
        for rule, test in self.tests.items():
            test.update(
                new.attempts,
                getattr(new, rule),
                old.attempts,
                getattr(old, rule),
            )


class VersionTrial:
    """Judges the new version of a service while a move is under way."""

    def __init__(self) -> None:
        self._own: dict[tuple[str, bool], VersionCount] = {}
        self._reported: dict[tuple[str, int], tuple[VersionCount, ...]] = {}
        self._limits: dict[str, _SlowLimit] = {}
        self._routes: dict[str, _RouteTests] = {}

    @property
    def counts(self) -> tuple[VersionCount, ...]:
        """Outcomes of this process, to tell other nodes."""
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
          failed: Whether it failed.
          elapsed_s: Time to the answer or its first event, in seconds.
        """
        limit = self._limits.setdefault(route, _SlowLimit())
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
        """Takes the totals of another process."""
        self._reported[node, incarnation] = tuple(counts)

    def attempts(self) -> int:
        """Returns the attempts of the new version at all nodes."""
        return sum(c.attempts for c in self._all_counts() if c.is_new)

    def judge(self) -> str:
        """Returns what condemns the new version; an empty text if nothing."""
        totals: dict[str, dict[bool, VersionCount]] = {}
        for count in self._all_counts():
            of_route = totals.setdefault(
                count.route,
                {n: VersionCount(count.route, n) for n in (False, True)},
            )
            of_route[count.is_new] += count
        for route, of_route in totals.items():
            tests = self._routes.setdefault(route, _RouteTests(route))
            tests.update(of_route)
        limit = math.log(max(1, len(totals) * len(RULES)) / FALSE_ALARM_TARGET)
        evidence, rule, route = self._strongest()
        if evidence < limit:
            return ""
        new, old = totals[route][True], totals[route][False]
        return (
            f"{rule} attempts on route {route}:"
            f" {getattr(new, rule)} of {new.attempts},"
            f" of the old version {getattr(old, rule)} of {old.attempts}"
        )

    def is_cleared(self) -> bool:
        """Returns whether enough attempts speak for the new version."""
        suspected, _, _ = self._strongest()
        return self.attempts() >= MIN_ATTEMPTS and suspected < math.log(
            SUSPICION
        )

    def _strongest(self) -> tuple[float, str, str]:
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
