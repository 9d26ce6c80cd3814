"""Selection of the nodes that compete for a lease."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from guavalane_core.membership import Member, State

# Three candidates keep the lease available while one is paused and another is
# leaving.
CANDIDATE_COUNT = 3


def choose_candidates(members: Iterable[Member], lease: str) -> list[str]:
    """Selects the nodes that compete for a lease by rendezvous hashing.

    Each candidate reads the lease four times per lease duration. If all of 550
    nodes were candidates, one lease would cause 244 reads per second.

    Args:
      members: Live members.
      lease: Name of the lease.
    """
    names = [m.name for m in members if m.state is not State.LEAVING]
    names.sort(key=lambda name: _score(lease, name))
    return names[:CANDIDATE_COUNT]


def _score(lease: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"lease/{lease}/{name}".encode())
