"""Tests of endpoints that are cold."""

from __future__ import annotations

import bisect
import math
import random

import pytest

from guavalane_core.limits.cold_endpoints import ColdEndpoints, ColdTolerance
from guavalane_core.placement import Candidate, prefer_warm
from guavalane_core.placement.work import Load
from guavalane_standins.forwarding_samples import make_endpoint

# Bound of the operators on the requests in any one second.
TOLERANCE = ColdTolerance(ratio=1.5, slack=5.0)
STEP_S = 0.02
COLD_START_S = 8.0
START_MS = 1_000_000.0


class Fleet:
    """Nodes that send to one cold endpoint as often as they may.

    Args:
      count: Number of nodes.
      rate_per_s: Rate of the endpoint.
    """

    def __init__(self, count, rate_per_s):
        self.names = [f"n{n}" for n in range(count)]
        self.rate_per_s = rate_per_s
        self.rng = random.Random(5)
        self.now_s = 0.0
        self.sent_s = []
        self.nodes = {}
        for name in self.names:
            self.restart(name)

    def restart(self, name):
        """Replaces the state of a node by that of a new process."""
        rng = random.Random(self.rng.random())
        self.nodes[name] = ColdEndpoints(name, rng, TOLERANCE)

    def run(self, duration_s, sides=None):
        """Lets all nodes send for a time.

        Args:
          duration_s: Duration in seconds.
          sides: Listed nodes and heard fraction of each node; all by default.
        """
        for _ in range(int(duration_s / STEP_S)):
            self.now_s += STEP_S
            for name in self.names:
                listed, heard = (sides or {}).get(name, (self.names, 1.0))
                if self.wait_s(name, listed, heard) <= 0:
                    self.nodes[name].draw("e-1")
                    self.sent_s.append(self.now_s)

    def wait_s(self, name, listed, heard=1.0):
        """Returns the time until a node may send."""
        return self.nodes[name].wait_s(
            "e-1", self.rate_per_s, listed, self.now_s, heard
        )

    def busiest_second(self):
        """Returns the largest number of requests in any one second."""
        return max(
            bisect.bisect_right(self.sent_s, start_s + 1.0) - index
            for index, start_s in enumerate(self.sent_s)
        )

    def allowed(self):
        """Returns the largest number of requests that operators allow."""
        return TOLERANCE.ratio * self.rate_per_s + TOLERANCE.slack


@pytest.mark.parametrize("rate_per_s", [0.5, 2.0, 10.0])
class TestDivision:
    """Guards against a cold endpoint that gets more than its rate."""

    @pytest.mark.parametrize("count", [1, 7, 75])
    def test_the_sum_over_all_nodes_is_the_rate(self, count, rate_per_s):
        fleet = Fleet(count, rate_per_s)
        fleet.run(20.0)
        assert fleet.busiest_second() <= 0.8 * fleet.allowed()
        assert len(fleet.sent_s) <= 20.0 * rate_per_s + TOLERANCE.slack
        assert len(fleet.sent_s) >= 0.8 * 20.0 * rate_per_s

    @pytest.mark.parametrize("count", [1, 7, 75])
    def test_saved_requests_are_bounded(self, count, rate_per_s):
        fleet = Fleet(count, rate_per_s)
        for name in fleet.names:
            fleet.wait_s(name, fleet.names)
        fleet.now_s = 60.0
        fleet.run(2.0)
        assert fleet.busiest_second() <= 0.9 * fleet.allowed()

    @pytest.mark.parametrize("count", [1, 7, 75])
    def test_nodes_that_restart_together(self, count, rate_per_s):
        fleet = Fleet(count, rate_per_s)
        for _ in range(8):
            fleet.run(0.7)
            for name in fleet.names:
                fleet.restart(name)
        fleet.run(2.0)
        assert fleet.busiest_second() <= fleet.allowed()

    @pytest.mark.parametrize("count", [7, 75])
    def test_a_minority_that_was_removed_from_the_list(self, count, rate_per_s):
        # The holder of the duties removes at most half of the nodes; these
        # still list all.
        fleet = Fleet(count, rate_per_s)
        fleet.run(6.0)
        split = (count + 1) // 2
        major, minor = fleet.names[:split], fleet.names[split:]
        heard = len(minor) / count
        sides = {name: (major, 1.0) for name in major}
        sides |= {name: (fleet.names, heard) for name in minor}
        fleet.run(20.0, sides)
        assert fleet.busiest_second() <= fleet.allowed()

    def test_a_node_that_knows_no_list_sends_nothing(self, rate_per_s):
        assert math.isinf(Fleet(1, rate_per_s).wait_s("n0", ()))


class TestColdTime:
    """Guards against an endpoint that is taken for warm too early."""

    @pytest.fixture
    def cold(self):
        """Cold endpoints of a node."""
        return ColdEndpoints("n1", random.Random(1), TOLERANCE)

    def observe(self, cold, version, now_s, may_be_old=False, **entry):
        """Reads an entry of the endpoint at a time."""
        cold.observe(
            make_endpoint("e-1", **entry),
            version,
            now_s,
            START_MS + 1000 * now_s,
            may_be_old=may_be_old,
        )

    def left_s(self, cold, now_s, serving_since_ms=math.inf):
        """Returns the remaining time."""
        return cold.remaining_s("e-1", COLD_START_S, serving_since_ms, now_s)

    def test_the_time_of_an_entry_ends(self, cold):
        self.observe(cold, "1", 0.0, cold_s=3.0)
        assert self.left_s(cold, 1.0) == pytest.approx(2.0)
        assert self.left_s(cold, 3.0) == 0

    def test_an_entry_that_is_listed_again_does_not_begin_anew(self, cold):
        self.observe(cold, "1", 0.0, cold_s=3.0)
        self.observe(cold, "1", 2.0, cold_s=3.0)
        assert self.left_s(cold, 2.0) == pytest.approx(1.0)

    def test_an_endpoint_becomes_cold_again_and_warm(self, cold):
        self.observe(cold, "1", 0.0)
        self.observe(cold, "2", 30.0, cold_s=5.0)
        assert self.left_s(cold, 31.0) == pytest.approx(4.0)
        self.observe(cold, "3", 32.0)
        assert self.left_s(cold, 32.0) == 0

    def test_an_older_copy_of_the_entry_does_not_end_it(self, cold):
        self.observe(cold, "2", 0.0, cold_s=5.0)
        self.observe(cold, "1", 1.0, may_be_old=True)
        assert self.left_s(cold, 1.0) == pytest.approx(4.0)

    def test_a_new_endpoint_is_cold_since_its_start(self, cold):
        self.observe(cold, "1", 3.0, started_ms=int(START_MS + 1000))
        assert self.left_s(cold, 3.0, START_MS) == pytest.approx(6.0)
        assert self.left_s(cold, 9.0, START_MS) == 0

    def test_an_endpoint_that_started_before_the_nodes_is_not(self, cold):
        self.observe(cold, "1", 3.0, started_ms=int(START_MS + 1000))
        assert self.left_s(cold, 3.0, START_MS + 2000) == 0

    def test_an_endpoint_whose_clock_is_ahead_started_now(self, cold):
        self.observe(cold, "1", 3.0, started_ms=int(START_MS + 60_000))
        assert self.left_s(cold, 3.0, START_MS) == COLD_START_S

    def test_a_restarted_endpoint_is_cold_anew(self, cold):
        self.observe(cold, "1", 0.0, started_ms=int(START_MS - 60_000))
        self.observe(cold, "2", 20.0, started_ms=int(START_MS + 20_000))
        assert self.left_s(cold, 20.0, START_MS) == COLD_START_S


class TestPreferWarm:
    """Guards against warm engines that get all prompts while one is cold."""

    @pytest.mark.parametrize(
        ("requests", "prefill_tokens", "count"),
        [(3, 0, 1), (3, 10_000, 1), (3, 10_001, 2), (4, 0, 2)],
    )
    def test_cold_endpoints_help_busy_ones(
        self, requests, prefill_tokens, count
    ):
        warm = Candidate(
            make_endpoint("e-1", slots=4), Load(requests, prefill_tokens)
        )
        cold = Candidate(make_endpoint("e-2", slots=4), Load(), cold=True)
        assert len(prefer_warm([warm, cold])) == count
