"""Changes of one kind of objects, received from a relay."""

from __future__ import annotations

import asyncio
import math
from collections import deque

import attrs

from guavalane_core.objects import ObjectBatch, Position

# Maximum number of buffered batches per kind.
MAX_BATCHES = 256


@attrs.define
class FollowedKind:
    """Buffer of changes of one kind, received from a relay.

    Attributes:
      start: Position after which all changes are known.
      version: Position up to which all changes are known.
      confirmed_s: Time at or before the last response of the object API to the
          relay, on the monotonic clock of this node; None while the relay gets
          none.
      lists: Number of lists of the relay.
      listed_s: Latest time at which the relay can have made its last list, on
          the monotonic clock of this node.
      failed_s: Time at which a call of the relay last failed.
      batches: Latest changes.
      changed: Set when changes arrive or the data of the relay is outdated.
    """

    start: Position
    version: Position
    confirmed_s: float | None = None
    lists: int = 0
    listed_s: float = -math.inf
    failed_s: float = -math.inf
    batches: deque[ObjectBatch] = attrs.field(
        factory=lambda: deque(maxlen=MAX_BATCHES)
    )
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def on_list(self, lists: int, listed_s: float) -> None:
        """Records the last list of the relay.

        The first list is that of its start and no sign of missed changes.

        Args:
          lists: Number of lists of the relay.
          listed_s: Estimate of its time; transit only makes it later.
        """
        if lists <= 1:
            self.lists = lists
        elif lists != self.lists:
            self.lists, self.listed_s = lists, listed_s
        else:
            self.listed_s = min(self.listed_s, listed_s)

    def append(self, since: Position, batch: ObjectBatch) -> None:
        """Appends changes, and discards earlier ones if there is a gap.

        A new era of the object API is a gap.
        """
        if since > self.version:
            self.start = since
            self.batches.clear()
        if len(self.batches) == MAX_BATCHES:
            self.start = Position.parse(self.batches[0].version)
        self.version = max(self.version, Position.parse(batch.version))
        if batch.events:
            self.batches.append(batch)

    def covers(self, version: Position) -> bool:
        """Returns whether all changes after a position are known."""
        return self.start <= version and version.era == self.version.era

    def changes_after(self, version: Position) -> ObjectBatch:
        """Returns the changes after a position, which must be covered."""
        events = [
            event
            for batch in self.batches
            if Position.parse(batch.version) > version
            for event in batch.events
        ]
        return ObjectBatch(tuple(events), str(max(version, self.version)))
