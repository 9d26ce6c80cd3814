"""State of one endpoint as seen by a node."""

from __future__ import annotations

import attrs

from guavalane_core.configuration import Endpoint


@attrs.define
class EndpointView:
    """State of one endpoint as seen by this node.

    Attributes:
      name: Name of the endpoint.
      endpoint: Configuration of the endpoint.
      in_flight: Requests from this node that are in flight.
      reported_waiting: Waiting requests in the last load report.
      reported_running: Running requests in the last load report.
      reported_at_s: Monotonic time of the last load report, in seconds.
      own_at_report: Value of `in_flight` at the last load report.
      prefill_since_report_s: Estimated prefill time of the requests that this
          node dispatched since the last load report, in seconds.
      prefill_until_s: Monotonic time at which the prefill of this node's
          requests is expected to finish, in seconds.
      leaving: Whether the endpoint is draining and receives no new requests.
    """

    name: str
    endpoint: Endpoint
    in_flight: int = 0
    reported_waiting: int = 0
    reported_running: int = 0
    reported_at_s: float = float("-inf")
    own_at_report: int = 0
    prefill_since_report_s: float = 0.0
    prefill_until_s: float = float("-inf")
    leaving: bool = False

    def report(self, running: int, waiting: int, at_s: float) -> None:
        """Applies a load report unless a newer one has been applied.

        Args:
          running: Running requests from all nodes.
          waiting: Waiting requests from all nodes.
          at_s: Monotonic time at which the report was requested, in seconds.
        """
        if at_s < self.reported_at_s:
            return
        self.reported_running = running
        self.reported_waiting = waiting
        self.reported_at_s = at_s
        self.own_at_report = self.in_flight
        self.prefill_since_report_s = 0.0

    def add_prefill(self, seconds: float, now_s: float) -> None:
        """Adds the estimated prefill time of a dispatched request."""
        self.prefill_since_report_s += seconds
        self.prefill_until_s = max(self.prefill_until_s, now_s) + seconds
