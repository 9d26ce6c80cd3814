"""Tests of the shared retry budget."""

from __future__ import annotations

import math
import random

from guavalane_core.forwarding import SharedRetryBudget

RATIO = 0.2
SLACK = 54.0
WINDOW_S = 10.0
NODES = 7


def assert_within_limit(requests, repeats):
    """Asserts that the retries of every window are within the limit.

    Args:
      requests: Times of the requests of all nodes, in seconds.
      repeats: Times of their retries, in seconds.
    """
    for start_s in range(0, 50):
        end_s = start_s + WINDOW_S
        asked = sum(start_s <= t < end_s for t in requests)
        repeated = sum(start_s <= t < end_s for t in repeats)
        assert repeated <= RATIO * asked + SLACK


class TestSharedRetryBudget:
    """Guards against retries that overload a failing service."""

    def test_all_nodes_together_keep_the_limit_in_every_window(self):
        rng = random.Random(7)
        budgets = [
            SharedRetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(NODES)
        ]
        requests, repeats = [], []
        for step in range(6000):
            now_s = step * 0.01
            budget = rng.choice(budgets)
            budget.on_request(now_s)
            requests.append(now_s)
            # Every attempt fails and is retried as often as allowed.
            while budget.may_spend(now_s, NODES):
                budget.spend(now_s)
                repeats.append(now_s)
        assert_within_limit(requests, repeats)

    def test_single_node_has_its_own_share(self):
        budget = SharedRetryBudget(RATIO, SLACK, WINDOW_S)
        budget.on_request(0.0)
        assert budget.may_spend(0.0, NODES)

    def test_retries_outside_the_window_free_the_budget(self):
        budget = SharedRetryBudget(0.0, 10.0, WINDOW_S)
        while budget.may_spend(0.0, 1):
            budget.spend(0.0)
        assert not budget.may_spend(WINDOW_S / 2, 1)
        assert budget.may_spend(WINDOW_S + 0.1, 1)

    def test_restarts_of_all_nodes_keep_the_limit(self):
        """Guards against slack that each new process uses once more."""
        rng = random.Random(7)
        requests, repeats = [], []
        budgets = []
        for step in range(6000):
            now_s = step * 0.01
            # All nodes restart at once, several times within a window.
            if step == 0 or step in (1000, 1250, 1500, 1750, 4000):
                budgets = [
                    SharedRetryBudget(
                        RATIO, SLACK, WINDOW_S, now_s if step else -WINDOW_S
                    )
                    for _ in range(NODES)
                ]
            budget = rng.choice(budgets)
            budget.on_request(now_s)
            requests.append(now_s)
            # Before the restarts, no retry was due for a while.
            is_due = not 300 < step < 950
            while is_due and budget.may_spend(now_s, NODES):
                budget.spend(now_s)
                repeats.append(now_s)
        assert_within_limit(requests, repeats)

    def test_a_node_that_knows_no_other_uses_no_slack(self):
        """Guards against nodes that each use the slack of all."""
        budget = SharedRetryBudget(RATIO, SLACK, WINDOW_S)
        budget.on_request(0.0)
        assert not budget.may_spend(0.0, math.inf)
        for _ in range(100):
            budget.on_request(0.0)
        assert budget.may_spend(0.0, math.inf)
