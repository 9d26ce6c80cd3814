"""Selection of the endpoint for one attempt."""

from __future__ import annotations

import enum
from collections.abc import Collection, Sequence
from typing import Any

import attrs

from guavalane_core.forwarding import CallerRequest, Endpoint, Service
from guavalane_core.placement import (
    Candidate,
    choose_endpoint,
    cost_endpoints,
    cost_engines,
    has_speeds,
    prefer_warm,
    rank_engines,
    sample_endpoints,
    shortlist,
)
from guavalane_entry.gateway.view import NodeView

# Largest fleet in which each node compares all endpoints. Up to this size nodes
# exchange their loads often enough not to pick the same endpoint at once.
MAX_NODES_FULL_COMPARISON = 16
# The same for engines whose speeds are known: the fastest ones are the best for
# all nodes, so these choose the same one more often.
MAX_NODES_FULL_COMPARISON_OF_SPEEDS = 8


class Exclusion(enum.Enum):
    """Why an endpoint is not a candidate."""

    DRAINING = "draining"
    # Its availability zone is evacuated.
    EVACUATED = "evacuated"
    # Another version receives the request while the service moves.
    VERSION = "version"
    TRIED = "tried"
    # This node uses its share of the endpoint's connections.
    NO_CONNECTION = "no_connection"
    RATE_LIMIT = "rate_limit"
    # A warm endpoint has a free slot.
    COLD = "cold"
    EJECTED = "ejected"
    # Nodes of a large fleet compare a random sample.
    NOT_SAMPLED = "not_sampled"


@attrs.define
class SelectionTrace:
    """What a selection has considered.

    Attributes:
      costs: Candidates with the terms of their cost, by name.
      excluded: Why the other endpoints are no candidates, by endpoint.
    """

    costs: list[tuple[dict[str, Any], Candidate]] = attrs.field(factory=list)
    excluded: dict[str, Exclusion] = attrs.field(factory=dict)

    def exclude(
        self,
        endpoints: Sequence[Endpoint],
        kept: Sequence[Endpoint],
        reason: Exclusion,
    ) -> None:
        """Records the endpoints that a step of the selection has dropped.

        Args:
          endpoints: Endpoints before the step.
          kept: Endpoints after it.
          reason: Reason, unless one is known.
        """
        left = {endpoint.endpoint_id for endpoint in kept}
        for endpoint in endpoints:
            if endpoint.endpoint_id not in left:
                self.excluded.setdefault(endpoint.endpoint_id, reason)

    def record(
        self,
        *,
        known: Sequence[Endpoint],
        staying: Sequence[Endpoint],
        accepting: Sequence[Endpoint],
        allowed: Sequence[Endpoint],
        usable: Sequence[Endpoint],
        taken: Sequence[Endpoint],
    ) -> None:
        """Records the steps that lead to the candidates.

        The steps may be taken again with other versions allowed.

        Args:
          known: All endpoints of the service.
          staying: Those that do not drain.
          accepting: Those whose zone is not evacuated either.
          allowed: Those whose version may receive the request.
          usable: Those that this node may use.
          taken: Those that are not ejected, which are the candidates.
        """
        names = {endpoint.endpoint_id for endpoint in taken}
        self.excluded = {
            name: reason
            for name, reason in self.excluded.items()
            if reason is not Exclusion.VERSION and name not in names
        }
        self.exclude(known, staying, Exclusion.DRAINING)
        self.exclude(staying, accepting, Exclusion.EVACUATED)
        self.exclude(accepting, allowed, Exclusion.VERSION)
        self.exclude(usable, taken, Exclusion.EJECTED)


def select_endpoint(
    view: NodeView,
    service: Service,
    route: str,
    request: CallerRequest,
    tried: Collection[str],
    trace: SelectionTrace | None = None,
) -> Candidate | None:
    """Selects the endpoint for the next attempt; None if there is none.

    Args:
      view: Shared state of the node.
      service: Service of the request.
      route: Name of the route of the request.
      request: Request.
      tried: Endpoints that were already attempted.
      trace: Receives the candidates and the reasons for the others.
    """
    candidates = _candidates(
        view, service, route, request, tried, trace, first=not tried
    )
    if not candidates and not tried:
        # An endpoint of the version under trial may be full or ejected.
        candidates = _candidates(
            view, service, route, request, tried, trace, first=False
        )
    found = candidates
    zone = view.settings.zone
    if service.engine is None or request.prompt is None:
        if view.node_count > MAX_NODES_FULL_COMPARISON:
            candidates = sample_endpoints(candidates, view.rng)
        chosen = choose_endpoint(candidates, zone)
        if trace is not None:
            trace.costs = cost_endpoints(candidates, zone)
    else:
        home = None
        max_nodes = MAX_NODES_FULL_COMPARISON
        if has_speeds(candidates):
            max_nodes = MAX_NODES_FULL_COMPARISON_OF_SPEEDS
        if view.node_count > max_nodes:
            candidates, home = shortlist(candidates, request.prompt, view.rng)
        compared = (
            candidates,
            request.prompt,
            service.engine,
            view.rates(service.name),
            zone,
            home,
        )
        ranked = rank_engines(*compared)
        chosen = ranked[0][1] if ranked else None
        if trace is not None:
            trace.costs = cost_engines(*compared)
    if trace is not None:
        trace.exclude(
            [c.endpoint for c in found],
            [c.endpoint for c in candidates],
            Exclusion.NOT_SAMPLED,
        )
    return chosen


def limit_waits_s(view: NodeView, service: Service) -> dict[str, float]:
    """Returns the endpoints whose limits admit no request at present.

    Returns:
      Time until the limit admits a request of this node in seconds, infinite
      if it admits none, by endpoint.
    """
    return {
        endpoint.endpoint_id: wait_s
        for endpoint in view.usable_endpoints(service.name)
        if (wait_s := view.endpoint_wait_s(service, endpoint)) > 0
    }


def _candidates(
    view: NodeView,
    service: Service,
    route: str,
    request: CallerRequest,
    tried: Collection[str],
    trace: SelectionTrace | None,
    *,
    first: bool,
) -> list[Candidate]:
    """Returns the endpoints that can take an attempt."""
    now_s = view.timers.now()
    accepting = view.usable_endpoints(service.name)
    allowed = view.moves.allowed(
        service.name,
        accepting,
        view.rng.random(),
        route=route,
        now_s=now_s,
        first=first,
        nodes=view.sharing_nodes,
    )
    max_connections = _connections_per_endpoint(view, service)
    usable: list[Endpoint] = []
    for endpoint in allowed:
        reason = _find_exclusion(
            view, service, endpoint, tried, max_connections
        )
        if reason is None:
            usable.append(endpoint)
        elif trace is not None:
            trace.excluded[endpoint.endpoint_id] = reason
    held = view.ejector.held([e.endpoint_id for e in usable], now_s)
    taken = [e for e in usable if e.endpoint_id not in held]
    if trace is not None:
        trace.record(
            known=view.directory.all_endpoints(service.name),
            staying=view.directory.usable(service.name),
            accepting=accepting,
            allowed=allowed,
            usable=usable,
            taken=taken,
        )
    candidates = [_candidate(view, service, request, e, now_s) for e in taken]
    if not service.cold_rate_per_s:
        return candidates
    preferred = prefer_warm(candidates)
    if trace is not None:
        trace.exclude(taken, [c.endpoint for c in preferred], Exclusion.COLD)
    return preferred


def _find_exclusion(
    view: NodeView,
    service: Service,
    endpoint: Endpoint,
    tried: Collection[str],
    max_connections: int,
) -> Exclusion | None:
    """Returns why an endpoint can take no attempt; None if it can."""
    if endpoint.endpoint_id in tried:
        return Exclusion.TRIED
    if view.work.own_requests(endpoint.endpoint_id) >= max_connections:
        return Exclusion.NO_CONNECTION
    if view.endpoint_wait_s(service, endpoint) > 0:
        return Exclusion.RATE_LIMIT
    return None


def _candidate(
    view: NodeView,
    service: Service,
    request: CallerRequest,
    endpoint: Endpoint,
    now_s: float,
) -> Candidate:
    cached = 0
    if request.prompt is not None:
        cached = view.prefixes.cached_tokens(
            endpoint.endpoint_id, request.prompt, now_s
        )
    load = view.work.total(endpoint.endpoint_id, now_s)
    # Engines are compared without it unless the service has a cold rate.
    may_be_cold = service.engine is None or service.cold_rate_per_s > 0
    is_cold = may_be_cold and view.cold_left_s(service, endpoint) > 0
    own = view.work.own_requests(endpoint.endpoint_id)
    figures = view.server_loads.figures(endpoint.endpoint_id, own, now_s)
    return Candidate(endpoint, load, cached, is_cold, figures)


def _connections_per_endpoint(view: NodeView, service: Service) -> int:
    """Returns how many connections this node may use to one endpoint.

    Nodes divide an endpoint's connections without coordination: each one uses
    at most a share in proportion to its cores, and at least one connection.
    """
    return max(1, int(service.max_connections * view.connection_share()))
