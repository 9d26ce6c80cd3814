"""Tests of the rules that compare a new version with the old one."""

from __future__ import annotations

import random

from guavalane_core.moves.evidence import AttemptCounts, latency_bucket
from guavalane_core.moves.rules import (
    MIN_QUANTILE_SAMPLES,
    SLOW_QUANTILE,
    LatencyRule,
)


def make_counts(latencies_s):
    """Returns the counts of attempts that were answered."""
    counts = AttemptCounts(requests=len(latencies_s))
    for latency_s in latencies_s:
        counts.latency[latency_bucket(latency_s)] += 1
    return counts


class TestLatencyRule:
    """Guards against comparisons that depend on chance."""

    def test_a_rare_route_keeps_its_limit(self):
        """Guards against a slow version whose attempts are not compared."""
        rule = LatencyRule()
        before = make_counts([0.1] * (MIN_QUANTILE_SAMPLES + 5))
        rule.table(AttemptCounts(), before)
        assert rule.limit_s is not None
        for _ in range(20):
            rule.table(AttemptCounts(), make_counts([0.1]))
            assert rule.limit_s is not None

    def test_about_a_quarter_of_the_attempts_is_slow(self):
        """Guards against a limit that few attempts of any version exceed.

        Buckets are wide, and that with the quantile may hold most of the slow
        attempts. What remains above it tells little.
        """
        rng = random.Random(1)
        slow = 1 - SLOW_QUANTILE
        new = make_counts([0.045 + 0.09 * i / 200 for i in range(200)])
        far = 0
        for _ in range(100):
            rule = LatencyRule()
            old = make_counts([rng.uniform(0.045, 0.135) for _ in range(100)])
            rule.table(AttemptCounts(), old)
            table = rule.acceptance_table(new, AttemptCounts())
            rate = table.new_events / table.new_total
            far += not slow / 2 < rate < 2 * slow
        assert far <= 10
