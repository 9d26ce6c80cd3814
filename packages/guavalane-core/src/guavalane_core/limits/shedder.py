"""Decision which requests are refused under load."""

from __future__ import annotations

import enum

# Weight of the newest holding time in the moving average.
SMOOTHING = 0.1


class ShedDecision(enum.Enum):
    """What happens to a request that cannot start at once."""

    WAIT = "wait"
    REPLACE = "replace"
    OVERLOADED = "overloaded"
    UNREACHABLE = "unreachable"


class Shedder:
    """Refuses requests early that would be refused late.

    The expected wait follows from the mean time that a request holds its
    place, the number of places, and the share of the organisation. Until a
    first request has ended, the wait is unknown and taken as 0.

    Args:
      queue_limit: Requests of one organisation that may wait.
    """

    def __init__(self, queue_limit: int) -> None:
        self._queue_limit = queue_limit
        self._held_s: float | None = None

    @property
    def held_s(self) -> float:
        """Mean time that a request holds its place, in seconds."""
        return self._held_s or 0.0

    def on_end(self, held_s: float) -> None:
        """Learns from a request that ended.

        Args:
          held_s: Time that it held its place, in seconds.
        """
        if self._held_s is None:
            self._held_s = held_s
        else:
            self._held_s += SMOOTHING * (held_s - self._held_s)

    def expected_wait_s(self, ahead: int, places: int, share: float) -> float:
        """Returns the time until a new request would start, in seconds.

        Args:
          ahead: Requests of its organisation that go first.
          places: Requests that run at the same time.
          share: Part of the places that its organisation gets.
        """
        return (ahead + 1) * self.held_s / max(places * share, 1e-9)

    def decide(
        self,
        *,
        waiting: int,
        less_urgent_waiting: bool,
        expected_wait_s: float,
        remaining_s: float,
    ) -> ShedDecision:
        """Judges a request that would have to wait.

        Args:
          waiting: Requests of its organisation that wait.
          less_urgent_waiting: Whether one of them is less urgent than this one.
          expected_wait_s: Time until it would start, in seconds.
          remaining_s: Time left to its deadline, in seconds.
        """
        if expected_wait_s >= remaining_s:
            return ShedDecision.UNREACHABLE
        if waiting < self._queue_limit:
            return ShedDecision.WAIT
        # Batch work gives up its place to the request of a waiting person.
        return (
            ShedDecision.REPLACE
            if less_urgent_waiting
            else ShedDecision.OVERLOADED
        )
