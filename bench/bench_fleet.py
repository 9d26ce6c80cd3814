"""Cost of the planned fleet and time of a plan."""

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
# Seed 0 has no noise on the load.
SEEDS = (0, 1, 2)
# 76 % reclaimable VMs at a third of the on-demand price and 24 % on-demand
# cost this part of an on-demand fleet.
COST_RATIO = 0.76 / 3 + 0.24
# Loads of a present-day deployment and of a larger one, in requests per
# second, each on 4 zones with 2 VM classes.
PLAN_LOADS = (6.0, 60.0, 600.0)
# Load in requests per second that takes about 6,400 servers in 9 zones.
LARGE_LOAD = 32_000.0
# Target for the time between tokens, in seconds.
BETWEEN_TOKENS_S = 0.054
TICKS = 10
# A search every minute may take this part of a core.
SEARCH_PERIOD_S = 60.0
CONTROL_PART = 0.024


@BENCHES.register("fleet")
def run(report: Report) -> None:
    """Replays the recorded traces and measures single plans."""
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
            at_most=COST_RATIO,
        )
        report.bound(
            f"{name}: time in which a further zone could not be lost",
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
            f"{name}: changes of the mix in {trace['end_s'] / 3600:g} h",
            max(o.plan_changes for o in outcomes),
            "changes",
            at_most=trace["outcome"]["plan_changes_at_most"],
        )
        report.bound(
            f"{name}: invariants that did not hold",
            sum(len(o.violations) for o in outcomes),
            "",
            at_most=0,
        )
    for load in PLAN_LOADS:
        _measure_plan(report, make_inputs(load))
    # In the smaller fleet of 9 zones, rounding matters in many kinds of VM.
    for load in (LARGE_LOAD / 20, LARGE_LOAD):
        inputs = large_inputs(load)
        _measure_plan(report, inputs)
        # The preferences cannot be met, so a second search follows.
        offers = tuple(
            attrs.evolve(offer, refused_until_s=3600.0)
            if offer.pool.zone.startswith("r0") and offer.pool.reclaimable
            else offer
            for offer in inputs.offers
        )
        refused = attrs.evolve(inputs, offers=offers)
        _measure_plan(report, refused, ", a region refused")


def _measure_plan(report: Report, inputs: FleetInput, case: str = "") -> None:
    """Reports the time of a plan and of a tick of a fleet that runs it."""
    planner = FleetPlanner(inputs.target_s, inputs.classes, 1.0, 1.0)
    planner.on_offers(inputs.offers)
    planner.on_demands(inputs.demands)
    start = time.process_time()
    longest_s = asyncio.run(_longest_stop(planner.plan_in_steps(0.0)))
    plan_s = time.process_time() - start
    start = time.process_time()
    compare_s = asyncio.run(
        _longest_stop(planner.price_on_demand_in_steps(0.0))
    )
    compare_cpu_s = time.process_time() - start
    mix = planner.plan.mix
    label = f"{sum(mix.values())} VMs{case}"
    report.figure(f"{label}: plan", plan_s, "s of CPU")
    report.figure(f"{label}: on-demand alone", compare_cpu_s, "s of CPU")
    report.bound(
        f"{label}: both, one a minute",
        plan_s + compare_cpu_s,
        "s of CPU",
        at_most=CONTROL_PART * SEARCH_PERIOD_S,
    )
    lease = ReplayLease()
    instances = [
        Instance(vm_name(pool, slot), pool, True, fencing_number=1)
        for pool, count in mix.items()
        for slot in range(count)
    ]
    tick_s = 0.0
    start = time.process_time()
    for second in range(TICKS):
        # One VM is lost in each tick, and each is replaced.
        begin = time.perf_counter()
        planner.on_instances(instances[second:], float(second))
        tick_s = max(tick_s, time.perf_counter() - begin)
        stop_s = asyncio.run(_longest_stop(planner.plan_in_steps(second)))
        longest_s = max(longest_s, stop_s)
        begin = time.perf_counter()
        planner.on_tick(float(second), lease, True)
        tick_s = max(tick_s, time.perf_counter() - begin)
    cpu_s = (time.process_time() - start) / TICKS
    report.figure(f"{label}: tick", cpu_s, "s of CPU")
    report.figure(f"{label}: longest tick", tick_s, "s")
    report.figure(f"{label}: longest stop in a plan", longest_s, "s")
    report.bound(
        f"{label}: longest stop of the event loop",
        max(longest_s, compare_s, tick_s),
        "s",
        at_most=BETWEEN_TOKENS_S,
    )


async def _longest_stop(steps: Generator[None, None, None]) -> float:
    """Runs steps as the entry node does beside a task that runs always."""
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


def make_inputs(load: float) -> FleetInput:
    """Returns a load on 4 zones with 2 VM classes."""
    classes = {
        "small": VmClass("small", 3.0, 0.3),
        "large": VmClass("large", 7.0, 0.2),
    }
    offers = tuple(
        Offer(
            CapacityPool(f"z{zone}", name, kind),
            price * (1 + zone / 10) * factor,
        )
        for zone in range(4)
        for name, price in (("small", 0.3), ("large", 0.65))
        for kind, factor in ((True, 1), (False, 3))
    )
    demands = (
        Demand("o", load * 0.6),
        Demand("p", load * 0.3, ("z0", "z1")),
        Demand("q", load * 0.1, vm_classes=("large",)),
    )
    return FleetInput(0.0, 0.65, demands, classes, offers)


def large_inputs(load: float = LARGE_LOAD) -> FleetInput:
    """Returns a load on 9 zones, by default that of 6,400 servers."""
    zones = [f"r{region}-{zone}" for region in range(3) for zone in "abc"]
    classes = {
        "small": VmClass("small", 3.0, 0.3),
        "large": VmClass("large", 7.0, 0.2),
    }
    offers = tuple(
        Offer(
            CapacityPool(zone, name, kind),
            price * (1 + number / 30) * (1 if kind else 3),
        )
        for number, zone in enumerate(zones)
        for name, price in (("small", 0.3), ("large", 0.65))
        for kind in (True, False)
    )
    shares = {
        "o": (0.4, (), ()),
        "p": (0.25, tuple(zones[:3]), ()),
        "q": (0.2, tuple(zones[3:6]), ()),
        "r": (0.1, tuple(zones[2:7]), ("large",)),
        "s": (0.05, (), ("small",)),
    }
    demands = tuple(
        Demand(name, load * part, wanted, names)
        for name, (part, wanted, names) in shares.items()
    )
    return FleetInput(0.0, 0.65, demands, classes, offers)
