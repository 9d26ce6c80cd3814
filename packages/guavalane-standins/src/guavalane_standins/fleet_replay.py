"""Replays recorded fleet traces on the production fleet planner.

The cloud API is simulated by VMs in memory; time is simulated by manual timers.
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
# Time from the reclaim notice to the termination of a VM, in seconds.
NOTICE_S = 25.0
# Boot time of a VM, excluding the model load, in seconds.
BOOT_S = 30.0
# Range of the random factor on the load of an organisation.
LOAD_VARIATION = (0.93, 1.07)


@attrs.define
class ReplayLease:
    """A lease whose state the trace controls.

    Attributes:
      held: Whether the planner holds the lease.
      number: Fencing number.
    """

    held: bool = True
    number: int = 1

    @property
    def fencing_number(self) -> int:
        """Fencing number of the lease."""
        return self.number

    def check(self) -> bool:
        """Returns whether the planner holds the lease."""
        return self.held


@attrs.define
class FleetOutcome:
    """Measurements of a replay.

    Attributes:
      cost: Cost of all VMs.
      on_demand_cost: Cost of the cheapest fleet of only on-demand VMs that
          meets the same target.
      requests: Number of requests that arrived.
      plan_changes: Number of changes of the planned mix.
      below_target_s: Time in which the serving VMs could not lose a zone and
          still meet the target, in seconds, after the first start.
      unserved_s: Time in which the serving VMs did not meet the target even
          without a further loss, in seconds, after the first start.
      refused: Number of VM starts that the cloud API rejected.
      starts: Number of VM starts that the cloud API accepted.
      on_demand_at_end: Number of on-demand VMs at the end.
      violations: Descriptions of violated invariants.
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
    """Loads a recorded trace."""
    return json.loads(pathlib.Path(path).read_text(encoding="utf-8"))


class FleetReplay:
    """Replays one trace.

    Args:
      trace: Decoded trace.
      seed: Seed of the random load variation; 0 disables the variation.
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
        self._exhausted_pools: set[tuple[str, bool]] = set()
        self._vms: dict[str, Instance] = {}
        self._ready_at_s: dict[str, float] = {}
        self._terminates_at_s: dict[str, float] = {}
        self._lease = ReplayLease()
        self._object_api_up = True
        self._target_was_met = False
        self._last_start_s = float("-inf")
        self._last_mix: dict[CapacityPool, int] | None = None
        self._cached_on_demand_cost_per_h = 0.0
        self._cached_on_demand_loads: tuple[float, ...] = ()
        self.outcome = FleetOutcome()

    @property
    def planner(self) -> FleetPlanner:
        """The fleet planner that the trace is replayed on."""
        return self._planner

    def run(self) -> FleetOutcome:
        """Replays the whole trace and returns the measurements."""
        events = sorted(self._trace["events"], key=lambda e: e["at_s"])
        end_s = self._trace["end_s"]
        for event in events:
            self._timers.call_later(
                event["at_s"], lambda event=event: self._apply_event(event)
            )
        ticks = self._timers.call_every(TICK_S, self._tick)
        self._timers.advance(end_s)
        ticks.cancel()
        self.outcome.on_demand_at_end = sum(
            not vm.pool.reclaimable for vm in self._vms.values()
        )
        return self.outcome

    def _apply_event(self, event: dict[str, Any]) -> None:
        kind = event["kind"]
        if kind == "load":
            self._loads = event["requests_per_s"]
        elif kind == "prices":
            for zone, name, reclaimable, price in event["prices"]:
                self._prices[CapacityPool(zone, name, reclaimable)] = price
        elif kind == "refuse":
            self._exhausted_pools = {tuple(pair) for pair in event["zones"]}
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
                self._terminates_at_s[name] = now + NOTICE_S

    def _demands(self) -> tuple[Demand, ...]:
        return tuple(
            Demand(
                name,
                load
                * (self._rng.uniform(*LOAD_VARIATION) if self._rng else 1.0),
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
        self._update_vm_states(now)
        demands = self._demands()
        self._planner.on_demands(demands)
        self._planner.on_offers(self._offers())
        self._planner.on_instances(self._vms.values(), now)
        commands = self._planner.on_tick(now, self._lease, self._object_api_up)
        for command in commands:
            if isinstance(command, StorePlan):
                if not self._lease.held:
                    self._record_violation(
                        "the planner stored a plan without holding the lease"
                    )
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

    def _update_vm_states(self, now: float) -> None:
        for name, terminates_s in list(self._terminates_at_s.items()):
            if terminates_s <= now:
                del self._terminates_at_s[name]
                self._vms.pop(name, None)
        for name, vm in self._vms.items():
            if not vm.leaving and self._ready_at_s[name] <= now:
                self._vms[name] = attrs.evolve(vm, ready=True)

    def _start(self, command: StartVm, now: float) -> None:
        pool = command.pool
        if now - self._last_start_s < self._load_s - TICK_S:
            self._record_violation(
                "model loads exceed the rate limit of the weight store"
            )
        if (pool.zone, pool.reclaimable) in self._exhausted_pools:
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
            self._record_violation(
                "the planner deleted a VM without holding the lease"
            )
        inputs = self._inputs(demands).without_preferences()
        before = meets_target(inputs, self._ready_mix())
        self._vms.pop(name, None)
        if before and not meets_target(inputs, self._ready_mix()):
            self._record_violation(
                f"deleting {name} made the fleet miss the target"
            )

    def _ready_mix(self) -> Counter[CapacityPool]:
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
            self._record_violation("a feasible plan does not meet the target")
        if any(not pool.reclaimable for pool in plan.mix):
            planner_inputs = self._planner.inputs(now)
            reclaimable = tuple(
                o for o in planner_inputs.offers if o.pool.reclaimable
            )
            reclaimable_plan = plan_fleet(
                attrs.evolve(planner_inputs, offers=reclaimable)
            )
            if reclaimable_plan.feasible:
                self._record_violation(
                    "plan has on-demand VMs although reclaimable VMs suffice"
                )

    def _measure(self, demands: tuple[Demand, ...]) -> None:
        inputs = self._inputs(demands).without_preferences()
        ready = self._ready_mix()
        hours = TICK_S / 3600
        self.outcome.cost += hours * sum(
            self._prices[vm.pool] for vm in self._vms.values()
        )
        self.outcome.on_demand_cost += hours * self._on_demand_cost_per_h(
            inputs
        )
        self.outcome.requests += TICK_S * inputs.requests_per_s
        if meets_target(inputs, ready):
            self._target_was_met = True
        elif self._target_was_met:
            self.outcome.below_target_s += TICK_S
            if not meets_without_loss(inputs, ready):
                self.outcome.unserved_s += TICK_S

    def _on_demand_cost_per_h(self, inputs: FleetInput) -> float:
        loads = tuple(sorted(self._loads.items()))
        if loads != self._cached_on_demand_loads:
            offers = tuple(o for o in inputs.offers if not o.pool.reclaimable)
            plan = plan_fleet(attrs.evolve(inputs, offers=offers))
            self._cached_on_demand_cost_per_h = plan.cost_per_h
            self._cached_on_demand_loads = loads
        return self._cached_on_demand_cost_per_h

    def _record_violation(self, text: str) -> None:
        self.outcome.violations.append(f"{self._timers.now():.0f} s: {text}")


def meets_without_loss(inputs: FleetInput, mix: Counter[CapacityPool]) -> bool:
    """Returns whether a mix meets the target while no zone is lost."""
    return all(
        shortfall(scenario, inputs, mix) <= 0
        for scenario in make_scenarios(inputs)
        if not scenario.lost_zone
    )
