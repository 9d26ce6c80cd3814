"""Retry budget as a percentage of the requests."""

from __future__ import annotations

MIN_RETRIES_PER_S = 1.0
# A node at 55 requests/s has about 20 requests waiting for their first token.
# The loss of one of three zones fails about 7 of them at once.
MAX_BALANCE = 10.0


class RetryBudget:
    """Token bucket that requests fill and retries drain.

    In any span of T seconds with N requests, at most
    `MAX_BALANCE + N * percent / 100 + MIN_RETRIES_PER_S * (T + 1)` retries are
    allowed.

    Args:
      percent: Allowed retries per 100 requests.
      now_s: Current monotonic time in seconds.
    """

    def __init__(self, percent: float, now_s: float) -> None:
        self._per_request = percent / 100
        self._balance = 0.0
        self._min_rate_balance = MIN_RETRIES_PER_S
        self._refilled_s = now_s

    @property
    def balance(self) -> float:
        """Retries available from past requests."""
        return self._balance

    def on_request(self) -> None:
        """Adds the fraction of a retry that one request earns."""
        self._balance = min(MAX_BALANCE, self._balance + self._per_request)

    def try_spend(self, now_s: float) -> bool:
        """Spends one retry; returns whether one was available."""
        if self._balance >= 1.0:
            self._balance -= 1.0
            return True
        elapsed = max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        # The minimum rate accumulates over at most one second, so that idle
        # time does not build up a burst.
        self._min_rate_balance = min(
            MIN_RETRIES_PER_S,
            self._min_rate_balance + elapsed * MIN_RETRIES_PER_S,
        )
        if self._min_rate_balance >= 1.0:
            self._min_rate_balance -= 1.0
            return True
        return False
