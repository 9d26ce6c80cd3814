"""Simulation of requests that crash endpoints, for tests and benches.

Requests of a few routes run on endpoints of one service. A prompt part, or one
request that comes again, crashes each endpoint that begins to answer it, from
its onset on; endpoints also crash for other reasons. The production
`QuarantineTable` gets the evidence and decides.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from guavalane_core.quarantine import QuarantineTable
from guavalane_core.quarantine.parts import REQUEST_PREFIX, is_request

# Time in which all nodes know of a crash and have evaluated it, in seconds.
REPORT_DELAY_S = 0.15
# Output for this long shows that a prompt does not crash its endpoint, in
# seconds.
SERVED_PERIOD_S = 0.5
# Range of the time from the start of a request to its output, in seconds.
PREFILL_S = (0.05, 0.9)
# Range of the duration of the output, in seconds.
OUTPUT_S = (0.6, 3.0)
# Time for which a crashed endpoint is down, in seconds.
DOWN_S = 3.3
# Requests with a crashing part that the operators allow later than the given
# time after the given number of crashes.
FREE_CRASHES = 3
CONTACT_S = 3.0
MAX_LATE_REQUESTS = 3


@attrs.frozen
class Onset:
    """A part, or a request, that turns out to crash endpoints.

    Attributes:
      at_s: Time from which on it does, in seconds.
      share: Share of the requests of its route that contain it, or that are it.
      route: Index of the route.
      probability: Probability that a request with it crashes its endpoint.
      is_request: Whether it is one request that comes again.
    """

    at_s: float
    share: float
    route: int = 0
    probability: float = 1.0
    is_request: bool = False

    @property
    def part(self) -> str:
        """ID of the part."""
        prefix = REQUEST_PREFIX if self.is_request else ""
        return f"{prefix}crashing-{self.route}"


@attrs.frozen
class Scenario:
    """What is simulated.

    Attributes:
      seed: Seed of all draws.
      endpoints: Number of endpoints.
      rate: Requests per second of all routes.
      onsets: Parts that crash endpoints.
      waves_s: Times at which part of the endpoints crash for another reason, in
          seconds.
      wave_share: Share of the endpoints that crash in each wave.
      routes: Number of routes.
      sessions: Number of sessions of each route, whose popularity falls with
          their rank.
      duration_s: Simulated time in seconds.
    """

    seed: int
    endpoints: int
    rate: float
    onsets: tuple[Onset, ...] = ()
    waves_s: tuple[float, ...] = ()
    wave_share: float = 0.5
    routes: int = 3
    sessions: int = 40
    duration_s: float = 90.0


@attrs.define(eq=False)
class _Request:
    parts: tuple[str, ...]
    endpoint: int
    crashing: Onset | None = None
    output_s: float | None = None
    repeats_left: int = 1


@attrs.define
class Result:
    """Outcome of one simulation.

    Attributes:
      late_requests: Requests with a crashing part that were forwarded later
          than `CONTACT_S` after crash number `FREE_CRASHES` of the part.
      crashes: Crashes that requests caused.
      wrongly_blamed: Quarantined parts that crash no endpoint.
      blamed: Quarantined parts that do.
      rejected: Sound requests that were rejected for a quarantine.
      requests: All sound requests.
    """

    late_requests: int = 0
    crashes: int = 0
    wrongly_blamed: set[str] = attrs.field(factory=set)
    blamed: set[str] = attrs.field(factory=set)
    rejected: int = 0
    requests: int = 0


class CrashSimulation:
    """Plays one scenario.

    Args:
      scenario: Scenario.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._table = QuarantineTable()
        self._result = Result()
        self._now_s = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        # Dictionaries keep the order of arrival, so that a seed always plays
        # the same.
        self._running: list[dict[_Request, None]] = [
            {} for _ in range(scenario.endpoints)
        ]
        self._down_until_s = [0.0] * scenario.endpoints
        self._starts = [0] * scenario.endpoints
        self._crashes_s: dict[str, list[float]] = {
            onset.part: [] for onset in scenario.onsets
        }
        self._weights = [1 / rank for rank in range(1, scenario.sessions + 1)]

    def run(self) -> Result:
        """Plays the scenario to its end."""
        self._after(0.0, self._arrive)
        for at_s in self._scenario.waves_s:
            self._after(at_s, self._crash_many)
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            if self._now_s > self._scenario.duration_s:
                break
            action()
        return self._result

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (self._now_s + delay_s, next(self._order), action)
        heapq.heappush(self._events, event)

    def _arrive(self) -> None:
        self._after(self._rng.expovariate(self._scenario.rate), self._arrive)
        route = self._rng.randrange(self._scenario.routes)
        (session,) = self._rng.choices(
            range(self._scenario.sessions), self._weights
        )
        parts: tuple[str, ...] = (f"root-{route}", f"session-{route}-{session}")
        digest = f"{REQUEST_PREFIX}{next(self._order)}"
        crashing = None
        for onset in self._scenario.onsets:
            if onset.route == route and self._rng.random() < onset.share:
                crashing = onset
                if onset.is_request:
                    digest = onset.part
                    parts = (parts[0], f"session-{route}-0")
                else:
                    parts = (parts[0], onset.part, *parts[1:])
        parts = (*parts, digest)
        if crashing is None:
            self._result.requests += 1
        self._forward(_Request(parts, 0, crashing))

    def _forward(self, request: _Request) -> None:
        blamed = [p for p in request.parts if p in self._table.quarantines]
        up = [
            index
            for index, until_s in enumerate(self._down_until_s)
            if until_s <= self._now_s
        ]
        if blamed or not up:
            if blamed and request.crashing is None:
                self._result.rejected += 1
            return
        self._count_late(request)
        request.endpoint = min(
            self._rng.sample(up, min(2, len(up))),
            key=lambda index: len(self._running[index]),
        )
        self._running[request.endpoint][request] = None
        self._after(
            self._rng.uniform(*PREFILL_S), lambda: self._begin_output(request)
        )

    def _count_late(self, request: _Request) -> None:
        if request.crashing is None:
            return
        crashes_s = self._crashes_s[request.crashing.part]
        if len(crashes_s) < FREE_CRASHES:
            return
        if self._now_s > crashes_s[FREE_CRASHES - 1] + CONTACT_S:
            self._result.late_requests += 1

    def _begin_output(self, request: _Request) -> None:
        if request not in self._running[request.endpoint]:
            return
        onset = request.crashing
        if (
            onset is not None
            and self._now_s >= onset.at_s
            and self._rng.random() < onset.probability
        ):
            self._crashes_s[onset.part].append(self._now_s)
            self._result.crashes += 1
            self._crash(request.endpoint)
            return
        request.output_s = self._now_s
        self._after(SERVED_PERIOD_S, lambda: self._record_served(request))
        self._after(
            self._rng.uniform(*OUTPUT_S),
            lambda: self._running[request.endpoint].pop(request, None),
        )

    def _record_served(self, request: _Request) -> None:
        if request in self._running[request.endpoint]:
            for part in request.parts:
                if self._is_recorded(part):
                    self._table.on_success(part, request.output_s)

    def _is_recorded(self, part: str) -> bool:
        """Returns whether the success of a part is recorded.

        That of a request is only after it was present at a crash.
        """
        if not is_request(part):
            return True
        return self._table.evidence.last_crash_s(part) is not None

    def _crash_many(self) -> None:
        for endpoint, until_s in enumerate(self._down_until_s):
            is_up = until_s <= self._now_s
            if is_up and self._rng.random() < self._scenario.wave_share:
                self._crash(endpoint)

    def _crash(self, endpoint: int) -> None:
        self._starts[endpoint] += 1
        self._down_until_s[endpoint] = self._now_s + DOWN_S
        broken = self._running[endpoint]
        self._running[endpoint] = {}
        parts: dict[str, int] = {}
        at_s = self._now_s
        for request in broken:
            is_served = (
                request.output_s is not None
                and at_s - request.output_s >= SERVED_PERIOD_S
            )
            if not is_served:
                parts |= {part: i for i, part in enumerate(request.parts)}
        process = f"e-{endpoint}/{self._starts[endpoint]}"
        self._after(REPORT_DELAY_S, lambda: self._report(process, parts, at_s))
        for request in broken:
            self._repeat(request)

    def _repeat(self, request: _Request) -> None:
        is_suspect = self._table.has_suspect(request.parts)
        if request.output_s is None and request.repeats_left and not is_suspect:
            request.repeats_left -= 1
            self._forward(request)

    def _report(self, process: str, parts: dict[str, int], at_s: float) -> None:
        self._table.evidence.add_crash(process, parts, at_s)
        for quarantine in self._table.update(self._now_s, 0):
            part = quarantine.part_id
            if part in self._crashes_s:
                self._result.blamed.add(part)
            else:
                self._result.wrongly_blamed.add(part)
        self._table.release_superseded(self._now_s)


def draw_scenario(
    seed: int,
    *,
    onsets: int = 0,
    waves: int = 0,
    probability: float = 1.0,
    is_request: bool = False,
) -> Scenario:
    """Draws a scenario.

    Args:
      seed: Seed.
      onsets: Number of parts that turn out to crash endpoints, on one route
          each, with shares of 0.01 to 0.3 of its requests.
      waves: Number of times at which some of the endpoints crash for another
          reason.
      probability: Probability that a request with one of the parts crashes its
          endpoint.
      is_request: Whether they are requests that come again instead.
    """
    rng = random.Random(seed)
    endpoints = rng.choice([6, 9, 18, 47])
    return Scenario(
        seed,
        endpoints,
        rate=endpoints * rng.uniform(3.0, 8.0),
        onsets=tuple(
            Onset(
                rng.uniform(0.0, 30.0),
                10 ** rng.uniform(-2.0, -0.52),
                route,
                probability,
                is_request,
            )
            for route in range(onsets)
        ),
        waves_s=tuple(rng.uniform(1.0, 45.0) for _ in range(waves)),
        wave_share=rng.uniform(0.05, 0.8),
        duration_s=50.0,
    )
