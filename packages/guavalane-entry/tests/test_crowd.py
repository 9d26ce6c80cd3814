"""Tests of an entry node under clients that exhaust memory and descriptors."""

from __future__ import annotations

import asyncio
import json

import pytest

from guavalane_standins.cluster import Cluster, caller_headers
from guavalane_standins.crowd import Crowd, ProcessWatch
from guavalane_standins.processes import ProcessGroup, fetch

pytestmark = pytest.mark.crowd

# The smallest VM of the operators, and their limits for callers.
MEMORY_MB = 152
BYTES_PER_MB = 1_000_000
MAX_FDS = 600
BODY_BYTES = 4_194_304
LIMITS = {
    "max_body_bytes": BODY_BYTES,
    "memory_mb": MEMORY_MB,
    "max_descriptors": MAX_FDS,
}
# A size at which a small crowd shows what is not bounded.
TIGHT_LIMITS = {**LIMITS, "memory_mb": 110, "max_descriptors": 1535}
TIGHT_CROWD = 300
# Size of an answer that callers do not read, in bytes.
LARGE_ANSWER_BYTES = 1_000_000
# Sizes of a head, of a whole body that waits for an endpoint and of a request
# without a body.
HEAD_BYTES = 8000
WAITING_BODY_BYTES = 60_000
# Requests written at once on each connection.
PIPELINE_DEPTH = 400
# Time for a node to answer an ordinary request again, in seconds.
ANSWER_LIMIT_S = 15.0
# Attempts to send it.
ANSWER_POLLS = 100
# Status with which the service answers a request that it has run.
CREATED = 201
# Bodies of the crowd, which together exceed the memory.
BODIES = 60
# Connections of the crowd, which exceed the descriptors.
CONNECTIONS = MAX_FDS + 200


@pytest.fixture
def group():
    """Runs one node of the smallest size with an engine and a service."""
    with ProcessGroup() as group:
        yield group


@pytest.fixture
def cluster(group):
    """Returns the cluster of the node."""
    return start_cluster(group, LIMITS)


@pytest.fixture
def tight_cluster(group):
    """Returns the cluster of a node of a tight size."""
    return start_cluster(group, TIGHT_LIMITS)


def start_cluster(group, limits):
    """Starts a node with its stand-ins."""
    cluster = Cluster(group)
    cluster.start_platform()
    cluster.start_engine("engine-a", "zone-a")
    cluster.start_service("service-a", "zone-a")
    cluster.start_node("entry-a", "zone-a", limits=limits)
    return cluster


def make_head(framing):
    """Returns the head of a request of a plain service."""
    lines = ["POST /records HTTP/1.1", "Host: x", framing]
    lines += [f"{name}: {value}" for name, value in caller_headers().items()]
    return "\r\n".join((*lines, "", "")).encode()


def call(cluster, text="b"):
    """Sends an ordinary request and returns the status."""
    url = f"{cluster.nodes['entry-a'].callers}/records"
    status, answer = fetch(url, body={"x": text}, headers=caller_headers())
    return status, json.loads(answer)


async def run_crowd(group, cluster, act):
    """Runs a crowd and sends an ordinary request before it leaves."""
    process = group.process("entry-a")
    address = cluster.nodes["entry-a"].callers.removeprefix("http://")
    watch = ProcessWatch(process.pid)
    async with watch.running(), Crowd(address, make_head) as crowd:
        await act(crowd)
        status, answer = await asyncio.to_thread(call, cluster)
    check(process, watch)
    assert status == CREATED, answer


def check(process, watch):
    """Checks that the node lives and stayed within its limits."""
    assert process.poll() is None
    assert watch.max_resident_bytes < MEMORY_MB * BYTES_PER_MB
    assert watch.max_descriptors <= MAX_FDS


class TestCrowd:
    """Guards against clients that bring an entry node down."""

    @pytest.mark.parametrize("chunked", [False, True])
    async def test_unfinished_bodies(self, group, cluster, chunked):
        await run_crowd(
            group,
            cluster,
            lambda crowd: crowd.send_bodies(BODIES, BODY_BYTES, chunked),
        )

    async def test_more_connections_than_descriptors(self, group, cluster):
        await run_crowd(
            group, cluster, lambda crowd: crowd.open_connections(CONNECTIONS)
        )

    async def test_a_single_large_body_is_served(self, group, cluster):
        process = group.process("entry-a")
        watch = ProcessWatch(process.pid)
        async with watch.running():
            text = "x" * (BODY_BYTES - 100)
            status, answer = await asyncio.to_thread(call, cluster, text)
        check(process, watch)
        assert status == CREATED, answer


async def wait_answer(cluster):
    """Waits until the node answers an ordinary request as run."""
    async with asyncio.timeout(ANSWER_LIMIT_S):
        for _ in range(ANSWER_POLLS):
            if (await asyncio.to_thread(call, cluster))[0] == CREATED:
                return
            await asyncio.sleep(0.1)
    raise TimeoutError("the node answers no ordinary request")


async def play_tight(group, cluster, act):
    """Plays a crowd at a node of a tight size and checks its limits.

    An ordinary request has to be answered before the crowd leaves, and after.
    """
    process = group.process("entry-a")
    address = cluster.nodes["entry-a"].callers.removeprefix("http://")
    watch = ProcessWatch(process.pid, address)
    async with watch.running():
        async with Crowd(address, make_head) as crowd:
            await act(crowd)
            await wait_answer(cluster)
        await wait_answer(cluster)
    assert process.poll() is None
    assert watch.max_held_bytes < TIGHT_LIMITS["memory_mb"] * BYTES_PER_MB
    assert watch.max_descriptors <= TIGHT_LIMITS["max_descriptors"]


class TestMemoryOfRequests:
    """Guards against requests whose bytes exceed the memory of a node.

    The bytes count that the node has not read as well.
    """

    async def test_unfinished_bodies_of_all_kinds(self, group, tight_cluster):
        await play_tight(
            group,
            tight_cluster,
            lambda crowd: crowd.send_mixed_bodies(TIGHT_CROWD, BODY_BYTES),
        )

    async def test_unfinished_heads(self, group, tight_cluster):
        await play_tight(
            group,
            tight_cluster,
            lambda crowd: crowd.send_heads(TIGHT_CROWD, HEAD_BYTES),
        )

    async def test_trickling_bodies(self, group, tight_cluster):
        await play_tight(
            group,
            tight_cluster,
            lambda crowd: crowd.trickle_bodies(TIGHT_CROWD, BODY_BYTES),
        )

    async def test_whole_bodies_that_wait(self, group, tight_cluster):
        await play_tight(
            group,
            tight_cluster,
            lambda crowd: crowd.send_whole_bodies(
                TIGHT_CROWD, WAITING_BODY_BYTES
            ),
        )

    async def test_rest_of_rejected_bodies(self, group, tight_cluster):
        await play_tight(
            group,
            tight_cluster,
            lambda crowd: crowd.send_whole_bodies(TIGHT_CROWD, 2 * BODY_BYTES),
        )

    async def test_requests_written_at_once(self, group, tight_cluster):
        await play_tight(
            group,
            tight_cluster,
            lambda crowd: crowd.send_pipelined(
                TIGHT_CROWD, PIPELINE_DEPTH, HEAD_BYTES
            ),
        )


class TestMemoryOfAnswers:
    """Guards against callers whose answers exceed the memory of a node."""

    async def test_callers_that_do_not_read(self, group, tight_cluster):
        async def act(crowd):
            tight_cluster.set_behaviour(
                "service-a", padding_bytes=LARGE_ANSWER_BYTES
            )
            await crowd.leave_responses_unread(TIGHT_CROWD)
            tight_cluster.set_behaviour("service-a", padding_bytes=0)

        await play_tight(group, tight_cluster, act)
