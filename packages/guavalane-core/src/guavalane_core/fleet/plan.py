"""Selection of the cheapest mix of VMs for a load."""

from __future__ import annotations

import math
from collections.abc import Generator, Iterable, Mapping

import attrs

from guavalane_core.fleet.demand import (
    CapacityPool,
    FleetInput,
    Offer,
)
from guavalane_core.fleet.scenarios import (
    make_scenarios,
    meets_target,
    shortfall,
)
from guavalane_core.fleet.solver import Choice, Search, Solver

# Plans cover this multiple of the current load, so that noise does not change
# them and a rise in load is absorbed while VMs start.
HEADROOM = 1.15
# A cheaper mix is adopted if it saves this fraction of the cost for this long.
# Every change costs VM starts and model loads.
MIN_SAVING_FRACTION = 0.1
MIN_SAVING_DURATION_S = 600.0
# Surcharge for VMs that are not running yet, as a fraction of the price.
START_SURCHARGE = 0.05
# VM time lost to a reclaim (VM start and model load), in hours.
RECLAIM_COST_H = 0.1
# Size of the cache of search results.
MAX_CACHED_RESULTS = 16


@attrs.frozen
class FleetPlan:
    """A mix of VMs and the reasons for it.

    Attributes:
      mix: Number of VMs by capacity pool, without zeros.
      cost_per_h: Price of the mix per hour.
      feasible: Whether the mix meets the target after the loss of any zone.
      preferred: Whether the plan respects the organisations' preferences.
      changed_at_s: Monotonic time at which the mix was chosen, in seconds.
      cheaper_since_s: Monotonic time since which a better mix has been known,
          in seconds; None if there is none.
      reasons: Reasons for the mix, one line each.
    """

    mix: Mapping[CapacityPool, int] = attrs.field(factory=dict)
    cost_per_h: float = 0.0
    feasible: bool = False
    preferred: bool = True
    changed_at_s: float = 0.0
    cheaper_since_s: float | None = None
    reasons: tuple[str, ...] = ()


# Generator that yields between steps so that the caller can do other work, and
# returns the plan.
Steps = Generator[None, None, FleetPlan]
_results: dict[tuple, tuple[list[int], bool]] = {}


def cost_per_h(
    mix: Mapping[CapacityPool, int], offers: Iterable[Offer]
) -> float:
    """Returns the price of a mix per hour; pools without an offer are free."""
    prices = {offer.pool: offer.price_per_h for offer in offers}
    return sum(n * prices.get(pool, 0.0) for pool, n in mix.items())


def plan_fleet(
    inputs: FleetInput, previous: FleetPlan | None = None
) -> FleetPlan:
    """Returns the plan that succeeds a previous one; see `plan_in_steps`."""
    return run_steps(plan_in_steps(inputs, previous))


def run_steps(steps: Steps) -> FleetPlan:
    """Runs all steps without a pause and returns the plan."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def plan_in_steps(
    inputs: FleetInput, previous: FleetPlan | None = None
) -> Steps:
    """Computes the plan that succeeds a previous one, in steps.

    Each step takes a few milliseconds, so that the caller can do other work
    in between.

    The previous mix is kept while it meets the target, unless a mix that is
    cheaper by `MIN_SAVING_FRACTION`, or one that respects preferences which the
    previous mix does not, has been known for `MIN_SAVING_DURATION_S`. Otherwise
    the plan is the cheapest mix that meets the target with some headroom after
    the loss of any single zone. Reclaimable VMs within the organisations'
    preferences are used first, then other reclaimable VMs, then on-demand VMs.

    Args:
      inputs: Load, offers and running VMs.
      previous: Plan in force.
    """
    cheapest = yield from _cheapest(inputs)
    if previous is None or not previous.mix:
        return cheapest
    current = attrs.evolve(
        previous,
        cost_per_h=cost_per_h(previous.mix, inputs.offers),
        cheaper_since_s=None,
    )
    violation = find_violation(inputs, current)
    if violation:
        if cheapest.mix == current.mix:
            return attrs.evolve(
                current, feasible=cheapest.feasible, reasons=cheapest.reasons
            )
        return attrs.evolve(cheapest, reasons=(violation, *cheapest.reasons))
    current = attrs.evolve(current, feasible=True)
    saving = (
        1 - cheapest.cost_per_h / current.cost_per_h
        if current.cost_per_h
        else 0
    )
    better = (
        saving >= MIN_SAVING_FRACTION or cheapest.preferred > current.preferred
    )
    if not cheapest.feasible or not better:
        return current
    since = previous.cheaper_since_s
    if since is None:
        since = inputs.now_s
    if inputs.now_s - since < MIN_SAVING_DURATION_S:
        return attrs.evolve(current, cheaper_since_s=since)
    reason = f"for {MIN_SAVING_DURATION_S:.0f} s, a mix has been known that"
    reason += (
        f" saves {saving:.0%}"
        if saving >= MIN_SAVING_FRACTION
        else " keeps to the preferences"
    )
    return attrs.evolve(cheapest, reasons=(reason, *cheapest.reasons))


def find_violation(inputs: FleetInput, plan: FleetPlan) -> str:
    """Returns why a plan cannot stay in force, or an empty string."""
    offers = {offer.pool: offer for offer in inputs.offers}
    for pool, count in sorted(plan.mix.items()):
        if pool not in offers:
            return f"{pool} is no longer on offer"
        if count > _vm_limit(offers[pool], inputs):
            return f"{pool} refuses starts"
    if not plan.preferred:
        inputs = inputs.without_preferences()
    if not meets_target(inputs, plan.mix):
        return "the mix in force no longer meets the target"
    return ""


def _vm_limit(offer: Offer, inputs: FleetInput) -> float:
    if offer.refused_until_s > inputs.now_s:
        return inputs.running.get(offer.pool, 0)
    return math.inf


def _choice(offer: Offer, inputs: FleetInput) -> Choice:
    price = offer.price_per_h * (1 + offer.reclaims_per_h * RECLAIM_COST_H)
    return Choice(
        offer.pool,
        price,
        price * (1 + START_SURCHARGE),
        inputs.running.get(offer.pool, 0),
        _vm_limit(offer, inputs),
    )


def _cheapest(inputs: FleetInput) -> Steps:
    planned = inputs.with_load_factor(HEADROOM)
    usable = [
        _choice(offer, inputs)
        for offer in inputs.offers
        if inputs.classes[offer.pool.vm_class].first_token_s < inputs.target_s
    ]
    usable = [choice for choice in usable if choice.limit > 0]
    on_demand = {c.pool: c.price for c in usable if not c.pool.reclaimable}
    # A reclaimable VM that costs as much as an on-demand VM has no advantage.
    reclaimable = [
        c
        for c in usable
        if c.pool.reclaimable
        and c.price
        < on_demand.get(attrs.evolve(c.pool, reclaimable=False), math.inf)
    ]
    attempts = [(reclaimable, planned)]
    if any(d.zones or d.vm_classes for d in inputs.demands):
        attempts.append((reclaimable, planned.without_preferences()))
    if len(reclaimable) < len(usable):
        attempts.append((usable, planned.without_preferences()))
    mix: dict[CapacityPool, int] = {}
    feasible = False
    for choices, wanted in attempts:
        if choices:
            counts, feasible = yield from _solve(wanted, tuple(choices))
            mix = {c.pool: n for c, n in zip(choices, counts, strict=True) if n}
        if feasible:
            break
    return FleetPlan(
        mix,
        cost_per_h(mix, inputs.offers),
        feasible,
        wanted is planned,
        inputs.now_s,
        None,
        tuple(_reasons(inputs, wanted, mix, feasible)),
    )


def _solve(wanted: FleetInput, choices: tuple[Choice, ...]) -> Search:
    # Load and prices usually do not change between searches. The time of the
    # plan does not affect the result and is not part of the key.
    key = (
        wanted.target_s,
        wanted.demands,
        tuple(wanted.classes.items()),
        tuple(offer.pool for offer in wanted.offers),
        choices,
    )
    found = _results.get(key)
    if found is None:
        found = yield from Solver(wanted, choices).search()
        while len(_results) >= MAX_CACHED_RESULTS:
            _results.pop(next(iter(_results)))
        _results[key] = found
    return found


def _reasons(
    inputs: FleetInput,
    planned: FleetInput,
    mix: Mapping[CapacityPool, int],
    feasible: bool,
) -> list[str]:
    lines = [
        f"{inputs.requests_per_s:.4g} requests/s with {HEADROOM - 1:.0%}"
        f" headroom, first token within {inputs.target_s:g} s after the loss"
        " of any zone"
    ]
    lines += [
        f"{offer.pool} refuses starts for another"
        f" {offer.refused_until_s - inputs.now_s:.0f} s"
        for offer in inputs.offers
        if offer.refused_until_s > inputs.now_s
    ]
    lines += [
        f"{d.organisation} prefers zones {', '.join(d.zones) or 'any'} and"
        f" classes {', '.join(d.vm_classes) or 'any'}"
        for d in inputs.demands
        if d.zones or d.vm_classes
    ]
    if planned.demands != inputs.with_load_factor(HEADROOM).demands:
        lines.append("the preferences cannot be met with VMs on offer")
    if any(not pool.reclaimable for pool in mix):
        lines.append(
            "reclaimable VMs do not suffice, so on-demand VMs are used"
        )
    if not feasible:
        worst = max(
            make_scenarios(planned), key=lambda s: shortfall(s, planned, mix)
        )
        lines.append(
            f"short of {shortfall(worst, planned, mix):.4g} requests/s when"
            f" {worst.lost_zone or 'no zone'} is lost: too few VMs are on offer"
        )
    return lines
