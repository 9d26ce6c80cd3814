"""Time in which what a restored object API has lost is written again."""

from __future__ import annotations

from collections.abc import Callable

from guavalane_core.timers import Subscription, Timers

# Time after a return of the object API from a copy in which operators and nodes
# write again what it has lost, in seconds.
RESTORE_PERIOD_S = 5.0


class RestorePeriod:
    """Period after a return of the object API from a copy.

    Args:
      timers: Timer service.
      on_end: Called at its end.
    """

    def __init__(self, timers: Timers, on_end: Callable[[], None]) -> None:
        self._timers = timers
        self._on_end = on_end
        self._end: Subscription | None = None

    @property
    def is_active(self) -> bool:
        """Whether lost objects may still be written again."""
        return self._end is not None

    def begin(self) -> None:
        """Begins the period, or begins it anew."""
        if self._end is not None:
            self._end.cancel()
        self._end = self._timers.call_later(RESTORE_PERIOD_S, self._finish)

    def _finish(self) -> None:
        self._end = None
        self._on_end()
