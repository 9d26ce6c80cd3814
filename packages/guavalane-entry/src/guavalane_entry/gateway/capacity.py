"""Capacity of a service as a node knows it."""

from __future__ import annotations

import attrs

from guavalane_core.forwarding import Endpoint, Service
from guavalane_entry.gateway.view import NodeView


@attrs.frozen
class ServiceCapacity:
    """Load and slots of the endpoints that can take requests.

    Attributes:
      endpoints: Number of endpoints.
      requests: Requests in flight from all nodes, as known.
      slots: Requests that the endpoints run at the same time.
    """

    endpoints: int
    requests: int
    slots: int

    @property
    def is_full(self) -> bool:
        """Whether the known load reaches the slots."""
        return self.requests >= self.slots


def slots_of(service: Service, endpoint: Endpoint) -> int:
    """Returns how many requests an endpoint runs at the same time."""
    return endpoint.slots if service.engine is None else service.engine.slots


def service_capacity(view: NodeView, service: Service) -> ServiceCapacity:
    """Returns the capacity of the endpoints that can take requests.

    These neither drain nor are ejected, and their zone is not evacuated.
    """
    now_s = view.timers.now()
    usable = view.usable_endpoints(service.name)
    held = view.ejector.held([e.endpoint_id for e in usable], now_s)
    counted = [e for e in usable if e.endpoint_id not in held]
    return ServiceCapacity(
        len(counted),
        sum(view.work.total(e.endpoint_id, now_s).requests for e in counted),
        sum(slots_of(service, e) for e in counted),
    )
