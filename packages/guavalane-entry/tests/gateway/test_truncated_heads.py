"""Tests of endpoint responses that end within their head."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp import client_proto
from aiohttp.http_parser import HttpResponseParserPy

from guavalane_core.forwarding import Delivery
from guavalane_standins.forwarding_samples import make_configuration, make_route
from guavalane_standins.gateway_rig import GatewayRig, echo_headers

BODY = b"0123456789"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
# Header lines that frame the body, by kind of head.
FRAMING = {
    "length": b"Content-Length: 10\r\n",
    "length first": b"Content-Length: 10\r\n",
    "none": b"",
    "close": b"Connection: close\r\n",
    "chunked": b"Transfer-Encoding: chunked\r\n",
    "interim": b"Content-Length: 10\r\n",
    "empty": b"Content-Length: 0\r\n",
}


def make_head(kind, exchange):
    """Returns the complete head of a success."""
    own = "".join(f"{k}: {v}\r\n" for k, v in echo_headers(exchange).items())
    start = b"HTTP/1.1 200 OK\r\n"
    if kind == "length first":
        return start + FRAMING[kind] + own.encode() + b"\r\n"
    if kind == "interim":
        start = b"HTTP/1.1 100 Continue\r\n\r\n" + start
    return start + own.encode() + FRAMING[kind] + b"\r\n"


class TruncatingEndpoint:
    """Endpoint that ends its connection after a number of bytes.

    Args:
      kind: Kind of the head.
      reset: Whether the connection is reset instead of closed.
      served_before: Number of complete responses before, on each connection.
    """

    def __init__(self, kind, reset, served_before=0):
        self._kind = kind
        self._reset = reset
        self._served_before = served_before
        self._served = {}
        self.cut = 0
        self.head_bytes = None

    async def __call__(self, exchange):
        connection = exchange.request.connection
        served = self._served.get(connection, 0)
        self._served[connection] = served + 1
        if served < self._served_before:
            await exchange.answer(200, echo_headers(exchange), BODY)
            return
        head = make_head(self._kind, exchange)
        self.head_bytes = len(head)
        await exchange.send(head[: self.cut])
        if self._reset:
            # The bytes arrive before the reset, which would discard them.
            await asyncio.sleep(0.002)
            await exchange.reset()
        else:
            await exchange.close()


async def call(rig, number):
    """Sends a request and returns the status of a complete response, or None.

    A response whose body or framing is incomplete does not count.
    """
    try:
        async with rig.call(method="GET", request_id=f"q-{number}") as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, ConnectionError):
        return None


async def collect_statuses(rig, endpoint):
    """Returns the statuses to callers for each cut within the head."""
    endpoint.cut = 0
    statuses = [await call(rig, 0)]
    while endpoint.cut + 1 < endpoint.head_bytes:
        endpoint.cut += 1
        statuses.append(await call(rig, endpoint.cut))
    return statuses


@pytest.fixture(params=["C", "Python"])
def parser(request, monkeypatch):
    """Selects the HTTP parser of the library."""
    if request.param == "Python":
        monkeypatch.setattr(
            client_proto, "HttpResponseParser", HttpResponseParserPy
        )


def make_rig(delivery):
    """Returns a rig with one route, whose requests are sent once."""
    return GatewayRig(make_configuration(make_route(delivery=delivery)))


@pytest.mark.usefixtures("parser")
class TestTruncatedHead:
    """Guards against a truncated head that reaches callers as a success."""

    @pytest.mark.parametrize("reset", [False, True])
    @pytest.mark.parametrize("kind", FRAMING)
    async def test_no_cut_of_a_response_becomes_a_success(self, kind, reset):
        async with make_rig(Delivery.AT_MOST_ONCE) as rig:
            endpoint = TruncatingEndpoint(kind, reset)
            await rig.add_endpoint(endpoint)
            rig.view.ejector.held = lambda *_: ()
            statuses = await collect_statuses(rig, endpoint)
            assert len(statuses) == endpoint.head_bytes
            assert set(statuses) == {502}

    async def test_the_last_byte_of_a_head_completes_it(self):
        async with make_rig(Delivery.AT_MOST_ONCE) as rig:
            endpoint = TruncatingEndpoint("empty", reset=False)
            await rig.add_endpoint(endpoint)
            assert await call(rig, 0) == 502
            rig.view.ejector.held = lambda *_: ()
            endpoint.cut = endpoint.head_bytes
            assert await call(rig, 1) == 200

    @pytest.mark.parametrize("kind", FRAMING)
    async def test_no_cut_of_a_stream_becomes_a_success(self, kind):
        async with make_rig(Delivery.STREAM) as rig:
            endpoint = TruncatingEndpoint(kind, reset=False)
            await rig.add_endpoint(endpoint)
            rig.view.ejector.held = lambda *_: ()
            statuses = await collect_statuses(rig, endpoint)
            assert set(statuses) == {502}

    @pytest.mark.parametrize("kind", ["length", "none", "chunked"])
    async def test_no_cut_on_a_kept_connection_becomes_a_success(self, kind):
        async with make_rig(Delivery.AT_MOST_ONCE) as rig:
            endpoint = TruncatingEndpoint(kind, reset=False, served_before=1)
            scripted = await rig.add_endpoint(endpoint)
            rig.view.ejector.held = lambda *_: ()
            statuses = []
            while endpoint.head_bytes is None or (
                endpoint.cut + 1 < endpoint.head_bytes
            ):
                endpoint.cut += 1
                statuses.append(await call(rig, f"{endpoint.cut}-a"))
                statuses.append(await call(rig, f"{endpoint.cut}-b"))
            assert set(statuses[0::2]) == {200}
            assert set(statuses[1::2]) == {502}
            # Further connections only check whether the endpoint has crashed.
            used = {request.connection for request in scripted.requests}
            assert len(used) == len(statuses) / 2


@pytest.mark.usefixtures("parser")
class TestTruncatedBody:
    """Guards against a truncated body that reaches callers as complete."""

    @pytest.mark.parametrize(
        ("framing", "body"),
        [
            ("length", BODY),
            ("chunked", b"a\r\n" + BODY + b"\r\n0\r\n\r\n"),
            ("chunked", b"a\r\n" + BODY + b"\r\n0\r\nTrailer: x\r\n\r\n"),
        ],
        ids=["length", "chunked", "trailer"],
    )
    @pytest.mark.parametrize(
        "delivery", [Delivery.AT_MOST_ONCE, Delivery.STREAM]
    )
    async def test_no_cut_of_the_body_is_complete(
        self, delivery, framing, body
    ):
        cut = 0

        async def script(exchange):
            await exchange.send(make_head(framing, exchange) + body[:cut])
            await exchange.close()

        async with make_rig(delivery) as rig:
            await rig.add_endpoint(script)
            rig.view.ejector.held = lambda *_: ()
            for cut in range(len(body)):
                status = await call(rig, cut)
                assert status in (None, 502), (cut, body[:cut])
