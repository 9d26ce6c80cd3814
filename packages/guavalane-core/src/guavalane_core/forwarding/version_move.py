"""Move of a service's requests to endpoints of another version."""

from __future__ import annotations

import enum

import attrs


class MovePhase(enum.Enum):
    """How far a move is, as stored with its order."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def has_ended(self) -> bool:
        """Whether the move is over."""
        return self in (MovePhase.COMPLETED, MovePhase.ROLLED_BACK)

    @property
    def rank(self) -> int:
        """Number that rises from phase to phase of one move."""
        if self.has_ended:
            return 2
        return 1 if self is MovePhase.RUNNING else 0


@attrs.frozen
class VersionMove:
    """An operator's order to move a service to another version.

    Attributes:
      service: Service.
      target: Version that the service's requests move to.
      time_limit_s: Time within which the move is completed or rolled back, in
          seconds.
      phase: How far it is.
    """

    service: str
    target: str
    time_limit_s: float
    phase: MovePhase = MovePhase.ORDERED
