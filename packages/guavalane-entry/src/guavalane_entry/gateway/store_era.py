"""Era of the object API, shared by all parts of a node that use it."""

from __future__ import annotations

import asyncio

from guavalane_core.timers import Timers


class StoreEra:
    """Latest era seen in a response of the object API.

    An object API that comes back from an older copy begins a new era. What it
    acknowledged shortly before may be missing then.

    Args:
      timers: Timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._era = 0
        self._since_s = timers.now()
        self._risen = asyncio.Event()

    @property
    def era(self) -> int:
        """Latest era; 0 without one."""
        return self._era

    @property
    def age_s(self) -> float:
        """Time since this node first heard of the era, in seconds."""
        return self._timers.now() - self._since_s

    def observe(self, era: int) -> None:
        """Records the era of a response."""
        if era > self._era:
            self._era = era
            self._since_s = self._timers.now()
            self._risen.set()
            self._risen = asyncio.Event()

    async def wait_above(self, era: int) -> None:
        """Waits until a later era than a known one has begun."""
        while self._era <= era:
            await self._risen.wait()
