"""Cost of the planned fleet and CPU time of the planner."""

from __future__ import annotations

import asyncio
import pathlib
import statistics
import time
from collections.abc import Generator

import attrs

from bench.report import BENCHES, Report
from guavalane_core.fleet import (
    CapacityPool,
    Demand,
    FleetInput,
    FleetPlanner,
    Instance,
    Offer,
    VmClass,
)
from guavalane_core.fleet.planner import vm_name
from guavalane_standins.fleet_replay import (
    FleetReplay,
    ReplayLease,
    load_trace,
)

TRACES = pathlib.Path(__file__).parent.parent / "traces"
# Seed 0 adds no noise to the load.
SEEDS = (0, 1, 2)
# Cost relative to an on-demand fleet: 76 % reclaimable VMs at a third of the
# on-demand price, and 24 % on-demand VMs.
MAX_COST_RATIO = 0.76 / 3 + 0.24
# Loads of a current deployment and of larger ones, in requests per second, each
# on 4 zones with 2 VM classes.
PLAN_LOADS = (6.0, 60.0, 600.0)
# Load in requests per second that needs about 6,400 servers in 9 zones.
LARGE_LOAD = 32_000.0
# Target for the time between tokens, in seconds. A task that blocks the event
# loop for longer delays the streams of the node.
TOKEN_GAP_TARGET_S = 0.054
TICK_COUNT = 10
# Time between two plans, and the fraction of a core that planning may use.
PLAN_PERIOD_S = 60.0
MAX_CPU_FRACTION = 0.024


@BENCHES.register("fleet")
def run(report: Report) -> None:
    """Replays the fleet traces and measures single plans."""
    for path in sorted(TRACES.glob("fleet-*.json")):
        trace = load_trace(path)
        name = path.stem.removeprefix("fleet-")
        outcomes = [FleetReplay(trace, seed).run() for seed in SEEDS]
        cost = statistics.mean(o.cost / o.requests for o in outcomes)
        report.figure(f"{name}: cost per request", cost * 1e6, "1e-6")
        report.bound(
            f"{name}: cost to on-demand only, worst seed",
            max(o.cost / o.on_demand_cost for o in outcomes),
            "ratio",
            at_most=MAX_COST_RATIO,
        )
        report.bound(
            f"{name}: time without capacity to lose another zone",
            max(o.below_target_s for o in outcomes),
            "s",
            at_most=trace["outcome"]["below_target_s_at_most"],
        )
        report.bound(
            f"{name}: time above the latency target",
            max(o.unserved_s for o in outcomes),
            "s",
            at_most=trace["outcome"]["unserved_s_at_most"],
        )
        report.bound(
            f"{name}: mix changes in {trace['end_s'] / 3600:g} h",
            max(o.plan_changes for o in outcomes),
            "changes",
            at_most=trace["outcome"]["plan_changes_at_most"],
        )
        report.bound(
            f"{name}: invariant violations",
            sum(len(o.violations) for o in outcomes),
            "",
            at_most=0,
        )
    for load in PLAN_LOADS:
        _measure_plan(report, make_small_fleet_inputs(load))
    # In the smaller fleet of 9 zones, rounding affects many capacity pools.
    for load in (LARGE_LOAD / 20, LARGE_LOAD):
        inputs = make_large_fleet_inputs(load)
        _measure_plan(report, inputs)
        # The preferences can't be met, so the planner searches a second time.
        offers = tuple(
            attrs.evolve(offer, refused_until_s=3600.0)
            if offer.pool.zone.startswith("r0") and offer.pool.reclaimable
            else offer
            for offer in inputs.offers
        )
        refused = attrs.evolve(inputs, offers=offers)
        _measure_plan(report, refused, ", a region refused")


def _measure_plan(report: Report, inputs: FleetInput, case: str = "") -> None:
    """Reports the time of a plan and of a tick while the plan is in use."""
    planner = FleetPlanner(inputs.target_s, inputs.classes, 1.0, 1.0)
    planner.on_offers(inputs.offers)
    planner.on_demands(inputs.demands)
    start = time.process_time()
    longest_s = asyncio.run(_longest_block_s(planner.plan_in_steps(0.0)))
    plan_s = time.process_time() - start
    start = time.process_time()
    pricing_block_s = asyncio.run(
        _longest_block_s(planner.price_on_demand_in_steps(0.0))
    )
    pricing_cpu_s = time.process_time() - start
    mix = planner.plan.mix
    label = f"{sum(mix.values())} VMs{case}"
    report.figure(f"{label}: plan", plan_s, "s of CPU")
    report.figure(
        f"{label}: cost of on-demand VMs alone", pricing_cpu_s, "s of CPU"
    )
    report.bound(
        f"{label}: plan and on-demand cost, once a minute",
        plan_s + pricing_cpu_s,
        "s of CPU",
        at_most=MAX_CPU_FRACTION * PLAN_PERIOD_S,
    )
    lease = ReplayLease()
    instances = [
        Instance(vm_name(pool, slot), pool, True, fencing_number=1)
        for pool, count in mix.items()
        for slot in range(count)
    ]
    longest_tick_s = 0.0
    start = time.process_time()
    for second in range(TICK_COUNT):
        # Each tick loses one more VM, which the planner replaces.
        tick_start = time.perf_counter()
        planner.on_instances(instances[second:], float(second))
        longest_tick_s = max(longest_tick_s, time.perf_counter() - tick_start)
        block_s = asyncio.run(_longest_block_s(planner.plan_in_steps(second)))
        longest_s = max(longest_s, block_s)
        tick_start = time.perf_counter()
        planner.on_tick(float(second), lease, True)
        longest_tick_s = max(longest_tick_s, time.perf_counter() - tick_start)
    tick_cpu_s = (time.process_time() - start) / TICK_COUNT
    report.figure(f"{label}: tick", tick_cpu_s, "s of CPU")
    report.figure(f"{label}: longest tick", longest_tick_s, "s")
    report.figure(
        f"{label}: longest event loop block by a plan", longest_s, "s"
    )
    report.bound(
        f"{label}: longest event loop block",
        max(longest_s, pricing_block_s, longest_tick_s),
        "s",
        at_most=TOKEN_GAP_TARGET_S,
    )


async def _longest_block_s(steps: Generator[None, None, None]) -> float:
    """Returns the longest time between two runs of a concurrent task.

    The steps run as in the entry node: the event loop gets control after each.
    """
    longest_s, done = 0.0, False

    async def watch() -> None:
        nonlocal longest_s
        last_s = time.perf_counter()
        while not done:
            await asyncio.sleep(0)
            now_s = time.perf_counter()
            longest_s, last_s = max(longest_s, now_s - last_s), now_s

    watcher = asyncio.create_task(watch())
    await asyncio.sleep(0)
    for _ in steps:
        await asyncio.sleep(0)
    done = True
    await watcher
    return longest_s


def make_small_fleet_inputs(load: float) -> FleetInput:
    """Returns planner inputs for a load on 4 zones with 2 VM classes."""
    classes = {
        "small": VmClass("small", 3.0, 0.3),
        "large": VmClass("large", 7.0, 0.2),
    }
    offers = tuple(
        Offer(
            CapacityPool(f"z{zone}", name, reclaimable),
            price * (1 + zone / 10) * factor,
        )
        for zone in range(4)
        for name, price in (("small", 0.3), ("large", 0.65))
        for reclaimable, factor in ((True, 1), (False, 3))
    )
    demands = (
        Demand("o", load * 0.6),
        Demand("p", load * 0.3, ("z0", "z1")),
        Demand("q", load * 0.1, vm_classes=("large",)),
    )
    return FleetInput(0.0, 0.65, demands, classes, offers)


def make_large_fleet_inputs(load: float = LARGE_LOAD) -> FleetInput:
    """Returns planner inputs for a load on 9 zones with 2 VM classes."""
    zones = [f"r{region}-{zone}" for region in range(3) for zone in "abc"]
    classes = {
        "small": VmClass("small", 3.0, 0.3),
        "large": VmClass("large", 7.0, 0.2),
    }
    offers = tuple(
        Offer(
            CapacityPool(zone, name, reclaimable),
            price * (1 + number / 30) * (1 if reclaimable else 3),
        )
        for number, zone in enumerate(zones)
        for name, price in (("small", 0.3), ("large", 0.65))
        for reclaimable in (True, False)
    )
    shares = {
        "o": (0.4, (), ()),
        "p": (0.25, tuple(zones[:3]), ()),
        "q": (0.2, tuple(zones[3:6]), ()),
        "r": (0.1, tuple(zones[2:7]), ("large",)),
        "s": (0.05, (), ("small",)),
    }
    demands = tuple(
        Demand(name, load * fraction, preferred_zones, names)
        for name, (fraction, preferred_zones, names) in shares.items()
    )
    return FleetInput(0.0, 0.65, demands, classes, offers)
