"""Tests of the rate limit and outage detection of the object API client."""

from __future__ import annotations

import asyncio
import random

import pytest

from guavalane_core.exceptions import ObjectApiUnavailableError
from guavalane_core.objects import BudgetedObjectApi, MemoryObjectApi
from guavalane_core.objects.budget import MAX_BACKOFF_S
from guavalane_core.timers import ManualTimers

NODES = 40
WRITES_PER_S = 300
READS_PER_S = 1500


def make_nodes(count, api, timers, shared_by=None):
    """Returns rate-limited clients of one object API."""
    return [
        BudgetedObjectApi(
            api,
            timers,
            lambda: shared_by or count,
            WRITES_PER_S,
            READS_PER_S,
            random.Random(seed),
        )
        for seed in range(count)
    ]


async def call_forever(node, timers, write):
    """Calls the object API as fast as the rate limit allows."""
    number = 0
    while True:
        number += 1
        try:
            if write:
                await node.create("claims", f"{id(node)}-{number}", {})
            else:
                await node.list("leases")
        except ObjectApiUnavailableError:
            await timers.sleep(0.5)


class TestBudget:
    """Guards against nodes that together exceed the rate of the object API."""

    async def test_nodes_together_stay_within_the_write_rate(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        nodes = make_nodes(10, api, timers)
        tasks = [
            asyncio.create_task(call_forever(node, timers, True))
            for node in nodes
        ]
        await timers.run_for(3, 0.05)
        for task in tasks:
            task.cancel()
        assert WRITES_PER_S * 2.5 < api.calls.writes <= WRITES_PER_S * 4

    async def test_open_watch_reduces_the_read_share(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        (node,) = make_nodes(1, api, timers, shared_by=500)
        before = node.read_rate
        watch = asyncio.create_task(anext(node.watch("claims", "0")))
        await asyncio.sleep(0)
        assert node.read_rate == pytest.approx(before - 1.0)
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        assert node.watches == 0

    async def test_call_beyond_the_share_is_refused_and_not_sent(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        (node,) = make_nodes(1, api, timers, shared_by=3000)
        for number in range(2):
            await node.create("claims", str(number), {})
        with pytest.raises(ObjectApiUnavailableError):
            await node.create("claims", "third", {})
        assert api.calls.writes == 2
        assert node.reachable


class TestOutage:
    """Guards against a thundering herd of calls when an outage ends."""

    async def test_calls_after_an_outage_are_spread(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        nodes = make_nodes(NODES, api, timers)
        api.set_down(True)
        tasks = [
            asyncio.create_task(call_forever(node, timers, write))
            for node in nodes
            for write in (True, False)
        ]
        await timers.run_for(10, 0.1)
        assert not any(node.reachable for node in nodes)
        api.set_down(False)
        reads = api.calls.reads
        writes = api.calls.writes
        await timers.run_for(1, 0.1)
        assert api.calls.reads - reads <= READS_PER_S
        assert api.calls.writes - writes <= WRITES_PER_S
        back = sum(node.reachable for node in nodes)
        # Without jitter, every node would recover in the first second.
        assert back < NODES / 2
        await timers.run_for(MAX_BACKOFF_S, 0.1)
        assert all(node.reachable for node in nodes)
        for task in tasks:
            task.cancel()

    async def test_calls_fail_immediately_in_an_outage(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        (node,) = make_nodes(1, api, timers)
        seen = []
        node.subscribe(seen.append)
        api.set_down(True)
        for _ in range(50):
            with pytest.raises(ObjectApiUnavailableError):
                await node.get("claims", "a")
        assert api.calls.reads == 1
        assert seen == [False]
        api.set_down(False)
        await timers.run_for(MAX_BACKOFF_S, 0.1)
        assert seen == [False, True]

    async def test_no_probe_after_a_call_has_ended_the_outage(self):
        answers = [asyncio.Future() for _ in range(2)]

        class SlowApi:
            calls = 0

            async def get(self, kind, name):
                self.calls += 1
                return await answers[self.calls - 1]

            get_metadata = get

        api, timers = SlowApi(), ManualTimers()
        (node,) = make_nodes(1, api, timers)
        calls = [asyncio.create_task(node.get("a", "b")) for _ in answers]
        await asyncio.sleep(0)
        answers[1].set_exception(ObjectApiUnavailableError("down"))
        await asyncio.gather(calls[1], return_exceptions=True)
        assert not node.reachable
        answers[0].set_result("stored")
        assert await calls[0] == "stored"
        await timers.run_for(MAX_BACKOFF_S, 0.1)
        assert node.reachable
        assert api.calls == 2
