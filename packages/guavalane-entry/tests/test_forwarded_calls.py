"""Tests that calls of plain services are forwarded byte for byte."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import random
from unittest import mock

import pytest

from guavalane_core.configuration import parse_configuration
from guavalane_core.requests import digest_key
from guavalane_core.settings import LimitSettings, Listen, NodeSettings
from guavalane_core.timers import LoopTimers
from guavalane_entry.caller_bounds import CallerBounds
from guavalane_entry.callers.admission import Admission, EndpointLimits
from guavalane_entry.callers.calls import CallRunner
from guavalane_entry.callers.server import CallerServer
from guavalane_entry.endpoints.client import EndpointClient
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.endpoints.retrying import RetryRules
from guavalane_entry.metrics import Metrics
from guavalane_entry.requests.executions import Executions
from guavalane_standins.processes import free_port
from guavalane_standins.raw_caller import (
    CONTROLS,
    connect,
    make_request,
    make_targets,
    make_word,
    status_of,
)
from guavalane_standins.scripted_endpoint import ScriptedEndpoint, split_fields

SEEDS = range(5)
# Messages per seed.
MESSAGES = 30
KEY = "key-1"
# Not valid UTF-8.
BINARY_KEY = b"k\xff\xc3"
KEY_FIELD = (b"Authorization", b"Bearer key-1")
_numbers = itertools.count()


def make_service_configuration(address, base_path=""):
    """Returns a configuration with a route to one endpoint."""
    deployment = {"deployment": "d"}
    return parse_configuration(
        {
            "organisations": {
                "o": {
                    "key_sha256": [
                        digest_key(KEY),
                        hashlib.sha256(BINARY_KEY).hexdigest(),
                    ]
                }
            },
            "deployments": {"d": {"versions": {"v1": {}}}},
            "routes": {
                "r": {
                    **deployment,
                    "kind": "service",
                    "path": "/",
                    "request_class": "idempotent",
                }
            },
            "endpoints": {
                "e": {
                    **deployment,
                    "url": f"http://{address}{base_path}",
                    "zone": "z",
                    "version": "v1",
                }
            },
        }
    )


def make_server(settings, configuration, client, pool, limits, timers):
    """Returns a caller server for idempotent calls."""
    metrics = Metrics()
    rules = RetryRules(timers, metrics)
    server = CallerServer(
        settings,
        CallRunner(limits, client, rules, metrics),
        Admission(settings.limits, pool, limits, rules, timers, metrics),
        timers,
        metrics,
        Executions(),
        runs=mock.Mock(),
        at_most_once=mock.Mock(),
        durable=mock.Mock(),
        lookup=mock.Mock(),
        bounds=CallerBounds(timers),
    )
    server.apply(configuration)
    return server


@contextlib.asynccontextmanager
async def run(script, base_path=""):
    """Runs a caller server; yields the endpoint and a connected caller."""
    timers = LoopTimers()
    endpoint = ScriptedEndpoint(script)
    await endpoint.start()
    configuration = make_service_configuration(endpoint.address, base_path)
    pool = EndpointPool("n", "z", 4, timers)
    pool.apply(configuration)
    limits = EndpointLimits(pool, timers)
    client = EndpointClient(pool, limits, timers)
    listen = Listen(port=free_port())
    settings = NodeSettings(
        name=f"forwarded-{next(_numbers)}",
        zone="z",
        callers=listen,
        operators=listen,
        peers=listen,
        node_secret="s",
        operator_token="t",
        limits=LimitSettings(),
    )
    server = make_server(settings, configuration, client, pool, limits, timers)
    await server.start()
    try:
        async with connect(f"{listen.host}:{listen.port}") as caller:
            yield endpoint, caller
    finally:
        await server.stop()
        await client.close()
        await endpoint.stop()


async def answer(exchange):
    """Responds without a body."""
    await exchange.answer(200, {})


@pytest.mark.parametrize("seed", SEEDS)
class TestHeaderValues:
    """Guards against header values that another text encoding changes."""

    async def test_the_content_type_reaches_the_endpoint(self, seed):
        rng = random.Random(seed)
        async with run(answer) as (endpoint, caller):
            for _ in range(MESSAGES):
                content_type = make_word(rng)
                fields = [KEY_FIELD, (b"Content-Type", content_type)]
                request = make_request("a", b"/x", fields, rng)
                assert status_of(await caller.call(request)) == 200
                received = dict(endpoint.requests[-1].fields)
                assert received[b"content-type"] == content_type

    async def test_headers_of_the_answer_reach_the_caller(self, seed):
        rng = random.Random(seed)
        sent = {}

        async def answer_at_random(exchange):
            for name in (b"content-type", b"location", b"retry-after"):
                sent[name] = make_word(rng)
            lines = [b"%b: %b\r\n" % field for field in sent.items()]
            await exchange.send(
                b"HTTP/1.1 200 OK\r\n%bContent-Length: 0\r\n\r\n"
                % b"".join(lines)
            )

        async with run(answer_at_random) as (_, caller):
            for _ in range(MESSAGES):
                request = make_request("a", b"/x", [KEY_FIELD], rng)
                received = split_fields(await caller.call(request))
                assert sent.items() <= dict(received).items()


class TestKeys:
    """Guards against keys that a text encoding makes an internal error."""

    @pytest.mark.parametrize(
        ("key", "status"), [(BINARY_KEY, 200), (b"k\xff", 401), (b"\xc3", 401)]
    )
    async def test_a_key_may_have_any_bytes(self, key, status):
        async with run(answer) as (_, caller):
            fields = [(b"Authorization", b"Bearer " + key)]
            request = make_request("a", b"/x", fields, random.Random(1))
            assert status_of(await caller.call(request)) == status


class TestTargets:
    """Guards against paths and queries that a URL library rewrites."""

    @pytest.mark.parametrize("base_path", ["", "/", "/base", "/base/"])
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_targets_reach_the_endpoint(self, seed, base_path):
        rng = random.Random(seed)
        base = base_path.rstrip("/").encode()
        async with run(answer, base_path) as (endpoint, caller):
            for target in make_targets(rng, b"/x/", MESSAGES):
                request = make_request("a", target, [KEY_FIELD], rng)
                assert status_of(await caller.call(request)) == 200, target
                assert endpoint.requests[-1].target == base + target

    @pytest.mark.parametrize("target", [b"/x?", b"/%2f?a=%7e", b"/"])
    async def test_the_absolute_form_is_reduced(self, target):
        rng = random.Random(1)
        async with run(answer) as (endpoint, caller):
            absolute = b"http://a:80" + target
            request = make_request("a", absolute, [KEY_FIELD], rng)
            assert status_of(await caller.call(request)) == 200
            assert endpoint.requests[-1].target == target


class TestIllegalBytes:
    """Guards against bytes that end a line or a message for others."""

    @pytest.mark.parametrize("illegal", CONTROLS + b" \t\x80\xa0\xc3\xff")
    async def test_a_target_with_an_illegal_byte_is_rejected(self, illegal):
        target = b"/x" + bytes([illegal]) + b"y?z"
        async with run(answer) as (endpoint, caller):
            rng = random.Random(1)
            request = make_request("a", target, [KEY_FIELD], rng)
            # sanic closes the connection of some, others get 400.
            with contextlib.suppress(asyncio.IncompleteReadError):
                assert status_of(await caller.call(request)) == 400
            assert endpoint.requests == []

    @pytest.mark.parametrize("control", CONTROLS)
    async def test_a_control_character_in_a_value_is_not_sent(self, control):
        value = b"a/\xe9" + bytes([control]) + b"X-Smuggled: 1"
        fields = [KEY_FIELD, (b"Content-Type", value)]
        async with run(answer) as (endpoint, caller):
            request = make_request("a", b"/x", fields, random.Random(1))
            await caller.call(request)
            heads = b"".join(request.head for request in endpoint.requests)
            assert b"X-Smuggled" not in heads
