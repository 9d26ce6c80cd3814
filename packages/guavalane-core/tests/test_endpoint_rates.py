"""Tests of the rate limits that endpoints state, divided among nodes."""

from __future__ import annotations

import bisect
import itertools
import random

import pytest

from guavalane_core.limits.endpoint_rates import (
    LIMIT_LIFETIME_S,
    EndpointRateLimits,
    StatedLimit,
    choose_users,
)

# The operators allow this many times the limit, and further requests, in each
# window, in seconds.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
WINDOW_S = 4.0
STEP_S = 0.02


def make_limits(nodes, rate_per_s, seed=1):
    """Returns the limits of each node, which all know the same statement."""
    rng = random.Random(seed)
    limits = {}
    for name in nodes:
        limits[name] = EndpointRateLimits(name, random.Random(rng.random()))
        limits[name].observe("e-1", StatedLimit(rate_per_s, 0.0))
    return limits


def saturate(limits, duration_s, weights=None):
    """Sends a request from each node whenever its share admits one.

    Args:
      limits: Limits by node.
      duration_s: Duration in seconds.
      weights: Fraction of the time in which each node has requests; all of it
          by default.

    Returns:
      Times of the requests in seconds.
    """
    rng = random.Random(7)
    names = list(limits)
    sent_s = []
    for step in range(int(duration_s / STEP_S)):
        now_s = step * STEP_S
        for name in names:
            if weights is not None and rng.random() >= weights[name]:
                continue
            if limits[name].wait_s("e-1", names, now_s) <= 0:
                limits[name].draw("e-1")
                sent_s.append(now_s)
    return sent_s


def largest_window(sent_s):
    """Returns the largest number of requests in one window."""
    return max(
        (
            bisect.bisect_right(sent_s, start_s + WINDOW_S) - index
            for index, start_s in enumerate(sent_s)
        ),
        default=0,
    )


class TestDivision:
    """Guards against endpoints that get more requests than they take."""

    @pytest.mark.parametrize("nodes", [1, 2, 8, 74, 550])
    @pytest.mark.parametrize("rate_per_s", [0.0, 0.3, 1.3, 2.1, 7.5, 40.0])
    def test_all_nodes_together_keep_to_the_limit(self, nodes, rate_per_s):
        limits = make_limits([f"n{n}" for n in range(nodes)], rate_per_s)
        sent_s = saturate(limits, 12.0)
        allowed = ALLOWED_FACTOR * rate_per_s * WINDOW_S + ALLOWED_EXTRA
        assert largest_window(sent_s) <= allowed

    @pytest.mark.parametrize("nodes", [1, 8, 74])
    @pytest.mark.parametrize("rate_per_s", [0.3, 2.1, 40.0])
    def test_the_limit_is_used_if_there_is_demand(self, nodes, rate_per_s):
        limits = make_limits([f"n{n}" for n in range(nodes)], rate_per_s)
        sent_s = saturate(limits, 40.0)
        assert len(sent_s) >= 0.8 * rate_per_s * 40.0

    def test_idle_nodes_do_not_send_what_they_saved_at_once(self):
        names = [f"n{n}" for n in range(74)]
        limits = make_limits(names, 2.0)
        for name in names:
            limits[name].wait_s("e-1", names, 0.0)
        sent = sum(limits[n].wait_s("e-1", names, 50.0) <= 0 for n in names)
        assert sent <= ALLOWED_FACTOR * 2.0 * WINDOW_S + ALLOWED_EXTRA

    def test_nodes_that_join_and_leave_keep_the_limit(self):
        names = [f"n{n}" for n in range(12)]
        limits = make_limits(names, 2.0)
        sent_s = []
        now_s = 0.0
        for round_number in itertools.count():
            present = names[: 6 + round_number % 7]
            for _ in range(int(2.0 / STEP_S)):
                now_s += STEP_S
                for name in present:
                    if limits[name].wait_s("e-1", present, now_s) <= 0:
                        limits[name].draw("e-1")
                        sent_s.append(now_s)
            if now_s > 40.0:
                break
        allowed = ALLOWED_FACTOR * 2.0 * WINDOW_S + ALLOWED_EXTRA
        assert largest_window(sent_s) <= allowed

    def test_each_endpoint_has_other_users(self):
        names = [f"n{n}" for n in range(74)]
        chosen = {
            name for e in range(40) for name in choose_users(f"e-{e}", names, 2)
        }
        assert len(chosen) > 60


class TestStatements:
    """Guards against limits that are kept too long or not at all."""

    @pytest.fixture
    def limits(self):
        """Limits of a node that is alone."""
        return make_limits(["n1"], 0.5)["n1"]

    def wait_s(self, limits, now_s):
        """Returns the time until the endpoint takes the next request."""
        return limits.wait_s("e-1", ["n1"], now_s)

    def test_a_statement_without_a_limit_ends_it(self, limits):
        limits.draw("e-1")
        assert limits.observe("e-1", StatedLimit(None, 1.0))
        assert self.wait_s(limits, 1.0) == 0

    def test_an_older_statement_is_ignored(self, limits):
        assert not limits.observe("e-1", StatedLimit(None, -1.0))
        assert limits.in_force(0.0) == {"e-1": 0.5}

    def test_a_changed_limit_applies_at_once(self, limits):
        self.wait_s(limits, 0.0)
        limits.draw("e-1")
        before_s = self.wait_s(limits, 0.0)
        assert limits.observe("e-1", StatedLimit(5.0, 0.1))
        assert self.wait_s(limits, 0.1) < before_s / 5

    def test_an_unconfirmed_limit_is_forgotten(self, limits):
        self.wait_s(limits, 0.0)
        limits.draw("e-1")
        assert self.wait_s(limits, LIMIT_LIFETIME_S + 1) == 0
        assert list(limits.stated(LIMIT_LIFETIME_S + 1)) == []

    def test_another_endpoint_is_not_limited(self, limits):
        assert limits.wait_s("e-2", ["n1"], 0.0) == 0
