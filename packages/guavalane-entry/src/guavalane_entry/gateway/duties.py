"""Work that one node does at a time for all, under a lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping
from typing import Any, Protocol

import attrs
from loguru import logger as log

from guavalane_core.exceptions import GuavalaneError, LeaseLostError
from guavalane_core.forwarding import MovePhase, VersionMove
from guavalane_core.leases import LeaseHolder
from guavalane_core.objects import StatusApi, StoredObject
from guavalane_core.registry import Registry
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.gateway.cloud import Cloud
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.reports import PeerReports
from guavalane_entry.gateway.view import NodeView

# Time between two looks at what is due, in seconds.
PERIOD_S = 0.5
LEASE_NAME = "duties"
# Duration of the lease as a multiple of the time in which holders may not act
# in turn. A holder acts for two thirds of the duration.
DURATION_FACTOR = 1.5
# A lease that its holder cannot use and that no node claims is taken by any
# node after this time, in seconds.
UNCLAIMED_S = 4.0


class Duty(Protocol):
    """One kind of work."""

    async def step(self, lease: LeaseHolder) -> None:
        """Does what is due; it asks the lease before each call.

        Raises:
          GuavalaneError: A call failed; the step is repeated.
        """


@attrs.frozen(eq=False)
class MoveOrders:
    """Stored orders of moves.

    Attributes:
      objects: Objects by name, which is that of the service.
      encode_status: Function that returns the status of an order in a phase.
    """

    objects: Mapping[str, StoredObject]
    encode_status: Callable[[VersionMove, MovePhase], dict[str, Any]]


@attrs.frozen(eq=False)
class DutyContext:
    """What duties work with.

    Attributes:
      view: State of the node.
      api: Object API.
      cloud: Calls of the platform.
      log: Log of decisions.
      move_orders: Stored orders of moves.
      live: Function that returns the other nodes that are heard.
    """

    view: NodeView
    api: StatusApi
    cloud: Cloud
    log: DecisionLog
    move_orders: MoveOrders
    live: Callable[[], Collection[str]]


DUTIES: Registry[type[Duty]] = Registry("duty")


class DutyRunner:
    """Holds the lease and runs all duties while it does.

    Args:
      context: What duties work with.
      reports: Reports of the other nodes.
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
            duration_s=DURATION_FACTOR * settings.lease_s,
            takeover_delay_s=settings.lease_s,
            restarts_take_over=True,
        )
        self._duties: dict[str, Duty] = {}
        self._unclaimed_s = timers.now()
        self._task: asyncio.Task | None = None

    @property
    def lease(self) -> LeaseHolder:
        """Lease on the duties."""
        return self._lease

    def start(self) -> None:
        """Starts to compete for the lease."""
        self._lease.start(self._on_change, self._is_candidate)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops and gives the lease up."""
        await cancel_tasks(self._task)
        await self._lease.stop()

    def held_number(self) -> int:
        """Returns the fencing number while this node may act, else 0."""
        return self._lease.fencing_number if self._lease.check() else 0

    def _on_change(self, held: bool) -> None:
        number = self._lease.fencing_number if held else 0
        self._context.log.event("duties.held", held=held, number=number)
        # State of an earlier tenure may be out of date.
        self._duties = {}
        if held:
            self._duties = {
                name: DUTIES.get(name)(self._context) for name in DUTIES
            }

    def _is_candidate(self) -> bool:
        """Returns whether this node should read and perhaps take the lease.

        Reads have their price, so only the node with the lowest name among
        those that do not hold it reads; it so knows for how long the lease was
        not renewed. All others follow if nobody takes it.
        """
        now_s = self._timers.now()
        holder = self._reports.heard_holder()
        if holder is not None:
            self._unclaimed_s = now_s
        name = self._context.view.settings.name
        others = [n for n in self._reports.live_peers() if n != holder]
        if all(name < peer for peer in others):
            return True
        return now_s - self._unclaimed_s > UNCLAIMED_S

    async def _run(self) -> None:
        while True:
            await self._timers.sleep(PERIOD_S)
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
            # A defect in one duty must not end the others.
            log.opt(exception=error).error("duties: {}", name)
