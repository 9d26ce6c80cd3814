"""Positions in the history of an object API."""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class Position:
    """Position in the history of an object API.

    An object API that comes back from an older copy gives out revisions again.
    Its era, which rises each time, tells them apart: a position of an earlier
    era says nothing about the history of a later one.

    Attributes:
      era: Era; 0 if the object API has none.
      revision: Revision within the era.
    """

    era: int
    revision: int

    @classmethod
    def parse(cls, version: str) -> Position:
        """Parses a version; see `__str__`.

        Raises:
          ValueError: The version is not a position.
        """
        era, _, revision = version.rpartition(".")
        return cls(int(era or 0), int(revision))

    def __str__(self) -> str:
        """Returns `ERA.REVISION`, or the revision alone without an era."""
        return f"{self.era}.{self.revision}" if self.era else str(self.revision)


def era_of(version: str) -> int:
    """Returns the era of a version; 0 if it is not a position."""
    try:
        return Position.parse(version).era
    except ValueError:
        return 0
