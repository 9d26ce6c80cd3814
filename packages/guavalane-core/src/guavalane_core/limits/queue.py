"""Fair order among the waiting requests of organisations."""

from __future__ import annotations

import bisect
from collections import OrderedDict, deque
from typing import Any

import attrs

# Below 1 by more than the rounding error of ten thousand additions, so that
# ten turns of weight 0.1 pay for one request.
COST = 1.0 - 1e-9


@attrs.define(eq=False)
class Ticket:
    """One waiting request.

    Attributes:
      organisation: Organisation that waits.
      priority: Priority within the organisation; 0 is served first.
      item: What the owner of the queue attached.
    """

    organisation: str
    priority: int
    item: Any = None


class _Line:
    """Waiting tickets of one organisation, by priority."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.deficit = 0.0
        self.length = 0
        self.levels: dict[int, OrderedDict[Ticket, None]] = {}
        self.order: list[int] = []

    def push(self, ticket: Ticket) -> None:
        level = self.levels.get(ticket.priority)
        if level is None:
            level = self.levels[ticket.priority] = OrderedDict()
            bisect.insort(self.order, ticket.priority)
        level[ticket] = None
        self.length += 1

    def remove(self, ticket: Ticket) -> bool:
        level = self.levels.get(ticket.priority)
        if level is None or ticket not in level:
            return False
        del level[ticket]
        self.length -= 1
        if not level:
            del self.levels[ticket.priority]
            self.order.remove(ticket.priority)
        return True

    def first(self) -> Ticket:
        return next(iter(self.levels[self.order[0]]))

    def last(self) -> Ticket:
        return next(reversed(self.levels[self.order[-1]]))

    def count_ahead(self, priority: int) -> int:
        return sum(
            len(self.levels[level]) for level in self.order if level <= priority
        )


class FairQueue:
    """Deficit round robin over organisations, with weights and priorities.

    Each turn of the ring adds the weight of an organisation, divided by the
    largest weight that waits, to its deficit, and each request costs 1.
    Priorities order the requests of one organisation only: the priority of
    another organisation never takes away its share.

    With normalised weights `q`, the next request of an organisation `i` leaves
    after at most `ceil(1 / q[i]) * sum(q[j]) + n` requests of the `n` other
    waiting organisations `j`, however many they have waiting.
    """

    def __init__(self) -> None:
        self._lines: dict[str, _Line] = {}
        self._ring: deque[str] = deque()
        self._weights: dict[str, float] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replaces the weights; organisations without one have weight 1."""
        self._weights = dict(weights)
        for name, line in self._lines.items():
            line.weight = self._weights.get(name, 1.0)

    def count_ahead(self, organisation: str, priority: int) -> int:
        """Returns its waiting requests that a new one would stand behind."""
        line = self._lines.get(organisation)
        return line.count_ahead(priority) if line else 0

    def share_of(self, organisation: str) -> float:
        """Returns the part of the capacity that an organisation would get."""
        own = self._weights.get(organisation, 1.0)
        others = sum(
            line.weight
            for name, line in self._lines.items()
            if name != organisation
        )
        return own / (own + others)

    def push(self, ticket: Ticket) -> None:
        """Appends a request."""
        name = ticket.organisation
        line = self._lines.get(name)
        if line is None:
            line = self._lines[name] = _Line(self._weights.get(name, 1.0))
            self._ring.append(name)
        line.push(ticket)
        self._length += 1

    def remove(self, ticket: Ticket) -> bool:
        """Takes a request out; returns whether it was waiting."""
        line = self._lines.get(ticket.organisation)
        if line is None or not line.remove(ticket):
            return False
        self._length -= 1
        if not line.length:
            self._drop(ticket.organisation)
        return True

    def pop(self) -> Ticket | None:
        """Takes out the request that is next, or returns None."""
        if not self._ring:
            return None
        largest = max(line.weight for line in self._lines.values())
        while True:
            name = self._ring[0]
            line = self._lines[name]
            self._ring.rotate(-1)
            line.deficit += line.weight / largest
            if line.deficit >= COST:
                line.deficit -= COST
                ticket = line.first()
                self.remove(ticket)
                return ticket

    def has_less_urgent(self, organisation: str, priority: int) -> bool:
        """Returns whether `pop_below` would find a request."""
        line = self._lines.get(organisation)
        return line is not None and line.order[-1] > priority

    def pop_less_urgent(
        self, organisation: str, priority: int
    ) -> Ticket | None:
        """Takes out the newest, least urgent request behind a priority.

        Args:
          organisation: Organisation whose requests are looked at.
          priority: Priority that the request must stand behind.
        """
        if not self.has_less_urgent(organisation, priority):
            return None
        ticket = self._lines[organisation].last()
        self.remove(ticket)
        return ticket

    def _drop(self, name: str) -> None:
        # An organisation that stops waiting keeps no credit, as otherwise it
        # could return with a burst.
        del self._lines[name]
        self._ring.remove(name)
