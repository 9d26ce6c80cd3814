"""Tests of responses that endpoints send more than once."""

from __future__ import annotations

import asyncio

import pytest

from guavalane_core.forwarding import Delivery
from guavalane_entry import http_connection
from guavalane_entry.http_connection import (
    MAX_SKIPPED_BODY_BYTES,
    MAX_SKIPPED_COPIES,
)
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_endpoint,
    make_route,
)
from guavalane_standins.gateway_rig import NAMES, GatewayRig, echo_headers

ONCE = make_configuration(make_route(max_endpoints=2))


async def run(exchange):
    """Responds with success."""
    await exchange.answer(200, echo_headers(exchange), b"done")


class TestCopiedResponses:
    """Guards against a copy that is taken for the response to a request."""

    async def test_a_repeated_refusal_is_not_taken_for_a_new_one(self):
        """Guards against `not run` for a request that the endpoint runs."""

        async def repeat_refusal(exchange):
            number = len(endpoint.requests)
            if number == 1:
                refusal = {**echo_headers(exchange), NAMES.not_run: "1"}
                await exchange.answer(503, refusal)
            else:
                await exchange.answer(503, {NAMES.not_run: "1"})
                await exchange.answer(200, echo_headers(exchange), b"ran")

        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(repeat_refusal)
            async with rig.call(request_id="q-1") as answer:
                assert answer.status == 503
            async with rig.call(request_id="q-2") as answer:
                assert answer.status == 502
            first, second = endpoint.requests
            assert first.connection == second.connection

    @pytest.mark.parametrize("copies", [1, MAX_SKIPPED_COPIES])
    async def test_a_late_response_does_not_break_the_next_request(
        self, copies
    ):
        """Guards against a request that ends while its endpoint runs it."""

        async def answer_late(exchange):
            if len(endpoint.requests) == 2:
                stale = {**echo_headers(exchange), NAMES.request_id: "q-1"}
                for _ in range(copies):
                    await exchange.answer(503, {**stale, NAMES.not_run: "1"})
                await asyncio.sleep(0.2)
            await exchange.answer(200, echo_headers(exchange), b"own")

        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_late)
            for number in range(1, 5):
                async with rig.call(request_id=f"q-{number}") as answer:
                    assert answer.status == 200
                    assert await answer.read() == b"own"
            assert len(endpoint.requests) == 4

    @pytest.mark.parametrize(
        ("copies", "body"),
        [
            (MAX_SKIPPED_COPIES + 1, b"old"),
            (1, b"x" * (MAX_SKIPPED_BODY_BYTES + 1)),
        ],
    )
    async def test_responses_to_others_do_not_go_on_without_end(
        self, copies, body
    ):
        async def answer_endlessly(exchange):
            if len(endpoint.requests) == 1:
                await exchange.answer(200, echo_headers(exchange))
                return
            stale = {**echo_headers(exchange), NAMES.request_id: "q-1"}
            for _ in range(copies):
                await exchange.answer(200, stale, body)
            await exchange.wait_closed_by_peer()

        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_endlessly)
            async with rig.call(request_id="q-1") as answer:
                assert answer.status == 200
            async with rig.call(request_id="q-2") as answer:
                assert answer.status == 502

    async def test_a_stream_does_not_move_on_a_late_response(self):
        """Guards against a stream that runs at two endpoints."""

        async def stream(exchange):
            if len(endpoint.requests) == 2:
                stale = {**echo_headers(exchange), NAMES.request_id: "q-1"}
                await exchange.answer(200, stale, b"id: 9\ndata: old\n\n")
            await asyncio.sleep(0.1)
            await exchange.answer(
                200, echo_headers(exchange), b"id: 1\ndata: own\n\n"
            )

        route = make_route(
            delivery=Delivery.STREAM, resumable=True, max_endpoints=2
        )
        async with GatewayRig(make_configuration(route)) as rig:
            endpoint = await rig.add_endpoint(stream)
            async with rig.call(request_id="q-1") as answer:
                await answer.read()
            other = await rig.add_endpoint(stream, "e-2")
            rig.view.work.start("e-2", 10**6)
            async with rig.call(request_id="q-2") as answer:
                assert b"own" in await answer.read()
            assert len(endpoint.requests) == 2
            assert other.requests == []

    @pytest.mark.parametrize("status", [421, 503])
    @pytest.mark.parametrize("parts", [1, 3])
    @pytest.mark.parametrize("copies", [1, 2])
    async def test_a_request_is_not_refused_by_the_copy_of_its_refusal(
        self, status, parts, copies
    ):
        """Guards against `not run` for what a restarted endpoint runs."""

        async def refuse_then_run(exchange):
            refusal = {**echo_headers(exchange), NAMES.not_run: "1"}
            del refusal[NAMES.proof]
            if exchange.request.header(NAMES.expected_endpoint) == "e-1":
                await exchange.answer(status, refusal, b"refused")
                # The endpoint has restarted under its address.
                directory = rig.view.directory
                directory.put(make_endpoint("e-2", address=endpoint.address))
                directory.remove("e-1", rig.view.timers.now())
                return
            if exchange.request.connection == 0:
                for _ in range(copies):
                    await exchange.answer(
                        status, refusal, b"refused", parts=parts
                    )
            await asyncio.sleep(0.1)
            await exchange.answer(200, echo_headers(exchange), b"ran")

        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(refuse_then_run)
            async with rig.call() as answer:
                assert answer.status == 200
                assert await answer.read() == b"ran"
            async with rig.call(request_id="q-2") as answer:
                assert answer.status == 200
            assert [r.header(NAMES.request_id) for r in endpoint.requests] == [
                "q-1",
                "q-1",
                "q-2",
            ]

    async def test_a_caller_that_reuses_an_id_gets_no_copy_of_a_refusal(self):
        async def refuse_first(exchange):
            refusal = {**echo_headers(exchange), NAMES.not_run: "1"}
            if len(endpoint.requests) == 1:
                await exchange.answer(503, refusal)
                return
            if exchange.request.connection == 0:
                await exchange.answer(503, refusal)
            await asyncio.sleep(0.1)
            await exchange.answer(200, echo_headers(exchange), b"ran")

        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(refuse_first)
            statuses = []
            for _ in range(2):
                async with rig.call() as answer:
                    statuses.append(answer.status)
            assert statuses == [503, 200]

    async def test_a_connection_remembers_a_limited_number_of_requests(
        self, monkeypatch
    ):
        """Guards against memory that grows with the age of a connection."""
        monkeypatch.setattr(http_connection, "MAX_IDENTIFIED_REQUESTS", 2)
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(run)
            for number in range(5):
                async with rig.call(request_id=f"q-{number}") as answer:
                    assert answer.status == 200
            used = [request.connection for request in endpoint.requests]
            assert used == [0, 0, 1, 1, 2]
