"""Tests of a node's copies of objects, with and without the object API."""

from __future__ import annotations

import asyncio
import functools
import random

import pytest

from guavalane_core.exceptions import (
    ObjectApiUnavailableError,
    WatchGapError,
)
from guavalane_core.objects import ObjectBatch, ObjectEvent, StoredObject
from guavalane_core.timers import LoopTimers, ManualTimers
from guavalane_entry.gateway.availability import ApiAvailability
from guavalane_entry.gateway.copies import (
    PATH,
    CopyReader,
    decode_copy,
    encode_copy,
)
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.listener import StatusListener
from guavalane_entry.gateway.settings import Address
from guavalane_entry.gateway.watch import (
    MAX_PROBE_BACKOFF_S,
    KindSink,
    KindWatch,
)
from guavalane_standins.processes import free_port


class FakeApi:
    """Object API with one kind and a switch for each fault."""

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.lists = 0
        self.error = None
        self.wait_error = None
        self.drop_events = False
        self._changed = asyncio.Event()

    def put(self, name, body):
        """Writes an object and wakes the waits."""
        self.revision += 1
        self.objects[name] = StoredObject(
            "things", name, str(self.revision), body
        )
        self.wake()

    def fail(self, error):
        """Lets calls under way and all later ones fail."""
        self.error = error
        self.wake()

    def wake(self):
        """Wakes the waits."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def list(self, kind):
        self.lists += 1
        if self.error is not None:
            raise self.error
        return list(self.objects.values()), str(self.revision)

    async def poll(self, kind, version, wait_s):
        while True:
            if self.error is not None:
                raise self.error
            if self.wait_error is not None:
                error, self.wait_error = self.wait_error, None
                raise error
            events = tuple(
                ObjectEvent(stored)
                for stored in self.objects.values()
                if int(stored.version) > int(version)
            )
            if events and not self.drop_events:
                return ObjectBatch(events, str(self.revision))
            await self._changed.wait()


class RecordingSink(KindSink):
    """Keeps what it was told."""

    def __init__(self):
        self.bodies = {}
        self.calls = []

    def replace_all(self, objects):
        self.bodies = {stored.name: stored.body for stored in objects}

    def merge(self, objects):
        self.calls.append("merge")
        self.replace_all(objects)

    def apply(self, event):
        self.bodies[event.object.name] = event.object.body

    def on_api_lost(self):
        self.calls.append("lose")

    def on_api_recovered(self):
        self.calls.append("regain")


def make_watch(api, timers=None):
    """Returns a watch and its sink."""
    timers = timers or LoopTimers()
    log = DecisionLog("n1", timers.wall)
    sink = RecordingSink()
    watch = KindWatch(api, "things", sink, timers, log, random.Random(1))
    return watch, sink


async def run_ready_tasks():
    """Lets all tasks run that can."""
    for _ in range(20):
        await asyncio.sleep(0)


class TestKindWatch:
    """Guards against changes that a node never hears of."""

    async def test_a_change_is_taken(self):
        api = FakeApi()
        api.put("a", {"n": 1})
        watch, sink = make_watch(api)
        watch.start()
        await run_ready_tasks()
        api.put("b", {"n": 2})
        await run_ready_tasks()
        assert sink.bodies == {"a": {"n": 1}, "b": {"n": 2}}
        assert api.lists == 1
        await watch.stop()

    async def test_a_cut_wait_is_followed_by_a_list(self):
        api = FakeApi()
        timers = ManualTimers()
        watch, sink = make_watch(api, timers)
        watch.start()
        await run_ready_tasks()
        # The change is made unheard, and later waits do not tell it either.
        api.drop_events = True
        api.put("a", {"n": 1})
        api.fail(ObjectApiUnavailableError("cut"))
        await run_ready_tasks()
        assert watch.lost
        api.error = None
        timers.advance(1.0)
        await run_ready_tasks()
        assert sink.bodies == {"a": {"n": 1}}
        assert sink.calls == ["lose", "regain"]
        await watch.stop()

    async def test_a_gap_is_followed_by_a_list(self):
        api = FakeApi()
        watch, sink = make_watch(api)
        watch.start()
        await run_ready_tasks()
        api.drop_events = True
        api.put("a", {"n": 1})
        api.wait_error = WatchGapError("old")
        api.wake()
        await run_ready_tasks()
        assert sink.bodies == {"a": {"n": 1}}
        await watch.stop()

    async def test_calls_back_off_while_the_api_is_away(self):
        api = FakeApi()
        timers = ManualTimers()
        api.error = ObjectApiUnavailableError("down")
        watch, _ = make_watch(api, timers)
        watch.start()
        for _ in range(100):
            await run_ready_tasks()
            timers.advance(0.1)
        assert 8 <= api.lists <= 30
        await watch.stop()


class CutApi:
    """Object API behind a link that may be cut; a call then hangs."""

    CALL_S = 0.6

    def __init__(self, timers):
        self.timers = timers
        self.is_cut = False
        self.slow_kinds = {}
        self.calls = 0

    async def list(self, kind):
        """Returns an empty list, or fails after the time of a call."""
        self.calls += 1
        if self.is_cut:
            await self.timers.sleep(self.CALL_S)
            raise ObjectApiUnavailableError("cut")
        await self.timers.sleep(self.slow_kinds.get(kind, 0.001))
        return [], "1"

    async def poll(self, kind, version, wait_s):
        """Waits; it fails when the link is cut."""
        for _ in range(int(wait_s / 0.05)):
            await self.timers.sleep(0.05)
            if self.is_cut:
                raise ObjectApiUnavailableError("cut")
        return ObjectBatch((), version)


class TestCommonReturn:
    """Guards against kinds that find out late that an outage has ended.

    In a day of the bench one kind was read 1.6 s after another, and a node
    used an endpoint for longer than the bound after the store had told that
    it was gone.
    """

    KINDS = ("config", "nodes", "rollouts", "servers")

    def make(self, seed):
        """Returns timers, an API and watches of all kinds."""
        timers = ManualTimers()
        api = CutApi(timers)
        log = DecisionLog("n1", timers.wall)
        rng = random.Random(seed)
        availability = ApiAvailability()
        watches = [
            KindWatch(
                api, kind, RecordingSink(), timers, log, rng, availability
            )
            for kind in self.KINDS
        ]
        for watch in watches:
            watch.start()
        return timers, api, watches

    @pytest.mark.parametrize("seed", range(12))
    async def test_all_kinds_are_read_soon_after_a_cut(self, seed):
        timers, api, watches = self.make(seed)
        await timers.run_for(1.0)
        api.is_cut = True
        await timers.run_for(10.0 + seed * 0.13)
        assert all(watch.lost for watch in watches)
        api.is_cut = False
        # The longest call under way and the longest delay of a probe.
        await timers.run_for(CutApi.CALL_S + 1.5 * MAX_PROBE_BACKOFF_S + 0.05)
        assert not any(watch.lost for watch in watches)
        for watch in watches:
            await watch.stop()

    async def test_the_first_kind_that_returns_takes_the_others_along(self):
        timers, api, watches = self.make(1)
        await timers.run_for(1.0)
        api.is_cut = True
        await timers.run_for(10.0)
        api.is_cut = False
        while all(watch.lost for watch in watches):
            await timers.run_for(0.01)
        await timers.run_for(0.05)
        assert not any(watch.lost for watch in watches)
        for watch in watches:
            await watch.stop()

    async def test_a_slow_kind_is_not_begun_again_at_each_answer(self):
        timers, api, watches = self.make(1)
        await timers.run_for(1.0)
        api.slow_kinds["servers"] = 1.2
        api.is_cut = True
        await timers.run_for(5.0)
        api.is_cut = False
        await timers.run_for(1.5)
        for _ in range(6):
            # Another kind fails and is answered again, over and over.
            watches[0]._lost_since_s = timers.now()
            watches[0]._availability.mark_failing("config")
            watches[0]._on_response()
            await timers.run_for(0.2)
        assert not watches[3].lost
        for watch in watches:
            await watch.stop()

    async def test_an_outage_costs_few_calls(self):
        timers, api, watches = self.make(1)
        await timers.run_for(1.0)
        api.is_cut = True
        await timers.run_for(1.0)
        calls = api.calls
        await timers.run_for(20.0)
        # One kind is tried each 1.0 s, the other three each 1.4 s.
        assert api.calls - calls <= 20 / 0.75 + 3 * 20 / 1.0
        for watch in watches:
            await watch.stop()


class FakeReports:
    """Reports of one other node at a known address."""

    def __init__(self, address):
        self._address = address
        self.version = 0

    def live_peers(self):
        return ["n2"]

    def address_of(self, node):
        return self._address

    def newest_configuration(self):
        return self.version, "n2"


class TestCopyReader:
    """Guards against a node that stays behind while others are served."""

    @pytest.fixture
    async def nodes(self):
        """Two watches; the first one's copy is offered over HTTP."""
        served, refused = FakeApi(), FakeApi()
        served.put("a", {"n": 1})
        refused.put("a", {"n": 1})
        first, _ = make_watch(served)
        second, sink = make_watch(refused)
        address = Address("127.0.0.1", free_port())
        listener = StatusListener(
            address,
            {PATH + "configuration": functools.partial(encode_copy, first)},
        )
        await listener.start()
        timers = LoopTimers()
        reports = FakeReports(str(address))
        reader = CopyReader(
            {"configuration": second},
            reports,
            lambda: sink.bodies["a"]["n"] if sink.bodies else 0,
            timers,
            DecisionLog("n2", timers.wall),
            random.Random(1),
        )
        first.start()
        second.start()
        reader.start()
        await asyncio.sleep(0.05)
        yield served, refused, sink, reports
        await reader.stop()
        await first.stop()
        await second.stop()
        await listener.stop()

    async def test_a_node_that_is_refused_reads_from_another(self, nodes):
        served, refused, sink, _ = nodes
        refused.fail(ObjectApiUnavailableError("refused"))
        served.put("a", {"n": 2})
        await asyncio.sleep(1.8)
        assert sink.bodies == {"a": {"n": 2}}

    async def test_a_newer_version_at_another_node_is_read(self, nodes):
        served, _, sink, reports = nodes
        # The own wait has gone silent without an error.
        served.put("a", {"n": 2})
        reports.version = 2
        await asyncio.sleep(1.2)
        assert sink.bodies == {"a": {"n": 2}}

    async def test_a_node_that_is_lost_itself_offers_no_copy(self, nodes):
        served, refused, sink, _ = nodes
        served.fail(ObjectApiUnavailableError("down"))
        refused.fail(ObjectApiUnavailableError("down"))
        await asyncio.sleep(1.8)
        assert sink.bodies == {"a": {"n": 1}}
        assert "merge" not in sink.calls

    def test_bytes_that_are_no_copy(self):
        for data in (b"", b"\x00", b"\x81\x01", b"\xff"):
            with pytest.raises(ValueError):
                decode_copy("things", data)
