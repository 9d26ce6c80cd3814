"""Demand on the fleet and the VMs on offer."""

from __future__ import annotations

from collections.abc import Mapping

import attrs


@attrs.frozen(order=True)
class CapacityPool:
    """VMs of one class and pricing model in one availability zone.

    Attributes:
      zone: Availability zone.
      vm_class: Name of the VM class.
      reclaimable: Whether the platform may reclaim the VMs; on-demand
          otherwise.
    """

    zone: str
    vm_class: str
    reclaimable: bool = True

    def __str__(self) -> str:
        model = "reclaimable" if self.reclaimable else "on-demand"
        return f"{self.zone}/{self.vm_class}/{model}"


@attrs.frozen
class VmClass:
    """Performance of one VM class with the deployment's model.

    Attributes:
      name: Name.
      requests_per_s: Requests per second that one VM sustains with a full
          batch.
      first_token_s: 95th percentile of the time to first token without
          queueing, in seconds.
    """

    name: str
    requests_per_s: float
    first_token_s: float


@attrs.frozen
class Offer:
    """Price and availability of a capacity pool.

    Attributes:
      pool: Capacity pool.
      price_per_h: Price of one VM per hour.
      reclaims_per_h: Observed reclaims per VM and hour.
      refused_until_s: Monotonic time until which no start is expected to
          succeed, in seconds.
    """

    pool: CapacityPool
    price_per_h: float
    reclaims_per_h: float = 0.0
    refused_until_s: float = float("-inf")


@attrs.frozen
class Demand:
    """Load of one organisation.

    Attributes:
      organisation: Name.
      requests_per_s: Requests per second.
      zones: Preferred availability zones; empty for any.
      vm_classes: Preferred VM classes; empty for any.
    """

    organisation: str
    requests_per_s: float
    zones: tuple[str, ...] = ()
    vm_classes: tuple[str, ...] = ()

    def accepts(self, pool: CapacityPool) -> bool:
        """Returns whether a capacity pool is within the preferences."""
        return (not self.zones or pool.zone in self.zones) and (
            not self.vm_classes or pool.vm_class in self.vm_classes
        )


@attrs.frozen
class FleetInput:
    """Input of the planner.

    Attributes:
      now_s: Monotonic time in seconds.
      target_s: Target for the 95th percentile of the time to first token, in
          seconds.
      demands: Load by organisation.
      classes: VM classes by name.
      offers: Capacity pools on offer, each once.
      running: Number of running or starting VMs by capacity pool.
    """

    now_s: float
    target_s: float
    demands: tuple[Demand, ...]
    classes: Mapping[str, VmClass]
    offers: tuple[Offer, ...]
    running: Mapping[CapacityPool, int] = attrs.field(factory=dict)

    @property
    def requests_per_s(self) -> float:
        """Total load of all organisations."""
        return sum(d.requests_per_s for d in self.demands)

    def with_load_factor(self, factor: float) -> FleetInput:
        """Returns the same input with every load scaled."""
        demands = tuple(
            attrs.evolve(d, requests_per_s=d.requests_per_s * factor)
            for d in self.demands
        )
        return attrs.evolve(self, demands=demands)

    def without_preferences(self) -> FleetInput:
        """Returns the same input with demands that accept any pool."""
        demands = tuple(
            attrs.evolve(d, zones=(), vm_classes=()) for d in self.demands
        )
        return attrs.evolve(self, demands=demands)
