"""Tests of rejections that are sent while the caller still uploads."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import pytest
from sanic.response import text

from guavalane_core.forwarding import Delivery
from guavalane_core.limits.body_memory import BodyMemory
from guavalane_core.limits.connections import CallerConnections
from guavalane_core.settings import LimitSettings, Listen
from guavalane_core.timers import LoopTimers
from guavalane_entry.caller_bounds import CallerBounds
from guavalane_entry.callers.web import WebServer
from guavalane_standins.forwarding_samples import make_configuration, make_route
from guavalane_standins.gateway_rig import HOST, NAMES, GatewayRig
from guavalane_standins.processes import free_port

# Time that a test may take, in seconds.
LIMIT_S = 20.0
# More than the limit for bodies of each server.
BODY_BYTES = 5_000_000
PARTS = 20
_numbers = itertools.count()


@contextlib.asynccontextmanager
async def run_chat(bounds=None):
    """Serves the chat interface's kind of server; yields the address."""
    port = free_port()
    server = WebServer(
        f"test-{next(_numbers)}", Listen(port=port), LimitSettings(), bounds
    )

    async def answer(request):
        return text("ok")

    server.app.add_route(answer, "/a/x", methods=["POST"])
    await server.start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await server.stop()


@contextlib.asynccontextmanager
async def run_gateway(bounds=None):
    """Serves the listener of a gateway node; yields the address."""
    route = make_route(delivery=Delivery.AT_MOST_ONCE)
    async with GatewayRig(make_configuration(route), bounds) as rig:
        yield rig.address


SERVERS = {"chat": run_chat, "gateway": run_gateway}
HEAD = (
    f"POST /a/x HTTP/1.1\r\nHost: {HOST}\r\n{NAMES.request_id}: q-1\r\n"
).encode()


async def upload(address, first, part):
    """Sends a request in parts; reads only after its last part.

    The first part has the rejection for its answer, so that the server has
    decided on the request before the other parts are sent. If it has closed the
    connection, sending fails.
    """
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(first)
    status_line = await reader.readline()
    for _ in range(PARTS):
        await asyncio.sleep(0.01)
        writer.write(part)
        await writer.drain()
    rest = await reader.read()
    writer.close()
    return int(status_line.split()[1]), rest


@pytest.mark.parametrize("server", SERVERS)
class TestEarlyRejections:
    """Guards against a rejection that a reset keeps from the caller."""

    async def test_a_body_that_is_announced_too_large(self, server):
        head = HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        async with asyncio.timeout(LIMIT_S), SERVERS[server]() as address:
            part = b"x" * (BODY_BYTES // (PARTS + 1))
            status, rest = await upload(address, head + part, part)
        assert status == 413
        assert b"body_too_large" in rest

    async def test_a_chunked_body_that_becomes_too_large(self, server):
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        async with asyncio.timeout(LIMIT_S), SERVERS[server]() as address:
            # The first part alone exceeds the limit.
            size = BODY_BYTES
            part = b"%x\r\n%b\r\n" % (size, b"x" * size)
            status, rest = await upload(address, head + part, part)
        assert status == 413
        assert b"body_too_large" in rest


class TestEarlyRejectionsAtAStop:
    """Guards against the same while a gateway node stops."""

    async def test_a_stop_waits_for_the_rest_of_a_rejected_body(self):
        route = make_route(delivery=Delivery.AT_MOST_ONCE)
        rig = GatewayRig(make_configuration(route))
        async with asyncio.timeout(LIMIT_S), rig:
            part = b"x" * (BODY_BYTES // (PARTS + 1))
            head = HEAD + b"Content-Length: %d\r\n\r\n" % (PARTS * len(part))
            host, port = rig.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head + part)
            assert (await reader.readline()).split()[1] == b"413"
            stop = asyncio.create_task(rig.stop(LIMIT_S))
            for _ in range(PARTS - 1):
                await asyncio.sleep(0.01)
                assert not stop.done()
                writer.write(part)
                await writer.drain()
            assert b"body_too_large" in await reader.read()
            writer.close()
            await stop


class TestEarlyRejectionOfHeads:
    """Guards against the same for a head that is too large."""

    async def test_a_head_that_is_too_large(self):
        async with asyncio.timeout(LIMIT_S), run_chat() as address:
            part = b"X-Long: " + b"y" * 70_000
            status, rest = await upload(address, HEAD + part, part)
        assert status in (413, 431)
        assert b'"not_run":true' in rest


async def wait_for(condition):
    """Waits until a condition holds."""
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise TimeoutError("the condition does not hold")


def make_bounds(limit_bytes):
    """Returns bounds with a limit for bodies."""
    bounds = CallerBounds(LoopTimers())
    bounds.memory = BodyMemory(limit_bytes)
    return bounds


@pytest.mark.parametrize("server", SERVERS)
class TestEvictedBodies:
    """Guards against evicted requests whose callers learn nothing.

    They have not run; the statuses 408 and 503 promise that.
    """

    @pytest.mark.parametrize("chunked", [False, True])
    async def test_a_body_without_memory_gets_503(self, server, chunked):
        bounds = make_bounds(200_000)
        # Less than the servers accept, in parts of which the first needs more
        # memory than there is.
        first, part = b"x" * 300_000, b"x" * 20_000
        head = HEAD + b"Content-Length: 900000\r\n\r\n"
        if chunked:
            head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
            first, part = (b"%x\r\n%b\r\n" % (len(p), p) for p in (first, part))
        async with asyncio.timeout(LIMIT_S), SERVERS[server](bounds) as address:
            status, rest = await upload(address, head + first, part)
        assert status == 503
        lines = rest.lower()
        assert b"memory_short" in lines
        assert b"retry-after: 1" in lines
        assert b"connection: close" in lines
        assert b"not_run" in lines
        assert bounds.memory.evictions == {"memory": 1}
        assert bounds.memory.held_bytes == 0

    async def test_a_body_without_progress_gets_408(self, server):
        bounds = make_bounds(10_000_000)
        head = HEAD + b"Content-Length: 100000\r\n\r\n"
        async with asyncio.timeout(LIMIT_S), SERVERS[server](bounds) as address:
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head + b"x" * 1000)
            await wait_for(lambda: bounds.memory.held_bytes)
            bounds.check(0.0)
            response = (await reader.read()).lower()
            writer.close()
        assert response.split()[1] == b"408"
        assert b"body_timeout" in response
        assert b"connection: close" in response
        assert bounds.memory.evictions == {"stalled": 1}
        assert bounds.memory.held_bytes == 0

    async def test_a_connection_over_the_limit_closes_another(self, server):
        bounds = make_bounds(10_000_000)
        bounds.connections = CallerConnections(2)
        async with asyncio.timeout(LIMIT_S), SERVERS[server](bounds) as address:
            host, port = address.split(":")
            opened = []
            for count in (1, 2):
                opened.append(await asyncio.open_connection(host, int(port)))
                await wait_for(lambda n=count: len(bounds.connections) == n)
            opened.append(await asyncio.open_connection(host, int(port)))
            await wait_for(lambda: bounds.connections.closed == 1)
            assert await opened[0][0].read() == b""
            assert not opened[1][0].at_eof()
            for _, writer in opened:
                writer.close()
