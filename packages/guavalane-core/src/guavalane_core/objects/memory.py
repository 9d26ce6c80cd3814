"""In-memory object API for single-node trials, tests and the stand-in."""

from __future__ import annotations

import asyncio
import copy
import json
from collections import deque
from collections.abc import AsyncIterator, Mapping
from typing import Any

import attrs

from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectApiUnavailableError,
    ObjectConflictError,
    ObjectNotFoundError,
    WatchGapError,
    WriteOutcomeUnknownError,
)
from guavalane_core.objects.api import (
    MAX_VALUE_BYTES,
    MetadataEvent,
    ObjectEvent,
    ObjectMetadata,
    StoredObject,
)
from guavalane_core.objects.position import Position

DEFAULT_HISTORY_EVENTS = 1000
LEASES = "leases"


@attrs.define
class Faults:
    """Injected faults.

    Attributes:
      down: Whether every call fails.
      lose_answers: Number of next writes that take effect but whose response
          is lost.
      lose_writes: Number of next writes that are lost without taking effect.
      delay_s: Delay before each call takes effect, in seconds.
    """

    down: bool = False
    lose_answers: int = 0
    lose_writes: int = 0
    delay_s: float = 0.0


@attrs.define
class CallCounts:
    """Numbers of received calls by type.

    Attributes:
      reads: Gets and lists.
      writes: Creations, updates and deletions.
      lease_writes: Writes of leases. They are periodic and not caused by
          requests, so counts of writes per request exclude them.
      watches: Opened watches.
    """

    reads: int = 0
    writes: int = 0
    lease_writes: int = 0
    watches: int = 0


@attrs.frozen
class MemoryCopy:
    """Copy of all objects of a `MemoryObjectApi`.

    Attributes:
      revision: Revision at which it was made.
      objects: Objects by kind and name.
    """

    revision: int
    objects: Mapping[tuple[str, str], StoredObject]


class MemoryObjectApi:
    """Stores objects in a dict; supports conditional updates and watches.

    Args:
      history_events: Number of events kept for watches. A watch from an older
          version raises `WatchGapError`.
    """

    def __init__(self, history_events: int = DEFAULT_HISTORY_EVENTS) -> None:
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._era = 0
        self._revision = 0
        self._history: deque[tuple[int, ObjectEvent]] = deque(
            maxlen=history_events
        )
        self._changed = asyncio.Event()
        self.faults = Faults()
        self.calls = CallCounts()

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object; see `ObjectApi.get`."""
        self.calls.reads += 1
        await self._simulate_network()
        return self._get_copy(kind, name)

    async def get_metadata(self, kind: str, name: str) -> ObjectMetadata:
        """Returns the metadata of an object; see `ObjectApi.get_metadata`."""
        self.calls.reads += 1
        await self._simulate_network()
        stored = self._objects.get((kind, name))
        if stored is None:
            raise ObjectNotFoundError(f"{kind}/{name}", self._era)
        return stored.metadata

    async def list(self, kind: str) -> tuple[list[StoredObject], str]:
        """Returns all objects of a kind; see `ObjectApi.list`."""
        self.calls.reads += 1
        await self._simulate_network()
        found = [
            copy.deepcopy(stored)
            for (stored_kind, _), stored in sorted(self._objects.items())
            if stored_kind == kind
        ]
        return found, self._version()

    async def list_metadata(
        self, kind: str
    ) -> tuple[list[ObjectMetadata], str]:
        """Returns metadata of a kind; see `ObjectApi.list_metadata`."""
        self.calls.reads += 1
        await self._simulate_network()
        found = [
            stored.metadata
            for (stored_kind, _), stored in sorted(self._objects.items())
            if stored_kind == kind
        ]
        return found, self._version()

    async def create(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Creates an object; see `ObjectApi.create`."""
        lost = await self._begin_write(kind, body)
        if (kind, name) in self._objects:
            raise ObjectConflictError(f"{kind}/{name} exists")
        return self._finish_write(kind, name, body, annotations, lost)

    async def update(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        version: str,
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Replaces an object; see `ObjectApi.update`."""
        lost = await self._begin_write(kind, body)
        self._check_version(kind, name, version)
        return self._finish_write(kind, name, body, annotations, lost)

    async def delete(self, kind: str, name: str, version: str) -> None:
        """Deletes an object; see `ObjectApi.delete`."""
        lost = await self._begin_write(kind, {})
        self._check_version(kind, name, version)
        self._revision += 1
        stored = self._objects.pop((kind, name))
        self._publish(ObjectEvent(stored, deleted=True))
        if lost:
            raise WriteOutcomeUnknownError(f"delete {kind}/{name}")

    async def watch(
        self, kind: str, version: str
    ) -> AsyncIterator[ObjectEvent]:
        """Yields changes; see `ObjectApi.watch`."""
        async for event in self._follow(kind, version):
            yield copy.deepcopy(event)

    async def watch_metadata(
        self, kind: str, version: str
    ) -> AsyncIterator[MetadataEvent]:
        """Yields changes; see `ObjectApi.watch_metadata`."""
        async for event in self._follow(kind, version):
            yield MetadataEvent(event.object.metadata, event.deleted)

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; open watches fail when it starts."""
        self.faults.down = down
        self._notify_watches()

    def take_copy(self) -> MemoryCopy:
        """Returns a copy of all objects."""
        return MemoryCopy(self._revision, copy.deepcopy(self._objects))

    def restore(self, earlier: MemoryCopy) -> None:
        """Comes back from an earlier copy, in the next era."""
        self._era += 1
        self._revision = earlier.revision
        self._history.clear()
        self._objects = {
            key: attrs.evolve(
                copy.deepcopy(stored),
                version=str(
                    Position(self._era, Position.parse(stored.version).revision)
                ),
            )
            for key, stored in earlier.objects.items()
        }
        self._notify_watches()

    def _version(self) -> str:
        return str(Position(self._era, self._revision))

    async def _follow(
        self, kind: str, version: str
    ) -> AsyncIterator[ObjectEvent]:
        self.calls.watches += 1
        await self._simulate_network()
        position = Position.parse(version)
        seen = position.revision
        while True:
            if position.era != self._era or seen < self._oldest_watchable():
                raise WatchGapError(f"version {seen} is too old")
            changed = self._changed
            for revision, event in list(self._history):
                if revision > seen and event.object.kind == kind:
                    yield event
            seen = self._revision
            await changed.wait()
            self._raise_if_down()

    def _oldest_watchable(self) -> int:
        if len(self._history) < (self._history.maxlen or 0):
            return 0
        return self._history[0][0] - 1 if self._history else self._revision

    def _raise_if_down(self) -> None:
        if self.faults.down:
            raise ObjectApiUnavailableError("object API is down")

    async def _simulate_network(self) -> None:
        self._raise_if_down()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
            self._raise_if_down()

    async def _begin_write(self, kind: str, body: dict[str, Any]) -> bool:
        self.calls.writes += 1
        self.calls.lease_writes += kind == LEASES
        await self._simulate_network()
        if len(json.dumps(body)) > MAX_VALUE_BYTES:
            raise ObjectApiError(f"value exceeds {MAX_VALUE_BYTES} bytes")
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            raise WriteOutcomeUnknownError("write was lost")
        lost = self.faults.lose_answers > 0
        if lost:
            self.faults.lose_answers -= 1
        return lost

    def _finish_write(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        annotations: Mapping[str, str] | None,
        lost: bool,
    ) -> StoredObject:
        self._revision += 1
        before = self._objects.get((kind, name))
        sequence = before.sequence if before else 0
        if before is None or before.body != body:
            sequence += 1
        stored = StoredObject(
            kind,
            name,
            self._version(),
            copy.deepcopy(body),
            sequence,
            dict(annotations or {}),
        )
        self._objects[kind, name] = stored
        self._publish(ObjectEvent(stored))
        if lost:
            raise WriteOutcomeUnknownError(f"write of {kind}/{name}")
        return copy.deepcopy(stored)

    def _get_copy(self, kind: str, name: str) -> StoredObject:
        stored = self._objects.get((kind, name))
        if stored is None:
            raise ObjectNotFoundError(f"{kind}/{name}", self._era)
        return copy.deepcopy(stored)

    def _check_version(self, kind: str, name: str, version: str) -> None:
        if self._get_copy(kind, name).version != version:
            raise ObjectConflictError(f"{kind}/{name} has changed")

    def _publish(self, event: ObjectEvent) -> None:
        self._history.append((self._revision, event))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
