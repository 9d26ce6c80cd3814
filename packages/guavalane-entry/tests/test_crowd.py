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
    cluster = Cluster(group)
    cluster.start_platform()
    cluster.start_engine("engine-a", "zone-a")
    cluster.start_service("service-a", "zone-a")
    cluster.start_node("entry-a", "zone-a", limits=LIMITS)
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
