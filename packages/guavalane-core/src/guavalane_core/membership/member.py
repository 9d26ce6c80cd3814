"""State of one member as seen by a node."""

from __future__ import annotations

import enum
import functools
from typing import Any

import attrs
import xxhash

from guavalane_core.messages import MemberUpdate


class State(enum.StrEnum):
    """State of a member."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


# Of two updates with the same incarnation and refutation, the state with the
# higher rank takes precedence.
_RANKS = {state: rank for rank, state in enumerate(State)}


@functools.lru_cache(maxsize=8192)
def ring_position(ring: int, name: str) -> int:
    """Returns the position of a member on a ring, a hash of its name."""
    return xxhash.xxh3_64_intdigest(f"{ring}/{name}".encode())


def update_key(update: MemberUpdate | Member) -> tuple[int, int, int]:
    """Returns a sort key: of two updates of a member, the higher one wins."""
    return (
        update.incarnation,
        update.refutation,
        _RANKS[State(update.state)],
    )


@attrs.define
class Member:
    """An entry node as seen by another.

    Attributes:
      name: Name of the node.
      incarnation: Incarnation of its process.
      address: Peer address, `IP:PORT`.
      zone: Availability zone.
      state: State.
      refutation: Counter that the member increments to refute a suspicion.
      generation: Highest configuration generation it has reported.
      since: Monotonic time of the last change of state, in seconds.
      deadline: Monotonic time at which a suspect or leaving member is declared
          dead, in seconds; None for never.
      said_goodbye: Whether it announced its shutdown.
      returns: Number of times it returned after being declared dead.
      restarts: Number of times a new process used its name.
    """

    name: str
    incarnation: int
    address: str
    zone: str
    state: State = State.ALIVE
    refutation: int = 0
    generation: int = 0
    since: float = 0.0
    deadline: float | None = None
    said_goodbye: bool = False
    returns: int = 0
    restarts: int = 0

    @property
    def live(self) -> bool:
        """Whether its process is presumed to be running."""
        return self.state is not State.DEAD

    def to_update(self) -> MemberUpdate:
        """Returns the update that disseminates this member's state."""
        return MemberUpdate(
            name=self.name,
            incarnation=self.incarnation,
            state=str(self.state),
            address=self.address,
            zone=self.zone,
            refutation=self.refutation,
        )

    def to_plain(self) -> dict[str, Any]:
        """Converts the member to plain data for operators."""
        return {
            "node": self.name,
            "state": str(self.state),
            "zone": self.zone,
            "incarnation": self.incarnation,
            "generation": self.generation,
            "said_goodbye": self.said_goodbye,
            "returns": self.returns,
            "restarts": self.restarts,
        }
