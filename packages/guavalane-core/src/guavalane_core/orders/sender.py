"""Sends orders under a lease and reconciles engines with recorded intents."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
from loguru import logger as log

from guavalane_core.exceptions import (
    LeaseLostError,
    ObjectApiError,
    ObjectConflictError,
    OrderFailedError,
    StaleOrderError,
)
from guavalane_core.leases import LeaseHolder
from guavalane_core.objects import ObjectApi, StoredObject
from guavalane_core.orders.intents import Intent, IntentStore
from guavalane_core.orders.loads import LoadSchedule
from guavalane_core.orders.order import DesiredState, EngineOrders, EngineStatus
from guavalane_core.timers import Timers

# Number of engines that are read concurrently. If read in sequence, each engine
# that does not respond would delay the whole round until its timeout.
READS_AT_ONCE = 32


class OrderSender:
    """Sends engine orders while this process holds the lease.

    An engine that checks fencing numbers rejects a late order of a former
    sender that was paused. An engine that ignores them may accept it; the
    current holder then reads the state back and repeats its order.

    Args:
      api: Object API.
      timers: Timer service.
      lease: Lease of the order sender.
      engines: Calls to engines.
      schedule: Start times of model loads.
      checks_fencing: Returns whether an endpoint rejects old fencing numbers.
          Each holder sends such an engine one order even if it already has the
          desired state, so that it rejects former senders from then on.
    """

    def __init__(
        self,
        api: ObjectApi,
        timers: Timers,
        lease: LeaseHolder,
        engines: EngineOrders,
        schedule: LoadSchedule,
        checks_fencing: Callable[[str], bool] = lambda _: False,
    ) -> None:
        self._intents = IntentStore(api)
        self._timers = timers
        self._lease = lease
        self._engines = engines
        self._schedule = schedule
        self._checks_fencing = checks_fencing
        self._confirmed: dict[str, Intent] = {}
        self._unresponsive: set[str] = set()
        self._intent_count = 0
        self._reads = asyncio.Semaphore(READS_AT_ONCE)

    @property
    def intent_count(self) -> int:
        """Number of intents found by the last `reconcile`."""
        return self._intent_count

    @property
    def unresponsive(self) -> set[str]:
        """Engines that did not respond when they were last read."""
        return self._unresponsive

    async def order(
        self, endpoint: str, desired: DesiredState, load_bytes: int = 0
    ) -> bool:
        """Records the desired state of an engine and sends the order when due.

        Args:
          endpoint: Engine.
          desired: Desired state.
          load_bytes: Bytes that the engine has to load to reach it.

        Returns:
          Whether the engine reports the state; `reconcile` continues otherwise.

        Raises:
          LeaseLostError: This process does not hold the lease.
          ObjectApiError: The intent was not recorded; nothing was sent.
        """
        intent = Intent(endpoint, desired, load_bytes, self._lease.require())
        stored, previous = await self._intents.get(endpoint)
        if previous is not None:
            intent = attrs.evolve(intent, revision=previous.revision + 1)
        await self._record(intent, stored)
        status = await self._read(endpoint)
        return status is not None and await self._apply(intent, status)

    async def reconcile(self, full: bool = True) -> list[str]:
        """Takes over all intents and repeats orders that are not in force.

        The holder of the lease calls it periodically.

        Args:
          full: Whether to also read engines that have already reported their
              desired state to this sender.

        Returns:
          Engines that do not report their desired state yet.

        Raises:
          LeaseLostError: This process does not hold the lease.
          ObjectApiError: The intents could not be read.
        """
        intents, pending = await self._take_over()
        self._intent_count = len(intents) + len(pending)
        if not full:
            intents = [
                i for i in intents if self._confirmed.get(i.endpoint) != i
            ]
        statuses = await asyncio.gather(
            *(self._read(intent.endpoint) for intent in intents)
        )
        engines = list(zip(intents, statuses, strict=True))
        # Loads started by an earlier holder are scheduled before any new load,
        # as they already use the weight store.
        for intent, status in engines:
            if status is not None:
                self._register_running_load(intent, status)
        for intent, status in engines:
            if status is None or not await self._apply(intent, status):
                pending.append(intent.endpoint)
        return pending

    async def _take_over(self) -> tuple[list[Intent], list[str]]:
        """Takes ownership of intents that former senders own.

        A former sender can no longer change an intent that was taken over.

        Returns:
          Intents that this sender owns, and endpoints of the others.
        """
        number = self._lease.require()
        owned, others = [], []
        writable = True
        for stored, intent in await self._intents.list():
            if intent.fencing_number < number:
                taken = attrs.evolve(intent, fencing_number=number)
                if writable:
                    try:
                        await self._record(taken, stored)
                    except ObjectConflictError:
                        others.append(intent.endpoint)
                        continue
                    except ObjectApiError as error:
                        # Usually the rate budget is used up; the next round
                        # continues.
                        log.debug("orders: takeover: {}", error)
                        writable = False
                if not writable:
                    others.append(intent.endpoint)
                    continue
                intent = taken
            elif intent.fencing_number > number:
                raise LeaseLostError("a newer sender has recorded an intent")
            owned.append(intent)
        return owned, others

    async def _record(
        self, intent: Intent, stored: StoredObject | None
    ) -> None:
        if stored is not None and (
            stored.body["fencing_number"] > intent.fencing_number
        ):
            raise LeaseLostError("a newer sender has recorded an intent")
        await self._intents.write(intent, stored)

    async def _read(self, endpoint: str) -> EngineStatus | None:
        async with self._reads:
            try:
                status = await self._engines.read(endpoint)
            except OrderFailedError as error:
                # The engine is read in every round; logs only the first
                # failure.
                if endpoint not in self._unresponsive:
                    log.warning("orders: {}: {}", endpoint, error)
                self._unresponsive.add(endpoint)
                return None
        self._unresponsive.discard(endpoint)
        return status

    async def _apply(self, intent: Intent, status: EngineStatus) -> bool:
        if not self._needs_order(intent, status):
            return self._is_done(intent, status)
        if not self._load_is_due(intent, status):
            return False
        try:
            # Checks the lease immediately before sending. If the process is
            # paused after this check, the engine's fencing check or the next
            # `reconcile` corrects the result.
            number = self._lease.require()
            if number != intent.fencing_number:
                raise LeaseLostError("the lease has changed hands")
            await self._engines.apply(intent.endpoint, intent.desired, number)
            status = await self._engines.read(intent.endpoint)
        except StaleOrderError as error:
            # If the lease is still held, the engine has seen a number of no
            # known holder, which must not stop the orders to other engines.
            self._lease.require()
            log.error("orders: {}: {}", intent.endpoint, error)
            return False
        except OrderFailedError as error:
            # If the engine recovers later, its load needs a new start time.
            self._schedule.finish(intent.endpoint)
            log.warning("orders: {}: {}", intent.endpoint, error)
            return False
        # A sender that was paused and lost the lease must not report success.
        self._lease.require()
        return self._is_done(intent, status)

    def _needs_order(self, intent: Intent, status: EngineStatus) -> bool:
        return status.state != intent.desired or (
            self._checks_fencing(intent.endpoint)
            and status.fencing_number < intent.fencing_number
        )

    def _is_done(self, intent: Intent, status: EngineStatus) -> bool:
        done = status.state == intent.desired and not status.loading
        if done:
            self._schedule.finish(intent.endpoint)
        if done and not self._needs_order(intent, status):
            self._confirmed[intent.endpoint] = intent
        else:
            self._confirmed.pop(intent.endpoint, None)
        return done

    def _register_running_load(
        self, intent: Intent, status: EngineStatus
    ) -> None:
        if status.loading and not self._schedule.is_scheduled(intent.endpoint):
            self._schedule.reserve(
                intent.endpoint,
                status.state,
                intent.load_bytes,
                self._timers.now(),
            )

    def _load_is_due(self, intent: Intent, status: EngineStatus) -> bool:
        loads = (
            status.state.model,
            status.state.version,
            status.state.adapters,
        ) != (
            intent.desired.model,
            intent.desired.version,
            intent.desired.adapters,
        )
        if not loads or not intent.load_bytes:
            return True
        now = self._timers.now()
        start = self._schedule.reserve(
            intent.endpoint, intent.desired, intent.load_bytes, now
        )
        return now >= start
