"""Tests of prompts that crash endpoints, with scripted endpoints."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from guavalane_core.forwarding import Delivery, Engine
from guavalane_standins.crashing_endpoints import CrashingEndpoints
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_endpoint,
    make_route,
)
from guavalane_standins.gateway_rig import NAMES, GatewayRig

# Numbers of requests, so that no two are the same.
NUMBERS = itertools.count()
ENGINE = Engine(slots=4, kv_tokens=100_000)
# Crashes closer together count as one, in seconds.
CRASH_INTERVAL_S = 0.55
CRASHES_TO_QUARANTINE = 3


def prompt_headers(context):
    """Returns the headers of a prompt with a context part."""
    return {
        NAMES.model: "m",
        NAMES.token_counts: "1000,50",
        NAMES.prompt_parts: f"common:250,{context}:500,own:250",
    }


def make_stream_configuration(*, resumable=False):
    """Returns a configuration with one streaming route."""
    route = make_route(
        delivery=Delivery.STREAM,
        resumable=resumable,
        max_endpoints=2,
        timeout_s=5.0,
    )
    return make_configuration(route, engine=ENGINE)


def has_crashing_part(request):
    """Returns whether the prompt of a request has the crashing part."""
    return "crashing" in request.header(NAMES.prompt_parts)


def make_endpoints(rig):
    """Returns endpoints that a prompt part crashes."""
    return CrashingEndpoints(rig, has_crashing_part, streams=True)


async def call(rig, context):
    """Sends a new request and returns its status, or None if it broke off."""
    body = f"request {next(NUMBERS)}".encode()
    headers = prompt_headers(context)
    async with rig.call(headers=headers, body=body) as answer:
        await answer.read()
        return answer.status


async def crash_until_quarantined(rig, endpoints):
    """Sends crashing requests until their part is in quarantine."""
    for _ in range(CRASHES_TO_QUARANTINE):
        await call(rig, "crashing")
        await asyncio.sleep(CRASH_INTERVAL_S)


class TestCrashingPrompts:
    """Guards against prompts that crash one endpoint after the other."""

    async def test_few_endpoints_are_crashed_by_the_same_part(self):
        async with GatewayRig(make_stream_configuration()) as rig:
            endpoints = make_endpoints(rig)
            await endpoints.start(12)
            assert await call(rig, "sound") == 200
            await crash_until_quarantined(rig, endpoints)
            for _ in range(6):
                await call(rig, "crashing")
            assert endpoints.crashes == CRASHES_TO_QUARANTINE

    async def test_a_part_that_was_served_can_start_to_crash_endpoints(self):
        """Guards against a part that is exempt as it was served before."""
        async with GatewayRig(make_stream_configuration()) as rig:
            endpoints = make_endpoints(rig)
            await endpoints.start(12)
            endpoints.crashes_on = lambda request: False
            assert await call(rig, "crashing") == 200
            endpoints.crashes_on = has_crashing_part
            await crash_until_quarantined(rig, endpoints)
            for _ in range(6):
                await call(rig, "crashing")
            assert endpoints.crashes == CRASHES_TO_QUARANTINE

    async def test_the_caller_is_told_at_once_that_nothing_ran(self):
        async with GatewayRig(make_stream_configuration()) as rig:
            endpoints = make_endpoints(rig)
            await endpoints.start(6)
            await call(rig, "sound")
            await crash_until_quarantined(rig, endpoints)
            headers = prompt_headers("crashing")
            async with rig.call(headers=headers) as answer:
                problem = await answer.json(content_type=None)
                assert answer.status == 503
                assert float(answer.headers["Retry-After"]) > 30
            assert problem["code"] == "prompt_quarantined"
            assert problem["not_run"] is True

    async def test_other_prompts_with_the_same_first_part_are_served(self):
        async with GatewayRig(make_stream_configuration()) as rig:
            endpoints = make_endpoints(rig)
            await endpoints.start(6)
            await call(rig, "sound")
            await crash_until_quarantined(rig, endpoints)
            for number in range(5):
                assert await call(rig, f"sound-{number}") == 200

    async def test_a_suspected_prompt_is_not_repeated(self):
        """Guards against one request that crashes several endpoints."""
        async with GatewayRig(make_stream_configuration(resumable=True)) as rig:
            endpoints = make_endpoints(rig)
            await endpoints.start(8)
            parts = {"common": 0, "crashing": 1}
            for name in ("gone-1", "gone-2"):
                rig.quarantine.on_crash(make_endpoint(name), parts)
                await asyncio.sleep(CRASH_INTERVAL_S)
            assert await call(rig, "crashing") == 502
            assert endpoints.crashes == 1


class TestCrashMonitor:
    """Guards against a wrong cause of a response that breaks off."""

    @pytest.fixture
    async def rig(self):
        """Running rig without endpoints."""
        async with GatewayRig(make_stream_configuration()) as rig:
            yield rig

    async def report(self, rig, endpoint, parts=("common", "crashing")):
        """Reports a broken response and returns the counted failures."""
        failures = []
        rig.crash_monitor.on_broken(endpoint, parts, lambda: failures.append(1))
        await asyncio.sleep(0.4)
        return len(failures)

    async def test_a_reset_connection_is_not_a_crash(self, rig):
        await rig.add_endpoint(None)
        endpoint = rig.view.directory.get("e-1")
        assert await self.report(rig, endpoint) == 1
        assert not rig.view.quarantines.evidence.crashes

    async def test_the_exit_of_a_leaving_endpoint_is_not_a_crash(self, rig):
        rig.add_unreachable_endpoint("e-1", leaving=True)
        endpoint = rig.view.directory.get("e-1")
        assert await self.report(rig, endpoint) == 1
        assert not rig.view.quarantines.evidence.crashes

    async def test_what_was_being_answered_is_reported_first(self, rig):
        """Guards against a part left out for those of waiting requests."""
        rig.add_unreachable_endpoint("e-1")
        endpoint = rig.view.directory.get("e-1")
        for number in range(40):
            waiting = (f"a-{number}", f"b-{number}")
            rig.crash_monitor.on_broken(
                endpoint, waiting, lambda: None, has_head=False
            )
        assert await self.report(rig, endpoint) == 1
        (crash,) = rig.view.quarantines.evidence.crashes
        assert list(crash.parts)[:2] == ["common", "crashing"]

    async def test_a_crash_under_a_suspect_is_not_the_versions_fault(self, rig):
        """Guards against a good version rolled back for a crashing prompt."""
        counted = []
        for number in range(4):
            rig.add_unreachable_endpoint(f"e-{number}")
            endpoint = rig.view.directory.get(f"e-{number}")
            counted.append(await self.report(rig, endpoint))
            await asyncio.sleep(CRASH_INTERVAL_S)
        assert counted == [1, 0, 0, 0]

    async def test_a_crash_without_a_suspect_is_the_versions_fault(self, rig):
        for number in range(4):
            rig.quarantine.on_crash(make_endpoint(f"gone-{number}"), {})
            rig.add_unreachable_endpoint(f"e-{number}")
            endpoint = rig.view.directory.get(f"e-{number}")
            assert await self.report(rig, endpoint, ()) == 1
