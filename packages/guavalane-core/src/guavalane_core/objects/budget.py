"""Client-side rate limiting and outage detection for the object API."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any, TypeVar

import attrs
from loguru import logger as log

from guavalane_core.exceptions import (
    ObjectApiUnavailableError,
    ObjectNotFoundError,
    WriteOutcomeUnknownError,
)
from guavalane_core.objects.api import (
    MetadataEvent,
    ObjectApi,
    ObjectEvent,
    ObjectMetadata,
    StoredObject,
)
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers

T = TypeVar("T")
# A call that would wait longer than this for its token is refused.
MAX_WAIT_S = 2.0
# Burst size, as the time in which the node's share refills it.
BURST_S = 1.0
# Minimum burst size; allows reading back a write even with a small share.
MIN_BURST_CALLS = 2.0
# Read rate charged for each open watch.
WATCH_READS_PER_S = 1.0
# Fraction of the read share that open watches cannot use up.
MIN_READ_SHARE_FRACTION = 0.25
INITIAL_BACKOFF_S = 0.25
# Maximum backoff between probes during an outage. With full jitter it also
# spreads the recovery of the nodes; 550 nodes send 220 probes per second.
MAX_BACKOFF_S = 5.0


class TokenBucket:
    """Token bucket whose rate may change.

    Args:
      now: Monotonic time in seconds.
      burst: Initial number of tokens.
    """

    def __init__(self, now: float, burst: float) -> None:
        self._tokens = burst
        self._updated_at = now

    def reserve(self, now: float, rate: float, limit_s: float) -> float | None:
        """Takes one token.

        Args:
          now: Monotonic time in seconds.
          rate: Tokens per second.
          limit_s: Maximum wait in seconds.

        Returns:
          Time to wait for the token in seconds, or None if it would exceed
          the limit; no token is taken then.
        """
        burst = max(MIN_BURST_CALLS, rate * BURST_S)
        gained = (now - self._updated_at) * rate
        self._tokens = min(burst, self._tokens + gained)
        self._updated_at = now
        wait_s = max(0.0, (1.0 - self._tokens) / rate)
        if wait_s > limit_s:
            return None
        self._tokens -= 1.0
        return wait_s

    def drain(self, now: float) -> None:
        """Discards saved tokens, so that calls resume without a burst."""
        self._tokens = min(self._tokens, 0.0)
        self._updated_at = now


@attrs.define
class BudgetCounts:
    """Call counters of one node.

    Attributes:
      reads: Reads sent, including opened watches.
      writes: Writes sent.
      refused_by_budget: Calls refused because no token was available in time.
      refused_in_outage: Calls refused without an attempt during an outage.
    """

    reads: int = 0
    writes: int = 0
    refused_by_budget: int = 0
    refused_in_outage: int = 0


class PriorityObjectApi:
    """Object API for calls that are exempt from the rate limit, such as leases.

    With 550 nodes, the share of 0.5 writes per second would not suffice to
    renew two leases. The number of leases is small and does not grow with the
    fleet, so their calls take no tokens. During an outage they fail as all
    other calls do.

    Args:
      budgeted: Rate-limited API of the node; counts the calls.
      api: Object API to call.
    """

    def __init__(self, budgeted: BudgetedObjectApi, api: ObjectApi) -> None:
        self._budgeted = budgeted
        self._api = api

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object; see `ObjectApi.get`."""
        self._budgeted.counts.reads += 1
        return await self._budgeted.call_unlimited(self._api.get, kind, name)

    async def create(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Creates an object; see `ObjectApi.create`."""
        self._budgeted.counts.writes += 1
        return await self._budgeted.call_unlimited(
            self._api.create, kind, name, body, annotations
        )

    async def update(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        version: str,
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Replaces an object; see `ObjectApi.update`."""
        self._budgeted.counts.writes += 1
        return await self._budgeted.call_unlimited(
            self._api.update, kind, name, body, version, annotations
        )


class BudgetedObjectApi:
    """Limits one node to its share of the object API's rate.

    During an outage, calls fail immediately, and probes with exponential
    backoff and full jitter detect its end. This avoids a thundering herd of
    calls in the first second after an outage.

    Args:
      api: Object API to call.
      timers: Timer service.
      nodes: Returns the number of nodes that share the rate.
      writes_per_s: Writes per second allowed for all nodes together.
      reads_per_s: Reads per second allowed for all nodes together.
      rng: Source of jitter.
    """

    def __init__(
        self,
        api: ObjectApi,
        timers: Timers,
        nodes: Callable[[], int],
        writes_per_s: float,
        reads_per_s: float,
        rng: random.Random | None = None,
    ) -> None:
        self._api = api
        self._timers = timers
        self._nodes = nodes
        self._writes_per_s = writes_per_s
        self._reads_per_s = reads_per_s
        self._rng = rng or random.Random()
        now = timers.now()
        self._writes = TokenBucket(now, MIN_BURST_CALLS)
        self._reads = TokenBucket(now, MIN_BURST_CALLS)
        self._watches = 0
        self._failed_probes = 0
        self._down_since: float | None = None
        self._probes: set[asyncio.Task] = set()
        self._closed = False
        self._listeners: list[Callable[[bool], None]] = []
        self._priority = PriorityObjectApi(self, api)
        self.counts = BudgetCounts()

    @property
    def reachable(self) -> bool:
        """Whether no outage has been detected."""
        return self._down_since is None

    @property
    def outage_s(self) -> float:
        """Duration of the current outage in seconds; 0 if there is none."""
        if self._down_since is None:
            return 0.0
        return self._timers.now() - self._down_since

    @property
    def watches(self) -> int:
        """Number of open watches."""
        return self._watches

    @property
    def write_rate(self) -> float:
        """This node's share of writes per second."""
        return self._writes_per_s / max(1, self._nodes())

    @property
    def read_rate(self) -> float:
        """This node's share of reads per second, minus its open watches."""
        share = self._reads_per_s / max(1, self._nodes())
        left = share - self._watches * WATCH_READS_PER_S
        return max(share * MIN_READ_SHARE_FRACTION, left)

    @property
    def priority(self) -> PriorityObjectApi:
        """API without a rate limit, for leases."""
        return self._priority

    def subscribe(self, listener: Callable[[bool], None]) -> None:
        """Registers a listener that is called when `reachable` changes."""
        self._listeners.append(listener)

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object; see `ObjectApi.get`."""
        await self._acquire_read()
        return await self._observe(self._api.get(kind, name))

    async def get_metadata(self, kind: str, name: str) -> ObjectMetadata:
        """Returns metadata; see `ObjectApi.get_metadata`."""
        await self._acquire_read()
        return await self._observe(self._api.get_metadata(kind, name))

    async def list(self, kind: str) -> tuple[list[StoredObject], str]:
        """Returns all objects of a kind; see `ObjectApi.list`."""
        await self._acquire_read()
        return await self._observe(self._api.list(kind))

    async def list_metadata(
        self, kind: str
    ) -> tuple[list[ObjectMetadata], str]:
        """Returns metadata of a kind; see `ObjectApi.list_metadata`."""
        await self._acquire_read()
        return await self._observe(self._api.list_metadata(kind))

    async def create(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Creates an object; see `ObjectApi.create`."""
        await self._acquire_write()
        return await self._observe(
            self._api.create(kind, name, body, annotations)
        )

    async def update(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        version: str,
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Replaces an object; see `ObjectApi.update`."""
        await self._acquire_write()
        return await self._observe(
            self._api.update(kind, name, body, version, annotations)
        )

    async def delete(self, kind: str, name: str, version: str) -> None:
        """Deletes an object; see `ObjectApi.delete`."""
        await self._acquire_write()
        await self._observe(self._api.delete(kind, name, version))

    async def watch(
        self, kind: str, version: str
    ) -> AsyncIterator[ObjectEvent]:
        """Yields changes; see `ObjectApi.watch`."""
        async for event in self._follow(self._api.watch(kind, version)):
            yield event

    async def watch_metadata(
        self, kind: str, version: str
    ) -> AsyncIterator[MetadataEvent]:
        """Yields changes; see `ObjectApi.watch_metadata`."""
        events = self._api.watch_metadata(kind, version)
        async for event in self._follow(events):
            yield event

    async def call_unlimited(
        self, function: Callable[..., Awaitable[T]], *args: Any
    ) -> T:
        """Makes a call without a token and updates the outage state.

        Raises:
          ObjectApiUnavailableError: There is an outage.
        """
        self._refuse_in_outage()
        return await self._observe(function(*args))

    async def close(self) -> None:
        """Stops probing; does not close the underlying API."""
        self._closed = True
        await cancel_tasks(*self._probes)

    async def _follow(self, events: AsyncIterator[T]) -> AsyncIterator[T]:
        await self._acquire_read()
        self._watches += 1
        try:
            async for event in events:
                self._record_success()
                yield event
        except ObjectApiUnavailableError as error:
            self._record_failure(error)
            raise
        finally:
            self._watches -= 1

    async def _acquire_read(self) -> None:
        await self._acquire(self._reads, lambda: self.read_rate)
        self.counts.reads += 1

    async def _acquire_write(self) -> None:
        await self._acquire(self._writes, lambda: self.write_rate)
        self.counts.writes += 1

    async def _acquire(
        self, bucket: TokenBucket, rate: Callable[[], float]
    ) -> None:
        self._refuse_in_outage()
        wait_s = bucket.reserve(self._timers.now(), rate(), MAX_WAIT_S)
        if wait_s is None:
            self.counts.refused_by_budget += 1
            raise ObjectApiUnavailableError("the node's rate share is used up")
        if wait_s > 0:
            await self._timers.sleep(wait_s)
            # An outage may have started while the call was waiting.
            self._refuse_in_outage()

    def _refuse_in_outage(self) -> None:
        if self._down_since is not None:
            self.counts.refused_in_outage += 1
            raise ObjectApiUnavailableError("the object API is down")

    async def _observe(self, call: Awaitable[T]) -> T:
        try:
            result = await call
        except ObjectApiUnavailableError as error:
            self._record_failure(error)
            raise
        except WriteOutcomeUnknownError:
            # One lost response does not mean an outage; the caller's read back
            # detects one.
            raise
        except Exception:
            self._record_success()
            raise
        self._record_success()
        return result

    def _record_success(self) -> None:
        self._failed_probes = 0
        if self._down_since is None:
            return
        log.info("objects: reachable again after {:.1f} s", self.outage_s)
        self._down_since = None
        now = self._timers.now()
        self._reads.drain(now)
        self._writes.drain(now)
        self._notify_listeners()

    def _record_failure(self, error: Exception) -> None:
        if self._down_since is not None:
            return
        log.warning("objects: unreachable: {}", error)
        self._down_since = self._timers.now()
        self._notify_listeners()
        self._schedule_probe()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener(self.reachable)

    def _schedule_probe(self) -> None:
        limit_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self._failed_probes)
        self._failed_probes = min(self._failed_probes + 1, 16)
        self._timers.call_later(limit_s * self._rng.random(), self._start_probe)

    def _start_probe(self) -> None:
        # A pending call may have ended the outage already.
        if self._closed or self.reachable:
            return
        task = asyncio.create_task(self._probe())
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe(self) -> None:
        self.counts.reads += 1
        try:
            # Reads only the metadata, as the content can be 1 MB.
            await self._api.get_metadata("configurations", "current")
        except ObjectNotFoundError:
            self._record_success()
        except Exception as error:
            log.debug("objects: still unreachable: {}", error)
            self._schedule_probe()
        else:
            self._record_success()
