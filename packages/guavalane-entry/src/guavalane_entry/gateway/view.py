"""What a node believes of the deployment."""

from __future__ import annotations

import random
from collections.abc import Mapping

import attrs

from guavalane_core.allotments import AllotmentLedger
from guavalane_core.fleet.replica_demand import DemandTotals, ReplicaDemand
from guavalane_core.forwarding import (
    EndpointDirectory,
    ForwardingConfiguration,
    RouteTable,
    SharedRetryBudget,
)
from guavalane_core.moves.table import MoveTable
from guavalane_core.placement import EngineRates, PrefixDirectory, WorkTable
from guavalane_core.routing.ejection import OutlierEjector
from guavalane_core.timers import Timers
from guavalane_core.usage import MedianClock, UsageCounts
from guavalane_entry.gateway.settings import GatewaySettings

# Part of the operators' tolerance of allotments that is used on purpose. The
# rest covers the use of other nodes that is not reported yet.
USED_TOLERANCE = 0.5
# Settings that are in force as soon as they are read.
LIVE_SETTINGS = frozenset(
    {"retries", "allotments", "usage_due_s", "stop_grace_s"}
)


class NodeView:
    """State that the tasks of one node share.

    Args:
      settings: Settings of the node.
      timers: Timer service.
      rng: Source of random choices.
    """

    def __init__(
        self, settings: GatewaySettings, timers: Timers, rng: random.Random
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._rng = rng
        self._directory = EndpointDirectory()
        self._work = WorkTable()
        self._prefixes = PrefixDirectory()
        self._ejector = OutlierEjector()
        self._allotments = AllotmentLedger()
        self._apply_tolerance()
        self._clock = MedianClock(timers)
        self._usage = UsageCounts(settings.usage_window_s)
        self._peers: dict[str, str] = {}
        self._moves = MoveTable(settings.exposure)
        self._table: RouteTable | None = None
        self._retries: dict[str, SharedRetryBudget] = {}
        self._rates: dict[str, EngineRates] = {}
        self._demands: dict[str, ReplicaDemand] = {}
        self._sent: dict[str, DemandTotals] = {}

    @property
    def timers(self) -> Timers:
        """Timer service."""
        return self._timers

    @property
    def rng(self) -> random.Random:
        """Source of random choices."""
        return self._rng

    @property
    def directory(self) -> EndpointDirectory:
        """Endpoints that the node knows."""
        return self._directory

    @property
    def work(self) -> WorkTable:
        """Work of all nodes at endpoints."""
        return self._work

    @property
    def prefixes(self) -> PrefixDirectory:
        """Prompt parts that endpoints hold."""
        return self._prefixes

    @property
    def ejector(self) -> OutlierEjector:
        """Endpoints that are held back."""
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
        """Requests that began, by window."""
        return self._usage

    @property
    def moves(self) -> MoveTable:
        """Moves of services to other versions."""
        return self._moves

    @property
    def peers(self) -> dict[str, str]:
        """Addresses of the other nodes by name."""
        return self._peers

    @property
    def settings(self) -> GatewaySettings:
        """Settings in force."""
        return self._settings

    @property
    def table(self) -> RouteTable | None:
        """Configuration in force; None before the first."""
        return self._table

    @property
    def sent(self) -> Mapping[str, DemandTotals]:
        """What this process has sent, by service."""
        return self._sent

    @property
    def node_count(self) -> int:
        """Nodes that are known, this one included."""
        return len(self.peers) + 1

    def reload(self, settings: GatewaySettings) -> list[str]:
        """Takes changed settings.

        Addresses and names hold for the life of a process; the other changes
        are in force at once.

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
            if name in LIVE_SETTINGS
        }
        self._settings = attrs.evolve(current, **live)
        self._apply_tolerance()
        if self._table is not None:
            self._apply_organisations(self._table.configuration)
        limits = self._settings.retries
        for budget in self._retries.values():
            budget.set_limits(limits.ratio, limits.slack, limits.window_s)
        return [name for name in changed if name not in LIVE_SETTINGS]

    def offer(self, configuration: ForwardingConfiguration) -> bool:
        """Takes a configuration if its version is higher; tells whether."""
        current = self._table
        if (
            current is not None
            and configuration.version <= current.configuration.version
        ):
            return False
        self._table = RouteTable(configuration)
        self._apply_organisations(configuration)
        return True

    def _apply_tolerance(self) -> None:
        tolerance = self._settings.allotments
        self.allotments.set_tolerance(
            tolerance.ratio * USED_TOLERANCE, tolerance.slack * USED_TOLERANCE
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
                limits.ratio, limits.slack, limits.window_s
            )
        return budget

    def rates(self, service: str) -> EngineRates:
        """Returns the speeds of a service's engines."""
        return self._rates.setdefault(service, EngineRates())

    def demand(self, service: str) -> ReplicaDemand:
        """Returns the demand of all nodes for a service."""
        demand = self._demands.get(service)
        if demand is None:
            demand = ReplicaDemand(self.timers.now())
            self._demands[service] = demand
        return demand

    def add_sent(self, service: str, read_tokens: int) -> None:
        """Counts a request that this process sends to a service."""
        totals = self._sent.get(service, DemandTotals())
        totals = DemandTotals(
            totals.requests + 1, totals.read_tokens + read_tokens
        )
        self._sent[service] = totals
        self.demand(service).report(self.settings.name, 0, totals)
