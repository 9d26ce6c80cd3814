"""How many endpoints of a service to order in each availability zone.

Reclaimable endpoints cost a part of regular ones, and a zone's are taken away
together. They are spread over all zones so that those left after the loss of
two zones carry the load. Reclaims come in waves: while no reclaimable
endpoints are to be had, regular ones also stand in for the loss of one more
zone.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import attrs

from guavalane_core.forwarding.configuration import Replicas
from guavalane_core.forwarding.endpoint import Endpoint

# Part of an engine's reading speed that is planned for. Above it, prompts wait
# behind each other for longer than the objective of a first token allows.
READ_UTILISATION = 0.4
# Zones whose reclaimable endpoints may be lost before others have booted. A
# wave of reclaims reaches a second zone within the boot time.
LOST_ZONES = 2
# Part of the organisations' allotments that is planned for until the load is
# known. Operators grant more than what is used in the mean.
ALLOTTED_PART = 0.4
# Time from the first request, besides the boot time, until the load is taken as
# known, in seconds; two time constants of the fast average of demand.
LEARNING_S = 4.0
# Part of the slots that is planned for.
SLOT_UTILISATION = 0.6
# Time after a refused order until the zone is asked again, in seconds.
REFUSED_RETRY_S = 3.0
# Time after a refused order for which reclaimable endpoints are taken as
# scarce, in seconds; longer than the time between two orders.
SCARCE_S = 2 * REFUSED_RETRY_S
# Reclaimable endpoints have to be enough for this time before regular ones are
# given up, in seconds.
SETTLED_S = 2.0
# Time beyond the boot time after which an ordered endpoint is not expected any
# more, in seconds.
BOOT_SLACK_S = 1.5


@attrs.frozen
class ReplicaNeed:
    """Load that the endpoints have to carry.

    Attributes:
      read_tokens_per_s: Prompt tokens to read per second.
      concurrent: Requests that run at once.
      endpoint_read_tokens_per_s: What one endpoint reads per second.
      endpoint_slots: Requests that one endpoint runs at once.
      allotted_tokens_per_s: Tokens per second that organisations may use.
      load_age_s: Time since the first request, in seconds.
    """

    read_tokens_per_s: float
    concurrent: float
    endpoint_read_tokens_per_s: float
    endpoint_slots: int
    allotted_tokens_per_s: float = 0.0
    load_age_s: float = math.inf

    def endpoints_for(self, read_tokens_per_s: float) -> int:
        """Returns the endpoints that read this many tokens per second."""
        capacity = self.endpoint_read_tokens_per_s * READ_UTILISATION
        return math.ceil(read_tokens_per_s / capacity)

    def endpoints(self) -> int:
        """Returns the endpoints that carry the load, at least one."""
        reading = self.endpoints_for(self.read_tokens_per_s)
        running = self.concurrent / (self.endpoint_slots * SLOT_UTILISATION)
        return max(1, math.ceil(max(reading, running)))


@attrs.frozen
class ReplicaOrder:
    """Number of endpoints that a zone should have.

    Attributes:
      zone: Availability zone.
      count: Number.
      reclaimable: Kind of the endpoints.
    """

    zone: str
    count: int
    reclaimable: bool


@attrs.define
class _Placed:
    """Last order of one kind in one zone.

    Attributes:
      count: Number that was ordered.
      ordered_s: When the number last rose.
      refused_s: When an order was last refused.
    """

    count: int | None = None
    ordered_s: float = -math.inf
    refused_s: float = -math.inf


class ReplicaPlanner:
    """Plans the endpoints of one service.

    Args:
      replicas: Bounds and prices.
      zones: Availability zones.
    """

    def __init__(self, replicas: Replicas, zones: Sequence[str]) -> None:
        self._replicas = replicas
        self._zones = sorted(zones, key=self._price)
        self._placed: dict[tuple[str, bool], _Placed] = {}
        self._enough_since_s: float | None = None

    def on_accepted(self, order: ReplicaOrder, now_s: float) -> None:
        """Takes note of an order that the platform took."""
        placed = self._of(order.zone, order.reclaimable)
        if placed.count is None or order.count > placed.count:
            placed.ordered_s = now_s
        placed.count = order.count

    def on_refused(self, order: ReplicaOrder, now_s: float) -> None:
        """Takes note that the zone has no such endpoints at the moment."""
        placed = self._of(order.zone, order.reclaimable)
        placed.refused_s = now_s
        placed.count = None

    def plan(
        self, endpoints: Sequence[Endpoint], need: ReplicaNeed, now_s: float
    ) -> list[ReplicaOrder]:
        """Returns the orders that are due.

        Args:
          endpoints: Endpoints of the service, leaving ones included.
          need: Load to carry.
          now_s: Monotonic time in seconds.
        """
        self._note_reclaims(endpoints, now_s)
        present = self._count(endpoints)
        needed = max(need.endpoints(), self._expected_endpoints(need))
        targets = self._targets(present, needed, now_s)
        orders = []
        for (zone, reclaimable), count in targets.items():
            placed = self._of(zone, reclaimable)
            have = present.get((zone, reclaimable), 0)
            if self._is_due(placed, count, have, now_s):
                orders.append(ReplicaOrder(zone, count, reclaimable))
        # Endpoints are ordered before others are given up.
        orders.sort(key=lambda order: order.count == 0)
        return orders

    def _expected_endpoints(self, need: ReplicaNeed) -> int:
        """Returns the endpoints to plan for until the load is known.

        Without requests the load seems to need one endpoint, and those for the
        first callers would only begin to boot when these come.
        """
        if need.load_age_s >= LEARNING_S + self._replicas.boot_s:
            return 0
        return need.endpoints_for(ALLOTTED_PART * need.allotted_tokens_per_s)

    def _price(self, zone: str) -> tuple[float, str]:
        return self._replicas.zone_prices.get(zone, 1.0), zone

    def _of(self, zone: str, reclaimable: bool) -> _Placed:
        return self._placed.setdefault((zone, reclaimable), _Placed())

    def _note_reclaims(
        self, endpoints: Sequence[Endpoint], now_s: float
    ) -> None:
        """Takes a reclaim notice for the refusal of the zone's orders.

        The platform takes all reclaimable endpoints of a zone at once, those
        that are still booting included, and has no others for a while.
        """
        for endpoint in endpoints:
            if endpoint.reclaimable and endpoint.reclaim_s is not None:
                placed = self._of(endpoint.zone, True)
                placed.refused_s = now_s
                placed.count = None

    def _count(
        self, endpoints: Sequence[Endpoint]
    ) -> Mapping[tuple[str, bool], int]:
        counts: dict[tuple[str, bool], int] = {}
        for endpoint in endpoints:
            if not endpoint.leaving:
                key = (endpoint.zone, endpoint.reclaimable)
                counts[key] = counts.get(key, 0) + 1
        return counts

    def _targets(
        self,
        present: Mapping[tuple[str, bool], int],
        needed: int,
        now_s: float,
    ) -> dict[tuple[str, bool], int]:
        if self._replicas.reclaimable_price is None:
            counts = self._spread(needed, dict.fromkeys(self._zones, 0))
            return {(zone, False): n for zone, n in counts.items()}
        reclaimable = self._spread_reclaimable(present, needed)
        coming = {
            zone: max(
                present.get((zone, True), 0), self._booting(zone, True, now_s)
            )
            for zone in self._zones
        }
        available = sum(coming.values())
        if self._are_scarce(now_s):
            available -= max(coming.values(), default=0)
        regular = self._regular(present, needed, available, now_s)
        targets = {(zone, True): n for zone, n in reclaimable.items()}
        targets |= {(zone, False): n for zone, n in regular.items()}
        return targets

    def _spread_reclaimable(
        self, present: Mapping[tuple[str, bool], int], needed: int
    ) -> dict[str, int]:
        """Returns reclaimable endpoints by zone, enough without some zones."""
        taken = {zone: present.get((zone, False), 0) for zone in self._zones}
        lost_zones = min(LOST_ZONES, len(self._zones) - 1)
        most = len(self._zones) * self._replicas.maximum
        for wanted in range(max(needed, len(self._zones)), most):
            counts = self._spread(wanted, taken)
            kept = sorted(counts.values(), reverse=True)[lost_zones:]
            if sum(kept) >= needed:
                return counts
        return self._spread(most, taken)

    def _spread(self, wanted: int, taken: Mapping[str, int]) -> dict[str, int]:
        """Deals endpoints to zones in turn, the cheapest first."""
        maximum = self._replicas.maximum
        counts = dict.fromkeys(self._zones, 0)
        left = wanted
        while left > 0:
            open_zones = [
                zone
                for zone in self._zones
                if counts[zone] + taken[zone] < maximum
            ]
            if not open_zones:
                break
            for zone in open_zones[:left]:
                counts[zone] += 1
            left -= len(open_zones[:left])
        for zone in self._zones:
            if taken[zone] == 0:
                counts[zone] = max(counts[zone], self._replicas.minimum)
        return counts

    def _are_scarce(self, now_s: float) -> bool:
        """Returns whether reclaimable endpoints were refused lately."""
        return any(
            reclaimable and now_s - placed.refused_s < SCARCE_S
            for (_, reclaimable), placed in self._placed.items()
        )

    def _booting(self, zone: str, reclaimable: bool, now_s: float) -> int:
        """Returns endpoints that were ordered lately and may yet come."""
        placed = self._of(zone, reclaimable)
        latest_s = placed.ordered_s + self._replicas.boot_s + BOOT_SLACK_S
        if placed.count is None or now_s > latest_s:
            return 0
        return placed.count

    def _regular(
        self,
        present: Mapping[tuple[str, bool], int],
        needed: int,
        available: int,
        now_s: float,
    ) -> dict[str, int]:
        have = {
            zone: max(
                present.get((zone, False), 0),
                self._booting(zone, False, now_s),
            )
            for zone in self._zones
        }
        ready = sum(present.get((zone, True), 0) for zone in self._zones)
        shortage = max(0, needed - available)
        if ready < needed or shortage:
            self._enough_since_s = None
        elif self._enough_since_s is None:
            self._enough_since_s = now_s
        if (
            self._enough_since_s is not None
            and now_s - self._enough_since_s >= SETTLED_S
        ):
            return dict.fromkeys(self._zones, 0)
        if sum(have.values()) >= shortage:
            return have
        taken = {zone: present.get((zone, True), 0) for zone in self._zones}
        return {
            zone: max(count, have[zone])
            for zone, count in self._spread(shortage, taken).items()
        }

    def _is_due(
        self, placed: _Placed, count: int, have: int, now_s: float
    ) -> bool:
        if now_s - placed.refused_s < REFUSED_RETRY_S:
            return False
        if placed.count is None:
            return count != have
        if placed.count != count:
            return True
        latest_s = placed.ordered_s + self._replicas.boot_s + BOOT_SLACK_S
        # Endpoints that were taken away, or never came, are ordered again.
        return have < count and now_s > latest_s
