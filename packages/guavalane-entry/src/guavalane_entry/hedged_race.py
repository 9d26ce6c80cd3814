"""Race of an attempt and a hedged one, of which one result is used."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers

T = TypeVar("T")


class Entrant:
    """One attempt of a race.

    Args:
      race: Race.
      is_hedge: Whether it is the hedged attempt.
    """

    def __init__(self, race: HedgedRace, is_hedge: bool) -> None:
        self._race = race
        self._is_hedge = is_hedge

    @property
    def is_hedge(self) -> bool:
        """Whether this is the hedged attempt."""
        return self._is_hedge

    @property
    def has_won(self) -> bool:
        """Whether this attempt has won."""
        return self._race.winner is self

    @property
    def has_lost(self) -> bool:
        """Whether the other attempt has won."""
        return self._race.winner not in (None, self)

    async def claim(self) -> None:
        """Wins the race: the other attempt has ended when it returns.

        An attempt calls it before anything of its result is used.

        Raises:
          CancelledError: The other attempt has won.
        """
        await self._race.claim(self)


Attempt = Callable[[Entrant], Awaitable[T]]


class HedgedRace(Generic[T]):
    """Runs an attempt and, if it is slow, a second one beside it.

    The first attempt that claims the race wins; the other one is cancelled. An
    attempt that ends without a claim has failed and leaves the other running.

    Args:
      timers: Timer service.
      delay_s: Time after which a hedged attempt is considered, in seconds.
      make_hedge: Returns the hedged attempt, or None if none is made.
    """

    def __init__(
        self,
        timers: Timers,
        delay_s: float,
        make_hedge: Callable[[], Attempt[T] | None],
    ) -> None:
        self._timers = timers
        self._delay_s = delay_s
        self._make_hedge = make_hedge
        self._tasks: dict[Entrant, asyncio.Task[T]] = {}
        # Tasks in the order in which they ended.
        self._ended: list[asyncio.Task[T]] = []
        self._winner: Entrant | None = None

    @property
    def winner(self) -> Entrant | None:
        """Attempt that has won; None before."""
        return self._winner

    async def run(self, first: Attempt[T]) -> list[asyncio.Task[T]]:
        """Runs the race to its end.

        If it is cancelled, both attempts are.

        Returns:
          The task of the winner, or without a winner the tasks of all attempts
          in the order in which they ended.
        """
        self._start(first, is_hedge=False)
        timer = asyncio.ensure_future(self._timers.sleep(self._delay_s))
        try:
            await asyncio.wait(
                {*self._tasks.values(), timer},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if self._is_undecided():
                hedge = self._make_hedge()
                if hedge is not None:
                    self._start(hedge, is_hedge=True)
            return await self._wait_for_end()
        finally:
            await cancel_tasks(timer, *self._tasks.values())
            # The attempts refer to the race. Without these references, their
            # results are freed at once and not by the garbage collector.
            self._tasks = {}
            self._ended = []

    async def claim(self, entrant: Entrant) -> None:
        """Lets an attempt win; see `Entrant.claim`."""
        if self._winner is None:
            self._winner = entrant
            others = [e for e in self._tasks if e is not entrant]
            await cancel_tasks(*(self._tasks[e] for e in others))
        elif self._winner is not entrant:
            raise asyncio.CancelledError

    def _start(self, attempt: Attempt[T], *, is_hedge: bool) -> None:
        entrant = Entrant(self, is_hedge)
        task = asyncio.ensure_future(attempt(entrant))
        task.add_done_callback(self._ended.append)
        self._tasks[entrant] = task

    def _is_undecided(self) -> bool:
        has_ended = any(task.done() for task in self._tasks.values())
        return self._winner is None and not has_ended

    async def _wait_for_end(self) -> list[asyncio.Task[T]]:
        running = set(self._tasks.values())
        while running:
            _, running = await asyncio.wait(
                running, return_when=asyncio.FIRST_COMPLETED
            )
            if self._winner is not None:
                winner = self._tasks[self._winner]
                await asyncio.wait({winner})
                return [winner]
        return self._ended
