"""Tests of a node process under clients that exhaust memory and descriptors."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from guavalane_platform_standins.deployment import (
    API_KEY,
    HOST,
    Deployment,
    make_config,
)
from guavalane_standins.crowd import Crowd, ProcessWatch

pytestmark = pytest.mark.crowd

# The smallest VM of the operators, and their limits for callers.
MEMORY_MB = 152
BYTES_PER_MB = 1_000_000
MAX_FDS = 600
BODY_BYTES = 4_194_304
LIMITS = {"MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS}
CALLER_LIMITS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": BODY_BYTES,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15_000,
}
# Bodies of the crowd, which together exceed the memory.
BODIES = 60
# Connections of the crowd, which exceed the descriptors.
CONNECTIONS = MAX_FDS + 200
# Attempts to send a request until the endpoint is known.
ENDPOINT_POLLS = 100
# The same for a crowd that is bounded only by the descriptors of that VM.
LARGE_CROWD = 300
VM_FDS = 1535
_numbers = itertools.count()


def make_head(framing):
    """Returns the head of a request that may run once."""
    lines = (
        "POST /once/x HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {next(_numbers):016x}",
        "Deadline-Ms: 5000",
        f"Authorization: Token {API_KEY}",
        framing,
    )
    return "\r\n".join((*lines, "", "")).encode()


class SmallDeployment(Deployment):
    """One node of the smallest size with an endpoint."""

    def __init__(self, max_fds=MAX_FDS):
        super().__init__(1, limits={**LIMITS, "MaxFds": max_fds})
        self.configuration = make_config(1, Limits=CALLER_LIMITS)

    async def start(self):
        await super().start()
        await self.add_endpoint("i-app", "app")
        for _ in range(ENDPOINT_POLLS):
            if (await self.call(self.nodes[0], "/once/x"))[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the node does not use the endpoint")


def check(deployment, watch, max_fds=MAX_FDS):
    """Checks that the node lives and stayed within its limits."""
    assert deployment.nodes[0].process.poll() is None
    assert watch.max_resident_bytes < MEMORY_MB * BYTES_PER_MB
    assert watch.max_descriptors <= max_fds


class TestCrowd:
    """Guards against clients that bring a node process down."""

    @pytest.mark.parametrize("chunked", [False, True])
    async def test_unfinished_bodies(self, chunked):
        async with SmallDeployment() as deployment:
            node = deployment.nodes[0]
            watch = ProcessWatch(node.process.pid)
            async with watch.running(), Crowd(node.callers, make_head) as crowd:
                await crowd.send_bodies(BODIES, BODY_BYTES, chunked)
                answer = await deployment.call(node, "/once/x", body=b"b")
            check(deployment, watch)
            assert answer == (200, b"done:b")

    @pytest.mark.parametrize("chunked", [False, True])
    async def test_unfinished_bodies_of_a_large_crowd(self, chunked):
        async with SmallDeployment(VM_FDS) as deployment:
            node = deployment.nodes[0]
            watch = ProcessWatch(node.process.pid)
            async with watch.running(), Crowd(node.callers, make_head) as crowd:
                await crowd.send_bodies(LARGE_CROWD, BODY_BYTES, chunked)
                answer = await deployment.call(node, "/once/x", body=b"b")
            check(deployment, watch, VM_FDS)
            assert answer == (200, b"done:b")

    async def test_more_connections_than_descriptors(self):
        async with SmallDeployment() as deployment:
            node = deployment.nodes[0]
            watch = ProcessWatch(node.process.pid)
            async with watch.running(), Crowd(node.callers, make_head) as crowd:
                await crowd.open_connections(CONNECTIONS)
                answer = await deployment.call(node, "/once/x", body=b"b")
            check(deployment, watch)
            assert answer == (200, b"done:b")

    async def test_a_single_body_of_the_largest_size_is_served(self):
        async with SmallDeployment() as deployment:
            node = deployment.nodes[0]
            watch = ProcessWatch(node.process.pid)
            body = b"x" * BODY_BYTES
            async with watch.running():
                answer = await deployment.call(node, "/once/x", body=body)
            check(deployment, watch)
            assert answer[0] == 200
