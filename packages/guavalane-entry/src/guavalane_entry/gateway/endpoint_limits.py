"""Rate limits that endpoints state in their responses, on all nodes."""

from __future__ import annotations

import math
from collections.abc import Callable

from guavalane_core.forwarding import Endpoint
from guavalane_core.limits.endpoint_rates import StatedLimit
from guavalane_core.messages import EndpointLimit, EndpointLimitReport, encode
from guavalane_core.timers import Timers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.report_timer import ReportTimer
from guavalane_entry.gateway.view import NodeView

# Delay of a report after a change, in seconds. Endpoints in need often state
# their limits at the same time.
REPORT_DELAY_S = 0.05
# Maximum number of limits per report, so that it fits in one datagram.
MAX_REPORTED_LIMITS = 64
MS_PER_S = 1000


class EndpointLimits:
    """Learns the limits of endpoints from responses and from other nodes.

    Args:
      view: Shared state, whose limits are updated.
      timers: Timer service.
      log: Decision log.
      send: Function that sends a frame to all other nodes.
    """

    def __init__(
        self,
        view: NodeView,
        timers: Timers,
        log: DecisionLog,
        send: Callable[[bytes], None],
    ) -> None:
        self._view = view
        self._rates = view.endpoint_rates
        self._timers = timers
        self._log = log
        self._send = send
        self._report_timer = ReportTimer(view, timers, self._send_report)

    def stop(self) -> None:
        """Stops sending reports."""
        self._report_timer.cancel()

    def on_response(
        self, endpoint: Endpoint, text: str | None, *, has_run: bool
    ) -> None:
        """Reads the limit in a response.

        Args:
          endpoint: Endpoint.
          text: Value of the header; None if it is missing.
          has_run: Whether the endpoint has run the request. A refusal without
              the header does not end a limit.
        """
        rate_per_s = None
        if text is not None:
            rate_per_s = _parse_rate(text)
            if rate_per_s is None:
                self._log.event(
                    "endpoint.limit_ignored",
                    endpoint=endpoint.endpoint_id,
                    value=text[:40],
                )
                return
        elif not has_run:
            return
        limit = StatedLimit(rate_per_s, self._timers.now())
        if self._observe(endpoint.endpoint_id, limit, "response"):
            self._report_timer.send_within(REPORT_DELAY_S)

    def receive(self, report: EndpointLimitReport) -> None:
        """Applies a report of another node."""
        now_s = self._timers.now()
        for stated in report.limits:
            self._observe(
                stated.endpoint,
                StatedLimit(
                    stated.rate_per_s if stated.in_force else None,
                    now_s - stated.age_ms / MS_PER_S,
                ),
                report.node,
            )
        self._report_timer.refresh()

    def _observe(
        self, endpoint_id: str, limit: StatedLimit, source: str
    ) -> bool:
        is_changed = self._rates.observe(endpoint_id, limit)
        if is_changed:
            self._log.event(
                "endpoint.limited",
                endpoint=endpoint_id,
                rate_per_s=limit.rate_per_s,
                source=source,
            )
        return is_changed

    def _send_report(self) -> None:
        now_s = self._timers.now()
        stated = list(self._rates.stated(now_s))
        if not stated:
            return
        stated.sort(key=lambda item: item[1].stated_s, reverse=True)
        limits = tuple(
            EndpointLimit(
                endpoint=endpoint_id,
                in_force=limit.rate_per_s is not None,
                rate_per_s=limit.rate_per_s or 0.0,
                age_ms=max(0, int((now_s - limit.stated_s) * MS_PER_S)),
            )
            for endpoint_id, limit in stated[:MAX_REPORTED_LIMITS]
        )
        name = self._view.settings.name
        self._send(encode(EndpointLimitReport(node=name, limits=limits)))
        self._report_timer.refresh()


def _parse_rate(text: str) -> float | None:
    try:
        rate_per_s = float(text)
    except ValueError:
        return None
    return rate_per_s if 0 <= rate_per_s < math.inf else None
