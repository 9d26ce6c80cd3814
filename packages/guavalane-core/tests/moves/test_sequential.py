"""Tests of the sequential test and of the pass evidence."""

from __future__ import annotations

import math
import random

import pytest

from guavalane_core.moves import SequentialTest, pass_evidence
from guavalane_core.moves.sequential import MAX_EVENTS

LOG_LIMIT = math.log(1000)


def events(rng: random.Random, total: int, rate: float) -> int:
    """Returns a random number of events among the attempts."""
    return sum(rng.random() < rate for _ in range(total))


class TestSequentialTest:
    """Guards against rejected good versions and undetected bad ones."""

    def test_small_traffic_condemns_nothing(self):
        test = SequentialTest()
        test.update(1, 1, 19, 0)
        test.update(1, 1, 19, 0)
        assert test.log_evidence < LOG_LIMIT

    def test_fault_of_both_versions_condemns_nothing(self):
        test = SequentialTest()
        for _ in range(50):
            test.update(50, 45, 950, 855)
        assert test.log_evidence < 0

    def test_false_alarms_stay_below_the_target(self):
        rng = random.Random(1)
        alarms = 0
        runs, limit = 400, math.log(20)
        for _ in range(runs):
            test = SequentialTest()
            rate = rng.choice([0.01, 0.05, 0.2])
            for _ in range(60):
                # The shared rate changes from window to window.
                now = min(1.0, rate * rng.choice([1, 1, 1, 3]))
                new, old = events(rng, 20, now), events(rng, 80, now)
                test.update(20, new, 80, old)
                if test.log_evidence > limit:
                    alarms += 1
                    break
        assert alarms <= runs / 20

    def test_bad_version_is_condemned_after_a_few_errors(self):
        test = SequentialTest()
        for _ in range(8):
            test.update(5, 1, 95, 0)
        assert test.log_evidence > LOG_LIMIT

    def test_fault_that_begins_late_is_condemned(self):
        test = SequentialTest()
        for _ in range(500):
            test.update(50, 1, 50, 1)
        bad_windows = 0
        while test.log_evidence < LOG_LIMIT:
            test.update(50, 25, 50, 1)
            bad_windows += 1
        assert bad_windows <= 3

    def test_large_windows_have_a_bounded_cost_and_the_same_verdict(self):
        test = SequentialTest()
        test.update(75_000, 30_000, 75_000, 1_000)
        assert test.log_evidence > LOG_LIMIT
        equal = SequentialTest()
        equal.update(75_000, 100 * MAX_EVENTS, 75_000, 100 * MAX_EVENTS)
        assert equal.log_evidence < 0


class TestPassEvidence:
    """Guards against versions that pass without sufficient evidence."""

    @pytest.mark.parametrize("counts", [(0, 0, 900, 0), (900, 0, 0, 0)])
    def test_no_traffic_is_no_evidence(self, counts):
        assert pass_evidence(*counts, tolerance=0.02) == 0

    def test_few_requests_do_not_pass(self):
        assert pass_evidence(100, 0, 1900, 0, 0.02) < math.log(100)
        assert pass_evidence(300, 0, 5700, 0, 0.02) > math.log(100)

    def test_rate_beyond_the_tolerance_does_not_pass(self):
        rng = random.Random(2)
        passed = sum(
            pass_evidence(300, events(rng, 300, 0.04), 5700, 57, 0.02)
            > math.log(100)
            for _ in range(500)
        )
        assert passed <= 5
