"""Admission of requests: routing, authentication and allotments."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from guavalane_core.allotments import Draw, DrawClass, DrawReason
from guavalane_core.allotments.ledger import request_units
from guavalane_core.forwarding import (
    CallerRequest,
    Delivery,
    Organisation,
    Route,
    Service,
)
from guavalane_core.quarantine import Quarantine, RequestParts
from guavalane_entry.gateway.errors import (
    AllotmentSpentError,
    EndpointsLimitedError,
    NoEndpointError,
    NotConfiguredError,
    QuarantinedError,
    StoppingError,
    UnknownKeyError,
    UnknownRouteError,
)
from guavalane_entry.gateway.view import NodeView

# Retry-After of a node that has no configuration or no endpoints, in seconds.
UNAVAILABLE_RETRY_S = 0.5
# Retry-After of a node that stops, in seconds; another node can serve the
# request at once.
STOPPING_RETRY_S = 0.05
# Longest Retry-After for an exhausted allotment, in seconds.
MAX_ALLOTMENT_RETRY_S = 5.0
# Shortest Retry-After for an exhausted allotment, in seconds.
MIN_ALLOTMENT_RETRY_S = 0.05
# Fraction of the time left up to which callers honour Retry-After.
USABLE_RETRY_FRACTION = 1 / 3
# Fraction of its latency objective for which a request may wait before it is
# sent.
WAIT_FRACTION = 1 / 8
# Longest Retry-After for limited endpoints, in seconds.
MAX_LIMIT_RETRY_S = 5.0
# Shortest Retry-After for a quarantined part, in seconds.
MIN_QUARANTINE_RETRY_S = 5.0
MS_PER_S = 1000
# Jitter of Retry-After as a fraction, so that callers do not retry in step.
RETRY_JITTER = 0.3


@attrs.frozen
class AdmittedRequest:
    """Request that the node has admitted.

    Attributes:
      route: Route.
      service: Service that receives it.
      organisation: Organisation that is charged; None on public routes.
      units: Units that it draws from the allotment.
      version: Version of the configuration that was applied.
      parts: What the request has in common with others.
      is_trial: Whether it tries a quarantined part on purpose.
      wait_s: Time until its units have flowed into the allotment, in seconds.
    """

    route: Route
    service: Service
    organisation: Organisation | None
    units: int
    version: int
    parts: RequestParts
    is_trial: bool = False
    wait_s: float = 0.0

    @property
    def is_stream(self) -> bool:
        """Whether the response is an event stream."""
        return self.route.delivery is Delivery.STREAM

    @property
    def urgency(self) -> int:
        """Priority of the request; 0 is the highest."""
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority


def with_jitter(view: NodeView, seconds: float) -> float:
    """Returns a duration with random jitter added."""
    return seconds * (1 + RETRY_JITTER * view.rng.random())


def make_quarantined_error(
    view: NodeView, quarantine: Quarantine
) -> QuarantinedError:
    """Returns the rejection of a request with a quarantined part."""
    left_s = quarantine.next_trial_ms / MS_PER_S - view.clock.now()
    return QuarantinedError(
        quarantine,
        with_jitter(view, max(MIN_QUARANTINE_RETRY_S, left_s)),
    )


def make_stopping_error(view: NodeView) -> StoppingError:
    """Returns the rejection of a request that a stop would break off."""
    left_s = max(0.0, view.stop_deadline.left_s)
    return StoppingError(
        f"the node stops in {left_s:.1f} s",
        with_jitter(view, STOPPING_RETRY_S),
    )


def make_limited_error(
    view: NodeView, waits_s: Mapping[str, float]
) -> EndpointsLimitedError:
    """Returns the rejection of a request for which endpoints are limited.

    Args:
      view: Shared state of the node.
      waits_s: Time until the limit of each endpoint admits a request of this
          node in seconds, infinite if it admits none. Another node may then
          have room.
    """
    retry_after_s = UNAVAILABLE_RETRY_S
    wait_s = min(waits_s.values())
    if wait_s < MAX_LIMIT_RETRY_S:
        retry_after_s = max(retry_after_s, wait_s)
    return EndpointsLimitedError(waits_s, with_jitter(view, retry_after_s))


def time_left_s(view: NodeView, request: CallerRequest, route: Route) -> float:
    """Returns the time until the deadline of a request, in seconds."""
    limit_s = route.timeout_s
    if request.time_limit_s is not None:
        limit_s = min(limit_s, request.time_limit_s)
    return max(0.0, request.arrived_s + limit_s - view.timers.now())


def make_draw_class(route: Route) -> DrawClass:
    """Returns the urgency with which requests of a route draw units.

    An organisation's own priority is the same for all of its requests, so only
    the routes' tell them apart.
    """
    return DrawClass(route.priority, route.latency_objective_s)


def _draw(
    view: NodeView,
    request: CallerRequest,
    route: Route,
    organisation: Organisation,
    units: int,
) -> float:
    """Draws units; returns the time until they have flowed in, in seconds.

    Raises:
      AllotmentSpentError: The units cannot be drawn.
    """
    left_s = time_left_s(view, request, route)
    draw = view.allotments.draw(
        organisation.name,
        units,
        make_draw_class(route),
        view.timers.now(),
        min(route.latency_objective_s, left_s) * WAIT_FRACTION,
    )
    if not draw.is_drawn:
        raise _make_spent_error(view, route, organisation, units, draw, left_s)
    return draw.wait_s


def _make_spent_error(
    view: NodeView,
    route: Route,
    organisation: Organisation,
    units: int,
    draw: Draw,
    left_s: float,
) -> AllotmentSpentError:
    max_s = min(MAX_ALLOTMENT_RETRY_S, left_s * USABLE_RETRY_FRACTION)
    retry_after_s = view.allotments.retry_after_s(
        organisation.name,
        units,
        make_draw_class(route),
        view.timers.now(),
        draw.wait_s,
        max_s / (1 + RETRY_JITTER),
    )
    left = view.allotments.level(organisation.name)
    state = (
        "kept for more urgent requests"
        if draw.reason is DrawReason.RESERVED
        else "used up"
    )
    return AllotmentSpentError(
        f"the allotment of {organisation.name} is {state}: the request"
        f" counts {units}, {left:.0f} are left,"
        f" {organisation.rate_per_s:g}/s flow in",
        with_jitter(view, max(MIN_ALLOTMENT_RETRY_S, retry_after_s)),
        draw.reason.value,
    )


def admit(
    view: NodeView, request: CallerRequest, *, is_trial: bool = False
) -> AdmittedRequest:
    """Admits a request and draws its units from the allotment.

    Args:
      view: Shared state of the node.
      request: Request.
      is_trial: Whether it may have a quarantined part.

    Raises:
      RefusalError: The request is rejected.
    """
    table = view.table
    if table is None:
        raise NotConfiguredError(
            "no configuration is known yet",
            with_jitter(view, UNAVAILABLE_RETRY_S),
        )
    route = table.find_route(request.host, request.path)
    if route is None:
        raise UnknownRouteError(f"no route for {request.host}{request.path}")
    organisation = table.find_organisation(request.key)
    if organisation is None and table.needs_keys and not route.public:
        raise UnknownKeyError("the key is missing or unknown")
    service_name = table.choose_service(route, view.rng)
    service = table.configuration.services.get(service_name or "")
    if service is None:
        raise NoEndpointError(
            f"route {route.name} leads to no service",
            with_jitter(view, UNAVAILABLE_RETRY_S),
        )
    caller = "" if organisation is None else organisation.name
    parts = RequestParts(view.digest_key, request, caller)
    quarantine = view.quarantines.find(parts)
    if quarantine is not None and not is_trial:
        raise make_quarantined_error(view, quarantine)
    units, wait_s = 0, 0.0
    if organisation is not None:
        units = request_units(organisation, request.prompt)
        wait_s = _draw(view, request, route, organisation, units)
    return AdmittedRequest(
        route,
        service,
        organisation,
        units,
        table.configuration.version,
        parts,
        is_trial,
        wait_s,
    )


def refund(view: NodeView, admitted: AdmittedRequest) -> None:
    """Returns the units of a request that has not run to its allotment."""
    if admitted.organisation is not None:
        view.allotments.refund(
            admitted.organisation.name,
            admitted.units,
            view.timers.now(),
            make_draw_class(admitted.route),
        )
