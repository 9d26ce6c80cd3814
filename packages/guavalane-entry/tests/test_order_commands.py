"""Tests of order commands and of the order runner, with manual timers."""

from __future__ import annotations

import asyncio

import pytest

from guavalane_core.configuration import ConfigurationState
from guavalane_core.exceptions import (
    InvalidRequestError,
    OrderFailedError,
    OrderNotSentError,
    OrderRefusedError,
    UnknownOrderError,
)
from guavalane_core.leases import LeaseHolder
from guavalane_core.membership import Member, State
from guavalane_core.objects import MemoryObjectApi
from guavalane_core.orders import DesiredState, EngineStatus
from guavalane_core.timers import ManualTimers
from guavalane_entry.orders.commands import OrderCommands, OrderRequest
from guavalane_entry.orders.issuing import (
    LEASE,
    RECONCILE_PERIOD_S,
    OrderRunner,
)

RATE = 100
MODEL_BYTES = 500
STATE = {"model": "m", "version": "v2"}


def plain_configuration():
    """Returns two model deployments, one with fleet rules, and another one."""
    route = {"kind": "model", "request_class": "interactive"}
    endpoint = {"url": "http://127.0.0.1:1", "zone": "z", "version": "v1"}
    return {
        "generation": 1,
        "deployments": {
            "d": {"versions": {"v1": {}}, "weight_store_bytes_per_s": RATE},
            "f": {"versions": {"v1": {}}},
            "s": {"versions": {"v1": {}}},
        },
        "routes": {
            "r1": {**route, "model": "a", "deployment": "d"},
            "r2": {**route, "model": "b", "deployment": "f"},
        },
        "endpoints": {
            "e1": {**endpoint, "deployment": "d"},
            "e2": {**endpoint, "deployment": "d"},
            "f1": {**endpoint, "deployment": "f"},
            "s1": {**endpoint, "deployment": "s"},
        },
        "fleets": {
            "f": {
                "model_bytes": MODEL_BYTES,
                "weight_store_bytes_per_s": RATE,
                "classes": {},
                "prices": [],
            }
        },
    }


class Engines:
    """In-memory engines that ignore fencing numbers."""

    def __init__(self):
        self.states = {}
        self.applied = []
        self.silent = set()

    async def read(self, endpoint):
        if endpoint in self.silent:
            raise OrderFailedError("no answer")
        return EngineStatus(
            self.states.get(endpoint, DesiredState("m", "v1")), False, 0
        )

    async def apply(self, endpoint, desired, fencing_number):
        self.applied.append((endpoint, fencing_number))
        self.states[endpoint] = desired


class Node:
    """Order runner and commands of one node."""

    def __init__(self, name, system):
        self.lease = LeaseHolder(system.api, system.timers, LEASE, name, 1)
        self.runner = OrderRunner(
            name,
            system.state,
            system.api,
            self.lease,
            system.engines,
            system.timers,
            lambda: system.members,
            lambda node, _: node not in system.dead,
        )
        self.commands = OrderCommands(self.runner, system.state, system.api)

    async def order(self, endpoint, **fields):
        request = OrderRequest.from_plain({"endpoint": endpoint, **fields})
        return await self.commands.order(request)


class System:
    """Two nodes that share an object API and engines."""

    def __init__(self):
        self.api, self.timers = MemoryObjectApi(), ManualTimers()
        self.state, self.engines = ConfigurationState(), Engines()
        self.state.offer(plain_configuration(), "test")
        self.dead = set()
        self.members = [
            Member(f"n{i}", 1, "", "z", State.ALIVE) for i in range(5)
        ]
        self.nodes = [Node(f"n{i}", self) for i in range(2)]


async def run_ready():
    """Runs all tasks that are ready."""
    for _ in range(20):
        await asyncio.sleep(0)


@pytest.fixture
async def system():
    """Returns two nodes, the first of which holds the lease."""
    system = System()
    assert await system.nodes[0].lease.acquire()
    yield system
    for node in system.nodes:
        await node.runner.stop()


class TestOrderCommands:
    """Guards against invalid or incomplete orders and wrong reports."""

    async def test_what_is_not_stated_stays(self, system):
        first, second = system.nodes
        with pytest.raises(OrderRefusedError, match="model and version"):
            await second.order("e1", role="decode", load_bytes=0)
        with pytest.raises(OrderRefusedError, match="how many bytes"):
            await second.order("e1", **STATE)
        answer = await second.order("e1", **STATE, load_bytes=7, adapters=["x"])
        assert answer["state"] == "accepted"
        await first.runner.tick()
        answer = await second.order("e1", role="decode", who="anna")
        assert answer["order"] == {**STATE, "role": "decode", "adapters": ["x"]}
        assert (answer["load_bytes"], answer["by"]) == (7, "anna")
        with pytest.raises(OrderRefusedError, match="how many bytes"):
            await second.order("e1", adapters=[])

    async def test_size_and_rate_come_from_the_fleet_rules(self, system):
        answer = await system.nodes[1].order("f1", **STATE)
        assert answer["load_bytes"] == MODEL_BYTES
        plain = plain_configuration()
        del plain["fleets"]
        system.state.offer({**plain, "generation": 2}, "test")
        with pytest.raises(OrderRefusedError, match="weight_store"):
            await system.nodes[1].order("f1", version="v3", load_bytes=1)

    @pytest.mark.parametrize("endpoint", ["nobody", "s1"])
    async def test_other_endpoints_are_refused(self, system, endpoint):
        with pytest.raises(OrderRefusedError):
            await system.nodes[0].order(endpoint, **STATE, load_bytes=0)
        with pytest.raises(UnknownOrderError):
            await system.nodes[0].commands.get(endpoint)

    @pytest.mark.parametrize(
        "body",
        [
            [],
            {},
            {"endpoint": 1},
            {"endpoint": "e1", "role": "boss"},
            {"endpoint": "e1", "load_bytes": -1},
            {"endpoint": "e1", "load_bytes": True},
            {"endpoint": "e1", "adapters": "x"},
            {"endpoint": "e1", "size": 1},
        ],
    )
    async def test_malformed_orders_are_refused(self, body):
        with pytest.raises(InvalidRequestError):
            OrderRequest.from_plain(body)

    async def test_report_tells_the_states_apart(self, system):
        first, second = system.nodes
        for name in ("e1", "e2", "f1"):
            await first.order(name, **STATE, load_bytes=RATE)
        await first.runner.tick()
        system.engines.silent.add("f1")
        rows = {r["endpoint"]: r for r in await second.commands.list()}
        assert {name: row["state"] for name, row in rows.items()} == {
            "e1": "in_force",
            "e2": "waiting",
            "f1": "unreachable",
        }
        plain = plain_configuration()
        del plain["endpoints"]["e1"]
        system.state.offer({**plain, "generation": 2}, "test")
        report = await second.commands.get("e1")
        assert (report["state"], report["reported"]) == ("not_configured", None)

    async def test_outage_sends_nothing(self, system):
        system.api.set_down(True)
        for node in system.nodes:
            with pytest.raises(OrderNotSentError):
                await node.order("e1", **STATE, load_bytes=0)
        assert system.engines.applied == []


class TestOrderRunner:
    """Guards against a sender that acts without its lease or too late."""

    async def test_lapsed_lease_sends_nothing(self, system):
        first, second = system.nodes
        await first.order("e1", **STATE, load_bytes=0)
        assert not await second.lease.acquire()
        system.timers.advance(9.0)
        await first.runner.tick()
        assert system.engines.applied == []
        assert await second.lease.acquire()
        await second.runner.tick()
        assert system.engines.applied == [("e1", 2)]

    async def test_watch_brings_an_order_of_another_node(self, system):
        first, second = system.nodes
        await first.runner.tick()
        await run_ready()
        await first.runner.tick()
        system.timers.advance(1.0)
        await second.order("e1", **STATE, load_bytes=0)
        await run_ready()
        await first.runner.tick()
        assert system.engines.applied == [("e1", 1)]

    async def test_late_order_is_repaired_in_the_next_round(self, system):
        first = system.nodes[0]
        await first.order("e1", **STATE, load_bytes=0)
        await first.runner.tick()
        system.engines.states["e1"] = DesiredState("m", "v1")
        for _ in range(int(RECONCILE_PERIOD_S)):
            system.timers.advance(1.0)
            await first.lease.renew()
            await first.runner.tick()
        assert system.engines.applied == [("e1", 1)] * 2
        assert first.runner.dump()["not_in_force"] == []

    async def test_sender_is_named_by_every_node(self, system):
        first, second = system.nodes
        expected = {"node": "n0", "fencing_number": 1}
        assert await first.runner.find_sender() == expected
        assert await second.runner.find_sender() == expected
        system.dead.add("n0")
        assert (await second.runner.find_sender())["node"] == ""
        system.api.set_down(True)
        assert (await second.runner.find_sender())["node"] == "unknown"

    async def test_three_nodes_are_candidates_for_model_engines(self, system):
        nodes = [Node(member.name, system) for member in system.members]
        assert sum(n.runner.dump()["candidate"] for n in nodes) == 3
        plain = {**plain_configuration(), "routes": {}, "generation": 2}
        system.state.offer(plain, "test")
        assert not any(n.runner.dump()["candidate"] for n in nodes)
