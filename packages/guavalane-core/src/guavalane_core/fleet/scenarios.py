"""Failure scenarios of a mix: the loss of any single availability zone."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping

import attrs

from guavalane_core.fleet.demand import CapacityPool, Demand, FleetInput
from guavalane_core.fleet.latency import required_capacity

# All combinations of up to this many distinct preferences are checked. Above
# it, only each preference alone and all together are.
MAX_COMBINED_PREFERENCES = 6


@attrs.frozen
class Scenario:
    """The loss of one zone, for a group of organisations.

    Attributes:
      load: Requests per second of these organisations.
      pools: Remaining capacity pools that any of the organisations prefers.
      lost_zone: Lost zone; empty for none.
      organisations: Names of the organisations.
    """

    load: float
    pools: frozenset[CapacityPool]
    lost_zone: str
    organisations: tuple[str, ...]


def make_scenarios(inputs: FleetInput) -> list[Scenario]:
    """Returns the scenarios of an input in descending order of load.

    The organisations can be served within their preferences if, for each
    combination of them, the union of their preferred pools has enough capacity
    (Hall's theorem). An organisation whose preferred pools are all in the lost
    zone may use any pool, as routing allows.
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
        for chosen in _preference_combinations(list(groups)):
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


def _preference_combinations(groups: list) -> list[tuple]:
    if len(groups) > MAX_COMBINED_PREFERENCES:
        return [*((group,) for group in groups), tuple(groups)]
    return [
        chosen
        for size in range(1, len(groups) + 1)
        for chosen in itertools.combinations(groups, size)
    ]


def shortfall(
    scenario: Scenario, inputs: FleetInput, mix: Mapping[CapacityPool, int]
) -> float:
    """Returns the missing capacity in requests per second; 0 if none."""
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
      mix: Number of VMs by capacity pool.
      scenarios: Result of `make_scenarios(inputs)` if already computed.
    """
    if scenarios is None:
        scenarios = make_scenarios(inputs)
    return all(shortfall(s, inputs, mix) <= 0 for s in scenarios)
