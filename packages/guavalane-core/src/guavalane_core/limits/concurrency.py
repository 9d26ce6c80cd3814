"""Adaptive limit on the requests in flight at one endpoint."""

from __future__ import annotations

INITIAL_LIMIT = 32.0
# Some requests always pass. Otherwise, latency that does not depend on load
# would block the endpoint permanently.
MIN_LIMIT = 4.0
MAX_LIMIT = 1_000.0
LATENCY_DECREASE_FACTOR = 0.9
REFUSAL_DECREASE_FACTOR = 0.7


class ConcurrencyLimit:
    """AIMD limit: additive increase, multiplicative decrease.

    Only requests that started after the last decrease can lower the limit
    again, because earlier ones still reflect the previous load.

    Args:
      initial: Initial limit.
    """

    def __init__(self, initial: float = INITIAL_LIMIT) -> None:
        self._limit = initial
        self._decreased_s = float("-inf")

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight."""
        return int(self._limit)

    def on_answer(
        self,
        started_s: float,
        now_s: float,
        target_s: float,
        in_flight: int,
    ) -> None:
        """Adjusts the limit to the latency of a response.

        Args:
          started_s: Monotonic time at which the request was sent, in seconds.
          now_s: Monotonic time of the response or its first token, in seconds.
          target_s: Latency target in seconds.
          in_flight: Requests in flight, including this one.
        """
        if now_s - started_s > target_s:
            self._decrease(LATENCY_DECREASE_FACTOR, started_s, now_s)
        elif 2 * in_flight >= self._limit:
            # A limit that is not used shows no spare capacity, so it does not
            # increase.
            self._limit = min(MAX_LIMIT, self._limit + 1.0 / self._limit)

    def on_refusal(self, started_s: float, now_s: float) -> None:
        """Lowers the limit after a refusal due to load."""
        self._decrease(REFUSAL_DECREASE_FACTOR, started_s, now_s)

    def _decrease(self, factor: float, started_s: float, now_s: float) -> None:
        if started_s < self._decreased_s:
            return
        self._limit = max(MIN_LIMIT, self._limit * factor)
        self._decreased_s = now_s
