"""Detection of stalled streams by the pace that their endpoint shows."""

from __future__ import annotations

from collections import OrderedDict

# A stream stalls after a multiple of the longest gap that its route allows, or
# that the streams of its endpoint had recently, but not before the minimum, in
# seconds.
ROUTE_GAP_FACTOR = 3.0
RECENT_GAP_FACTOR = 1.5
MIN_SILENCE_S = 1.0
# Fraction of the callers' patience after which a stream stalls although its
# endpoint can be reached. Another endpoint needs the rest for its first event.
PATIENCE_FRACTION = 0.75
# Period in which the longest gap of an endpoint is kept, in seconds. The gap of
# the period before counts as well.
GAP_PERIOD_S = 5.0
MAX_ENDPOINTS = 1024


class EventGaps:
    """Longest recent gaps between stream events, by endpoint.

    An endpoint that has turned slow sends the events of all its streams late.
    Its streams are sound as long as they keep the pace of each other.
    """

    def __init__(self) -> None:
        # Number of the period and longest gaps of it and of the one before.
        self._gaps: OrderedDict[str, tuple[int, float, float]] = OrderedDict()

    def record(self, endpoint_id: str, gap_s: float, now_s: float) -> None:
        """Records a gap between two events of a stream.

        Args:
          endpoint_id: Endpoint.
          gap_s: Duration of the gap in seconds.
          now_s: Monotonic time of its end, in seconds.
        """
        period, current_s, previous_s = self._at(endpoint_id, now_s)
        current_s = max(current_s, gap_s)
        self._gaps[endpoint_id] = (period, current_s, previous_s)
        self._gaps.move_to_end(endpoint_id)
        if len(self._gaps) > MAX_ENDPOINTS:
            self._gaps.popitem(last=False)

    def longest_s(self, endpoint_id: str, now_s: float) -> float:
        """Returns the longest recent gap of an endpoint, 0 if none is known."""
        _, current_s, previous_s = self._at(endpoint_id, now_s)
        return max(current_s, previous_s)

    def silence_limit_s(
        self, endpoint_id: str, max_gap_s: float, now_s: float
    ) -> float:
        """Returns the time without an event after which a stream is stalled.

        Args:
          endpoint_id: Endpoint.
          max_gap_s: Longest gap that the route allows, in seconds.
          now_s: Monotonic time in seconds.
        """
        return max(
            MIN_SILENCE_S,
            ROUTE_GAP_FACTOR * max_gap_s,
            RECENT_GAP_FACTOR * self.longest_s(endpoint_id, now_s),
        )

    def _at(self, endpoint_id: str, now_s: float) -> tuple[int, float, float]:
        """Returns the gaps of an endpoint as of a time."""
        now_period = int(now_s // GAP_PERIOD_S)
        period, current_s, previous_s = self._gaps.get(
            endpoint_id, (now_period, 0.0, 0.0)
        )
        if period == now_period:
            return period, current_s, previous_s
        is_next = period == now_period - 1
        return now_period, 0.0, current_s if is_next else 0.0
