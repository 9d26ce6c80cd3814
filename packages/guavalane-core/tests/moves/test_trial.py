"""Tests of the comparison of versions from shared totals."""

from __future__ import annotations

import random

from guavalane_core.moves.trial import MIN_ATTEMPTS, VersionTrial

ROUTES = ("notes", "lookups")
# Attempts per second of one route, and part of them at the new version.
RATE = 20
NEW_PART = 0.06
OLD_FAILURES = 0.05
OLD_TIME_S = 0.1


class Load:
    """Plays attempts at both versions over several nodes.

    Args:
      seed: Seed of the outcomes.
      nodes: Trials of the nodes, which tell each other their totals.
    """

    def __init__(self, seed, nodes=2):
        self._rng = random.Random(seed)
        self.nodes = [VersionTrial() for _ in range(nodes)]
        self.fault = ""
        self.new_attempts = 0
        self.bad_answers = 0

    def play(self, seconds, *, fails=None, slower=1.0, shared=0.0):
        """Plays load; returns the second at which a node saw a fault.

        Args:
          seconds: Length.
          fails: Part of the new version's attempts that fail, by route.
          slower: How many times as long the new version takes.
          shared: Part of the attempts at both versions that fail.
        """
        for step in range(int(seconds * 4)):
            for route in ROUTES:
                for _ in range(RATE // 4):
                    self._attempt(
                        route, (fails or {}).get(route, 0.0), slower, shared
                    )
            if any([self._tell_and_judge(node) for node in self.nodes]):
                return step / 4
        return None

    def _attempt(self, route, fails, slower, shared):
        rng = self._rng
        is_new = rng.random() < NEW_PART
        part = max(OLD_FAILURES, shared)
        part = max(part, fails) if is_new else part
        failed = rng.random() < part
        elapsed_s = OLD_TIME_S * rng.lognormvariate(0, 0.3)
        if is_new:
            elapsed_s *= slower
            self.new_attempts += 1
            self.bad_answers += failed or slower > 1
        rng.choice(self.nodes).record(
            route, is_new=is_new, failed=failed, elapsed_s=elapsed_s
        )

    def _tell_and_judge(self, node):
        for number, other in enumerate(self.nodes):
            if other is not node:
                node.report(f"n{number}", 1, other.counts)
        self.fault = node.judge() or self.fault
        return bool(self.fault)


class TestVersionTrial:
    """Guards against bad versions that stay, and good ones that are undone."""

    # Bad answers after which the operators allow a version 5 s more.
    LIMIT = 50

    def test_a_good_version_is_cleared(self):
        for seed in range(20):
            load = Load(seed)
            assert load.play(30) is None, seed
            assert load.nodes[0].is_cleared()
            assert load.nodes[0].attempts() == load.new_attempts

    def test_a_version_that_fails_is_condemned(self):
        for seed in range(20):
            load = Load(seed)
            assert load.play(60, fails=dict.fromkeys(ROUTES, 0.5)) is not None
            assert load.bad_answers < self.LIMIT
            assert "failed" in load.fault

    def test_a_version_that_fails_on_one_route_is_condemned(self):
        for seed in range(20):
            load = Load(seed)
            assert load.play(60, fails={"notes": 0.6}) is not None
            assert load.bad_answers < self.LIMIT
            assert "notes" in load.fault

    def test_a_version_that_fails_later_is_condemned(self):
        for seed in range(20):
            load = Load(seed)
            assert load.play(20) is None
            before = load.bad_answers
            assert load.play(60, fails=dict.fromkeys(ROUTES, 0.5)) is not None
            assert load.bad_answers - before < self.LIMIT

    def test_a_slow_version_is_condemned(self):
        for seed in range(20):
            load = Load(seed)
            assert load.play(60, slower=4.0) is not None
            assert load.bad_answers < 2 * self.LIMIT
            assert "slow" in load.fault

    def test_a_fault_of_both_versions_condemns_none(self):
        for seed in range(20):
            load = Load(seed)
            assert load.play(10) is None
            assert load.play(10, shared=0.5) is None, load.fault
            assert load.play(10) is None

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
