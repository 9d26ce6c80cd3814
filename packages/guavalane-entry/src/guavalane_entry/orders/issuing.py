"""Orders to model engines on one node: the sender under its lease."""

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
# Time between two looks at orders that are new or not in force, in seconds.
TICK_S = 1.0
# Time between two readings of all orders and engines, in seconds. A late order
# of an older sender lasts at most this long on an engine that does not check.
REPAIR_S = 10.0
# Bound on the rate of these readings, which stretches the time between two of
# them above 1,000 engines.
ENGINES_PER_S = 100.0
# Shortest time between two watches, in seconds: each counts as a call.
REARM_S = 0.5
# Longest wait of a report for the object API, in seconds.
REPORT_LIMIT_S = 1.0
UNKNOWN = "unknown"


def is_model_engine(configuration: Configuration, endpoint: str) -> bool:
    """Returns whether an endpoint is configured and serves a model route."""
    found = configuration.endpoints.get(endpoint)
    return found is not None and any(
        route.kind == "model" and route.deployment == found.deployment
        for route in configuration.routes.values()
    )


def load_rate(configuration: Configuration, endpoint: str) -> float:
    """Returns the rate at which an engine may load, in bytes per second.

    It is 0 if the configuration states none.
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
    """Carries out recorded orders while this node holds the lease.

    Args:
      node: Name of this node.
      state: Configuration in force.
      api: Object API.
      lease: Lease of the order sender.
      engines: Calls to engines.
      timers: Timer service.
      members: Returns the live members.
      is_live: Returns whether a process, named by node and incarnation, runs.
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
        self._number = 0
        self._reconciled_s = float("-inf")
        self._pending: list[str] = []
        self._changed = False
        self._task: asyncio.Task | None = None
        self._watch: asyncio.Task | None = None

    @property
    def engines(self) -> EngineOrders:
        """Calls to engines; any node may read their status."""
        return self._engines

    def start(self) -> None:
        """Starts to take part in the election and to carry out orders."""
        self._lease.start(is_candidate=self._is_candidate)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops to send and gives the lease up."""
        await cancel_tasks(self._task)
        self._stop_watch()
        await self._lease.stop()

    async def tick(self) -> None:
        """Carries out what is due if this node holds the lease.

        Raises:
          LeaseLostError: The lease lapsed meanwhile.
          ObjectApiError: The intents could not be read.
        """
        if not self._lease.check():
            self._sender, self._pending = None, []
            self._stop_watch()
            return
        number = self._lease.fencing_number
        if self._sender is None or number != self._number:
            # Start times of an earlier term do not count any more.
            self._sender = self._make_sender()
            self._number = number
            self._reconciled_s = float("-inf")
            log.info("orders: sends with fencing number {}", number)
        if self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._follow())
        now = self._timers.now()
        interval_s = max(REPAIR_S, self._sender.intent_count / ENGINES_PER_S)
        full = now - self._reconciled_s >= interval_s
        # Engines that do not answer are tried again with the next full round.
        due = set(self._pending) - self._sender.unresponsive
        if not (full or due or self._changed):
            return
        self._changed = False
        try:
            pending = await self._sender.reconcile(full)
        except GuavalaneError:
            self._changed = True
            raise
        if full:
            self._reconciled_s = now
        if pending != self._pending:
            log.info("orders: not in force yet: {}", ", ".join(pending) or "-")
        self._pending = pending

    async def find_sender(self) -> dict[str, Any]:
        """Returns the node that sends orders, with its fencing number.

        The node is empty if no live node holds the lease, and `unknown` if the
        object API does not tell.
        """
        number = self._lease.fencing_number
        if self._lease.check():
            return {"node": self._node, "fencing_number": number}
        try:
            async with asyncio.timeout(REPORT_LIMIT_S):
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
        """Returns this node's part in sending orders."""
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
                # A defect here must not end the sending for good.
                log.opt(exception=error).error("orders: tick failed")
            await self._timers.sleep(TICK_S)

    async def _follow(self) -> None:
        """Notes changes of orders; without a watch, full rounds find them."""
        try:
            _, version = await self._api.list(KIND)
            self._changed = True
            while self._lease.check():
                async for event in self._api.watch(KIND, version):
                    version = event.object.version
                    self._changed = True
                await self._timers.sleep(REARM_S)
        except ObjectApiError as error:
            log.debug("orders: watch ended: {}", error)
            await self._timers.sleep(REARM_S)

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

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
        # Without model engines, the lease would be renewed for nothing.
        if not any(r.kind == "model" for r in self._routes()):
            return False
        return self._node in choose_candidates(self._members(), LEASE)

    def _routes(self) -> Iterable[Any]:
        return self._state.current.routes.values()
