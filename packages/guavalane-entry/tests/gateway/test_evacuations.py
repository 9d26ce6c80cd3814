"""Tests of evacuated zones and cold endpoints on a node."""

from __future__ import annotations

import random

import attrs
import pytest

from guavalane_core.forwarding import Endpoint
from guavalane_core.objects import ObjectEvent, StoredObject
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.evacuations import COPY_LAG_S, EvacuationSink
from guavalane_entry.gateway.restore_period import RESTORE_PERIOD_S
from guavalane_entry.gateway.selection import limit_waits_s, select_endpoint
from guavalane_entry.gateway.sinks import EndpointSink, PeerSink
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.forwarding_samples import (
    make_caller_request,
    make_configuration,
    make_endpoint,
    make_route,
)
from guavalane_standins.gateway_rig import (
    GatewayRig,
    echo_headers,
    make_settings,
)

COLD_RATE_PER_S = 2.0
COLD_START_S = 8.0


def make_cold_configuration():
    """Returns a configuration whose service limits cold endpoints."""
    configuration = make_configuration(make_route())
    services = {
        name: attrs.evolve(
            service, cold_start_s=COLD_START_S, cold_rate_per_s=COLD_RATE_PER_S
        )
        for name, service in configuration.services.items()
    }
    return attrs.evolve(configuration, services=services)


def make_zone(name, version="1"):
    """Returns the stored evacuation of a zone."""
    return StoredObject("evacuations", name, version, {})


class Node:
    """View of a node with the sinks that feed it.

    Args:
      started_s: Start of the process; None if it is not the first one.
    """

    def __init__(self, started_s=None):
        self.timers = ManualTimers()
        self.view = NodeView(
            make_settings(), self.timers, random.Random(1), started_s
        )
        self.view.update_configuration(make_cold_configuration())
        self.service = self.view.table.configuration.services["app"]
        log = DecisionLog("n1", self.timers.wall)
        self.evacuations = EvacuationSink(self.view, log)
        self.endpoints = EndpointSink(
            self.view, lambda stored: Endpoint(**stored.body), log
        )
        self.peers = PeerSink(self.view, lambda: None, log)

    def list_endpoints(self, *endpoints, version="1"):
        """Lists entries of endpoints."""
        self.endpoints.replace_all(
            [
                StoredObject(
                    "endpoints",
                    e.endpoint_id,
                    version,
                    attrs.asdict(e),
                )
                for e in endpoints
            ]
        )

    def list_nodes(self, **starts_ms):
        """Lists the entries of other nodes."""
        self.peers.replace_all(
            [
                StoredObject(
                    "nodes",
                    name,
                    "1",
                    {"address": "127.0.0.1:7", "incarnation": start_ms},
                )
                for name, start_ms in starts_ms.items()
            ]
        )

    def choose(self, tried=()):
        """Returns the endpoint of the next request; None without any."""
        request = make_caller_request()
        chosen = select_endpoint(self.view, self.service, "r-1", request, tried)
        return chosen and chosen.endpoint.endpoint_id

    def now_ms(self):
        """Returns the time of day."""
        return int(self.timers.wall() * 1000)


@pytest.fixture
def node():
    """Node with one endpoint in each of two zones."""
    node = Node()
    node.list_nodes()
    node.list_endpoints(
        make_endpoint("e-1"), make_endpoint("e-2", zone="zone-b")
    )
    return node


class TestEvacuation:
    """Guards against requests to an evacuated zone."""

    def test_its_endpoints_get_no_request_until_it_is_removed(self, node):
        node.evacuations.apply(ObjectEvent(make_zone("zone-a"), deleted=False))
        assert {node.choose() for _ in range(20)} == {"e-2"}
        assert node.choose(tried={"e-2"}) is None
        node.evacuations.apply(ObjectEvent(make_zone("zone-a"), deleted=True))
        assert node.choose() == "e-1"

    def test_without_the_store_it_stays_in_force(self, node):
        node.evacuations.replace_all([make_zone("zone-a")])
        node.evacuations.on_api_lost()
        node.timers.advance(60.0)
        node.evacuations.on_api_recovered()
        assert node.choose() == "e-2"
        node.evacuations.replace_all([])
        assert node.choose() == "e-1"

    def test_a_store_that_has_lost_it_does_not_end_it_at_once(self, node):
        node.evacuations.replace_all([make_zone("zone-a")])
        node.evacuations.on_restored()
        node.evacuations.replace_all([])
        assert node.choose() == "e-2"
        copied = {stored.name for stored in node.evacuations.to_copy({})}
        assert copied == {"zone-a"}
        node.timers.advance(RESTORE_PERIOD_S / 2)
        again = ObjectEvent(make_zone("zone-a", "9"), deleted=False)
        node.evacuations.apply(again)
        node.timers.advance(RESTORE_PERIOD_S)
        assert node.choose() == "e-2"

    def test_it_ends_if_it_is_not_written_again(self, node):
        node.evacuations.replace_all([make_zone("zone-a")])
        node.evacuations.on_restored()
        node.evacuations.replace_all([])
        node.timers.advance(RESTORE_PERIOD_S)
        assert node.choose() == "e-1"

    def test_an_outdated_copy_of_a_peer_does_not_end_it(self, node):
        node.evacuations.apply(ObjectEvent(make_zone("zone-a"), deleted=False))
        node.evacuations.merge([])
        assert node.choose() == "e-2"
        node.timers.advance(COPY_LAG_S)
        node.evacuations.merge([])
        assert node.choose() == "e-1"

    async def test_a_caller_is_told_that_nothing_has_run(self):
        async with GatewayRig(make_configuration(make_route())) as rig:
            endpoint = await rig.add_endpoint(None)
            rig.view.update_evacuated({"zone-a"})
            async with rig.call() as answer:
                assert answer.status == 503
                problem = await answer.json(content_type=None)
            assert problem["not_run"] is True
            assert endpoint.requests == []


class TestColdEndpoints:
    """Guards against more requests to a cold endpoint than it takes."""

    def test_warm_endpoints_are_preferred(self, node):
        node.list_endpoints(
            make_endpoint("e-1", cold_s=5.0),
            make_endpoint("e-2", zone="zone-b"),
            version="2",
        )
        for _ in range(3):
            assert node.choose() == "e-2"
            node.view.work.start("e-2", 0)
        node.timers.advance(5.0)
        assert node.choose() == "e-1"

    def test_a_cold_endpoint_helps_when_the_others_are_full(self, node):
        node.list_endpoints(
            make_endpoint("e-1", cold_s=30.0),
            make_endpoint("e-2", zone="zone-b"),
            version="2",
        )
        for _ in range(6):
            node.view.work.start("e-2", 0)
        node.choose()
        node.timers.advance(1.0)
        assert node.choose() == "e-1"

    def test_a_node_that_does_not_know_the_others_sends_nothing(self):
        node = Node()
        node.list_endpoints(make_endpoint("e-1", cold_s=5.0))
        node.timers.advance(2.0)
        assert node.choose() is None
        node.list_nodes()
        node.choose()
        node.timers.advance(1.0)
        assert node.choose() == "e-1"

    def test_an_endpoint_that_joins_is_cold_since_its_start(self, node):
        node.timers.advance(5.0)
        joined = make_endpoint("e-3", started_ms=node.now_ms() - 1000)
        node.list_endpoints(make_endpoint("e-1"), joined, version="2")
        left_s = node.view.cold_left_s(node.service, joined)
        assert left_s == pytest.approx(COLD_START_S - 1.0, abs=0.01)

    def test_a_node_restarted_beside_it_treats_it_as_the_others_do(self):
        node = Node()
        endpoint = make_endpoint("e-1", started_ms=node.now_ms() - 2000)
        node.list_endpoints(endpoint)
        assert node.view.cold_left_s(node.service, endpoint) > 5.0
        node.list_nodes(n2=node.now_ms() - 60_000)
        assert node.view.cold_left_s(node.service, endpoint) > 5.0

    def test_an_endpoint_that_does_not_tell_its_start(self, node):
        node.list_nodes(n2=1)
        first, joined = make_endpoint("e-1"), make_endpoint("e-3")
        node.list_endpoints(first, joined, version="2")
        assert node.view.cold_left_s(node.service, first) == 0
        assert node.view.cold_left_s(node.service, joined) == COLD_START_S

    def test_endpoints_that_start_with_all_nodes_are_warm(self):
        node = Node(started_s=float("-inf"))
        endpoint = make_endpoint("e-1", started_ms=node.now_ms() - 1000)
        node.list_endpoints(endpoint)
        node.list_nodes(n2=node.now_ms() - 2000)
        assert node.view.cold_left_s(node.service, endpoint) == 0
        assert node.choose() == "e-1"

    def test_the_wait_ends_with_the_cold_time(self, node):
        node.list_endpoints(make_endpoint("e-1", cold_s=0.2), version="2")
        node.choose()
        node.view.draw_endpoint("e-1")
        (wait_s,) = limit_waits_s(node.view, node.service).values()
        assert 0 < wait_s <= 0.2

    async def test_requests_beyond_the_rate_are_rejected_as_not_run(self):
        async def answer_once(exchange):
            await exchange.answer(200, echo_headers(exchange), b"done")

        async with GatewayRig(make_cold_configuration()) as rig:
            server = await rig.add_endpoint(answer_once)
            entry = attrs.evolve(rig.view.directory.get("e-1"), cold_s=30.0)
            now_s = rig.view.timers.now()
            rig.view.cold_endpoints.observe(entry, "1", now_s, 0.0)
            statuses = []
            for number in range(20):
                async with rig.call(request_id=f"q-{number}") as answer:
                    statuses.append(answer.status)
                    last = await answer.read()
                    retry_after = answer.headers.get("Retry-After")
            assert statuses.count(200) == len(server.requests) <= 8
            assert statuses[-1] == 503
            assert b"endpoints_limited" in last
            assert 0.3 <= float(retry_after) <= 2.0
