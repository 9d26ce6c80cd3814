"""Tests of responses to callers whose body ends with the connection."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from guavalane_core.forwarding import CallerLimits
from guavalane_core.timers import LoopTimers
from guavalane_entry.gateway.caller_connection import ConnectionReply
from guavalane_entry.gateway.codec import RequestCodec
from guavalane_entry.gateway.listener import CallerListener
from guavalane_entry.gateway.settings import Address
from guavalane_entry.gateway.stop_deadline import StopDeadline
from guavalane_standins.broken_server import LOOP_POLICIES
from guavalane_standins.gateway_rig import HOST, NAMES
from guavalane_standins.processes import free_port

PART = b"x" * 400
# More than the buffers of the kernel and of the node take.
LARGE_PART = b"x" * 8 * 1024 * 1024


# pytest-asyncio has no other way yet to choose the loop of a test.
pytestmark = pytest.mark.filterwarnings(
    "ignore:Overriding the .event_loop_policy. fixture"
)


@pytest.fixture(params=LOOP_POLICIES)
def event_loop_policy(request):
    """Runs each test on the loop of asyncio and on that of the programs."""
    return LOOP_POLICIES[request.param]()


@contextlib.asynccontextmanager
async def connect(handler, version="1.1"):
    """Sends a request to a listener; yields the reader of the response."""
    lines = [f"GET /a/x HTTP/{version}", f"Host: {HOST}"]
    lines.append(f"{NAMES.request_id}: q-1")
    timers = LoopTimers()
    address = Address("127.0.0.1", free_port())
    listener = CallerListener(
        address,
        RequestCodec(NAMES),
        timers,
        CallerLimits,
        handler,
        StopDeadline(timers),
    )
    await listener.start()
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        yield reader
    finally:
        writer.close()
        await listener.drain(0.1)


async def send_part(reply):
    """Sends the head and a part of the body."""
    await reply.start(200, [], framed=False)
    await reply.write(PART)


class TestUnframedReplies:
    """Guards against an incomplete body that ends like a complete one."""

    async def test_a_finished_body_ends_in_order(self):
        async def handle(request, reply):
            await send_part(reply)
            await reply.finish()

        async with connect(handle) as reader:
            assert (await reader.read()).endswith(b"\r\n\r\n" + PART)

    async def test_a_body_is_reset_after_an_unexpected_error(self):
        async def handle(request, reply):
            await send_part(reply)
            raise KeyError("defect")

        async with connect(handle) as reader:
            with pytest.raises(ConnectionResetError):
                await reader.read()

    async def test_a_large_body_reaches_a_caller_that_reads_late(self):
        finished = asyncio.Event()

        async def handle(request, reply):
            await reply.start(200, [], framed=False)
            await reply.write(LARGE_PART)
            await reply.finish()
            finished.set()

        async with connect(handle) as reader:
            await asyncio.sleep(0.2)
            assert not finished.is_set()
            received = await reader.read()
            assert received.endswith(b"\r\n\r\n" + LARGE_PART)


class TestHttp10:
    """Guards against HTTP/1.0 callers that get no streams."""

    async def _read(self, end):
        async def handle(request, reply):
            await reply.start(200, [], framed=True)
            await reply.write(PART)
            await end(reply)

        async with connect(handle, "1.0") as reader:
            return await reader.read()

    async def test_a_stream_ends_with_the_connection(self):
        received = await self._read(ConnectionReply.finish)
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.0 200 ")
        assert body == PART

    async def test_a_stream_that_breaks_off_is_reset(self):
        async def abort(reply):
            reply.abort()

        with pytest.raises(ConnectionResetError):
            await self._read(abort)
