"""Tests of node registration and of the removal of failed nodes."""

from __future__ import annotations

import asyncio
import random

import attrs
import pytest

from guavalane_core.objects import MemoryObjectApi, ObjectEvent, StoredObject
from guavalane_core.timers import LoopTimers, ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.duties import DutyContext, MoveOrders
from guavalane_entry.gateway.node_duty import REMOVAL_DELAY_S, NodeDuty
from guavalane_entry.gateway.registration import NODE_KIND, Registration
from guavalane_entry.gateway.sinks import PeerSink
from guavalane_entry.gateway.usage_duty import settle_time_s
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.gateway_rig import PLACEHOLDER_ADDRESS, make_settings

PEERS = ("n2", "n3", "n4", "n5")


def make_log():
    """Returns a decision log that nobody reads."""
    return DecisionLog("n1", ManualTimers().wall)


class FakeLease:
    """Lease that is always held."""

    def require(self):
        return 1


class TestNodeDuty:
    """Guards against failed nodes that stay listed and live ones removed."""

    @pytest.fixture
    async def environment(self):
        """Returns timers, object API, set of live nodes and the duty."""
        timers = ManualTimers()
        api = MemoryObjectApi()
        view = NodeView(make_settings(), timers, random.Random(1))
        for name in PEERS:
            body = {"address": str(PLACEHOLDER_ADDRESS)}
            await api.create(NODE_KIND, name, body)
            view.peers[name] = str(PLACEHOLDER_ADDRESS)
        live = set(PEERS)
        log = DecisionLog("n1", timers.wall)
        orders = MoveOrders({}, lambda move, phase: {})
        context = DutyContext(view, api, None, log, orders, lambda: live)
        return timers, api, live, NodeDuty(context)

    async def names(self, api):
        """Returns the names of the listed nodes."""
        objects, _ = await api.list(NODE_KIND)
        return {stored.name for stored in objects}

    async def run_duty(self, timers, duty, seconds):
        """Runs the duty every 0.5 s for the given time."""
        for _ in range(int(seconds * 2)):
            await duty.step(FakeLease())
            timers.advance(0.5)

    async def test_a_failed_node_is_removed(self, environment):
        timers, api, live, duty = environment
        live.remove("n3")
        await self.run_duty(timers, duty, REMOVAL_DELAY_S - 1)
        assert await self.names(api) == set(PEERS)
        await self.run_duty(timers, duty, 3)
        assert await self.names(api) == set(PEERS) - {"n3"}

    async def test_a_restarting_node_is_kept(self, environment):
        timers, api, live, duty = environment
        for _ in range(4):
            live.remove("n3")
            await self.run_duty(timers, duty, REMOVAL_DELAY_S - 1)
            live.add("n3")
            await self.run_duty(timers, duty, 1)
        assert await self.names(api) == set(PEERS)

    async def test_a_partitioned_holder_removes_no_nodes(self, environment):
        timers, api, live, duty = environment
        live -= {"n2", "n3", "n4"}
        await self.run_duty(timers, duty, 3 * REMOVAL_DELAY_S)
        assert await self.names(api) == set(PEERS)

    async def test_a_removal_with_a_lost_response_completes(self, environment):
        timers, api, live, duty = environment
        live.remove("n3")
        await api.delete(
            NODE_KIND, "n3", (await api.get(NODE_KIND, "n3")).version
        )
        await self.run_duty(timers, duty, REMOVAL_DELAY_S + 2)
        assert await self.names(api) == set(PEERS) - {"n3"}


class TestRegistration:
    """Guards against a live node that is not registered."""

    async def test_a_removed_entry_is_recreated(self):
        api = MemoryObjectApi()
        registration = Registration(api, make_settings(), 1, LoopTimers())
        view = NodeView(make_settings(), LoopTimers(), random.Random(1))
        sink = PeerSink(view, registration.renew, make_log())
        registration.start()
        await asyncio.sleep(0.05)
        stored = await api.get(NODE_KIND, "n1")
        await api.delete(NODE_KIND, "n1", stored.version)
        sink.apply(ObjectEvent(stored, deleted=True))
        await asyncio.sleep(0.05)
        assert (await api.get(NODE_KIND, "n1")).body == stored.body
        await registration.stop()

    async def test_a_new_address_replaces_the_old_one(self):
        api = MemoryObjectApi()
        await api.create(NODE_KIND, "n1", {"address": "127.0.0.1:1"})
        registration = Registration(api, make_settings(), 1, LoopTimers())
        registration.start()
        await asyncio.sleep(0.05)
        stored = await api.get(NODE_KIND, "n1")
        assert stored.body["address"] == str(PLACEHOLDER_ADDRESS)
        await registration.stop()

    @pytest.mark.parametrize("is_stored", [False, True])
    async def test_a_restart_finds_or_creates_its_entry(self, is_stored):
        """Guards against calls for an entry that is current already."""
        api = MemoryObjectApi()
        entry = Registration(api, make_settings(), 1, LoopTimers())
        if is_stored:
            entry.start()
            await asyncio.sleep(0.05)
            await entry.stop()
        before = attrs.evolve(api.calls)
        registration = Registration(
            api, make_settings(), 2, LoopTimers(), expects_entry=True
        )
        registration.start()
        await asyncio.sleep(0.05)
        registration.renew()
        await asyncio.sleep(0.05)
        await registration.stop()
        assert (await api.get(NODE_KIND, "n1")).body["address"]
        assert api.calls.writes - before.writes == int(not is_stored)

    def test_only_an_object_api_list_triggers_registration(self):
        calls = []
        view = NodeView(make_settings(), ManualTimers(), random.Random(1))
        sink = PeerSink(view, lambda: calls.append(1), make_log())
        other = StoredObject(NODE_KIND, "n2", "1", {"address": "127.0.0.1:1"})
        sink.merge([other])
        assert not calls
        sink.replace_all([other])
        assert calls
        assert view.peers == {"n2": "127.0.0.1:1"}

    @pytest.mark.parametrize(
        "address", [None, 7, "", "127.0.0.1", "127.0.0.1:70000", "a/b:80"]
    )
    def test_a_node_without_a_valid_address_is_ignored(self, address):
        """Guards against reports that reach no node after such an entry."""
        view = NodeView(make_settings(), ManualTimers(), random.Random(1))
        sink = PeerSink(view, lambda: None, make_log())
        odd = StoredObject(NODE_KIND, "n2", "1", {"address": address})
        sound = StoredObject(NODE_KIND, "n3", "1", {"address": "127.0.0.1:1"})
        sink.replace_all([odd, sound])
        assert view.peers == {"n3": "127.0.0.1:1"}


class TestSettleTime:
    """Guards against windows finalized before all nodes have reported."""

    def test_settle_time_scales_with_reports_and_is_bounded(self):
        assert settle_time_s(8, 10.0) == 1.0
        assert settle_time_s(80, 10.0) == 5.0
        assert settle_time_s(550, 10.0) == 5.0
