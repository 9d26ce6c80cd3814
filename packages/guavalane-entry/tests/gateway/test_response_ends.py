"""Tests of what is taken for the end of an endpoint's response."""

from __future__ import annotations

import asyncio

import pytest

from guavalane_core.forwarding import Delivery, Engine
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_route,
)
from guavalane_standins.gateway_rig import (
    NAMES,
    STREAM_HEADERS,
    GatewayRig,
    send_request,
)

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
CHUNKS = b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENTS), EVENTS)
# Framing header and body of a response by what ends the body.
FRAMINGS = {
    "length": (f"Content-Length: {len(EVENTS)}", EVENTS),
    "last_chunk": ("Transfer-Encoding: chunked", CHUNKS),
    "connection": ("X-Framing: none", EVENTS),
}


def make_rig(delivery, **changes):
    """Returns a rig with one route, and the list of lines that it logs."""
    engine = None
    if delivery is Delivery.STREAM:
        engine = Engine(slots=4, kv_tokens=100_000)
    route = make_route(delivery=delivery, timeout_s=5.0, **changes)
    rig = GatewayRig(make_configuration(route, engine=engine))
    lines = []
    rig.log.request = lambda event, request_id, **fields: lines.append(
        (event, fields)
    )
    return rig, lines


def answer_with(framing):
    """Returns the script of an endpoint that answers and closes."""
    header, body = FRAMINGS[framing]

    async def answer(exchange):
        head = (
            "HTTP/1.1 200 OK",
            f"{NAMES.request_id}: {exchange.request.header(NAMES.request_id)}",
            f"{NAMES.proof}: proof-1",
            header,
        )
        await exchange.send("\r\n".join((*head, "", "")).encode() + body)
        await exchange.close()

    return answer


async def call(rig):
    """Sends a request and returns the bytes of the answer."""
    reader, writer = await send_request(
        rig, STREAM_HEADERS | {"Connection": "close"}
    )
    try:
        async with asyncio.timeout(5):
            return await reader.read()
    finally:
        writer.close()


class TestLoggedEnds:
    """Guards against a log that does not tell why an answer was complete."""

    @pytest.mark.parametrize("delivery", [Delivery.STREAM, Delivery.IDEMPOTENT])
    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_the_end_of_an_answer_is_logged(self, framing, delivery):
        rig, lines = make_rig(delivery)
        async with rig:
            await rig.add_endpoint(answer_with(framing))
            assert (await call(rig)).startswith(b"HTTP/1.1 200 ")
        (fields,) = [f for event, f in lines if event == "request.answered"]
        assert fields["response_end"] == framing
        assert rig.metrics.total("response_ends") == 1
