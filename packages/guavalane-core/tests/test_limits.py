"""Tests of admission control and retry limits."""

from __future__ import annotations

import math
import random

import pytest

from guavalane_core.limits import (
    Backoff,
    ConcurrencyLimit,
    FairQueue,
    RetryBudget,
    ShedDecision,
    Shedder,
    Ticket,
)
from guavalane_core.limits.budget import MAX_BALANCE


class TestFairQueue:
    """Guards against one organisation taking the share of another."""

    @pytest.mark.parametrize("small", [1.0, 0.5, 0.1, 0.07])
    @pytest.mark.parametrize("turns", [0, 1, 7, 23])
    def test_burst_of_others_keeps_the_documented_bound(self, small, turns):
        queue = FairQueue()
        weights = {"big": 2.0, "mid": 1.0, "small": small}
        queue.set_weights(weights)
        for _ in range(500):
            queue.push(Ticket("big", 0))
            queue.push(Ticket("mid", 0))
        for _ in range(turns):
            queue.pop()
        queue.push(Ticket("small", 100))
        before = 0
        while queue.pop().organisation != "small":
            before += 1
        q = {name: weight / 2.0 for name, weight in weights.items()}
        bound = math.ceil(1 / q["small"]) * (q["big"] + q["mid"]) + 2
        assert before <= bound

    def test_served_shares_follow_the_weights(self):
        queue = FairQueue()
        queue.set_weights({"a": 3.0, "b": 1.0})
        for _ in range(400):
            queue.push(Ticket("a", 0))
            queue.push(Ticket("b", 0))
        served = [queue.pop().organisation for _ in range(400)]
        assert abs(served.count("a") - 300) <= 2

    def test_priorities_apply_within_an_organisation(self):
        queue = FairQueue()
        for priority in (80, 10, 50, 10):
            queue.push(Ticket("a", priority, priority))
        assert queue.count_ahead("a", 50) == 3
        assert queue.pop_less_urgent("a", 80) is None
        assert queue.pop_less_urgent("a", 50).priority == 80
        assert [queue.pop().item for _ in range(3)] == [10, 10, 50]
        assert queue.pop() is None

    def test_removed_requests_leave_no_state(self):
        queue = FairQueue()
        tickets = [Ticket("a", 5) for _ in range(3)]
        for ticket in tickets:
            queue.push(ticket)
        assert all(queue.remove(t) for t in tickets)
        assert not queue.remove(tickets[0])
        assert len(queue) == 0 and queue.pop() is None
        assert queue.share_of("b") == 1.0


class TestConcurrencyLimit:
    """Guards against a limit that ignores or overreacts to an endpoint."""

    def test_slow_responses_of_one_burst_count_once(self):
        limit = ConcurrencyLimit(100)
        for _ in range(50):
            limit.on_answer(0.0, 2.0, 1.0, 100)
        assert limit.limit == 90
        limit.on_answer(2.5, 5.0, 1.0, 90)
        assert limit.limit == 81

    def test_grows_only_while_used(self):
        limit = ConcurrencyLimit(10)
        for _ in range(100):
            limit.on_answer(0.0, 0.1, 1.0, 1)
        assert limit.limit == 10
        for _ in range(25):
            limit.on_answer(0.0, 0.1, 1.0, 10)
        assert limit.limit == 12

    def test_refusals_do_not_go_below_the_minimum(self):
        limit = ConcurrencyLimit(10)
        for second in range(20):
            limit.on_refusal(second, second + 0.5)
        assert limit.limit == 4


class TestRetryBudget:
    """Guards against retries that multiply the load of a failure."""

    def test_retries_stay_within_the_documented_bound(self):
        rng = random.Random(4)
        budget = RetryBudget(10, 0.0)
        now, requests, retries = 0.0, 0, 0
        for _ in range(5_000):
            now += rng.expovariate(200)
            budget.on_request()
            requests += 1
            while budget.try_spend(now):
                retries += 1
        bound = MAX_BALANCE + 0.1 * requests + now + 1
        assert 0.1 * requests <= retries <= bound

    def test_idle_time_does_not_accumulate(self):
        budget = RetryBudget(10, 0.0)
        assert budget.try_spend(3600.0)
        assert not budget.try_spend(3600.5)
        assert budget.try_spend(3601.1)


class TestBackoff:
    """Guards against synchronised retries and excessive delays."""

    def test_delays_cover_an_increasing_range(self):
        backoff = Backoff(random.Random(1))
        for failures, bound in ((1, 0.025), (3, 0.1), (9, 1.0), (5000, 1.0)):
            delays = [backoff.delay_s(failures) for _ in range(300)]
            assert 0 <= min(delays) < bound * 0.1
            assert bound * 0.9 < max(delays) <= bound


class TestShedder:
    """Guards against late rejections and shedding of the wrong requests."""

    def decide(
        self, waiting=0, less_urgent_waiting=False, wait=0.0, remaining=1.0
    ):
        return Shedder(4).decide(
            waiting=waiting,
            less_urgent_waiting=less_urgent_waiting,
            expected_wait_s=wait,
            remaining_s=remaining,
        )

    def test_expected_wait_follows_the_share(self):
        shedder = Shedder(10)
        assert shedder.expected_wait_s(50, 2, 0.5) == 0.0
        shedder.on_end(2.0)
        assert shedder.expected_wait_s(4, 10, 0.5) == pytest.approx(2.0)

    def test_decisions(self):
        assert self.decide() is ShedDecision.WAIT
        assert self.decide(wait=1.0) is ShedDecision.UNREACHABLE
        assert self.decide(waiting=4) is ShedDecision.OVERLOADED
        assert (
            self.decide(waiting=4, less_urgent_waiting=True)
            is ShedDecision.REPLACE
        )
