"""Manually advanced timers for tests and trace replay."""

from __future__ import annotations

import asyncio
import heapq
import itertools

from guavalane_core.timers.service import Callback, Timers

# Initial wall time of manual timers, in seconds since the epoch.
START_WALL_S = 1_700_000_000.0


class ManualTimers(Timers):
    """Timer service whose time changes only when `advance` is called."""

    def __init__(self) -> None:
        self._now = 0.0
        self._wall_offset = START_WALL_S
        self._queue: list[tuple[float, int, Callback]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return self._now

    def wall(self) -> float:
        """Returns wall time in seconds since the epoch."""
        return self._now + self._wall_offset

    def step_wall(self, seconds: float) -> None:
        """Steps the wall clock; monotonic time is unaffected."""
        self._wall_offset += seconds

    async def sleep(self, seconds: float) -> None:
        """Sleeps until time has advanced by a number of seconds."""
        future = asyncio.get_running_loop().create_future()

        def wake() -> None:
            if not future.done():
                future.set_result(None)

        self._schedule(seconds, wake)
        await future

    def advance(self, seconds: float) -> None:
        """Advances time and runs due callbacks in order."""
        end = self._now + seconds
        while self._queue and self._queue[0][0] <= end:
            due, _, callback = heapq.heappop(self._queue)
            self._now = max(self._now, due)
            callback()
        self._now = end

    async def run_for(self, seconds: float, step_s: float = 0.01) -> None:
        """Advances time in steps and lets tasks run after each step."""
        end = self._now + seconds
        while self._now < end:
            self.advance(min(step_s, end - self._now))
            for _ in range(5):
                await asyncio.sleep(0)

    def _schedule(self, delay_s: float, callback: Callback) -> None:
        entry = (self._now + max(0.0, delay_s), next(self._order), callback)
        heapq.heappush(self._queue, entry)
