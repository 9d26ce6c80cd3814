"""Endpoint as described by the discovery service."""

from __future__ import annotations

import attrs


@attrs.frozen
class Endpoint:
    """One endpoint of a service.

    Attributes:
      endpoint_id: Identifier; it can stay the same across a restart.
      service: Name of its service.
      address: Host and port.
      zone: Availability zone.
      version: Software version.
      slots: Maximum number of concurrent requests.
      leaving: Whether it is draining and accepts no new requests.
      reclaimable: Whether the platform can reclaim its VM.
      reclaim_s: Time until its VM is reclaimed, in seconds, according to the
          reclaim notice; None without a notice.
      cold_s: Time for which it takes few requests, from the time at which its
          entry is read, in seconds.
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
    cold_s: float = 0.0
    started_ms: int = 0

    @property
    def process(self) -> str:
        """Identifier of the running process, which changes with a restart."""
        return f"{self.endpoint_id}/{self.started_ms}"
