"""Liveness of the owners of claims and records."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

from guavalane_core.timers import Timers

# Predicate on the name and incarnation of a node.
IsLive = Callable[[str, int], bool]

# A node that is not a known member may only be new to this node.
DEFAULT_GRACE_S = 5.0


def rank_nodes(request_id: str, names: Iterable[str]) -> list[str]:
    """Returns nodes in a request-specific order that is the same on all nodes.

    A request is handed over to one of the first nodes, so that a lookup has to
    query only a few nodes.
    """
    return sorted(
        names,
        key=lambda name: hashlib.sha256(
            f"{request_id} {name}".encode()
        ).digest(),
    )


class OwnerWatch:
    """Determines which owners have been gone for the grace period.

    Args:
      owner: Name of this node.
      incarnation: Incarnation of this process.
      is_live: Returns whether a node with a name and incarnation is live.
      timers: Timer service.
      grace_s: Time after which an owner that is not live counts as gone, in
          seconds.
      is_dead: Returns whether a node is known to be dead. A dead owner is gone
          without a grace period.
    """

    def __init__(
        self,
        owner: str,
        incarnation: int,
        is_live: IsLive,
        timers: Timers,
        grace_s: float = DEFAULT_GRACE_S,
        is_dead: IsLive = lambda *_: False,
    ) -> None:
        self._owner = owner
        self._incarnation = incarnation
        self._is_live = is_live
        self._timers = timers
        self._grace_s = grace_s
        self._is_dead = is_dead
        self._gone_since_s: dict[tuple[str, int], float] = {}

    @property
    def owner(self) -> str:
        """Name of this node."""
        return self._owner

    @property
    def incarnation(self) -> int:
        """Incarnation of this process."""
        return self._incarnation

    def is_self(self, owner: str, incarnation: int) -> bool:
        """Returns whether this process is the owner."""
        return (owner, incarnation) == (self._owner, self._incarnation)

    def is_gone(self, owner: str, incarnation: int) -> bool:
        """Returns whether an owner is gone.

        An earlier incarnation of this node is gone immediately, because names
        are unique among live nodes.
        """
        key = (owner, incarnation)
        if owner == self._owner:
            return incarnation != self._incarnation
        if self._is_live(owner, incarnation):
            self._gone_since_s.pop(key, None)
            return False
        if self._is_dead(owner, incarnation):
            return True
        gone_since_s = self._gone_since_s.setdefault(key, self._timers.now())
        return self._timers.now() - gone_since_s >= self._grace_s
