"""Simulation of version moves without processes, for tests.

Callers send requests of several routes to nodes in front of one service. Each
node has the production `MoveTable`; the nodes tell each other their outcomes,
and one of them writes the phases.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence

import attrs

from guavalane_core.forwarding import Endpoint, MovePhase, VersionMove
from guavalane_core.moves.table import MoveTable
from guavalane_standins.forwarding_samples import make_endpoint

SERVICE = "app"
OLD, NEW = "v1", "v2"
# Interval between the reports of a node, and between steps of the duty that
# writes the phases, in seconds.
REPORT_PERIOD_S = 0.25
DUTY_PERIOD_S = 0.5
# Time from the order to the phase `running`, in seconds.
START_DELAY_S = 0.25
# Time to a rejection, in seconds.
REJECTION_S = 0.002
ENDPOINTS_PER_VERSION = 4
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50.0


@attrs.frozen
class RouteLoad:
    """Load of one route and what the versions do with it.

    Attributes:
      name: Name of the route.
      per_s: Requests per second.
      old_failures: Fraction of the old version's attempts that fail.
      new_failures: Fraction of the new version's attempts that fail.
      new_idle_rejections: Fraction of them that idle endpoints reject.
      new_full_rejections: Fraction of them that full endpoints reject.
      repeatable: Whether a failed attempt is repeated once.
      duration_s: Mean time to the response of the old version in seconds.
      slowdown: Factor on the time of the new version.
    """

    name: str
    per_s: float
    old_failures: float = 0.0
    new_failures: float = 0.0
    new_idle_rejections: float = 0.0
    new_full_rejections: float = 0.0
    repeatable: bool = True
    duration_s: float = 0.09
    slowdown: float = 1.0


@attrs.frozen
class Scenario:
    """What is simulated.

    Attributes:
      seed: Seed of all draws.
      routes: Routes of the service.
      nodes: Number of nodes.
      warm_up_s: Load before the order, in seconds.
      time_limit_s: Time limit of the move in seconds.
      onset_s: Time after the order at which the new version begins to differ
          from the old one, in seconds.
    """

    seed: int
    routes: tuple[RouteLoad, ...]
    nodes: int = 7
    warm_up_s: float = 10.0
    time_limit_s: float = 12.0
    onset_s: float = 0.0


@attrs.frozen
class Result:
    """How a move ended.

    Attributes:
      phase: Phase at the end of the time limit.
      ended_s: Time of its last change after the order, in seconds.
      fault: Why the new version was rejected; empty if it was not.
      unmet: What an acceptance lacked at the end; empty if nothing.
      exposed: Requests that reached the new version within the time limit.
      allowed: Requests that the operators allow a bad version.
      attempts: Attempts of the new version by route.
    """

    phase: MovePhase
    ended_s: float
    fault: str
    unmet: str
    exposed: int
    allowed: float
    attempts: dict[str, int]

    @property
    def is_completed(self) -> bool:
        """Whether the new version was accepted in time."""
        return self.phase is MovePhase.COMPLETED


class MoveSimulation:
    """One move of a service.

    Args:
      scenario: What is simulated.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._tables = [
            MoveTable(
                EXPOSURE_SHARE,
                EXPOSURE_SLACK,
                random.Random(self._rng.random()),
            )
            for _ in range(scenario.nodes)
        ]
        self._endpoints = [
            make_endpoint(f"e-{version}-{number}", version=version)
            for version in (OLD, NEW)
            for number in range(ENDPOINTS_PER_VERSION)
        ]
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._phase = MovePhase.ORDERED
        self._ended_s = 0.0
        self._requests = 0
        self._exposed = 0
        self._attempts: dict[str, int] = {}

    def run(self) -> Result:
        """Plays the move until the end of its time limit."""
        scenario = self._scenario
        for route in scenario.routes:
            self._schedule_request(route, 0.0)
        self._at(scenario.warm_up_s + START_DELAY_S, self._start)
        end_s = scenario.warm_up_s + scenario.time_limit_s
        while self._queue and self._queue[0][0] <= end_s:
            now_s, _, action = heapq.heappop(self._queue)
            action(now_s)
        writer = self._tables[0].moves[SERVICE]
        return Result(
            phase=self._phase,
            ended_s=self._ended_s,
            fault=writer.fault,
            unmet=writer.unmet,
            exposed=self._exposed,
            allowed=EXPOSURE_SHARE * self._requests + EXPOSURE_SLACK,
            attempts=self._attempts,
        )

    def _at(self, time_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._queue, (time_s, next(self._numbers), action))

    def _schedule_request(self, route: RouteLoad, now_s: float) -> None:
        def arrive(now_s: float) -> None:
            self._schedule_request(route, now_s)
            self._attempt(self._rng.choice(self._tables), route, now_s, True)

        self._at(now_s + self._rng.expovariate(route.per_s), arrive)

    def _start(self, now_s: float) -> None:
        self._set_phase(MovePhase.RUNNING, now_s)
        for number, _ in enumerate(self._tables):
            self._every(REPORT_PERIOD_S, now_s, self._reporter(number))
        self._every(DUTY_PERIOD_S, now_s, self._step_duty)

    def _every(
        self, period_s: float, now_s: float, action: Callable[[float], None]
    ) -> None:
        def repeat(now_s: float) -> None:
            action(now_s)
            self._at(now_s + period_s, repeat)

        self._at(now_s + self._rng.random() * period_s, repeat)

    def _reporter(self, number: int) -> Callable[[float], None]:
        def report(now_s: float) -> None:
            trial = self._tables[number].moves[SERVICE].trial
            for other in self._tables:
                if other is not self._tables[number]:
                    peer = other.moves[SERVICE].trial
                    peer.report(f"n{number}", 1, trial.counts)
                    peer.report_baseline(f"n{number}", 1, trial.baseline)
            self._tables[number].judge(now_s)

        return report

    def _step_duty(self, now_s: float) -> None:
        phase = self._tables[0].moves[SERVICE].next_phase(now_s)
        if phase is not None:
            self._set_phase(phase, now_s)

    def _set_phase(self, phase: MovePhase, now_s: float) -> None:
        self._phase = phase
        self._ended_s = now_s - self._scenario.warm_up_s
        move = VersionMove(SERVICE, NEW, self._scenario.time_limit_s, phase)
        for table in self._tables:
            table.offer(move, now_s)

    def _usable(self, now_s: float) -> Sequence[Endpoint]:
        is_ordered = now_s >= self._scenario.warm_up_s
        return [e for e in self._endpoints if is_ordered or e.version == OLD]

    def _attempt(
        self, table: MoveTable, route: RouteLoad, now_s: float, first: bool
    ) -> None:
        allowed = table.allowed(
            SERVICE,
            self._usable(now_s),
            self._rng.random(),
            route=route.name,
            now_s=now_s,
            first=first,
            nodes=len(self._tables),
        )
        endpoint = self._rng.choice(allowed)
        is_new = endpoint.version == NEW
        order_s = self._scenario.warm_up_s
        if now_s >= order_s:
            self._requests += 1
            self._exposed += is_new
        differs = is_new and now_s >= order_s + self._scenario.onset_s
        if is_new:
            self._attempts[route.name] = self._attempts.get(route.name, 0) + 1
        failures = route.new_failures if differs else route.old_failures
        failed = self._rng.random() < failures
        is_full = differs and self._draws(route.new_full_rejections)
        is_rejected = is_full or (
            differs and self._draws(route.new_idle_rejections)
        )
        elapsed_s = route.duration_s * self._rng.uniform(0.5, 1.5)
        elapsed_s *= route.slowdown if differs else 1.0
        sample = table.begin_attempt(endpoint, route.name, now_s)

        def finish(now_s: float) -> None:
            table.end_attempt(endpoint, sample, now_s)
            if not is_full:
                sample.finish(now_s, failed=failed or is_rejected)
            if first and (is_rejected or (failed and route.repeatable)):
                self._attempt(table, route, now_s, False)

        self._at(now_s + (REJECTION_S if is_rejected else elapsed_s), finish)

    def _draws(self, fraction: float) -> bool:
        return fraction > 0 and self._rng.random() < fraction
