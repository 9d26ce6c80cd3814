"""Record of a move in the object API."""

from __future__ import annotations

from typing import Any

import attrs
import cattrs

from guavalane_core.moves.plan import MovePlan

# Maximum number of events; the oldest evidence events are dropped first. 400
# events of 300 bytes are well below the maximum value size of the object API.
MAX_EVENTS = 400
EVIDENCE = "evidence"


@attrs.frozen(kw_only=True)
class MoveEvent:
    """One entry of a move's time line.

    Attributes:
      at_s: Wall time in seconds since the epoch.
      who: Operator or node.
      kind: `plan`, `confirm`, `lead`, `evidence`, `veto`, `step`, `end`.
      text: Human-readable description.
    """

    at_s: float
    who: str
    kind: str
    text: str


@attrs.frozen(kw_only=True)
class MoveRecord:
    """Plan, state and time line of a move.

    Attributes:
      plan: Plan.
      state: `planned`, `running`, `done`, `undone`, `kept`, `refused` or
          `superseded`.
      confirmed_s: Wall time of the confirmation; 0 before.
      leader: Leader node that last wrote the record.
      fencing_number: Fencing number of its lease.
      events: Time line, oldest event first.
    """

    plan: MovePlan
    state: str = "planned"
    confirmed_s: float = 0.0
    leader: str = ""
    fencing_number: int = 0
    events: tuple[MoveEvent, ...] = ()

    def with_events(self, *events: MoveEvent, **changes: Any) -> MoveRecord:
        """Returns a copy with added events and changed attributes."""
        kept = [*self.events, *events]
        surplus = len(kept) - MAX_EVENTS
        for index, event in enumerate(list(kept)):
            if surplus <= 0:
                break
            if event.kind == EVIDENCE:
                kept[index] = None
                surplus -= 1
        remaining = tuple(event for event in kept if event is not None)
        return attrs.evolve(self, events=remaining, **changes)


def to_plain(record: MoveRecord) -> dict[str, Any]:
    """Converts a record to plain data."""
    return cattrs.unstructure(record)


def from_plain(data: dict[str, Any]) -> MoveRecord:
    """Converts plain data to a record; unknown keys are ignored."""
    return cattrs.structure(data, MoveRecord)
