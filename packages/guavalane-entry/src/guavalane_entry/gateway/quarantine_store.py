"""Quarantines in the object API, where they outlast all nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from guavalane_core.exceptions import (
    ConfigurationError,
    ObjectApiError,
    ObjectConflictError,
    ObjectNotFoundError,
)
from guavalane_core.objects import ObjectApi, ObjectEvent, StoredObject
from guavalane_core.quarantine import Quarantine
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.quarantine_messages import (
    decode_digest_key,
    decode_quarantine,
    encode_digest_key,
    encode_quarantine,
    object_name,
)
from guavalane_entry.gateway.watch import KindSink

QUARANTINE_KIND = "quarantines"
# Name of the object with the key of the digests of requests. It is of the kind
# that all nodes watch already.
DIGEST_KEY_NAME = "digest-key"
# Delay before a failed write is repeated, in seconds.
RETRY_DELAY_S = 0.5


class QuarantineStore:
    """Writes quarantines to the object API.

    Args:
      api: Object API.
      timers: Timer service.
      log: Decision log.
    """

    def __init__(
        self, api: ObjectApi, timers: Timers, log: DecisionLog
    ) -> None:
        self._api = api
        self._timers = timers
        self._log = log
        self._tasks: set[asyncio.Task] = set()

    async def stop(self) -> None:
        """Cancels pending writes."""
        await cancel_tasks(*self._tasks)

    def save(
        self,
        quarantine: Quarantine,
        delay_s: float,
        is_needed: Callable[[], bool],
    ) -> None:
        """Stores a quarantine in the background.

        Args:
          quarantine: Quarantine.
          delay_s: Delay of the write in seconds.
          is_needed: Returns whether it is still to be stored.
        """
        self._start(
            self._create(
                object_name(quarantine.part_id),
                encode_quarantine(quarantine),
                delay_s,
                is_needed,
            )
        )

    def save_digest_key(
        self, key: bytes, delay_s: float, is_needed: Callable[[], bool]
    ) -> None:
        """Stores the key of digests in the background, if there is none.

        Args:
          key: Key.
          delay_s: Delay of the write in seconds.
          is_needed: Returns whether it is still to be stored.
        """
        body = encode_digest_key(key)
        self._start(self._create(DIGEST_KEY_NAME, body, delay_s, is_needed))

    def delete(
        self,
        part_id: str,
        delay_s: float = 0.0,
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        """Deletes the stored quarantine of a part in the background.

        Args:
          part_id: Part.
          delay_s: Delay in seconds.
          is_needed: Returns whether it is still to be deleted.
        """
        self._start(self._delete(part_id, delay_s, is_needed))

    def claim_trial(
        self,
        part_id: str,
        now_ms: int,
        on_claimed: Callable[[Quarantine | None], None],
    ) -> None:
        """Claims the next trial of a part in the background.

        The conditional update lets one node at most send a trial, whichever
        nodes hear of each other.

        Args:
          part_id: Part.
          now_ms: Time of day in milliseconds since the epoch.
          on_claimed: Called with the quarantine after the claim, or with None
              if the trial is not due or could not be claimed.
        """
        self._start(self._claim_trial(part_id, now_ms, on_claimed))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _claim_trial(
        self,
        part_id: str,
        now_ms: int,
        on_claimed: Callable[[Quarantine | None], None],
    ) -> None:
        claimed = None
        name = object_name(part_id)
        try:
            stored = await self._api.get(QUARANTINE_KIND, name)
            current = decode_quarantine(stored.body)
            if current.next_trial_ms <= now_ms:
                next_state = current.begin_trial(now_ms)
                body = encode_quarantine(next_state)
                await self._api.update(
                    QUARANTINE_KIND, name, body, stored.version
                )
                claimed = next_state
        except (ObjectApiError, ConfigurationError) as error:
            self._log.event(
                "quarantine.unclaimed", part=part_id, reason=str(error)
            )
        on_claimed(claimed)

    async def _create(
        self,
        name: str,
        body: dict[str, Any],
        delay_s: float,
        is_needed: Callable[[], bool],
    ) -> None:
        await self._timers.sleep(delay_s)
        while is_needed():
            try:
                await self._api.create(QUARANTINE_KIND, name, body)
                return
            except ObjectConflictError:
                return
            except ObjectApiError as error:
                self._log_unstored(body.get("part", name), error)
                await self._timers.sleep(RETRY_DELAY_S)

    async def _delete(
        self, part_id: str, delay_s: float, is_needed: Callable[[], bool]
    ) -> None:
        name = object_name(part_id)
        await self._timers.sleep(delay_s)
        while is_needed():
            try:
                stored = await self._api.get(QUARANTINE_KIND, name)
                await self._api.delete(QUARANTINE_KIND, name, stored.version)
                return
            except ObjectNotFoundError:
                return
            except ObjectApiError as error:
                self._log_unstored(part_id, error)
                await self._timers.sleep(RETRY_DELAY_S)

    def _log_unstored(self, part_id: str, error: ObjectApiError) -> None:
        self._log.event("quarantine.unstored", part=part_id, reason=str(error))


class QuarantineSink(KindSink):
    """Applies stored quarantines and the stored key of digests.

    Those that are missing when the object API has come back from a copy were
    lost, not deleted.

    Args:
      adopt: Called with each stored quarantine.
      release: Called with the part of each quarantine that was deleted.
      restore: Called with the part of each quarantine that was lost.
      use_digest_key: Called with the stored key of digests, or with None if a
          complete list has none.
      log: Decision log.
    """

    def __init__(
        self,
        adopt: Callable[[Quarantine], None],
        release: Callable[[str], None],
        restore: Callable[[str], None],
        use_digest_key: Callable[[bytes | None], None],
        log: DecisionLog,
    ) -> None:
        self._adopt = adopt
        self._release = release
        self._restore = restore
        self._use_digest_key = use_digest_key
        self._log = log
        self._parts: dict[str, str] = {}
        self._is_restored = False

    def on_restored(self) -> None:
        """Records that quarantines missing from the next list were lost."""
        self._is_restored = True

    def is_stored(self, part_id: str) -> bool:
        """Returns whether the quarantine of a part is known to be stored."""
        return object_name(part_id) in self._parts

    def replace_all(self, objects: list[StoredObject]) -> None:
        """Replaces all objects with a complete list."""
        listed = {stored.name for stored in objects}
        if DIGEST_KEY_NAME not in listed:
            self._use_digest_key(None)
        on_missing = self._restore if self._is_restored else self._release
        self._is_restored = False
        for name in set(self._parts) - listed:
            on_missing(self._parts.pop(name))
        self.merge(objects)

    def merge(self, objects: list[StoredObject]) -> None:
        """Merges the list of a peer, which may be outdated."""
        for stored in objects:
            self._put(stored)

    def apply(self, event: ObjectEvent) -> None:
        """Applies one change."""
        if not event.deleted:
            self._put(event.object)
        elif event.object.name in self._parts:
            self._release(self._parts.pop(event.object.name))

    def _put(self, stored: StoredObject) -> None:
        try:
            if stored.name == DIGEST_KEY_NAME:
                self._use_digest_key(decode_digest_key(stored.body))
                return
            quarantine = decode_quarantine(stored.body)
        except ConfigurationError as error:
            self._log.event(
                "quarantine.ignored", name=stored.name, reason=str(error)
            )
            return
        self._parts[stored.name] = quarantine.part_id
        self._adopt(quarantine)
