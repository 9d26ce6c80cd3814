"""What a mix has to withstand: the loss of any single availability zone."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping

import attrs

from guavalane_core.fleet.demand import CapacityPool, Demand, FleetInput
from guavalane_core.fleet.latency import required_capacity

# Distinct preferences up to which all their combinations are checked; beyond,
# each alone and all together.
MAX_COMBINED = 6


@attrs.frozen
class Scenario:
    """One zone is lost and some organisations use what they prefer.

    Attributes:
      load: Requests per second of these organisations.
      pools: Kinds of VM that any of them prefers and that are left.
      lost_zone: Zone that is lost; empty for none.
      organisations: Names of the organisations.
    """

    load: float
    pools: frozenset[CapacityPool]
    lost_zone: str
    organisations: tuple[str, ...]


def make_scenarios(inputs: FleetInput) -> list[Scenario]:
    """Returns the scenarios of an input, those with the most load first.

    The organisations can be served within their preferences if each
    combination of them finds enough capacity in what any of them prefers
    (the theorem of Hall). An organisation whose preferences a lost zone
    leaves empty may use any kind, as routing lets it.
    """
    pools = [offer.pool for offer in inputs.offers]
    zones = sorted({pool.zone for pool in pools})
    found: dict[tuple[str, frozenset[CapacityPool]], Scenario] = {}
    for lost in ["", *zones]:
        left = frozenset(c for c in pools if c.zone != lost)
        groups: dict[frozenset[CapacityPool], list[Demand]] = {}
        for demand in inputs.demands:
            accepted = frozenset(c for c in left if demand.accepts(c)) or left
            groups.setdefault(accepted, []).append(demand)
        for chosen in _combinations(list(groups)):
            union = frozenset().union(*chosen)
            members = [
                d for group, ds in groups.items() if group <= union for d in ds
            ]
            found[lost, union] = Scenario(
                sum(d.requests_per_s for d in members),
                union,
                lost,
                tuple(d.organisation for d in members),
            )
    return sorted(found.values(), key=lambda s: -s.load)


def _combinations(groups: list) -> list[tuple]:
    if len(groups) > MAX_COMBINED:
        return [*((group,) for group in groups), tuple(groups)]
    return [
        chosen
        for size in range(1, len(groups) + 1)
        for chosen in itertools.combinations(groups, size)
    ]


def shortfall(
    scenario: Scenario, inputs: FleetInput, mix: Mapping[CapacityPool, int]
) -> float:
    """Returns the missing capacity in requests per second, 0 if none."""
    servers, capacity, first_token_s = 0, 0.0, 0.0
    for pool, count in mix.items():
        if count and pool in scenario.pools:
            vm_class = inputs.classes[pool.vm_class]
            servers += count
            capacity += count * vm_class.requests_per_s
            first_token_s = max(first_token_s, vm_class.first_token_s)
    wait_s = inputs.target_s - first_token_s
    if not servers:
        return scenario.load
    return max(
        0.0, required_capacity(scenario.load, servers, wait_s) - capacity
    )


def meets_target(
    inputs: FleetInput,
    mix: Mapping[CapacityPool, int],
    scenarios: Iterable[Scenario] | None = None,
) -> bool:
    """Returns whether a mix meets the target after any single zone's loss.

    Args:
      inputs: Load, classes and offers.
      mix: Number of VMs by kind.
      scenarios: Scenarios of the input, if the caller made them already.
    """
    if scenarios is None:
        scenarios = make_scenarios(inputs)
    return all(shortfall(s, inputs, mix) <= 0 for s in scenarios)
