"""Tests of requests that are malformed or too large."""

from __future__ import annotations

import asyncio
import re

import attrs
import pytest

from guavalane_core.forwarding import CallerLimits
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

LIMITS = CallerLimits(header_bytes=4096, body_bytes=1000)
CONFIGURATION = attrs.evolve(make_configuration(make_route()), limits=LIMITS)
HEAD = (
    f"POST /a/x HTTP/1.1\r\nHost: app.example\r\n{NAMES.request_id}: q-1\r\n"
).encode()
SMUGGLED = b"GET /a/secret HTTP/1.1\r\nHost: app.example\r\n\r\n"


async def answer(exchange):
    """Answers a request."""
    await exchange.answer(200, echo_headers(exchange), b"done")


async def send_raw(rig, data):
    """Sends bytes and returns all that comes back until the end."""
    reader, writer = await open_raw(rig)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), 1.0)
    except TimeoutError:
        return None
    finally:
        writer.close()


class TestFraming:
    """Guards against a request that hides inside another."""

    @pytest.mark.parametrize(
        "headers",
        [
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 4\r\nContent-Length: 40\r\n",
            b"Content-Length: 4, 40\r\n",
            b"Transfer-Encoding : chunked\r\n",
            b"Transfer-Encoding: xchunked\r\n",
            b"Content-Length: +4\r\n",
            b"Content-Length: -1\r\n",
            b"Content-Length: 0x4\r\n",
            b" Content-Length: 4\r\n",
            b"Bad Name: 1\r\n",
            b"X: a\x00b\r\n",
        ],
    )
    async def test_ambiguous_framing_is_refused(self, headers):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            got = await send_raw(rig, HEAD + headers + b"\r\n" + SMUGGLED)
            assert got is not None
            assert got.startswith(b"HTTP/1.1 400") or got.startswith(
                b"HTTP/1.0 400"
            )
            # The detail of the refusal quotes the line, so only the beginnings
            # of answers count.
            assert len(re.findall(rb"HTTP/1\.[01] \d", got)) == 1
            assert endpoint.requests == []

    async def test_bare_line_feeds_are_refused(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            got = await send_raw(rig, HEAD.replace(b"\r\n", b"\n") + b"\n")
            assert got is not None
            assert b" 400 " in got
            assert endpoint.requests == []

    async def test_a_body_is_never_read_as_a_request(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            length = f"Content-Length: {len(SMUGGLED)}\r\n".encode()
            closing = b"Connection: close\r\n\r\n"
            await send_raw(rig, HEAD + length + closing + SMUGGLED)
            (request,) = endpoint.requests
            assert request.body == SMUGGLED

    async def test_a_body_after_a_refusal_is_never_read_as_a_request(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            length = f"Content-Length: {len(SMUGGLED)}\r\n\r\n".encode()
            head = HEAD.replace(b"/a/x", b"/none/x")
            got = await send_raw(rig, head + length + SMUGGLED)
            assert endpoint.requests == []
            assert got is None or got.count(b"HTTP/1.1") == 1


class TestHeaders:
    """Guards against headers that mean two things."""

    @pytest.mark.parametrize(
        "header",
        [
            f"{NAMES.request_id}: q-2",
            f"{NAMES.time_left_ms}: soon",
            f"{NAMES.time_left_ms}: -1",
            f"{NAMES.time_left_ms}: nan",
            f"{NAMES.time_left_ms}: 1\r\n{NAMES.time_left_ms}: 2",
            "Authorization: Bearer a\r\nAuthorization: Bearer b",
            f"{NAMES.model}: m\r\n{NAMES.token_counts}: 1",
            f"{NAMES.model}: m\r\n{NAMES.token_counts}: a,b",
            f"{NAMES.model}: m\r\n{NAMES.token_counts}: 1,2\r\n"
            f"{NAMES.prompt_parts}: a:b",
        ],
    )
    async def test_doubled_or_unreadable_facts_are_refused(self, header):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            closing = b"\r\nConnection: close\r\n\r\n"
            got = await send_raw(rig, HEAD + header.encode() + closing)
            assert got.startswith(b"HTTP/1.1 400")
            assert endpoint.requests == []

    async def test_headers_named_by_connection_are_not_passed_on(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            extra = (
                b"Connection: close, X-Secret\r\nX-Secret: 1\r\nX-Kept: 2\r\n"
            )
            await send_raw(rig, HEAD + extra + b"\r\n")
            (request,) = endpoint.requests
            assert request.header("X-Secret") is None
            assert request.header("X-Kept") == "2"

    async def test_a_target_that_is_no_path_is_refused(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            head = HEAD.replace(b"/a/x", b"http://app.example/a/x")
            got = await send_raw(rig, head + b"Connection: close\r\n\r\n")
            assert got.startswith(b"HTTP/1.1 400")
            assert endpoint.requests == []


class TestLimits:
    """Guards against callers that take more than their part."""

    async def test_a_large_header_is_refused(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            extra = b"X-Long: " + b"a" * 5000 + b"\r\nConnection: close\r\n\r\n"
            got = await send_raw(rig, HEAD + extra)
            assert got.startswith(b"HTTP/1.1 431")
            assert endpoint.requests == []

    async def test_a_header_that_takes_too_long_ends_its_connection(self):
        limits = attrs.evolve(LIMITS, header_timeout_s=0.3)
        configuration = attrs.evolve(CONFIGURATION, limits=limits)
        async with GatewayRig(configuration) as rig:
            endpoint = await rig.add_endpoint(answer)
            received = await send_raw(rig, HEAD)
            assert received is not None and b" 408 " in received
            assert endpoint.requests == []

    async def test_a_slow_answer_or_an_idle_connection_is_no_slow_header(self):
        async def answer_late(exchange):
            await asyncio.sleep(0.7)
            await answer(exchange)

        limits = attrs.evolve(LIMITS, header_timeout_s=0.3)
        configuration = attrs.evolve(CONFIGURATION, limits=limits)
        async with GatewayRig(configuration) as rig:
            await rig.add_endpoint(answer_late)
            for _ in range(2):
                async with rig.call() as response:
                    assert response.status == 200
                await asyncio.sleep(0.7)
            # The session has kept one connection for both requests.
            assert len(rig.listener.connections) == 1

    async def test_a_large_body_is_refused(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            extra = b"Content-Length: 1001\r\nConnection: close\r\n\r\n"
            got = await send_raw(rig, HEAD + extra + b"x" * 1001)
            assert got.startswith(b"HTTP/1.1 413")
            assert endpoint.requests == []

    async def test_a_large_chunked_body_is_refused(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            extra = b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            chunks = b"258\r\n" + b"x" * 600 + b"\r\n"
            got = await send_raw(rig, HEAD + extra + chunks * 2 + b"0\r\n\r\n")
            assert got.startswith(b"HTTP/1.1 413")
            assert endpoint.requests == []

    async def test_a_body_at_the_limit_passes(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            extra = b"Content-Length: 1000\r\nConnection: close\r\n\r\n"
            got = await send_raw(rig, HEAD + extra + b"x" * 1000)
            assert got.startswith(b"HTTP/1.1 200")
            assert len(endpoint.requests[0].body) == 1000
