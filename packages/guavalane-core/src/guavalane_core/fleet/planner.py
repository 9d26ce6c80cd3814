"""State machine that turns plans into commands to the cloud API."""

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
    find_violation,
    plan_in_steps,
    run_steps,
)
from guavalane_core.fleet.scenarios import make_scenarios, meets_target

# Interval between searches for a cheaper mix. The planner may use 2.4 % of a
# core, which allows 1.44 s of CPU time per search.
PLAN_PERIOD_S = 60.0
# Interval between plans while the mix in force does not meet the target.
REPAIR_PERIOD_S = 10.0
# Backoff after a refused start; doubles with each refusal up to the maximum.
INITIAL_REFUSAL_S = 60.0
MAX_REFUSAL_S = 960.0
# Reclaims of at least this fraction of a zone's reclaimable VMs, and at least
# two, within the window count as a mass reclaim. Starts of reclaimable VMs in
# the zone are suspended afterwards, as new ones would be reclaimed as well.
MASS_RECLAIM_FRACTION = 0.5
MASS_RECLAIM_WINDOW_S = 30.0
MASS_RECLAIM_REFUSAL_S = 300.0
# An ordered VM that the cloud API does not list after this time is ordered
# again under the same name.
START_TIMEOUT_S = 60.0
# Maximum deletions of serving VMs per tick. Each takes a call to the cloud API,
# and the lease is checked before each.
MAX_DELETIONS = 50
# Reclaims are reported among the reasons of a plan for this time.
RECLAIM_REPORT_S = 3600.0
NAME_PREFIX = "fleet"


class Lease(Protocol):
    """Lease that a planner must hold to issue commands."""

    @property
    def fencing_number(self) -> int:
        """Number that increases with each change of holder."""

    def check(self) -> bool:
        """Returns whether the lease is currently held."""


@attrs.frozen
class Instance:
    """A VM as the cloud API lists it.

    Attributes:
      name: Name.
      pool: Capacity pool.
      ready: Whether it serves requests.
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
    """Command to start a VM; has no effect if the name exists.

    Attributes:
      name: Name, which depends only on the capacity pool and a slot.
      pool: Capacity pool.
      fencing_number: Fencing number of the planner.
    """

    name: str
    pool: CapacityPool
    fencing_number: int


@attrs.frozen
class DeleteVm:
    """Command to delete a VM gracefully.

    Attributes:
      name: Name.
      pool: Capacity pool.
      fencing_number: Fencing number of the planner.
    """

    name: str
    pool: CapacityPool
    fencing_number: int


@attrs.frozen
class StorePlan:
    """Command to store the plan in the object API.

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
    """Plans the fleet and issues commands while it holds the lease.

    While the object API is down, the lease cannot change hands. The last holder
    then only replaces lost VMs of its last plan. VM names depend only on the
    plan and the cloud API refuses a name that exists, so that a second planner
    cannot start a VM twice. A planner that sees a VM ordered under a higher
    fencing number stops issuing commands.

    Args:
      target_s: Target for the 95th percentile of the time to first token, in
          seconds.
      classes: VM classes by name.
      model_bytes: Size of the model that a VM loads at its start, in bytes.
      weight_store_bytes_per_s: Rate of the weight store, in bytes per second.
      name_prefix: Prefix of the names of its VMs.
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
        self._model_load_s = model_bytes / weight_store_bytes_per_s
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
        self._store_pending = False
        self._listed_at_s = -math.inf
        self._on_demand_cost: float | None = None
        self._priced_at_s = -math.inf
        # Time of the last reclaim, and number in its window, by zone.
        self._zone_reclaims: dict[str, tuple[float, int]] = {}

    @property
    def plan(self) -> FleetPlan | None:
        """Plan in force; None before the first plan."""
        return self._plan

    @property
    def load_s(self) -> float:
        """Time that a VM needs to load the model, in seconds."""
        return self._model_load_s

    @property
    def fencing_number(self) -> int:
        """Fencing number of issued commands; 0 if none may be issued."""
        return self._fencing_number

    def inputs(self, now_s: float) -> FleetInput:
        """Returns the planner input at a time."""
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
        """Updates the load by organisation."""
        self._demands = tuple(demands)

    def on_offers(self, offers: Iterable[Offer]) -> None:
        """Updates the offers."""
        self._offers = tuple(offers)

    def on_stored_plan(
        self, body: dict[str, Any], *, replace: bool = False
    ) -> None:
        """Restores the plan of an earlier lease holder.

        Args:
          body: Plan as stored.
          replace: Whether it replaces a plan in force. That one is older if
              another planner has held the lease in between.
        """
        if self._plan is None or replace:
            self._plan = plan_from_plain(body)

    def on_instances(self, instances: Iterable[Instance], now_s: float) -> None:
        """Updates the VMs from a listing of the cloud API.

        A reclaimable VM that has disappeared since the last listing, and that
        this planner did not delete, counts as reclaimed: a short notice may
        begin and end between two listings.
        """
        instances = list(instances)
        if now_s - self._listed_at_s <= MASS_RECLAIM_WINDOW_S:
            names = {i.name for i in instances}
            for name in self._instances.keys() - names - self._deleted:
                if self._instances[name].pool.reclaimable:
                    self.on_reclaimed(name, now_s)
        self._listed_at_s = now_s
        for instance in instances:
            name = instance.name
            if instance.leaving and name in self._ordered:
                # The VM was reclaimed before it was first listed.
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
            if name not in self._instances and now_s - sent_s < START_TIMEOUT_S
        }

    def on_started(self, name: str) -> None:
        """Records that the cloud API accepted a start."""
        ordered = self._ordered.get(name)
        if ordered is not None:
            self._refusals.pop(ordered[0], None)

    def on_failed(self, command: Command) -> None:
        """Records that a command was not sent, or that its outcome is unknown.

        The command is repeated. A repeated start uses the same name, which the
        cloud API refuses if the first one took effect.
        """
        if isinstance(command, StartVm):
            self._ordered.pop(command.name, None)
        elif isinstance(command, DeleteVm):
            self._deleted.discard(command.name)
        else:
            self._store_pending = True

    def on_refused(self, name: str, now_s: float) -> None:
        """Records that the cloud API refused a start."""
        ordered = self._ordered.pop(name, None)
        if ordered is None:
            return
        pool = ordered[0]
        refusal = self._refusals.get(pool)
        count = refusal.count + 1 if refusal is not None else 1
        wait_s = min(INITIAL_REFUSAL_S * 2 ** (count - 1), MAX_REFUSAL_S)
        self._refusals[pool] = _Refusal(now_s + wait_s, count)
        # A VM that does not start loads no model, so its load time is released.
        self._next_start_s = max(now_s, self._next_start_s - self._model_load_s)
        self._planned_at_s = -math.inf

    def on_reclaimed(self, name: str, now_s: float) -> None:
        """Records a reclaim; a mass reclaim suspends starts in the zone."""
        instance = self._instances.get(name)
        if instance is None or instance.leaving:
            return
        self._instances[name] = attrs.evolve(instance, leaving=True)
        self._reclaimed.add(name)
        zone = instance.pool.zone
        self._reclaims = [
            r for r in self._reclaims if now_s - r[0] <= MASS_RECLAIM_WINDOW_S
        ]
        self._reclaims.append((now_s, zone, name))
        lost = sum(r[1] == zone for r in self._reclaims)
        self._zone_reclaims[zone] = (now_s, lost)
        left = sum(
            i.pool.zone == zone and i.pool.reclaimable and not i.leaving
            for i in self._instances.values()
        )
        if lost < 2 or lost < MASS_RECLAIM_FRACTION * (lost + left):
            return
        # Only a mass reclaim needs a new plan; single VMs are replaced without.
        self._planned_at_s = -math.inf
        until_s = now_s + MASS_RECLAIM_REFUSAL_S
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
        """Returns the commands that are due.

        Args:
          now_s: Monotonic time in seconds.
          lease: Lease of this planner.
          object_api_up: Whether the object API was reachable recently.
        """
        if lease.check():
            self._fencing_number = lease.fencing_number
            run_steps(self.plan_in_steps(now_s))
            return self._stores() + self._starts(now_s) + self._deletions(now_s)
        if not lease.fencing_number:
            # Another planner is known to have acquired the lease.
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
        """Computes the plan that is due, if any, in steps of milliseconds.

        If this is not called first, `on_tick` computes it without pauses.

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
            or not find_violation(inputs, before)
        ):
            return
        self._planned_at_s = now_s
        self._plan = yield from plan_in_steps(inputs, before)
        if before is None or before.mix != self._plan.mix:
            self._store_pending = True

    def price_on_demand_in_steps(
        self, now_s: float
    ) -> Generator[None, None, None]:
        """Computes the cost of an on-demand fleet, in steps of milliseconds.

        Runs once after each plan, for comparison in `explain`.

        Args:
          now_s: Monotonic time in seconds.
        """
        if self._priced_at_s == self._planned_at_s:
            return
        self._priced_at_s = self._planned_at_s
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
        if not self._store_pending or self._plan is None:
            return []
        self._store_pending = False
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
        # The zone with the fewest VMs comes first, which limits the loss of VMs
        # in any single zone.
        while missing and self._next_start_s <= now_s:
            pool = min(missing, key=lambda p: (zones[p.zone], p))
            missing[pool] -= 1
            if not missing[pool]:
                del missing[pool]
            zones[pool.zone] += 1
            name = self._free_name(pool)
            self._ordered[name] = (pool, now_s)
            self._next_start_s = (
                max(self._next_start_s, now_s) + self._model_load_s
            )
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
        # Without a known load, no VM can be shown to be redundant.
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
        remaining = MAX_DELETIONS
        for pool, count in surplus.items():
            # VMs that are not ready are deleted first, then the highest slots.
            candidates = sorted(
                (i for i in live if i.pool == pool),
                key=lambda i: (i.ready, -slot_of(i.name), i.name),
            )
            not_ready = min(count, counts[pool] - ready[pool])

            def is_redundant(number: int, pool: CapacityPool = pool) -> bool:
                # The target fails while replacements are not ready.
                left = ready.copy()
                left[pool] -= number
                return meets_target(inputs, left, scenarios)

            removable = _largest_passing(
                min(count - not_ready, remaining), is_redundant
            )
            ready[pool] -= removable
            remaining -= removable
            for instance in candidates[: not_ready + removable]:
                self._deleted.add(instance.name)
                commands.append(
                    DeleteVm(instance.name, pool, self._fencing_number)
                )
        return commands

    def explain(self, now_s: float) -> dict[str, Any]:
        """Returns the plan with its cost and reasons, and the present VMs."""
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
            "mix": {str(p): n for p, n in sorted(self._plan.mix.items())},
            "present": {str(p): n for p, n in sorted(present.items()) if n},
            "reasons": [*self._plan.reasons, *self._reclaim_lines(now_s)],
        }

    def _reclaim_lines(self, now_s: float) -> list[str]:
        return [
            f"VMs lost in {zone}: {count}, the last {now_s - at_s:.0f} s ago"
            for zone, (at_s, count) in sorted(self._zone_reclaims.items())
            if now_s - at_s < RECLAIM_REPORT_S
        ]


def _largest_passing(limit: int, condition: Callable[[int], bool]) -> int:
    """Returns the largest number up to a limit for which a condition holds.

    The condition must hold for 0, and must be monotone: it fails for all
    numbers above one for which it fails.
    """
    low, high = 0, limit
    while low < high:
        # Tries 1 first, as most surplus VMs cannot be deleted yet.
        middle = (low + high + 1) // 2 if low else 1
        if condition(middle):
            low = middle
        else:
            high = middle - 1
    return low


def vm_name(pool: CapacityPool, slot: int, prefix: str = NAME_PREFIX) -> str:
    """Returns the name of the VM in a slot of a capacity pool."""
    model = "r" if pool.reclaimable else "d"
    return f"{prefix}-{pool.zone}-{pool.vm_class}-{model}-{slot}"


def slot_of(name: str) -> int:
    """Returns the slot in a VM's name; 0 if the name has none."""
    text = name.rpartition("-")[2]
    return int(text) if text.isdigit() else 0


def plan_to_plain(plan: FleetPlan) -> dict[str, Any]:
    """Returns a plan as plain data for the object API.

    Times are omitted, as monotonic times are valid in one process only.
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
    """Returns the plan from the result of `plan_to_plain`."""
    rows: Sequence[Sequence[Any]] = body["mix"]
    return FleetPlan(
        {
            CapacityPool(zone, vm_class, reclaimable): count
            for zone, vm_class, reclaimable, count in rows
        },
        body["cost_per_h"],
        body["feasible"],
        body["preferred"],
        reasons=tuple(body["reasons"]),
    )
