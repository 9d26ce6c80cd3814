"""Deletes expired claims and answered records from the object API."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger as log

from guavalane_core.claims.store import KIND as CLAIMS
from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectConflictError,
    ObjectNotFoundError,
)
from guavalane_core.objects import ObjectApi, StoredObject
from guavalane_core.records.store import KIND as RECORDS
from guavalane_core.timers import Timers

# Interval between deletions, in seconds. It keeps the write rate of a sweep
# small compared to that of requests.
DELETE_INTERVAL_S = 1.0


def _age_start_s(stored: StoredObject) -> float | None:
    """Returns the wall time at which retention starts; None if in use."""
    if stored.kind == CLAIMS:
        return stored.body["claimed_s"]
    if "answer" in stored.body:
        return stored.body["request"]["deadline_s"]
    # A record without an answer is a request that has yet to be completed.
    return None


class RetentionSweeper:
    """Deletes claims and answered records after the retention time.

    Claims deduplicate requests by idempotency key, so the retention time is
    also the time for which a key is deduplicated. Claims without an answer
    expire as well: a repeated request has received `outcome_unknown`, or the
    key was never repeated.

    Args:
      api: Object API.
      timers: Timer service.
      retention_s: Age at which objects are deleted, in seconds.
      is_sweeper: Returns whether this node runs the sweep. One node is enough.
    """

    def __init__(
        self,
        api: ObjectApi,
        timers: Timers,
        retention_s: float,
        is_sweeper: Callable[[], bool],
    ) -> None:
        self._api = api
        self._timers = timers
        self._retention_s = retention_s
        self._is_sweeper = is_sweeper

    async def sweep(self) -> int:
        """Deletes expired objects; returns the number of deletions."""
        deleted = 0
        for kind in (CLAIMS, RECORDS):
            if not self._is_sweeper():
                break
            try:
                deleted += await self._sweep_kind(kind)
            except ObjectApiError as error:
                log.debug("retention: sweep of {} failed: {}", kind, error)
        if deleted:
            log.info("retention: deleted {} objects", deleted)
        return deleted

    async def _sweep_kind(self, kind: str) -> int:
        objects, _ = await self._api.list(kind)
        limit = self._timers.wall() - self._retention_s
        expired = [
            stored
            for stored in objects
            if (age_start_s := _age_start_s(stored)) is not None
            and age_start_s < limit
        ]
        deleted = 0
        for stored in expired:
            try:
                # The version protects objects that changed since the listing.
                await self._api.delete(kind, stored.name, stored.version)
                deleted += 1
            except (ObjectConflictError, ObjectNotFoundError):
                continue
            await self._timers.sleep(DELETE_INTERVAL_S)
        return deleted
