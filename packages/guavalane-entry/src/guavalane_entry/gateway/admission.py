"""Which requests a node takes, and for whom."""

from __future__ import annotations

import attrs

from guavalane_core.allotments.ledger import request_units
from guavalane_core.forwarding import (
    CallerRequest,
    Delivery,
    Organisation,
    Route,
    Service,
)
from guavalane_entry.gateway.errors import (
    AllotmentSpentError,
    NoEndpointError,
    NotConfiguredError,
    UnknownKeyError,
    UnknownRouteError,
)
from guavalane_entry.gateway.view import NodeView

# Time after which a caller may come back to a node without a configuration or
# endpoints, in seconds.
UNREADY_RETRY_S = 0.5
# Longest time that a caller is asked to wait for its allotment, in seconds.
MAX_ALLOTMENT_RETRY_S = 5.0
# Part of the wait by which the times told to callers differ, so that they do
# not return together.
RETRY_SPREAD = 0.3


@attrs.frozen
class Admitted:
    """A request that the node takes.

    Attributes:
      route: Route.
      service: Service that gets it.
      organisation: Organisation that pays; None on public routes.
      units: What it counts against the allotment.
      version: Version of the configuration that was applied.
    """

    route: Route
    service: Service
    organisation: Organisation | None
    units: int
    version: int

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.delivery is Delivery.STREAM

    @property
    def urgency(self) -> int:
        """Rank of the request; 0 is first."""
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority


def spread(view: NodeView, seconds: float) -> float:
    """Returns a time near to the given one, different for each caller."""
    return seconds * (1 + RETRY_SPREAD * view.rng.random())


def admit(view: NodeView, request: CallerRequest) -> Admitted:
    """Returns what a request is allowed, and draws its allotment.

    Raises:
      RefusalError: The request is not taken.
    """
    table = view.table
    if table is None:
        raise NotConfiguredError(
            "no configuration is known yet", spread(view, UNREADY_RETRY_S)
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
            spread(view, UNREADY_RETRY_S),
        )
    units = 0
    if organisation is not None:
        units = request_units(organisation, request.prompt)
        wait_s = view.allotments.try_draw(
            organisation.name, units, view.timers.now()
        )
        if wait_s > 0:
            left = view.allotments.level(organisation.name)
            raise AllotmentSpentError(
                f"the allotment of {organisation.name} is used up: the request"
                f" counts {units}, {left:.0f} are left,"
                f" {organisation.rate_per_s:g}/s flow in",
                spread(view, min(wait_s, MAX_ALLOTMENT_RETRY_S)),
            )
    return Admitted(
        route, service, organisation, units, table.configuration.version
    )


def refund(view: NodeView, admitted: Admitted) -> None:
    """Returns the allotment of a request that has not run."""
    if admitted.organisation is not None:
        view.allotments.refund(
            admitted.organisation.name, admitted.units, view.timers.now()
        )
