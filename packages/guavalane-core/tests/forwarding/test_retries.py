"""Tests of the retry budget that nodes share."""

from __future__ import annotations

import random

from guavalane_core.forwarding import SharedRetryBudget

RATIO = 0.2
SLACK = 54.0
WINDOW_S = 10.0
NODES = 7


class TestSharedRetryBudget:
    """Guards against retries that overload a service that fails."""

    def test_all_nodes_keep_the_bound_in_every_window(self):
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
            # Every attempt fails and is repeated as often as is allowed.
            while budget.may_spend(now_s, NODES):
                budget.spend(now_s)
                repeats.append(now_s)
        for start_s in range(0, 50):
            end_s = start_s + WINDOW_S
            asked = sum(start_s <= t < end_s for t in requests)
            repeated = sum(start_s <= t < end_s for t in repeats)
            assert repeated <= RATIO * asked + SLACK

    def test_a_node_alone_has_a_part_of_its_own(self):
        budget = SharedRetryBudget(RATIO, SLACK, WINDOW_S)
        budget.on_request(0.0)
        assert budget.may_spend(0.0, NODES)

    def test_old_repeats_free_the_budget(self):
        budget = SharedRetryBudget(0.0, 10.0, WINDOW_S)
        while budget.may_spend(0.0, 1):
            budget.spend(0.0)
        assert not budget.may_spend(WINDOW_S / 2, 1)
        assert budget.may_spend(WINDOW_S + 0.1, 1)
