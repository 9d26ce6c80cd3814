"""Tests of the orders of endpoints by the duty."""

from __future__ import annotations

import random

import attrs
import pytest

from guavalane_core.forwarding import (
    Engine,
    MovePhase,
    Replicas,
    Service,
    VersionMove,
)
from guavalane_core.limits.endpoint_rates import StatedLimit
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.duties import DutyContext, MoveOrders
from guavalane_entry.gateway.replica_duty import ReplicaDuty
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_endpoint,
    make_route,
)
from guavalane_standins.gateway_rig import make_settings

ZONES = ("zone-a", "zone-b", "zone-c")
MOVE_S = 15.0


class FakeLease:
    """Lease that is always held."""

    def require(self):
        return 1


class Platform:
    """Platform that removes the oldest endpoints of a zone first.

    Args:
      view: View of a node, whose directory lists the endpoints.
    """

    def __init__(self, view):
        self._view = view
        self.endpoints = []
        self.counts = []

    def start(self, zone, version):
        """Starts a reclaimable endpoint."""
        endpoint = make_endpoint(
            f"e-{len(self.endpoints):03d}",
            zone=zone,
            version=version,
            reclaimable=True,
        )
        self.endpoints.append(endpoint)
        self._view.directory.put(endpoint)

    def serving(self, version):
        """Returns the number of endpoints of a version that serve."""
        return sum(
            e.version == version and not e.leaving
            for e in self._view.directory.all_endpoints("app")
        )

    async def order_replicas(
        self, number, service, zone, count, *, reclaimable
    ):
        """Starts or drains endpoints until a zone has the ordered number."""
        self.counts.append(count)
        present = [
            e
            for e in self._view.directory.all_endpoints(service)
            if e.zone == zone and not e.leaving and e.reclaimable == reclaimable
        ]
        present.sort(key=lambda endpoint: endpoint.endpoint_id)
        for endpoint in present[: max(0, len(present) - count)]:
            self._view.directory.put(attrs.evolve(endpoint, leaving=True))
        for _ in range(count - len(present)):
            self.start(zone, "v1")


class DutyRig:
    """Fixtures of tests that run the duty on a node."""

    @pytest.fixture
    def timers(self):
        """Manual timers."""
        return ManualTimers()

    @pytest.fixture
    def node(self, timers):
        """Returns the view of a node, the platform and the duty."""
        view = NodeView(make_settings(), timers, random.Random(1))
        replicas = Replicas(
            minimum=1,
            maximum=12,
            boot_s=4.0,
            reclaimable_price=0.2,
            zone_prices=dict.fromkeys(ZONES, 1.0),
        )
        engine = Engine(slots=10, kv_tokens=100_000)
        configuration = attrs.evolve(
            make_configuration(make_route()),
            services={"app": Service("app", 100, engine, replicas)},
        )
        view.update_configuration(configuration)
        platform = Platform(view)
        log = DecisionLog("n1", timers.wall)
        orders = MoveOrders({}, lambda move, phase: {})
        context = DutyContext(view, None, platform, log, orders, lambda: ())
        return view, platform, ReplicaDuty(context)

    async def run_duty(self, timers, node, seconds, requests=1):
        """Runs the duty every 0.5 s under a load."""
        view, platform, duty = node
        works = [
            view.work.start(e.endpoint_id)
            for e in platform.endpoints[:1]
            for _ in range(requests)
        ]
        for _ in range(int(seconds * 2)):
            await duty.step(FakeLease())
            timers.advance(0.5)
        for work in works:
            view.work.finish(work)

    async def settle(self, timers, node, requests=1):
        """Starts the old version and lets the number of endpoints settle."""
        view, platform, _ = node
        view.record_sent("app", 0)
        for zone in ZONES:
            for _ in range(3):
                platform.start(zone, "v1")
        await self.run_duty(timers, node, 20.0, requests)
        return platform.serving("v1")


class TestOrdersDuringMove(DutyRig):
    """Guards against orders that take away the version that carries the load.

    The platform counts the endpoints of both versions. An order for fewer
    drained all those of the old version, and all requests went to the new one.
    """

    def order_move(self, node, timers, phase):
        """Orders a move to a version that starts beside the old one."""
        view, _, _ = node
        move = VersionMove("app", "v2", MOVE_S, phase)
        view.moves.offer(move, timers.now())

    @pytest.mark.parametrize(
        "phase",
        [MovePhase.ORDERED, MovePhase.RUNNING, MovePhase.ROLLED_BACK],
    )
    async def test_the_old_version_stays_while_another_one_runs(
        self, timers, node, phase
    ):
        _, platform, _ = node
        settled = await self.settle(timers, node, requests=30)
        self.order_move(node, timers, phase)
        for zone in ZONES:
            for _ in range(3):
                platform.start(zone, "v2")
        # The load falls, so that fewer endpoints would suffice.
        await self.run_duty(timers, node, MOVE_S)
        assert platform.serving("v1") == settled
        assert platform.serving("v2") == 3 * len(ZONES)

    async def test_more_load_adds_to_the_endpoints_of_both_versions(
        self, timers, node
    ):
        _, platform, _ = node
        settled = await self.settle(timers, node)
        self.order_move(node, timers, MovePhase.RUNNING)
        for zone in ZONES:
            for _ in range(3):
                platform.start(zone, "v2")
        await self.run_duty(timers, node, MOVE_S, requests=30)
        assert platform.serving("v1") > settled
        assert platform.serving("v2") == 3 * len(ZONES)

    async def test_orders_never_exceed_the_maximum_of_a_zone(
        self, timers, node
    ):
        _, platform, _ = node
        await self.settle(timers, node)
        self.order_move(node, timers, MovePhase.RUNNING)
        for zone in ZONES:
            for _ in range(8):
                platform.start(zone, "v2")
        await self.run_duty(timers, node, MOVE_S, requests=300)
        assert max(platform.counts) <= 12

    async def test_spare_endpoints_are_removed_after_the_move(
        self, timers, node
    ):
        _, platform, _ = node
        settled = await self.settle(timers, node, requests=30)
        self.order_move(node, timers, MovePhase.ROLLED_BACK)
        await self.run_duty(timers, node, MOVE_S)
        assert platform.serving("v1") < settled


class TestOrdersWithLimitedEndpoints(DutyRig):
    """Guards against orders that take away the endpoints without a limit.

    Endpoints that limit their rate counted as capacity, and the platform
    drained others, so that one endpoint was left for most requests.
    """

    REQUESTS_PER_S = 40

    async def run_limited(self, timers, node, limits):
        """Runs the duty for 15 s while endpoints state limits.

        Args:
          timers: Manual timers.
          node: View, platform and duty.
          limits: Limits in requests per second, by number of the endpoint.
        """
        view, platform, _ = node
        for _ in range(30):
            for number, rate_per_s in limits.items():
                endpoint_id = platform.endpoints[number].endpoint_id
                limit = StatedLimit(rate_per_s, timers.now())
                view.endpoint_rates.observe(endpoint_id, limit)
            for _ in range(self.REQUESTS_PER_S // 2):
                view.record_sent("app", 0)
            await self.run_duty(timers, node, 0.5, requests=30)

    def unlimited(self, node, limits):
        """Returns the number of serving endpoints without a limit."""
        view, platform, _ = node
        limited = {platform.endpoints[n].endpoint_id for n in limits}
        usable = view.directory.usable("app")
        return sum(e.endpoint_id not in limited for e in usable)

    async def test_no_endpoint_is_removed_while_others_are_limited(
        self, timers, node
    ):
        _, _platform, _ = node
        await self.settle(timers, node, requests=300)
        limits = dict.fromkeys(range(2), 30.0)
        before = self.unlimited(node, limits)
        await self.run_limited(timers, node, limits)
        assert self.unlimited(node, limits) >= before

    async def test_endpoints_are_ordered_for_limited_ones(self, timers, node):
        _, platform, _ = node
        await self.settle(timers, node, requests=30)
        limits = dict.fromkeys(range(len(platform.endpoints)), 0.5)
        await self.run_limited(timers, node, limits)
        assert self.unlimited(node, limits) > 0

    async def test_spare_endpoints_are_removed_after_the_limits(
        self, timers, node
    ):
        view, platform, _ = node
        await self.settle(timers, node, requests=30)
        settled = platform.serving("v1")
        limits = dict.fromkeys(range(len(platform.endpoints)), 0.5)
        await self.run_limited(timers, node, limits)
        assert platform.serving("v1") > settled
        for number in limits:
            view.endpoint_rates.forget(platform.endpoints[number].endpoint_id)
        await self.run_duty(timers, node, 30.0, requests=30)
        assert platform.serving("v1") <= settled + 1
