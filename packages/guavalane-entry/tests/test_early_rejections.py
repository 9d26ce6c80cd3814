"""Tests of rejections that are sent while the caller still uploads."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import pytest
from sanic.response import text

from guavalane_core.forwarding import Delivery
from guavalane_core.settings import LimitSettings, Listen
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
async def run_chat():
    """Serves the chat interface's kind of server; yields the address."""
    port = free_port()
    server = WebServer(
        f"test-{next(_numbers)}", Listen(port=port), LimitSettings()
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
async def run_gateway():
    """Serves the listener of a gateway node; yields the address."""
    route = make_route(delivery=Delivery.AT_MOST_ONCE)
    async with GatewayRig(make_configuration(route)) as rig:
        yield rig.address


SERVERS = {"chat": run_chat, "gateway": run_gateway}
HEAD = (
    f"POST /a/x HTTP/1.1\r\nHost: {HOST}\r\n{NAMES.request_id}: q-1\r\n"
).encode()


async def upload(address, head, part):
    """Sends a request in parts; reads only after its last part.

    The first part has the rejection for its answer, so that the server has
    decided on the request before the other parts are sent. If it has closed the
    connection, sending fails.
    """
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head + part)
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
            status, rest = await upload(address, head, part)
        assert status == 413
        assert b"body_too_large" in rest

    async def test_a_chunked_body_that_becomes_too_large(self, server):
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        async with asyncio.timeout(LIMIT_S), SERVERS[server]() as address:
            # The first part alone exceeds the limit.
            size = BODY_BYTES
            part = b"%x\r\n%b\r\n" % (size, b"x" * size)
            status, rest = await upload(address, head, part)
        assert status == 413
        assert b"body_too_large" in rest


class TestEarlyRejectionOfHeads:
    """Guards against the same for a head that is too large."""

    async def test_a_head_that_is_too_large(self):
        async with asyncio.timeout(LIMIT_S), run_chat() as address:
            part = b"X-Long: " + b"y" * 70_000
            status, rest = await upload(address, HEAD, part)
        assert status in (413, 431)
        assert b'"not_run":true' in rest
