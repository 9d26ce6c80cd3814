"""Demand for the endpoints of a service, summed over all nodes."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

# Time constants of the exponential moving averages. Demand is the larger of the
# two: the fast one follows a burst, the slow one keeps endpoints after it.
FAST_TIME_CONSTANT_S = 2.0
SLOW_TIME_CONSTANT_S = 12.0


@attrs.frozen
class DemandTotals:
    """Totals of what a process has sent to a service since its start.

    Attributes:
      requests: Number of requests.
      read_tokens: Prompt tokens that endpoints had to prefill.
    """

    requests: int = 0
    read_tokens: int = 0


@attrs.frozen
class DemandRates:
    """Demand per second.

    Attributes:
      requests_per_s: Requests per second.
      read_tokens_per_s: Prompt tokens per second that endpoints have to
          prefill.
    """

    requests_per_s: float = 0.0
    read_tokens_per_s: float = 0.0


class _ExponentialAverage:
    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self.value = 0.0

    def add(self, rate: float, elapsed_s: float) -> None:
        weight = 1 - math.exp(-elapsed_s / self._time_constant_s)
        self.value += weight * (rate - self.value)


class _PeakAverage:
    """Larger of a fast and a slow moving average of one rate."""

    def __init__(self) -> None:
        self._fast = _ExponentialAverage(FAST_TIME_CONSTANT_S)
        self._slow = _ExponentialAverage(SLOW_TIME_CONSTANT_S)

    def add(self, rate: float, elapsed_s: float) -> None:
        self._fast.add(rate, elapsed_s)
        self._slow.add(rate, elapsed_s)

    @property
    def value(self) -> float:
        return max(self._fast.value, self._slow.value)


class ReplicaDemand:
    """Computes the demand for one service from the totals of all processes.

    Args:
      now_s: Monotonic time in seconds.
    """

    def __init__(self, now_s: float) -> None:
        self._totals: dict[tuple[str, int], DemandTotals] = {}
        self._pending = DemandTotals()
        self._updated_s = now_s
        self._first_load_s: float | None = None
        self._requests = _PeakAverage()
        self._tokens = _PeakAverage()

    def report(self, node: str, incarnation: int, totals: DemandTotals) -> None:
        """Records the totals of a process."""
        key = (node, incarnation)
        known = self._totals.get(key)
        self._totals[key] = totals
        if known is None:
            # The first totals of a process cover an unknown period.
            return
        self._pending = DemandTotals(
            self._pending.requests + totals.requests - known.requests,
            self._pending.read_tokens + totals.read_tokens - known.read_tokens,
        )

    def update(self, now_s: float) -> DemandRates:
        """Returns the demand after the reports since the last call."""
        elapsed_s = now_s - self._updated_s
        if elapsed_s > 0:
            pending, self._pending = self._pending, DemandTotals()
            self._updated_s = now_s
            if pending.read_tokens and self._first_load_s is None:
                self._first_load_s = now_s
            self._requests.add(pending.requests / elapsed_s, elapsed_s)
            self._tokens.add(pending.read_tokens / elapsed_s, elapsed_s)
        return DemandRates(self._requests.value, self._tokens.value)

    def load_age_s(self, now_s: float) -> float:
        """Returns the seconds since the first prompt; 0 before it.

        Requests without a prompt, such as route checks, do not indicate the
        expected load.
        """
        if self._first_load_s is None:
            return 0.0
        return now_s - self._first_load_s

    def forget(self, processes: Iterable[tuple[str, int]]) -> None:
        """Removes processes that have ended."""
        for key in processes:
            self._totals.pop(key, None)
