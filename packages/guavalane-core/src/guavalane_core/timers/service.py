"""Timer service interface."""

from __future__ import annotations

import abc
import random
from collections.abc import Callable

Callback = Callable[[], None]


class Subscription:
    """Handle of a scheduled callback."""

    def __init__(self) -> None:
        self._cancelled = False

    @property
    def cancelled(self) -> bool:
        """Whether the callback will not run again."""
        return self._cancelled

    def cancel(self) -> None:
        """Cancels the callback. Repeated calls have no effect."""
        self._cancelled = True


class Timers(abc.ABC):
    """Provides the current time and schedules callbacks."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic time in seconds."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns wall time in seconds since the epoch."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Sleeps for a number of seconds."""

    @abc.abstractmethod
    def _schedule(self, delay_s: float, callback: Callback) -> None:
        """Runs the callback once after a delay in seconds."""

    def call_later(self, delay_s: float, callback: Callback) -> Subscription:
        """Schedules a callback to run once.

        Args:
          delay_s: Delay in seconds.
          callback: Function without arguments.
        """
        subscription = Subscription()

        def run() -> None:
            if not subscription.cancelled:
                subscription.cancel()
                callback()

        self._schedule(delay_s, run)
        return subscription

    def call_every(
        self,
        period_s: float,
        callback: Callback,
        *,
        jitter: float = 0.0,
        rng: random.Random | None = None,
    ) -> Subscription:
        """Schedules a callback to run periodically.

        Args:
          period_s: Period in seconds.
          callback: Function without arguments.
          jitter: Fraction of the period by which each interval varies, 0 to 1.
          rng: Random number generator for the jitter.
        """
        subscription = Subscription()
        rng = rng or random.Random()

        def delay() -> float:
            return period_s * (1 + jitter * (2 * rng.random() - 1))

        def run() -> None:
            if subscription.cancelled:
                return
            # Scheduled first, so that an exception in the callback does not
            # stop the timer.
            self._schedule(delay(), run)
            callback()

        self._schedule(delay(), run)
        return subscription
