"""Tests of the header timeout of requests that were already read."""

from __future__ import annotations

import asyncio
import time

import attrs
import pytest

from guavalane_core.forwarding import CallerLimits, Delivery
from guavalane_entry.gateway import caller_connection
from guavalane_standins.forwarding_samples import make_configuration, make_route
from guavalane_standins.gateway_rig import (
    HOST,
    NAMES,
    GatewayRig,
    echo_headers,
    open_connection_to,
)

# Header timeout of the node, in seconds.
HEADER_TIMEOUT_S = 0.3
# Service time of the endpoint, in seconds.
SERVICE_S = 0.6
BODY = b"0123456789"


def make_rig():
    """Returns a rig with a short header timeout and one route."""
    route = make_route(delivery=Delivery.AT_MOST_ONCE, timeout_s=5.0)
    configuration = make_configuration(route)
    limits = CallerLimits(header_timeout_s=HEADER_TIMEOUT_S)
    return GatewayRig(attrs.evolve(configuration, limits=limits))


def make_request(request_id):
    """Returns the header of a request with a body."""
    return (
        f"POST /a/x HTTP/1.1\r\nHost: {HOST}\r\n"
        f"{NAMES.request_id}: {request_id}\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    ).encode()


async def read_status(reader):
    """Reads one response and returns its status."""
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            await reader.readexactly(int(value))
    return int(head.split()[1])


async def answer_slowly(exchange):
    """Responds after the service time."""
    await asyncio.sleep(SERVICE_S)
    await exchange.answer(200, echo_headers(exchange), b"done")


class TestPause:
    """Guards against a 408 for a request that then reaches an endpoint."""

    @pytest.fixture
    def paused_after_reading(self, monkeypatch):
        """Suspends the process once, after the bytes of a request are read."""
        receive = caller_connection.CallerConnection.data_received
        pauses = [HEADER_TIMEOUT_S + 0.5]

        def receive_and_pause(connection, data):
            receive(connection, data)
            if pauses:
                time.sleep(pauses.pop())

        monkeypatch.setattr(
            caller_connection.CallerConnection,
            "data_received",
            receive_and_pause,
        )

    async def test_a_request_read_before_a_pause_is_not_refused_and_run(
        self, paused_after_reading
    ):
        async with make_rig() as rig:
            endpoint = await rig.add_endpoint(answer_slowly)
            reader, writer = await open_connection_to(rig)
            writer.write(make_request("q-1") + BODY)
            assert await read_status(reader) == 200
            writer.close()
            assert len(endpoint.requests) == 1


class TestNextRequest:
    """Guards against a request that came while its predecessor ran."""

    async def test_its_late_body_is_not_taken_for_a_new_header(self):
        async with make_rig() as rig:
            endpoint = await rig.add_endpoint(answer_slowly)
            reader, writer = await open_connection_to(rig)
            writer.write(make_request("q-1") + BODY + make_request("q-2"))
            assert await read_status(reader) == 200
            writer.write(BODY)
            assert await read_status(reader) == 200
            writer.close()
            assert len(endpoint.requests) == 2

    async def test_a_stop_waits_for_its_response(self):
        async with make_rig() as rig:
            await rig.add_endpoint(answer_slowly)
            reader, writer = await open_connection_to(rig)
            writer.write(2 * (make_request("q-1") + BODY))
            assert await read_status(reader) == 200
            await asyncio.sleep(SERVICE_S / 2)
            stop = asyncio.create_task(rig.listener.drain(3 * SERVICE_S))
            assert await read_status(reader) == 200
            writer.close()
            await stop
