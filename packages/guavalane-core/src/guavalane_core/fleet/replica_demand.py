"""Demand for the endpoints of services, summed over all nodes."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

# Time constants of the averages, in seconds. Demand is the larger of the two:
# the fast one follows a burst, the slow one keeps endpoints after it.
FAST_S = 2.0
SLOW_S = 12.0


@attrs.frozen
class DemandTotals:
    """What a process has sent to a service since its start.

    Attributes:
      requests: Requests.
      read_tokens: Prompt tokens that endpoints had to read.
    """

    requests: int = 0
    read_tokens: int = 0


@attrs.frozen
class DemandRates:
    """Demand per second.

    Attributes:
      requests_per_s: Requests.
      read_tokens_per_s: Prompt tokens that endpoints have to read.
    """

    requests_per_s: float = 0.0
    read_tokens_per_s: float = 0.0


class _Average:
    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self.value = 0.0

    def add(self, rate: float, elapsed_s: float) -> None:
        weight = 1 - math.exp(-elapsed_s / self._time_constant_s)
        self.value += weight * (rate - self.value)


class _Series:
    """Averages of one figure."""

    def __init__(self) -> None:
        self._fast = _Average(FAST_S)
        self._slow = _Average(SLOW_S)

    def add(self, rate: float, elapsed_s: float) -> None:
        self._fast.add(rate, elapsed_s)
        self._slow.add(rate, elapsed_s)

    @property
    def value(self) -> float:
        return max(self._fast.value, self._slow.value)


class ReplicaDemand:
    """Demand for one service from the totals of all processes.

    Args:
      now_s: Monotonic time in seconds.
    """

    def __init__(self, now_s: float) -> None:
        self._totals: dict[tuple[str, int], DemandTotals] = {}
        self._pending = DemandTotals()
        self._updated_s = now_s
        self._loaded_since_s: float | None = None
        self._requests = _Series()
        self._tokens = _Series()

    def report(self, node: str, incarnation: int, totals: DemandTotals) -> None:
        """Takes the totals of a process."""
        key = (node, incarnation)
        known = self._totals.get(key)
        self._totals[key] = totals
        if known is None:
            # The first totals of a process may span any time.
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
            if pending.read_tokens and self._loaded_since_s is None:
                self._loaded_since_s = now_s
            self._requests.add(pending.requests / elapsed_s, elapsed_s)
            self._tokens.add(pending.read_tokens / elapsed_s, elapsed_s)
        return DemandRates(self._requests.value, self._tokens.value)

    def load_age_s(self, now_s: float) -> float:
        """Returns the time since the first prompt was seen; 0 before it.

        Requests without a prompt, such as those that test a route, say
        nothing about the load to come.
        """
        if self._loaded_since_s is None:
            return 0.0
        return now_s - self._loaded_since_s

    def forget(self, processes: Iterable[tuple[str, int]]) -> None:
        """Drops processes that have ended."""
        for key in processes:
            self._totals.pop(key, None)
