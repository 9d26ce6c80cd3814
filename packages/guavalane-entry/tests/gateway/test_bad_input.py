"""Tests of malformed and oversized requests."""

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
    open_connection_to,
)

LIMITS = CallerLimits(header_bytes=4096, body_bytes=1000)
CONFIGURATION = attrs.evolve(make_configuration(make_route()), limits=LIMITS)
HEAD = (
    f"POST /a/x HTTP/1.1\r\nHost: app.example\r\n{NAMES.request_id}: q-1\r\n"
).encode()
SMUGGLED_REQUEST = b"GET /a/secret HTTP/1.1\r\nHost: app.example\r\n\r\n"


async def answer(exchange):
    """Sends a successful response."""
    await exchange.answer(200, echo_headers(exchange), b"done")


async def send_raw(rig, data):
    """Sends bytes and returns all received bytes; None if it stays open."""
    reader, writer = await open_connection_to(rig)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), 1.0)
    except TimeoutError:
        return None
    finally:
        writer.close()


class TestFraming:
    """Guards against request smuggling."""

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
    async def test_ambiguous_framing_is_rejected(self, headers):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            received = await send_raw(
                rig, HEAD + headers + b"\r\n" + SMUGGLED_REQUEST
            )
            assert received is not None
            assert received.startswith(b"HTTP/1.1 400") or received.startswith(
                b"HTTP/1.0 400"
            )
            # The error detail quotes the header line, so only status lines are
            # counted.
            assert len(re.findall(rb"HTTP/1\.[01] \d", received)) == 1
            assert endpoint.requests == []

    async def test_bare_line_feeds_are_rejected(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            received = await send_raw(rig, HEAD.replace(b"\r\n", b"\n") + b"\n")
            assert received is not None
            assert b" 400 " in received
            assert endpoint.requests == []

    async def test_a_body_is_never_parsed_as_a_request(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            length = f"Content-Length: {len(SMUGGLED_REQUEST)}\r\n".encode()
            closing = b"Connection: close\r\n\r\n"
            await send_raw(rig, HEAD + length + closing + SMUGGLED_REQUEST)
            (request,) = endpoint.requests
            assert request.body == SMUGGLED_REQUEST

    async def test_a_body_after_a_rejection_is_never_parsed_as_a_request(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            length = f"Content-Length: {len(SMUGGLED_REQUEST)}\r\n\r\n".encode()
            head = HEAD.replace(b"/a/x", b"/none/x")
            received = await send_raw(rig, head + length + SMUGGLED_REQUEST)
            assert endpoint.requests == []
            assert received is None or received.count(b"HTTP/1.1") == 1


class TestHeaders:
    """Guards against ambiguous headers."""

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
            f"{NAMES.token_counts}: 1,2\r\n{NAMES.prompt_parts}: a:-1",
            f"{NAMES.token_counts}: 1,2\r\n{NAMES.output_hint}: -1",
            f"{NAMES.token_counts}: 1,2\r\n{NAMES.token_counts}: 1,2",
        ],
    )
    async def test_duplicate_or_invalid_headers_are_rejected(self, header):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            closing = b"\r\nConnection: close\r\n\r\n"
            received = await send_raw(rig, HEAD + header.encode() + closing)
            assert received.startswith(b"HTTP/1.1 400")
            assert endpoint.requests == []

    async def test_headers_listed_in_connection_are_not_forwarded(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            extra = (
                b"Connection: close, X-Secret\r\nX-Secret: 1\r\nX-Kept: 2\r\n"
            )
            await send_raw(rig, HEAD + extra + b"\r\n")
            (request,) = endpoint.requests
            assert request.header("X-Secret") is None
            assert request.header("X-Kept") == "2"

    async def test_a_target_that_is_not_a_path_is_rejected(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            head = HEAD.replace(b"/a/x", b"http://app.example/a/x")
            received = await send_raw(rig, head + b"Connection: close\r\n\r\n")
            assert received.startswith(b"HTTP/1.1 400")
            assert endpoint.requests == []


class TestLimits:
    """Guards against requests that exceed the configured limits."""

    async def test_a_large_header_is_rejected(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            extra = b"X-Long: " + b"a" * 5000 + b"\r\nConnection: close\r\n\r\n"
            received = await send_raw(rig, HEAD + extra)
            assert received.startswith(b"HTTP/1.1 431")
            assert endpoint.requests == []

    async def test_a_slow_header_closes_the_connection(self):
        limits = attrs.evolve(LIMITS, header_timeout_s=0.3)
        configuration = attrs.evolve(CONFIGURATION, limits=limits)
        async with GatewayRig(configuration) as rig:
            endpoint = await rig.add_endpoint(answer)
            received = await send_raw(rig, HEAD)
            assert received is not None and b" 408 " in received
            assert endpoint.requests == []

    async def test_slow_responses_and_idle_connections_are_not_slow_headers(
        self,
    ):
        async def answer_after_delay(exchange):
            await asyncio.sleep(0.7)
            await answer(exchange)

        limits = attrs.evolve(LIMITS, header_timeout_s=0.3)
        configuration = attrs.evolve(CONFIGURATION, limits=limits)
        async with GatewayRig(configuration) as rig:
            await rig.add_endpoint(answer_after_delay)
            for _ in range(2):
                async with rig.call() as response:
                    assert response.status == 200
                await asyncio.sleep(0.7)
            # Both requests used the same connection.
            assert len(rig.listener.connections) == 1

    async def test_an_endless_header_is_broken_off(self):
        """Guards against headers that fill the memory within their time."""
        async with GatewayRig(CONFIGURATION) as rig:
            reader, writer = await open_connection_to(rig)
            # Fewer lines than the library allows, each shorter than it allows.
            writer.write(HEAD + b"X-1: %b\r\nX-2: " % (b"a" * 60_000))
            await asyncio.sleep(0.05)
            writer.write(b"%b\r\nX-3: %b" % (b"a" * 60_000, b"a" * 30_000))
            async with asyncio.timeout(10.0):
                received = await reader.read()
            writer.close()
            assert received.startswith(b"HTTP/1.1 431")
            assert received.endswith(b"Connection: close\r\n\r\n")

    async def test_the_rest_of_a_rejected_body_is_no_slow_header(self):
        """Guards against a 408 on a connection that waits for a request."""
        limits = attrs.evolve(LIMITS, header_timeout_s=0.3)
        configuration = attrs.evolve(CONFIGURATION, limits=limits)
        async with GatewayRig(configuration) as rig:
            await rig.add_endpoint(answer)
            reader, writer = await open_connection_to(rig)
            writer.write(HEAD + b"Content-Length: 2000\r\n\r\n" + b"x" * 1000)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 413")
            length = int(re.search(rb"Content-Length: (\d+)", head)[1])
            await reader.readexactly(length)
            writer.write(b"x" * 1000)
            await asyncio.sleep(0.9)
            writer.write(HEAD + b"Content-Length: 1\r\n\r\nx")
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            writer.close()

    async def test_a_large_body_is_rejected(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            extra = b"Content-Length: 1001\r\nConnection: close\r\n\r\n"
            received = await send_raw(rig, HEAD + extra + b"x" * 1001)
            assert received.startswith(b"HTTP/1.1 413")
            assert endpoint.requests == []

    async def test_a_large_chunked_body_is_rejected(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            extra = b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            chunks = b"258\r\n" + b"x" * 600 + b"\r\n"
            received = await send_raw(
                rig, HEAD + extra + chunks * 2 + b"0\r\n\r\n"
            )
            assert received.startswith(b"HTTP/1.1 413")
            assert endpoint.requests == []

    async def test_a_body_at_the_limit_is_accepted(self):
        async with GatewayRig(CONFIGURATION) as rig:
            endpoint = await rig.add_endpoint(answer)
            extra = b"Content-Length: 1000\r\nConnection: close\r\n\r\n"
            received = await send_raw(rig, HEAD + extra + b"x" * 1000)
            assert received.startswith(b"HTTP/1.1 200")
            assert len(endpoint.requests[0].body) == 1000
