"""A node's copy of one kind of objects."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Mapping
from typing import Any

from guavalane_core.exceptions import ObjectApiError, WatchGapError
from guavalane_core.objects import (
    ObjectEvent,
    PollableObjectApi,
    StoredObject,
)
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.gateway.availability import ApiAvailability
from guavalane_entry.gateway.decision_log import DecisionLog

# Longest wait of one call, in seconds. Each call has its price, and a broken
# connection shows by its keep-alive probes; but the object API keeps 20 s of
# history, and a kind without changes for longer would have to be listed again.
WAIT_S = 18.0
# First and longest delay before a failed call is repeated, in seconds. The
# longest is short against the time in which a change has to be in force.
FIRST_DELAY_S = 0.1
LONGEST_DELAY_S = 0.8
# Longest delay of the one kind that finds out for all that the object API is
# back, in seconds.
PROBE_DELAY_S = 0.4


class KindSink:
    """Receives the objects of one kind."""

    def replace_all(self, objects: list[StoredObject]) -> None:
        """Takes a complete list."""
        raise NotImplementedError

    def merge(self, objects: list[StoredObject]) -> None:
        """Takes the list of another node, which may be older."""
        self.replace_all(objects)

    def apply(self, event: ObjectEvent) -> None:
        """Takes one change."""
        raise NotImplementedError

    def lose(self) -> None:
        """Notes that the object API does not answer."""

    def regain(self) -> None:
        """Notes that the object API answers again."""


class KindWatch:
    """Lists a kind and then follows its changes.

    After a failed call it lists again: an object API that has dropped its
    history may hold a wait from an old version open without an event.

    Args:
      api: Object API.
      kind: Kind.
      sink: Receiver of objects.
      timers: Timer service.
      log: Log of decisions.
      rng: Source of jitter.
      contact: What the copies of other kinds know about the object API.
    """

    def __init__(
        self,
        api: PollableObjectApi,
        kind: str,
        sink: KindSink,
        timers: Timers,
        log: DecisionLog,
        rng: random.Random,
        contact: ApiAvailability | None = None,
    ) -> None:
        self._api = api
        self._kind = kind
        self._sink = sink
        self._timers = timers
        self._log = log
        self._rng = rng
        self._contact = contact or ApiAvailability()
        self._version: str | None = None
        self._answered_s: float | None = None
        self._lost_s: float | None = None
        self._failures = 0
        self._objects: dict[str, StoredObject] = {}
        self._task: asyncio.Task | None = None

    @property
    def listed(self) -> bool:
        """Whether the whole kind was read at least once."""
        return self._answered_s is not None

    @property
    def kind(self) -> str:
        """Kind that is followed."""
        return self._kind

    @property
    def objects(self) -> Mapping[str, StoredObject]:
        """Objects by name, as far as they are known."""
        return self._objects

    @property
    def lost(self) -> bool:
        """Whether the last call to the object API failed."""
        return self._lost_s is not None

    @property
    def lost_for_s(self) -> float:
        """Time since calls began to fail, in seconds; 0 if they do not."""
        if self._lost_s is None:
            return 0.0
        return self._timers.now() - self._lost_s

    @property
    def age_s(self) -> float:
        """Time since the object API last answered, in seconds."""
        if self._answered_s is None:
            return float("inf")
        return self._timers.now() - self._answered_s

    def start(self) -> None:
        """Starts to follow the kind."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops to follow the kind."""
        await cancel_tasks(self._task)

    def take_copy(self, objects: list[StoredObject]) -> None:
        """Takes the objects as another node knows them."""
        self._keep(objects)
        self._sink.merge(objects)

    def _keep(self, objects: list[StoredObject]) -> None:
        self._objects.clear()
        self._objects.update((stored.name, stored) for stored in objects)

    async def _run(self) -> None:
        while True:
            try:
                await self._attempt()
            except WatchGapError:
                self._log.event("store.gap", kind=self._kind)
                self._version = None
            except ObjectApiError as error:
                await self._wait_after(error)
                self._version = None

    async def _attempt(self) -> None:
        """Makes a step; a call that began in an outage ends with it."""
        is_lost = self._lost_s is not None
        if is_lost and await self._ends_before_return(self._step()):
            return
        await self._step()

    async def _ends_before_return(
        self, work: Coroutine[Any, Any, None]
    ) -> bool:
        """Runs work until the object API is back; tells whether it ended."""
        task = asyncio.create_task(work)
        signal = asyncio.create_task(self._contact.wait_return())
        try:
            await asyncio.wait(
                {task, signal}, return_when=asyncio.FIRST_COMPLETED
            )
            if task.done():
                task.result()
                return True
            return False
        finally:
            await cancel_tasks(task, signal)

    async def _step(self) -> None:
        if self._version is None:
            objects, version = await self._api.list(self._kind)
            self._answered()
            self._keep(objects)
            self._sink.replace_all(objects)
            self._version = version
            return
        batch = await self._api.poll(self._kind, self._version, WAIT_S)
        self._answered()
        for event in batch.events:
            self._apply(event)
        self._version = batch.version

    def _apply(self, event: ObjectEvent) -> None:
        if event.deleted:
            self._objects.pop(event.object.name, None)
        else:
            self._objects[event.object.name] = event.object
        self._sink.apply(event)

    def _answered(self) -> None:
        self._answered_s = self._timers.now()
        self._failures = 0
        if self._lost_s is not None:
            self._lost_s = None
            self._contact.regain(self._kind)
            self._log.event("store.regained", kind=self._kind)
            self._sink.regain()

    async def _wait_after(self, error: ObjectApiError) -> None:
        if self._lost_s is None:
            self._lost_s = self._timers.now()
            self._contact.lose(self._kind)
            self._log.event(
                "store.lost",
                kind=self._kind,
                reason=str(error),
                version=self._version,
            )
            self._sink.lose()
        is_prober = self._contact.is_prober(self._kind)
        longest_s = PROBE_DELAY_S if is_prober else LONGEST_DELAY_S
        delay_s = min(longest_s, FIRST_DELAY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        pause = self._timers.sleep(delay_s * (0.5 + self._rng.random()))
        await self._ends_before_return(pause)
