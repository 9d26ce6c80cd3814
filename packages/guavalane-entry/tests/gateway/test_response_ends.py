"""Tests of what is taken for the end of an endpoint's response."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import pytest

from guavalane_core.forwarding import Delivery, Engine
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_endpoint,
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


def answer_with(framing, before_close=lambda: None):
    """Returns the script of an endpoint that answers and closes.

    Args:
      framing: What ends the body.
      before_close: Called before the endpoint closes the connection.
    """
    header, body = FRAMINGS[framing]

    async def answer(exchange):
        head = (
            "HTTP/1.1 200 OK",
            f"{NAMES.request_id}: {exchange.request.header(NAMES.request_id)}",
            f"{NAMES.proof}: proof-1",
            header,
        )
        await exchange.send("\r\n".join((*head, "", "")).encode() + body)
        before_close()
        await exchange.close()

    return answer


async def add_killed_endpoint(rig):
    """Adds an endpoint that is killed during its answer.

    Another one accepts requests from then on. Returns the other one.
    """
    killed = await rig.add_endpoint(None, "e-1")
    other = await rig.add_endpoint(
        answer_with("connection"), "e-2", leaving=True
    )

    def kill():
        killed.stop_listening()
        rig.view.directory.put(make_endpoint("e-3", address=other.address))

    killed.script = answer_with("connection", kill)
    return other


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


class TestKilledEndpoints:
    """Guards against cut bodies that look complete."""

    @pytest.mark.parametrize(
        "delivery", [Delivery.STREAM, Delivery.AT_MOST_ONCE]
    )
    async def test_the_body_of_a_killed_endpoint_is_not_complete(
        self, delivery
    ):
        rig, lines = make_rig(delivery, resumable=False)
        async with rig:
            other = await add_killed_endpoint(rig)
            try:
                answer = await call(rig)
            except ConnectionResetError:
                answer = b""
            assert not answer or answer.startswith(b"HTTP/1.1 502 ")
            assert not other.requests
        assert "request.answered" not in [event for event, _ in lines]

    async def test_a_resumable_stream_goes_on_elsewhere(self):
        rig, _ = make_rig(Delivery.STREAM, resumable=True, max_endpoints=2)
        async with rig:
            other = await add_killed_endpoint(rig)
            answer = await call(rig)
        assert other.requests[0].header(NAMES.resume_after) == "2"
        assert answer.endswith(b"\r\n\r\n" + EVENTS + EVENTS)

    async def test_an_idempotent_request_is_sent_again(self):
        rig, _ = make_rig(Delivery.IDEMPOTENT, max_endpoints=2)
        async with rig:
            other = await add_killed_endpoint(rig)
            assert (await call(rig)).endswith(b"\r\n\r\n" + EVENTS)
            assert other.requests

    async def test_the_body_of_an_endpoint_that_leaves_is_complete(self):
        rig, lines = make_rig(Delivery.STREAM, resumable=False)
        async with rig:
            endpoint = await rig.add_endpoint(None)

            def leave():
                known = rig.view.directory.get("e-1")
                rig.view.directory.put(attrs.evolve(known, leaving=True))
                endpoint.stop_listening()

            endpoint.script = answer_with("connection", leave)
            assert (await call(rig)).endswith(b"\r\n\r\n" + EVENTS)
        (fields,) = [f for e, f in lines if e == "attempt.end_checked"]
        assert fields["leaving"] and fields["complete"]

    @pytest.mark.parametrize(
        ("removed_ago_s", "complete"), [(0.0, False), (3.0, True)]
    )
    async def test_an_endpoint_whose_entry_was_just_removed_has_not_left(
        self, removed_ago_s, complete
    ):
        rig, lines = make_rig(Delivery.STREAM, resumable=False)
        async with rig:
            endpoint = await rig.add_endpoint(None)

            def end():
                removed_s = rig.view.timers.now() - removed_ago_s
                rig.view.directory.remove("e-1", removed_s)
                endpoint.stop_listening()

            endpoint.script = answer_with("connection", end)
            with contextlib.suppress(ConnectionResetError):
                await call(rig)
        (fields,) = [f for e, f in lines if e == "attempt.end_checked"]
        assert fields["complete"] is complete

    @pytest.mark.parametrize("framing", ["length", "last_chunk"])
    async def test_a_delimited_body_needs_no_check(self, framing):
        rig, lines = make_rig(Delivery.STREAM)
        async with rig:
            endpoint = await rig.add_endpoint(None)
            endpoint.script = answer_with(framing, endpoint.stop_listening)
            assert (await call(rig)).startswith(b"HTTP/1.1 200 ")
        assert "attempt.end_checked" not in [event for event, _ in lines]
