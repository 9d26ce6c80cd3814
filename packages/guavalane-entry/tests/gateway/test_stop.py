"""Tests of requests that meet a planned stop of their node."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from guavalane_core.forwarding import Delivery
from guavalane_standins.forwarding_samples import make_configuration, make_route
from guavalane_standins.gateway_rig import (
    HOST,
    NAMES,
    GatewayRig,
    echo_headers,
    open_connection_to,
)

# Time from the start of a stop to its end, in seconds.
GRACE_S = 1.2
# Service time of the endpoint, in seconds.
SERVICE_S = 0.4
# Time within which a node answers what it need not wait for, in seconds.
PROMPT_S = 0.2
BODY = b"0123456789"


def make_rig(delivery=Delivery.AT_MOST_ONCE, **changes):
    """Returns a rig with one route that allows long requests."""
    route = make_route(delivery=delivery, timeout_s=10.0, **changes)
    return GatewayRig(make_configuration(route))


async def answer_slowly(exchange):
    """Responds after the service time."""
    await asyncio.sleep(SERVICE_S)
    await exchange.answer(200, echo_headers(exchange), b"done")


async def never_answer(exchange):
    """Does not respond."""
    await exchange.wait_closed_by_peer()


class LateCaller:
    """Caller that sends the body of its request later than the header."""

    def __init__(self, rig):
        self._rig = rig
        self._reader = None
        self._writer = None

    async def send_header(self):
        """Opens a connection and sends the header and half of the body."""
        self._reader, self._writer = await open_connection_to(self._rig)
        head = (
            f"POST /a/x HTTP/1.1\r\nHost: {HOST}\r\n"
            f"{NAMES.request_id}: q-late\r\nContent-Length: {len(BODY)}\r\n\r\n"
        )
        self._writer.write(head.encode() + BODY[:5])
        # The node closes connections on which nothing has arrived yet.
        await asyncio.sleep(0.05)

    async def send_rest(self):
        """Sends the rest of the body."""
        self._writer.write(BODY[5:])
        await self._writer.drain()

    async def read_answer(self):
        """Returns the status, the body and the time taken in seconds."""
        start_s = time.monotonic()
        data = await self._reader.read()
        self._writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        status = int(head.split()[1]) if head else None
        return status, body, time.monotonic() - start_s


async def call_once(rig, request_id="q-1"):
    """Sends a request and returns its status and body."""
    async with rig.call(body=BODY, request_id=request_id) as response:
        return response.status, await response.read()


class TestLateRequests:
    """Guards against requests that are passed on and then cut at a stop."""

    async def test_a_request_that_cannot_end_in_time_is_refused_as_not_run(
        self,
    ):
        async with make_rig() as rig:
            endpoint = await rig.add_endpoint(answer_slowly)
            assert (await call_once(rig))[0] == 200
            caller = LateCaller(rig)
            await caller.send_header()
            stop = asyncio.create_task(rig.stop(GRACE_S))
            await asyncio.sleep(GRACE_S - SERVICE_S / 2)
            await caller.send_rest()
            status, body, elapsed_s = await caller.read_answer()
            await stop
            assert status == 503
            assert json.loads(body)["not_run"] is True
            assert elapsed_s < PROMPT_S
            assert len(endpoint.requests) == 1

    async def test_a_request_that_can_end_in_time_is_served(self):
        async with make_rig() as rig:
            await rig.add_endpoint(answer_slowly)
            assert (await call_once(rig))[0] == 200
            caller = LateCaller(rig)
            await caller.send_header()
            stop = asyncio.create_task(rig.stop(GRACE_S))
            await asyncio.sleep(0.1)
            await caller.send_rest()
            status, body, _ = await caller.read_answer()
            await stop
            assert (status, body) == (200, b"done")

    async def test_a_request_without_a_measured_duration_is_served(self):
        async with make_rig() as rig:
            await rig.add_endpoint(answer_slowly)
            caller = LateCaller(rig)
            await caller.send_header()
            stop = asyncio.create_task(rig.stop(GRACE_S))
            await asyncio.sleep(0.1)
            await caller.send_rest()
            assert (await caller.read_answer())[0] == 200
            await stop

    async def test_a_request_whose_body_does_not_arrive_is_refused(self):
        async with make_rig() as rig:
            endpoint = await rig.add_endpoint(answer_slowly)
            caller = LateCaller(rig)
            await caller.send_header()
            stop = asyncio.create_task(rig.stop(GRACE_S))
            status, body, _ = await caller.read_answer()
            await stop
            assert status == 503
            assert json.loads(body)["not_run"] is True
            assert endpoint.requests == []


class TestUnfinishedRequests:
    """Guards against connections that a stop closes without a response."""

    @pytest.mark.parametrize(
        "delivery", [Delivery.AT_MOST_ONCE, Delivery.IDEMPOTENT]
    )
    async def test_a_request_that_has_been_passed_on_gets_an_answer(
        self, delivery
    ):
        async with make_rig(delivery) as rig:
            await rig.add_endpoint(never_answer)
            call = asyncio.create_task(call_once(rig))
            await asyncio.sleep(0.2)
            await rig.stop(GRACE_S)
            status, body = await call
            assert status == 504
            assert json.loads(body)["not_run"] is False
            assert json.loads(body)["detail"] == "the node stops"

    async def test_a_late_retry_is_not_sent(self):
        async def break_late(exchange):
            await asyncio.sleep(GRACE_S - SERVICE_S / 2)
            await exchange.reset()

        async with make_rig(Delivery.IDEMPOTENT, max_endpoints=2) as rig:
            first = await rig.add_endpoint(answer_slowly)
            assert (await call_once(rig))[0] == 200
            first.script = break_late
            call = asyncio.create_task(call_once(rig, "q-2"))
            await asyncio.sleep(0.05)
            second = await rig.add_endpoint(answer_slowly, name="e-2")
            await rig.stop(GRACE_S)
            assert (await call)[0] == 502
            assert second.requests == []

    async def test_a_stream_that_cannot_end_is_truncated(self):
        async def stream_slowly(exchange):
            lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
            lines += [f"{k}: {v}" for k, v in echo_headers(exchange).items()]
            await exchange.send("\r\n".join(lines).encode() + b"\r\n\r\n")
            for _ in range(40):
                await exchange.send(b"f\r\nid: 1\ndata: x\n\n\r\n")
                await asyncio.sleep(0.1)

        async with make_rig(Delivery.STREAM) as rig:
            await rig.add_endpoint(stream_slowly)
            reader, writer = await open_connection_to(rig)
            head = (
                f"GET /a/x HTTP/1.1\r\nHost: {HOST}\r\n"
                f"{NAMES.request_id}: q-1\r\n\r\n"
            )
            writer.write(head.encode())
            await asyncio.sleep(0.3)
            await rig.stop(GRACE_S)
            data = await reader.read()
            writer.close()
            assert b"data: x" in data
            assert not data.endswith(b"0\r\n\r\n")
