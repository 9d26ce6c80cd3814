"""The cheapest mix of VMs for a load."""

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

# Plans are made for more than the present load, so that noise does not change
# them and a rise is met while VMs start.
HEADROOM = 1.15
# A cheaper mix is adopted if it saves this part of the cost for this time, in
# seconds. Each change costs starts and model loads.
SAVING_TO_CHANGE = 0.1
SAVING_HOLD_S = 600.0
# Surcharge for VMs that do not run yet, as part of the price.
START_SURCHARGE = 0.05
# VM time that a reclaim costs (start and model load), in hours.
RECLAIM_COST_H = 0.1
# Results of searches that are kept.
MAX_SOLVED = 16


@attrs.frozen
class FleetPlan:
    """A mix of VMs and the reasons for it.

    Attributes:
      mix: Number of VMs by kind, without zeros.
      cost_per_h: Price of the mix per hour.
      feasible: Whether the mix meets the target after any zone's loss.
      preferred: Whether organisations are then served within what they prefer.
      changed_at_s: Monotonic time at which the mix was chosen, in seconds.
      cheaper_since_s: Monotonic time since which a cheaper mix is known.
      reasons: Why this mix, one line each.
    """

    mix: Mapping[CapacityPool, int] = attrs.field(factory=dict)
    cost_per_h: float = 0.0
    feasible: bool = False
    preferred: bool = True
    changed_at_s: float = 0.0
    cheaper_since_s: float | None = None
    reasons: tuple[str, ...] = ()


# The caller may do other work between two steps; the last returns the plan.
Steps = Generator[None, None, FleetPlan]
_solved: dict[tuple, tuple[list[int], bool]] = {}


def cost_per_h(
    mix: Mapping[CapacityPool, int], offers: Iterable[Offer]
) -> float:
    """Returns the price of a mix per hour; kinds without offer are free."""
    prices = {offer.pool: offer.price_per_h for offer in offers}
    return sum(n * prices.get(pool, 0.0) for pool, n in mix.items())


def plan_fleet(
    inputs: FleetInput, previous: FleetPlan | None = None
) -> FleetPlan:
    """Returns the plan that follows a previous plan; see `plan_in_steps`."""
    return run_steps(plan_in_steps(inputs, previous))


def run_steps(steps: Steps) -> FleetPlan:
    """Returns the result of steps that are run without a pause."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def plan_in_steps(
    inputs: FleetInput, previous: FleetPlan | None = None
) -> Steps:
    """Returns the plan that follows a previous plan, at the end of its steps.

    Each step takes a few milliseconds, so that the caller can do other work
    in between.

    The previous mix stays while it meets the target and no mix is cheaper by
    a tenth for ten minutes. Otherwise the plan is the cheapest mix whose
    worst single-zone loss still meets the target with some headroom.
    If reclaimable VMs within the organisations' preferences do not suffice,
    other reclaimable VMs follow, and on-demand VMs come last.

    Args:
      inputs: Load, offers and what runs.
      previous: Plan in force.
    """
    fresh = yield from _cheapest(inputs)
    if previous is None or not previous.mix:
        return fresh
    kept = attrs.evolve(
        previous,
        cost_per_h=cost_per_h(previous.mix, inputs.offers),
        cheaper_since_s=None,
    )
    broken = why_broken(inputs, kept)
    if broken:
        if fresh.mix == kept.mix:
            return attrs.evolve(
                kept, feasible=fresh.feasible, reasons=fresh.reasons
            )
        return attrs.evolve(fresh, reasons=(broken, *fresh.reasons))
    kept = attrs.evolve(kept, feasible=True)
    saving = 1 - fresh.cost_per_h / kept.cost_per_h if kept.cost_per_h else 0
    better = saving >= SAVING_TO_CHANGE or fresh.preferred > kept.preferred
    if not fresh.feasible or not better:
        return kept
    since = previous.cheaper_since_s
    if since is None:
        since = inputs.now_s
    if inputs.now_s - since < SAVING_HOLD_S:
        return attrs.evolve(kept, cheaper_since_s=since)
    reason = f"for {SAVING_HOLD_S:.0f} s, a mix has been known that"
    reason += (
        f" saves {saving:.0%}"
        if saving >= SAVING_TO_CHANGE
        else " keeps to the preferences"
    )
    return attrs.evolve(fresh, reasons=(reason, *fresh.reasons))


def why_broken(inputs: FleetInput, plan: FleetPlan) -> str:
    """Returns why a plan cannot stay in force, or an empty text."""
    offers = {offer.pool: offer for offer in inputs.offers}
    for pool, count in sorted(plan.mix.items()):
        if pool not in offers:
            return f"{pool} is no longer on offer"
        if count > _limit(offers[pool], inputs):
            return f"{pool} refuses starts"
    if not plan.preferred:
        inputs = inputs.without_preferences()
    if not meets_target(inputs, plan.mix):
        return "the mix in force no longer meets the target"
    return ""


def _limit(offer: Offer, inputs: FleetInput) -> float:
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
        _limit(offer, inputs),
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
    first = [
        c
        for c in usable
        if c.pool.reclaimable
        and c.price
        < on_demand.get(attrs.evolve(c.pool, reclaimable=False), math.inf)
    ]
    attempts = [(first, planned)]
    if any(d.zones or d.vm_classes for d in inputs.demands):
        attempts.append((first, planned.without_preferences()))
    if len(first) < len(usable):
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
    # Most searches follow one another without a change of load or prices.
    # The time of the plan is not part of the key.
    key = (
        wanted.target_s,
        wanted.demands,
        tuple(wanted.classes.items()),
        tuple(offer.pool for offer in wanted.offers),
        choices,
    )
    found = _solved.get(key)
    if found is None:
        found = yield from Solver(wanted, choices).search()
        while len(_solved) >= MAX_SOLVED:
            _solved.pop(next(iter(_solved)))
        _solved[key] = found
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
