"""What the copies of several kinds know together about the object API."""

from __future__ import annotations

import asyncio


class ApiAvailability:
    """Tells all copies that the object API is back once it answers one.

    After a common outage each kind would otherwise find out by itself, up to
    the longest delay and a call's time-out later than the first.
    """

    def __init__(self) -> None:
        self._lost: set[str] = set()
        self._is_back = False
        self._returned = asyncio.Event()

    def lose(self, kind: str) -> None:
        """Notes that calls about a kind fail."""
        if not self._lost:
            self._is_back = False
        self._lost.add(kind)

    def regain(self, kind: str) -> None:
        """Notes that a call about a lost kind was answered.

        Only the first answer in an outage wakes the others. Kinds that go on
        failing are thus not retried at each answer about another.
        """
        self._lost.discard(kind)
        if not self._is_back:
            self._is_back = True
            self._returned.set()
            self._returned = asyncio.Event()

    def is_prober(self, kind: str) -> bool:
        """Returns whether a kind is the one that is to be tried often."""
        return kind == min(self._lost, default=None)

    async def wait_return(self) -> None:
        """Waits for the next return of the object API."""
        await self._returned.wait()
