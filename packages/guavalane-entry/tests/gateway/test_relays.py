"""Tests of changes that come from a relay, with faults of relay and API."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from guavalane_core.exceptions import ObjectApiUnavailableError
from guavalane_core.messages import WorkReport, decode
from guavalane_core.objects import ObjectBatch, ObjectEvent, StoredObject
from guavalane_core.placement import WorkTable
from guavalane_core.placement.work import Load
from guavalane_core.timers import LoopTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.listener import StatusListener
from guavalane_entry.gateway.settings import Address
from guavalane_entry.gateway.work_reports import VALID_S, WorkReports
from guavalane_entry.relays import server
from guavalane_entry.relays.choice import (
    MIN_FLEET_SIZE,
    RELAY_COUNT,
    choose_relays,
)
from guavalane_entry.relays.link import RelayLink
from guavalane_entry.relays.object_api import RelayedObjectApi
from guavalane_entry.relays.server import HEARTBEAT_S, PATH, RelayServer
from guavalane_standins.processes import free_port

KIND = "servers"
# Shortest bound of the operators on a change in a large fleet, in seconds.
APPLY_S = 3.0
FLEET = [f"n{number}" for number in range(MIN_FLEET_SIZE)]
RELAY = choose_relays(FLEET)[0]
FOLLOWER = next(name for name in FLEET if name not in choose_relays(FLEET))


async def wait_until(condition, timeout_s):
    """Waits until a function returns something true."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s, "timed out"
        await asyncio.sleep(0.01)


class Store:
    """Object API of one kind that counts the calls of each caller."""

    def __init__(self):
        self.revision = 10
        self.events = []
        self.calls = {}
        self.down_for = set()
        self.silent_for = set()
        self._changed = asyncio.Event()

    def put(self, name, *, deleted=False):
        """Writes or removes an object."""
        self.revision += 1
        stored = StoredObject(KIND, name, str(self.revision), {"n": name})
        self.events.append((self.revision, ObjectEvent(stored, deleted)))
        self.wake()

    def wake(self):
        """Wakes all waits."""
        self._changed.set()
        self._changed = asyncio.Event()

    def caller(self, name):
        """Returns the API as one node sees it."""
        return _Caller(self, name)

    async def poll(self, caller, version, wait_s):
        """Answers one wait."""
        self.calls[caller] = self.calls.get(caller, 0) + 1
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while True:
            if caller in self.down_for:
                raise ObjectApiUnavailableError("down")
            found = [e for r, e in self.events if r > int(version)]
            silent = caller in self.silent_for
            if not silent and (found or loop.time() >= end_s):
                return ObjectBatch(tuple(found), str(self.revision))
            try:
                async with asyncio.timeout(max(0.01, end_s - loop.time())):
                    await self._changed.wait()
            except TimeoutError:
                continue


class _Caller:
    def __init__(self, store, name):
        self._store = store
        self._name = name

    async def list(self, kind):
        return [], str(self._store.revision)

    async def poll(self, kind, version, wait_s):
        return await self._store.poll(self._name, version, wait_s)


class Node:
    """One node with its watch.

    Args:
      name: Name.
      store: Object API.
      fleet: Addresses of all live nodes by name.
    """

    def __init__(self, name, store, fleet):
        timers = LoopTimers()
        self.name = name
        self.seen = []
        self.address = Address("127.0.0.1", free_port())
        self.work = WorkTable()
        self.work_reports = WorkReports(
            name,
            1,
            self.work,
            lambda: self.link.other_relays(),
            self.send_work,
            timers,
        )
        self.server = RelayServer(timers, self.work_reports.sum)
        self.link = RelayLink(
            name,
            lambda: [peer for peer in fleet if peer != name],
            fleet.get,
            self.work_reports.take_sum,
            timers,
            DecisionLog(name, timers.wall),
            random.Random(1),
        )
        self.api = RelayedObjectApi(
            store.caller(name), self.link, self.server, (KIND,), timers
        )
        self._listener = StatusListener(
            self.address, {}, {PATH: self.server.serve}
        )
        self._heartbeat = timers.call_every(
            HEARTBEAT_S, self.server.send_heartbeat
        )
        self._task = None

    def send_work(self, relay, frame):
        """Sends a frame to one of the nodes of the test."""
        if relay in NODES:
            NODES[relay].work_reports.receive(decode(frame))

    async def start(self):
        """Starts to serve, and to follow the kind."""
        await self._listener.start()
        self.link.start()
        self._task = asyncio.create_task(self._watch())

    async def stop(self):
        """Stops all tasks."""
        self._heartbeat.cancel()
        self._task.cancel()
        await self.link.stop()
        await self._listener.stop()

    def freeze(self):
        """Lets the node neither read nor tell anything more."""
        self._heartbeat.cancel()
        self._task.cancel()

    async def _watch(self):
        _, version = await self.api.list(KIND)
        while True:
            try:
                batch = await self.api.poll(KIND, version, 25.0)
            except ObjectApiUnavailableError:
                await asyncio.sleep(0.05)
                continue
            self.seen += [event.object.name for event in batch.events]
            version = batch.version

    async def wait_for(self, name, timeout_s):
        """Waits until the node has seen a change."""
        await wait_until(lambda: name in self.seen, timeout_s)


# Nodes of the running test by name.
NODES = {}


@pytest.fixture
async def pair():
    """Yields the object API, a relay and a node that follows it."""
    store = Store()
    fleet = dict.fromkeys(FLEET)
    nodes = [Node(name, store, fleet) for name in (RELAY, FOLLOWER)]
    NODES.clear()
    NODES.update((node.name, node) for node in nodes)
    for node in nodes:
        fleet[node.name] = str(node.address)
        await node.start()
    relay, follower = nodes
    # A change ends the waits from before the fleet was known.
    await wait_until(lambda: follower.link.relay == RELAY, 5.0)
    store.put("first")
    for node in nodes:
        await node.wait_for("first", 2.0)
    await asyncio.sleep(0.2)
    yield store, relay, follower
    for node in nodes:
        await node.stop()


class TestChooseRelays:
    """Guards against nodes that disagree about the relays."""

    def test_a_small_fleet_has_none(self):
        assert choose_relays(FLEET[1:]) == []

    def test_all_nodes_choose_the_same(self):
        shuffled = random.Random(1).sample(FLEET, len(FLEET))
        assert choose_relays(shuffled) == choose_relays(FLEET)
        assert len(set(choose_relays(FLEET))) == RELAY_COUNT

    def test_a_lost_relay_changes_one_place(self):
        chosen = choose_relays([*FLEET, "spare"])
        without = [n for n in (*FLEET, "spare") if n != chosen[0]]
        assert choose_relays(without)[: RELAY_COUNT - 1] == chosen[1:]


class TestRelayedWork:
    """Guards against requests that are placed by old or doubled loads."""

    async def tell(self, *nodes):
        """Lets nodes tell their work, and the relay its sum."""
        for node in nodes:
            node.work_reports.send()
        await asyncio.sleep(3 * HEARTBEAT_S)

    async def test_a_follower_knows_the_work_of_all(self, pair):
        _, relay, follower = pair
        mine = follower.work.start("e-1", 500)
        relay.work.start("e-1", 100)
        relay.work.start("e-2")
        now_s = LoopTimers().now
        await self.tell(follower)
        assert follower.work.total("e-1", now_s()) == Load(2, 600)
        assert follower.work.total("e-2", now_s()) == Load(1)
        assert relay.work.total("e-1", now_s()) == Load(2, 600)
        # What this node has begun or ended since counts at once.
        follower.work.start("e-2")
        follower.work.finish(mine)
        assert follower.work.total("e-2", now_s()) == Load(2)
        assert follower.work.total("e-1", now_s()) == Load(1, 100)

    async def test_without_a_relay_the_reports_count_again(self, pair):
        _, relay, follower = pair
        relay.work.start("e-1")
        await self.tell(follower)
        now_s = LoopTimers().now
        follower.work.report(RELAY, {"e-1": Load(5)}, now_s() + 60)
        assert follower.work.total("e-1", now_s()) == Load(1)
        relay.freeze()
        await asyncio.sleep(VALID_S + 0.1)
        assert follower.work.total("e-1", now_s()) == Load(5)

    async def test_an_older_report_changes_nothing(self, pair):
        _, relay, follower = pair
        old = WorkReport(node=FOLLOWER, incarnation=1, sequence=1, work=())
        follower.work.start("e-1")
        follower.work_reports.send()
        follower.work_reports.send()
        relay.work_reports.receive(old)
        assert relay.work.total("e-1", LoopTimers().now()) == Load(1)


class TestRelayedChanges:
    """Guards against changes that come late, twice or not at all."""

    async def test_changes_cost_the_follower_no_call(self, pair):
        store, relay, follower = pair
        before = store.calls[FOLLOWER]
        for number in range(20):
            store.put(f"c{number}")
            await follower.wait_for(f"c{number}", 1.0)
        assert store.calls[FOLLOWER] == before
        expected = ["first", *(f"c{number}" for number in range(20))]
        assert follower.seen == expected
        assert relay.seen == expected

    async def test_a_relay_that_the_api_refuses_is_left_at_once(self, pair):
        store, _, follower = pair
        store.down_for.add(RELAY)
        store.wake()
        await asyncio.sleep(0.2)
        store.put("later")
        await follower.wait_for("later", 0.5)

    async def test_a_relay_that_is_cut_off_is_left_in_time(self, pair):
        store, _, follower = pair
        store.silent_for.add(RELAY)
        store.put("later")
        await follower.wait_for("later", APPLY_S)

    async def test_a_relay_that_stands_still_is_left_in_time(self, pair):
        store, relay, follower = pair
        relay.freeze()
        store.put("later")
        await follower.wait_for("later", APPLY_S)

    async def test_a_relay_that_ends_is_left_in_time(self, pair):
        store, relay, follower = pair
        await relay.stop()
        store.put("later")
        await follower.wait_for("later", APPLY_S)
        assert follower.link.relay is None

    async def test_changes_that_the_relay_has_not_told_are_read(self, pair):
        store, relay, follower = pair
        # The relay has listed again, so it does not tell what was before.
        relay.freeze()
        store.put("missed")
        await relay.api.list(KIND)
        await follower.wait_for("missed", APPLY_S)

    async def test_no_change_is_seen_twice_by_a_follower_at_rest(self, pair):
        store, _, follower = pair
        store.put("once")
        await follower.wait_for("once", 1.0)
        await asyncio.sleep(3 * HEARTBEAT_S)
        assert follower.seen.count("once") == 1

    async def test_a_follower_that_reads_nothing_does_not_block(
        self, pair, monkeypatch
    ):
        store, relay, follower = pair
        monkeypatch.setattr(server, "MAX_UNSENT_BYTES", -1)
        store.put("later")
        await relay.wait_for("later", 1.0)
        assert relay.server.followers == 0
        await follower.wait_for("later", APPLY_S)
