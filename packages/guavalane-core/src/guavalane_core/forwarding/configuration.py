"""Operator configuration for forwarded requests."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs


class Delivery(enum.Enum):
    """Execution guarantee and response type of a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@attrs.frozen
class ServiceShare:
    """Share of a route's requests that a service receives.

    Attributes:
      service: Name of the service.
      weight: Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Rule for requests to one host below one path.

    Attributes:
      name: Name of the route.
      host: Host of the request, in lower case.
      path_prefix: Path prefix; it starts and ends with a slash.
      delivery: Execution guarantee and response type.
      timeout_s: Maximum time to the response, in seconds.
      latency_objective_s: Latency objective of a response, or of the first
          event of a stream, in seconds.
      max_gap_s: Maximum time between two events of a stream that meets its
          objective, in seconds.
      priority: Priority among routes; 0 is served first.
      shares: Services that receive the requests.
      max_endpoints: Maximum number of endpoints that one request is sent to.
      public: Whether requests need no key.
      prefix_affinity: Whether requests benefit from an endpoint that has
          processed the beginning of their prompt.
      resumable: Whether another endpoint can continue a broken stream.
      patience_s: Time without an event after which callers abandon a stream,
          in seconds; 0 if it is not known.
    """

    name: str
    host: str
    path_prefix: str
    delivery: Delivery
    timeout_s: float
    latency_objective_s: float
    max_gap_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_endpoints: int = 1
    public: bool = False
    prefix_affinity: bool = False
    resumable: bool = False
    patience_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.delivery is Delivery.IDEMPOTENT or self.resumable


@attrs.frozen
class Engine:
    """Model engine behind the endpoints of a service.

    Attributes:
      slots: Maximum number of concurrent requests.
      kv_tokens: Capacity of the KV cache in tokens.
      tokens_per_event: Tokens per stream event.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int = 1


@attrs.frozen
class Replicas:
    """Bounds and prices of a service's endpoints, per availability zone.

    Attributes:
      minimum: Minimum number of endpoints per zone.
      maximum: Maximum number of endpoints per zone.
      boot_s: Time from an order until a new endpoint serves requests, in
          seconds.
      reclaimable_price: Price of a reclaimable endpoint, as a fraction of the
          price of a regular one; None if there are none.
      zone_prices: Price per second by availability zone.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float | None = None
    zone_prices: Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Service:
    """Service that routes forward requests to.

    Attributes:
      name: Name of the service.
      max_connections: Maximum number of connections from all nodes to one
          endpoint.
      engine: Model engine; None if the service has none.
      replicas: Bounds on endpoints, if the system scales the service.
      cold_start_s: Time after its start for which an endpoint is cold while
          there is traffic, in seconds.
      cold_rate_per_s: Requests per second that a cold endpoint takes from all
          nodes together; 0 for no such limit.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    replicas: Replicas | None = None
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


@attrs.frozen
class Organisation:
    """Customer whose keys give access to routes.

    Attributes:
      name: Name that is sent to endpoints.
      keys: Keys of its callers.
      priority: Priority that overrides the route's; None to use the route's.
      rate_per_s: Allotment in units per second; 0 for no limit.
      burst: Burst of the allotment in units.
      counts_tokens: Whether a request counts as its number of tokens instead
          of 1.
      plain_tokens: Tokens of a request without token counts.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_tokens: int = 1


@attrs.frozen
class CallerLimits:
    """Size and time limits for callers.

    Attributes:
      header_bytes: Maximum size of a request header.
      body_bytes: Maximum size of a request body.
      header_timeout_s: Maximum time to receive the header, in seconds.
      idle_timeout_s: Maximum idle time of a connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class ForwardingConfiguration:
    """One version of the operator configuration.

    Attributes:
      version: Version number; a higher one replaces a lower one.
      routes: Routes.
      services: Services by name.
      organisations: Organisations; None if requests need no keys.
      limits: Limits for callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: tuple[Organisation, ...] | None
    limits: CallerLimits
