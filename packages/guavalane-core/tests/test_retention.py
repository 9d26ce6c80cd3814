"""Tests of the retention sweeper."""

from __future__ import annotations

import asyncio

from guavalane_core.objects import MemoryObjectApi
from guavalane_core.retention import RetentionSweeper
from guavalane_core.timers import ManualTimers

RETENTION_S = 3600.0


def claim(state, claimed_s):
    """Returns the body of a claim."""
    return {"state": state, "claimed_s": claimed_s}


async def sweep(api, timers, chosen=True):
    """Runs one complete sweep."""
    sweeper = RetentionSweeper(api, timers, RETENTION_S, lambda: chosen)
    task = asyncio.create_task(sweeper.sweep())
    await timers.run_for(10.0, 0.5)
    return await task


class TestRetentionSweeper:
    """Guards against unbounded growth and deletion of needed objects."""

    async def test_deletes_only_expired_and_completed_objects(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        now = timers.wall()
        old, young = now - RETENTION_S - 1, now - RETENTION_S + 60
        await api.create("claims", "old-answered", claim("answered", old))
        await api.create("claims", "old-running", claim("running", old))
        await api.create("claims", "young", claim("answered", young))
        request = {"deadline_s": old}
        await api.create("records", "done", {"request": request, "answer": {}})
        await api.create("records", "waiting", {"request": request})
        assert await sweep(api, timers) == 3
        claims, _ = await api.list("claims")
        records, _ = await api.list("records")
        assert [c.name for c in claims] == ["young"]
        assert [r.name for r in records] == ["waiting"]

    async def test_only_the_chosen_node_sweeps(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        await api.create("claims", "old", claim("answered", 0.0))
        assert await sweep(api, timers, chosen=False) == 0
        assert api.calls.reads == 0

    async def test_outage_aborts_a_sweep(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        await api.create("claims", "old", claim("answered", 0.0))
        api.set_down(True)
        assert await sweep(api, timers) == 0
        api.set_down(False)
        assert await sweep(api, timers) == 1
