"""Tests of load polling and the VM list against stand-ins."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from guavalane_core.timers import LoopTimers
from guavalane_entry.endpoints.load import LoadPoller, parse_load
from guavalane_entry.fleet.vm_list import VmListWatcher, parse_vm_list
from guavalane_standins import web
from guavalane_standins.engine import Engine
from guavalane_standins.processes import free_port
from guavalane_standins.vms import VmList

from .test_pool import configuration, make_pool

METRICS = """# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{model_name="a"} 3.0
vllm:num_requests_running{model_name="b"} 2.0
vllm:num_requests_waiting{model_name="a"} 7.0
vllm:other{le="broken 1
"""


async def wait_for(condition, limit_s: float = 8.0) -> None:
    """Waits until a condition holds."""
    for _ in range(int(limit_s / 0.02)):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise TimeoutError


class TestParsing:
    """Guards against malformed pages that crash the poller or show no load."""

    def test_load(self):
        assert parse_load(METRICS) == (5, 7)
        assert parse_load("") is None
        with pytest.raises(ValueError):
            parse_load("vllm:num_requests_waiting{ x")

    @pytest.mark.parametrize("data", [None, [], {}, {"items": [1]}])
    def test_foreign_vm_list(self, data):
        with pytest.raises(ValueError):
            parse_vm_list(data)


class TestLoadPoller:
    """Guards against polls above the rate or of removed endpoints."""

    def test_polls_endpoints_round_robin(self):
        pool, timers = make_pool(count=3)
        poller = LoadPoller(pool, timers, 100)
        assert {poller.next_endpoint() for _ in range(3)} == set(pool.views)
        assert poller.next_endpoint() is None
        timers.advance(0.5)
        assert poller.next_endpoint() is not None
        pool.apply(configuration(2, e9=109))
        assert poller.next_endpoint() == "e9"


class TestOverHttp:
    """Guards against load and leaving states that do not reach the pool."""

    async def test_load_and_leaving(self):
        engine, vms = Engine("e0"), VmList()
        ports = [free_port(), free_port()]
        runners = [
            await web.start(engine.application(), ports[0]),
            await web.start(vms.application(), ports[1]),
        ]
        pool, _ = make_pool()
        pool.apply(configuration(2, e0=ports[0]))
        timers = LoopTimers()
        poller = LoadPoller(pool, timers, 50)
        url = f"http://127.0.0.1:{ports[1]}"
        watcher = VmListWatcher(f"{url}/endpointslices", timers)
        watcher.subscribe(pool.on_vm_list)
        engine._running = 4
        poller.start()
        watcher.start()
        try:
            view = pool.views["e0"]
            await wait_for(lambda: view.reported_running == 4)
            vm = {"name": "e0", "address": f"127.0.0.1:{ports[0]}"}
            async with aiohttp.ClientSession() as session:
                await session.post(
                    f"{url}/standin/vms",
                    json={**vm, "zone": "z0", "leaving": True},
                )
            await wait_for(lambda: view.leaving)
        finally:
            await poller.stop()
            await watcher.stop()
            for runner in runners:
                await runner.cleanup()
