"""Entry node: creates, starts and stops its components."""

from __future__ import annotations

import asyncio
import functools
import pathlib
import random
import time
from typing import Any

from loguru import logger as log

from guavalane_core.claims import ClaimStore
from guavalane_core.configuration import ConfigurationState
from guavalane_core.exceptions import ConfigurationError, ObjectApiError
from guavalane_core.leases import LeaseHolder, choose_candidates
from guavalane_core.messages import Goodbye
from guavalane_core.objects import (
    BudgetedObjectApi,
    MemoryObjectApi,
    ObjectApi,
)
from guavalane_core.records import RecordStore
from guavalane_core.requests import OwnerWatch
from guavalane_core.settings import NodeSettings
from guavalane_core.settings.loader import parse_json
from guavalane_core.timers import LoopTimers
from guavalane_entry.caller_bounds import CallerBounds
from guavalane_entry.callers.admission import Admission, EndpointLimits
from guavalane_entry.callers.calls import CallRunner
from guavalane_entry.callers.chat import ChatRunner
from guavalane_entry.callers.server import CallerServer
from guavalane_entry.endpoints.load import LoadPoller
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.endpoints.retrying import RetryRules
from guavalane_entry.fleet.notices import NoticeWatcher
from guavalane_entry.fleet.planning import LEASE_NAME, CloudClient, FleetRunner
from guavalane_entry.fleet.vm_list import VmListWatcher
from guavalane_entry.metrics import Metrics
from guavalane_entry.moves import commands as move_commands
from guavalane_entry.moves.commands import MoveCommands
from guavalane_entry.moves.links import MemberLinks
from guavalane_entry.moves.mover import LEASE as MOVE_LEASE
from guavalane_entry.moves.mover import MoveRunner
from guavalane_entry.operators import dump
from guavalane_entry.operators.server import OperatorServer
from guavalane_entry.orders import commands as order_commands
from guavalane_entry.orders.commands import OrderCommands
from guavalane_entry.orders.http import HttpEngineOrders
from guavalane_entry.orders.issuing import LEASE as ORDER_LEASE
from guavalane_entry.orders.issuing import OrderRunner
from guavalane_entry.peers.connections import PeerLinks
from guavalane_entry.peers.membership import MembershipRunner
from guavalane_entry.requests.at_most_once import AtMostOnceRunner
from guavalane_entry.requests.durable import DurableRunner
from guavalane_entry.requests.executions import Executions
from guavalane_entry.requests.handover import HandoverCoordinator
from guavalane_entry.requests.lookup import RequestLookup
from guavalane_entry.requests.recording import RecordingClient
from guavalane_entry.requests.retention import RetentionRunner
from guavalane_entry.requests.runs import RunTable
from guavalane_entry.store.configuration import ConfigurationStore
from guavalane_entry.store.objects_http import HttpObjectApi
from guavalane_entry.store.sharing import ConfigurationSharing

# Part of the notice period that is reserved for handover and shutdown.
NOTICE_RESERVE_S = 3.0
# Time to send the last events to callers.
FLUSH_TIMEOUT_S = 1.0
RANDOM_BITS = 16


def new_incarnation() -> int:
    """Returns a number that increases with each start of the process."""
    return (int(time.time() * 1000) << RANDOM_BITS) | random.getrandbits(
        RANDOM_BITS
    )


def make_object_api(settings: NodeSettings) -> ObjectApi:
    """Returns the object API client selected in the settings."""
    if settings.object_api.kind == "memory":
        return MemoryObjectApi()
    return HttpObjectApi(settings.object_api.url, settings.object_api.timeout_s)


def _read_initial(path: str) -> dict[str, Any] | None:
    if not path:
        return None
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigurationError([f"{path}: {error.strerror}"]) from None
    return parse_json(text)


class EntryNode:
    """Creates the components of a node, and starts and stops them in order.

    Args:
      settings: Settings of the node.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._incarnation = new_incarnation()
        self._initial = _read_initial(settings.configuration_file)
        self._stopping = asyncio.Event()
        self._reclaimed = asyncio.Event()
        self.timers = LoopTimers()
        self.metrics = Metrics()
        self._object_client = make_object_api(settings)
        self.objects = BudgetedObjectApi(
            self._object_client,
            self.timers,
            lambda: self.membership.sharers,
            settings.object_api.writes_per_s,
            settings.object_api.reads_per_s,
        )
        self.state = ConfigurationState()
        self.configuration_store = ConfigurationStore(
            self.objects, self.state, self.timers
        )
        self.links = PeerLinks(
            settings,
            self._incarnation,
            lambda: self.state.generation,
            self.timers,
        )
        self.membership = MembershipRunner(
            settings,
            self._incarnation,
            self.links,
            self.timers,
            lambda: self.state.generation,
        )
        self.moves = MoveRunner(
            settings.name,
            self.state,
            self.configuration_store,
            self.objects,
            MemberLinks(settings.name, self.links, self.membership),
            self.timers,
            LeaseHolder(
                self.objects.priority,
                self.timers,
                MOVE_LEASE,
                settings.name,
                self._incarnation,
            ),
        )
        self.pool = EndpointPool(
            settings.name,
            settings.zone,
            settings.endpoint_subset,
            self.timers,
            settings.routing_policy,
            self.moves.shares,
        )
        self.loads = LoadPoller(
            self.pool, self.timers, settings.load_polls_per_s
        )
        self.limits = EndpointLimits(self.pool, self.timers)
        self.bounds = CallerBounds(
            self.timers,
            settings.limits.memory_mb,
            settings.limits.max_descriptors,
            lambda totals: log.warning("node: callers limited: {}", totals),
        )
        for name, read in self.bounds.gauges.items():
            self.metrics.gauge(name, read)
        self.client = RecordingClient(
            self.pool, self.limits, self.timers, self.moves, self.bounds
        )
        self.rules = RetryRules(self.timers, self.metrics)
        self.admission = Admission(
            settings.limits,
            self.pool,
            self.limits,
            self.rules,
            self.timers,
            self.metrics,
        )
        runner_args = (self.limits, self.client, self.rules, self.metrics)
        self.chats = ChatRunner(*runner_args)
        self.calls = CallRunner(*runner_args)
        self._make_runners()
        self.callers = CallerServer(
            settings,
            self.calls,
            self.admission,
            self.timers,
            self.metrics,
            self.executions,
            self.runs,
            self.at_most_once,
            self.durable,
            self.lookup,
            self.bounds,
        )
        self.sharing = ConfigurationSharing(
            settings,
            self.state,
            self.links,
            self.membership,
            self.configuration_store,
            self.timers,
        )
        self.operators = OperatorServer(
            settings,
            self.state,
            self.configuration_store,
            self.metrics,
            self.sharing,
            {
                name: functools.partial(function, self)
                for name, function in {
                    "status": dump.status,
                    "nodes": dump.nodes,
                    "endpoints": dump.endpoints,
                    "fleet": dump.fleet,
                    "dump": dump.dump,
                }.items()
            },
        )
        self.fleet = FleetRunner(
            self.pool,
            self.objects,
            LeaseHolder(
                self.objects.priority,
                self.timers,
                LEASE_NAME,
                settings.name,
                self._incarnation,
            ),
            CloudClient(settings.cloud_url, settings.cloud_project),
            self.timers,
            lambda: len(self.membership.live_members),
            lambda: (
                settings.name
                in choose_candidates(self.membership.live_members, LEASE_NAME)
            ),
            lambda: self.objects.reachable,
        )
        move_commands.add_routes(
            self.operators.app,
            MoveCommands(
                self.moves, self.state, self.configuration_store, self.timers
            ),
        )
        self.engine_orders = HttpEngineOrders(self._engine_url)
        self.orders = OrderRunner(
            settings.name,
            self.state,
            self.objects,
            LeaseHolder(
                self.objects.priority,
                self.timers,
                ORDER_LEASE,
                settings.name,
                self._incarnation,
            ),
            self.engine_orders,
            self.timers,
            lambda: self.membership.live_members,
            self.membership.is_live,
        )
        order_commands.add_routes(
            self.operators.app,
            OrderCommands(self.orders, self.state, self.objects),
        )
        self.vm_list = VmListWatcher(settings.vm_list_url, self.timers)
        self.vm_list.subscribe(self.pool.on_vm_list)
        self.vm_list.subscribe(self.membership.on_vm_list)
        self.notices = NoticeWatcher(
            settings.notice_url, self.timers, self._on_notice
        )
        self.state.subscribe(self.pool.apply)
        self.state.subscribe(self.fleet.apply)
        self.state.subscribe(self.admission.apply)
        self.state.subscribe(self.callers.apply)
        self.state.subscribe(lambda _: self.handover.apply(self.callers.table))

    def _make_runners(self) -> None:
        settings, timers, links = self._settings, self.timers, self.links
        self.executions = Executions()
        owners = OwnerWatch(
            settings.name,
            self._incarnation,
            self.membership.is_live,
            timers,
            settings.owner_grace_s,
            self.membership.is_gone,
        )
        self.at_most_once = AtMostOnceRunner(
            ClaimStore(self.objects, timers, owners),
            self.calls,
            self.executions,
            timers,
        )
        self.runs = RunTable(self.chats, self.calls, self.executions, timers)
        self.durable = DurableRunner(
            RecordStore(self.objects, owners),
            owners,
            self.runs,
            self.executions,
            self.membership,
            timers,
            lambda: self.callers.table,
            self.admission,
        )
        self.handover = HandoverCoordinator(
            settings.name,
            settings.zone,
            self.membership,
            links,
            self.runs,
            self.durable,
            self.executions,
            timers,
        )
        self.retention = RetentionRunner(
            settings.name,
            self.objects,
            self.membership,
            timers,
            settings.retention_s,
        )
        self.lookup = RequestLookup(
            settings.name,
            self.membership,
            links,
            self.runs,
            self.durable,
            self.executions,
        )

    def _engine_url(self, endpoint: str) -> str | None:
        found = self.state.current.endpoints.get(endpoint)
        return found.url if found is not None else None

    @property
    def settings(self) -> NodeSettings:
        """Settings of the node."""
        return self._settings

    @property
    def incarnation(self) -> int:
        """Incarnation of this process."""
        return self._incarnation

    async def start(self) -> None:
        """Starts all components."""
        await self._store_initial()
        await self.links.start()
        self.membership.start()
        self.sharing.start()
        self.configuration_store.start()
        self.moves.start()
        await self.operators.start()
        await self.callers.start()
        self.at_most_once.start()
        self.durable.start()
        self.retention.start()
        self.loads.start()
        self.orders.start()
        if self._settings.cloud_url:
            self.fleet.start()
        if self._settings.notice_url:
            self.notices.start()
        self.vm_list.start()
        log.info(
            "node: {} started in zone {}",
            self._settings.name,
            self._settings.zone,
        )

    async def _store_initial(self) -> None:
        if self._initial is None:
            return
        try:
            await self.configuration_store.store_initial(self._initial)
        except ObjectApiError as error:
            log.warning("node: initial configuration not stored: {}", error)

    def request_stop(self) -> None:
        """Requests a graceful shutdown without the limit of a notice period."""
        self._stopping.set()

    def _on_notice(self) -> None:
        self._reclaimed.set()
        self._stopping.set()

    async def run(self) -> None:
        """Serves until a stop is requested, then shuts down gracefully."""
        await self.start()
        await self._stopping.wait()
        await self.stop()

    async def stop(self) -> None:
        """Drains requests and stops all components."""
        log.info("node: draining")
        self.membership.leave()
        self.durable.stop_adopting()
        self.handover.stop_accepting()
        if not await self._drain():
            await self._hand_over_requests()
        await self.durable.stop()
        await self.at_most_once.stop()
        self.links.broadcast(
            Goodbye(node=self._settings.name, incarnation=self._incarnation)
        )
        await self.moves.stop()
        await self.orders.stop()
        self.sharing.stop()
        self.membership.stop()
        await self.retention.stop()
        await self.configuration_store.stop()
        await self.notices.stop()
        await self.loads.stop()
        await self.fleet.stop()
        await self.vm_list.stop()
        await self.callers.stop()
        await self.operators.stop()
        await self.links.stop()
        await self.client.close()
        await self.engine_orders.close()
        await self.objects.close()
        if isinstance(self._object_client, HttpObjectApi):
            await self._object_client.close()
        log.info("node: stopped")

    async def _drain(self) -> bool:
        """Waits for requests in flight and returns whether all have ended.

        A reclaim notice limits the wait to the notice period.
        """
        drain = asyncio.create_task(
            self.callers.drain(self._settings.drain_limit_s)
        )
        notice = asyncio.create_task(self._reclaimed.wait())
        await asyncio.wait({drain, notice}, return_when=asyncio.FIRST_COMPLETED)
        if drain.done():
            notice.cancel()
            return drain.result()
        await self.at_most_once.release_undispatched()
        limit_s = max(0.0, self._settings.notice_s - NOTICE_RESERVE_S)
        await asyncio.wait({drain}, timeout=limit_s)
        if drain.done():
            return drain.result()
        drain.cancel()
        return False

    async def _hand_over_requests(self) -> None:
        """Hands over remaining requests, and ends all others with an error."""
        left = await self.handover.hand_over_all()
        await self.at_most_once.cancel_all()
        await self.callers.cancel_all()
        if left or not await self.callers.drain(FLUSH_TIMEOUT_S):
            log.warning(
                "node: some requests had not ended when the drain timed out"
            )
