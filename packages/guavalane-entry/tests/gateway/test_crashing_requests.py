"""Tests of requests that crash endpoints, with scripted endpoints."""

from __future__ import annotations

import asyncio

import pytest

from guavalane_core.forwarding import Delivery, Engine, Organisation
from guavalane_standins.crashing_endpoints import CrashingEndpoints
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_endpoint,
    make_parts,
    make_route,
)
from guavalane_standins.gateway_rig import NAMES, GatewayRig

# Time from one coming of a request to the next, in seconds.
PAUSE_S = 0.15
CRASHES_TO_QUARANTINE = 3
CRASHING = b"crashing"
PROMPT_HEADERS = {
    NAMES.model: "m",
    NAMES.token_counts: "1000,50",
    NAMES.prompt_parts: "common:250,session:500,own:250",
}


def make_endpoints(rig, **changes):
    """Returns endpoints that a request body crashes."""
    return CrashingEndpoints(rig, lambda r: r.body == CRASHING, **changes)


async def call(rig, body=CRASHING, *, path="/a/x", headers=None):
    """Sends a request and returns its status."""
    async with rig.call(path, body=body, headers=headers) as answer:
        await answer.read()
        return answer.status


def make_rig(delivery=Delivery.AT_MOST_ONCE, *, engine=None, **changes):
    """Returns a rig with one route that allows three endpoints."""
    route = make_route(
        delivery=delivery, max_endpoints=3, timeout_s=5.0, **changes
    )
    return GatewayRig(make_configuration(route, engine=engine))


async def crash_until_quarantined(rig):
    """Sends a crashing request until it is in quarantine."""
    for _ in range(CRASHES_TO_QUARANTINE):
        await call(rig)
        await asyncio.sleep(PAUSE_S)


class TestCrashingRequests:
    """Guards against a request that crashes one endpoint after the other."""

    @pytest.mark.parametrize(
        "delivery", [Delivery.AT_MOST_ONCE, Delivery.IDEMPOTENT]
    )
    async def test_a_plain_request_crashes_few_endpoints(self, delivery):
        async with make_rig(delivery) as rig:
            endpoints = make_endpoints(rig)
            await endpoints.start(14)
            for _ in range(8):
                await call(rig)
                await asyncio.sleep(PAUSE_S)
            # Only the first coming of an idempotent request is repeated.
            repeats = delivery is Delivery.IDEMPOTENT
            assert endpoints.crashes <= CRASHES_TO_QUARANTINE + repeats

    async def test_one_request_crashes_two_endpoints_at_most(self):
        """Guards against an idempotent request repeated while it crashes."""
        async with make_rig(Delivery.IDEMPOTENT) as rig:
            endpoints = make_endpoints(rig)
            await endpoints.start(6)
            assert await call(rig) == 502
            assert endpoints.crashes == 2

    async def test_the_caller_is_told_at_once_that_nothing_ran(self):
        async with make_rig() as rig:
            endpoints = make_endpoints(rig)
            await endpoints.start(6)
            await crash_until_quarantined(rig)
            async with rig.call(body=CRASHING) as answer:
                problem = await answer.json(content_type=None)
                assert answer.status == 503
                assert float(answer.headers["Retry-After"]) > 30
            assert problem["code"] == "request_quarantined"
            assert problem["not_run"] is True

    @pytest.mark.parametrize(
        ("path", "body"),
        [("/a/x", b"sound"), ("/a/x?page=2", CRASHING), ("/a/y", CRASHING)],
    )
    async def test_other_requests_of_the_same_caller_are_served(
        self, path, body
    ):
        async with make_rig() as rig:
            endpoints = make_endpoints(rig)
            await endpoints.start(6)
            await crash_until_quarantined(rig)
            endpoints.crashes_on = lambda request: False
            assert await call(rig, body, path=path) == 200

    async def test_the_same_request_of_another_caller_is_served(self):
        organisations = tuple(
            Organisation(name, frozenset({name})) for name in ("one", "two")
        )
        configuration = make_configuration(
            make_route(timeout_s=5.0), organisations=organisations
        )
        async with GatewayRig(configuration) as rig:
            endpoints = make_endpoints(rig)
            await endpoints.start(6)
            one, two = (
                {"Authorization": f"Bearer {name}"} for name in ("one", "two")
            )
            for _ in range(CRASHES_TO_QUARANTINE):
                await call(rig, headers=one)
                await asyncio.sleep(PAUSE_S)
            endpoints.crashes_on = lambda request: False
            assert await call(rig, headers=one) == 503
            assert await call(rig, headers=two) == 200

    async def test_sound_requests_with_the_same_prompt_are_served(self):
        """Guards against a shared prompt part blamed for one request."""
        engine = Engine(slots=4, kv_tokens=100_000)
        async with make_rig(Delivery.STREAM, engine=engine) as rig:
            endpoints = make_endpoints(rig, streams=True)
            await endpoints.start(8)
            for _ in range(CRASHES_TO_QUARANTINE + 2):
                await call(rig, headers=PROMPT_HEADERS)
                await asyncio.sleep(0.4)
            assert endpoints.crashes == CRASHES_TO_QUARANTINE
            for number in range(3):
                body = f"sound {number}".encode()
                assert await call(rig, body, headers=PROMPT_HEADERS) == 200

    async def test_a_request_beside_a_crashing_one_is_not_quarantined(self):
        """Guards against requests that are refused as they ran alongside."""
        crashing = make_parts(body=CRASHING).digest
        async with make_rig() as rig:
            for number in range(5):
                beside = make_parts(body=f"sound {number}".encode()).digest
                endpoint = make_endpoint(f"gone-{number}")
                rig.quarantine.on_crash(endpoint, {beside: 0, crashing: 0})
                await asyncio.sleep(PAUSE_S)
            assert set(rig.view.quarantines.quarantines) == {crashing}
