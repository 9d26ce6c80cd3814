"""Tests of object watches and of copies read from peers."""

from __future__ import annotations

import asyncio
import functools
import random

import attrs
import cbor2
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
from guavalane_entry.gateway.settings import Address
from guavalane_entry.gateway.status_listener import StatusListener
from guavalane_entry.gateway.store_era import StoreEra
from guavalane_entry.gateway.watch import (
    MAX_PROBE_BACKOFF_S,
    KindSink,
    KindWatch,
)
from guavalane_standins.processes import free_port


class FakeApi:
    """Object API with one kind and injectable faults."""

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.lists = 0
        self.error = None
        self.poll_error = None
        self.drop_events = False
        self._changed = asyncio.Event()

    def put(self, name, body):
        """Writes an object and wakes the polls."""
        self.revision += 1
        self.objects[name] = StoredObject(
            "things", name, str(self.revision), body
        )
        self.wake()

    def fail(self, error):
        """Makes pending and later calls fail."""
        self.error = error
        self.wake()

    def wake(self):
        """Wakes the polls."""
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
            if self.poll_error is not None:
                error, self.poll_error = self.poll_error, None
                raise error
            events = tuple(
                ObjectEvent(stored)
                for stored in self.objects.values()
                if int(stored.version) > int(version)
            )
            if events and not self.drop_events:
                return ObjectBatch(events, str(self.revision))
            await self._changed.wait()


class RestoredApi(FakeApi):
    """Object API with eras whose revisions are given out again."""

    def __init__(self):
        super().__init__()
        self.era = 1

    def restore(self, revision, objects):
        """Comes back from a copy."""
        self.era += 1
        self.revision = revision
        self.objects = dict(objects)

    def put(self, name, body):
        super().put(name, body)
        self.objects[name] = attrs.evolve(
            self.objects[name], version=f"{self.era}.{self.revision}"
        )

    async def list(self, kind):
        objects, version = await super().list(kind)
        return objects, f"{self.era}.{version}"

    async def poll(self, kind, version, wait_s):
        # A response that does not come: the connection is silent.
        await asyncio.Event().wait()


class RecordingSink(KindSink):
    """Sink that records objects and calls."""

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

    def on_restored(self):
        self.calls.append(f"restored after {sorted(self.bodies)}")

    def on_api_lost(self):
        self.calls.append("lose")

    def on_api_recovered(self):
        self.calls.append("regain")


def make_watch(api, timers=None, store_era=None):
    """Returns a watch and its sink."""
    timers = timers or LoopTimers()
    log = DecisionLog("n1", timers.wall)
    sink = RecordingSink()
    watch = KindWatch(
        api,
        "things",
        sink,
        timers,
        log,
        random.Random(1),
        store_era=store_era,
    )
    return watch, sink


async def run_ready_tasks():
    """Runs the event loop until tasks have made progress."""
    for _ in range(20):
        await asyncio.sleep(0)


class TestNewEra:
    """Guards against objects of a history that has ended."""

    async def test_a_waiting_watch_lists_again_when_another_kind_tells(self):
        api, store_era = RestoredApi(), StoreEra(LoopTimers())
        api.put("lost", {})
        watch, sink = make_watch(api, store_era=store_era)
        watch.start()
        await run_ready_tasks()
        assert sorted(sink.bodies) == ["lost"]
        api.restore(1, {})
        api.put("new", {})
        store_era.observe(api.era)
        await run_ready_tasks()
        assert sorted(sink.bodies) == ["new"]
        assert sink.calls == ["restored after ['lost']"]
        assert watch.era == 2
        await watch.stop()

    async def test_a_copy_of_the_new_era_does_not_hide_the_return(self):
        api = RestoredApi()
        api.put("lost", {})
        watch, sink = make_watch(api)
        watch.start()
        await run_ready_tasks()
        api.restore(1, {})
        watch.merge_copy([StoredObject("things", "a", "2.5", {})])
        assert watch.era == 2
        watch.refresh()
        await run_ready_tasks()
        assert sink.calls == ["merge", "restored after ['a']"]
        await watch.stop()

    async def test_the_first_list_is_not_taken_for_a_return(self):
        api = RestoredApi()
        api.era = 5
        watch, sink = make_watch(api)
        watch.start()
        await run_ready_tasks()
        assert sink.calls == []
        await watch.stop()


class TestKindWatch:
    """Guards against changes that a node misses."""

    async def test_a_change_is_applied(self):
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

    async def test_an_unforeseen_error_does_not_end_the_watch(self):
        """Guards against a node that follows no more changes."""
        api = FakeApi()
        watch, sink = make_watch(api)
        watch.start()
        await run_ready_tasks()
        api.fail(RecursionError("too deep"))
        await run_ready_tasks()
        api.error = None
        api.put("a", {"n": 1})
        await asyncio.sleep(0.3)
        assert sink.bodies == {"a": {"n": 1}}
        assert sink.calls == ["lose", "regain"]
        await watch.stop()

    async def test_a_failed_poll_is_followed_by_a_list(self):
        api = FakeApi()
        timers = ManualTimers()
        watch, sink = make_watch(api, timers)
        watch.start()
        await run_ready_tasks()
        # The change is not delivered by the current poll or by later ones.
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

    async def test_a_watch_gap_is_followed_by_a_list(self):
        api = FakeApi()
        watch, sink = make_watch(api)
        watch.start()
        await run_ready_tasks()
        api.drop_events = True
        api.put("a", {"n": 1})
        api.poll_error = WatchGapError("old")
        api.wake()
        await run_ready_tasks()
        assert sink.bodies == {"a": {"n": 1}}
        await watch.stop()

    async def test_a_refresh_does_not_wait_for_the_poll(self):
        """Guards against an order that a silent poll does not return."""
        api = FakeApi()
        watch, sink = make_watch(api)
        watch.start()
        await run_ready_tasks()
        api.drop_events = True
        api.put("a", {"n": 1})
        watch.refresh()
        await run_ready_tasks()
        assert sink.bodies == {"a": {"n": 1}}
        api.drop_events = False
        api.put("b", {"n": 2})
        await run_ready_tasks()
        assert sink.bodies == {"a": {"n": 1}, "b": {"n": 2}}
        await watch.stop()

    async def test_a_refresh_during_an_outage_keeps_the_backoff(self):
        api = FakeApi()
        timers = ManualTimers()
        api.error = ObjectApiUnavailableError("down")
        watch, _ = make_watch(api, timers)
        watch.start()
        await run_ready_tasks()
        lists = api.lists
        for _ in range(10):
            watch.refresh()
            await run_ready_tasks()
        assert api.lists == lists
        await watch.stop()

    async def test_calls_back_off_during_an_outage(self):
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


class PartitionedApi:
    """Object API that may be partitioned; calls then hang until a timeout."""

    CALL_S = 0.6

    def __init__(self, timers):
        self.timers = timers
        self.is_partitioned = False
        self.slow_kinds = {}
        self.calls = 0

    async def list(self, kind):
        """Returns an empty list, or fails after the call timeout."""
        self.calls += 1
        if self.is_partitioned:
            await self.timers.sleep(self.CALL_S)
            raise ObjectApiUnavailableError("cut")
        await self.timers.sleep(self.slow_kinds.get(kind, 0.001))
        return [], "1"

    async def poll(self, kind, version, wait_s):
        """Waits for changes; fails during a partition."""
        for _ in range(int(wait_s / 0.05)):
            await self.timers.sleep(0.05)
            if self.is_partitioned:
                raise ObjectApiUnavailableError("cut")
        return ObjectBatch((), version)


class TestSharedRecovery:
    """Guards against kinds that detect the end of an outage late.

    In a benchmark run one kind was read 1.6 s after another, so a node used an
    endpoint for longer than the bound after the object API reported its
    removal.
    """

    KINDS = ("config", "nodes", "rollouts", "servers")

    def start_watches(self, seed):
        """Returns timers, an API and watches of all kinds."""
        timers = ManualTimers()
        api = PartitionedApi(timers)
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
    async def test_all_kinds_recover_soon_after_an_outage(self, seed):
        timers, api, watches = self.start_watches(seed)
        await timers.run_for(1.0)
        api.is_partitioned = True
        await timers.run_for(10.0 + seed * 0.13)
        assert all(watch.lost for watch in watches)
        api.is_partitioned = False
        # The longest pending call plus the longest backoff of the probing kind.
        await timers.run_for(
            PartitionedApi.CALL_S + 1.5 * MAX_PROBE_BACKOFF_S + 0.05
        )
        assert not any(watch.lost for watch in watches)
        for watch in watches:
            await watch.stop()

    async def test_the_first_recovered_kind_wakes_the_others(self):
        timers, api, watches = self.start_watches(1)
        await timers.run_for(1.0)
        api.is_partitioned = True
        await timers.run_for(10.0)
        api.is_partitioned = False
        while all(watch.lost for watch in watches):
            await timers.run_for(0.01)
        await timers.run_for(0.05)
        assert not any(watch.lost for watch in watches)
        for watch in watches:
            await watch.stop()

    async def test_a_slow_list_is_not_restarted_on_each_response(self):
        timers, api, watches = self.start_watches(1)
        await timers.run_for(1.0)
        api.slow_kinds["servers"] = 1.2
        api.is_partitioned = True
        await timers.run_for(5.0)
        api.is_partitioned = False
        await timers.run_for(1.5)
        for _ in range(6):
            # Another kind repeatedly fails and recovers.
            watches[0]._lost_since_s = timers.now()
            watches[0]._availability.mark_failing("config")
            watches[0]._on_response()
            await timers.run_for(0.2)
        assert not watches[3].lost
        for watch in watches:
            await watch.stop()

    async def test_an_outage_causes_few_calls(self):
        timers, api, watches = self.start_watches(1)
        await timers.run_for(1.0)
        api.is_partitioned = True
        await timers.run_for(1.0)
        calls = api.calls
        await timers.run_for(20.0)
        # One kind is tried every 1.0 s, the other three every 1.4 s.
        assert api.calls - calls <= 20 / 0.75 + 3 * 20 / 1.0
        for watch in watches:
            await watch.stop()


class FakeReports:
    """Reports of one peer at a known address."""

    def __init__(self, address):
        self._address = address
        self.version = 0

    def live_peers(self):
        return ["n2"]

    def address_of(self, node):
        return self._address

    def newest_configuration(self):
        return self.version, "n2"


def make_reader(watches, reports, version=lambda: 0):
    """Returns a reader of copies of other nodes.

    Args:
      watches: Watches by kind.
      reports: Reports of the other nodes.
      version: Returns the version of the configuration in force.
    """
    timers = LoopTimers()
    log = DecisionLog("n2", timers.wall)
    return CopyReader(watches, reports, version, timers, log, random.Random(1))


class TestCopyReader:
    """Guards against a node that stays outdated while its peers are current."""

    @pytest.fixture
    async def nodes(self):
        """Two watches, of which the first serves its copy over HTTP."""
        available, unavailable = FakeApi(), FakeApi()
        available.put("a", {"n": 1})
        unavailable.put("a", {"n": 1})
        first, _ = make_watch(available)
        second, sink = make_watch(unavailable)
        address = Address("127.0.0.1", free_port())
        listener = StatusListener(
            address,
            {PATH + "configuration": functools.partial(encode_copy, first)},
        )
        await listener.start()
        reports = FakeReports(str(address))
        reader = make_reader(
            {"configuration": second},
            reports,
            lambda: sink.bodies["a"]["n"] if sink.bodies else 0,
        )
        first.start()
        second.start()
        reader.start()
        await asyncio.sleep(0.05)
        yield available, unavailable, sink, reports
        await reader.stop()
        await first.stop()
        await second.stop()
        await listener.stop()

    async def test_a_node_without_the_api_reads_from_a_peer(self, nodes):
        available, unavailable, sink, _ = nodes
        unavailable.fail(ObjectApiUnavailableError("refused"))
        available.put("a", {"n": 2})
        await asyncio.sleep(1.8)
        assert sink.bodies == {"a": {"n": 2}}

    async def test_a_newer_version_of_a_peer_is_read(self, nodes):
        available, _, sink, reports = nodes
        # The watch of this node stalls without an error.
        available.put("a", {"n": 2})
        reports.version = 2
        await asyncio.sleep(1.2)
        assert sink.bodies == {"a": {"n": 2}}

    async def test_a_node_without_the_api_serves_no_copy(self, nodes):
        available, unavailable, sink, _ = nodes
        available.fail(ObjectApiUnavailableError("down"))
        unavailable.fail(ObjectApiUnavailableError("down"))
        await asyncio.sleep(1.8)
        assert sink.bodies == {"a": {"n": 1}}
        assert "merge" not in sink.calls

    async def test_a_copy_that_arrives_after_the_recovery_is_discarded(self):
        """Guards against old objects that replace those of the object API."""
        api = FakeApi()
        api.put("a", {"n": 1})
        watch, sink = make_watch(api)
        address = Address("127.0.0.1", free_port())
        old = cbor2.dumps([["a", "2", {"n": 1}, {}]])
        requested, released = asyncio.Event(), asyncio.Event()

        async def serve_late(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            requested.set()
            await released.wait()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(old)}\r\n\r\n"
            writer.write(head.encode() + old)
            writer.close()

        server = await asyncio.start_server(
            serve_late, address.host, address.port
        )
        reader = make_reader({"things": watch}, FakeReports(str(address)))
        watch.start()
        await run_ready_tasks()
        api.fail(ObjectApiUnavailableError("down"))
        reader.start()
        await asyncio.wait_for(requested.wait(), 3.0)
        api.put("a", {"n": 2})
        api.error = None
        for _ in range(30):
            if not watch.lost:
                break
            await asyncio.sleep(0.02)
        released.set()
        await asyncio.sleep(0.2)
        assert sink.bodies == {"a": {"n": 2}}
        assert "merge" not in sink.calls
        await reader.stop()
        await watch.stop()
        server.close()

    async def test_a_copy_of_an_earlier_era_is_not_used(self):
        watch, sink = make_watch(FakeApi())
        watch.merge_copy([StoredObject("things", "a", "2.5", {"n": 2})])
        address = Address("127.0.0.1", free_port())
        body = cbor2.dumps([["a", "1.9", {"n": 1}, {}]])
        listener = StatusListener(
            address, {PATH + "things": lambda: (200, body)}
        )
        await listener.start()
        reader = make_reader({"things": watch}, FakeReports(str(address)))
        reader.start()
        await reader._read("things", ["n1"], lambda: True)
        assert sink.bodies == {"a": {"n": 2}}
        await reader.stop()
        await listener.stop()

    def test_invalid_copies_are_rejected(self):
        for data in (b"", b"\x00", b"\x81\x01", b"\xff"):
            with pytest.raises(ValueError):
                decode_copy("things", data)
