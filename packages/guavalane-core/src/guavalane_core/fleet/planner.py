"""State machine that turns plans into orders to the cloud API."""

from __future__ import annotations

import itertools
import math
from collections import Counter
from collections.abc import Callable, Generator, Iterable, Mapping, Sequence
from typing import Any, Protocol

import attrs

from guavalane_core.fleet.demand import (
    CapacityPool,
    Demand,
    FleetInput,
    Offer,
    VmClass,
)
from guavalane_core.fleet.plan import (
    FleetPlan,
    plan_in_steps,
    run_steps,
    why_broken,
)
from guavalane_core.fleet.scenarios import make_scenarios, meets_target

# Time between searches for a cheaper mix, in seconds. Control has 2.4 % of a
# core, which is 1.44 s for each search.
PLAN_PERIOD_S = 60.0
# Time between plans when the mix in force does not meet the target, in seconds.
REPAIR_PERIOD_S = 10.0
# A refused kind of VM is tried again after this time, doubled at each refusal.
FIRST_REFUSAL_S = 60.0
LONGEST_REFUSAL_S = 960.0
# Reclaims of this part of a zone's reclaimable VMs, at least two, within this
# time in seconds are a wave. New VMs would be reclaimed as well for a while.
WAVE_PART = 0.5
WAVE_WINDOW_S = 30.0
WAVE_REFUSAL_S = 300.0
# An ordered VM that the cloud API does not list after this time, in seconds,
# is ordered again under the same name.
START_LIMIT_S = 60.0
# Deletions of serving VMs in one tick. Each takes a call of the cloud API, and
# the lease is checked before each.
MAX_DELETIONS = 50
# Reclaims are told as a cause for this time, in seconds.
REPORT_RECLAIMS_S = 3600.0
NAME_PREFIX = "fleet"


class Lease(Protocol):
    """The lease under which a planner acts."""

    @property
    def fencing_number(self) -> int:
        """Number that rises at each change of holder."""

    def check(self) -> bool:
        """Returns whether the lease is held now."""


@attrs.frozen
class Instance:
    """A VM as the cloud API lists it.

    Attributes:
      name: Name.
      pool: Kind of VM.
      ready: Whether it serves.
      leaving: Whether it is being reclaimed or deleted.
      fencing_number: Fencing number of the planner that ordered it.
    """

    name: str
    pool: CapacityPool
    ready: bool = False
    leaving: bool = False
    fencing_number: int = 0


@attrs.frozen
class StartVm:
    """Order to start a VM; harmless if the name exists.

    Attributes:
      name: Name, which depends on the kind and a slot only.
      pool: Kind of VM.
      fencing_number: Fencing number of the planner.
    """

    name: str
    pool: CapacityPool
    fencing_number: int


@attrs.frozen
class DeleteVm:
    """Order to delete a VM gracefully.

    Attributes:
      name: Name.
      pool: Kind of VM.
      fencing_number: Fencing number of the planner.
    """

    name: str
    pool: CapacityPool
    fencing_number: int


@attrs.frozen
class StorePlan:
    """Order to store the plan in the object API.

    Attributes:
      body: Plan as plain data.
    """

    body: dict[str, Any]


Command = StartVm | DeleteVm | StorePlan


@attrs.define
class _Refusal:
    until_s: float
    count: int


class FleetPlanner:
    """Plans the fleet and issues orders while it holds the lease.

    While the object API is down, nobody can take the lease over. The planner
    that held it last then replaces lost VMs of its last plan and does nothing
    else. Names depend on the plan only and the cloud API refuses a name that
    exists, so that a second planner cannot start a VM twice; a planner that
    sees a VM ordered under a higher fencing number stops.

    Args:
      target_s: Time to the first token for 95 in 100 requests, in seconds.
      classes: VM classes by name.
      model_bytes: Size of the model that a VM loads at its start.
      weight_store_bytes_per_s: Rate of the weight store.
      name_prefix: Start of the names of its VMs.
    """

    def __init__(
        self,
        target_s: float,
        classes: Mapping[str, VmClass],
        model_bytes: float,
        weight_store_bytes_per_s: float,
        name_prefix: str = NAME_PREFIX,
    ) -> None:
        self._name_prefix = name_prefix
        self._target_s = target_s
        self._classes = classes
        self._load_s = model_bytes / weight_store_bytes_per_s
        self._demands: tuple[Demand, ...] = ()
        self._offers: tuple[Offer, ...] = ()
        self._plan: FleetPlan | None = None
        self._planned_at_s = -math.inf
        self._instances: dict[str, Instance] = {}
        self._ordered: dict[str, tuple[CapacityPool, float]] = {}
        self._deleted: set[str] = set()
        self._refusals: dict[CapacityPool, _Refusal] = {}
        self._reclaims: list[tuple[float, str, str]] = []
        self._reclaimed: set[str] = set()
        self._next_start_s = -math.inf
        self._fencing_number = 0
        self._unstored = False
        self._listed_at_s = -math.inf
        self._on_demand_cost: float | None = None
        self._compared_at_s = -math.inf
        # Time and number of the last reclaims by zone.
        self._waves: dict[str, tuple[float, int]] = {}

    @property
    def plan(self) -> FleetPlan | None:
        """Plan in force; None before the first."""
        return self._plan

    @property
    def load_s(self) -> float:
        """Time in which a VM loads the model, in seconds."""
        return self._load_s

    @property
    def fencing_number(self) -> int:
        """Number under which it orders; 0 if it may not order."""
        return self._fencing_number

    def inputs(self, now_s: float) -> FleetInput:
        """Returns what a plan made now depends on."""
        offers = tuple(
            attrs.evolve(offer, refused_until_s=refusal.until_s)
            if (refusal := self._refusals.get(offer.pool)) is not None
            else offer
            for offer in self._offers
        )
        return FleetInput(
            now_s,
            self._target_s,
            self._demands,
            self._classes,
            offers,
            self._present(),
        )

    def _present(self) -> Counter[CapacityPool]:
        pools = [i.pool for i in self._instances.values() if not i.leaving]
        pending = [
            pool
            for name, (pool, _) in self._ordered.items()
            if name not in self._instances
        ]
        return Counter(pools + pending)

    def on_demands(self, demands: Iterable[Demand]) -> None:
        """Takes the load by organisation."""
        self._demands = tuple(demands)

    def on_offers(self, offers: Iterable[Offer]) -> None:
        """Takes prices."""
        self._offers = tuple(offers)

    def on_stored_plan(
        self, body: dict[str, Any], *, replace: bool = False
    ) -> None:
        """Takes the plan of an earlier holder.

        Args:
          body: Plan as stored.
          replace: Whether it replaces a plan in force, which is older if
              another planner held the lease in between.
        """
        if self._plan is None or replace:
            self._plan = plan_from_plain(body)

    def on_instances(self, instances: Iterable[Instance], now_s: float) -> None:
        """Takes the VMs that the cloud API lists.

        A reclaimable VM that has gone since the last list, without an order
        of this planner, counts as reclaimed: short notices end in between.
        """
        instances = list(instances)
        if now_s - self._listed_at_s <= WAVE_WINDOW_S:
            names = {i.name for i in instances}
            for name in self._instances.keys() - names - self._deleted:
                if self._instances[name].pool.reclaimable:
                    self.on_reclaimed(name, now_s)
        self._listed_at_s = now_s
        for instance in instances:
            name = instance.name
            if instance.leaving and name in self._ordered:
                # It was reclaimed before it was listed.
                self._instances[name] = attrs.evolve(instance, leaving=False)
                self.on_reclaimed(name, now_s)
        self._instances = {
            i.name: attrs.evolve(i, leaving=True)
            if i.name in self._reclaimed and not i.leaving
            else i
            for i in instances
        }
        self._reclaimed &= self._instances.keys()
        self._deleted &= self._instances.keys()
        self._ordered = {
            name: (pool, sent_s)
            for name, (pool, sent_s) in self._ordered.items()
            if name not in self._instances and now_s - sent_s < START_LIMIT_S
        }

    def on_started(self, name: str) -> None:
        """Takes note that the cloud API accepted a start."""
        ordered = self._ordered.get(name)
        if ordered is not None:
            self._refusals.pop(ordered[0], None)

    def on_failed(self, command: Command) -> None:
        """Takes note that an order was not sent, or its outcome is unknown.

        It is repeated. A start has the same name then, which the cloud API
        refuses if the first one took effect.
        """
        if isinstance(command, StartVm):
            self._ordered.pop(command.name, None)
        elif isinstance(command, DeleteVm):
            self._deleted.discard(command.name)
        else:
            self._unstored = True

    def on_refused(self, name: str, now_s: float) -> None:
        """Takes note that the cloud API refused a start."""
        ordered = self._ordered.pop(name, None)
        if ordered is None:
            return
        pool = ordered[0]
        refusal = self._refusals.get(pool)
        count = refusal.count + 1 if refusal is not None else 1
        wait_s = min(FIRST_REFUSAL_S * 2 ** (count - 1), LONGEST_REFUSAL_S)
        self._refusals[pool] = _Refusal(now_s + wait_s, count)
        # Nothing is loaded for a VM that does not start.
        self._next_start_s = max(now_s, self._next_start_s - self._load_s)
        self._planned_at_s = -math.inf

    def on_reclaimed(self, name: str, now_s: float) -> None:
        """Takes note of a reclaim notice; a wave shuts out its zone."""
        instance = self._instances.get(name)
        if instance is None or instance.leaving:
            return
        self._instances[name] = attrs.evolve(instance, leaving=True)
        self._reclaimed.add(name)
        zone = instance.pool.zone
        self._reclaims = [
            r for r in self._reclaims if now_s - r[0] <= WAVE_WINDOW_S
        ]
        self._reclaims.append((now_s, zone, name))
        lost = sum(r[1] == zone for r in self._reclaims)
        self._waves[zone] = (now_s, lost)
        left = sum(
            i.pool.zone == zone and i.pool.reclaimable and not i.leaving
            for i in self._instances.values()
        )
        if lost < 2 or lost < WAVE_PART * (lost + left):
            return
        # Single VMs are replaced without a new plan.
        self._planned_at_s = -math.inf
        until_s = now_s + WAVE_REFUSAL_S
        for offer in self._offers:
            pool = offer.pool
            if pool.zone == zone and pool.reclaimable:
                known = self._refusals.get(pool)
                if known is None or known.until_s < until_s:
                    count = known.count if known is not None else 0
                    self._refusals[pool] = _Refusal(until_s, count)

    def on_tick(
        self, now_s: float, lease: Lease, object_api_up: bool
    ) -> list[Command]:
        """Returns the orders that are due.

        Args:
          now_s: Monotonic time in seconds.
          lease: Lease of this planner.
          object_api_up: Whether the object API was reached lately.
        """
        if lease.check():
            self._fencing_number = lease.fencing_number
            run_steps(self.plan_in_steps(now_s))
            return self._stores() + self._starts(now_s) + self._deletions(now_s)
        if not lease.fencing_number:
            # Another planner is known to have taken the lease.
            self._fencing_number = 0
        if object_api_up or not self._fencing_number:
            return []
        newest = max(
            (i.fencing_number for i in self._instances.values()), default=0
        )
        if newest > self._fencing_number:
            self._fencing_number = 0
            return []
        return self._starts(now_s)

    def plan_in_steps(self, now_s: float) -> Generator[None, None, None]:
        """Makes the plan that is due, if any, in steps of milliseconds.

        A tick at the same time makes it without a pause otherwise.

        Args:
          now_s: Monotonic time in seconds.
        """
        if not self._demands or not self._offers:
            return
        inputs = self.inputs(now_s)
        before = self._plan
        age_s = now_s - self._planned_at_s
        if age_s < PLAN_PERIOD_S and (
            age_s < REPAIR_PERIOD_S
            or before is None
            or not why_broken(inputs, before)
        ):
            return
        self._planned_at_s = now_s
        self._plan = yield from plan_in_steps(inputs, before)
        if before is None or before.mix != self._plan.mix:
            self._unstored = True

    def price_on_demand_in_steps(
        self, now_s: float
    ) -> Generator[None, None, None]:
        """Finds the price of on-demand VMs alone, in steps of milliseconds.

        It does so once after each plan.

        Args:
          now_s: Monotonic time in seconds.
        """
        if self._compared_at_s == self._planned_at_s:
            return
        self._compared_at_s = self._planned_at_s
        inputs = self.inputs(now_s)
        offers = tuple(
            attrs.evolve(o, refused_until_s=-math.inf)
            for o in inputs.offers
            if not o.pool.reclaimable
        )
        if not inputs.demands or not offers:
            return
        alone = attrs.evolve(inputs, offers=offers, running={})
        plan = yield from plan_in_steps(alone)
        self._on_demand_cost = plan.cost_per_h

    def _stores(self) -> list[Command]:
        if not self._unstored or self._plan is None:
            return []
        self._unstored = False
        return [StorePlan(plan_to_plain(self._plan))]

    def _starts(self, now_s: float) -> list[Command]:
        if self._plan is None:
            return []
        present = self._present()
        zones: Counter[str] = Counter()
        for pool, count in present.items():
            zones[pool.zone] += count
        missing = {
            pool: count - present[pool]
            for pool, count in self._plan.mix.items()
            if count > present[pool] and not self._refused(pool, now_s)
        }
        commands: list[Command] = []
        # The zone with the fewest VMs first, as it limits what may be lost.
        while missing and self._next_start_s <= now_s:
            pool = min(missing, key=lambda c: (zones[c.zone], c))
            missing[pool] -= 1
            if not missing[pool]:
                del missing[pool]
            zones[pool.zone] += 1
            name = self._free_name(pool)
            self._ordered[name] = (pool, now_s)
            self._next_start_s = max(self._next_start_s, now_s) + self._load_s
            commands.append(StartVm(name, pool, self._fencing_number))
        return commands

    def _refused(self, pool: CapacityPool, now_s: float) -> bool:
        refusal = self._refusals.get(pool)
        return refusal is not None and refusal.until_s > now_s

    def _free_name(self, pool: CapacityPool) -> str:
        names = (
            vm_name(pool, slot, self._name_prefix) for slot in itertools.count()
        )
        return next(
            name
            for name in names
            if name not in self._instances and name not in self._ordered
        )

    def _deletions(self, now_s: float) -> list[Command]:
        # Without a load, nothing tells whether a VM can be spared.
        if self._plan is None or not self._plan.feasible or not self._demands:
            return []
        live = [
            i
            for i in self._instances.values()
            if not i.leaving and i.name not in self._deleted
        ]
        counts = Counter(i.pool for i in live)
        surplus = {
            pool: count - self._plan.mix.get(pool, 0)
            for pool, count in sorted(counts.items())
            if count > self._plan.mix.get(pool, 0)
        }
        if not surplus:
            return []
        ready = Counter(i.pool for i in live if i.ready)
        inputs = self.inputs(now_s)
        if not self._plan.preferred:
            inputs = inputs.without_preferences()
        scenarios = make_scenarios(inputs)
        commands: list[Command] = []
        room = MAX_DELETIONS
        for pool, count in surplus.items():
            # VMs that do not serve yet go first, then the highest slots.
            found = sorted(
                (i for i in live if i.pool == pool),
                key=lambda i: (i.ready, -slot_of(i.name), i.name),
            )
            idle = min(count, counts[pool] - ready[pool])

            def spared(number: int, pool: CapacityPool = pool) -> bool:
                # Otherwise the replacements do not serve yet.
                left = ready.copy()
                left[pool] -= number
                return meets_target(inputs, left, scenarios)

            serving = _most(min(count - idle, room), spared)
            ready[pool] -= serving
            room -= serving
            for instance in found[: idle + serving]:
                self._deleted.add(instance.name)
                commands.append(
                    DeleteVm(instance.name, pool, self._fencing_number)
                )
        return commands

    def explain(self, now_s: float) -> dict[str, Any]:
        """Returns the plan, its cost and reasons, and what is missing."""
        if self._plan is None:
            return {"plan": None, "reasons": ["no load or prices are known"]}
        present = self._present()
        on_demand = self._on_demand_cost
        return {
            "cost_per_h": round(self._plan.cost_per_h, 4),
            "cost_per_h_on_demand": (
                None if on_demand is None else round(on_demand, 4)
            ),
            "feasible": self._plan.feasible,
            "preferred": self._plan.preferred,
            "changed_s_ago": round(now_s - self._plan.changed_at_s, 1),
            "mix": {str(c): n for c, n in sorted(self._plan.mix.items())},
            "present": {str(c): n for c, n in sorted(present.items()) if n},
            "reasons": [*self._plan.reasons, *self._reclaim_lines(now_s)],
        }

    def _reclaim_lines(self, now_s: float) -> list[str]:
        return [
            f"VMs lost in {zone}: {count}, the last {now_s - at_s:.0f} s ago"
            for zone, (at_s, count) in sorted(self._waves.items())
            if now_s - at_s < REPORT_RECLAIMS_S
        ]


def _most(limit: int, holds: Callable[[int], bool]) -> int:
    """Returns the largest number up to a limit for which a condition holds.

    The condition holds for 0, and for no number above one for which it fails.
    """
    low, high = 0, limit
    while low < high:
        # One is tried first, as most surplus VMs cannot be spared yet.
        middle = (low + high + 1) // 2 if low else 1
        if holds(middle):
            low = middle
        else:
            high = middle - 1
    return low


def vm_name(pool: CapacityPool, slot: int, prefix: str = NAME_PREFIX) -> str:
    """Returns the name of a VM of the fleet."""
    model = "r" if pool.reclaimable else "d"
    return f"{prefix}-{pool.zone}-{pool.vm_class}-{model}-{slot}"


def slot_of(name: str) -> int:
    """Returns the slot in a VM's name; 0 for names of other origin."""
    text = name.rpartition("-")[2]
    return int(text) if text.isdigit() else 0


def plan_to_plain(plan: FleetPlan) -> dict[str, Any]:
    """Returns a plan as plain data for the object API.

    Times are left out, as they hold for one process only.
    """
    return {
        "mix": [
            [c.zone, c.vm_class, c.reclaimable, n]
            for c, n in sorted(plan.mix.items())
        ],
        "cost_per_h": plan.cost_per_h,
        "feasible": plan.feasible,
        "preferred": plan.preferred,
        "reasons": list(plan.reasons),
    }


def plan_from_plain(body: Mapping[str, Any]) -> FleetPlan:
    """Returns the plan that `plan_to_plain` wrote."""
    rows: Sequence[Sequence[Any]] = body["mix"]
    return FleetPlan(
        {
            CapacityPool(zone, name, kind): count
            for zone, name, kind, count in rows
        },
        body["cost_per_h"],
        body["feasible"],
        body["preferred"],
        reasons=tuple(body["reasons"]),
    )
