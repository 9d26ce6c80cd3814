"""Times to the first response of attempts, by route and prompt size."""

from __future__ import annotations

import math
from collections import OrderedDict, deque

import attrs

# Attempts after which the times of a class of requests are used. Of fewer, a
# high quantile would be the slowest or second slowest.
MIN_SAMPLES = 20
# Latest attempts per class, and number of classes, that are kept.
MAX_SAMPLES = 256
MAX_CLASSES = 256
# Interval at which a quantile is computed again, in seconds.
REFRESH_PERIOD_S = 1.0
# Each class of prompts spans a factor of 2 to this power in uncached tokens,
# with which the time to the first token grows.
CLASS_FACTOR_BITS = 2
# Bounds of the quantile after which a hedged attempt is made. The lower one is
# not used for every limit: in a replay, a small limit was then used up by
# requests that would have ended soon.
MIN_QUANTILE = 0.9
MAX_QUANTILE = 0.99


def delay_quantile(max_extra: float) -> float:
    """Returns the quantile of first response times to wait for.

    With a limit of 2 % extra, the slowest 2 % of the requests are hedged. An
    earlier start would use up the limit before the slowest ones are reached.

    Args:
      max_extra: Hedged attempts per request.
    """
    return min(MAX_QUANTILE, max(MIN_QUANTILE, 1.0 - max_extra))


@attrs.define
class _Times:
    """Latest times of one class, in seconds."""

    samples: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    quantile: float = 0.0
    delay_s: float = 0.0
    refreshed_s: float = -math.inf


class FirstResponseTimes:
    """Times to the first response byte, or to the first event of a stream."""

    def __init__(self) -> None:
        self._classes: OrderedDict[tuple[str, int], _Times] = OrderedDict()

    def record(self, route: str, uncached_tokens: int, seconds: float) -> None:
        """Records the time of an attempt.

        An attempt that was cancelled as the slower one counts with the time
        for which it ran. Without it, the quantile would fall with each hedged
        attempt.

        Args:
          route: Name of the route.
          uncached_tokens: Prompt tokens that the endpoint had to process.
          seconds: Time from sending to the first response.
        """
        key = _class_of(route, uncached_tokens)
        times = self._classes.get(key)
        if times is None:
            times = self._classes[key] = _Times()
        self._classes.move_to_end(key)
        times.samples.append(seconds)
        if len(self._classes) > MAX_CLASSES:
            self._classes.popitem(last=False)

    def delay_s(
        self, route: str, uncached_tokens: int, quantile: float, now_s: float
    ) -> float | None:
        """Returns a quantile of the times of requests of one class.

        Args:
          route: Name of the route.
          uncached_tokens: Prompt tokens that the endpoint has to process.
          quantile: Quantile, from 0 to 1.
          now_s: Monotonic time in seconds.

        Returns:
          Time in seconds; None if too few attempts are known.
        """
        times = self._classes.get(_class_of(route, uncached_tokens))
        if times is None or len(times.samples) < MIN_SAMPLES:
            return None
        is_old = now_s - times.refreshed_s >= REFRESH_PERIOD_S
        if is_old or quantile != times.quantile:
            rank = math.ceil(quantile * len(times.samples))
            times.delay_s = sorted(times.samples)[max(1, rank) - 1]
            times.quantile = quantile
            times.refreshed_s = now_s
        return times.delay_s


def _class_of(route: str, uncached_tokens: int) -> tuple[str, int]:
    bits = max(0, uncached_tokens).bit_length()
    return route, -(-bits // CLASS_FACTOR_BITS)
