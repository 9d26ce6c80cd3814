"""Tests of the decision on hedged attempts."""

from __future__ import annotations

import random

import attrs
import pytest

from guavalane_core.hedging import (
    FirstResponseTimes,
    HedgeBudget,
    HedgeSituation,
    Suppression,
    delay_quantile,
    find_suppression,
)
from guavalane_core.hedging.delays import MIN_SAMPLES


class TestHedgeBudget:
    """Guards against more hedged attempts than the operators allow."""

    @pytest.mark.parametrize("max_extra", [0.0, 0.01, 0.02, 0.05, 0.3])
    def test_attempts_stay_within_the_share_at_any_time(self, max_extra):
        budget = HedgeBudget(max_extra)
        rng = random.Random(1)
        requests = hedges = 0
        for _ in range(3000):
            if rng.random() < 0.5:
                budget.on_request()
                requests += 1
            elif budget.may_spend():
                budget.spend()
                hedges += 1
            assert hedges <= max_extra * requests + 1e-6
        assert hedges >= 0.7 * max_extra * requests - 1

    def test_a_lower_limit_discards_credit(self):
        budget = HedgeBudget(0.5)
        for _ in range(4):
            budget.on_request()
        budget.set_limit(0.0)
        assert not budget.may_spend()
        budget.on_request()
        assert not budget.may_spend()

    def test_a_share_of_one_is_no_limit(self):
        assert HedgeBudget(1.0).may_spend()


class TestFirstResponseTimes:
    """Guards against hedged attempts at requests of usual duration."""

    def test_routes_and_prompt_sizes_are_kept_apart(self):
        times = FirstResponseTimes()
        for i in range(100):
            times.record("r", 500, 0.1 + i / 1000)
            times.record("r", 12_000, 0.5)
        assert times.delay_s("r", 500, 0.95, 0.0) == pytest.approx(0.194)
        assert times.delay_s("r", 12_000, 0.95, 0.0) == 0.5
        assert times.delay_s("other", 500, 0.95, 0.0) is None

    def test_few_attempts_give_no_delay(self):
        times = FirstResponseTimes()
        for _ in range(MIN_SAMPLES - 1):
            times.record("r", 0, 0.1)
        assert times.delay_s("r", 0, 0.95, 0.0) is None

    def test_the_delay_follows_the_times(self):
        times = FirstResponseTimes()
        for now_s, seconds in ((0.0, 0.1), (2.0, 0.4)):
            for _ in range(300):
                times.record("r", 0, seconds)
            assert times.delay_s("r", 0, 0.95, now_s) == seconds

    def test_the_quantile_follows_the_limit(self):
        found = [delay_quantile(x) for x in (0.0, 0.02, 0.05, 0.5)]
        assert found == [0.99, 0.98, 0.95, 0.9]


class TestSuppression:
    """Guards against a rule that a hedged attempt would break."""

    def test_each_condition_has_its_reason(self):
        assert find_suppression(HedgeSituation()) is None
        found = set()
        for field in attrs.fields(HedgeSituation):
            changed = {field.name: not field.default}
            found.add(find_suppression(HedgeSituation(**changed)))
        assert found == set(Suppression)
