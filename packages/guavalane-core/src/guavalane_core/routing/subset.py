"""Deterministic subsetting of endpoints per node."""

from __future__ import annotations

import itertools
from collections.abc import Collection, Mapping

import xxhash

from guavalane_core.configuration import Endpoint


def choose_subset(
    node: str,
    zone: str,
    endpoints: Mapping[str, Endpoint],
    size: int,
    zones: Collection[str] = (),
    vm_classes: Collection[str] = (),
) -> list[str]:
    """Returns the endpoints that a node uses, chosen by rendezvous hashing.

    Endpoints in the node's own availability zone are preferred. A quarter of
    the subset, but at least one endpoint, is reserved for other zones, so that
    the node keeps endpoints when a zone fails. Zones and VM classes that
    organisations prefer are included before others.

    Args:
      node: Name of the node.
      zone: Availability zone of the node.
      endpoints: Endpoints by name.
      size: Maximum number of endpoints.
      zones: Availability zones that organisations prefer.
      vm_classes: VM classes that organisations prefer.
    """
    by_zone: dict[str, list[str]] = {}
    ranked = sorted(
        endpoints,
        key=lambda n: xxhash.xxh3_64_intdigest(f"{node}/{n}".encode()),
    )
    for name in ranked:
        by_zone.setdefault(endpoints[name].zone, []).append(name)
    local = by_zone.pop(zone, [])
    # Round robin over the other zones, preferred zones first. The remaining
    # zones are ordered by their highest-ranked endpoint, so the order differs
    # between nodes.
    order = sorted(by_zone, key=lambda z: z not in zones)
    rounds = itertools.zip_longest(*(by_zone[z] for z in order))
    remote = [name for turn in rounds for name in turn if name is not None]
    reserved = min(len(remote), max(1, size // 4))
    chosen = local[: size - reserved]
    chosen += remote[: size - len(chosen)]
    return _include_classes(chosen, ranked, endpoints, size, vm_classes)


def _include_classes(
    chosen: list[str],
    ranked: list[str],
    endpoints: Mapping[str, Endpoint],
    size: int,
    vm_classes: Collection[str],
) -> list[str]:
    present = {endpoints[name].vm_class for name in chosen}
    for vm_class in sorted(set(vm_classes) - present):
        candidate = next(
            (n for n in ranked if endpoints[n].vm_class == vm_class), None
        )
        if candidate is None:
            continue
        if len(chosen) == size and not _remove_redundant(chosen, endpoints):
            break
        chosen.append(candidate)
    return chosen


def _remove_redundant(
    chosen: list[str], endpoints: Mapping[str, Endpoint]
) -> bool:
    """Removes the last endpoint whose zone and class remain represented."""
    for name in reversed(chosen):
        others = [endpoints[n] for n in chosen if n != name]
        endpoint = endpoints[name]
        if any(e.zone == endpoint.zone for e in others) and any(
            e.vm_class == endpoint.vm_class for e in others
        ):
            chosen.remove(name)
            return True
    return False
