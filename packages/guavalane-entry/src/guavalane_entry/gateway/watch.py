"""Watch that keeps a local copy of one kind of objects."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

from loguru import logger as log

from guavalane_core.exceptions import ObjectApiError, WatchGapError
from guavalane_core.objects import (
    ObjectEvent,
    PollableObjectApi,
    StoredObject,
    era_of,
)
from guavalane_core.tasks import cancel_tasks, start_supervised
from guavalane_core.timers import Timers
from guavalane_entry.gateway.availability import ApiAvailability
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.store_era import StoreEra

# Longest wait of one poll, in seconds. Long polls save calls to the object API,
# which are rate-limited. TCP keep-alive probes detect most broken connections;
# the polls of urgent kinds are shorter (see `RelayedObjectApi`).
# The object API keeps 20 s of history: after a longer wait without changes, the
# kind would have to be listed again.
POLL_WAIT_S = 18.0
# Initial and maximum backoff after a failed call, in seconds. The maximum is
# short compared with the time within which a change must take effect.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# Maximum backoff of the kind that probes for the end of an outage on behalf of
# all kinds, in seconds.
MAX_PROBE_BACKOFF_S = 0.4


def latest_era(objects: Iterable[StoredObject]) -> int:
    """Returns the latest era of the versions of objects; 0 without any."""
    return max((era_of(stored.version) for stored in objects), default=0)


class KindSink:
    """Receiver of the objects of one kind."""

    def replace_all(self, objects: list[StoredObject]) -> None:
        """Replaces all objects with a complete list."""
        raise NotImplementedError

    def merge(self, objects: list[StoredObject]) -> None:
        """Merges the list of a peer, which may be outdated."""
        self.replace_all(objects)

    def apply(self, event: ObjectEvent) -> None:
        """Applies one change."""
        raise NotImplementedError

    def to_copy(
        self, objects: Mapping[str, StoredObject]
    ) -> Iterable[StoredObject]:
        """Returns the objects that a peer gets, which are not always the last.

        Args:
          objects: Objects that were read last, by name.
        """
        return objects.values()

    def on_restored(self) -> None:
        """Called before the first list of an object API that is restored.

        What it acknowledged shortly before may be missing from the list, or
        older in it, and is partly written again.
        """

    def on_api_lost(self) -> None:
        """Called when the object API stops answering."""

    def on_api_recovered(self) -> None:
        """Called when the object API answers again."""


class KindWatch:
    """Lists a kind and then polls for its changes.

    After a failed call it lists again: an object API that has dropped its
    history may keep a poll from an old version open without any event. It also
    lists again as soon as any response tells of a new era, as its version is
    then that of another history.

    Args:
      api: Object API.
      kind: Kind.
      sink: Receiver of objects.
      timers: Timer service.
      log: Decision log.
      rng: Source of jitter.
      availability: Availability of the object API, shared with the other kinds.
      store_era: Era of the object API, shared with the other kinds.
      on_change: Called at each change with the time since the previous response
          in seconds, which is the greatest possible age of the change.
    """

    def __init__(
        self,
        api: PollableObjectApi,
        kind: str,
        sink: KindSink,
        timers: Timers,
        log: DecisionLog,
        rng: random.Random,
        availability: ApiAvailability | None = None,
        on_change: Callable[[float], None] | None = None,
        store_era: StoreEra | None = None,
    ) -> None:
        self._api = api
        self._kind = kind
        self._sink = sink
        self._timers = timers
        self._log = log
        self._rng = rng
        self._availability = availability or ApiAvailability()
        self._store_era = store_era or StoreEra(timers)
        # Eras of the last list and of the last copy of a peer.
        self._era = 0
        self._copy_era = 0
        self._on_change = on_change
        self._version: str | None = None
        self._last_response_s: float | None = None
        self._lost_since_s: float | None = None
        self._failures = 0
        self._objects: dict[str, StoredObject] = {}
        self._task: asyncio.Task | None = None

    @property
    def listed(self) -> bool:
        """Whether the kind was listed at least once."""
        return self._last_response_s is not None

    @property
    def kind(self) -> str:
        """Kind that is watched."""
        return self._kind

    @property
    def objects(self) -> Mapping[str, StoredObject]:
        """Known objects by name."""
        return self._objects

    @property
    def era(self) -> int:
        """Latest era of the object API that the objects are of."""
        return max(self._era, self._copy_era)

    def copy(self) -> list[StoredObject]:
        """Returns the objects for a peer that asks for them."""
        return list(self._sink.to_copy(self._objects))

    @property
    def lost(self) -> bool:
        """Whether the last call to the object API failed."""
        return self._lost_since_s is not None

    @property
    def lost_for_s(self) -> float:
        """Duration of the current outage in seconds; 0 without one."""
        if self._lost_since_s is None:
            return 0.0
        return self._timers.now() - self._lost_since_s

    @property
    def age_s(self) -> float:
        """Time since the object API last answered, in seconds."""
        if self._last_response_s is None:
            return float("inf")
        return self._timers.now() - self._last_response_s

    def start(self) -> None:
        """Starts the watch."""
        self._task = start_supervised(f"watch of {self._kind}", self._run)

    async def stop(self) -> None:
        """Stops the watch."""
        await cancel_tasks(self._task)

    def refresh(self) -> None:
        """Lists the kind again instead of waiting for the current poll.

        During an outage it does nothing, as the kind is listed after it anyway.
        """
        if self._task is None or self.lost:
            return
        self._task.cancel()
        self._version = None
        self.start()

    def merge_copy(self, objects: list[StoredObject]) -> None:
        """Replaces the objects with the copy of a peer."""
        self._copy_era = latest_era(objects)
        self._store_objects(objects)
        self._sink.merge(objects)

    def _store_objects(self, objects: list[StoredObject]) -> None:
        self._objects.clear()
        self._objects.update((stored.name, stored) for stored in objects)

    async def _run(self) -> None:
        while True:
            try:
                await self._step_unless_interrupted()
            except WatchGapError:
                self._log.event("store.gap", kind=self._kind)
                self._version = None
            except ObjectApiError as error:
                await self._back_off(error)
                self._version = None
            except Exception as error:
                # An object that a decoder fails on must not end the watch.
                log.opt(exception=error).error(
                    "watch: step for {} failed", self._kind
                )
                await self._back_off(ObjectApiError(repr(error)))
                self._version = None

    async def _step_unless_interrupted(self) -> None:
        """Runs a step; restarts it on recovery and in a new era."""
        if self.lost:
            signal = self._availability.wait_recovered()
        elif self._version is not None:
            signal = self._store_era.wait_above(era_of(self._version))
        else:
            await self._step()
            return
        if not await self._completes_before(signal, self._step()):
            self._version = None
            await self._step()

    async def _completes_before(
        self,
        signal: Coroutine[Any, Any, None],
        work: Coroutine[Any, Any, None],
    ) -> bool:
        """Runs work until a signal.

        Returns:
          Whether the work completed before that.
        """
        tasks = asyncio.create_task(work), asyncio.create_task(signal)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if tasks[0].done():
                tasks[0].result()
                return True
            return False
        finally:
            await cancel_tasks(*tasks)

    async def _step(self) -> None:
        if self._version is None:
            objects, version = await self._api.list(self._kind)
            if self.listed and self._differ(objects):
                self._record_change(len(objects))
            self._on_era(era_of(version))
            self._on_response()
            self._store_objects(objects)
            self._sink.replace_all(objects)
            self._version = version
            return
        batch = await self._api.poll(self._kind, self._version, POLL_WAIT_S)
        if era_of(batch.version) != era_of(self._version):
            raise WatchGapError(
                f"{self._kind}: {batch.version} is of a new era"
            )
        if batch.events:
            self._record_change(len(batch.events))
        self._on_response()
        for event in batch.events:
            self._apply(event)
        self._version = batch.version

    def _on_era(self, era: int) -> None:
        """Records the era of a list."""
        if (self.listed or self._objects) and era > self._era:
            self._log.event(
                "store.restored", kind=self._kind, era=era, previous=self._era
            )
            self._sink.on_restored()
        self._era = era
        self._store_era.observe(era)

    def _apply(self, event: ObjectEvent) -> None:
        if event.deleted:
            self._objects.pop(event.object.name, None)
        else:
            self._objects[event.object.name] = event.object
        self._sink.apply(event)

    def _differ(self, objects: list[StoredObject]) -> bool:
        versions = {stored.name: stored.version for stored in objects}
        known = {name: o.version for name, o in self._objects.items()}
        return versions != known

    def _record_change(self, objects: int) -> None:
        self._log.event(
            "watch.changed",
            kind=self._kind,
            objects=objects,
            age_s=round(self.age_s, 3),
        )
        if self._on_change is not None:
            self._on_change(self.age_s)

    def _on_response(self) -> None:
        self._last_response_s = self._timers.now()
        self._failures = 0
        if self._lost_since_s is not None:
            self._lost_since_s = None
            self._availability.mark_recovered(self._kind)
            self._log.event("store.regained", kind=self._kind)
            self._sink.on_api_recovered()

    async def _back_off(self, error: ObjectApiError) -> None:
        if self._lost_since_s is None:
            self._lost_since_s = self._timers.now()
            self._availability.mark_failing(self._kind)
            self._log.event(
                "store.lost",
                kind=self._kind,
                reason=str(error),
                version=self._version,
            )
            self._sink.on_api_lost()
        is_prober = self._availability.is_prober(self._kind)
        longest_s = MAX_PROBE_BACKOFF_S if is_prober else MAX_BACKOFF_S
        delay_s = min(longest_s, INITIAL_BACKOFF_S * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        pause = self._timers.sleep(delay_s * (0.5 + self._rng.random()))
        await self._completes_before(self._availability.wait_recovered(), pause)
