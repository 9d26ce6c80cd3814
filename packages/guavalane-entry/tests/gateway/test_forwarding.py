"""Tests of request forwarding with scripted endpoints."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from guavalane_core.forwarding import Delivery, Organisation
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_endpoint,
    make_route,
)
from guavalane_standins.gateway_rig import (
    NAMES,
    GatewayRig,
    echo_headers,
    open_connection_to,
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
    """Returns a script that sends the same response to every request."""

    async def script(exchange):
        headers = {**echo_headers(exchange), **extra}
        await exchange.answer(status, headers, body)

    return script


async def reject(exchange):
    """Responds that the request was not run."""
    headers = {**echo_headers(exchange), NAMES.not_run: "1"}
    await exchange.answer(503, headers)


async def close_without_response(exchange):
    """Closes the connection without a response."""
    await exchange.close()


class TestForwarding:
    """Guards against changes to forwarded requests and responses."""

    async def test_request_and_response_are_forwarded_unchanged(self):
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

    async def test_a_chunked_body_is_forwarded_completely(self):
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_with())

            async def chunks():
                yield b"one"
                yield b"two"

            async with rig.session.post(
                f"http://{rig.address}/a/x",
                data=chunks(),
                headers={"Host": "app.example", NAMES.request_id: "q-1"},
            ) as answer:
                assert answer.status == 200
            assert endpoint.requests[0].body == b"onetwo"

    async def test_the_key_is_removed_and_the_organisation_is_set(self):
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

    async def test_the_endpoint_gets_the_remaining_time(self):
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_with())
            headers = {NAMES.time_left_ms: "300"}
            async with rig.call(headers=headers) as answer:
                assert answer.status == 200
            left_ms = int(endpoint.requests[0].header(NAMES.time_left_ms))
            assert 200 <= left_ms <= 300


class TestRejections:
    """Guards against requests that run without being admitted."""

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

    async def test_a_node_without_a_configuration_sends_retry_after(self):
        async with GatewayRig(None) as rig, rig.call() as answer:
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) > 0

    async def test_an_exhausted_allotment_sends_retry_after(self):
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

    async def test_a_request_that_did_not_run_is_refunded(self):
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


class TestInvalidAddress:
    """Guards against an odd address that fails requests which never ran."""

    async def test_another_endpoint_takes_the_request(self):
        async with GatewayRig(make_configuration(make_route())) as rig:
            odd = make_endpoint("e-0", address="127.0.0.1:70000")
            rig.view.directory.put(odd)
            await rig.add_endpoint(answer_with(), "e-9", zone="zone-b")
            async with rig.call() as answer:
                assert answer.status == 200


class TestAtMostOnce:
    """Guards against running a request twice, such as signing or claims."""

    async def test_a_broken_connection_is_not_retried(self):
        async with GatewayRig(ONCE) as rig:
            one = await rig.add_endpoint(close_without_response, "e-1")
            two = await rig.add_endpoint(close_without_response, "e-2")
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
            rig.add_unreachable_endpoint("e-0")
            endpoint = await rig.add_endpoint(answer_with(), "e-1")
            async with rig.call() as answer:
                assert answer.status == 200
            assert len(endpoint.requests) == 1

    async def test_a_503_without_not_run_is_not_forwarded(self):
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_with(503))
            async with rig.call() as answer:
                assert answer.status == 502
                assert NAMES.proof not in answer.headers
            assert len(endpoint.requests) == 1

    async def test_an_endpoint_error_is_forwarded(self):
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_with(500, b"failed"))
            async with rig.call() as answer:
                assert answer.status == 500
                assert answer.headers[NAMES.proof] == "proof-1"
                assert await answer.read() == b"failed"
            assert len(endpoint.requests) == 1

    async def test_a_timeout_is_reported_as_unknown_outcome(self):
        async def stall(exchange):
            await asyncio.sleep(5)

        configuration = make_configuration(make_route(timeout_s=0.2))
        async with GatewayRig(configuration) as rig:
            endpoint = await rig.add_endpoint(stall)
            began_s = rig.view.timers.now()
            async with rig.call() as answer:
                assert answer.status == 504
            assert rig.view.timers.now() - began_s < 0.7
            assert len(endpoint.requests) == 1


class TestInvalidResponses:
    """Guards against responses to other requests and partial responses."""

    async def test_a_response_to_another_request_is_not_forwarded(self):
        async def answer_other(exchange):
            headers = {**echo_headers(exchange), NAMES.request_id: "q-other"}
            await exchange.answer(200, headers, b"wrong")

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(answer_other)
            async with rig.call() as answer:
                assert answer.status == 502

    async def test_a_rejection_of_another_request_is_ignored(self):
        """Accepting the rejection would run the request twice."""

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

    async def test_a_refusal_without_an_id_on_a_new_connection_counts(self):
        async def refuse(exchange):
            await exchange.answer(503, {NAMES.not_run: "1"})

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(refuse)
            async with rig.call() as answer:
                assert answer.status == 503

    async def test_a_response_without_a_proof_is_not_forwarded(self):
        async def answer_without_proof(exchange):
            headers = {NAMES.request_id: "q-1"}
            await exchange.answer(200, headers, b"bare")

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(answer_without_proof)
            async with rig.call() as answer:
                assert answer.status == 502

    async def test_a_truncated_body_is_not_forwarded(self):
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
                    # The gateway cannot tell whether the body is complete.
                    assert "Content-Length" not in answer.headers
                    assert "Transfer-Encoding" not in answer.headers
                    assert await answer.read() == b"body"

    @pytest.mark.parametrize("delay_s", [0.0, 0.1])
    async def test_bytes_after_a_response_are_discarded(self, delay_s):
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

    async def test_an_invalid_response_is_not_forwarded(self):
        async def send_invalid_bytes(exchange):
            await exchange.send(b"\x00\x01noise\r\n\r\n")

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(send_invalid_bytes)
            async with rig.call() as answer:
                assert answer.status == 502

    async def test_an_early_response_closes_the_connection(self):
        """Guards against reuse before the endpoint has read the whole body."""
        async with GatewayRig(ONCE) as rig:
            endpoint = await rig.add_endpoint(answer_with())
            body = b"x" * 200_000
            for i in range(3):
                async with rig.call(body=body, request_id=f"q-{i}") as answer:
                    assert answer.status == 200
            assert [len(r.body) for r in endpoint.requests] == [200_000] * 3


class TestIdempotent:
    """Guards against failed requests while another endpoint works."""

    async def test_a_broken_attempt_is_retried(self):
        async with GatewayRig(IDEMPOTENT) as rig:
            await rig.add_endpoint(close_without_response, "e-1")
            await rig.add_endpoint(answer_with(), "e-2")
            async with rig.call(method="GET") as answer:
                assert answer.status == 200

    async def test_attempts_are_limited_by_the_route(self):
        async with GatewayRig(IDEMPOTENT) as rig:
            endpoints = [
                await rig.add_endpoint(answer_with(500), f"e-{i}")
                for i in range(4)
            ]
            async with rig.call(method="GET") as answer:
                assert answer.status == 500
            assert sum(len(e.requests) for e in endpoints) == 2


class TestCallerDisconnect:
    """Guards against endpoints that keep working on abandoned requests."""

    async def test_the_attempt_is_cancelled_when_the_caller_disconnects(self):
        started = asyncio.Event()
        ended = asyncio.Event()

        async def wait(exchange):
            started.set()
            await exchange.wait_closed_by_peer()
            ended.set()

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(wait)
            task = asyncio.create_task(_discard_response(rig))
            await started.wait()
            task.cancel()
            await asyncio.wait_for(ended.wait(), 0.5)


async def _discard_response(rig):
    async with rig.call() as answer:
        await answer.read()


class TestConnections:
    """Guards against too many connections and requests cut by a shutdown."""

    async def test_idle_connections_are_reused(self):
        async with GatewayRig(IDEMPOTENT) as rig:
            endpoint = await rig.add_endpoint(answer_with())
            for i in range(5):
                async with rig.call(request_id=f"q-{i}") as answer:
                    assert answer.status == 200
            assert endpoint.connections == 1

    async def test_a_node_uses_only_its_share_of_the_connections(self):
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

    async def test_a_closed_listener_refuses_connections(self):
        async with GatewayRig(ONCE) as rig:
            await rig.listener.drain(0.1)
            with pytest.raises(aiohttp.ClientConnectorError):
                async with rig.call():
                    pass

    async def test_idle_connections_close_on_shutdown(self):
        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(answer_with())
            reader, writer = await open_connection_to(rig)
            rig.listener.close_after_responses()
            stopping = asyncio.create_task(rig.listener.drain(2.0))
            assert await asyncio.wait_for(reader.read(), 0.5) == b""
            writer.close()
            await asyncio.wait_for(stopping, 0.5)

    async def test_a_pending_request_is_answered_on_shutdown(self):
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

    async def test_a_request_without_a_handler_is_answered_on_shutdown(
        self,
    ):
        """Guards against a shutdown between a read and its handler."""
        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(answer_with())
            reader, writer = await open_connection_to(rig)
            await asyncio.sleep(0.05)
            (connection,) = rig.listener.connections
            connection.data_received(RAW_REQUEST)
            await asyncio.wait_for(rig.listener.drain(2.0), 1.0)
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            writer.close()

    async def test_a_slow_request_without_a_handler_is_answered_on_shutdown(
        self,
    ):
        """Guards against a shutdown that waits only for started handlers."""

        async def slow(exchange):
            await asyncio.sleep(0.5)
            await exchange.answer(200, echo_headers(exchange), b"done")

        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(slow)
            reader, writer = await open_connection_to(rig)
            await asyncio.sleep(0.05)
            (connection,) = rig.listener.connections
            rig.listener.close_after_responses()
            connection.data_received(RAW_REQUEST)
            await asyncio.wait_for(rig.listener.drain(2.0), 1.5)
            assert (await reader.read()).endswith(b"done")
            writer.close()

    async def test_a_request_with_a_partial_header_is_answered_on_shutdown(
        self,
    ):
        """Guards against a shutdown that cuts off a request being received."""
        async with GatewayRig(ONCE) as rig:
            await rig.add_endpoint(answer_with())
            reader, writer = await open_connection_to(rig)
            writer.write(RAW_REQUEST[:40])
            await asyncio.sleep(0.1)
            rig.listener.close_after_responses()
            stopping = asyncio.create_task(rig.listener.drain(2.0))
            await asyncio.sleep(0.4)
            writer.write(RAW_REQUEST[40:])
            await asyncio.wait_for(stopping, 1.0)
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            writer.close()

    async def test_a_disconnect_within_a_header_does_not_delay_shutdown(
        self,
    ):
        """Guards against a shutdown that waits for a closed connection."""
        async with GatewayRig(ONCE) as rig:
            _, writer = await open_connection_to(rig)
            writer.write(RAW_REQUEST[:40])
            await asyncio.sleep(0.1)
            assert rig.listener.active == 1
            writer.close()
            await asyncio.wait_for(rig.listener.drain(5.0), 1.0)
            assert rig.listener.active == 0
