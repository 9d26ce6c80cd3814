"""Tests of endpoint responses without a length that are reset."""

from __future__ import annotations

import pytest

from guavalane_core.forwarding import Delivery, Engine
from guavalane_standins.broken_server import LOOP_POLICIES, End, listen_at_once
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

BODY_SIZES = (0, 1, 400, 20_000, 65_536)
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
LAST_EVENTS = b"id: 3\ndata: c\n\n"
VERSIONS = ("1.0", "1.1")


# pytest-asyncio has no other way yet to choose the loop of a test.
pytestmark = pytest.mark.filterwarnings(
    "ignore:Overriding the .event_loop_policy. fixture"
)


@pytest.fixture(params=LOOP_POLICIES)
def event_loop_policy(request):
    """Runs each test on the loop of asyncio and on that of the programs."""
    return LOOP_POLICIES[request.param]()


def answer_without_length(body, version="1.1", status=200):
    """Returns a function that makes the response to a request."""

    def respond(head):
        lines = head.decode("latin-1").split("\r\n")
        name = NAMES.request_id.lower()
        echo = [line for line in lines if line.lower().startswith(name)]
        start = f"HTTP/{version} {status} Status"
        own = [start, *echo, f"{NAMES.proof}: proof-1"]
        return "\r\n".join(own).encode() + b"\r\n\r\n" + body

    return respond


def make_rig(delivery, **changes):
    """Returns a rig with one route."""
    engine = None
    if delivery is Delivery.STREAM:
        engine = Engine(slots=4, kv_tokens=100_000)
    route = make_route(delivery=delivery, timeout_s=5.0, **changes)
    return GatewayRig(make_configuration(route, engine=engine))


def add_endpoint(rig, name, address):
    """Adds the endpoint at an address to the directory."""
    rig.view.directory.put(make_endpoint(name, address=address))


async def read_until_end(rig, headers):
    """Sends a request and returns all bytes until the connection ends.

    Raises:
      ConnectionResetError: The connection was reset.
    """
    reader, writer = await send_request(rig, headers)
    try:
        return await reader.read()
    finally:
        writer.close()


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("size", BODY_SIZES)
class TestBodies:
    """Guards against reset bodies that look complete to callers."""

    async def test_a_reset_body_is_no_success(self, size, version):
        respond = answer_without_length(b"x" * size, version)
        async with (
            make_rig(Delivery.AT_MOST_ONCE) as rig,
            listen_at_once(respond, End.RESET) as address,
        ):
            add_endpoint(rig, "e-1", address)
            async with rig.call() as response:
                assert response.status == 502

    @pytest.mark.parametrize("end", [End.CLOSE, End.RESET_AFTER_CLOSE])
    async def test_a_sound_body_is_forwarded(self, size, version, end):
        respond = answer_without_length(b"x" * size, version)
        async with (
            make_rig(Delivery.AT_MOST_ONCE) as rig,
            listen_at_once(respond, end) as address,
        ):
            add_endpoint(rig, "e-1", address)
            async with rig.call() as response:
                assert response.status == 200
                assert await response.read() == b"x" * size

    async def test_an_idempotent_request_is_sent_again(self, size, version):
        reset = answer_without_length(b"x" * size, version)
        sound = answer_without_length(b"whole", version)
        async with (
            make_rig(Delivery.IDEMPOTENT, max_endpoints=2) as rig,
            listen_at_once(reset, End.RESET) as first,
            listen_at_once(sound, End.CLOSE) as second,
        ):
            add_endpoint(rig, "e-1", first)
            add_endpoint(rig, "e-2", second)
            for number in range(4):
                async with rig.call(request_id=f"q-{number}") as response:
                    assert response.status == 200
                    assert await response.read() == b"whole"


class TestStatusesWithoutBody:
    """Guards against sound responses that are taken for incomplete ones."""

    @pytest.mark.parametrize("end", End)
    @pytest.mark.parametrize(
        ("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304)]
    )
    async def test_a_response_that_ends_with_its_head_is_complete(
        self, method, status, end
    ):
        respond = answer_without_length(b"", status=status)
        async with (
            make_rig(Delivery.AT_MOST_ONCE) as rig,
            listen_at_once(respond, end) as address,
        ):
            add_endpoint(rig, "e-1", address)
            async with rig.call(method=method) as response:
                assert response.status == status
                assert await response.read() == b""


class TestStreams:
    """Guards against reset streams that end as complete (missing events)."""

    async def test_a_reset_stream_ends_with_a_reset(self):
        respond = answer_without_length(EVENTS)
        async with (
            make_rig(Delivery.STREAM, resumable=False) as rig,
            listen_at_once(respond, End.RESET) as address,
        ):
            add_endpoint(rig, "e-1", address)
            try:
                received = await read_until_end(rig, STREAM_HEADERS)
            except ConnectionResetError:
                return
            assert received.startswith(b"HTTP/1.1 502 ")

    async def test_a_resumable_stream_goes_on_elsewhere(self):
        resumed = []

        def resume(head):
            is_resumed = NAMES.resume_after.lower().encode() in head.lower()
            resumed.append(is_resumed)
            events = LAST_EVENTS if is_resumed else EVENTS + LAST_EVENTS
            return answer_without_length(events)(head)

        reset = answer_without_length(EVENTS)
        async with (
            make_rig(Delivery.STREAM, resumable=True, max_endpoints=2) as rig,
            listen_at_once(reset, End.RESET) as first,
            listen_at_once(resume, End.CLOSE) as second,
        ):
            add_endpoint(rig, "e-1", first)
            add_endpoint(rig, "e-2", second)
            for _ in range(4):
                received = await read_until_end(rig, STREAM_HEADERS)
                assert received.endswith(b"\r\n\r\n" + EVENTS + LAST_EVENTS)
            assert resumed

    async def test_a_sound_stream_is_forwarded(self):
        respond = answer_without_length(EVENTS)
        async with (
            make_rig(Delivery.STREAM, resumable=False) as rig,
            listen_at_once(respond, End.CLOSE) as address,
        ):
            add_endpoint(rig, "e-1", address)
            received = await read_until_end(rig, STREAM_HEADERS)
            assert received.endswith(b"\r\n\r\n" + EVENTS)
