"""Tests of the leaderless comparison of versions."""

from __future__ import annotations

import math
import random

import pytest

from guavalane_core.forwarding import MovePhase, VersionMove
from guavalane_core.moves.table import DECISION_EVIDENCE, MoveTable
from guavalane_core.moves.trial import MIN_ATTEMPTS, VersionTrial
from guavalane_standins.forwarding_samples import make_endpoint

ROUTES = ("notes", "lookups")
# Attempts per second on each route, and the new version's share of them.
RATE = 20
NEW_SHARE = 0.06
OLD_FAILURES = 0.05
OLD_TIME_S = 0.1


def record(
    trial, route, *, is_new, failed=False, elapsed_s=0.1, now_s=0.0, gap_s=None
):
    """Records an attempt that has ended.

    Args:
      trial: Trial of the node that made it.
      route: Name of the route.
      is_new: Whether it was made at the new version.
      failed: Whether it failed.
      elapsed_s: Time to the response or first event, in seconds.
      now_s: Time of its start in seconds.
      gap_s: Time between the events of a stream, in seconds.
    """
    sample = trial.begin(route, is_new=is_new, now_s=now_s)
    end_s = now_s + elapsed_s
    if gap_s is not None:
        for _ in range(20):
            sample.on_events(1, end_s)
            end_s += gap_s
    trial.end(sample, end_s)
    sample.finish(end_s, failed=failed)


class Load:
    """Simulates attempts on both versions across several nodes.

    Args:
      seed: Seed of the outcomes.
      nodes: Number of nodes, each with its own trial; they exchange totals.
    """

    def __init__(self, seed, nodes=2):
        self._rng = random.Random(seed)
        self.now_s = 0.0
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
            self.now_s += 0.25
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
        record(
            rng.choice(self.nodes),
            route,
            is_new=is_new,
            failed=failed,
            elapsed_s=elapsed_s,
            now_s=self.now_s,
        )

    def _exchange_and_judge(self, node):
        for number, other in enumerate(self.nodes):
            if other is not node:
                node.report(f"n{number}", 1, other.counts)
        self.fault = node.judge(self.now_s) or self.fault
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
            assert load.nodes[0].unmet_requirement(DECISION_EVIDENCE) == ""
            assert load.nodes[0].attempts() == load.new_attempts

    def test_a_version_that_fails_is_condemned(self):
        for seed in range(20):
            load = Load(seed)
            assert (
                load.run(60, failure_rates=dict.fromkeys(ROUTES, 0.5))
                is not None
            )
            assert load.bad_answers < self.LIMIT
            assert "attempts that fail" in load.fault

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
        trial = load.nodes[0]
        assert trial.judge(0.0) == ""
        assert trial.unmet_requirement(DECISION_EVIDENCE)
        for _ in range(MIN_ATTEMPTS - 1):
            record(trial, "notes", is_new=True, elapsed_s=0.1)
        assert trial.judge(1.0) == ""
        assert trial.unmet_requirement(DECISION_EVIDENCE)

    def test_a_repeated_report_counts_once(self):
        trial, other = VersionTrial(), VersionTrial()
        record(other, "notes", is_new=True, elapsed_s=0.1)
        trial.report("n1", 1, other.counts)
        trial.report("n1", 1, other.counts)
        assert trial.attempts() == 1
        trial.report("n1", 2, other.counts)
        assert trial.attempts() == 2


class TestSlowVersion:
    """Guards against a slow version that is accepted."""

    # A small fleet: requests per second, and time limit of a move.
    NODES = 8
    RATE = 30
    LIMIT_S = 15.0
    ROUTES = ("plans", "queries", "summaries")
    OLD_GAP_S = 0.02

    def play(self, slowdown, seed, gives_up_s=math.inf):
        """Plays a move and returns its end and the time of its fault.

        Streams of the new version take `slowdown` times as long. They are as
        long as those of the old one, so that few of them end during the move.

        Args:
          slowdown: Factor on the times of the new version.
          seed: Seed of the load.
          gives_up_s: Time after which callers give up.
        """
        rng = random.Random(seed)
        table = [
            MoveTable(0.1, 50, random.Random(1000 * seed + number))
            for number in range(self.NODES)
        ]
        endpoints = [
            make_endpoint(f"e-{version}-{n}", version=version)
            for version in ("v1", "v2")
            for n in range(4)
        ]
        streams = []
        order_s = 4.0
        for step in range(int((order_s + self.LIMIT_S) / 0.05)):
            now_s = step * 0.05
            if step == int(order_s / 0.05):
                move = VersionMove("app", "v2", self.LIMIT_S, MovePhase.RUNNING)
                for node in table:
                    node.offer(move, now_s)
            for _ in range(int(rng.expovariate(1 / (self.RATE * 0.05)) + 0.5)):
                node = rng.choice(table)
                route = rng.choice(self.ROUTES)
                allowed = node.allowed(
                    "app",
                    endpoints,
                    rng.random(),
                    route=route,
                    now_s=now_s,
                    first=True,
                    nodes=self.NODES,
                )
                endpoint = rng.choice(allowed)
                streams.append(
                    Stream(
                        node, endpoint, route, now_s, slowdown, rng, gives_up_s
                    )
                )
            streams = [s for s in streams if s.advance(now_s)]
            if step % 5 or now_s < order_s:
                continue
            for node in table:
                trial = node.moves["app"].trial
                for number, other in enumerate(table):
                    if other is not node:
                        trial.report(
                            f"n{number}", 1, other.moves["app"].trial.counts
                        )
                if node.judge(now_s):
                    return MovePhase.ROLLED_BACK, now_s - order_s
            phase = table[0].moves["app"].next_phase(now_s)
            if phase is not None:
                return phase, now_s - order_s
        return None, self.LIMIT_S

    @pytest.mark.parametrize("slowdown", [4.0, 8.0])
    def test_a_version_with_slow_streams_is_not_completed(self, slowdown):
        for seed in range(20):
            phase, _ = self.play(slowdown, seed)
            assert phase is MovePhase.ROLLED_BACK, seed

    def test_a_slow_version_whose_callers_give_up_is_not_completed(self):
        for seed in range(20):
            phase, _ = self.play(30.0, seed, gives_up_s=2.0)
            assert phase is MovePhase.ROLLED_BACK, seed

    def test_a_version_that_never_answers_is_not_completed(self):
        for seed in range(20):
            phase, _ = self.play(1e6, seed)
            assert phase is MovePhase.ROLLED_BACK, seed

    def test_a_version_as_fast_as_the_old_one_is_completed(self):
        ends = [self.play(1.0, seed) for seed in range(40)]
        completed = [
            end_s for phase, end_s in ends if phase.name == "COMPLETED"
        ]
        assert len(completed) >= 38
        assert max(completed) < self.LIMIT_S

    def test_a_fault_on_one_route_is_not_diluted(self):
        """Guards against a faulty route that the others outvote."""
        trial = VersionTrial()
        for second in range(10):
            now_s = float(second)
            for route in self.ROUTES:
                slow = 5 if route == "plans" else 1
                for number in range(10):
                    record(trial, route, is_new=False, now_s=now_s)
                    if number % 3 == 0:
                        record(
                            trial,
                            route,
                            is_new=True,
                            elapsed_s=0.1 * (slow if number % 2 else 1),
                            now_s=now_s,
                        )
            trial.judge(now_s)
        assert "plans" in trial.unmet_requirement(DECISION_EVIDENCE)


class Stream:
    """Stream of events at one endpoint.

    Args:
      node: Move table of the node that forwards it.
      endpoint: Endpoint.
      route: Name of the route.
      now_s: Time of its start in seconds.
      slowdown: Factor on the times of the new version.
      rng: Source of its length and speed.
      gives_up_s: Time after which its caller gives up.
    """

    def __init__(self, node, endpoint, route, now_s, slowdown, rng, gives_up_s):
        factor = slowdown if endpoint.version == "v2" else 1.0
        self._node = node
        self._endpoint = endpoint
        self._began_s = now_s
        self._gap_s = 0.02 * factor * rng.lognormvariate(0, 0.2)
        self._next_s = now_s + 0.1 * factor * rng.lognormvariate(0, 0.3)
        self._left = max(1, int(rng.lognormvariate(3.5, 0.7)))
        self._gives_up_s = gives_up_s
        self._sample = node.begin_attempt(endpoint, route, now_s)

    def advance(self, now_s):
        """Produces the events until a time; returns whether it goes on."""
        while self._left and self._next_s <= now_s:
            self._sample.on_events(1, self._next_s)
            self._next_s += self._gap_s
            self._left -= 1
        gives_up = now_s - self._began_s > self._gives_up_s
        if self._left and not gives_up:
            return True
        self._node.end_attempt(self._endpoint, self._sample, now_s)
        if not gives_up:
            self._sample.finish(now_s, failed=False)
        return False


class TestVaryingLatency:
    """Guards against an undecided comparison while latencies vary.

    Both versions slow down alike, such as on a machine with more and more other
    work. Most attempts then exceed a limit that comes from earlier windows.
    """

    SECONDS = 10
    SEEDS = 40

    def is_accepted(self, seed, *, spread, growth, slowdown):
        """Plays a move of one service and returns whether it is accepted.

        Args:
          seed: Seed of the latencies.
          spread: Spread of the latency between seconds, as the standard
              deviation of its logarithm.
          growth: Factor by which the latency grows each second.
          slowdown: Factor by which the new version is slower.
        """
        rng = random.Random(seed)
        trial = VersionTrial()
        for second in range(self.SECONDS):
            scale_s = 0.01 * rng.lognormvariate(0, spread) * growth**second
            for number in range(5 * RATE):
                is_new = rng.random() < NEW_SHARE
                elapsed_s = scale_s * rng.lognormvariate(0, 0.3)
                record(
                    trial,
                    "notes",
                    is_new=is_new,
                    now_s=second + number / (5 * RATE),
                    elapsed_s=elapsed_s * (slowdown if is_new else 1.0),
                )
            if trial.judge(second + 1.0):
                return False
        return not trial.unmet_requirement(DECISION_EVIDENCE)

    def test_a_good_version_is_accepted_while_latencies_rise(self):
        undecided = [
            seed
            for seed in range(self.SEEDS)
            if not self.is_accepted(seed, spread=0.3, growth=1.8, slowdown=1.0)
        ]
        assert undecided == []

    @pytest.mark.parametrize("growth", [1.0, 1.8])
    def test_a_slow_version_is_not_accepted_while_latencies_vary(self, growth):
        accepted = [
            seed
            for seed in range(self.SEEDS)
            if self.is_accepted(seed, spread=1.2, growth=growth, slowdown=3.0)
        ]
        assert accepted == []
