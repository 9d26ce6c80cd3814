"""Replay of a recorded fleet trace on the production planner.

The cloud API is a list of VMs in memory; time is that of manual timers.
"""

from __future__ import annotations

import json
import pathlib
import random
from collections import Counter
from typing import Any

import attrs

from guavalane_core.fleet import (
    CapacityPool,
    Demand,
    FleetInput,
    FleetPlanner,
    Instance,
    Offer,
    StartVm,
    StorePlan,
    VmClass,
    meets_target,
    plan_fleet,
)
from guavalane_core.fleet.scenarios import make_scenarios, shortfall
from guavalane_core.timers import ManualTimers

TICK_S = 5.0
# A reclaimed VM is gone this time after its notice, in seconds.
NOTICE_S = 25.0
# Time for a VM to start, without loading the model, in seconds.
BOOT_S = 30.0


@attrs.define
class ReplayLease:
    """A lease that the trace grants and takes.

    Attributes:
      held: Whether it is held.
      number: Fencing number.
    """

    held: bool = True
    number: int = 1

    @property
    def fencing_number(self) -> int:
        """Fencing number."""
        return self.number

    def check(self) -> bool:
        """Returns whether it is held."""
        return self.held


@attrs.define
class FleetOutcome:
    """What a replay measured.

    Attributes:
      cost: Price of all VM time.
      on_demand_cost: Price of the cheapest fleet of on-demand VMs only that
          meets the same target.
      requests: Requests that arrived.
      plan_changes: Changes of the mix.
      below_target_s: Time in which the serving VMs could not lose a zone and
          still meet the target, in seconds, after the first start.
      unserved_s: Time in which the serving VMs did not meet the target even
          without a further loss, in seconds, after the first start.
      refused: Starts that were refused.
      starts: Starts that were accepted.
      on_demand_at_end: On-demand VMs at the end.
      violations: Invariants that did not hold, one line each.
    """

    cost: float = 0.0
    on_demand_cost: float = 0.0
    requests: float = 0.0
    plan_changes: int = 0
    below_target_s: float = 0.0
    unserved_s: float = 0.0
    refused: int = 0
    starts: int = 0
    on_demand_at_end: int = 0
    violations: list[str] = attrs.field(factory=list)


def load_trace(path: str | pathlib.Path) -> dict[str, Any]:
    """Returns a recorded trace."""
    return json.loads(pathlib.Path(path).read_text(encoding="utf-8"))


class FleetReplay:
    """Replays one trace.

    Args:
      trace: Trace as plain data.
      seed: Seed of the noise on the load; 0 for none.
    """

    def __init__(self, trace: dict[str, Any], seed: int = 0) -> None:
        self._trace = trace
        self._rng = random.Random(seed) if seed else None
        self._timers = ManualTimers()
        self._classes = {
            name: VmClass(name, **values)
            for name, values in trace["classes"].items()
        }
        self._planner = FleetPlanner(
            trace["target_s"],
            self._classes,
            trace["model_bytes"],
            trace["weight_store_bytes_per_s"],
        )
        self._load_s = trace["model_bytes"] / trace["weight_store_bytes_per_s"]
        self._prices = {
            CapacityPool(zone, name, reclaimable): price
            for zone, name, reclaimable, price in trace["prices"]
        }
        self._loads: dict[str, float] = {}
        self._refusing: set[tuple[str, bool]] = set()
        self._vms: dict[str, Instance] = {}
        self._ready_at_s: dict[str, float] = {}
        self._gone_at_s: dict[str, float] = {}
        self._lease = ReplayLease()
        self._object_api_up = True
        self._served = False
        self._last_start_s = float("-inf")
        self._last_mix: dict[CapacityPool, int] | None = None
        self._on_demand_per_h = 0.0
        self._on_demand_for: tuple[float, ...] = ()
        self.outcome = FleetOutcome()

    @property
    def planner(self) -> FleetPlanner:
        """Planner under replay."""
        return self._planner

    def run(self) -> FleetOutcome:
        """Returns the outcome of the whole trace."""
        events = sorted(self._trace["events"], key=lambda e: e["at_s"])
        end_s = self._trace["end_s"]
        for event in events:
            self._timers.call_later(
                event["at_s"], lambda event=event: self._apply(event)
            )
        ticks = self._timers.call_every(TICK_S, self._tick)
        self._timers.advance(end_s)
        ticks.cancel()
        self.outcome.on_demand_at_end = sum(
            not vm.pool.reclaimable for vm in self._vms.values()
        )
        return self.outcome

    def _apply(self, event: dict[str, Any]) -> None:
        kind = event["kind"]
        if kind == "load":
            self._loads = event["requests_per_s"]
        elif kind == "prices":
            for zone, name, reclaimable, price in event["prices"]:
                self._prices[CapacityPool(zone, name, reclaimable)] = price
        elif kind == "refuse":
            self._refusing = {tuple(pair) for pair in event["zones"]}
        elif kind == "reclaim":
            self._reclaim(event["zone"])
        elif kind == "object_api":
            self._object_api_up = event["up"]
            self._lease.held = event["up"]
        else:
            raise ValueError(f"unknown event {kind!r}")

    def _reclaim(self, zone: str) -> None:
        now = self._timers.now()
        for name, vm in list(self._vms.items()):
            if vm.pool.zone == zone and vm.pool.reclaimable and not vm.leaving:
                self._planner.on_reclaimed(name, now)
                self._vms[name] = attrs.evolve(vm, leaving=True, ready=False)
                self._gone_at_s[name] = now + NOTICE_S

    def _demands(self) -> tuple[Demand, ...]:
        return tuple(
            Demand(
                name,
                load * (self._rng.uniform(0.93, 1.07) if self._rng else 1.0),
                **{
                    key: tuple(value)
                    for key, value in self._trace["preferences"]
                    .get(name, {})
                    .items()
                },
            )
            for name, load in self._loads.items()
        )

    def _offers(self) -> tuple[Offer, ...]:
        return tuple(Offer(c, p) for c, p in sorted(self._prices.items()))

    def _tick(self) -> None:
        now = self._timers.now()
        self._age(now)
        demands = self._demands()
        self._planner.on_demands(demands)
        self._planner.on_offers(self._offers())
        self._planner.on_instances(self._vms.values(), now)
        commands = self._planner.on_tick(now, self._lease, self._object_api_up)
        for command in commands:
            if isinstance(command, StorePlan):
                if not self._lease.held:
                    self._violate("a plan was made without the lease")
            elif isinstance(command, StartVm):
                self._start(command, now)
            else:
                self._delete(command.name, demands)
        plan = self._planner.plan
        if plan is not None and plan.mix != self._last_mix:
            self.outcome.plan_changes += self._last_mix is not None
            self._last_mix = dict(plan.mix)
            self._check_plan(demands, now)
        self._measure(demands)

    def _age(self, now: float) -> None:
        for name, gone_s in list(self._gone_at_s.items()):
            if gone_s <= now:
                del self._gone_at_s[name]
                self._vms.pop(name, None)
        for name, vm in self._vms.items():
            if not vm.leaving and self._ready_at_s[name] <= now:
                self._vms[name] = attrs.evolve(vm, ready=True)

    def _start(self, command: StartVm, now: float) -> None:
        pool = command.pool
        if now - self._last_start_s < self._load_s - TICK_S:
            self._violate("model loads exceed the weight store's rate")
        if (pool.zone, pool.reclaimable) in self._refusing:
            self._planner.on_refused(command.name, now)
            self.outcome.refused += 1
            return
        self._last_start_s = now
        if command.name in self._vms:
            return
        self.outcome.starts += 1
        self._vms[command.name] = Instance(
            command.name, pool, fencing_number=command.fencing_number
        )
        self._ready_at_s[command.name] = now + BOOT_S + self._load_s
        self._planner.on_started(command.name)

    def _delete(self, name: str, demands: tuple[Demand, ...]) -> None:
        if not self._lease.held:
            self._violate("a VM was deleted without the lease")
        inputs = self._inputs(demands).without_preferences()
        before = meets_target(inputs, self._ready())
        self._vms.pop(name, None)
        if before and not meets_target(inputs, self._ready()):
            self._violate(f"deleting {name} broke the target")

    def _ready(self) -> Counter[CapacityPool]:
        return Counter(vm.pool for vm in self._vms.values() if vm.ready)

    def _inputs(self, demands: tuple[Demand, ...]) -> FleetInput:
        return FleetInput(
            self._timers.now(),
            self._trace["target_s"],
            demands,
            self._classes,
            self._offers(),
        )

    def _check_plan(self, demands: tuple[Demand, ...], now: float) -> None:
        plan = self._planner.plan
        inputs = self._inputs(demands)
        if not plan.preferred:
            inputs = inputs.without_preferences()
        if plan.feasible and not meets_target(inputs, plan.mix):
            self._violate("a feasible plan does not meet the target")
        if any(not pool.reclaimable for pool in plan.mix):
            known = self._planner.inputs(now)
            reclaimable = tuple(o for o in known.offers if o.pool.reclaimable)
            alone = plan_fleet(attrs.evolve(known, offers=reclaimable))
            if alone.feasible:
                self._violate("on-demand VMs though reclaimable VMs suffice")

    def _measure(self, demands: tuple[Demand, ...]) -> None:
        inputs = self._inputs(demands).without_preferences()
        ready = self._ready()
        hours = TICK_S / 3600
        self.outcome.cost += hours * sum(
            self._prices[vm.pool] for vm in self._vms.values()
        )
        self.outcome.on_demand_cost += hours * self._on_demand(inputs)
        self.outcome.requests += TICK_S * inputs.requests_per_s
        if meets_target(inputs, ready):
            self._served = True
        elif self._served:
            self.outcome.below_target_s += TICK_S
            if not meets_without_loss(inputs, ready):
                self.outcome.unserved_s += TICK_S

    def _on_demand(self, inputs: FleetInput) -> float:
        loads = tuple(sorted(self._loads.items()))
        if loads != self._on_demand_for:
            offers = tuple(o for o in inputs.offers if not o.pool.reclaimable)
            plan = plan_fleet(attrs.evolve(inputs, offers=offers))
            self._on_demand_per_h = plan.cost_per_h
            self._on_demand_for = loads
        return self._on_demand_per_h

    def _violate(self, text: str) -> None:
        self.outcome.violations.append(f"{self._timers.now():.0f} s: {text}")


def meets_without_loss(inputs: FleetInput, mix: Counter[CapacityPool]) -> bool:
    """Returns whether a mix meets the target when no zone is lost."""
    return all(
        shortfall(scenario, inputs, mix) <= 0
        for scenario in make_scenarios(inputs)
        if not scenario.lost_zone
    )
