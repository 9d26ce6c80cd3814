"""Changes of one kind of objects as a relay tells them."""

from __future__ import annotations

import asyncio
from collections import deque

import attrs

from guavalane_core.objects import ObjectBatch

# Batches of one kind that a follower keeps for its watch to take.
KEPT_BATCHES = 256


@attrs.define
class FollowedKind:
    """Changes of one kind as a relay tells them.

    Attributes:
      start: Version from which on all changes are known.
      version: Version up to which all changes are known.
      answered_s: When the object API last answered the relay, on the
          monotonic clock of this node; None while it does not.
      batches: The newest changes.
      changed: Set when there are changes, or the relay's knowledge is old.
    """

    start: int
    version: int
    answered_s: float | None = None
    batches: deque[ObjectBatch] = attrs.field(
        factory=lambda: deque(maxlen=KEPT_BATCHES)
    )
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(self, since: int, batch: ObjectBatch) -> None:
        """Takes changes; a gap before them starts anew."""
        if since > self.version:
            self.start = since
            self.batches.clear()
        if len(self.batches) == KEPT_BATCHES:
            self.start = int(self.batches[0].version)
        self.version = max(self.version, int(batch.version))
        if batch.events:
            self.batches.append(batch)

    def after(self, version: int) -> ObjectBatch:
        """Returns the changes after a version that is known."""
        events = [
            event
            for batch in self.batches
            if int(batch.version) > version
            for event in batch.events
        ]
        return ObjectBatch(tuple(events), str(max(version, self.version)))
