"""Tests of the selection of the cheapest mix of VMs."""

from __future__ import annotations

import itertools
import random

import attrs
import pytest

from guavalane_core.fleet import (
    CapacityPool,
    Demand,
    FleetInput,
    Offer,
    VmClass,
    meets_target,
    plan_fleet,
)
from guavalane_core.fleet.latency import (
    P95_TO_MEAN,
    mean_wait_s,
    required_capacity,
)
from guavalane_core.fleet.plan import HEADROOM

CLASSES = {
    "small": VmClass("small", 3.0, 0.3),
    "large": VmClass("large", 7.0, 0.2),
}


def inputs(load: float = 8.0, now_s: float = 0.0, **changes) -> FleetInput:
    """Returns an input with three zones and two VM classes in each."""
    offers = [
        Offer(
            CapacityPool(f"z{zone}", name, reclaimable),
            price * (1 if reclaimable else 3),
        )
        for zone in range(3)
        for name, price in (("small", 1.0), ("large", 2.1))
        for reclaimable in (True, False)
    ]
    given = FleetInput(
        now_s, 0.65, (Demand("o", load),), CLASSES, tuple(offers)
    )
    return attrs.evolve(given, **changes)


def with_refusals(given: FleetInput, refused) -> FleetInput:
    """Returns an input in which pools refuse starts for 60 s."""
    offers = tuple(
        attrs.evolve(o, refused_until_s=given.now_s + 60)
        if refused(o.pool)
        else o
        for o in given.offers
    )
    return attrs.evolve(given, offers=offers)


def cheapest_by_enumeration(given: FleetInput, max_count: int) -> float:
    """Returns the lowest cost of mixes of up to `max_count` VMs per pool."""
    planned = given.with_load_factor(HEADROOM)
    best = float("inf")
    for counts in itertools.product(
        range(max_count + 1), repeat=len(given.offers)
    ):
        mix = dict(zip((o.pool for o in given.offers), counts, strict=True))
        price = sum(o.price_per_h * mix[o.pool] for o in given.offers)
        if price < best and meets_target(planned, mix):
            best = price
    return best


class TestLatency:
    """Guards against a queueing model that underestimates the wait."""

    def test_required_capacity_is_just_enough(self):
        for load, servers in ((1.0, 1), (8.0, 4), (3000.0, 700)):
            capacity = required_capacity(load, servers, 0.3)
            for factor, enough in ((1.0, True), (0.99, False)):
                mean = mean_wait_s(load, capacity * factor, servers)
                assert (P95_TO_MEAN * mean <= 0.3) is enough
        assert required_capacity(8.0, 0, 0.3) == float("inf")


class TestPlanFleet:
    """Guards against plans that cost too much or miss the target on a fault."""

    @pytest.mark.parametrize("seed", range(6))
    def test_cost_equals_the_optimum_by_enumeration(self, seed):
        rng = random.Random(seed)
        offers = tuple(
            Offer(CapacityPool(f"z{zone}", name), price * rng.uniform(0.7, 1.3))
            for zone in range(3)
            for name, price in (("small", 1.0), ("large", 2.1))
        )
        demands = (
            Demand("o", rng.uniform(2, 5)),
            Demand("p", rng.uniform(0.5, 2), ("z0", "z1")),
        )
        given = inputs(offers=offers, demands=demands)
        plan = plan_fleet(given)
        assert plan.feasible and plan.preferred
        best = cheapest_by_enumeration(given, max_count=3)
        assert plan.cost_per_h == pytest.approx(best)

    def test_survives_any_zone_without_on_demand(self):
        given = inputs()
        plan = plan_fleet(given)
        assert all(pool.reclaimable for pool in plan.mix)
        for lost in ("z0", "z1", "z2"):
            left = {c: n for c, n in plan.mix.items() if c.zone != lost}
            single = tuple(o for o in given.offers if o.pool.zone != lost)
            capacity = sum(
                n * CLASSES[c.vm_class].requests_per_s for c, n in left.items()
            )
            assert single and capacity > given.requests_per_s

    def test_refusals_fall_back_to_the_next_class_then_on_demand(self):
        given = with_refusals(
            inputs(), lambda c: c.reclaimable and c.vm_class == "small"
        )
        plan = plan_fleet(given)
        assert plan.feasible
        assert {(c.vm_class, c.reclaimable) for c in plan.mix} == {
            ("large", True)
        }
        plan = plan_fleet(with_refusals(inputs(), lambda c: c.reclaimable))
        assert plan.feasible
        assert not any(c.reclaimable for c in plan.mix)
        plan = plan_fleet(with_refusals(inputs(), lambda c: True))
        assert not plan.feasible
        assert any(line.startswith("short of") for line in plan.reasons)

    def test_refused_pool_does_not_grow(self):
        running = {CapacityPool("z0", "small"): 2}
        given = with_refusals(
            inputs(running=running), lambda c: c == CapacityPool("z0", "small")
        )
        assert plan_fleet(given).mix.get(CapacityPool("z0", "small"), 0) <= 2

    def test_preferences_hold_while_feasible(self):
        demands = (
            Demand("o", 2.0, ("z1", "z2")),
            Demand("p", 2.0, vm_classes=("large",)),
        )
        given = inputs(demands=demands)
        plan = plan_fleet(given)
        assert plan.preferred
        assert {"z1", "z2"} <= {c.zone for c in plan.mix}
        assert sum(n for c, n in plan.mix.items() if c.vm_class == "large") > 1
        refused = with_refusals(given, lambda c: c.vm_class == "large")
        plan = plan_fleet(refused)
        assert plan.feasible and not plan.preferred
        assert all(c.reclaimable for c in plan.mix)

    def test_noise_and_short_savings_keep_the_mix(self):
        rng = random.Random(3)
        plan = plan_fleet(inputs())
        first = plan.mix
        for step in range(60):
            given = inputs(8.0 * rng.uniform(0.92, 1.08), 60.0 * step)
            cheap = given.offers[step % len(given.offers)]
            offers = [o for o in given.offers if o is not cheap]
            if step % 9 < 4:
                cheap = attrs.evolve(cheap, price_per_h=0.5)
            given = attrs.evolve(given, offers=(cheap, *offers), running=first)
            plan = plan_fleet(given, plan)
            assert plan.mix == first

    def test_lasting_saving_is_adopted_after_its_duration(self):
        plan = plan_fleet(inputs(16.0))
        for now_s in (10.0, 300.0, 609.0):
            plan = plan_fleet(inputs(4.0, now_s, running=plan.mix), plan)
            assert plan.changed_at_s == 0.0
        plan = plan_fleet(inputs(4.0, 610.0, running=plan.mix), plan)
        assert plan.changed_at_s == 610.0
        assert plan.mix == plan_fleet(inputs(4.0, running=plan.mix)).mix
