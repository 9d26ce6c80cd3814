"""Weighted fair queueing of requests by organisation."""

from __future__ import annotations

import bisect
from collections import OrderedDict, deque
from typing import Any

import attrs

# Lower than 1 by more than the rounding error of 10,000 additions, so that ten
# rounds with weight 0.1 add up to one request.
REQUEST_COST = 1.0 - 1e-9


@attrs.define(eq=False)
class Ticket:
    """Entry of a queued request.

    Attributes:
      organisation: Name of the organisation.
      priority: Priority within the organisation; 0 is served first.
      item: Arbitrary value attached by the caller.
    """

    organisation: str
    priority: int
    item: Any = None


class _OrganisationQueue:
    """Queued tickets of one organisation, by priority."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.deficit = 0.0
        self.length = 0
        self.by_priority: dict[int, OrderedDict[Ticket, None]] = {}
        self.priorities: list[int] = []

    def push(self, ticket: Ticket) -> None:
        same_priority = self.by_priority.get(ticket.priority)
        if same_priority is None:
            same_priority = self.by_priority[ticket.priority] = OrderedDict()
            bisect.insort(self.priorities, ticket.priority)
        same_priority[ticket] = None
        self.length += 1

    def remove(self, ticket: Ticket) -> bool:
        same_priority = self.by_priority.get(ticket.priority)
        if same_priority is None or ticket not in same_priority:
            return False
        del same_priority[ticket]
        self.length -= 1
        if not same_priority:
            del self.by_priority[ticket.priority]
            self.priorities.remove(ticket.priority)
        return True

    def first(self) -> Ticket:
        return next(iter(self.by_priority[self.priorities[0]]))

    def last(self) -> Ticket:
        return next(reversed(self.by_priority[self.priorities[-1]]))

    def count_ahead(self, priority: int) -> int:
        return sum(
            len(self.by_priority[other])
            for other in self.priorities
            if other <= priority
        )


class FairQueue:
    """Deficit round robin over organisations, with weights and priorities.

    Each round adds an organisation's weight, divided by the largest weight of
    all queued organisations, to its deficit counter. Each request costs 1.
    Priorities order only the requests of one organisation; they do not affect
    the shares of other organisations.

    With normalised weights `q`, the next request of an organisation `i` is
    dequeued after at most `ceil(1 / q[i]) * sum(q[j]) + n` requests of the `n`
    other queued organisations `j`, regardless of their queue lengths.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _OrganisationQueue] = {}
        self._ring: deque[str] = deque()
        self._weights: dict[str, float] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replaces the weights; the default weight is 1."""
        self._weights = dict(weights)
        for name, queue in self._queues.items():
            queue.weight = self._weights.get(name, 1.0)

    def count_ahead(self, organisation: str, priority: int) -> int:
        """Returns the number of its requests that are ahead of a new one."""
        queue = self._queues.get(organisation)
        return queue.count_ahead(priority) if queue else 0

    def share_of(self, organisation: str) -> float:
        """Returns the fraction of the capacity that an organisation gets."""
        own = self._weights.get(organisation, 1.0)
        others = sum(
            queue.weight
            for name, queue in self._queues.items()
            if name != organisation
        )
        return own / (own + others)

    def push(self, ticket: Ticket) -> None:
        """Enqueues a request."""
        name = ticket.organisation
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = _OrganisationQueue(
                self._weights.get(name, 1.0)
            )
            self._ring.append(name)
        queue.push(ticket)
        self._length += 1

    def remove(self, ticket: Ticket) -> bool:
        """Removes a request; returns whether it was queued."""
        queue = self._queues.get(ticket.organisation)
        if queue is None or not queue.remove(ticket):
            return False
        self._length -= 1
        if not queue.length:
            self._drop(ticket.organisation)
        return True

    def pop(self) -> Ticket | None:
        """Dequeues the next request; returns None if the queue is empty."""
        if not self._ring:
            return None
        max_weight = max(queue.weight for queue in self._queues.values())
        while True:
            name = self._ring[0]
            queue = self._queues[name]
            self._ring.rotate(-1)
            queue.deficit += queue.weight / max_weight
            if queue.deficit >= REQUEST_COST:
                queue.deficit -= REQUEST_COST
                ticket = queue.first()
                self.remove(ticket)
                return ticket

    def has_less_urgent(self, organisation: str, priority: int) -> bool:
        """Returns whether `pop_less_urgent` would return a request."""
        queue = self._queues.get(organisation)
        return queue is not None and queue.priorities[-1] > priority

    def pop_less_urgent(
        self, organisation: str, priority: int
    ) -> Ticket | None:
        """Removes the newest of an organisation's least urgent requests.

        Args:
          organisation: Name of the organisation.
          priority: Only less urgent requests are removed.
        """
        if not self.has_less_urgent(organisation, priority):
            return None
        ticket = self._queues[organisation].last()
        self.remove(ticket)
        return ticket

    def _drop(self, name: str) -> None:
        # The deficit is discarded, so that the organisation cannot return
        # with a burst.
        del self._queues[name]
        self._ring.remove(name)
