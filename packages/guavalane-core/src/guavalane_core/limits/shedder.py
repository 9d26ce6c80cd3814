"""Load shedding."""

from __future__ import annotations

import enum

# Weight of the newest sample in the exponentially weighted moving average.
EWMA_WEIGHT = 0.1


class ShedDecision(enum.Enum):
    """Decision on a request that cannot start immediately."""

    WAIT = "wait"
    REPLACE = "replace"
    OVERLOADED = "overloaded"
    UNREACHABLE = "unreachable"


class Shedder:
    """Rejects requests early that would miss their deadline in the queue.

    The expected wait is computed from the mean time that a request occupies a
    slot, the number of slots, and the organisation's share. Until the first
    request has ended, it is taken as 0.

    Args:
      queue_limit: Maximum number of queued requests per organisation.
    """

    def __init__(self, queue_limit: int) -> None:
        self._queue_limit = queue_limit
        self._mean_hold_s: float | None = None

    @property
    def mean_hold_s(self) -> float:
        """Mean time that a request occupies a slot, in seconds."""
        return self._mean_hold_s or 0.0

    def on_end(self, hold_s: float) -> None:
        """Updates the mean with a request that ended.

        Args:
          hold_s: Time that the request occupied a slot, in seconds.
        """
        if self._mean_hold_s is None:
            self._mean_hold_s = hold_s
        else:
            self._mean_hold_s += EWMA_WEIGHT * (hold_s - self._mean_hold_s)

    def expected_wait_s(self, ahead: int, slots: int, share: float) -> float:
        """Returns the expected time until a new request starts, in seconds.

        Args:
          ahead: Requests of the same organisation that are ahead of it.
          slots: Maximum number of concurrent requests.
          share: Fraction of the slots that the organisation gets.
        """
        return (ahead + 1) * self.mean_hold_s / max(slots * share, 1e-9)

    def decide(
        self,
        *,
        waiting: int,
        less_urgent_waiting: bool,
        expected_wait_s: float,
        remaining_s: float,
    ) -> ShedDecision:
        """Decides on a request that cannot start immediately.

        Args:
          waiting: Queued requests of the same organisation.
          less_urgent_waiting: Whether one of them is less urgent.
          expected_wait_s: Expected time until the request starts, in seconds.
          remaining_s: Time until the request's deadline, in seconds.
        """
        if expected_wait_s >= remaining_s:
            return ShedDecision.UNREACHABLE
        if waiting < self._queue_limit:
            return ShedDecision.WAIT
        # A less urgent request, such as batch work, gives way to an
        # interactive one.
        return (
            ShedDecision.REPLACE
            if less_urgent_waiting
            else ShedDecision.OVERLOADED
        )
