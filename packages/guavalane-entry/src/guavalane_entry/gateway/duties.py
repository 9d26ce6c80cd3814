"""Cluster-wide tasks that one node runs at a time, under a lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping
from typing import Any, Protocol

import attrs
from loguru import logger as log

from guavalane_core.exceptions import (
    GuavalaneError,
    LeaseLostError,
    ObjectApiError,
)
from guavalane_core.forwarding import MovePhase, VersionMove
from guavalane_core.leases import LeaseHolder
from guavalane_core.objects import StatusApi, StoredObject
from guavalane_core.registry import Registry
from guavalane_core.tasks import cancel_tasks, start_supervised
from guavalane_core.timers import Timers
from guavalane_entry.gateway.cloud import Cloud
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.reports import PeerReports
from guavalane_entry.gateway.view import NodeView

# Interval between steps of the duties, in seconds.
STEP_PERIOD_S = 0.5
LEASE_NAME = "duties"
# Lease duration as a multiple of the takeover delay, within which two holders
# must not act in turn. A holder acts for two thirds of the duration.
LEASE_DURATION_FACTOR = 1.5
# Time without a live holder after which any node may take the lease, in
# seconds, in case its holder cannot use it and no other node claims it.
UNCLAIMED_TIMEOUT_S = 4.0


class Duty(Protocol):
    """Task that the lease holder runs periodically."""

    async def step(self, lease: LeaseHolder) -> None:
        """Does the work that is due, checking the lease before each call.

        Raises:
          GuavalaneError: A call failed; the step is retried.
        """


@attrs.frozen(eq=False)
class MoveOrders:
    """Stored orders to move services to other versions.

    Attributes:
      objects: Stored orders by service name.
      encode_status: Function that returns the order status for a phase.
    """

    objects: Mapping[str, StoredObject]
    encode_status: Callable[[VersionMove, MovePhase], dict[str, Any]]


@attrs.frozen(eq=False)
class DutyContext:
    """Dependencies of duties.

    Attributes:
      view: Shared state of the node.
      api: Object API.
      cloud: Platform API.
      log: Decision log.
      move_orders: Stored move orders.
      live: Function that returns the live peers.
    """

    view: NodeView
    api: StatusApi
    cloud: Cloud
    log: DecisionLog
    move_orders: MoveOrders
    live: Callable[[], Collection[str]]


DUTIES: Registry[type[Duty]] = Registry("duty")


class DutyRunner:
    """Competes for the lease and runs all duties while holding it.

    Args:
      context: Dependencies of duties.
      reports: Peer reports.
      timers: Timer service.
      incarnation: Incarnation of this process.
    """

    def __init__(
        self,
        context: DutyContext,
        reports: PeerReports,
        timers: Timers,
        incarnation: int,
    ) -> None:
        settings = context.view.settings
        self._context = context
        self._reports = reports
        self._timers = timers
        self._lease = LeaseHolder(
            context.api,
            timers,
            LEASE_NAME,
            settings.name,
            incarnation,
            duration_s=LEASE_DURATION_FACTOR * settings.lease_s,
            takeover_delay_s=settings.lease_s,
            restarts_take_over=True,
        )
        self._duties: dict[str, Duty] = {}
        self._last_claimed_s = timers.now()
        self._task: asyncio.Task | None = None
        self._renewal: asyncio.Task | None = None

    @property
    def lease(self) -> LeaseHolder:
        """Lease on the duties."""
        return self._lease

    def start(self) -> None:
        """Starts competing for the lease."""
        self._lease.start(self._on_change, self._is_candidate)
        self._task = start_supervised("duties", self._run)
        self._renewal = start_supervised(
            "renewal in a new era", self._renew_in_new_eras
        )

    async def stop(self) -> None:
        """Stops the duties and releases the lease."""
        await cancel_tasks(self._task, self._renewal)
        await self._lease.stop()

    def current_fencing_number(self) -> int:
        """Returns the fencing number while the lease is valid, else 0."""
        return self._lease.fencing_number if self._lease.check() else 0

    def _on_change(self, held: bool) -> None:
        number = self._lease.fencing_number if held else 0
        self._context.log.event("duties.held", held=held, number=number)
        # State from an earlier lease may be outdated.
        self._duties = {}
        if held:
            self._duties = {
                name: DUTIES.get(name)(self._context) for name in DUTIES
            }

    def _is_candidate(self) -> bool:
        """Returns whether this node should poll the lease and may acquire it.

        To save calls to the object API, only the live non-holder with the
        lowest name polls the lease, and so learns how long it was not renewed.
        All other nodes join if no holder is reported for a while.
        """
        now_s = self._timers.now()
        holder = self._reports.live_holder()
        if holder is not None:
            self._last_claimed_s = now_s
        name = self._context.view.settings.name
        others = [n for n in self._reports.live_peers() if n != holder]
        if all(name < peer for peer in others):
            return True
        return now_s - self._last_claimed_s > UNCLAIMED_TIMEOUT_S

    async def _renew_in_new_eras(self) -> None:
        """Renews the lease at once when the object API is back from a copy.

        The lease may be lost there, and the next periodic renewal may be later
        than the end of its validity.
        """
        store_era = self._context.view.store_era
        while True:
            await store_era.wait_above(store_era.era)
            try:
                await self._lease.renew()
            except ObjectApiError as error:
                log.debug("duties: the lease is not renewed yet: {}", error)

    async def _run(self) -> None:
        while True:
            await self._timers.sleep(STEP_PERIOD_S)
            for name, duty in list(self._duties.items()):
                if self._lease.check():
                    await self._step(name, duty)

    async def _step(self, name: str, duty: Duty) -> None:
        try:
            await duty.step(self._lease)
        except LeaseLostError as error:
            self._context.log.event("duty.lost", duty=name, reason=str(error))
        except GuavalaneError as error:
            self._context.log.event(
                "duty.failed", duty=name, code=error.code, reason=str(error)
            )
        except Exception as error:
            # A bug in one duty must not stop the others.
            log.opt(exception=error).error("duties: step of {} failed", name)
