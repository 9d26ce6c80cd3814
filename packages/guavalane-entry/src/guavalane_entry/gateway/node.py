"""Assembly and lifecycle of a gateway node."""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Callable
from typing import Any

import attrs

from guavalane_core import tasks
from guavalane_core.forwarding import CallerLimits, MovePhase, VersionMove
from guavalane_core.messages import (
    EndpointLimitReport,
    EndpointWork,
    QuarantineReport,
    WorkReport,
)
from guavalane_core.objects import StatusApi
from guavalane_core.objects.relays import RelayCandidate
from guavalane_core.timers import Timers
from guavalane_entry.caller_bounds import CallerBounds, CallerTotals
from guavalane_entry.gateway import (  # noqa: F401
    move_duty,
    node_duty,
    replica_duty,
    usage_duty,
)
from guavalane_entry.gateway.availability import ApiAvailability
from guavalane_entry.gateway.cloud import Cloud
from guavalane_entry.gateway.codec import RequestCodec
from guavalane_entry.gateway.components import GatewayComponents
from guavalane_entry.gateway.copies import PATH, CopyReader, encode_copy
from guavalane_entry.gateway.crash_monitor import CrashMonitor
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.duties import (
    DutyContext,
    DutyRunner,
    MoveOrders,
)
from guavalane_entry.gateway.endpoint_client import EndpointClient
from guavalane_entry.gateway.endpoint_limits import EndpointLimits
from guavalane_entry.gateway.evacuations import EvacuationSink
from guavalane_entry.gateway.forwarder import Forwarder
from guavalane_entry.gateway.listener import CallerListener
from guavalane_entry.gateway.names import HeaderNames
from guavalane_entry.gateway.quarantine import QuarantineService
from guavalane_entry.gateway.quarantine_store import QUARANTINE_KIND
from guavalane_entry.gateway.registration import NODE_KIND, Registration
from guavalane_entry.gateway.reports import (
    MAX_NODES_AT_BASE_PERIOD,
    PeerReports,
)
from guavalane_entry.gateway.settings import GatewaySettings
from guavalane_entry.gateway.sinks import (
    ConfigurationDecoder,
    ConfigurationSink,
    EndpointDecoder,
    EndpointSink,
    MoveDecoder,
    MoveSink,
    PeerSink,
)
from guavalane_entry.gateway.status_listener import StatusListener
from guavalane_entry.gateway.unreadable_objects import UnreadableObjects
from guavalane_entry.gateway.view import NodeView
from guavalane_entry.gateway.watch import KindWatch
from guavalane_entry.gateway.where import PATH as WHERE_PATH
from guavalane_entry.gateway.where import WhereHandler
from guavalane_entry.gateway.work_reports import WORK_PERIOD_S, WorkReports
from guavalane_entry.metrics import Metrics
from guavalane_entry.relays.link import RelayLink
from guavalane_entry.relays.object_api import MAX_AGE_S, RelayedObjectApi
from guavalane_entry.relays.server import HEARTBEAT_S, RelayServer
from guavalane_entry.relays.server import PATH as CHANGES_PATH

# Part of the operators' time for an evacuation after which the known zones are
# read again. The rest covers the detection of a silent connection.
EVACUATION_AGE_FRACTION = 0.6
# Jitter of the load report interval as a fraction, so that nodes do not send in
# step.
WORK_JITTER = 0.2
# Time after SIGTERM for which new connections are accepted, in seconds. The
# load balancer checks readiness once a second and needs two failed checks.
UNREADY_PERIOD_S = 2.5
# Part of the stop grace period reserved for closing connections, in seconds.
CLOSE_RESERVE_S = 0.7
# Time before that at which unfinished requests get their final response, in
# seconds.
ANSWER_RESERVE_S = 0.2


@attrs.frozen(eq=False)
class MoveKind:
    """Kind of the objects that order version moves.

    Attributes:
      name: Name of the kind; its objects are named after services.
      decode: Function that decodes an order.
      encode_status: Function that returns the order status for a phase.
    """

    name: str
    decode: MoveDecoder
    encode_status: Callable[[VersionMove, MovePhase], dict[str, Any]]


class GatewayNode:
    """Creates the components of a node and manages their lifecycle.

    Args:
      settings: Settings.
      names: Header names of the deployment.
      api: Object API.
      cloud: Platform API.
      configuration_kind: Kind of the configuration and its decoder.
      endpoint_kind: Kind of the endpoints' entries and their decoder.
      move_kind: Kind of the orders to move services to other versions.
      timers: Timer service.
      rng: Random number generator.
      evacuation_kind: Kind of the objects that are named after the zones that
          are evacuated; watched only if the settings state a time for it.
      is_first_start: Whether no process of any node has run before, whose
          retries would count.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        names: HeaderNames,
        api: StatusApi,
        cloud: Cloud,
        configuration_kind: tuple[str, ConfigurationDecoder],
        endpoint_kind: tuple[str, EndpointDecoder],
        move_kind: MoveKind,
        timers: Timers,
        rng: random.Random | None = None,
        *,
        evacuation_kind: str | None = None,
        is_first_start: bool = False,
    ) -> None:
        rng = rng or random.Random()
        self._settings = settings
        self._timers = timers
        self._api = api
        self._metrics = Metrics()
        self._log = DecisionLog(settings.name, timers.wall)
        self._unreadable = UnreadableObjects(self._log, self._metrics)
        started_s = -math.inf if is_first_start else timers.now()
        self._view = NodeView(settings, timers, rng, started_s)
        self._incarnation = int(timers.wall() * 1000)
        self._reports = PeerReports(
            self._view,
            timers,
            self._log,
            self._incarnation,
            lambda: self._duties.current_fencing_number(),
            {
                WorkReport: lambda report: self._work_reports.receive(report),
                QuarantineReport: lambda report: self._quarantine.receive(
                    report
                ),
                EndpointLimitReport: lambda report: (
                    self._endpoint_limits.receive(report)
                ),
            },
        )
        self._view.use_live_peers(lambda: len(self._reports.live_peers()))
        self._endpoint_limits = EndpointLimits(
            self._view, timers, self._log, self._reports.send_to_all
        )
        self._bounds = CallerBounds(
            timers,
            settings.memory_mb,
            settings.max_descriptors,
            self._log_limited,
        )
        self._endpoint_client = EndpointClient(self._bounds)
        self._quarantine = QuarantineService(
            self._view, api, timers, self._log, self._reports.send_to_all
        )
        self._crash_monitor = CrashMonitor(
            self._view,
            self._endpoint_client,
            self._quarantine,
            timers,
            self._log,
        )
        codec = RequestCodec(names)
        forwarder = Forwarder(
            GatewayComponents(
                self._view,
                self._endpoint_client,
                codec,
                self._log,
                self._metrics,
                self._quarantine,
                self._crash_monitor,
                self._endpoint_limits,
            )
        )
        self._callers = CallerListener(
            settings.callers,
            codec,
            timers,
            self._limits,
            forwarder.forward,
            self._view.stop_deadline,
            self._bounds,
        )
        self._readiness = StatusListener(
            settings.readiness, {settings.readiness_path: self._check_readiness}
        )
        self._metrics_listener = StatusListener(
            settings.metrics,
            {"/metrics": lambda: (200, self._metrics.render())},
            {WHERE_PATH: WhereHandler(self._view).serve},
        )
        self._registration = Registration(
            api,
            settings,
            self._incarnation,
            timers,
            expects_entry=not is_first_start,
        )
        self._work_reports = WorkReports(
            settings.name,
            self._incarnation,
            self._view.work,
            self._work_relays,
            self._reports.send_to,
            timers,
        )
        self._relay_server = RelayServer(timers, self._relayed_work)
        self._relay_link = RelayLink(
            settings.relay_candidate,
            lambda: [
                self._view.relay_candidates.get(name) or RelayCandidate(name)
                for name in self._reports.live_peers()
            ],
            self._reports.address_of,
            self._work_reports.receive_sum,
            timers,
            self._log,
            rng,
        )
        self._watches = self._make_watches(
            configuration_kind,
            endpoint_kind,
            move_kind,
            evacuation_kind if settings.evacuation_s is not None else None,
        )
        self._copies = CopyReader(
            self._watches,
            self._reports,
            self._configuration_version,
            timers,
            self._log,
            rng,
        )
        self._copy_listener = StatusListener(
            settings.peers,
            {
                PATH + name: functools.partial(encode_copy, watch)
                for name, watch in self._watches.items()
            },
            {CHANGES_PATH: self._relay_server.serve},
            max_connections=None,
        )
        orders = MoveOrders(
            self._watches["moves"].objects, move_kind.encode_status
        )
        context = DutyContext(
            self._view,
            api,
            cloud,
            self._log,
            orders,
            self._reports.live_peers,
        )
        self._duties = DutyRunner(
            context, self._reports, timers, self._incarnation
        )
        self._add_gauges()
        self._created_s = timers.now()
        self._stopping = False

    @property
    def ready(self) -> bool:
        """Whether the node accepts new callers."""
        return (
            not self._stopping
            and self._view.table is not None
            and self._watches["endpoints"].listed
            and self._knows_evacuations()
        )

    def on_unreadable_object(self, kind: str, name: str) -> None:
        """Records a read of a stored object whose text cannot be read."""
        self._unreadable.record(kind, name)

    async def start(self) -> None:
        """Starts all components."""
        self._log.start()
        self._log.event(
            "node.started", zone=self._settings.zone, boot=self._incarnation
        )
        await self._readiness.start()
        await self._metrics_listener.start()
        await self._callers.start()
        await self._reports.start()
        await self._copy_listener.start()
        for watch in self._watches.values():
            watch.start()
        self._registration.start()
        self._relay_link.start()
        self._timers.call_every(HEARTBEAT_S, self._relay_server.send_heartbeat)
        self._timers.call_every(
            WORK_PERIOD_S,
            self._work_reports.send,
            jitter=WORK_JITTER,
            rng=self._view.rng,
        )
        self._copies.start()
        self._duties.start()

    def reload(self, settings: GatewaySettings) -> None:
        """Applies changed settings."""
        needs_restart = self._view.reload(settings)
        self._log.event("settings.reloaded", needs_restart=needs_restart)

    async def stop(self) -> None:
        """Finishes pending requests within the grace period, then stops."""
        began_s = self._timers.now()
        self._stopping = True
        self._log.event("node.stopping", active=self._callers.active)
        drain_s = self._view.settings.stop_grace_s - CLOSE_RESERVE_S
        self._view.stop_deadline.begin(max(0.0, drain_s - ANSWER_RESERVE_S))
        self._callers.close_after_responses()
        await self._duties.stop()
        await self._timers.sleep(UNREADY_PERIOD_S)
        spent_s = self._timers.now() - began_s
        await self._callers.drain(max(0.0, drain_s - spent_s))
        await self._registration.stop()
        await self._copies.stop()
        await self._relay_link.stop()
        await self._copy_listener.stop()
        for watch in self._watches.values():
            await watch.stop()
        self._reports.stop()
        await self._crash_monitor.stop()
        await self._quarantine.stop()
        self._endpoint_limits.stop()
        await self._endpoint_client.close()
        await self._metrics_listener.stop()
        await self._readiness.stop()
        self._log.event("node.stopped", left=self._callers.active)
        self._log.stop()

    def _knows_evacuations(self) -> bool:
        """Returns whether evacuations were listed, or could not be for long."""
        watch = self._watches.get("evacuations")
        limit_s = self._settings.evacuation_s
        if watch is None or watch.listed or limit_s is None:
            return True
        return self._timers.now() - self._created_s > limit_s

    def _add_gauges(self) -> None:
        """Registers gauges of the node state."""
        view = self._view
        gauges = {
            **self._bounds.gauges,
            "watch_age_seconds": lambda: {
                name: watch.age_s for name, watch in self._watches.items()
            },
            "watch_lost_seconds": lambda: {
                name: watch.lost_for_s for name, watch in self._watches.items()
            },
            "configuration_version": lambda: {
                "": self._configuration_version()
            },
            "configuration_behind_seconds": lambda: (
                view.configuration_delays.summary(self._timers.now())
            ),
            "store_era": lambda: {"": view.store_era.era},
            "requests_active": lambda: {"": self._callers.active},
            "endpoints_known": lambda: {"": len(view.directory)},
            "peers": lambda: {
                "known": len(view.peers),
                "heard": len(self._reports.live_peers()),
            },
            "allotment_drawn_units": lambda: dict(view.allotments.drawn),
            "allotment_rationed": view.allotments.rationed,
            "quarantined_parts": lambda: {
                "": len(view.quarantines.quarantines)
            },
            "endpoint_limit_requests_per_second": lambda: dict(
                view.endpoint_rates.in_force(self._timers.now())
            ),
            "endpoint_slowdown": lambda: view.server_loads.known(
                self._timers.now()
            ),
            "cold_endpoints": lambda: {
                service: len(left)
                for service, left in view.cold_by_service().items()
            },
            "evacuated_zones": lambda: dict.fromkeys(view.evacuated, 1),
            "duties_fencing_number": lambda: {
                "": self._duties.current_fencing_number()
            },
            "task_failures": lambda: dict(tasks.failures),
            "log_lines_dropped": lambda: {"": self._log.dropped},
            "relay_followers": lambda: {"": self._relay_server.followers},
            "work_requests": lambda: {
                name: load.requests
                for name, load in view.work.own_loads().items()
            },
        }
        for name, read in gauges.items():
            self._metrics.gauge(name, read)

    def _log_limited(self, totals: CallerTotals) -> None:
        self._log.event(
            "callers.limited",
            evictions=totals.evictions,
            connections_closed=totals.connections_closed,
            connections=totals.connections,
            held_bytes=totals.held_bytes,
            limit_bytes=totals.limit_bytes,
        )

    def _sums_work(self) -> bool:
        """Returns whether relays sum the work of all nodes.

        In a small fleet, the reports of single nodes are more recent.
        """
        return len(self._view.peers) > MAX_NODES_AT_BASE_PERIOD

    def _work_relays(self) -> list[str]:
        return self._relay_link.other_relays() if self._sums_work() else []

    def _relayed_work(self) -> tuple[EndpointWork, ...]:
        return self._work_reports.sum_work() if self._sums_work() else ()

    def _limits(self) -> CallerLimits:
        table = self._view.table
        return table.configuration.limits if table else CallerLimits()

    def _configuration_version(self) -> int:
        table = self._view.table
        return table.configuration.version if table else 0

    def _check_readiness(self) -> tuple[int, bytes]:
        return (200, b"ready\n") if self.ready else (503, b"not ready\n")

    def _make_watches(
        self,
        configuration_kind: tuple[str, ConfigurationDecoder],
        endpoint_kind: tuple[str, EndpointDecoder],
        move_kind: MoveKind,
        evacuation_kind: str | None,
    ) -> dict[str, KindWatch]:
        kinds = {
            "configuration": (
                configuration_kind[0],
                ConfigurationSink(self._view, configuration_kind[1], self._log),
            ),
            "endpoints": (
                endpoint_kind[0],
                EndpointSink(
                    self._view,
                    endpoint_kind[1],
                    self._log,
                    lambda: self._watches["moves"].refresh(),
                ),
            ),
            "nodes": (
                NODE_KIND,
                PeerSink(self._view, self._registration.renew, self._log),
            ),
            "moves": (
                move_kind.name,
                MoveSink(self._view, move_kind.decode, self._log),
            ),
            "quarantines": (QUARANTINE_KIND, self._quarantine.sink),
        }
        urgent = dict.fromkeys(
            (configuration_kind[0], endpoint_kind[0]), MAX_AGE_S
        )
        if evacuation_kind is not None:
            kinds["evacuations"] = (
                evacuation_kind,
                EvacuationSink(self._view, self._log),
            )
            urgent[evacuation_kind] = (
                EVACUATION_AGE_FRACTION * self._settings.evacuation_s
            )
        api = RelayedObjectApi(
            self._api,
            self._relay_link,
            self._relay_server,
            urgent,
            self._timers,
            (NODE_KIND,),
        )
        availability = ApiAvailability()
        return {
            name: KindWatch(
                api,
                kind,
                sink,
                self._timers,
                self._log,
                self._view.rng,
                availability,
                functools.partial(
                    self._metrics.record, "watch_age_at_change", name
                ),
                self._view.store_era,
            )
            for name, (kind, sink) in kinds.items()
        }
