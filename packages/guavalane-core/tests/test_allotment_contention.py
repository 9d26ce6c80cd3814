"""Replay of bursts beyond the allotment of an organisation, by policy."""

from __future__ import annotations

import heapq
import itertools
import math
import random

import attrs
import pytest

from guavalane_core.allotments import AllotmentLedger, DrawClass, DrawReason
from guavalane_core.allotments.classes import ReturnTimes
from guavalane_core.forwarding import Organisation

RATE = 320_000.0
ORGANISATION = Organisation(
    "org", frozenset({"k"}), rate_per_s=RATE, burst=RATE, counts_tokens=True
)
STEP_S = 0.01
REPORT_S = 0.25
BURST_S = (3.0, 9.0)
END_S = 14.0
# Load outside the burst, as a fraction of the limit.
BASE_LOAD = 0.6
WINDOW_S = 8.0
MAX_RETRY_S = 5.0


@attrs.frozen
class SampleRoute:
    """Route of the replay.

    Attributes:
      name: Name.
      draw_class: Urgency.
      units: Mean units of a request.
      weight: Requests relative to those of the other routes.
      patience_s: Time after which a caller gives up, in seconds.
    """

    name: str
    draw_class: DrawClass
    units: float
    weight: float
    patience_s: float


# Routes and rates of the first deployment.
ROUTES = (
    SampleRoute("long", DrawClass(0, 0.545), 12_000, 79, 8.0),
    SampleRoute("medium", DrawClass(1, 0.819), 826, 80, 8.0),
    SampleRoute("plain", DrawClass(2, 0.16), 200, 113, 2.0),
    SampleRoute("short", DrawClass(2, 2.022), 2_368, 165, 8.0),
)
# The same with the large requests less urgent than the small ones.
LONG_LATER = (
    attrs.evolve(ROUTES[0], draw_class=DrawClass(1, 0.545)),
    attrs.evolve(ROUTES[1], draw_class=DrawClass(0, 0.819)),
    *ROUTES[2:],
)


@attrs.define(eq=False)
class SampleRequest:
    """Request of the replay with its outcome."""

    route: SampleRoute
    units: int
    arrived_s: float
    served_s: float | None = None


@attrs.define
class Replay:
    """Bursts of one organisation at several nodes.

    Attributes:
      load: Demand in the burst, as a multiple of the limit.
      nodes: Number of nodes.
      by_class: Whether draws follow urgency; first come, first served if not.
      age_s: Time that reports take to arrive, in seconds. With the period of
          the reports, they are up to 1 s old by default.
      routes: Routes.
      seed: Seed.
    """

    load: float
    nodes: int
    by_class: bool
    age_s: float = 1.0 - REPORT_S
    routes: tuple[SampleRoute, ...] = ROUTES
    seed: int = 1
    requests: list[SampleRequest] = attrs.field(factory=list)
    draws: list[tuple[float, float]] = attrs.field(factory=list)

    def run(self) -> Replay:
        """Plays the burst."""
        rng = random.Random(self.seed)
        ledgers = [
            AllotmentLedger(0.05, 70_000, rng=random.Random(i))
            for i in range(self.nodes)
        ]
        for ledger in ledgers:
            ledger.set_organisations([ORGANISATION], 0.0)
        weights = [rng.uniform(0.5, 1.5) for _ in ledgers]
        phases = [rng.random() * REPORT_S for _ in ledgers]
        next_report = list(phases)
        reports: list = []
        returns: list = []
        order = itertools.count()
        mean = sum(r.units * r.weight for r in self.routes) / sum(
            r.weight for r in self.routes
        )
        for step in range(int(END_S / STEP_S)):
            now_s = step * STEP_S
            while reports and reports[0][0] <= now_s:
                _, i, total = reports.pop(0)
                for j, ledger in enumerate(ledgers):
                    if i != j:
                        ledger.report(f"n{i}", 1, total, now_s)
            in_burst = BURST_S[0] <= now_s < BURST_S[1]
            left = (self.load if in_burst else BASE_LOAD) * RATE * STEP_S / mean
            while rng.random() < left:
                left -= 1
                route = rng.choices(
                    self.routes, [r.weight for r in self.routes]
                )[0]
                units = int(route.units * min(2, rng.lognormvariate(-0.1, 0.4)))
                request = SampleRequest(route, units, now_s)
                if in_burst:
                    self.requests.append(request)
                heapq.heappush(returns, (now_s, next(order), request))
            while returns and returns[0][0] <= now_s:
                request = heapq.heappop(returns)[2]
                ledger = rng.choices(ledgers, weights)[0]
                retry_s = self.ask(ledger, request, now_s, rng)
                if retry_s is not None:
                    heapq.heappush(
                        returns, (now_s + retry_s, next(order), request)
                    )
            for i, ledger in enumerate(ledgers):
                if next_report[i] <= now_s:
                    next_report[i] += REPORT_S
                    reports.append((now_s + self.age_s, i, dict(ledger.drawn)))
        return self

    def ask(self, ledger, request, now_s, rng):
        """Lets a request draw; returns after how long its caller returns."""
        route = request.route
        left_s = route.patience_s - (now_s - request.arrived_s)
        if left_s < 0.1:
            return None
        max_s = min(MAX_RETRY_S, left_s / 3)
        if self.by_class:
            draw = ledger.draw(
                "org",
                request.units,
                route.draw_class,
                now_s,
                route.draw_class.objective_s / 8,
            )
            drawn = draw.is_drawn
        else:
            wait_s = ledger.try_draw("org", request.units, now_s)
            drawn = wait_s == 0
        if drawn:
            request.served_s = now_s
            self.draws.append((now_s, request.units))
            return None
        if self.by_class:
            wait_s = ledger.retry_after_s(
                "org",
                request.units,
                route.draw_class,
                now_s,
                draw.wait_s,
                max_s / 1.3,
            )
        return max(STEP_S, min(max_s, wait_s * (1 + 0.3 * rng.random())))

    def served(self, name, *, within_s=END_S, largest=False):
        """Returns the fraction of a route's requests that were served."""
        own = [r for r in self.requests if r.route.name == name]
        if largest:
            own.sort(key=lambda r: r.units)
            own = own[-max(1, len(own) // 10) :]
        done = [
            r
            for r in own
            if r.served_s is not None and r.served_s - r.arrived_s <= within_s
        ]
        return len(done) / len(own)

    def drawn(self, start_s=BURST_S[0], end_s=BURST_S[1]):
        """Returns the units drawn in a time."""
        return sum(u for t, u in self.draws if start_s <= t < end_s)

    def max_window(self):
        """Returns the most units drawn in a window, as a part of the bound."""
        bound = 1.1 * (RATE * WINDOW_S + RATE) + 140_000
        return (
            max(
                self.drawn(s / 4, s / 4 + WINDOW_S)
                for s in range(int((END_S - WINDOW_S) * 4))
            )
            / bound
        )


@pytest.fixture(
    scope="module", params=[(1, 1.5), (1, 2.5), (1, 7.0), (7, 2.5), (7, 7.0)]
)
def plays(request):
    """Replays of a burst by class and first come, first served."""
    nodes, load = request.param
    return tuple(
        Replay(load, nodes, by_class, routes=LONG_LATER).run()
        for by_class in (True, False)
    )


class TestBursts:
    """Guards against bursts whose units go to the wrong requests."""

    def test_urgent_requests_within_the_limit_are_served(self, plays):
        by_class, _ = plays
        assert by_class.served("medium") >= 0.95

    def test_no_size_starves(self, plays):
        by_class, _ = plays
        for route in LONG_LATER:
            served = by_class.served(route.name)
            largest = by_class.served(route.name, largest=True)
            assert served > 0, route.name
            assert largest >= 0.5 * served, route.name

    def test_the_bound_holds_and_the_refill_is_used(self, plays):
        by_class, in_order = plays
        assert by_class.max_window() <= 1.0
        refill = RATE * (BURST_S[1] - BURST_S[0])
        assert by_class.drawn() >= min(refill, 0.95 * in_order.drawn())

    def test_shorter_objective_goes_first_within_a_priority(self, plays):
        """Callers of calls give up sooner, so the same time counts for both."""
        by_class, _ = plays
        calls, prompts = (
            by_class.served(name, within_s=ROUTES[2].patience_s)
            for name in ("plain", "short")
        )
        assert calls >= prompts

    @pytest.mark.parametrize("load", [1.5, 2.5, 7.0])
    def test_a_large_fleet_serves_what_is_urgent(self, load):
        """Guards against nodes whose part is less than one large request."""
        play = Replay(load, 70, True, routes=LONG_LATER).run()
        assert play.max_window() <= 1.0
        assert play.served("medium") >= 0.95

    @pytest.mark.parametrize("seed", [1, 2])
    def test_a_large_fleet_does_not_draw_at_once_after_its_debt(self, seed):
        """Guards against one large request of each node when the level rises.

        With the large requests the most urgent ones, 70 nodes drew 1.05 of the
        bound: each admitted one on the first units of its credit.
        """
        play = Replay(7.0, 70, True, seed=seed).run()
        assert play.max_window() <= 1.0
        assert play.drawn() >= RATE * (BURST_S[1] - BURST_S[0])


class TestDraw:
    """Guards against draws out of order and useless return times."""

    URGENT = DrawClass(0, 0.5)
    LATER = DrawClass(2, 2.0)

    def ledger(self, rate=1000.0):
        """Returns a ledger of the only node with a full bucket."""
        ledger = AllotmentLedger()
        ledger.set_organisations(
            [attrs.evolve(ORGANISATION, rate_per_s=rate, burst=1000.0)], 0.0
        )
        return ledger

    def test_nothing_is_kept_while_nothing_is_short(self):
        ledger = self.ledger()
        assert ledger.draw("org", 1000, self.LATER, 0.0).is_drawn

    def test_units_are_kept_for_recent_urgent_demand(self):
        ledger = self.ledger(rate=1.0)
        for _ in range(3):
            assert ledger.draw("org", 200, self.URGENT, 0.0).is_drawn
        assert ledger.draw("org", 100, self.LATER, 0.0).is_drawn
        draw = ledger.draw("org", 200, self.LATER, 0.0)
        assert draw.reason is DrawReason.RESERVED
        assert not draw.is_drawn
        assert ledger.draw("org", 200, self.URGENT, 0.0).is_drawn

    def test_a_request_waits_for_units_that_arrive_in_time(self):
        """Guards against rejections that a moment's wait would spare."""
        ledger = self.ledger()
        assert ledger.draw("org", 400, self.URGENT, 0.0).is_drawn
        assert ledger.draw("org", 300, self.LATER, 0.0).is_drawn
        assert not ledger.draw("org", 300, self.LATER, 0.0, 0.1).is_drawn
        draw = ledger.draw("org", 300, self.LATER, 0.0, 0.25)
        assert draw.is_drawn
        assert 0.1 < draw.wait_s <= 0.25

    def test_nothing_is_drawn_from_an_empty_bucket(self):
        """Guards against a level of exactly 0 that counts as available."""
        ledger = self.ledger()
        assert ledger.draw("org", 1000, self.URGENT, 0.0).is_drawn
        assert not ledger.draw("org", 400, self.URGENT, 0.0, 9.0).is_drawn

    def test_return_times_count_rejected_units(self):
        """Guards against callers that return together and fail again."""
        times = ReturnTimes()
        waits_s = [
            times.retry_after_s(self.LATER, 100, 100.0, 0.0, 0.5, 3.0)
            for _ in range(5)
        ]
        # The fourth finds no time within the limit and is spread over it.
        assert waits_s == [0.5, 1.5, 2.5, 0.5, 1.5]

    def test_return_time_is_bounded_without_inflow(self):
        times = ReturnTimes()
        assert times.retry_after_s(self.LATER, 9, 0.0, 0.0, math.inf, 2.0) == 2
