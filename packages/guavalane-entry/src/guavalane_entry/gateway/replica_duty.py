"""Scaling of services within their configured bounds."""

from __future__ import annotations

import attrs

from guavalane_core.fleet.replicas import (
    ReplicaNeed,
    ReplicaOrder,
    ReplicaPlanner,
    count_limited_shortage,
)
from guavalane_core.forwarding import Endpoint, MovePhase, Replicas, Service
from guavalane_core.leases import LeaseHolder
from guavalane_entry.gateway.cloud import NoneAvailableError
from guavalane_entry.gateway.duties import DUTIES, DutyContext


@DUTIES.register("replicas")
class ReplicaDuty:
    """Orders the endpoints that the replica planner requests.

    Args:
      context: Dependencies of duties.
    """

    def __init__(self, context: DutyContext) -> None:
        self._view = context.view
        self._cloud = context.cloud
        self._log = context.log
        self._planners: dict[str, tuple[Replicas, ReplicaPlanner]] = {}

    async def step(self, lease: LeaseHolder) -> None:
        """Orders missing endpoints."""
        table = self._view.table
        if table is None:
            return
        for service in table.configuration.services.values():
            if service.replicas is not None and service.engine is not None:
                await self._step_service(lease, service)

    async def _step_service(self, lease: LeaseHolder, service: Service) -> None:
        view = self._view
        now_s = view.timers.now()
        proved, on_trial = self._endpoints(service)
        need = self._need(service, proved, now_s)
        planner = self._planner(service, [e.zone for e in proved])
        limits = view.endpoint_rates.in_force(now_s)
        is_limited = any(
            e.endpoint_id in limits
            or (service.cold_rate_per_s and view.cold_left_s(service, e) > 0)
            for e in proved
        )
        # The platform removes the oldest endpoints first, which may be the
        # ones that take more requests.
        for order in planner.plan(
            proved,
            need,
            now_s,
            on_trial,
            may_remove=not is_limited,
            evacuated=view.evacuated,
        ):
            await self._order(lease, service, planner, order, need)

    def _endpoints(
        self, service: Service
    ) -> tuple[list[Endpoint], list[Endpoint] | None]:
        """Returns the endpoints that count as capacity, and those on trial.

        During a version move, the endpoints of the new version do not count as
        capacity, until it is completed. After a rollback they remain for some
        seconds. Without a move, the second result is None.
        """
        view = self._view
        endpoints = view.directory.all_endpoints(service.name)
        move = view.moves.moves.get(service.name)
        if move is None or move.move.phase is MovePhase.COMPLETED:
            return endpoints, None
        proved = [e for e in endpoints if not view.moves.is_new(e)]
        on_trial = [e for e in endpoints if view.moves.is_new(e)]
        is_over = move.move.phase is MovePhase.ROLLED_BACK and all(
            endpoint.leaving for endpoint in on_trial
        )
        return proved, None if is_over else on_trial

    def _need(
        self, service: Service, proved: list[Endpoint], now_s: float
    ) -> ReplicaNeed:
        view = self._view
        demand = view.demand(service.name)
        rates = demand.update(now_s)
        concurrent = sum(
            view.work.total(endpoint.endpoint_id, now_s).requests
            for endpoint in view.directory.all_endpoints(service.name)
        )
        need = ReplicaNeed(
            read_tokens_per_s=rates.read_tokens_per_s,
            concurrent=concurrent,
            endpoint_read_tokens_per_s=view.rates(
                service.name
            ).prefill_tokens_per_s,
            endpoint_slots=service.engine.slots,
            allotted_tokens_per_s=self._allotted_tokens_per_s(),
            load_age_s=demand.load_age_s(now_s),
        )
        shortage = count_limited_shortage(
            [
                e.endpoint_id
                for e in proved
                if not e.leaving and e.zone not in view.evacuated
            ],
            view.endpoint_rates.in_force(now_s),
            need.endpoints(),
            rates.requests_per_s,
        )
        return attrs.evolve(need, limited_shortage=shortage)

    def _allotted_tokens_per_s(self) -> float:
        organisations = self._view.table.configuration.organisations or ()
        return sum(o.rate_per_s for o in organisations if o.counts_tokens)

    def _planner(self, service: Service, zones: list[str]) -> ReplicaPlanner:
        known = self._planners.get(service.name)
        if known is not None and known[0] == service.replicas:
            return known[1]
        priced = service.replicas.zone_prices
        planner = ReplicaPlanner(service.replicas, sorted({*priced, *zones}))
        self._planners[service.name] = (service.replicas, planner)
        return planner

    async def _order(
        self,
        lease: LeaseHolder,
        service: Service,
        planner: ReplicaPlanner,
        order: ReplicaOrder,
        need: ReplicaNeed,
    ) -> None:
        number = lease.require()
        now_s = self._view.timers.now()
        outcome = "accepted"
        try:
            await self._cloud.order_replicas(
                number,
                service.name,
                order.zone,
                order.count,
                reclaimable=order.reclaimable,
            )
            planner.on_accepted(order, now_s)
        except NoneAvailableError:
            outcome = "none_available"
            planner.on_refused(order, now_s)
        self._log.event(
            "replicas.ordered",
            service=service.name,
            zone=order.zone,
            count=order.count,
            reclaimable=order.reclaimable,
            outcome=outcome,
            needed=need.endpoints(),
            read_tokens_per_s=int(need.read_tokens_per_s),
            concurrent=int(need.concurrent),
            number=number,
        )
