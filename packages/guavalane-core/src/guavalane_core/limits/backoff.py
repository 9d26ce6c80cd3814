"""Backoff between retries."""

from __future__ import annotations

import random

INITIAL_DELAY_S = 0.025
MAX_DELAY_S = 1.0


class Backoff:
    """Exponential backoff with full jitter.

    Full jitter spreads the retries of callers that failed at the same time
    over the whole delay, so that they do not arrive in one burst.

    Args:
      rng: Random number generator for the jitter.
      initial_delay_s: Upper bound of the first delay, in seconds.
      max_delay_s: Upper bound of all delays, in seconds.
    """

    def __init__(
        self,
        rng: random.Random | None = None,
        initial_delay_s: float = INITIAL_DELAY_S,
        max_delay_s: float = MAX_DELAY_S,
    ) -> None:
        self._rng = rng or random.Random()
        self._initial_delay_s = initial_delay_s
        self._max_delay_s = max_delay_s

    def delay_s(self, failures: int) -> float:
        """Returns the delay in seconds after one or more failures."""
        # The exponent is bounded to prevent an overflow.
        exponent = min(failures - 1, 30)
        bound = min(self._max_delay_s, self._initial_delay_s * 2**exponent)
        return self._rng.uniform(0.0, bound)
