"""Selection of the nodes that read the object API for all others."""

from __future__ import annotations

import operator
from collections.abc import Collection

import attrs
import xxhash

# Smallest fleet with relays. With fewer nodes, two relays save hardly any call.
MIN_FLEET_SIZE = 6
# Number of relays. With two, one may fail; with three, one may restart while
# another fails, which takes a large fleet longer.
RELAYS = 2
RELAYS_OF_LARGE_FLEET = 3
LARGE_FLEET_SIZE = 24


def _order(candidate: RelayCandidate) -> tuple[float, float, int]:
    name_hash = xxhash.xxh3_64_intdigest(candidate.name.encode())
    return -candidate.link_mbps, -candidate.cores, name_hash


@attrs.frozen
class RelayCandidate:
    """Node that may be a relay.

    Attributes:
      name: Name of the node.
      zone: Availability zone.
      link_mbps: Rate of its network link in Mbit/s; 0 if unknown.
      cores: Processor cores, also fractions; 0 if unknown.
      order: Sort key; the largest VMs come first, by hash if they are equal.
    """

    name: str
    zone: str = ""
    link_mbps: float = 0.0
    cores: float = 0.0
    order: tuple[float, float, int] = attrs.field(
        init=False, default=attrs.Factory(_order, takes_self=True)
    )


def choose_relays(candidates: Collection[RelayCandidate]) -> list[str]:
    """Returns the names of the relays, or none if the fleet is small.

    A relay sends every change to its followers, which takes a small VM seconds
    on its link. So the largest VMs come first, of different zones, as a whole
    zone can be lost at once. The result depends only on the candidates, so that
    nodes need not coordinate.
    """
    if len(candidates) < MIN_FLEET_SIZE:
        return []
    is_large = len(candidates) >= LARGE_FLEET_SIZE
    count = RELAYS_OF_LARGE_FLEET if is_large else RELAYS
    largest_mbps = max(candidate.link_mbps for candidate in candidates)
    largest = [c for c in candidates if c.link_mbps == largest_mbps]
    largest.sort(key=operator.attrgetter("order"))
    first_by_zone = {c.zone: c.name for c in reversed(largest)}
    chosen = [c.name for c in largest if first_by_zone[c.zone] == c.name]
    if len(chosen) < count:
        ranked = sorted(candidates, key=operator.attrgetter("order"))
        chosen += [c.name for c in ranked if c.name not in chosen]
    return chosen[:count]
