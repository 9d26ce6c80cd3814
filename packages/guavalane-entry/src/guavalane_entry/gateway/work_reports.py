"""Work at endpoints that relays sum for large fleets.

With many nodes the reports to all others come too seldom to place requests by.
Each node tells its work to the relays, and a relay tells its followers the sum.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from guavalane_core.messages import (
    EndpointWork,
    WorkReport,
    encode,
)
from guavalane_core.placement.work import NO_LOAD, Load, WorkTable
from guavalane_core.timers import Timers

# Time between two reports, in seconds: a fraction of the time that a request
# runs, as an older report tells of requests that have ended.
WORK_PERIOD_S = 0.25
# Time for which a report counts, in seconds.
VALID_S = 1.0


def to_messages(loads: dict[str, Load]) -> tuple[EndpointWork, ...]:
    """Returns the messages of loads by endpoint."""
    return tuple(
        EndpointWork(
            endpoint=endpoint_id,
            requests=load.requests,
            prefill_tokens=load.prefill_tokens,
        )
        for endpoint_id, load in loads.items()
    )


def from_messages(work: Iterable[EndpointWork]) -> dict[str, Load]:
    """Returns loads by endpoint."""
    return {w.endpoint: Load(w.requests, w.prefill_tokens) for w in work}


class WorkReports:
    """Tells relays the work of this node, and takes the sum of a relay.

    Args:
      node: Name of this node.
      incarnation: Incarnation of this process.
      work: Work at endpoints; it is changed.
      relays: Function that returns the relays without this node; none in a
          small fleet.
      send: Function that sends a frame to a node.
      timers: Timer service.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        work: WorkTable,
        relays: Callable[[], Sequence[str]],
        send: Callable[[str, bytes], None],
        timers: Timers,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._work = work
        self._relays = relays
        self._send = send
        self._timers = timers
        self._sequence = 0
        self._told: dict[str, Load] = {}
        self._newest: dict[str, tuple[int, int]] = {}

    def send(self) -> None:
        """Tells the relays the work of this node."""
        relays = self._relays()
        if not relays:
            return
        self._sequence += 1
        self._told = self._work.own_loads()
        frame = encode(
            WorkReport(
                node=self._node,
                incarnation=self._incarnation,
                sequence=self._sequence,
                work=to_messages(self._told),
            )
        )
        for relay in relays:
            self._send(relay, frame)

    def receive(self, report: WorkReport) -> None:
        """Takes the work of another node, as a relay."""
        order = (report.incarnation, report.sequence)
        if order <= self._newest.get(report.node, (0, 0)):
            return
        self._newest[report.node] = order
        until_s = self._timers.now() + VALID_S
        self._work.report(report.node, from_messages(report.work), until_s)

    def sum(self) -> tuple[EndpointWork, ...]:
        """Returns the work of all nodes, to be told to followers."""
        return to_messages(self._work.totals(self._timers.now()))

    def take_sum(self, told: Iterable[EndpointWork]) -> None:
        """Takes the work of all nodes from a relay.

        The sum holds what this node told last, which is taken off.
        """
        others: dict[str, Load] = {}
        for name, load in from_messages(told).items():
            left = load - self._told.get(name, NO_LOAD)
            others[name] = Load(
                max(0, left.requests), max(0, left.prefill_tokens)
            )
        self._work.relay(others, self._timers.now() + VALID_S)
