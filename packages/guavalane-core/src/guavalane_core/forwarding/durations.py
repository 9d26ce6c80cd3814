"""Durations of requests by route, measured by a node."""

from __future__ import annotations

import math
from collections import OrderedDict, deque

import attrs

# Number of latest requests per route, and of routes, that are kept.
MAX_SAMPLES = 32
MAX_ROUTES = 256
# Quantile of the measured durations that an estimate uses.
ESTIMATE_QUANTILE = 0.9


@attrs.frozen
class _Sample:
    """Duration of one request.

    Attributes:
      start_s: Time to the response, or to the first event of a stream.
      token_s: Rest of the duration per output token that was expected.
    """

    start_s: float
    token_s: float


class RouteDurations:
    """Estimates how long a request will take from earlier ones of its route."""

    def __init__(self) -> None:
        self._samples: OrderedDict[str, deque[_Sample]] = OrderedDict()

    def record(
        self,
        route: str,
        elapsed_s: float,
        *,
        first_event_s: float | None = None,
        expected_tokens: int = 0,
    ) -> None:
        """Records a request that has ended.

        Args:
          route: Name of the route.
          elapsed_s: Duration in seconds.
          first_event_s: Time to the first event of a stream in seconds.
          expected_tokens: Output tokens that were expected at its start.
        """
        if first_event_s is None or expected_tokens <= 0:
            sample = _Sample(elapsed_s, 0.0)
        else:
            rest_s = max(0.0, elapsed_s - first_event_s)
            sample = _Sample(first_event_s, rest_s / expected_tokens)
        samples = self._samples.setdefault(route, deque(maxlen=MAX_SAMPLES))
        samples.append(sample)
        self._samples.move_to_end(route)
        if len(self._samples) > MAX_ROUTES:
            self._samples.popitem(last=False)

    def estimate_s(self, route: str, expected_tokens: int = 0) -> float | None:
        """Returns the expected duration of a request in seconds.

        Args:
          route: Name of the route.
          expected_tokens: Output tokens that are still expected.

        Returns:
          Duration that few requests exceed; None if none was measured.
        """
        samples = self._samples.get(route)
        if not samples:
            return None
        start_s = _quantile([sample.start_s for sample in samples])
        token_s = _quantile([sample.token_s for sample in samples])
        return start_s + token_s * expected_tokens


def _quantile(values: list[float]) -> float:
    rank = math.ceil(ESTIMATE_QUANTILE * len(values))
    return sorted(values)[rank - 1]
