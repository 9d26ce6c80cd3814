"""Tests of stream forwarding with scripted endpoints."""

from __future__ import annotations

import asyncio

import aiohttp
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
    echo_headers,
    send_request,
)

ENGINE = Engine(slots=4, kv_tokens=100_000)


def configuration(*, resumable, patience_s=0.0):
    """Returns a configuration with one streaming route."""
    route = make_route(
        patience_s=patience_s,
        delivery=Delivery.STREAM,
        resumable=resumable,
        max_endpoints=2,
        timeout_s=5.0,
        max_gap_s=0.1,
    )
    return make_configuration(route, engine=ENGINE)


def event(number):
    """Returns the encoding of one event."""
    return f"id: {number}\ndata: token-{number}\n\n".encode()


async def send_stream_header(exchange):
    """Sends the response header of a chunked stream."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines.append("Transfer-Encoding: chunked")
    lines += [f"{k}: {v}" for k, v in echo_headers(exchange).items()]
    await exchange.send("\r\n".join(lines).encode() + b"\r\n\r\n")


async def send_chunk(exchange, data):
    """Sends one chunk."""
    await exchange.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")


async def slow_stream(exchange):
    """Sends two events with a gap longer than the route allows."""
    await send_stream_header(exchange)
    await send_chunk(exchange, event(1))
    await asyncio.sleep(1.6)
    await send_chunk(exchange, event(2))
    await exchange.send(b"0\r\n\r\n")


def stream(first, last, *, complete=True, cut_within_event=False):
    """Returns a script that sends events.

    Args:
      first: Number of the first event.
      last: Number of the last event.
      complete: Whether the stream is terminated properly.
      cut_within_event: Whether it breaks within one more event.
    """

    async def script(exchange):
        await send_stream_header(exchange)
        for number in range(first, last + 1):
            await send_chunk(exchange, event(number))
            await asyncio.sleep(0.005)
        if cut_within_event:
            await send_chunk(exchange, event(last + 1)[:9])
        if complete:
            await exchange.send(b"0\r\n\r\n")
        else:
            await exchange.close()

    return script


def use_up_retries(view):
    """Uses all retries of the service that a node may make."""
    budget = view.retries("app")
    now_s = view.timers.now()
    while budget.may_spend(now_s, view.sharing_nodes):
        budget.spend(now_s)


class TestStreams:
    """Guards against lost, duplicated or merged events."""

    async def test_events_are_forwarded_in_order_and_immediately(self):
        may_continue = asyncio.Event()

        async def script(exchange):
            await send_stream_header(exchange)
            await send_chunk(exchange, event(1))
            await may_continue.wait()
            await send_chunk(exchange, event(2))
            await exchange.send(b"0\r\n\r\n")

        async with GatewayRig(configuration(resumable=False)) as rig:
            await rig.add_endpoint(script)
            async with rig.call(headers=STREAM_HEADERS) as answer:
                assert answer.status == 200
                assert await answer.content.readany() == event(1)
                may_continue.set()
                assert await answer.read() == event(2)

    async def test_a_broken_stream_is_reported_as_incomplete(self):
        script = stream(1, 3, complete=False, cut_within_event=True)
        async with GatewayRig(configuration(resumable=False)) as rig:
            endpoint = await rig.add_endpoint(script)
            await rig.add_endpoint(script, "e-2")
            received = b""
            with pytest.raises(aiohttp.ClientPayloadError):
                async with rig.call(headers=STREAM_HEADERS) as answer:
                    async for data in answer.content.iter_any():
                        received += data
            assert received == event(1) + event(2) + event(3)
            assert len(endpoint.requests) <= 1

    @pytest.mark.parametrize("cut_within_event", [False, True])
    async def test_another_endpoint_continues_the_same_response(
        self, cut_within_event
    ):
        async with GatewayRig(configuration(resumable=True)) as rig:
            scripts = [
                stream(1, 3, complete=False, cut_within_event=cut_within_event),
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

    async def test_a_stalled_stream_is_continued_elsewhere(self):
        closed = asyncio.Event()

        async def stall(exchange):
            await send_stream_header(exchange)
            await send_chunk(exchange, event(1))
            await exchange.wait_closed_by_peer()
            closed.set()

        async with GatewayRig(configuration(resumable=True)) as rig:
            scripts = [stall, stream(2, 3)]
            seen = []

            async def script(exchange):
                seen.append(exchange)
                if len(seen) == 2:
                    # The previous attempt must be cancelled before this one
                    # starts.
                    await asyncio.wait_for(closed.wait(), 0.3)
                await scripts[len(seen) - 1](exchange)

            await rig.add_endpoint(script, "e-1")
            await rig.add_endpoint(script, "e-2")
            async with rig.call(headers=STREAM_HEADERS) as answer:
                body = await answer.read()
            assert body == event(1) + event(2) + event(3)

    @pytest.mark.parametrize(
        "trickle", [b"d", b":\n\n", b": keep-alive\n\n", b"data: half"]
    )
    async def test_a_stream_that_trickles_is_continued_elsewhere(self, trickle):
        """Guards against a stalled stream that bytes without events keep."""

        async def stall(exchange):
            await send_stream_header(exchange)
            await send_chunk(exchange, event(1))
            while True:
                await asyncio.sleep(0.2)
                await send_chunk(exchange, trickle)

        body = await self.call_scripts(stall, stream(2, 3))
        # Comments are forwarded, incomplete events are not.
        if trickle.startswith(b":"):
            body = body.replace(trickle, b"")
        assert body == event(1) + event(2) + event(3)

    async def test_a_slow_stream_keeps_the_pace_of_its_endpoint(self):
        """Guards against a sound stream that is cut as stalled."""
        body = await self.call_scripts(
            slow_stream, stream(7, 8), longest_gap_s=1.3
        )
        assert body == event(1) + event(2)

    async def test_a_stream_is_kept_if_no_other_could_end_it_in_time(self):
        """Guards against a continuation that breaks at the time limit."""
        body = await self.call_scripts(
            slow_stream, stream(7, 8), duration_s=10.0
        )
        assert body == event(1) + event(2)

    async def test_a_silent_endpoint_that_can_be_reached_gets_time(self):
        """Guards against a preempted stream that runs at two endpoints."""
        body = await self.call_scripts(
            slow_stream, stream(7, 8), patience_s=4.0
        )
        assert body == event(1) + event(2)

    async def test_the_time_of_a_silent_endpoint_is_limited(self):
        """Guards against a stalled stream that callers abandon first."""

        async def stall(exchange):
            await send_stream_header(exchange)
            await send_chunk(exchange, event(1))
            await exchange.wait_closed_by_peer()

        body = await self.call_scripts(stall, stream(2, 3), patience_s=2.0)
        assert body == event(1) + event(2) + event(3)

    async def test_an_endpoint_that_cannot_be_reached_gets_none(self):
        """Guards against callers that wait for a machine that is gone."""
        began_s = asyncio.get_running_loop().time()

        async def stall(exchange):
            await send_stream_header(exchange)
            await send_chunk(exchange, event(1))
            await exchange.wait_closed_by_peer()

        body = await self.call_scripts(
            stall,
            stream(2, 3),
            patience_s=20.0,
            hold_back=lambda view, endpoint, other: endpoint.stop_listening(),
        )
        assert body == event(1) + event(2) + event(3)
        assert asyncio.get_running_loop().time() - began_s < 10.0

    @pytest.mark.parametrize(
        "hold_back",
        [
            lambda view, endpoint, other: view.stop_deadline.begin(2.2),
            lambda view, endpoint, other: view.directory.remove(other, 0.0),
            lambda view, endpoint, other: use_up_retries(view),
        ],
        ids=["stop", "endpoint", "budget"],
    )
    async def test_a_stream_is_kept_that_no_other_endpoint_would_get(
        self, hold_back
    ):
        """Guards against a sound stream that is broken off for nothing."""
        body = await self.call_scripts(
            slow_stream, stream(7, 8), duration_s=1.5, hold_back=hold_back
        )
        assert body == event(1) + event(2)

    async def call_scripts(
        self,
        *scripts,
        longest_gap_s=0.0,
        duration_s=None,
        patience_s=0.0,
        hold_back=lambda view, endpoint, other: None,
    ):
        """Returns the body of a stream whose attempts run scripts in order.

        Args:
          *scripts: Scripts of the attempts.
          longest_gap_s: Recent gap between events of each endpoint.
          duration_s: Measured duration of the route; None without one.
          patience_s: Time after which callers abandon a stream, in seconds.
          hold_back: Called as the first attempt begins, with the view of the
            node, the endpoint, and the name of the other one.
        """
        configured = configuration(resumable=True, patience_s=patience_s)
        async with GatewayRig(configured) as rig:
            left = list(scripts)
            endpoints = {}

            async def script(exchange):
                if len(left) == len(scripts):
                    name = exchange.request.header(NAMES.expected_endpoint)
                    other = next(e for e in endpoints if e != name)
                    hold_back(rig.view, endpoints[name], other)
                await left.pop(0)(exchange)

            for name in ("e-1", "e-2"):
                endpoints[name] = await rig.add_endpoint(script, name)
                now_s = rig.view.timers.now()
                rig.view.event_gaps.record(name, longest_gap_s, now_s)
            if duration_s is not None:
                rig.view.durations.record("r-1", duration_s)
            async with rig.call(headers=STREAM_HEADERS) as answer:
                return await answer.read()

    async def test_the_position_of_the_caller_is_forwarded(self):
        async with GatewayRig(configuration(resumable=True)) as rig:
            endpoint = await rig.add_endpoint(stream(5, 6))
            headers = {**STREAM_HEADERS, NAMES.resume_after: "4"}
            async with rig.call(headers=headers) as answer:
                assert await answer.read() == event(5) + event(6)
            assert endpoint.requests[0].header(NAMES.resume_after) == "4"

    async def test_a_stream_that_breaks_before_events_is_not_retried(self):
        async def close_early(exchange):
            await send_stream_header(exchange)
            await exchange.close()

        async with GatewayRig(configuration(resumable=False)) as rig:
            one = await rig.add_endpoint(close_early, "e-1")
            two = await rig.add_endpoint(close_early, "e-2")
            async with rig.call(headers=STREAM_HEADERS) as answer:
                assert answer.status == 502
            assert len(one.requests) + len(two.requests) == 1

    async def test_the_engine_receives_the_urgency(self):
        async with GatewayRig(configuration(resumable=False)) as rig:
            endpoint = await rig.add_endpoint(stream(1, 1))
            async with rig.call(headers=STREAM_HEADERS) as answer:
                await answer.read()
            assert endpoint.requests[0].header(NAMES.urgency) == "1"

    async def test_prompts_with_a_common_prefix_share_an_endpoint(self):
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


def answer_error(status, body):
    """Returns a script that answers with an error of the endpoint."""

    async def script(exchange):
        await exchange.answer(status, echo_headers(exchange), body)

    return script


class TestErrorsOnStreamRoutes:
    """Guards against an error of an endpoint that looks like a stream."""

    @pytest.mark.parametrize(
        ("status", "body"),
        [
            (400, b'{"error": "bad"}'),
            (400, b"id: 9\ndata: bad\n\n"),
            (404, b""),
            (302, b""),
        ],
    )
    async def test_an_error_after_the_beginning_breaks_the_stream_off(
        self, status, body
    ):
        async with GatewayRig(configuration(resumable=True)) as rig:
            scripts = [
                stream(1, 2, complete=False),
                answer_error(status, body),
            ]
            calls = []

            async def script(exchange):
                calls.append(exchange)
                await scripts[len(calls) - 1](exchange)

            await rig.add_endpoint(script, "e-1")
            await rig.add_endpoint(script, "e-2")
            received = b""
            with pytest.raises(aiohttp.ClientPayloadError):
                async with rig.call(headers=STREAM_HEADERS) as answer:
                    async for data in answer.content.iter_any():
                        received += data
            assert received == event(1) + event(2)
            assert len(calls) == 2

    async def test_an_error_before_the_beginning_is_forwarded(self):
        async with GatewayRig(configuration(resumable=False)) as rig:
            await rig.add_endpoint(answer_error(400, b'{"error": "bad"}'))
            async with rig.call(headers=STREAM_HEADERS) as answer:
                assert answer.status == 400
                assert await answer.read() == b'{"error": "bad"}'

    async def test_an_error_is_no_success_of_the_prompt(self):
        """Guards against a crashing part that counts as served."""
        async with GatewayRig(configuration(resumable=False)) as rig:
            await rig.add_endpoint(answer_error(400, b""))
            async with rig.call(headers=STREAM_HEADERS):
                pass
            evidence = rig.view.quarantines.evidence
            assert evidence.last_success_s("a") < 0


class TestUnframedStreams:
    """Guards against a stream without a length that breaks off unseen."""

    def make_script(self, data, *, is_reset):
        """Returns a script that sends data without a length."""

        async def script(exchange):
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            lines += [f"{k}: {v}" for k, v in echo_headers(exchange).items()]
            await exchange.send("\r\n".join(lines).encode() + b"\r\n\r\n")
            await exchange.send(data)
            await asyncio.sleep(0.1)
            await (exchange.reset() if is_reset else exchange.close())

        return script

    async def read(self, rig):
        """Sends a request and returns the response body.

        Raises:
          ConnectionResetError: The connection was reset.
        """
        reader, writer = await send_request(rig, STREAM_HEADERS)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Transfer-Encoding" not in head
            return await reader.read()
        finally:
            writer.close()

    async def test_a_whole_stream_is_forwarded(self):
        data = event(1) + event(2)
        async with GatewayRig(configuration(resumable=False)) as rig:
            await rig.add_endpoint(self.make_script(data, is_reset=False))
            assert await self.read(rig) == data

    @pytest.mark.parametrize(
        ("data", "is_reset"),
        [
            (event(1) + event(2), True),
            (event(1) + event(2)[:9], False),
        ],
    )
    async def test_a_stream_that_breaks_off_ends_with_a_reset(
        self, data, is_reset
    ):
        async with GatewayRig(configuration(resumable=False)) as rig:
            await rig.add_endpoint(self.make_script(data, is_reset=is_reset))
            with pytest.raises(ConnectionResetError):
                await self.read(rig)

    async def test_a_stream_cut_by_a_stop_ends_with_a_reset(self):
        async def send_and_wait(exchange):
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            lines += [f"{k}: {v}" for k, v in echo_headers(exchange).items()]
            await exchange.send("\r\n".join(lines).encode() + b"\r\n\r\n")
            await exchange.send(event(1))
            await exchange.wait_closed_by_peer()

        async with GatewayRig(configuration(resumable=False)) as rig:
            await rig.add_endpoint(send_and_wait)
            reading = asyncio.create_task(self.read(rig))
            await asyncio.sleep(0.2)
            await rig.listener.drain(0.1)
            with pytest.raises(ConnectionResetError):
                await reading
