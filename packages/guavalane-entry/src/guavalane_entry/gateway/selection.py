"""Selection of the endpoint for one attempt."""

from __future__ import annotations

from collections.abc import Collection

from guavalane_core.forwarding import CallerRequest, Endpoint, Service
from guavalane_core.placement import (
    Candidate,
    choose_endpoint,
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


def select_endpoint(
    view: NodeView,
    service: Service,
    route: str,
    request: CallerRequest,
    tried: Collection[str],
) -> Candidate | None:
    """Selects the endpoint for the next attempt; None if there is none.

    Args:
      view: Shared state of the node.
      service: Service of the request.
      route: Name of the route of the request.
      request: Request.
      tried: Endpoints that were already attempted.
    """
    candidates = _candidates(
        view, service, route, request, tried, first=not tried
    )
    if not candidates and not tried:
        # An endpoint of the version under trial may be full or ejected.
        candidates = _candidates(
            view, service, route, request, tried, first=False
        )
    zone = view.settings.zone
    if service.engine is None or request.prompt is None:
        if view.node_count > MAX_NODES_FULL_COMPARISON:
            candidates = sample_endpoints(candidates, view.rng)
        return choose_endpoint(candidates, zone)
    home = None
    max_nodes = MAX_NODES_FULL_COMPARISON
    if has_speeds(candidates):
        max_nodes = MAX_NODES_FULL_COMPARISON_OF_SPEEDS
    if view.node_count > max_nodes:
        candidates, home = shortlist(candidates, request.prompt, view.rng)
    ranked = rank_engines(
        candidates,
        request.prompt,
        service.engine,
        view.rates(service.name),
        zone,
        home,
    )
    return ranked[0][1] if ranked else None


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
    *,
    first: bool,
) -> list[Candidate]:
    """Returns the endpoints that can take an attempt."""
    now_s = view.timers.now()
    allowed = view.moves.allowed(
        service.name,
        view.usable_endpoints(service.name),
        view.rng.random(),
        route=route,
        now_s=now_s,
        first=first,
        nodes=view.sharing_nodes,
    )
    usable = [
        endpoint
        for endpoint in allowed
        if endpoint.endpoint_id not in tried
        and _has_connection(view, service, endpoint)
        and view.endpoint_wait_s(service, endpoint) <= 0
    ]
    held = view.ejector.held([e.endpoint_id for e in usable], now_s)
    candidates = [
        _candidate(view, service, request, endpoint, now_s)
        for endpoint in usable
        if endpoint.endpoint_id not in held
    ]
    return prefer_warm(candidates) if service.cold_rate_per_s else candidates


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
    is_cold = view.cold_left_s(service, endpoint) > 0
    own = view.work.own(endpoint.endpoint_id).requests
    figures = view.server_loads.figures(endpoint.endpoint_id, own, now_s)
    return Candidate(endpoint, load, cached, is_cold, figures)


def _has_connection(
    view: NodeView, service: Service, endpoint: Endpoint
) -> bool:
    # Nodes divide an endpoint's connections without coordination: each one uses
    # at most a share in proportion to its cores, and at least one connection.
    share = max(1, int(service.max_connections * view.connection_share()))
    return view.work.own(endpoint.endpoint_id).requests < share
