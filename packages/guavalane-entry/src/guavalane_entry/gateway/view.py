"""Shared state of a node: its view of the deployment."""

from __future__ import annotations

import copy
import math
import random
from collections.abc import Callable, Mapping, Set

import attrs

from guavalane_core.allotments import AllotmentLedger
from guavalane_core.fleet.replica_demand import DemandTotals, ReplicaDemand
from guavalane_core.forwarding import (
    Endpoint,
    EndpointDirectory,
    ForwardingConfiguration,
    RouteDurations,
    RouteTable,
    Service,
    SharedRetryBudget,
)
from guavalane_core.forwarding.stalls import EventGaps
from guavalane_core.hedging import FirstResponseTimes, HedgeBudget
from guavalane_core.limits.cold_endpoints import ColdEndpoints
from guavalane_core.limits.endpoint_rates import EndpointRateLimits
from guavalane_core.moves.table import MoveTable
from guavalane_core.objects.relays import RelayCandidate
from guavalane_core.placement import (
    EngineRates,
    PrefixDirectory,
    ServerLoads,
    WorkTable,
)
from guavalane_core.quarantine import QuarantineTable, draw_digest_key
from guavalane_core.routing.ejection import OutlierEjector
from guavalane_core.timers import Timers
from guavalane_core.usage import MedianClock, UsageCounts
from guavalane_entry.gateway.configuration_delays import ConfigurationDelays
from guavalane_entry.gateway.serving_times import ServingTimes
from guavalane_entry.gateway.settings import GatewaySettings
from guavalane_entry.gateway.stop_deadline import StopDeadline
from guavalane_entry.gateway.store_era import StoreEra

# Fraction of the allotment tolerance that a node uses deliberately. The rest
# covers use by other nodes that is not reported yet.
USED_TOLERANCE_FRACTION = 0.5
# Part of the additional units of a window that flow in evenly; the others add
# to the burst. Over a whole window both admit the same number of units, but an
# organisation whose demand exceeds its rate all the time has used up its burst
# and gets only what flows in.
EVEN_SLACK_FRACTION = 0.5
# Interval at which other nodes and their cores are counted again, in seconds.
COUNT_PERIOD_S = 0.5
# Settings that take effect on reload, without a restart.
RELOADABLE_SETTINGS = frozenset(
    {"retries", "hedges", "allotments", "usage_due_s", "stop_grace_s"}
)


class NodeView:
    """State that the tasks of one node share.

    Args:
      settings: Settings of the node.
      timers: Timer service.
      rng: Random number generator.
      started_s: Monotonic time of the start of the process, in seconds; now by
          default.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        timers: Timers,
        rng: random.Random,
        started_s: float | None = None,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._rng = rng
        self._directory = EndpointDirectory()
        self._work = WorkTable()
        self._server_loads = ServerLoads()
        self._prefixes = PrefixDirectory()
        self._ejector = OutlierEjector()
        self._started_s = timers.now() if started_s is None else started_s
        self._allotments = AllotmentLedger(started_s=self._started_s, rng=rng)
        self._apply_tolerance()
        self._clock = MedianClock(timers)
        self._usage = UsageCounts(settings.usage_window_s)
        self._peers: dict[str, str] = {}
        self._peers_listed = False
        self._relay_candidates: dict[str, RelayCandidate] = {}
        self._moves = MoveTable(
            settings.exposure, settings.exposure_slack, self._rng
        )
        self._quarantines = QuarantineTable()
        self._digest_key = draw_digest_key()
        self._endpoint_rates = EndpointRateLimits(settings.name, rng)
        self._cold_endpoints = ColdEndpoints(settings.name, rng, settings.cold)
        self._serving = ServingTimes(math.isinf(self._started_s))
        self._evacuated: Set[str] = frozenset()
        self._count_live_peers: Callable[[], int] | None = None
        # Monotonic time of the last count, in seconds, and its result.
        self._heard = (-math.inf, 1.0)
        self._core_share = (-math.inf, 1.0)
        self._configuration_delays = ConfigurationDelays()
        self._durations = RouteDurations()
        self._event_gaps = EventGaps()
        self._stop_deadline = StopDeadline(timers)
        self._store_era = StoreEra(timers)
        self._table: RouteTable | None = None
        self._retries: dict[str, SharedRetryBudget] = {}
        self._hedge_budgets: dict[str, HedgeBudget] = {}
        self._first_responses = FirstResponseTimes()
        self._rates: dict[str, EngineRates] = {}
        self._demands: dict[str, ReplicaDemand] = {}
        self._sent: dict[str, DemandTotals] = {}

    @property
    def timers(self) -> Timers:
        """Timer service."""
        return self._timers

    @property
    def rng(self) -> random.Random:
        """Random number generator."""
        return self._rng

    @property
    def directory(self) -> EndpointDirectory:
        """Known endpoints."""
        return self._directory

    @property
    def work(self) -> WorkTable:
        """Load of endpoints from all nodes."""
        return self._work

    @property
    def server_loads(self) -> ServerLoads:
        """Load and speed that endpoints state in their responses."""
        return self._server_loads

    @property
    def prefixes(self) -> PrefixDirectory:
        """Prompt parts that endpoints have cached."""
        return self._prefixes

    @property
    def ejector(self) -> OutlierEjector:
        """Ejection of failing endpoints."""
        return self._ejector

    @property
    def allotments(self) -> AllotmentLedger:
        """Allotments of organisations."""
        return self._allotments

    @property
    def clock(self) -> MedianClock:
        """Estimate of true time."""
        return self._clock

    @property
    def usage(self) -> UsageCounts:
        """Started requests by usage window."""
        return self._usage

    @property
    def moves(self) -> MoveTable:
        """Moves of services to other versions."""
        return self._moves

    @property
    def quarantines(self) -> QuarantineTable:
        """Prompt parts in quarantine."""
        return self._quarantines

    @property
    def digest_key(self) -> bytes:
        """Key of the digests of requests.

        It is the node's own until that of all nodes is known.
        """
        return self._digest_key

    def update_digest_key(self, key: bytes) -> None:
        """Applies the key of all nodes."""
        self._digest_key = key

    @property
    def endpoint_rates(self) -> EndpointRateLimits:
        """Rate limits that endpoints stated."""
        return self._endpoint_rates

    @property
    def peers(self) -> dict[str, str]:
        """Addresses of the other nodes by name."""
        return self._peers

    @property
    def relay_candidates(self) -> dict[str, RelayCandidate]:
        """The other nodes as candidates for relays, by name."""
        return self._relay_candidates

    @property
    def settings(self) -> GatewaySettings:
        """Settings in force."""
        return self._settings

    @property
    def table(self) -> RouteTable | None:
        """Route table of the active configuration; None without one."""
        return self._table

    @property
    def configuration_delays(self) -> ConfigurationDelays:
        """Delays with which configurations came into force."""
        return self._configuration_delays

    @property
    def durations(self) -> RouteDurations:
        """Durations of requests by route."""
        return self._durations

    @property
    def first_responses(self) -> FirstResponseTimes:
        """Times to the first response of attempts by route."""
        return self._first_responses

    @property
    def event_gaps(self) -> EventGaps:
        """Recent gaps between stream events by endpoint."""
        return self._event_gaps

    @property
    def stop_deadline(self) -> StopDeadline:
        """Time left for requests while the node stops."""
        return self._stop_deadline

    @property
    def store_era(self) -> StoreEra:
        """Era of the object API."""
        return self._store_era

    @property
    def sent(self) -> Mapping[str, DemandTotals]:
        """Totals that this process has sent, by service."""
        return self._sent

    @property
    def node_count(self) -> int:
        """Number of known nodes, including this one."""
        return len(self.peers) + 1

    @property
    def sharing_nodes(self) -> float:
        """Number of nodes among which a limit of all nodes is divided.

        It is infinite until the nodes are listed: a node that knows no other
        would use the whole limit, and so would all that have just started.
        """
        return self.node_count if self._peers_listed else math.inf

    def copy_for_preview(self) -> NodeView:
        """Returns a view in which a decision can be made without an effect.

        What a decision draws or uses up is copied: random numbers, allotments,
        limits of endpoints and the exposure of versions. Everything else is
        shared and may only be read.
        """
        preview = copy.copy(self)
        # The copies share one copy of the random number generator.
        memo = {id(self._timers): self._timers}
        preview._rng = copy.deepcopy(self._rng, memo)
        preview._allotments = copy.deepcopy(self._allotments, memo)
        preview._endpoint_rates = copy.deepcopy(self._endpoint_rates, memo)
        preview._cold_endpoints = copy.deepcopy(self._cold_endpoints, memo)
        preview._moves = copy.deepcopy(self._moves, memo)
        return preview

    def connection_share(self) -> float:
        """Returns this node's fraction of the connections to an endpoint.

        It is proportional to the cores of the nodes. Nodes that do not tell
        theirs count as the mean of the others; without own cores, all nodes
        count the same.
        """
        now_s = self.timers.now()
        counted_s, share = self._core_share
        if now_s - counted_s >= COUNT_PERIOD_S:
            share = self._count_core_share()
            self._core_share = (now_s, share)
        return share

    def _count_core_share(self) -> float:
        own = self.settings.cores
        if own <= 0:
            return 1.0 / self.node_count
        candidates = self._relay_candidates.values()
        cores = [own, *(c.cores for c in candidates if c.cores > 0)]
        return own / (sum(cores) / len(cores) * self.node_count)

    def on_peers_listed(self) -> None:
        """Records that `peers` holds all nodes that are registered."""
        self._peers_listed = True
        self._serving.on_nodes_listed()

    @property
    def cold_endpoints(self) -> ColdEndpoints:
        """Endpoints that take few requests after their start."""
        return self._cold_endpoints

    @property
    def serving(self) -> ServingTimes:
        """Times since which nodes have been serving."""
        return self._serving

    @property
    def evacuated(self) -> Set[str]:
        """Zones whose endpoints get no new request."""
        return self._evacuated

    def update_evacuated(self, zones: Set[str]) -> None:
        """Applies the zones that are evacuated."""
        self._evacuated = frozenset(zones)

    def use_live_peers(self, count: Callable[[], int]) -> None:
        """Sets the function that returns how many peers are heard."""
        self._count_live_peers = count

    def usable_endpoints(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that get new requests."""
        usable = self._directory.usable(service)
        if not self._evacuated:
            return usable
        return [e for e in usable if e.zone not in self._evacuated]

    def cold_left_s(self, service: Service, endpoint: Endpoint) -> float:
        """Returns the time for which an endpoint is still cold, in seconds."""
        return self._cold_endpoints.remaining_s(
            endpoint.endpoint_id,
            service.cold_start_s if service.cold_rate_per_s else 0.0,
            self._serving.since_ms,
            self.timers.now(),
        )

    def cold_by_service(self) -> dict[str, list[str]]:
        """Returns the usable cold endpoints of services with a cold rate."""
        services = self._table.configuration.services if self._table else {}
        return {
            name: [
                endpoint.endpoint_id
                for endpoint in self.usable_endpoints(name)
                if self.cold_left_s(service, endpoint) > 0
            ]
            for name, service in services.items()
            if service.cold_rate_per_s
        }

    def endpoint_wait_s(self, service: Service, endpoint: Endpoint) -> float:
        """Returns the time until an endpoint's limits admit a request."""
        name = endpoint.endpoint_id
        wait_s = 0.0
        if self._endpoint_rates.has_limit(name):
            wait_s = self._endpoint_rates.wait_s(
                name, self._node_names(), self.timers.now()
            )
        if service.cold_rate_per_s:
            wait_s = max(wait_s, self._cold_wait_s(service, endpoint))
        return wait_s

    def draw_endpoint(self, endpoint_id: str) -> None:
        """Counts a request to an endpoint towards its limits."""
        self._endpoint_rates.draw(endpoint_id)
        self._cold_endpoints.draw(endpoint_id)

    def _cold_wait_s(self, service: Service, endpoint: Endpoint) -> float:
        name = endpoint.endpoint_id
        left_s = self.cold_left_s(service, endpoint)
        if left_s <= 0:
            self._cold_endpoints.on_warm(name)
            return 0.0
        wait_s = self._cold_endpoints.wait_s(
            name,
            service.cold_rate_per_s,
            self._node_names() if self._peers_listed else (),
            self.timers.now(),
            self._heard_fraction(),
        )
        # Another node may have room now if this one may not use the endpoint.
        return wait_s if math.isinf(wait_s) else min(wait_s, left_s)

    def _node_names(self) -> list[str]:
        return [self.settings.name, *self.peers]

    def _heard_fraction(self) -> float:
        """Returns the fraction of the listed nodes that this node hears."""
        if self._count_live_peers is None:
            return 1.0
        now_s = self.timers.now()
        counted_s, fraction = self._heard
        if now_s - counted_s >= COUNT_PERIOD_S:
            heard = 1 + self._count_live_peers()
            fraction = min(1.0, heard / self.node_count)
            self._heard = (now_s, fraction)
        return fraction

    def reload(self, settings: GatewaySettings) -> list[str]:
        """Applies changed settings.

        Only the settings in `RELOADABLE_SETTINGS` take effect at once; the
        others are fixed for the lifetime of the process.

        Returns:
          Names of the changed settings that need a restart.
        """
        current = self._settings
        changed = [
            field.name
            for field in attrs.fields(GatewaySettings)
            if getattr(settings, field.name) != getattr(current, field.name)
        ]
        live = {
            name: getattr(settings, name)
            for name in changed
            if name in RELOADABLE_SETTINGS
        }
        self._settings = attrs.evolve(current, **live)
        self._apply_tolerance()
        if self._table is not None:
            self._apply_organisations(self._table.configuration)
        limits = self._settings.retries
        for budget in self._retries.values():
            budget.set_limits(limits.ratio, limits.slack, limits.window_s)
        for hedge_budget in self._hedge_budgets.values():
            hedge_budget.set_limit(self._settings.hedges.max_extra)
        return [name for name in changed if name not in RELOADABLE_SETTINGS]

    def update_configuration(
        self, configuration: ForwardingConfiguration
    ) -> bool:
        """Applies a configuration if its version is newer.

        Returns:
          Whether it was applied.
        """
        current = self._table
        if (
            current is not None
            and configuration.version <= current.configuration.version
        ):
            return False
        self._table = RouteTable(configuration)
        self._configuration_delays.on_applied(
            configuration.version, self._timers.now()
        )
        self._apply_organisations(configuration)
        return True

    def _apply_tolerance(self) -> None:
        tolerance = self._settings.allotments
        slack = tolerance.slack * USED_TOLERANCE_FRACTION
        even_slack = EVEN_SLACK_FRACTION * slack if tolerance.window_s else 0.0
        self.allotments.set_tolerance(
            tolerance.ratio * USED_TOLERANCE_FRACTION,
            slack - even_slack,
            even_slack / tolerance.window_s if even_slack else 0.0,
        )

    def _apply_organisations(
        self, configuration: ForwardingConfiguration
    ) -> None:
        self.allotments.set_organisations(
            configuration.organisations or (), self.timers.now()
        )

    def retries(self, service: str) -> SharedRetryBudget:
        """Returns the retry budget of a service."""
        budget = self._retries.get(service)
        if budget is None:
            limits = self.settings.retries
            budget = self._retries[service] = SharedRetryBudget(
                limits.ratio, limits.slack, limits.window_s, self._started_s
            )
        return budget

    def hedge_budget(self, service: str) -> HedgeBudget:
        """Returns the limit of hedged attempts of a service."""
        budget = self._hedge_budgets.get(service)
        if budget is None:
            budget = self._hedge_budgets[service] = HedgeBudget(
                self.settings.hedges.max_extra
            )
        return budget

    def rates(self, service: str) -> EngineRates:
        """Returns the measured rates of the engines of a service."""
        return self._rates.setdefault(service, EngineRates())

    def demand(self, service: str) -> ReplicaDemand:
        """Returns the demand for a service over all nodes."""
        demand = self._demands.get(service)
        if demand is None:
            demand = ReplicaDemand(self.timers.now())
            self._demands[service] = demand
        return demand

    def record_sent(self, service: str, read_tokens: int) -> None:
        """Counts a request that this process sends to a service."""
        totals = self._sent.get(service, DemandTotals())
        totals = DemandTotals(
            totals.requests + 1, totals.read_tokens + read_tokens
        )
        self._sent[service] = totals
        self.demand(service).report(self.settings.name, 0, totals)
