"""Tests of the planning of a service's endpoints."""

from __future__ import annotations

import itertools

import attrs

from guavalane_core.fleet.replica_demand import DemandTotals, ReplicaDemand
from guavalane_core.fleet.replicas import (
    REFUSED_RETRY_S,
    ReplicaNeed,
    ReplicaPlanner,
)
from guavalane_core.forwarding import Replicas
from guavalane_standins.forwarding_samples import make_endpoint

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
BOUNDS = Replicas(
    minimum=1,
    maximum=3,
    boot_s=4.0,
    reclaimable_price=0.2,
    zone_prices={"zone-a": 1.0, "zone-b": 0.8, "zone-c": 1.2, "zone-d": 0.9},
)
RATE = 100_000.0
# Time from a reclaim notice to the reclaim.
NOTICE_S = 2.5
# Time after which endpoints ordered at the second notice have booted.
REPLACEMENT_READY_S = 3.0


class FleetModel:
    """Model of a platform that starts ordered endpoints after the boot time.

    Args:
      planner: Planner whose orders are carried out.
    """

    def __init__(self, planner: ReplicaPlanner) -> None:
        self.planner = planner
        self.allotted = 0.0
        self.first_load_s = None
        self.now_s = 0.0
        self.endpoints = {}
        self.booting = []
        self.no_capacity_until_s = -1.0
        self.evacuated = set()
        self.orders = []
        self._names = itertools.count()

    def add(self, zone, *, reclaimable):
        """Adds an endpoint that is ready."""
        name = f"e-{next(self._names)}"
        self.endpoints[name] = make_endpoint(
            name, zone=zone, reclaimable=reclaimable
        )

    def count(self, *, reclaimable):
        """Returns the number of reclaimable or regular endpoints."""
        return sum(
            e.reclaimable == reclaimable for e in self.endpoints.values()
        )

    def notify(self, zone):
        """Sends a reclaim notice to the reclaimable endpoints of a zone."""
        for name, endpoint in list(self.endpoints.items()):
            if endpoint.zone == zone and endpoint.reclaimable:
                self.endpoints[name] = attrs.evolve(
                    endpoint, leaving=True, reclaim_s=NOTICE_S
                )

    def reclaim(self, zone, no_capacity_s):
        """Removes a zone's reclaimable endpoints; refuses orders for a time."""
        for name, endpoint in list(self.endpoints.items()):
            if endpoint.zone == zone and endpoint.reclaimable:
                del self.endpoints[name]
        self.booting = [b for b in self.booting if b[1:] != (zone, True)]
        self.no_capacity_until_s = self.now_s + no_capacity_s

    def run(self, seconds, read_tokens_per_s):
        """Simulates a period; returns the lowest number of ready endpoints."""
        if read_tokens_per_s and self.first_load_s is None:
            self.first_load_s = self.now_s
        fewest = len(self.endpoints)
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self._step(read_tokens_per_s)
            fewest = min(fewest, len(self.endpoints))
            self.now_s += 0.5
        return fewest

    def _step(self, read_tokens_per_s):
        for ready_s, zone, kind in list(self.booting):
            if ready_s <= self.now_s:
                self.booting.remove((ready_s, zone, kind))
                self.add(zone, reclaimable=kind)
        load_age_s = 0.0
        if self.first_load_s is not None:
            load_age_s = self.now_s - self.first_load_s
        need = ReplicaNeed(
            read_tokens_per_s, 0.0, RATE, 64, self.allotted, load_age_s
        )
        plan = self.planner.plan(
            list(self.endpoints.values()),
            need,
            self.now_s,
            evacuated=self.evacuated,
        )
        for order in plan:
            self._carry_out(order)

    def _carry_out(self, order):
        self.orders.append(order)
        if (
            order.reclaimable
            and order.count
            and self.now_s < self.no_capacity_until_s
        ):
            self.planner.on_refused(order, self.now_s)
            return
        self.planner.on_accepted(order, self.now_s)
        names = [
            name
            for name, e in self.endpoints.items()
            if e.zone == order.zone and e.reclaimable == order.reclaimable
        ]
        booting = [
            b for b in self.booting if b[1:] == (order.zone, order.reclaimable)
        ]
        for name in names[order.count :]:
            del self.endpoints[name]
        for _ in range(order.count - len(names) - len(booting)):
            ready_s = self.now_s + BOUNDS.boot_s
            self.booting.append((ready_s, order.zone, order.reclaimable))


class TestReplicaPlanner:
    """Guards against a fleet that is too small or costs more than needed."""

    def start(self):
        """Returns a fleet of regular endpoints with a planner."""
        model = FleetModel(ReplicaPlanner(BOUNDS, ZONES))
        for zone in (*ZONES, "zone-a", "zone-b"):
            model.add(zone, reclaimable=False)
        return model

    def test_reclaimable_endpoints_replace_regular_ones(self):
        model = self.start()
        fewest = model.run(12, 40_000)
        assert fewest >= 4
        assert model.count(reclaimable=False) == 0
        assert model.count(reclaimable=True) == 4

    def test_callers_who_come_after_a_while_find_endpoints(self):
        """The whole load arrives at once, 16 s after the start.

        The organisations are allotted 1.8 times what they use. Planning by the
        measured load alone would start the endpoints when the load arrives.
        """
        bounds = attrs.evolve(BOUNDS, maximum=56)
        model = FleetModel(ReplicaPlanner(bounds, ZONES))
        model.allotted = 1.8 * 400_000
        for zone in ZONES:
            model.add(zone, reclaimable=False)
        model.run(16, 0)
        # Ten endpoints carry this load; they take 4 s to boot.
        assert model.run(12, 400_000) >= 10
        model.run(30, 40_000)
        assert len(model.endpoints) == len(ZONES)

    def test_a_new_planner_orders_nothing_for_a_known_load(self):
        model = self.start()
        model.allotted = 1_000_000
        model.run(30, 40_000)
        model.orders.clear()
        model.planner = ReplicaPlanner(BOUNDS, ZONES)
        model.run(5, 40_000)
        assert len(model.endpoints) + len(model.booting) == len(ZONES)

    def test_the_loss_of_a_zone_leaves_enough(self):
        model = self.start()
        model.run(20, 100_000)
        model.reclaim("zone-b", no_capacity_s=12)
        # Three endpoints carry this load.
        assert model.run(20, 100_000) >= 3

    def test_the_loss_of_two_zones_at_once_leaves_enough(self):
        model = self.start()
        model.run(30, 100_000)
        model.reclaim("zone-b", no_capacity_s=12)
        model.reclaim("zone-d", no_capacity_s=12)
        # Three endpoints carry this load.
        assert model.run(20, 100_000) >= 3

    def test_regular_endpoints_fill_a_gap(self):
        model = self.start()
        model.run(20, 100_000)
        for zone in ("zone-a", "zone-b", "zone-c"):
            model.reclaim(zone, no_capacity_s=12)
        model.run(BOUNDS.boot_s + 1.5, 100_000)
        assert len(model.endpoints) >= 3
        model.run(20, 100_000)
        assert model.count(reclaimable=False) == 0

    def test_a_wave_of_reclaims_leaves_enough(self):
        """Zones are reclaimed 5 s apart and offer no capacity for 14 s."""
        model = self.start()
        model.run(20, 100_000)
        for zone in ("zone-a", "zone-b", "zone-c", "zone-d"):
            model.reclaim(zone, no_capacity_s=14)
            # Three endpoints carry this load.
            assert model.run(5, 100_000) >= 3
        model.run(30, 100_000)
        assert model.count(reclaimable=False) == 0

    def test_an_order_that_a_reclaim_took_is_not_waited_for(self):
        """A zone is reclaimed while its endpoint boots, then another zone.

        An order lost to the reclaim must not count as a booting endpoint.
        """
        model = self.start()
        model.run(20, 100_000)
        model.reclaim("zone-d", no_capacity_s=0)
        model.run(REFUSED_RETRY_S + 1, 100_000)
        model.add("zone-d", reclaimable=True)
        model.notify("zone-d")
        model.run(NOTICE_S, 100_000)
        model.reclaim("zone-d", no_capacity_s=14)
        model.run(2, 100_000)
        model.notify("zone-c")
        model.run(NOTICE_S, 100_000)
        model.reclaim("zone-c", no_capacity_s=14)
        # Three endpoints carry this load, and the loss of one more zone must
        # leave them.
        assert model.run(REPLACEMENT_READY_S, 100_000) >= 3
        model.reclaim("zone-b", no_capacity_s=14)
        assert model.run(10, 100_000) >= 3

    def test_a_pending_order_is_not_revoked(self):
        model = self.start()
        model.run(20, 60_000)
        model.reclaim("zone-a", no_capacity_s=30)
        model.reclaim("zone-b", no_capacity_s=30)
        model.orders.clear()
        for i in range(16):
            # The load alternates between two that need different numbers of
            # endpoints.
            model.run(0.5, 130_000 if i % 2 else 60_000)
        regular = [o for o in model.orders if not o.reclaimable]
        assert all(order.count > 0 for order in regular)

    def test_refused_orders_are_not_repeated_at_once(self):
        model = self.start()
        model.run(20, 40_000)
        model.reclaim("zone-a", no_capacity_s=60)
        model.orders.clear()
        model.run(30, 40_000)
        refused = [o for o in model.orders if o.zone == "zone-a"]
        assert len(refused) <= 30 / REFUSED_RETRY_S + 1

    def test_bounds_hold_for_both_kinds_together(self):
        model = self.start()
        model.run(30, 5_000_000)
        by_zone = {zone: 0 for zone in ZONES}
        for endpoint in model.endpoints.values():
            by_zone[endpoint.zone] += 1
        assert max(by_zone.values()) <= BOUNDS.maximum

    def test_an_evacuated_zone_is_replaced_by_others(self):
        model = self.start()
        model.run(20, 160_000)
        model.evacuated = {"zone-b", "zone-d"}
        model.orders.clear()
        model.run(BOUNDS.boot_s + 3, 160_000)
        assert model.orders
        assert not {o.zone for o in model.orders} & model.evacuated
        used = [
            e for e in model.endpoints.values() if e.zone not in model.evacuated
        ]
        needed = ReplicaNeed(160_000, 0.0, RATE, 64).endpoints()
        assert len(used) >= min(needed, 2 * BOUNDS.maximum)

    def test_the_evacuation_of_all_zones_orders_nothing(self):
        model = self.start()
        model.run(20, 100_000)
        model.evacuated = set(ZONES)
        model.orders.clear()
        model.run(5, 100_000)
        assert model.orders == []
        model.evacuated = set()
        assert model.run(20, 100_000) >= 1

    def test_without_reclaimable_endpoints_regular_ones_are_ordered(self):
        bounds = Replicas(1, 3, 4.0, None, BOUNDS.zone_prices)
        planner = ReplicaPlanner(bounds, ZONES)
        need = ReplicaNeed(200_000, 0.0, RATE, 64)
        orders = planner.plan([], need, 0.0)
        assert sum(order.count for order in orders) == need.endpoints()
        assert not any(order.reclaimable for order in orders)


class TestReplicaDemand:
    """Guards against demand that misses nodes or is distorted by a restart."""

    def test_rates_of_all_nodes_add_up(self):
        demand = ReplicaDemand(0.0)
        for step in range(1, 200):
            for node in ("n1", "n2"):
                demand.report(node, 1, DemandTotals(step, step * 1000))
            rates = demand.update(step * 0.5)
        assert abs(rates.requests_per_s - 4) < 0.2
        assert abs(rates.read_tokens_per_s - 4000) < 200

    def test_the_first_totals_of_a_process_do_not_count(self):
        demand = ReplicaDemand(0.0)
        demand.report("n1", 1, DemandTotals(1_000_000, 1_000_000_000))
        assert demand.update(0.5).requests_per_s == 0

    def test_the_time_since_the_first_request_is_known(self):
        demand = ReplicaDemand(0.0)
        demand.report("n1", 1, DemandTotals(0, 0))
        demand.update(5.0)
        assert demand.load_age_s(5.0) == 0
        demand.report("n1", 1, DemandTotals(3, 0))
        demand.update(6.0)
        assert demand.load_age_s(8.0) == 0
        demand.report("n1", 1, DemandTotals(4, 500))
        demand.update(9.0)
        assert demand.load_age_s(11.0) == 2.0

    def test_demand_rises_fast_and_decays_slowly(self):
        demand = ReplicaDemand(0.0)
        demand.report("n1", 1, DemandTotals(0, 0))
        demand.report("n1", 1, DemandTotals(0, 200_000))
        high = demand.update(2.0).read_tokens_per_s
        assert high > 60_000
        assert demand.update(6.0).read_tokens_per_s > 8_000
