"""Tests of forwarded requests against scripted endpoints."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from guavalane_core.forwarding import Delivery, Organisation
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_route,
)
from guavalane_standins.gateway_rig import (
    NAMES,
    GatewayRig,
    echo_headers,
    open_raw,
)

ONCE = make_configuration(make_route(max_endpoints=2))
IDEMPOTENT = make_configuration(
    make_route(delivery=Delivery.IDEMPOTENT, max_endpoints=2)
)

RAW_REQUEST = (
    f"POST /a/x HTTP/1.1\r\nHost: app.example\r\n{NAMES.request_id}: q-1\r\n"
    "Content-Length: 0\r\n\r\n"
).encode()


def answer_with(status=200, body=b"done", **extra):
    """Returns a script that answers every request in the same way."""

    async def script(exchange):
        headers = {**echo_headers(exchange), **extra}
        await exchange.answer(status, headers, body)

    return script


async def reject(exchange):
    """Answers that the request was not run."""
    headers = {**echo_headers(exchange), NAMES.not_run: "1"}
    await exchange.answer(503, headers)


async def break_off(exchange):
    """Closes the connection without an answer."""
    await exchange.close()


class TestPassingOn:
    """Guards against requests and answers that change on the way."""

    async def test_request_and_answer_arrive_unchanged(self):
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(
                answer_with(201, b"whole", **{"X-Extra": "kept"})
            )
            async with rig.call(
                "/a/x%2Fy?q=1&q=%202", body=b"payload", method="PUT"
            ) as answer:
                assert answer.status == 201
                assert await answer.read() == b"whole"
                assert answer.headers["X-Extra"] == "kept"
                assert answer.headers[NAMES.proof] == "proof-1"
            (request,) = endpoint.requests
            assert request.line == "PUT /a/x%2Fy?q=1&q=%202 HTTP/1.1"
            assert request.body == b"payload"
            assert request.header("Host") == "app.example"
            assert request.header(NAMES.request_id) == "q-1"
            assert request.header(NAMES.expected_endpoint) == "e-1"

    async def test_a_chunked_body_arrives_whole(self):
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_with())

            async def pieces():
                yield b"one"
                yield b"two"

            async with rig.session.post(
                f"http://{rig.address}/a/x",
                data=pieces(),
                headers={"Host": "app.example", NAMES.request_id: "q-1"},
            ) as answer:
                assert answer.status == 200
            assert endpoint.requests[0].body == b"onetwo"

    async def test_the_key_stays_here_and_the_organisation_is_set(self):
        organisation = Organisation("org-1", frozenset({"secret"}))
        configuration = make_configuration(
            make_route(), organisations=(organisation,)
        )
        async with GatewayRig(configuration) as rig:
            endpoint = await rig.add_endpoint(answer_with())
            headers = {
                "Authorization": "Bearer secret",
                NAMES.organisation: "forged",
                NAMES.expected_endpoint: "forged",
                NAMES.urgency: "0",
            }
            async with rig.call(headers=headers) as answer:
                assert answer.status == 200
            (request,) = endpoint.requests
            assert request.header("Authorization") is None
            sent = [v for n, v in request.headers if n == NAMES.organisation]
            assert sent == ["org-1"]
            assert request.header(NAMES.expected_endpoint) == "e-1"
            assert request.header(NAMES.urgency) is None

    async def test_the_endpoint_gets_no_more_time_than_is_left(self):
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_with())
            headers = {NAMES.time_left_ms: "300"}
            async with rig.call(headers=headers) as answer:
                assert answer.status == 200
            left_ms = int(endpoint.requests[0].header(NAMES.time_left_ms))
            assert 200 <= left_ms <= 300


class TestRefusals:
    """Guards against requests that run though they may not."""

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [("/b/x", "good", 404), ("/a/x", "bad", 401), ("/a/x", None, 401)],
    )
    async def test_unknown_routes_and_keys(self, path, key, status):
        organisation = Organisation("org-1", frozenset({"good"}))
        configuration = make_configuration(
            make_route(), organisations=(organisation,)
        )
        async with GatewayRig(configuration) as rig:
            endpoint = await rig.add_endpoint(answer_with())
            headers = {"Authorization": f"Bearer {key}"} if key else {}
            async with rig.call(path, headers=headers) as answer:
                assert answer.status == status
                assert (await answer.json(content_type=None))["not_run"]
            assert endpoint.requests == []

    async def test_a_node_without_a_configuration_says_when_to_return(self):
        async with GatewayRig(None) as rig, rig.call() as answer:
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) > 0

    async def test_a_spent_allotment_is_told_with_a_time(self):
        organisation = Organisation(
            "org-1", frozenset({"k"}), rate_per_s=1.0, burst=1.0
        )
        configuration = make_configuration(
            make_route(), organisations=(organisation,)
        )
        async with GatewayRig(configuration) as rig:
            endpoint = await rig.add_endpoint(answer_with())
            headers = {"Authorization": "Bearer k"}
            statuses = []
            for i in range(3):
                async with rig.call(
                    headers=headers, request_id=f"q-{i}"
                ) as answer:
                    statuses.append(answer.status)
            assert statuses == [200, 429, 429]
            assert float(answer.headers["Retry-After"]) > 0
            assert len(endpoint.requests) == 1

    async def test_a_request_that_did_not_run_costs_no_allotment(self):
        organisation = Organisation(
            "org-1", frozenset({"k"}), rate_per_s=0.001, burst=1.0
        )
        configuration = make_configuration(
            make_route(), organisations=(organisation,)
        )
        async with GatewayRig(configuration) as rig:
            endpoint = await rig.add_endpoint(reject)
            headers = {"Authorization": "Bearer k"}
            async with rig.call(headers=headers) as answer:
                assert answer.status == 503
            endpoint.script = answer_with()
            async with rig.call(headers=headers, request_id="q-2") as answer:
                assert answer.status == 200


class TestAtMostOnce:
    """Guards against doubled certificates and slot claims."""

    async def test_a_broken_connection_is_not_repeated(self):
        async with GatewayRig(ONCE) as rig:
            one = await rig.add_endpoint(break_off, "e-1")
            two = await rig.add_endpoint(break_off, "e-2")
            async with rig.call() as answer:
                assert answer.status == 502
                assert not (await answer.json(content_type=None))["not_run"]
            assert len(one.requests) + len(two.requests) == 1

    async def test_a_rejected_request_goes_to_another_endpoint(self):
        async with GatewayRig(ONCE) as rig:
            one = await rig.add_endpoint(reject, "e-1")
            two = await rig.add_endpoint(answer_with(), "e-2")
            async with rig.call() as answer:
                assert answer.status == 200
            assert len(one.requests) == 1
            assert len(two.requests) == 1

    async def test_a_refused_connection_goes_to_another_endpoint(self):
        async with GatewayRig(ONCE) as rig:
            rig.add_dead_endpoint("e-0")
            endpoint = await rig.add_endpoint(answer_with(), "e-1")
            async with rig.call() as answer:
                assert answer.status == 200
            assert len(endpoint.requests) == 1

    async def test_a_503_that_may_have_run_is_not_passed_on(self):
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_with(503))
            async with rig.call() as answer:
                assert answer.status == 502
                assert NAMES.proof not in answer.headers
            assert len(endpoint.requests) == 1

    async def test_an_own_failure_of_the_endpoint_is_passed_on(self):
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_with(500, b"failed"))
            async with rig.call() as answer:
                assert answer.status == 500
                assert answer.headers[NAMES.proof] == "proof-1"
                assert await answer.read() == b"failed"
            assert len(endpoint.requests) == 1

    async def test_no_answer_in_time_is_reported_as_unknown(self):
        async def hang(exchange):
            await asyncio.sleep(5)

        configuration = make_configuration(make_route(timeout_s=0.2))
        async with GatewayRig(configuration) as rig:
            endpoint = await rig.add_endpoint(hang)
            began_s = rig.view.timers.now()
            async with rig.call() as answer:
                assert answer.status == 504
            assert rig.view.timers.now() - began_s < 0.7
            assert len(endpoint.requests) == 1


class TestFalseAnswers:
    """Guards against answers of another request, or parts of one."""

    async def test_an_answer_to_another_request_is_not_passed_on(self):
        async def answer_other(exchange):
            headers = {**echo_headers(exchange), NAMES.request_id: "q-other"}
            await exchange.answer(200, headers, b"wrong")

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(answer_other)
            async with rig.call() as answer:
                assert answer.status == 502

    async def test_a_rejection_of_another_request_says_nothing(self):
        """Taking it for this request's would run the request twice."""

        async def reject_other(exchange):
            headers = {
                NAMES.request_id: "q-other",
                NAMES.not_run: "1",
            }
            await exchange.answer(503, headers)

        async with GatewayRig(ONCE) as rig:
            one = await rig.add_endpoint(reject_other, "e-1")
            two = await rig.add_endpoint(reject_other, "e-2")
            async with rig.call() as answer:
                assert answer.status == 502
            assert len(one.requests) + len(two.requests) == 1

    async def test_an_answer_without_a_proof_is_not_passed_on(self):
        async def answer_bare(exchange):
            headers = {NAMES.request_id: "q-1"}
            await exchange.answer(200, headers, b"bare")

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(answer_bare)
            async with rig.call() as answer:
                assert answer.status == 502

    async def test_a_truncated_body_is_not_passed_on(self):
        async def truncate(exchange):
            lines = [b"HTTP/1.1 200 OK", b"Content-Length: 100"]
            for name, value in echo_headers(exchange).items():
                lines.append(f"{name}: {value}".encode())
            await exchange.send(b"\r\n".join(lines) + b"\r\n\r\nshort")
            await exchange.close()

        async with GatewayRig(IDEMPOTENT) as rig:
            one = await rig.add_endpoint(truncate, "e-1")
            two = await rig.add_endpoint(answer_with(), "e-2")
            async with rig.call() as answer:
                assert answer.status == 200
                assert await answer.read() == b"done"
            assert len(one.requests) == 1
            assert len(two.requests) == 1

    @pytest.mark.parametrize("is_reset", [False, True])
    async def test_a_body_without_a_length(self, is_reset):
        async def answer_unframed(exchange):
            lines = [b"HTTP/1.1 200 OK"]
            for name, value in echo_headers(exchange).items():
                lines.append(f"{name}: {value}".encode())
            await exchange.send(b"\r\n".join(lines) + b"\r\n\r\nbody")
            await asyncio.sleep(0.05)
            await (exchange.reset() if is_reset else exchange.close())

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(answer_unframed)
            async with rig.call() as answer:
                assert answer.status == (502 if is_reset else 200)
                if not is_reset:
                    # The node cannot vouch that the body is whole.
                    assert "Content-Length" not in answer.headers
                    assert "Transfer-Encoding" not in answer.headers
                    assert await answer.read() == b"body"

    @pytest.mark.parametrize("delay_s", [0.0, 0.1])
    async def test_bytes_after_an_answer_belong_to_no_request(self, delay_s):
        async def answer_twice(exchange):
            headers = echo_headers(exchange)
            await exchange.answer(200, headers, b"first")
            await asyncio.sleep(delay_s)
            await exchange.answer(200, headers, b"second")

        async with GatewayRig(IDEMPOTENT) as rig:
            endpoint = await rig.add_endpoint(answer_twice)
            for i in range(4):
                async with rig.call(request_id=f"q-{i}") as answer:
                    assert answer.status == 200
                    assert await answer.read() == b"first"
                await asyncio.sleep(0.2)
            assert len(endpoint.requests) == 4

    async def test_bytes_that_are_no_answer(self):
        async def send_noise(exchange):
            await exchange.send(b"\x00\x01noise\r\n\r\n")

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(send_noise)
            async with rig.call() as answer:
                assert answer.status == 502

    async def test_an_early_answer_ends_the_connection(self):
        """An endpoint that answers early reads the rest of the body later."""
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_with())
            body = b"x" * 200_000
            for i in range(3):
                async with rig.call(body=body, request_id=f"q-{i}") as answer:
                    assert answer.status == 200
            assert [len(r.body) for r in endpoint.requests] == [200_000] * 3


class TestIdempotent:
    """Guards against look-ups that fail though another endpoint works."""

    async def test_a_broken_attempt_is_repeated(self):
        async with GatewayRig(IDEMPOTENT) as rig:
            await rig.add_endpoint(break_off, "e-1")
            await rig.add_endpoint(answer_with(), "e-2")
            async with rig.call(method="GET") as answer:
                assert answer.status == 200

    async def test_no_more_endpoints_run_it_than_the_route_allows(self):
        async with GatewayRig(IDEMPOTENT) as rig:
            endpoints = [
                await rig.add_endpoint(answer_with(500), f"e-{i}")
                for i in range(4)
            ]
            async with rig.call(method="GET") as answer:
                assert answer.status == 500
            assert sum(len(e.requests) for e in endpoints) == 2


class TestLeavingCaller:
    """Guards against endpoints that work for nobody."""

    async def test_the_attempt_ends_when_the_caller_leaves(self):
        started = asyncio.Event()
        ended = asyncio.Event()

        async def wait(exchange):
            started.set()
            await exchange.wait_closed_by_peer()
            ended.set()

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(wait)
            task = asyncio.create_task(_ignore_answer(rig))
            await started.wait()
            task.cancel()
            await asyncio.wait_for(ended.wait(), 0.5)


async def _ignore_answer(rig):
    async with rig.call() as answer:
        await answer.read()


class TestConnections:
    """Guards against too many channels at an endpoint."""

    async def test_idle_connections_are_used_again(self):
        async with GatewayRig(IDEMPOTENT) as rig:
            endpoint = await rig.add_endpoint(answer_with())
            for i in range(5):
                async with rig.call(request_id=f"q-{i}") as answer:
                    assert answer.status == 200
            assert endpoint.connections == 1

    async def test_a_node_keeps_to_its_part_of_the_connections(self):
        async def slow(exchange):
            await asyncio.sleep(0.3)
            await exchange.answer(200, echo_headers(exchange), b"done")

        configuration = make_configuration(make_route(), max_connections=4)
        async with GatewayRig(configuration) as rig:
            rig.view.peers["n2"] = "127.0.0.1:1"
            endpoint = await rig.add_endpoint(slow)

            async def call(i):
                async with rig.call(request_id=f"q-{i}") as answer:
                    return answer.status

            statuses = await asyncio.gather(*(call(i) for i in range(6)))
            assert sorted(statuses) == [200, 200, 503, 503, 503, 503]
            assert endpoint.connections == 2

    async def test_a_closed_listener_refuses(self):
        async with GatewayRig(ONCE) as rig:
            await rig.listener.drain(0.1)
            with pytest.raises(aiohttp.ClientConnectorError):
                async with rig.call():
                    pass

    async def test_idle_connections_close_at_a_stop(self):
        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(answer_with())
            reader, writer = await open_raw(rig)
            rig.listener.close_after_responses()
            stopping = asyncio.create_task(rig.listener.drain(2.0))
            assert await asyncio.wait_for(reader.read(), 0.5) == b""
            writer.close()
            await asyncio.wait_for(stopping, 0.5)

    async def test_a_request_under_way_is_answered_at_a_stop(self):
        async def slow(exchange):
            await asyncio.sleep(0.3)
            await exchange.answer(200, echo_headers(exchange), b"done")

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(slow)

            async def call():
                async with rig.call() as answer:
                    return answer.status, await answer.read()

            task = asyncio.create_task(call())
            await asyncio.sleep(0.1)
            rig.listener.close_after_responses()
            await asyncio.wait_for(rig.listener.drain(2.0), 1.0)
            assert await task == (200, b"done")

    async def test_a_request_that_has_just_come_is_answered_at_a_stop(self):
        """The stop falls between the reading of a request and its handler."""
        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(answer_with())
            reader, writer = await open_raw(rig)
            await asyncio.sleep(0.05)
            (connection,) = rig.listener.connections
            connection.data_received(RAW_REQUEST)
            await asyncio.wait_for(rig.listener.drain(2.0), 1.0)
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            writer.close()

    async def test_a_slow_request_that_has_just_come_is_answered_at_a_stop(
        self,
    ):
        """Guards against a stop that waits for started handlers only."""

        async def slow(exchange):
            await asyncio.sleep(0.5)
            await exchange.answer(200, echo_headers(exchange), b"done")

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(slow)
            reader, writer = await open_raw(rig)
            await asyncio.sleep(0.05)
            (connection,) = rig.listener.connections
            rig.listener.close_after_responses()
            connection.data_received(RAW_REQUEST)
            await asyncio.wait_for(rig.listener.drain(2.0), 1.5)
            assert (await reader.read()).endswith(b"done")
            writer.close()

    async def test_a_request_whose_header_is_half_read_is_answered_at_a_stop(
        self,
    ):
        """Guards against a stop that cuts a request that is being sent."""
        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(answer_with())
            reader, writer = await open_raw(rig)
            writer.write(RAW_REQUEST[:40])
            await asyncio.sleep(0.1)
            rig.listener.close_after_responses()
            stopping = asyncio.create_task(rig.listener.drain(2.0))
            await asyncio.sleep(0.4)
            writer.write(RAW_REQUEST[40:])
            await asyncio.wait_for(stopping, 1.0)
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            writer.close()

    async def test_a_caller_who_leaves_half_a_header_delays_no_stop(self):
        """Guards against waiting for a connection that is gone."""
        async with GatewayRig(ONCE) as rig:
            _, writer = await open_raw(rig)
            writer.write(RAW_REQUEST[:40])
            await asyncio.sleep(0.1)
            assert rig.listener.active == 1
            writer.close()
            await asyncio.wait_for(rig.listener.drain(5.0), 1.0)
            assert rig.listener.active == 0
