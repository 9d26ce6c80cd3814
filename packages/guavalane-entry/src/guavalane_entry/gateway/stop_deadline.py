"""Time left for the requests of a node that stops."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

from guavalane_core.timers import Timers


class StopDeadline:
    """Time by which a stopping node has to send all final responses.

    Args:
      timers: Timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._end_s: float | None = None
        self._timeouts: set[asyncio.Timeout] = set()

    @property
    def left_s(self) -> float:
        """Time left in seconds; infinite unless the node stops."""
        if self._end_s is None:
            return math.inf
        return self._end_s - self._timers.now()

    def begin(self, left_s: float) -> None:
        """Sets the time left, also for the work in progress."""
        self._end_s = self._timers.now() + left_s
        end_s = asyncio.get_running_loop().time() + left_s
        for timeout in self._timeouts:
            planned_s = timeout.when()
            if planned_s is None or planned_s > end_s:
                timeout.reschedule(end_s)

    @contextlib.asynccontextmanager
    async def limit(self, limit_s: float = math.inf) -> AsyncIterator[None]:
        """Ends the work in its block at the deadline or after a time.

        Args:
          limit_s: Longest time in seconds.

        Raises:
          TimeoutError: The time has passed.
        """
        limit_s = max(0.0, min(limit_s, self.left_s))
        async with asyncio.timeout(
            None if math.isinf(limit_s) else limit_s
        ) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)
