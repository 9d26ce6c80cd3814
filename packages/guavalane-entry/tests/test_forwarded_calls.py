"""Tests that calls of plain services are forwarded byte for byte."""

from __future__ import annotations

import contextlib
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
    connect,
    make_request,
    make_word,
    status_of,
)
from guavalane_standins.scripted_endpoint import ScriptedEndpoint, split_fields

SEEDS = range(5)
# Messages per seed.
MESSAGES = 30
KEY = "key-1"
KEY_FIELD = (b"Authorization", b"Bearer key-1")
_numbers = itertools.count()


def make_service_configuration(address, base_path=""):
    """Returns a configuration with a route to one endpoint."""
    deployment = {"deployment": "d"}
    return parse_configuration(
        {
            "organisations": {"o": {"key_sha256": [digest_key(KEY)]}},
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
