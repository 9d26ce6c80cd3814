"""Sends orders to model engines while this node holds the lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger as log

from guavalane_core.configuration import Configuration, ConfigurationState
from guavalane_core.exceptions import (
    GuavalaneError,
    LeaseLostError,
    ObjectApiError,
    ObjectNotFoundError,
)
from guavalane_core.leases import Lease, LeaseHolder, choose_candidates
from guavalane_core.leases.holder import KIND as LEASES
from guavalane_core.membership import Member
from guavalane_core.objects import ObjectApi
from guavalane_core.orders import EngineOrders, LoadSchedule, OrderSender
from guavalane_core.orders.intents import KIND
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers

LEASE = "order-sender"
# Interval between checks for orders that are new or not yet in force.
TICK_S = 1.0
# Interval between reads of all orders and engines. On an engine that does not
# check fencing numbers, a late order of a former sender is reverted within this
# time.
RECONCILE_PERIOD_S = 10.0
# Maximum rate of these reads, which extends the interval above 1,000 engines.
MAX_ENGINE_READS_PER_S = 100.0
# Minimum interval between two watches, each of which counts as a call.
MIN_WATCH_INTERVAL_S = 0.5
# Maximum time to read the lease for a report.
LEASE_READ_TIMEOUT_S = 1.0
UNKNOWN = "unknown"


def is_model_engine(configuration: Configuration, endpoint: str) -> bool:
    """Returns whether an endpoint is configured and serves a model route."""
    found = configuration.endpoints.get(endpoint)
    return found is not None and any(
        route.kind == "model" and route.deployment == found.deployment
        for route in configuration.routes.values()
    )


def load_rate(configuration: Configuration, endpoint: str) -> float:
    """Returns the maximum load rate of an engine, in bytes per second.

    The rate is 0 if it is not configured.
    """
    found = configuration.endpoints.get(endpoint)
    if found is None:
        return 0.0
    deployment = configuration.deployments[found.deployment]
    fleet = configuration.fleets.get(found.deployment)
    if deployment.weight_store_bytes_per_s:
        return deployment.weight_store_bytes_per_s
    return fleet.weight_store_bytes_per_s if fleet is not None else 0.0


class OrderRunner:
    """Executes recorded orders while this node holds the lease.

    Args:
      node: Name of this node.
      state: Configuration in force.
      api: Object API.
      lease: Lease of the order sender.
      engines: Client of the engines.
      timers: Timer service.
      members: Returns the live members.
      is_live: Returns whether the process with a node name and incarnation is
          running.
    """

    def __init__(
        self,
        node: str,
        state: ConfigurationState,
        api: ObjectApi,
        lease: LeaseHolder,
        engines: EngineOrders,
        timers: Timers,
        members: Callable[[], Iterable[Member]],
        is_live: Callable[[str, int], bool],
    ) -> None:
        self._node = node
        self._state = state
        self._api = api
        self._lease = lease
        self._engines = engines
        self._timers = timers
        self._members = members
        self._is_live = is_live
        self._sender: OrderSender | None = None
        self._sender_fencing_number = 0
        self._reconciled_s = float("-inf")
        self._pending: list[str] = []
        self._orders_changed = False
        self._task: asyncio.Task | None = None
        self._watch_task: asyncio.Task | None = None

    @property
    def engines(self) -> EngineOrders:
        """Client of the engines; every node may read their status."""
        return self._engines

    def start(self) -> None:
        """Starts the election and the execution of orders."""
        self._lease.start(is_candidate=self._is_candidate)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops sending orders and releases the lease."""
        await cancel_tasks(self._task)
        self._stop_watch()
        await self._lease.stop()

    async def tick(self) -> None:
        """Executes pending orders if this node holds the lease.

        Raises:
          LeaseLostError: The lease expired during the call.
          ObjectApiError: The intents could not be read.
        """
        if not self._lease.check():
            self._sender, self._pending = None, []
            self._stop_watch()
            return
        number = self._lease.fencing_number
        if self._sender is None or number != self._sender_fencing_number:
            # The load schedule of an earlier lease is no longer valid.
            self._sender = self._make_sender()
            self._sender_fencing_number = number
            self._reconciled_s = float("-inf")
            log.info("orders: sending with fencing number {}", number)
        if self._watch_task is None or self._watch_task.done():
            self._watch_task = asyncio.create_task(self._watch_orders())
        now = self._timers.now()
        interval_s = max(
            RECONCILE_PERIOD_S,
            self._sender.intent_count / MAX_ENGINE_READS_PER_S,
        )
        full = now - self._reconciled_s >= interval_s
        # Unresponsive engines are retried in the next full reconciliation.
        due = set(self._pending) - self._sender.unresponsive
        if not (full or due or self._orders_changed):
            return
        self._orders_changed = False
        try:
            pending = await self._sender.reconcile(full)
        except GuavalaneError:
            self._orders_changed = True
            raise
        if full:
            self._reconciled_s = now
        if pending != self._pending:
            log.info("orders: not in force yet: {}", ", ".join(pending) or "-")
        self._pending = pending

    async def find_sender(self) -> dict[str, Any]:
        """Returns the node that sends orders and its fencing number.

        The node is empty if no live node holds the lease, and `unknown` if the
        lease cannot be read.
        """
        number = self._lease.fencing_number
        if self._lease.check():
            return {"node": self._node, "fencing_number": number}
        try:
            async with asyncio.timeout(LEASE_READ_TIMEOUT_S):
                stored = await self._api.get(LEASES, LEASE)
        except ObjectNotFoundError:
            return {"node": "", "fencing_number": 0}
        except (ObjectApiError, TimeoutError):
            return {"node": UNKNOWN, "fencing_number": 0}
        lease = Lease.from_body(stored.body)
        holds = (
            not lease.released
            and lease.holder != self._node
            and self._is_live(lease.holder, lease.incarnation)
        )
        return {
            "node": lease.holder if holds else "",
            "fencing_number": lease.fencing_number,
        }

    def dump(self) -> dict[str, Any]:
        """Returns the state of the order sender for the state dump."""
        return {
            "candidate": self._is_candidate(),
            "sends": self._lease.check(),
            "fencing_number": self._lease.fencing_number,
            "lease_remaining_s": round(self._lease.remaining_s, 3),
            "not_in_force": self._pending,
        }

    async def _run(self) -> None:
        while True:
            try:
                await self.tick()
            except (LeaseLostError, ObjectApiError) as error:
                log.debug("orders: {}", error)
            except Exception as error:
                # An unexpected error must not end the task permanently.
                log.opt(exception=error).error("orders: tick failed")
            await self._timers.sleep(TICK_S)

    async def _watch_orders(self) -> None:
        """Watches for changed orders.

        Changes that the watch misses are found by full reconciliations.
        """
        try:
            _, version = await self._api.list(KIND)
            self._orders_changed = True
            while self._lease.check():
                async for event in self._api.watch(KIND, version):
                    version = event.object.version
                    self._orders_changed = True
                await self._timers.sleep(MIN_WATCH_INTERVAL_S)
        except ObjectApiError as error:
            log.debug("orders: watch ended: {}", error)
            await self._timers.sleep(MIN_WATCH_INTERVAL_S)

    def _stop_watch(self) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    def _make_sender(self) -> OrderSender:
        return OrderSender(
            self._api,
            self._timers,
            self._lease,
            self._engines,
            LoadSchedule(lambda name: load_rate(self._state.current, name)),
            self._checks_fencing,
        )

    def _checks_fencing(self, endpoint: str) -> bool:
        found = self._state.current.endpoints.get(endpoint)
        return found is not None and found.checks_fencing

    def _is_candidate(self) -> bool:
        # The lease is not needed without model engines.
        if not any(r.kind == "model" for r in self._routes()):
            return False
        return self._node in choose_candidates(self._members(), LEASE)

    def _routes(self) -> Iterable[Any]:
        return self._state.current.routes.values()
