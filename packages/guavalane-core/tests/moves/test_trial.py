"""Tests of the leaderless comparison of versions."""

from __future__ import annotations

import random

from guavalane_core.moves.trial import MIN_ATTEMPTS, VersionTrial

ROUTES = ("notes", "lookups")
# Attempts per second on each route, and the new version's share of them.
RATE = 20
NEW_SHARE = 0.06
OLD_FAILURES = 0.05
OLD_TIME_S = 0.1


class Load:
    """Simulates attempts on both versions across several nodes.

    Args:
      seed: Seed of the outcomes.
      nodes: Number of nodes, each with its own trial; they exchange totals.
    """

    def __init__(self, seed, nodes=2):
        self._rng = random.Random(seed)
        self.nodes = [VersionTrial() for _ in range(nodes)]
        self.fault = ""
        self.new_attempts = 0
        self.bad_answers = 0

    def run(
        self,
        seconds,
        *,
        failure_rates=None,
        slowdown=1.0,
        shared_failure_rate=0.0,
    ):
        """Simulates load; returns the second at which a node found a fault.

        Args:
          seconds: Maximum duration.
          failure_rates: Failure rate of the new version by route.
          slowdown: Factor on the latency of the new version.
          shared_failure_rate: Failure rate of both versions.
        """
        for step in range(int(seconds * 4)):
            for route in ROUTES:
                for _ in range(RATE // 4):
                    self._attempt(
                        route,
                        (failure_rates or {}).get(route, 0.0),
                        slowdown,
                        shared_failure_rate,
                    )
            if any([self._exchange_and_judge(node) for node in self.nodes]):
                return step / 4
        return None

    def _attempt(self, route, failure_rates, slowdown, shared_failure_rate):
        rng = self._rng
        is_new = rng.random() < NEW_SHARE
        elapsed_fraction = max(OLD_FAILURES, shared_failure_rate)
        elapsed_fraction = (
            max(elapsed_fraction, failure_rates) if is_new else elapsed_fraction
        )
        failed = rng.random() < elapsed_fraction
        elapsed_s = OLD_TIME_S * rng.lognormvariate(0, 0.3)
        if is_new:
            elapsed_s *= slowdown
            self.new_attempts += 1
            self.bad_answers += failed or slowdown > 1
        rng.choice(self.nodes).record(
            route, is_new=is_new, failed=failed, elapsed_s=elapsed_s
        )

    def _exchange_and_judge(self, node):
        for number, other in enumerate(self.nodes):
            if other is not node:
                node.report(f"n{number}", 1, other.counts)
        self.fault = node.judge() or self.fault
        return bool(self.fault)


class TestVersionTrial:
    """Guards against undetected bad versions and rejected good ones."""

    # Bad responses after which the operators' requirement leaves 5 s until a
    # faulty version must receive no more requests.
    LIMIT = 50

    def test_a_good_version_is_cleared(self):
        for seed in range(20):
            load = Load(seed)
            assert load.run(30) is None, seed
            assert load.nodes[0].is_cleared()
            assert load.nodes[0].attempts() == load.new_attempts

    def test_a_version_that_fails_is_condemned(self):
        for seed in range(20):
            load = Load(seed)
            assert (
                load.run(60, failure_rates=dict.fromkeys(ROUTES, 0.5))
                is not None
            )
            assert load.bad_answers < self.LIMIT
            assert "failed" in load.fault

    def test_a_version_that_fails_on_one_route_is_condemned(self):
        for seed in range(20):
            load = Load(seed)
            assert load.run(60, failure_rates={"notes": 0.6}) is not None
            assert load.bad_answers < self.LIMIT
            assert "notes" in load.fault

    def test_a_version_that_fails_later_is_condemned(self):
        for seed in range(20):
            load = Load(seed)
            assert load.run(20) is None
            before = load.bad_answers
            assert (
                load.run(60, failure_rates=dict.fromkeys(ROUTES, 0.5))
                is not None
            )
            assert load.bad_answers - before < self.LIMIT

    def test_a_slow_version_is_condemned(self):
        for seed in range(20):
            load = Load(seed)
            assert load.run(60, slowdown=4.0) is not None
            assert load.bad_answers < 2 * self.LIMIT
            assert "slow" in load.fault

    def test_a_fault_of_both_versions_condemns_none(self):
        for seed in range(20):
            load = Load(seed)
            assert load.run(10) is None
            assert load.run(10, shared_failure_rate=0.5) is None, load.fault
            assert load.run(10) is None

    def test_a_version_without_attempts_is_not_cleared(self):
        load = Load(1)
        assert load.nodes[0].judge() == ""
        assert not load.nodes[0].is_cleared()
        for _ in range(MIN_ATTEMPTS - 1):
            load.nodes[0].record(
                "notes", is_new=True, failed=False, elapsed_s=0.1
            )
        assert not load.nodes[0].is_cleared()

    def test_a_repeated_report_counts_once(self):
        trial, other = VersionTrial(), VersionTrial()
        other.record("notes", is_new=True, failed=False, elapsed_s=0.1)
        trial.report("n1", 1, other.counts)
        trial.report("n1", 1, other.counts)
        assert trial.attempts() == 1
        trial.report("n1", 2, other.counts)
        assert trial.attempts() == 2
