"""Limit of hedged attempts as a share of the requests."""

from __future__ import annotations

# Hedged attempts that requests without one can save up. It bounds the
# additional load when many requests become slow at the same time.
MAX_BALANCE = 5.0
# Binary fractions such as 0.02 do not add up to exactly 1.
ROUNDING = 1e-9


class HedgeBudget:
    """Credit that requests earn and hedged attempts use.

    At any time, the hedged attempts are at most `max_extra` times the requests
    counted before. No time enters, so the limit holds for any rate.

    Args:
      max_extra: Hedged attempts per request; 0 for none, 1 for no limit.
    """

    def __init__(self, max_extra: float) -> None:
        self._max_extra = max_extra
        self._balance = 0.0

    @property
    def max_extra(self) -> float:
        """Hedged attempts per request."""
        return self._max_extra

    def set_limit(self, max_extra: float) -> None:
        """Changes the limit.

        Credit earned under a higher limit is discarded, since it would exceed
        the lower one.
        """
        if max_extra < self._max_extra:
            self._balance = 0.0
        self._max_extra = max_extra

    def on_request(self) -> None:
        """Counts a request."""
        self._balance = min(MAX_BALANCE, self._balance + self._max_extra)

    def may_spend(self) -> bool:
        """Returns whether one more hedged attempt is within the limit."""
        return self._max_extra >= 1 or self._balance + ROUNDING >= 1

    def spend(self) -> None:
        """Counts a hedged attempt."""
        self._balance = max(0.0, self._balance - 1.0)
