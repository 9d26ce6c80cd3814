"""Tests of which requests a version under trial receives."""

from __future__ import annotations

import random

import pytest

from guavalane_core.moves.exposure import (
    MAX_ROUTE_FRACTION,
    ExposureBudget,
    RouteTraffic,
    divide_exposure,
)

SHARE = 0.1
SLACK = 50.0
LIMIT_S = 12.0


class TestDivision:
    """Guards against a rare route that is tried by its traffic only."""

    def test_a_rare_route_gets_as_much_as_it_needs(self):
        routes = {
            "busy": RouteTraffic(0.8, needed=1.0),
            "rare": RouteTraffic(0.2, needed=1.0),
        }
        parts = divide_exposure(routes, 0.2)
        assert parts == pytest.approx({"busy": 0.5, "rare": 0.5})

    def test_what_a_route_cannot_use_goes_to_the_others(self):
        routes = {
            "busy": RouteTraffic(0.98, needed=1.0),
            "rare": RouteTraffic(0.02, needed=1.0),
        }
        parts = divide_exposure(routes, 0.2)
        assert parts["rare"] == pytest.approx(MAX_ROUTE_FRACTION * 0.02 / 0.2)
        assert sum(parts.values()) == pytest.approx(1.0)

    def test_no_route_is_given_more_than_its_requests(self):
        """Guards against parts above 1 where nearly all may be exposed."""
        routes = {"only": RouteTraffic(1.0, needed=3.0)}
        assert divide_exposure(routes, 1.0) == {"only": MAX_ROUTE_FRACTION}
        assert divide_exposure({}, 0.2) == {}


class TestExposureBudget:
    """Guards against nodes that together exceed the operators' limit."""

    def play(self, nodes, requests, routes, *, until_s=LIMIT_S, seed=1):
        """Returns the exposed requests by route.

        Args:
          nodes: Number of nodes.
          requests: Requests of all nodes within the time limit.
          routes: Traffic of each route.
          until_s: Time after the order at which the load ends, in seconds.
          seed: Seed of all draws.
        """
        rng = random.Random(seed)
        budgets = [
            ExposureBudget(SHARE, SLACK, LIMIT_S, rng) for _ in range(nodes)
        ]
        for budget in budgets:
            budget.divide(routes, requests / LIMIT_S)
        names = list(routes) or ["r"]
        weights = [route.traffic for route in routes.values()] or [1.0]
        exposed = dict.fromkeys(names, 0)
        for number in range(int(requests * until_s / LIMIT_S)):
            (route,) = rng.choices(names, weights)
            elapsed_s = number * LIMIT_S / requests
            budget = rng.choice(budgets)
            exposed[route] += budget.take(route, rng.random(), elapsed_s, nodes)
        return exposed

    @pytest.mark.parametrize("nodes", [1, 8, 550])
    @pytest.mark.parametrize("requests", [200, 20_000])
    def test_the_sum_over_nodes_keeps_to_the_limit(self, nodes, requests):
        routes = {
            f"r{number}": RouteTraffic(0.2, needed=1.0 + number)
            for number in range(5)
        }
        for known in (routes, {}):
            totals = [
                sum(self.play(nodes, requests, known, seed=seed).values())
                for seed in range(5)
            ]
            limit = SHARE * requests + SLACK
            assert sum(totals) / len(totals) <= 1.05 * limit
            # The rounding of each node varies the sum.
            assert max(totals) <= limit + 3 * limit**0.5

    def test_the_slack_is_used_gradually(self):
        """Guards against a fault that begins when no request is left."""
        routes = {"r": RouteTraffic(1.0, needed=1.0)}
        first = self.play(7, 400, routes, until_s=LIMIT_S / 4)["r"]
        total = self.play(7, 400, routes)["r"]
        assert first < 0.45 * total

    def test_a_rare_route_is_tried_as_often_as_a_busy_one(self):
        routes = {
            "busy": RouteTraffic(0.8, needed=1.0),
            "rare": RouteTraffic(0.2, needed=1.0),
        }
        exposed = self.play(7, 400, routes)
        assert exposed["rare"] > 0.7 * exposed["busy"]
