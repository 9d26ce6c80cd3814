"""Tests of forwarded streams against scripted endpoints."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from guavalane_core.forwarding import Delivery, Engine
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_route,
)
from guavalane_standins.gateway_rig import NAMES, GatewayRig, echo_headers

ENGINE = Engine(slots=4, kv_tokens=100_000)
STREAM_HEADERS = {
    NAMES.model: "m",
    NAMES.token_counts: "1000,50",
    NAMES.prompt_parts: "a:250,b:500,c:250",
}


def configuration(*, resumable):
    """Returns a configuration with one route of streams."""
    route = make_route(
        delivery=Delivery.STREAM,
        resumable=resumable,
        max_endpoints=2,
        timeout_s=5.0,
        max_gap_s=0.1,
    )
    return make_configuration(route, engine=ENGINE)


def event(number):
    """Returns the bytes of one event."""
    return f"id: {number}\ndata: token-{number}\n\n".encode()


async def begin(exchange):
    """Sends the header of a chunked stream."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines.append("Transfer-Encoding: chunked")
    lines += [f"{k}: {v}" for k, v in echo_headers(exchange).items()]
    await exchange.send("\r\n".join(lines).encode() + b"\r\n\r\n")


async def send_chunk(exchange, data):
    """Sends one chunk."""
    await exchange.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def stream(first, last, *, complete=True, cut_in=False):
    """Returns a script that sends events.

    Args:
      first: Number of the first event.
      last: Number of the last event.
      complete: Whether the stream ends properly.
      cut_in: Whether it breaks in the middle of a further event.
    """

    async def script(exchange):
        await begin(exchange)
        for number in range(first, last + 1):
            await send_chunk(exchange, event(number))
            await asyncio.sleep(0.005)
        if cut_in:
            await send_chunk(exchange, event(last + 1)[:9])
        if complete:
            await exchange.send(b"0\r\n\r\n")
        else:
            await exchange.close()

    return script


class TestStreams:
    """Guards against events that are lost, doubled or joined."""

    async def test_events_arrive_in_order_and_as_they_come(self):
        go_on = asyncio.Event()

        async def script(exchange):
            await begin(exchange)
            await send_chunk(exchange, event(1))
            await go_on.wait()
            await send_chunk(exchange, event(2))
            await exchange.send(b"0\r\n\r\n")

        async with GatewayRig(configuration(resumable=False)) as rig:
            await rig.add_endpoint(script)
            async with rig.call(headers=STREAM_HEADERS) as answer:
                assert answer.status == 200
                assert await answer.content.readany() == event(1)
                go_on.set()
                assert await answer.read() == event(2)

    async def test_a_broken_stream_does_not_look_complete(self):
        script = stream(1, 3, complete=False, cut_in=True)
        async with GatewayRig(configuration(resumable=False)) as rig:
            endpoint = await rig.add_endpoint(script)
            await rig.add_endpoint(script, "e-2")
            got = b""
            with pytest.raises(aiohttp.ClientPayloadError):
                async with rig.call(headers=STREAM_HEADERS) as answer:
                    async for data in answer.content.iter_any():
                        got += data
            assert got == event(1) + event(2) + event(3)
            assert len(endpoint.requests) <= 1

    @pytest.mark.parametrize("cut_in", [False, True])
    async def test_another_endpoint_continues_within_one_answer(self, cut_in):
        async with GatewayRig(configuration(resumable=True)) as rig:
            scripts = [
                stream(1, 3, complete=False, cut_in=cut_in),
                stream(4, 6),
            ]
            seen = []

            async def script(exchange):
                seen.append(exchange.request)
                await scripts[len(seen) - 1](exchange)

            await rig.add_endpoint(script, "e-1")
            await rig.add_endpoint(script, "e-2")
            async with rig.call(headers=STREAM_HEADERS) as answer:
                body = await answer.read()
            assert body == b"".join(event(n) for n in range(1, 7))
            assert seen[0].header(NAMES.resume_after) is None
            assert seen[1].header(NAMES.resume_after) == "3"
            assert seen[0].header(NAMES.expected_endpoint) != seen[1].header(
                NAMES.expected_endpoint
            )

    async def test_a_silent_stream_is_continued_elsewhere(self):
        closed = asyncio.Event()

        async def fall_silent(exchange):
            await begin(exchange)
            await send_chunk(exchange, event(1))
            await exchange.wait_closed_by_peer()
            closed.set()

        async with GatewayRig(configuration(resumable=True)) as rig:
            scripts = [fall_silent, stream(2, 3)]
            seen = []

            async def script(exchange):
                seen.append(exchange)
                if len(seen) == 2:
                    # The attempt before has ended when this one begins.
                    await asyncio.wait_for(closed.wait(), 0.3)
                await scripts[len(seen) - 1](exchange)

            await rig.add_endpoint(script, "e-1")
            await rig.add_endpoint(script, "e-2")
            async with rig.call(headers=STREAM_HEADERS) as answer:
                body = await answer.read()
            assert body == event(1) + event(2) + event(3)

    async def test_the_callers_own_position_is_passed_on(self):
        async with GatewayRig(configuration(resumable=True)) as rig:
            endpoint = await rig.add_endpoint(stream(5, 6))
            headers = {**STREAM_HEADERS, NAMES.resume_after: "4"}
            async with rig.call(headers=headers) as answer:
                assert await answer.read() == event(5) + event(6)
            assert endpoint.requests[0].header(NAMES.resume_after) == "4"

    async def test_a_stream_that_never_began_is_not_repeated(self):
        async def break_off(exchange):
            await begin(exchange)
            await exchange.close()

        async with GatewayRig(configuration(resumable=False)) as rig:
            one = await rig.add_endpoint(break_off, "e-1")
            two = await rig.add_endpoint(break_off, "e-2")
            async with rig.call(headers=STREAM_HEADERS) as answer:
                assert answer.status == 502
            assert len(one.requests) + len(two.requests) == 1

    async def test_the_engine_is_told_the_urgency(self):
        async with GatewayRig(configuration(resumable=False)) as rig:
            endpoint = await rig.add_endpoint(stream(1, 1))
            async with rig.call(headers=STREAM_HEADERS) as answer:
                await answer.read()
            assert endpoint.requests[0].header(NAMES.urgency) == "1"

    async def test_prompts_with_a_common_part_share_an_endpoint(self):
        async with GatewayRig(configuration(resumable=False)) as rig:
            endpoints = [
                await rig.add_endpoint(stream(1, 1), f"e-{i}") for i in range(4)
            ]
            for i in range(6):
                headers = {
                    **STREAM_HEADERS,
                    NAMES.token_counts: "10000,50",
                    NAMES.prompt_parts: f"a:2500,b:5000,own-{i}:2500",
                }
                async with rig.call(
                    headers=headers, request_id=f"q-{i}"
                ) as answer:
                    await answer.read()
            assert sorted(len(e.requests) for e in endpoints) == [0, 0, 0, 6]
