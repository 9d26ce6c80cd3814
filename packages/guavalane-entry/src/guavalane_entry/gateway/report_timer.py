"""Timer of reports that are sent on a change and refreshed in between."""

from __future__ import annotations

import math
from collections.abc import Callable

from guavalane_core.timers import Subscription, Timers
from guavalane_entry.gateway.view import NodeView

# Interval of reports while there is something to tell to nodes that start or
# that missed a datagram, in seconds. It grows with the fleet, so that a node
# receives at most eight of them a second.
REFRESH_PERIOD_S = 2.0
MAX_NODES_AT_BASE_PERIOD = 16


class ReportTimer:
    """Sends a report at the earliest of the times that were asked for.

    Args:
      view: Shared state of the node.
      timers: Timer service.
      send: Function that sends the report.
    """

    def __init__(
        self, view: NodeView, timers: Timers, send: Callable[[], None]
    ) -> None:
        self._view = view
        self._timers = timers
        self._send = send
        self._next: Subscription | None = None
        self._due_s = math.inf

    def cancel(self) -> None:
        """Cancels the next report."""
        if self._next is not None:
            self._next.cancel()
        self._next = None
        self._due_s = math.inf

    def send_within(self, delay_s: float) -> None:
        """Schedules a report unless one is due earlier.

        Args:
          delay_s: Delay in seconds.
        """
        due_s = self._timers.now() + delay_s
        if due_s >= self._due_s:
            return
        self.cancel()
        self._due_s = due_s
        self._next = self._timers.call_later(delay_s, self._on_due)

    def refresh(self) -> None:
        """Schedules a report after the refresh period unless one is due."""
        scale = max(1.0, self._view.node_count / MAX_NODES_AT_BASE_PERIOD)
        self.send_within(REFRESH_PERIOD_S * scale)

    def _on_due(self) -> None:
        self._next = None
        self._due_s = math.inf
        self._send()
