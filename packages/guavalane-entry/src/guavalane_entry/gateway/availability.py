"""Availability of the object API, shared by the watches of all kinds."""

from __future__ import annotations

import asyncio


class ApiAvailability:
    """Wakes the watches of all kinds once the object API answers one of them.

    Otherwise each kind would detect the end of an outage by itself, later than
    the first one by up to the maximum backoff plus a call timeout.
    """

    def __init__(self) -> None:
        self._lost: set[str] = set()
        self._is_recovered = False
        self._recovered = asyncio.Event()

    def mark_failing(self, kind: str) -> None:
        """Records that calls for a kind fail."""
        if not self._lost:
            self._is_recovered = False
        self._lost.add(kind)

    def mark_recovered(self, kind: str) -> None:
        """Records that a call for a failing kind succeeded.

        Only the first success in an outage wakes the other kinds. Kinds that
        keep failing are not retried on each later success of another kind.
        """
        self._lost.discard(kind)
        if not self._is_recovered:
            self._is_recovered = True
            self._recovered.set()
            self._recovered = asyncio.Event()

    def is_prober(self, kind: str) -> bool:
        """Returns whether this kind probes the object API for all kinds."""
        return kind == min(self._lost, default=None)

    async def wait_recovered(self) -> None:
        """Waits until the object API answers again."""
        await self._recovered.wait()
