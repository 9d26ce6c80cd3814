"""Selection of the nodes that relay configuration changes."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from guavalane_core.membership.member import Member

RELAYS_PER_ZONE = 2


def _score(zone: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"relay/{zone}/{name}".encode())


def read_rank(generation: int, name: str) -> int:
    """Returns a hash that orders the relays that read a generation."""
    return xxhash.xxh3_64_intdigest(f"read/{generation}/{name}".encode())


def choose_relays(members: Iterable[Member], zone: str) -> list[str]:
    """Selects the relays of a zone by rendezvous hashing, best first."""
    names = sorted(
        (member.name for member in members if member.zone == zone),
        key=lambda name: _score(zone, name),
    )
    return names[:RELAYS_PER_ZONE]


def rank_relays(members: Iterable[Member], zone: str) -> list[str]:
    """Returns the relays in order of preference, own zone first.

    Args:
      members: Live members.
      zone: Availability zone of the requesting node.
    """
    members = list(members)
    others = sorted({member.zone for member in members} - {zone})
    own = choose_relays(members, zone)
    return own + [
        name for other in others for name in choose_relays(members, other)
    ]
