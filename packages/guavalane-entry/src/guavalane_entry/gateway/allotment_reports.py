"""Exchange of the draws from allotments between nodes."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from guavalane_core.messages import (
    AllotmentReport,
    AllotmentUse,
    NodeReport,
    encode,
)
from guavalane_core.timers import Timers
from guavalane_entry.gateway.view import NodeView

# Processes whose start times differ by at most this, in milliseconds, count as
# started together: what one of them has drawn since counts for the others.
SIMULTANEOUS_START_MS = 1000


class AllotmentReports:
    """Tells other nodes the draws of this one and applies theirs.

    In a large fleet, node reports are too infrequent to stop all nodes in time
    when one organisation sends several times its limit. Draws from nearly
    exhausted allotments are therefore reported in between.

    Args:
      view: Shared state, which is reported and updated.
      timers: Timer service.
      incarnation: Incarnation of this process.
      send: Function that sends a frame to all other nodes.
    """

    def __init__(
        self,
        view: NodeView,
        timers: Timers,
        incarnation: int,
        send: Callable[[bytes], None],
    ) -> None:
        self._view = view
        self._timers = timers
        self._incarnation = incarnation
        self._send = send
        self._update = 0
        self._reported: dict[str, int] = {}
        # Incarnation, sequence and update of the last totals, by node.
        self._latest: dict[str, tuple[int, int, int]] = {}

    def uses(self) -> tuple[AllotmentUse, ...]:
        """Returns the usage of all allotments, for a node report."""
        drawn = self._view.allotments.drawn
        self._reported.update(drawn)
        return self._make_uses(drawn)

    def send(self, sequence: int) -> None:
        """Sends the usage that has changed of nearly exhausted allotments.

        Args:
          sequence: Sequence of the latest node report.
        """
        allotments = self._view.allotments
        drawn = allotments.drawn
        names = [
            name
            for name in allotments.nearly_exhausted(self._timers.now())
            if drawn.get(name, 0) != self._reported.get(name, 0)
        ]
        if not names:
            return
        self._reported.update({name: drawn[name] for name in names})
        self._update += 1
        report = AllotmentReport(
            node=self._view.settings.name,
            incarnation=self._incarnation,
            sequence=sequence,
            update=self._update,
            allotments=self._make_uses(names),
        )
        self._send(encode(report))

    def receive(self, report: AllotmentReport) -> None:
        """Applies an allotment report of another node.

        The totals of an older process are unknown until its first node report,
        as an allotment report names only some organisations.
        """
        known = self._view.allotments.has_report(
            report.node, report.incarnation
        )
        if known or not self._is_older(report.incarnation):
            self._apply(report, report.update)

    def receive_node_report(self, report: NodeReport) -> None:
        """Applies the usage in a node report of another node."""
        self._apply(report, 0)

    def set_share(self, share: float) -> None:
        """Sets the share of the allotments that belongs to the live nodes."""
        self._view.allotments.set_share(share, self._timers.now())

    def _is_older(self, incarnation: int) -> bool:
        """Returns whether a process started well before this one."""
        return self._incarnation - incarnation > SIMULTANEOUS_START_MS

    def _make_uses(self, names: Iterable[str]) -> tuple[AllotmentUse, ...]:
        allotments = self._view.allotments
        levels = allotments.levels(self._timers.now())
        return tuple(
            AllotmentUse(
                organisation=name,
                units=max(0, allotments.drawn[name]),
                level=int(levels.get(name, 0)),
            )
            for name in names
        )

    def _apply(self, report: AllotmentReport | NodeReport, update: int) -> None:
        node, incarnation = report.node, report.incarnation
        order = (incarnation, report.sequence, update)
        if order <= self._latest.get(node, (0, 0, 0)):
            return
        self._latest[node] = order
        allotments = self._view.allotments
        now_s = self._timers.now()
        totals = {use.organisation: use.units for use in report.allotments}
        known = allotments.has_report(node, incarnation)
        if self._is_older(incarnation) and not known:
            levels = {use.organisation: use.level for use in report.allotments}
            allotments.set_baseline(node, incarnation, totals, levels, now_s)
        else:
            allotments.report(node, incarnation, totals, now_s)
