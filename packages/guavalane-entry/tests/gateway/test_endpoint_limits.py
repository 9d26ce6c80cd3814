"""Tests of the rate limits that endpoints state in their responses."""

from __future__ import annotations

import random

import pytest

from guavalane_core.messages import decode
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.endpoint_limits import EndpointLimits
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_endpoint,
    make_route,
)
from guavalane_standins.gateway_rig import (
    NAMES,
    GatewayRig,
    echo_headers,
    make_settings,
)

REPORT_TIME_S = 0.1
ENDPOINT = make_endpoint("e-1")


class TestReports:
    """Guards against a limit that only the node knows that was told."""

    @pytest.fixture
    def timers(self):
        """Manual timers."""
        return ManualTimers()

    @pytest.fixture
    def nodes(self, timers):
        """Two nodes that receive each other's reports."""
        nodes = []
        for name in ("n1", "n2"):
            view = NodeView(make_settings(name), timers, random.Random(1))
            view.peers["other"] = "127.0.0.1:1"
            other = 1 - len(nodes)
            node = EndpointLimits(
                view,
                timers,
                DecisionLog(name, timers.wall),
                lambda frame, other=other: nodes[other].receive(decode(frame)),
            )
            node.view = view
            nodes.append(node)
        return nodes

    def in_force(self, node, timers):
        """Returns the limits that a node keeps to."""
        return dict(node.view.endpoint_rates.in_force(timers.now()))

    def test_other_nodes_keep_to_the_limit(self, timers, nodes):
        nodes[0].on_response(ENDPOINT, "2.5", has_run=True)
        timers.advance(REPORT_TIME_S)
        assert self.in_force(nodes[1], timers) == {"e-1": 2.5}

    def test_the_end_of_the_limit_is_told(self, timers, nodes):
        nodes[0].on_response(ENDPOINT, "2.5", has_run=True)
        timers.advance(1.0)
        nodes[1].on_response(ENDPOINT, None, has_run=True)
        timers.advance(REPORT_TIME_S)
        assert self.in_force(nodes[0], timers) == {}

    def test_a_node_that_starts_is_told(self, timers, nodes):
        nodes[0].on_response(ENDPOINT, "2.5", has_run=True)
        timers.advance(1.0)
        nodes[1].view.endpoint_rates.forget("e-1")
        timers.advance(2.5)
        assert self.in_force(nodes[1], timers) == {"e-1": 2.5}

    def test_a_refusal_without_a_limit_does_not_end_it(self, timers, nodes):
        nodes[0].on_response(ENDPOINT, "2.5", has_run=True)
        timers.advance(1.0)
        nodes[0].on_response(ENDPOINT, None, has_run=False)
        assert self.in_force(nodes[0], timers) == {"e-1": 2.5}

    @pytest.mark.parametrize("text", ["", "x", "-1", "nan", "inf", "1e999"])
    def test_an_invalid_limit_changes_nothing(self, timers, nodes, text):
        nodes[0].on_response(ENDPOINT, "2.5", has_run=True)
        timers.advance(1.0)
        nodes[0].on_response(ENDPOINT, text, has_run=True)
        assert self.in_force(nodes[0], timers) == {"e-1": 2.5}


class TestForwarding:
    """Guards against an endpoint that gets more than it said it takes."""

    LIMIT_PER_S = 0.5
    # What the operators allow in a few seconds.
    MOST = 8

    def make_script(self, limit):
        """Returns a script that answers and states a limit."""

        async def script(exchange):
            headers = echo_headers(exchange)
            if limit is not None:
                headers[NAMES.rate_limit] = str(limit)
            await exchange.answer(200, headers, b"done")

        return script

    async def call(self, rig, count):
        """Sends requests one after the other and returns the statuses."""
        statuses = []
        for number in range(count):
            async with rig.call(request_id=f"q-{number}") as answer:
                statuses.append(answer.status)
        return statuses

    async def test_the_rest_goes_to_other_endpoints(self):
        async with GatewayRig(make_configuration(make_route())) as rig:
            limited = await rig.add_endpoint(
                self.make_script(self.LIMIT_PER_S), "e-1"
            )
            other = await rig.add_endpoint(self.make_script(None), "e-2")
            assert await self.call(rig, 60) == [200] * 60
            assert 1 <= len(limited.requests) <= self.MOST
            assert len(other.requests) >= 60 - self.MOST

    async def test_without_another_endpoint_the_caller_is_told_when(self):
        async with GatewayRig(make_configuration(make_route())) as rig:
            limited = await rig.add_endpoint(self.make_script(self.LIMIT_PER_S))
            statuses = await self.call(rig, 30)
            assert statuses[0] == 200
            assert set(statuses[self.MOST :]) == {503}
            assert len(limited.requests) <= self.MOST
            async with rig.call(request_id="q-99") as answer:
                problem = await answer.json(content_type=None)
                assert 0.5 <= float(answer.headers["Retry-After"]) <= 6.5
            assert problem["code"] == "endpoints_limited"
            assert problem["not_run"] is True

    async def test_a_limit_that_is_no_longer_stated_ends(self):
        async with GatewayRig(make_configuration(make_route())) as rig:
            endpoint = await rig.add_endpoint(self.make_script(0.5))
            await self.call(rig, 1)
            rig.endpoint_limits.on_response(
                rig.view.directory.get("e-1"), None, has_run=True
            )
            endpoint.script = self.make_script(None)
            assert await self.call(rig, 20) == [200] * 20
