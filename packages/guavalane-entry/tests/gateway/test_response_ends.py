"""Tests of what is taken for the end of an endpoint's response."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from guavalane_core.forwarding import Delivery, Engine
from guavalane_entry.response_end import Reachability
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
REST = b"id: 3\ndata: c\n\n"
# A coding without a last chunk, and the rest of the stream.
OTHERS = {
    "coding": ("Transfer-Encoding: identity", EVENTS),
    "rest": ("X-Framing: none", REST),
}


def make_rig(delivery, **changes):
    """Returns a rig with one route, and the list of lines that it logs."""
    engine = None
    if delivery is Delivery.STREAM:
        engine = Engine(slots=4, kv_tokens=100_000)
    route = make_route(delivery=delivery, **{"timeout_s": 5.0, **changes})
    rig = GatewayRig(make_configuration(route, engine=engine))
    lines = []
    rig.log.request = lambda event, request_id, **fields: lines.append(
        (event, fields)
    )
    return rig, lines


def answer_with(framing, before_close=lambda: None, status=200):
    """Returns the script of an endpoint that answers and closes.

    Args:
      framing: What ends the body.
      before_close: Called before the endpoint closes the connection.
      status: Status of the response.
    """
    header, body = {**FRAMINGS, **OTHERS}[framing]

    async def answer(exchange):
        head = (
            f"HTTP/1.1 {status} Status",
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

    async def answer_other(exchange):
        is_resumed = exchange.request.header(NAMES.resume_after) == "2"
        framing = "rest" if is_resumed else "connection"
        await answer_with(framing)(exchange)

    other = await rig.add_endpoint(answer_other, "e-2", leaving=True)

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
                answer = None
            assert answer is None or answer.startswith(b"HTTP/1.1 502 ")
            assert not other.requests
        assert "request.answered" not in [event for event, _ in lines]

    async def test_a_resumable_stream_goes_on_elsewhere(self):
        rig, _ = make_rig(Delivery.STREAM, resumable=True, max_endpoints=2)
        async with rig:
            other = await add_killed_endpoint(rig)
            answer = await call(rig)
        assert other.requests[0].header(NAMES.resume_after) == "2"
        assert answer.endswith(b"\r\n\r\n" + EVENTS + REST)

    async def test_an_idempotent_request_is_sent_again(self):
        rig, _ = make_rig(Delivery.IDEMPOTENT, max_endpoints=2)
        async with rig:
            other = await add_killed_endpoint(rig)
            assert (await call(rig)).endswith(b"\r\n\r\n" + EVENTS)
            assert other.requests

    @pytest.mark.parametrize("is_listed", [False, True])
    async def test_a_body_is_cut_by_the_planned_end_of_its_endpoint(
        self, is_listed
    ):
        rig, lines = make_rig(Delivery.STREAM, resumable=False)
        async with rig:
            endpoint = await rig.add_endpoint(None)

            def end():
                known = rig.view.directory.get("e-1")
                rig.view.directory.put(attrs.evolve(known, leaving=True))
                if not is_listed:
                    rig.view.directory.remove("e-1", rig.view.timers.now())
                endpoint.stop_listening()

            endpoint.script = answer_with("connection", end)
            with pytest.raises(ConnectionResetError):
                await call(rig)
        assert "request.broken" in [event for event, _ in lines]

    async def test_a_failure_of_a_killed_endpoint_is_not_complete(self):
        rig, _ = make_rig(Delivery.AT_MOST_ONCE)
        async with rig:
            endpoint = await rig.add_endpoint(None)
            endpoint.script = answer_with(
                "connection", endpoint.stop_listening, status=500
            )
            assert (await call(rig)).startswith(b"HTTP/1.1 502 ")

    async def test_another_coding_than_chunked_does_not_end_a_body(self):
        rig, _ = make_rig(Delivery.AT_MOST_ONCE)
        async with rig:
            endpoint = await rig.add_endpoint(None)
            endpoint.script = answer_with("coding", endpoint.stop_listening)
            assert (await call(rig)).startswith(b"HTTP/1.1 502 ")

    @pytest.mark.parametrize(
        "reachability", [Reachability.ACCEPTS, Reachability.SILENT]
    )
    @pytest.mark.parametrize("delivery", Delivery)
    async def test_a_body_is_complete_unless_a_connection_is_refused(
        self, reachability, delivery, monkeypatch
    ):
        rig, _ = make_rig(delivery, max_endpoints=2)

        async def probe(endpoint):
            return reachability

        async with rig:
            monkeypatch.setattr(rig.endpoint_client, "probe", probe)
            endpoint = await rig.add_endpoint(answer_with("connection"))
            await rig.add_endpoint(answer_with("connection"), "e-2")
            assert (await call(rig)).endswith(b"\r\n\r\n" + EVENTS)
        assert len(endpoint.requests) <= 1

    async def test_a_check_does_not_use_up_the_time_of_a_request(
        self, monkeypatch
    ):
        rig, lines = make_rig(Delivery.STREAM, resumable=False, timeout_s=0.5)

        async def probe(endpoint):
            await asyncio.sleep(5.0)

        async with rig:
            monkeypatch.setattr(rig.endpoint_client, "probe", probe)
            await rig.add_endpoint(answer_with("connection"))
            assert (await call(rig)).endswith(b"\r\n\r\n" + EVENTS)
        assert "request.answered" in [event for event, _ in lines]

    @pytest.mark.parametrize("framing", ["length", "last_chunk"])
    async def test_a_delimited_body_needs_no_check(self, framing):
        rig, lines = make_rig(Delivery.STREAM)
        async with rig:
            endpoint = await rig.add_endpoint(None)
            endpoint.script = answer_with(framing, endpoint.stop_listening)
            assert (await call(rig)).startswith(b"HTTP/1.1 200 ")
        assert "attempt.end_checked" not in [event for event, _ in lines]
