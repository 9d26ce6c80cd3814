"""Planning of a service's endpoints in each availability zone.

Reclaimable endpoints cost a fraction of regular ones, and the platform reclaims
all those of a zone together. They are spread over all zones so that the rest
carries the load after the loss of two zones. Reclaims are correlated across
zones: while reclaimable endpoints are scarce, regular ones also cover the loss
of one more zone.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence

import attrs

from guavalane_core.forwarding.configuration import Replicas
from guavalane_core.forwarding.endpoint import Endpoint

# Target utilisation of an endpoint's prefill rate. Above it, queueing of
# prompts exceeds the latency objective of the first token.
READ_UTILISATION = 0.4
# Zones whose reclaimable endpoints may be lost before replacements have booted.
# Correlated reclaims reach a second zone within the boot time.
TOLERATED_ZONE_LOSSES = 2
# Fraction of the organisations' allotments that is planned for until the load
# is known. Operators allot more than the average usage.
ALLOTTED_FRACTION = 0.4
# The load is considered known this long after the first request, in addition to
# the boot time. Equals two time constants of the fast average of demand.
DEMAND_SETTLING_S = 4.0
# Target utilisation of an endpoint's slots.
SLOT_UTILISATION = 0.6
# Delay before an order is repeated in a zone that refused one.
REFUSED_RETRY_S = 3.0
# Reclaimable endpoints are considered scarce for this long after a refused
# order; longer than the time between two orders.
SCARCITY_WINDOW_S = 2 * REFUSED_RETRY_S
# Regular endpoints are removed after reclaimable ones have been sufficient for
# this long.
REPLACEMENT_HOLD_S = 2.0
# Capacity that is kept while endpoints limit their rates, as a multiple of the
# load. Requests arrive unevenly, and a limited endpoint takes no burst.
LIMITED_CAPACITY_MARGIN = 1.25
# Lowest rate of an endpoint that is assumed, in requests per second.
MIN_ENDPOINT_RATE_PER_S = 0.1
# An ordered endpoint is no longer expected this long after its boot time.
BOOT_MARGIN_S = 1.5


@attrs.frozen
class ReplicaNeed:
    """Load that the endpoints have to carry.

    Attributes:
      read_tokens_per_s: Prompt tokens to prefill per second.
      concurrent: Number of concurrent requests.
      endpoint_read_tokens_per_s: Prompt tokens that one endpoint prefills per
          second.
      endpoint_slots: Number of concurrent requests that one endpoint runs.
      allotted_tokens_per_s: Tokens per second allotted to organisations.
      load_age_s: Time since the first request, in seconds.
      limited_shortage: Endpoints that are missing because present ones limit
          their rate.
    """

    read_tokens_per_s: float
    concurrent: float
    endpoint_read_tokens_per_s: float
    endpoint_slots: int
    allotted_tokens_per_s: float = 0.0
    load_age_s: float = math.inf
    limited_shortage: int = 0

    def endpoints_for(self, read_tokens_per_s: float) -> int:
        """Returns the number of endpoints needed for a prefill rate."""
        capacity = self.endpoint_read_tokens_per_s * READ_UTILISATION
        return math.ceil(read_tokens_per_s / capacity)

    def endpoints(self) -> int:
        """Returns the number of endpoints that carry the load, at least 1."""
        reading = self.endpoints_for(self.read_tokens_per_s)
        running = self.concurrent / (self.endpoint_slots * SLOT_UTILISATION)
        return max(1, math.ceil(max(reading, running))) + self.limited_shortage


def count_limited_shortage(
    endpoints: Sequence[str],
    limits: Mapping[str, float],
    needed: int,
    requests_per_s: float,
) -> int:
    """Returns how many endpoints are missing because others are limited.

    A limited endpoint counts as the fraction of the rate that it would have if
    only the needed number of endpoints carried the load.

    Args:
      endpoints: Endpoints that accept new requests.
      limits: Rate limits in force in requests per second, by endpoint.
      needed: Number of endpoints without a limit that carry the load.
      requests_per_s: Requests per second.
    """
    if not any(endpoint in limits for endpoint in endpoints):
        return 0
    endpoint_rate = max(requests_per_s / needed, MIN_ENDPOINT_RATE_PER_S)
    capacity = sum(
        min(1.0, limits.get(endpoint, math.inf) / endpoint_rate)
        for endpoint in endpoints
    )
    return max(0, math.ceil(needed * LIMITED_CAPACITY_MARGIN - capacity))


@attrs.frozen
class ReplicaOrder:
    """Desired number of endpoints in a zone.

    Attributes:
      zone: Availability zone.
      count: Desired number.
      reclaimable: Whether the endpoints are reclaimable.
    """

    zone: str
    count: int
    reclaimable: bool


@attrs.define
class _OrderState:
    """Last order of reclaimable or regular endpoints in one zone.

    Attributes:
      count: Ordered number; None if it is not known.
      ordered_s: Time of the last order that raised the number.
      refused_s: Time of the last refusal.
    """

    count: int | None = None
    ordered_s: float = -math.inf
    refused_s: float = -math.inf


class ReplicaPlanner:
    """Plans the endpoints of one service.

    Args:
      replicas: Limits and prices.
      zones: Availability zones.
    """

    def __init__(self, replicas: Replicas, zones: Sequence[str]) -> None:
        self._replicas = replicas
        self._all_zones = sorted(zones, key=self._price_key)
        # Zones in which endpoints may be ordered now.
        self._zones = self._all_zones
        self._order_states: dict[tuple[str, bool], _OrderState] = {}
        self._enough_since_s: float | None = None

    def on_accepted(self, order: ReplicaOrder, now_s: float) -> None:
        """Records an order that the platform accepted."""
        state = self._state_of(order.zone, order.reclaimable)
        if state.count is None or order.count > state.count:
            state.ordered_s = now_s
        state.count = order.count

    def on_refused(self, order: ReplicaOrder, now_s: float) -> None:
        """Records that the zone has no capacity for an order at present."""
        state = self._state_of(order.zone, order.reclaimable)
        state.refused_s = now_s
        state.count = None

    def plan(
        self,
        endpoints: Sequence[Endpoint],
        need: ReplicaNeed,
        now_s: float,
        on_trial: Sequence[Endpoint] | None = None,
        *,
        may_remove: bool = True,
        evacuated: Collection[str] = (),
    ) -> list[ReplicaOrder]:
        """Returns the orders that are due.

        Args:
          endpoints: Endpoints of the service that carry load, including leaving
            ones.
          need: Load to carry.
          now_s: Monotonic time in seconds.
          on_trial: Endpoints of another version during a version move; None
            without a move. Nothing is removed meanwhile.
          may_remove: Whether endpoints may be removed.
          evacuated: Zones whose endpoints get no new request. Nothing is
              ordered or removed there; replacements are ordered elsewhere.
        """
        self._note_reclaims(endpoints, now_s)
        self._zones = [z for z in self._all_zones if z not in evacuated]
        if not self._zones:
            return []
        present = self._count([e for e in endpoints if e.zone not in evacuated])
        needed = max(need.endpoints(), self._expected_endpoints(need))
        targets = self._targets(present, needed, now_s)
        if on_trial is not None or not may_remove:
            return self._growth_orders(targets, present, on_trial or (), now_s)
        orders = []
        for (zone, reclaimable), count in targets.items():
            state = self._state_of(zone, reclaimable)
            present_count = present.get((zone, reclaimable), 0)
            if self._is_due(state, count, present_count, now_s):
                orders.append(ReplicaOrder(zone, count, reclaimable))
        # Orders for endpoints precede removals.
        orders.sort(key=lambda order: order.count == 0)
        return orders

    def _growth_orders(
        self,
        targets: Mapping[tuple[str, bool], int],
        present: Mapping[tuple[str, bool], int],
        on_trial: Sequence[Endpoint],
        now_s: float,
    ) -> list[ReplicaOrder]:
        """Returns orders that only add endpoints.

        During a version move, an order states the number of endpoints of both
        versions, and the platform removes the oldest ones first. An order
        without those on trial would remove the ones that carry the load.
        """
        added = self._count(on_trial)
        orders = []
        for (zone, reclaimable), target in targets.items():
            key, other_key = (zone, reclaimable), (zone, not reclaimable)
            present_count = present.get(key, 0) + added.get(key, 0)
            others = present.get(other_key, 0) + added.get(other_key, 0)
            count = min(
                target + added.get(key, 0), self._replicas.maximum - others
            )
            state = self._state_of(zone, reclaimable)
            is_growth = count > present_count
            if is_growth and self._is_due(state, count, present_count, now_s):
                orders.append(ReplicaOrder(zone, count, reclaimable))
        return orders

    def _expected_endpoints(self, need: ReplicaNeed) -> int:
        """Returns the minimum number of endpoints until the load is known.

        Without requests the measured load needs one endpoint only, and the
        endpoints for the first callers would start to boot on their arrival.
        """
        if need.load_age_s >= DEMAND_SETTLING_S + self._replicas.boot_s:
            return 0
        return need.endpoints_for(
            ALLOTTED_FRACTION * need.allotted_tokens_per_s
        )

    def _price_key(self, zone: str) -> tuple[float, str]:
        return self._replicas.zone_prices.get(zone, 1.0), zone

    def _state_of(self, zone: str, reclaimable: bool) -> _OrderState:
        return self._order_states.setdefault((zone, reclaimable), _OrderState())

    def _note_reclaims(
        self, endpoints: Sequence[Endpoint], now_s: float
    ) -> None:
        """Treats a reclaim notice as a refusal of the zone's orders.

        The platform reclaims all reclaimable endpoints of a zone at once,
        including those that are booting, and has no others for some time.
        """
        for endpoint in endpoints:
            if endpoint.reclaimable and endpoint.reclaim_s is not None:
                state = self._state_of(endpoint.zone, True)
                state.refused_s = now_s
                state.count = None

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
        expected = {
            zone: max(
                present.get((zone, True), 0), self._booting(zone, True, now_s)
            )
            for zone in self._zones
        }
        available = sum(expected.values())
        if self._is_reclaimable_scarce(now_s):
            available -= max(expected.values(), default=0)
        regular = self._regular_targets(present, needed, available, now_s)
        targets = {(zone, True): n for zone, n in reclaimable.items()}
        targets |= {(zone, False): n for zone, n in regular.items()}
        return targets

    def _spread_reclaimable(
        self, present: Mapping[tuple[str, bool], int], needed: int
    ) -> dict[str, int]:
        """Returns reclaimable endpoints by zone that tolerate zone losses."""
        occupied = {zone: present.get((zone, False), 0) for zone in self._zones}
        lost_zones = min(TOLERATED_ZONE_LOSSES, len(self._zones) - 1)
        most = len(self._zones) * self._replicas.maximum
        for wanted in range(max(needed, len(self._zones)), most):
            counts = self._spread(wanted, occupied)
            remaining = sorted(counts.values(), reverse=True)[lost_zones:]
            if sum(remaining) >= needed:
                return counts
        return self._spread(most, occupied)

    def _spread(
        self, wanted: int, occupied: Mapping[str, int]
    ) -> dict[str, int]:
        """Distributes endpoints over zones round-robin, cheapest zone first."""
        maximum = self._replicas.maximum
        counts = dict.fromkeys(self._zones, 0)
        left = wanted
        while left > 0:
            open_zones = [
                zone
                for zone in self._zones
                if counts[zone] + occupied[zone] < maximum
            ]
            if not open_zones:
                break
            for zone in open_zones[:left]:
                counts[zone] += 1
            left -= len(open_zones[:left])
        for zone in self._zones:
            if occupied[zone] == 0:
                counts[zone] = max(counts[zone], self._replicas.minimum)
        return counts

    def _is_reclaimable_scarce(self, now_s: float) -> bool:
        """Returns whether reclaimable endpoints were refused recently."""
        return any(
            reclaimable and now_s - state.refused_s < SCARCITY_WINDOW_S
            for (_, reclaimable), state in self._order_states.items()
        )

    def _booting(self, zone: str, reclaimable: bool, now_s: float) -> int:
        """Returns the endpoints that were ordered and may still become ready.

        Those that are ready already are included until the boot time is over.
        """
        state = self._state_of(zone, reclaimable)
        latest_s = state.ordered_s + self._replicas.boot_s + BOOT_MARGIN_S
        if state.count is None or now_s > latest_s:
            return 0
        return state.count

    def _regular_targets(
        self,
        present: Mapping[tuple[str, bool], int],
        needed: int,
        available: int,
        now_s: float,
    ) -> dict[str, int]:
        expected_counts = {
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
            and now_s - self._enough_since_s >= REPLACEMENT_HOLD_S
        ):
            return dict.fromkeys(self._zones, 0)
        if sum(expected_counts.values()) >= shortage:
            return expected_counts
        occupied = {zone: present.get((zone, True), 0) for zone in self._zones}
        return {
            zone: max(count, expected_counts[zone])
            for zone, count in self._spread(shortage, occupied).items()
        }

    def _is_due(
        self, state: _OrderState, count: int, present_count: int, now_s: float
    ) -> bool:
        if now_s - state.refused_s < REFUSED_RETRY_S:
            return False
        if state.count is None:
            return count != present_count
        if state.count != count:
            return True
        latest_s = state.ordered_s + self._replicas.boot_s + BOOT_MARGIN_S
        # Endpoints that were reclaimed or never started are ordered again.
        return present_count < count and now_s > latest_s
