"""What operators configure for forwarded requests."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs


class Delivery(enum.Enum):
    """How often the requests of a route may run, and the form of an answer."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@attrs.frozen
class ServiceShare:
    """Part of a route's requests that a service gets.

    Attributes:
      service: Name of the service.
      weight: Weight against the other shares of the route.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Rule for the requests of one host below one path.

    Attributes:
      name: Name of the route.
      host: Host that callers name, in lower case.
      path_prefix: Beginning of the path; it begins and ends with a slash.
      delivery: How often requests may run.
      timeout_s: Longest time to an answer, in seconds.
      latency_objective_s: Time within which an answer is on time; of a stream,
          the time to its first event.
      max_gap_s: Longest pause between two events of a stream that is on time.
      priority: Rank among routes; 0 is served first.
      shares: Services that get the requests.
      max_endpoints: Endpoints that one request may be sent to.
      public: Whether requests need no key.
      prefix_affinity: Whether requests gain by an endpoint that has read the
          beginning of their prompt.
      resumable: Whether another endpoint may continue a broken stream.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.delivery is Delivery.IDEMPOTENT or self.resumable


@attrs.frozen
class Engine:
    """Model engine behind the endpoints of a service.

    Attributes:
      slots: Requests that run at once.
      kv_tokens: Tokens that the memory holds.
      tokens_per_event: Tokens of one event of a stream.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int = 1


@attrs.frozen
class Replicas:
    """Bounds and prices of a service's endpoints, per availability zone.

    Attributes:
      minimum: Fewest endpoints in a zone.
      maximum: Most endpoints in a zone.
      boot_s: Time from an order until a new endpoint serves, in seconds.
      reclaimable_price: Price of a reclaimable endpoint, as a part of the
          price of a regular one; None if there are none.
      zone_prices: Price of a second by availability zone.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float | None = None
    zone_prices: Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Service:
    """Service that routes lead to.

    Attributes:
      name: Name of the service.
      max_connections: Connections that one endpoint takes from all nodes.
      engine: Engine, if the service generates from a model.
      replicas: Bounds on endpoints, if the system orders them.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    replicas: Replicas | None = None


@attrs.frozen
class Organisation:
    """Customer whose keys open routes.

    Attributes:
      name: Name that endpoints are told.
      keys: Keys of its callers.
      priority: Rank that goes before the route's; None to use the route's.
      rate_per_s: Allotment per second; 0 is no limit.
      burst: Allotment that may be used at once.
      counts_tokens: Whether requests count by their tokens, not as 1.
      plain_tokens: Tokens of a request that names none.
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
    """What a caller may send and how long it may take.

    Attributes:
      header_bytes: Largest header of a request.
      body_bytes: Largest body of a request.
      header_timeout_s: Longest time to send the header, in seconds.
      idle_timeout_s: Longest idle time of a connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class ForwardingConfiguration:
    """One version of what operators configure.

    Attributes:
      version: Version; a higher one replaces a lower one.
      routes: Routes.
      services: Services by name.
      organisations: Organisations; None if requests need no keys.
      limits: Bounds on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    organisations: tuple[Organisation, ...] | None
    limits: CallerLimits
