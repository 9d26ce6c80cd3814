"""Tests of the load and speed of endpoints on a node."""

from __future__ import annotations

import random

import attrs
import pytest

from guavalane_core.objects.relays import RelayCandidate
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_route,
)
from guavalane_standins.gateway_rig import (
    NAMES,
    GatewayRig,
    echo_headers,
    make_settings,
)


class TestResponses:
    """Guards against headers that are not read, or that break a request."""

    def make_script(self, value):
        """Returns a script that answers with a value of the header."""

        async def script(exchange):
            headers = {**echo_headers(exchange), NAMES.load: value}
            await exchange.answer(200, headers, b"done")

        return script

    async def test_a_slow_endpoint_gets_fewer_requests(self):
        async with GatewayRig(make_configuration(make_route())) as rig:
            slow = await rig.add_endpoint(self.make_script("1,0,4,900"), "e-1")
            fast = await rig.add_endpoint(self.make_script("1,0,4,100"), "e-2")
            for number in range(30):
                async with rig.call(request_id=f"q-{number}") as answer:
                    assert answer.status == 200
            assert len(slow.requests) <= 3
            assert len(fast.requests) >= 27

    @pytest.mark.parametrize("value", ["", "x,y,z", "1,0,0,5", "-1,0,4,100"])
    async def test_an_odd_value_changes_nothing(self, value):
        async with GatewayRig(make_configuration(make_route())) as rig:
            await rig.add_endpoint(self.make_script(value), "e-1")
            for number in range(3):
                async with rig.call(request_id=f"q-{number}") as answer:
                    assert answer.status == 200
            now_s = rig.view.timers.now()
            assert rig.view.server_loads.known(now_s) == {}
            assert rig.view.server_loads.requests("e-1", 0, now_s) is None


class TestConnectionShare:
    """Guards against more connections than an endpoint takes."""

    def make_view(self, own, *others):
        """Returns the view of a node among others with the given cores."""
        view = NodeView(
            attrs.evolve(make_settings(), cores=own),
            ManualTimers(),
            random.Random(1),
        )
        for index, cores in enumerate(others):
            name = f"p{index}"
            view.peers[name] = "127.0.0.1:1"
            view.relay_candidates[name] = RelayCandidate(name, cores=cores)
        return view

    def test_it_is_proportional_to_the_cores(self):
        cores = (0.5, 1.0, 2.5)
        shares = [
            self.make_view(
                own, *(c for c in cores if c != own)
            ).connection_share()
            for own in cores
        ]
        assert shares == pytest.approx([0.125, 0.25, 0.625])

    def test_unknown_cores_count_as_the_mean(self):
        view = self.make_view(1.0, 3.0, 0.0, 0.0)
        assert view.connection_share() == pytest.approx(1 / 8)

    def test_without_own_cores_all_nodes_have_the_same(self):
        view = self.make_view(0.0, 2.0, 4.0, 2.0)
        assert view.connection_share() == 0.25

    def test_nodes_that_come_and_go_are_counted(self):
        view = self.make_view(1.0, 1.0)
        assert view.connection_share() == 0.5
        view.relay_candidates.clear()
        view.peers.clear()
        view.timers.advance(1.0)
        assert view.connection_share() == 1.0
