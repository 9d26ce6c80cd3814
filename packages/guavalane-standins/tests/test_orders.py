"""Tests of the HTTP client of engine orders against the stand-ins."""

from __future__ import annotations

import aiohttp
import pytest

from guavalane_core.exceptions import StaleOrderError
from guavalane_core.orders import DesiredState
from guavalane_entry.orders.http import HttpEngineOrders
from guavalane_standins import web as standin_web
from guavalane_standins.engine import Engine
from guavalane_standins.orders import CHUNK_BYTES
from guavalane_standins.processes import free_port
from guavalane_standins.weights import WeightStore

SIZE_BYTES = 1 << 20
BYTES_PER_S = 1 << 30
STATES = [DesiredState("assistant", f"v{i}") for i in range(4)]


@pytest.fixture
async def engines():
    """Yields a weight store, two engines and an order client."""
    store = WeightStore(SIZE_BYTES, BYTES_PER_S)
    engines = [Engine("e0"), Engine("e1")]
    runners, urls = [], []
    for standin in (store, *engines):
        port = free_port()
        runners.append(await standin_web.start(standin.application(), port))
        urls.append(f"http://127.0.0.1:{port}")
    for engine in engines:
        engine.orders.behaviour.weights_url = urls[0]
    client = HttpEngineOrders(
        {"e0": urls[1], "e1": urls[2]}.get,
    )
    yield store, engines, client
    await client.close()
    for runner in runners:
        await runner.cleanup()


class TestEngineOrders:
    """Guards against protocol differences between the client and the engine."""

    async def test_stale_number_is_rejected_with_fencing_checks(self, engines):
        _, (first, _), client = engines
        first.orders.behaviour.checks_fencing = True
        await client.apply("e0", STATES[2], 2)
        with pytest.raises(StaleOrderError):
            await client.apply("e0", STATES[1], 1)
        status = await client.read("e0")
        assert (status.state, status.fencing_number) == (STATES[2], 2)

    async def test_stale_number_is_accepted_without_fencing_checks(
        self, engines
    ):
        _, _, client = engines
        await client.apply("e0", STATES[2], 2)
        await client.apply("e0", STATES[1], 1)
        assert (await client.read("e0")).state == STATES[1]

    async def test_load_reads_the_whole_model(self, engines):
        store, (first, _), client = engines
        await client.apply("e0", STATES[2], 1)
        assert (await client.read("e0")).loading
        await first.orders.wait_until_loaded()
        assert not (await client.read("e0")).loading
        assert store.served_bytes == SIZE_BYTES


class TestWeightStore:
    """Guards against a weight store that does not limit the read rate."""

    async def test_reads_above_the_rate_limit_are_rejected(self):
        now = [0.0]
        store = WeightStore(SIZE_BYTES, CHUNK_BYTES, lambda: now[0])
        port = free_port()
        runner = await standin_web.start(store.application(), port)
        url = f"http://127.0.0.1:{port}/weights/assistant"
        headers = {"Range": f"bytes=0-{CHUNK_BYTES - 1}"}
        statuses = []
        async with aiohttp.ClientSession() as session:
            for step_s in (0.0, 0.0, 0.5, 0.5):
                now[0] += step_s
                async with session.get(url, headers=headers) as response:
                    statuses.append(response.status)
        await runner.cleanup()
        assert statuses == [206, 429, 429, 206]
