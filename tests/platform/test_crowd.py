"""Tests of a node process under clients that exhaust memory and descriptors."""

from __future__ import annotations

import asyncio
import contextlib
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
OK = 200
# Attempts to send a request until the endpoint is known.
ENDPOINT_POLLS = 100
# The same for a crowd that is bounded only by the descriptors of that VM.
LARGE_CROWD = 300
VM_FDS = 1535
# A size at which a small crowd shows what is not bounded. Beside a started node
# it has space for the largest body and answer.
TIGHT_LIMITS = {"MemoryMb": 110, "MaxFds": VM_FDS}
TIGHT_CROWD = 300
TIGHT_ENDPOINTS = 5
LARGE_ANSWER_PATH = "/look/large"
LARGE_ANSWER_BYTES = 1_000_000
LARGEST_ANSWER_PATH = "/look/largest"
LARGEST_ANSWER_BYTES = 16 * 1024 * 1024
# Sizes of a whole body that waits for an endpoint, and of a request without a
# body.
WAITING_BODY_BYTES = 60_000
HEAD_BYTES = 8000
# Requests written at once on each connection.
PIPELINE_DEPTH = 400
# Time for a node to answer an ordinary request again, in seconds.
ANSWER_LIMIT_S = 15.0
_numbers = itertools.count()


def make_head(framing, path="/once/x"):
    """Returns the head of a request; by default of one that may run once."""
    lines = (
        f"POST {path} HTTP/1.1",
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


class TightDeployment(Deployment):
    """One node of a tight size with several endpoints."""

    def __init__(self):
        super().__init__(1, limits=TIGHT_LIMITS)
        self.configuration = make_config(1, Limits=CALLER_LIMITS)

    async def start(self):
        await super().start()
        for number in range(TIGHT_ENDPOINTS):
            endpoint = await self.add_endpoint(f"i-app-{number}", "app")
            endpoint.answers = {
                LARGE_ANSWER_PATH: b"y" * LARGE_ANSWER_BYTES,
                LARGEST_ANSWER_PATH: b"y" * LARGEST_ANSWER_BYTES,
            }
        await self.wait_answer()

    async def wait_answer(self):
        """Waits until the node answers an ordinary request with 200."""
        async with asyncio.timeout(ANSWER_LIMIT_S):
            for _ in range(ENDPOINT_POLLS):
                if (await self.call(self.nodes[0], "/once/x"))[0] == OK:
                    return
                await asyncio.sleep(0.1)
        raise TimeoutError("the node answers no ordinary request")

    @contextlib.asynccontextmanager
    async def watch(self):
        """Checks after the block that the node kept its limits and answers."""
        process = self.nodes[0].process
        watch = ProcessWatch(process.pid, self.nodes[0].callers)
        async with watch.running():
            yield
            await self.wait_answer()
        assert process.poll() is None
        assert watch.max_held_bytes < TIGHT_LIMITS["MemoryMb"] * BYTES_PER_MB
        assert watch.max_descriptors <= TIGHT_LIMITS["MaxFds"]

    async def play(self, act, path="/once/x"):
        """Plays a crowd and sends an ordinary request before it leaves."""
        address = self.nodes[0].callers
        crowd = Crowd(address, lambda framing: make_head(framing, path))
        async with self.watch(), crowd:
            await act(crowd)
            await self.wait_answer()


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


class TestMemoryOfRequests:
    """Guards against requests whose bytes exceed the memory of a node.

    The bytes count that the node has not read as well.
    """

    async def test_largest_body_and_answer_in_calm(self):
        async with TightDeployment() as deployment, deployment.watch():
            status, answer = await deployment.call(
                deployment.nodes[0],
                LARGEST_ANSWER_PATH,
                body=b"x" * BODY_BYTES,
            )
        assert (status, len(answer)) == (OK, LARGEST_ANSWER_BYTES)

    async def test_unfinished_bodies_of_all_kinds(self):
        async with TightDeployment() as deployment:
            await deployment.play(
                lambda crowd: crowd.send_mixed_bodies(TIGHT_CROWD, BODY_BYTES)
            )

    async def test_unfinished_heads(self):
        size = CALLER_LIMITS["MaxHeaderBytes"]
        async with TightDeployment() as deployment:
            await deployment.play(
                lambda crowd: crowd.send_heads(TIGHT_CROWD, size)
            )

    async def test_trickling_bodies(self):
        async with TightDeployment() as deployment:
            await deployment.play(
                lambda crowd: crowd.trickle_bodies(TIGHT_CROWD, BODY_BYTES)
            )

    async def test_whole_bodies_that_wait(self):
        async with TightDeployment() as deployment:
            await deployment.play(
                lambda crowd: crowd.send_whole_bodies(
                    TIGHT_CROWD, WAITING_BODY_BYTES
                )
            )

    async def test_rest_of_rejected_bodies(self):
        async with TightDeployment() as deployment:
            await deployment.play(
                lambda crowd: crowd.send_whole_bodies(
                    TIGHT_CROWD, 2 * BODY_BYTES
                )
            )

    async def test_requests_written_at_once(self):
        async with TightDeployment() as deployment:
            await deployment.play(
                lambda crowd: crowd.send_pipelined(
                    TIGHT_CROWD, PIPELINE_DEPTH, HEAD_BYTES
                )
            )


class TestMemoryOfAnswers:
    """Guards against callers whose answers exceed the memory of a node."""

    async def test_callers_that_do_not_read(self):
        async with TightDeployment() as deployment:
            await deployment.play(
                lambda crowd: crowd.leave_responses_unread(TIGHT_CROWD),
                LARGE_ANSWER_PATH,
            )


class TestReadinessAddress:
    """Guards against connections that only the callers' address bounds."""

    async def test_more_connections_than_descriptors(self):
        async with SmallDeployment() as deployment:
            node = deployment.nodes[0]
            watch = ProcessWatch(node.process.pid)
            async with (
                watch.running(),
                Crowd(node.readiness, make_head) as crowd,
            ):
                await crowd.open_connections(CONNECTIONS)
                answer = await deployment.call(node, "/once/x", body=b"b")
            check(deployment, watch)
            assert answer == (OK, b"done:b")
