"""Settings of a gateway node."""

from __future__ import annotations

import functools
import ipaddress

import attrs

from guavalane_core.limits.cold_endpoints import ColdTolerance
from guavalane_core.objects.relays import RelayCandidate

MAX_PORT = 65_535
# Addresses whose parsed form is kept; more than a fleet has nodes. Nodes parse
# the address of a peer for each datagram.
MAX_PARSED_ADDRESSES = 4096


@attrs.frozen
class Address:
    """IP address and port.

    Attributes:
      host: IP address.
      port: Port.
    """

    host: str
    port: int

    @classmethod
    @functools.lru_cache(maxsize=MAX_PARSED_ADDRESSES)
    def parse(cls, text: str) -> Address:
        """Parses an address of the form `IP:PORT`.

        Raises:
          ValueError: The text does not have this form.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdecimal():
            raise ValueError(f"expected IP:PORT, got {text!r:.100}")
        # Ports have at most five digits; longer ones may not be integers.
        if len(port) > 5 or not 1 <= int(port) <= MAX_PORT:
            raise ValueError(f"port out of range: {text!r:.100}")
        ipaddress.ip_address(host)
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class RetryLimits:
    """Retry budget of a service over all nodes.

    Attributes:
      ratio: Retries per request.
      slack: Additional retries per window.
      window_s: Length of the sliding window in seconds.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


@attrs.frozen(kw_only=True)
class AllotmentTolerance:
    """Accepted overuse of an allotment over all nodes.

    Nodes learn of each other's use with a delay. When unsure, they admit a
    request within a fraction of this tolerance.

    Attributes:
      ratio: Fraction of the allotment.
      slack: Additional units per window.
      window_s: Length of the window in seconds; 0 if it is not known.
    """

    ratio: float = 0.0
    slack: float = 0.0
    window_s: float = 0.0


@attrs.frozen(kw_only=True)
class HedgeSettings:
    """Second attempts at slow requests that may be repeated.

    Attributes:
      max_extra: Hedged attempts per request of a service, from 0 (none) to 1.
    """

    max_extra: float = attrs.field(
        default=0.0,
        validator=[attrs.validators.ge(0), attrs.validators.le(1)],
    )


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings of one gateway process.

    Attributes:
      name: Name of the node.
      zone: Availability zone of the node.
      callers: Listening address for callers.
      readiness: Listening address for the load balancer's readiness checks.
      peers: Listening address for the reports of other nodes (UDP).
      metrics: Listening address for metrics.
      readiness_path: Path that returns 200 while the node is ready.
      retries: Retry budget.
      hedges: Limit of hedged attempts, which the retry budget bounds as well.
      allotments: Tolerance of allotments.
      usage_window_s: Length of a window of usage in seconds.
      usage_due_s: Time after the end of a window by which its usage must be
          reported, in seconds.
      exposure: Largest fraction of a service's requests that a new version
          may receive before its trial has succeeded.
      exposure_slack: Number of requests that it may receive in addition, on all
          nodes together.
      cold: Tolerance of the rate of cold endpoints.
      evacuation_s: Time from the order to evacuate a zone after which no
          request may reach its endpoints, in seconds; None if zones are not
          evacuated.
      lease_s: Duration of the lease on duties in seconds.
      stop_grace_s: Time from SIGTERM to SIGKILL in seconds.
      link_mbps: Rate of the network link in Mbit/s; 0 if unknown.
      cores: Processor cores, also fractions; 0 if unknown.
      memory_mb: Memory of the process in MB; 0 if unknown.
      max_descriptors: File descriptors that the process may open; 0 for what
          the system allows.
    """

    name: str
    zone: str
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    readiness_path: str = "/readyz"
    retries: RetryLimits = RetryLimits()
    hedges: HedgeSettings = HedgeSettings()
    allotments: AllotmentTolerance = AllotmentTolerance()
    usage_window_s: float = 5.0
    usage_due_s: float = 10.0
    exposure: float = 0.1
    exposure_slack: float = 0.0
    cold: ColdTolerance = attrs.field(factory=ColdTolerance)
    evacuation_s: float | None = None
    lease_s: float = 3.0
    stop_grace_s: float = 8.0
    link_mbps: float = 0.0
    cores: float = 0.0
    memory_mb: float = 0.0
    max_descriptors: int = 0

    @property
    def relay_candidate(self) -> RelayCandidate:
        """This node as a candidate for a relay."""
        return RelayCandidate(self.name, self.zone, self.link_mbps, self.cores)
