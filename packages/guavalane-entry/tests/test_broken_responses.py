"""Tests of broken statuses and of responses reset during an upload."""

from __future__ import annotations

import asyncio
import functools
import random
import ssl

import aiohttp
import pytest

from guavalane_core.configuration import parse_configuration
from guavalane_core.exceptions import AttemptError, WriteOutcomeUnknownError
from guavalane_core.forwarding import Delivery
from guavalane_core.requests import RequestContext
from guavalane_core.timers import LoopTimers
from guavalane_entry.callers.admission import EndpointLimits
from guavalane_entry.endpoints.client import EndpointClient
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.gateway import endpoint_client as gateway
from guavalane_entry.gateway.copies import CopyReader
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.endpoint_client import BrokenResponseError
from guavalane_entry.http_connection import BoundedConnector, read_bounded
from guavalane_entry.http_session import make_session
from guavalane_entry.store.objects_http import HttpObjectApi
from guavalane_standins.broken_server import (
    BROKEN_STATUSES,
    LOOP_POLICIES,
    RESET_DELAY_S,
    UPLOAD,
    End,
    listen,
    listen_at_once,
    listen_until_killed,
    reset_server,
    status_server,
)
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_endpoint,
    make_route,
)
from guavalane_standins.gateway_rig import GatewayRig, echo_headers

# Time that a call may take, in seconds.
LIMIT_S = 30.0
# Head of a response whose body ends with its connection.
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
# A list of no objects, as peers encode it.
EMPTY_COPY = b"\x80"


# pytest-asyncio has no other way yet to choose the loop of a test.
pytestmark = pytest.mark.filterwarnings(
    "ignore:Overriding the .event_loop_policy. fixture"
)


@pytest.fixture(params=LOOP_POLICIES)
def event_loop_policy(request):
    """Runs each test on the loop of asyncio and on that of the programs."""
    return LOOP_POLICIES[request.param]()


async def call_gateway(address, body=b""):
    """Sends a request with the client of the gateway."""
    client = gateway.EndpointClient()
    try:
        async with client.send(
            make_endpoint(address=address),
            "POST",
            "/",
            [("Host", "a")],
            body,
            repeatable=False,
        ) as response:
            return await response.read_whole()
    finally:
        await client.close()


async def call_service(address, body=b"", request_class="at_most_once"):
    """Sends a request with the client of the chat interface."""
    deployment = {"deployment": "d"}
    configuration = parse_configuration(
        {
            "deployments": {"d": {"versions": {"v1": {}}}},
            "routes": {
                "r": {
                    **deployment,
                    "kind": "service",
                    "path": "/",
                    "request_class": request_class,
                }
            },
            "endpoints": {
                "e": {
                    **deployment,
                    "url": f"http://{address}",
                    "zone": "z",
                    "version": "v1",
                }
            },
        }
    )
    timers = LoopTimers()
    pool = EndpointPool("n", "z", 4, timers)
    pool.apply(configuration)
    client = EndpointClient(pool, EndpointLimits(pool, timers), timers)
    request = RequestContext(
        request_id="id",
        organisation="o",
        route_name="r",
        route=configuration.routes["r"],
        deadline_s=timers.now() + LIMIT_S,
        method="POST",
        path="/slots",
        body=body,
    )
    try:
        return await client.call(pool.choose(request), request)
    finally:
        await client.close()


async def call_object_api(address, body=b""):
    """Creates an object in the object API of the chat interface."""
    api = HttpObjectApi(f"http://{address}", timeout_s=LIMIT_S)
    try:
        return await api.create("things", "a", {"text": body.decode()})
    finally:
        await api.close()


async def call_default(address, body=b""):
    """Sends a request with a session that has the default connector."""
    async with (
        make_session() as session,
        session.post(f"http://{address}/", data=body) as response,
    ):
        return await read_bounded(response)


CALLS = {
    "gateway": (call_gateway, BrokenResponseError),
    "chat": (call_service, AttemptError),
    "chat, idempotent": (
        functools.partial(call_service, request_class="idempotent"),
        AttemptError,
    ),
    "object API": (call_object_api, WriteOutcomeUnknownError),
    "default": (call_default, aiohttp.ClientError),
}


class TestKilledService:
    """Guards against cut answers that look whole at the chat interface."""

    @pytest.mark.parametrize("client", ["chat", "chat, idempotent"])
    async def test_the_answer_of_a_killed_service_is_not_complete(self, client):
        call, expected = CALLS[client]
        async with listen_until_killed(HEAD + b"a part") as address:
            with pytest.raises(expected, match="has ended"):
                await call(address)

    async def test_the_answer_of_a_listening_service_is_complete(self):
        async with listen_at_once(lambda head: HEAD + b"x", End.CLOSE) as at:
            answer = await call_service(at)
        assert answer.body == b"x"


@pytest.mark.parametrize("client", CALLS)
class TestClients:
    """Guards against broken responses that look like answers."""

    @pytest.mark.parametrize("status", BROKEN_STATUSES)
    async def test_a_status_outside_100_to_599_is_no_answer(
        self, client, status
    ):
        call, error = CALLS[client]
        async with (
            asyncio.timeout(LIMIT_S),
            listen(status_server(status)) as address,
        ):
            with pytest.raises(error):
                await call(address)

    @pytest.mark.parametrize("linger", [True, False], ids=["reset", "closed"])
    @pytest.mark.parametrize("delay_s", [0.0, RESET_DELAY_S])
    @pytest.mark.parametrize("body", [b"", b"{}"], ids=["empty", "some"])
    async def test_a_response_reset_during_the_upload_is_incomplete(
        self, client, body, delay_s, linger
    ):
        call, error = CALLS[client]
        serve = reset_server(body, delay_s=delay_s, linger=linger)
        async with asyncio.timeout(LIMIT_S), listen(serve) as address:
            with pytest.raises(error):
                await call(address, UPLOAD)

    @pytest.mark.parametrize("body", [b"", b"{}"], ids=["empty", "some"])
    async def test_a_reset_beside_the_last_bytes_is_no_answer(
        self, client, body
    ):
        call, error = CALLS[client]
        async with (
            asyncio.timeout(LIMIT_S),
            listen_at_once(lambda _: HEAD + body, End.RESET) as address,
        ):
            with pytest.raises(error):
                await call(address)


def make_tls_context(protocol):
    """Returns a TLS context that needs no certificate."""
    context = ssl.SSLContext(protocol)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    # TLS 1.3 has no anonymous key exchange.
    context.maximum_version = ssl.TLSVersion.TLSv1_2
    context.set_ciphers("AECDH:@SECLEVEL=0")
    return context


@pytest.mark.parametrize("size", [0, 400, 300_000])
class TestTls:
    """Guards against a TLS stream that is cut and taken for complete."""

    async def _call(self, body, *, is_cut):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + body)
            if is_cut:
                await asyncio.sleep(RESET_DELAY_S)
                # Ends the TCP connection without a closing alert.
                writer.transport.abort()
            else:
                writer.close()

        server = await asyncio.start_server(
            serve, "127.0.0.1", 0, ssl=make_tls_context(ssl.PROTOCOL_TLS_SERVER)
        )
        host, port = server.sockets[0].getsockname()
        connector = BoundedConnector(
            ssl=make_tls_context(ssl.PROTOCOL_TLS_CLIENT)
        )
        async with (
            asyncio.timeout(LIMIT_S),
            server,
            make_session(connector=connector) as session,
            session.get(f"https://{host}:{port}/") as response,
        ):
            return await read_bounded(response)

    async def test_a_body_cut_without_a_closing_alert_is_incomplete(self, size):
        with pytest.raises(aiohttp.ClientPayloadError):
            await self._call(b"x" * size, is_cut=True)

    async def test_a_body_with_a_closing_alert_is_complete(self, size):
        body = b"x" * size
        assert await self._call(body, is_cut=False) == body


@pytest.mark.parametrize("status", [int(text) for text in BROKEN_STATUSES])
class TestGateway:
    """Guards against a broken status that reaches a caller."""

    async def _call(self, delivery, status, **changes):
        async def script(exchange):
            headers = echo_headers(exchange)
            own = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
            head = f"HTTP/1.1 {status:03} X\r\n{own}Content-Length: 2\r\n\r\n"
            await exchange.send(head.encode() + b"ok")

        route = make_route(delivery=delivery, **changes)
        async with GatewayRig(make_configuration(route)) as rig:
            endpoints = [
                await rig.add_endpoint(script, name) for name in ("e-1", "e-2")
            ]
            async with rig.call(method="GET") as response:
                return response.status, sum(len(e.requests) for e in endpoints)

    async def test_the_outcome_of_an_at_most_once_call_is_unknown(self, status):
        result = await self._call(Delivery.AT_MOST_ONCE, status)
        assert result == (502, 1)

    async def test_an_idempotent_request_is_sent_again(self, status):
        result = await self._call(Delivery.IDEMPOTENT, status, max_endpoints=2)
        assert result == (502, 2)


class _OnePeer:
    """Reports of one peer, at an address."""

    def __init__(self, address: str) -> None:
        self._address = address

    def live_peers(self) -> list[str]:
        return ["n2"]

    def address_of(self, node: str) -> str:
        return self._address

    def newest_configuration(self) -> tuple[int, str]:
        return 1, "n2"


class _LostKind:
    """Watch of a kind that the object API does not provide."""

    kind = "configuration"
    lost_for_s = 0.0
    era = 0

    def __init__(self) -> None:
        self.copies: list[list[object]] = []

    def merge_copy(self, objects: list[object]) -> None:
        self.copies.append(objects)


class TestCopyReader:
    """Guards against a node that takes a truncated copy for a complete one."""

    async def _read(self, serve) -> list[list[object]]:
        requested = asyncio.Event()

        async def count(reader, writer):
            await serve(reader, writer)
            requested.set()

        async with asyncio.timeout(LIMIT_S), listen(count) as address:
            return await self._read_from(address, requested)

    async def _read_from(self, address, requested) -> list[list[object]]:
        """Returns the copies read from a peer that has had a request."""
        timers = LoopTimers()
        watch = _LostKind()
        reader = CopyReader(
            {"configuration": watch},
            _OnePeer(address),
            lambda: 0,
            timers,
            DecisionLog("n1", timers.wall),
            random.Random(1),
        )
        reader.start()
        await requested.wait()
        # The response has ended; its reader runs in later loop steps.
        for _ in range(100):
            await asyncio.sleep(0)
        await reader.stop()
        return watch.copies

    async def test_a_reset_copy_is_not_used(self):
        assert await self._read(reset_server(EMPTY_COPY)) == []

    async def test_a_copy_reset_beside_its_last_bytes_is_not_used(self):
        requested = asyncio.Event()

        def respond(_):
            requested.set()
            return HEAD + EMPTY_COPY

        async with (
            asyncio.timeout(LIMIT_S),
            listen_at_once(respond, End.RESET) as address,
        ):
            assert await self._read_from(address, requested) == []

    @pytest.mark.parametrize("status", BROKEN_STATUSES)
    async def test_a_broken_status_is_no_copy(self, status):
        assert await self._read(status_server(status)) == []
