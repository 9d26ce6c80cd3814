"""One endpoint as the discovery describes it."""

from __future__ import annotations

import attrs


@attrs.frozen
class Endpoint:
    """One endpoint of a service.

    Attributes:
      endpoint_id: Identifier; a restart may keep it.
      service: Service that it belongs to.
      address: Host and port.
      zone: Availability zone.
      version: Version of its software.
      slots: Requests that it runs at once.
      leaving: Whether it takes no new requests.
      reclaimable: Whether the platform may take its VM away.
      reclaim_s: Time until its VM is taken away, in seconds, as told in the
          notice; None without one.
      slow_s: How much longer it runs slowly after its start, in seconds.
      started_ms: Unix time of its start in milliseconds; 0 if unknown.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    leaving: bool = False
    reclaimable: bool = False
    reclaim_s: float | None = None
    slow_s: float = 0.0
    started_ms: int = 0
