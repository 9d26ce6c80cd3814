"""Move of a service's requests to another version."""

from __future__ import annotations

import enum

import attrs


class MovePhase(enum.Enum):
    """Phase of a move, as stored with its order."""

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
        """Number that increases with each phase of a move."""
        if self.has_ended:
            return 2
        return 1 if self is MovePhase.RUNNING else 0


@attrs.frozen
class VersionMove:
    """Operator's order to move a service to another version.

    Attributes:
      service: Name of the service.
      target: Target version.
      time_limit_s: Time within which the move is completed or rolled back, in
          seconds.
      phase: Current phase.
    """

    service: str
    target: str
    time_limit_s: float
    phase: MovePhase = MovePhase.ORDERED
