"""Tests of the number of calls to the object API."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from guavalane_core.objects import ObjectBatch, ObjectEvent, StoredObject
from guavalane_core.objects.relays import RelayCandidate
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.registration import NODE_KIND
from guavalane_entry.gateway.watch import KindSink, KindWatch
from guavalane_entry.relays.link import RelayLink
from guavalane_entry.relays.object_api import RelayedObjectApi
from guavalane_entry.relays.server import RelayServer

NODES = 70
# Time within which the nodes of a fleet start, in seconds.
START_S = 4.0
# Time within which a node has to be known to the others, in seconds.
KNOWN_S = 1.0


class CountingApi:
    """Object API with one kind that counts its calls by method."""

    def __init__(self, timers):
        self.calls = Counter()
        self._timers = timers
        self._events = []
        self._polls = set()

    def create(self, name):
        """Writes an object and ends the polls."""
        self.calls["create"] += 1
        version = str(len(self._events) + 1)
        stored = StoredObject(NODE_KIND, name, version, {})
        self._events.append(ObjectEvent(stored))
        for poll in self._polls:
            poll.set()

    async def list(self, kind):
        self.calls["list"] += 1
        objects = [event.object for event in self._events]
        return objects, str(len(self._events))

    async def poll(self, kind, version, wait_s):
        self.calls["poll"] += 1
        if len(self._events) == int(version):
            changed = asyncio.Event()
            self._polls.add(changed)
            self._timers.call_later(wait_s, changed.set)
            await changed.wait()
            self._polls.discard(changed)
        events = tuple(self._events[int(version) :])
        return ObjectBatch(events, str(len(self._events)))


class NameSink(KindSink):
    """Sink that keeps the names of the objects."""

    def __init__(self):
        self.names = set()

    def replace_all(self, objects):
        self.names = {stored.name for stored in objects}

    def apply(self, event):
        self.names.add(event.object.name)


def make_watch(api, name, timers, sink):
    """Returns the watch of the nodes on a node without a relay."""
    rng = random.Random(name)
    log = DecisionLog(name, timers.wall)
    link = RelayLink(
        RelayCandidate(name),
        list,
        lambda _: None,
        lambda _: None,
        timers,
        log,
        rng,
    )
    server = RelayServer(timers, tuple)
    relayed = RelayedObjectApi(api, link, server, {}, timers, (NODE_KIND,))
    return KindWatch(relayed, NODE_KIND, sink, timers, log, rng)


class TestRegistrations:
    """Guards against a call of every node for the entry of every other one."""

    @pytest.fixture
    async def fleet(self):
        timers = ManualTimers()
        api = CountingApi(timers)
        sinks = [NameSink() for _ in range(NODES)]
        watches = [
            make_watch(api, f"n{number}", timers, sink)
            for number, sink in enumerate(sinks)
        ]
        for watch in watches:
            watch.start()
        await timers.run_for(0.1)
        yield timers, api, sinks
        for watch in watches:
            await watch.stop()

    async def test_simultaneous_start(self, fleet):
        timers, api, sinks = fleet
        for number in range(NODES):
            api.create(f"n{number}")
            await timers.run_for(START_S / NODES)
        await timers.run_for(KNOWN_S)
        assert all(len(sink.names) == NODES for sink in sinks)
        # A change is read within half of that time.
        polls_of_node = (START_S + KNOWN_S) / (KNOWN_S / 2) + 2
        assert api.calls["poll"] <= NODES * polls_of_node

    async def test_single_start_is_known_at_once(self, fleet):
        timers, api, sinks = fleet
        for name in ("first", "second"):
            await timers.run_for(KNOWN_S)
            api.create(name)
            await timers.run_for(0.05)
            assert all(name in sink.names for sink in sinks)
