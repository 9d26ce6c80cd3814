"""Replays requests at uneven endpoints, with and without hedged attempts.

The decisions are those of the product; endpoints, time and load are a model.
`python -m guavalane_standins.hedging_replay` prints the figures of
docs/design/hedged-attempts.md.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable

import attrs

from guavalane_core.forwarding import SharedRetryBudget
from guavalane_core.hedging import (
    FirstResponseTimes,
    HedgeBudget,
    HedgeSituation,
    Suppression,
    delay_quantile,
    find_suppression,
)
from guavalane_core.placement import Candidate, choose_endpoint
from guavalane_core.placement.work import Load
from guavalane_standins.forwarding_samples import make_endpoint

NODES = 7
ENDPOINTS = 12
SLOTS = 12
DURATION_S = 60.0
# Requests before this time, in seconds, are not measured.
WARM_UP_S = 15.0
# Median run time of a request at the usual speed, in seconds, and the standard
# deviation of its logarithm.
RUN_S = 0.2
RUN_SIGMA = 0.3
# Range of the lasting slowness of endpoints, as factors of the run time.
LASTING_FACTORS = (0.8, 1.4)
# Short phases in which an endpoint is slow: factor of the run time, mean time
# between them and mean duration, in seconds.
PHASE_FACTOR = 5.0
PHASE_INTERVAL_S = 20.0
PHASE_S = 0.8
# Age of the loads that nodes know of each other, in seconds.
REPORT_PERIOD_S = 0.25
MEASURED_FRACTION = 0.99
ROUTE = "r"
# Moderate load, and a service that is nearly full.
UTILISATIONS = (0.6, 0.95)
LIMITS = (0.0, 0.01, 0.02, 0.05)


@attrs.define
class HedgingOutcome:
    """Measurements of a replay.

    Attributes:
      response_s: Response time of each measured request, in seconds.
      requests: Number of requests.
      hedges: Number of hedged attempts.
      won: Number of hedged attempts whose response was used.
      run_s: Sum of the time in which requests occupied slots, in seconds.
      suppressed: Number of requests without a hedged attempt, by reason.
      hedges_when_full: Hedged attempts while the known load reached the slots.
    """

    response_s: list[float] = attrs.field(factory=list)
    requests: int = 0
    hedges: int = 0
    won: int = 0
    run_s: float = 0.0
    suppressed: Counter[Suppression] = attrs.field(factory=Counter)
    hedges_when_full: int = 0

    def quantile_s(self, fraction: float) -> float:
        """Returns a quantile of the response times in seconds."""
        ordered = sorted(self.response_s)
        return ordered[int(len(ordered) * fraction)]


@attrs.define(eq=False)
class _Attempt:
    request: _Request
    endpoint: _Endpoint
    sent_s: float
    is_hedge: bool
    started_s: float | None = None
    ended: bool = False


@attrs.define(eq=False)
class _Request:
    node: int
    arrived_s: float
    run_s: float
    attempts: list[_Attempt] = attrs.field(factory=list)
    answered: bool = False


class _Endpoint:
    """Slots and a queue, with a speed that changes."""

    def __init__(self, index: int, rng: random.Random) -> None:
        self.entry = make_endpoint(f"e-{index:02}", slots=SLOTS)
        self.factor = rng.uniform(*LASTING_FACTORS)
        self.phase_end_s = 0.0
        self.running: set[_Attempt] = set()
        self.waiting: deque[_Attempt] = deque()
        self.known = 0

    @property
    def load(self) -> int:
        return len(self.running) + len(self.waiting)

    def factor_at(self, now_s: float) -> float:
        slow = PHASE_FACTOR if now_s < self.phase_end_s else 1.0
        return self.factor * slow


class _Node:
    """Decisions of one node."""

    def __init__(self, max_extra: float) -> None:
        self.budget = HedgeBudget(max_extra)
        self.times = FirstResponseTimes()
        self.retries = SharedRetryBudget(ratio=0.2, slack=50.0, window_s=10.0)


class HedgingReplay:
    """Simulates nodes that send requests to the endpoints of one service.

    Args:
      max_extra: Limit of hedged attempts.
      utilisation: Arrival rate as a fraction of what the endpoints run.
      seed: Seed of the random numbers.
    """

    def __init__(self, max_extra: float, utilisation: float, seed: int) -> None:
        self._max_extra = max_extra
        # Arrivals and run times are the same for all limits.
        self._arrivals = random.Random(seed)
        self._phases = random.Random(seed + 1)
        self._choices = random.Random(seed + 2)
        self._endpoints = [_Endpoint(i, self._phases) for i in range(ENDPOINTS)]
        self._nodes = [_Node(max_extra) for _ in range(NODES)]
        capacity = sum(SLOTS / (RUN_S * e.factor) for e in self._endpoints)
        slow_fraction = PHASE_S / (PHASE_S + PHASE_INTERVAL_S)
        capacity /= 1 + (PHASE_FACTOR - 1) * slow_fraction
        self._rate_per_s = utilisation * capacity
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now_s = 0.0
        self._outcome = HedgingOutcome()

    def run(self) -> HedgingOutcome:
        """Runs the replay."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._report)
        for endpoint in self._endpoints:
            self._plan_phase(endpoint)
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self._outcome

    def _at(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._order), action))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        if self._now_s + delay_s < DURATION_S:
            self._at(self._now_s + delay_s, action)

    def _report(self) -> None:
        for endpoint in self._endpoints:
            endpoint.known = endpoint.load
        self._after(REPORT_PERIOD_S, self._report)

    def _plan_phase(self, endpoint: _Endpoint) -> None:
        def begin() -> None:
            length_s = self._phases.expovariate(1 / PHASE_S)
            endpoint.phase_end_s = self._now_s + length_s
            self._plan_phase(endpoint)

        self._after(self._phases.expovariate(1 / PHASE_INTERVAL_S), begin)

    def _arrive(self) -> None:
        rng = self._arrivals
        request = _Request(
            rng.randrange(NODES),
            self._now_s,
            RUN_S * rng.lognormvariate(0.0, RUN_SIGMA),
        )
        self._after(rng.expovariate(self._rate_per_s), self._arrive)
        node = self._nodes[request.node]
        node.budget.on_request()
        node.retries.on_request(self._now_s)
        self._outcome.requests += 1
        self._send(request, self._choose(()), is_hedge=False)
        delay_s = node.times.delay_s(
            ROUTE, 0, delay_quantile(self._max_extra), self._now_s
        )
        if self._max_extra > 0 and delay_s is not None:
            self._at(self._now_s + delay_s, lambda: self._hedge(request))

    def _choose(self, tried: tuple[_Endpoint, ...]) -> _Endpoint:
        """Returns the least loaded of two random endpoints, as known."""
        left = [e for e in self._endpoints if e not in tried]
        sample = self._choices.sample(left, 2)
        chosen = choose_endpoint(
            [Candidate(e.entry, Load(e.known)) for e in sample], "zone-a"
        )
        return next(e for e in sample if e.entry is chosen.endpoint)

    def _hedge(self, request: _Request) -> None:
        if request.answered:
            return
        node = self._nodes[request.node]
        second = self._choose((request.attempts[0].endpoint,))
        known = sum(e.known for e in self._endpoints)
        is_full = known >= SLOTS * ENDPOINTS
        reason = find_suppression(
            HedgeSituation(
                hedge_limit_left=node.budget.may_spend(),
                retry_budget_left=node.retries.may_spend(self._now_s, NODES),
                service_full=is_full,
                has_endpoint=second.known < SLOTS,
            )
        )
        if reason is not None:
            self._outcome.suppressed[reason] += 1
            return
        node.budget.spend()
        node.retries.spend(self._now_s)
        self._outcome.hedges += 1
        self._outcome.hedges_when_full += is_full
        self._send(request, second, is_hedge=True)

    def _send(
        self, request: _Request, endpoint: _Endpoint, *, is_hedge: bool
    ) -> None:
        attempt = _Attempt(request, endpoint, self._now_s, is_hedge)
        request.attempts.append(attempt)
        endpoint.known += 1
        endpoint.waiting.append(attempt)
        self._fill(endpoint)

    def _fill(self, endpoint: _Endpoint) -> None:
        while endpoint.waiting and len(endpoint.running) < SLOTS:
            attempt = endpoint.waiting.popleft()
            attempt.started_s = self._now_s
            endpoint.running.add(attempt)
            run_s = attempt.request.run_s * endpoint.factor_at(self._now_s)
            self._at(
                self._now_s + run_s, lambda attempt=attempt: self._end(attempt)
            )

    def _end(self, attempt: _Attempt) -> None:
        request = attempt.request
        if attempt.ended:
            return
        request.answered = True
        self._outcome.won += attempt.is_hedge
        for each in request.attempts:
            self._leave(each)
        if request.arrived_s >= WARM_UP_S:
            self._outcome.response_s.append(self._now_s - request.arrived_s)

    def _leave(self, attempt: _Attempt) -> None:
        """Ends an attempt, which was answered or cancelled."""
        attempt.ended = True
        endpoint = attempt.endpoint
        if attempt.started_s is None:
            endpoint.waiting.remove(attempt)
        else:
            endpoint.running.discard(attempt)
            self._outcome.run_s += self._now_s - attempt.started_s
        endpoint.known = max(0, endpoint.known - 1)
        times = self._nodes[attempt.request.node].times
        times.record(ROUTE, 0, self._now_s - attempt.sent_s)
        self._fill(endpoint)


def main() -> None:
    """Prints the figures for each limit and utilisation."""
    seeds = range(1, 5)
    print("utilisation limit  p50_ms  p99_ms  extra  slot_time  suppressed")
    for utilisation in UTILISATIONS:
        base_s = 0.0
        for max_extra in LIMITS:
            runs = [
                HedgingReplay(max_extra, utilisation, seed).run()
                for seed in seeds
            ]
            p50_s = sum(r.quantile_s(0.5) for r in runs) / len(runs)
            p99_s = sum(r.quantile_s(MEASURED_FRACTION) for r in runs)
            p99_s /= len(runs)
            requests = sum(r.requests for r in runs)
            extra = sum(r.hedges for r in runs) / requests
            run_s = sum(r.run_s for r in runs)
            base_s = base_s or run_s
            reasons: Counter[str] = Counter()
            for run in runs:
                for reason, count in run.suppressed.items():
                    reasons[reason.value] += count
            more = run_s / base_s - 1
            print(
                f"{utilisation:11} {max_extra:5}  {p50_s * 1e3:6.0f}"
                f"  {p99_s * 1e3:6.0f}  {extra:5.2%}  {more:+8.2%}"
                f"  {dict(reasons)}"
            )


if __name__ == "__main__":
    main()
