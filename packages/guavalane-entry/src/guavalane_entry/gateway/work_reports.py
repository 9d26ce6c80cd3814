"""Aggregation of endpoint load by relays in large fleets.

With many nodes, reports between all pairs are too infrequent for placement.
Instead each node reports its load to the relays, and a relay sends the sum to
its followers.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence

from guavalane_core.messages import (
    EndpointWork,
    WorkReport,
    encode,
)
from guavalane_core.placement.work import NO_LOAD, Load, WorkTable
from guavalane_core.timers import Timers

# Report interval in seconds. It is a fraction of the duration of a request, as
# older reports count requests that have already ended.
WORK_PERIOD_S = 0.25
# Time for which a report is valid, in seconds.
REPORT_VALIDITY_S = 1.0


def loads_to_messages(loads: dict[str, Load]) -> tuple[EndpointWork, ...]:
    """Converts loads by endpoint to messages."""
    return tuple(
        EndpointWork(
            endpoint=endpoint_id,
            requests=load.requests,
            prefill_tokens=load.prefill_tokens,
        )
        for endpoint_id, load in loads.items()
    )


def loads_from_messages(work: Iterable[EndpointWork]) -> dict[str, Load]:
    """Converts messages to loads by endpoint."""
    return {w.endpoint: Load(w.requests, w.prefill_tokens) for w in work}


class WorkReports:
    """Reports the load of this node to relays and receives their sum.

    Args:
      node: Name of this node.
      incarnation: Incarnation of this process.
      work: Load of endpoints, which is updated.
      relays: Function that returns the other relays; empty in a small fleet.
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
        self._last_sent: dict[str, Load] = {}
        self._latest_sequences: dict[str, tuple[int, int]] = {}

    def send(self) -> None:
        """Reports the load of this node to the relays."""
        relays = self._relays()
        if not relays:
            return
        self._sequence += 1
        self._last_sent = self._work.own_loads()
        frame = encode(
            WorkReport(
                node=self._node,
                incarnation=self._incarnation,
                sequence=self._sequence,
                work=loads_to_messages(self._last_sent),
            )
        )
        for relay in relays:
            self._send(relay, frame)

    def receive(self, report: WorkReport) -> None:
        """Receives the load of another node, as a relay."""
        order = (report.incarnation, report.sequence)
        if order <= self._latest_sequences.get(report.node, (0, 0)):
            return
        self._latest_sequences[report.node] = order
        until_s = self._timers.now() + REPORT_VALIDITY_S
        self._work.report(
            report.node, loads_from_messages(report.work), until_s
        )

    def sum_work(self) -> tuple[EndpointWork, ...]:
        """Returns the load of all nodes, to be sent to followers."""
        return loads_to_messages(self._work.totals(self._timers.now()))

    def receive_sum(self, work: Collection[EndpointWork]) -> None:
        """Receives the load of all nodes from a relay.

        The sum includes the last report of this node, which is subtracted. In a
        small fleet it is empty.
        """
        if not work:
            return
        others: dict[str, Load] = {}
        for name, load in loads_from_messages(work).items():
            left = load - self._last_sent.get(name, NO_LOAD)
            others[name] = Load(
                max(0, left.requests), max(0, left.prefill_tokens)
            )
        self._work.relay(others, self._timers.now() + REPORT_VALIDITY_S)
