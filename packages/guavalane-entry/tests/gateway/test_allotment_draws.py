"""Tests of requests that wait for units or leave them to others."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import pytest

from guavalane_core.forwarding import Organisation
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_route,
)
from guavalane_standins.gateway_rig import GatewayRig, echo_headers


async def answer(exchange):
    """Answers each request."""
    await exchange.answer(200, echo_headers(exchange), b"done")


HEADERS = {"Authorization": "Bearer k"}


def make_rig(rate_per_s, *, timeout_s=10.0, objective_s=2.0):
    """Returns a node whose organisation has an urgent and a later route."""
    organisation = Organisation(
        "org-1", frozenset({"k"}), rate_per_s=rate_per_s, burst=4.0
    )
    later = attrs.evolve(
        make_route(),
        priority=2,
        timeout_s=timeout_s,
        latency_objective_s=objective_s,
    )
    urgent = attrs.evolve(later, name="urgent", path_prefix="/u/", priority=0)
    return GatewayRig(
        make_configuration(later, urgent, organisations=(organisation,))
    )


class TestDraws:
    """Guards against requests that run before their units are there."""

    async def test_units_are_kept_for_urgent_requests(self):
        async with make_rig(0.001) as rig:
            await rig.add_endpoint(answer)
            statuses = []
            for i, path in enumerate(("/u/x", "/u/x", "/a/x", "/a/x", "/u/x")):
                async with rig.call(
                    path, headers=HEADERS, request_id=f"q-{i}"
                ) as reply:
                    statuses.append(reply.status)
            assert statuses == [200, 200, 200, 429, 200]

    async def test_retry_after_is_of_use_to_the_caller(self):
        """Guards against a time that callers do not wait for."""
        async with make_rig(0.001, timeout_s=1.5) as rig:
            await rig.add_endpoint(answer)
            for i in range(5):
                async with rig.call(
                    headers=HEADERS, request_id=f"q-{i}"
                ) as reply:
                    status = reply.status
            assert status == 429
            assert 0 < float(reply.headers["Retry-After"]) <= 0.5


class TestWaits:
    """Guards against waits that run a request early or keep its units."""

    # Requests up to the one that waits, for 1 s at most, for its unit.
    PATHS = ("/u/x", "/u/x", "/a/x")

    async def wait_for_draws(self, rig, units):
        """Waits until the node has drawn a number of units."""
        for _ in range(500):
            if rig.view.allotments.drawn["org-1"] == units:
                return
            await asyncio.sleep(0.01)
        pytest.fail(f"{rig.view.allotments.drawn} drawn, not {units}")

    @contextlib.asynccontextmanager
    async def waiting_request(self):
        """Yields a node, its endpoint, and a request that waits for units."""
        async with make_rig(1.0, objective_s=16.0) as rig:
            endpoint = await rig.add_endpoint(answer)
            for i, path in enumerate(self.PATHS):
                async with rig.call(
                    path, headers=HEADERS, request_id=f"q-{i}"
                ) as reply:
                    assert reply.status == 200

            async def call():
                async with rig.call(headers=HEADERS) as reply:
                    return reply.status, await reply.text()

            task = asyncio.create_task(call())
            await self.wait_for_draws(rig, len(self.PATHS) + 1)
            yield rig, endpoint, task

    async def test_a_request_is_sent_when_its_units_have_arrived(self):
        async with self.waiting_request() as (rig, endpoint, task):
            assert len(endpoint.requests) == len(self.PATHS)
            status, _ = await task
            assert status == 200
            assert rig.metrics.percentile("allotment_wait", "r-1", 50) > 0

    async def test_a_disconnect_refunds_the_units(self):
        async with self.waiting_request() as (rig, endpoint, task):
            task.cancel()
            await self.wait_for_draws(rig, len(self.PATHS))
            assert len(endpoint.requests) == len(self.PATHS)

    async def test_a_stop_rejects_the_request_as_not_run(self):
        async with self.waiting_request() as (rig, endpoint, task):
            await rig.stop(0.4)
            status, text = await task
            assert status == 503
            assert '"code": "stopping"' in text
            assert rig.view.allotments.drawn["org-1"] == len(self.PATHS)
            assert len(endpoint.requests) == len(self.PATHS)
