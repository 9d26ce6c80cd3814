"""Tests of the proxy and the process before an endpoint."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from guavalane_standins.broken_server import listen
from soak.endpoint_process import EndpointProcess
from soak.proxy import FaultProxy, ProxyMode

WAIT_S = 5.0
SILENCE_S = 0.3


async def serve_once(reader, writer):
    """Sends a line, and closes in order."""
    del reader
    writer.write(b"done\n")
    writer.close()


async def serve_forever(reader, writer):
    """Sends a line for each that was received."""
    while line := await reader.readline():
        writer.write(line)


async def connect(address):
    """Connects to an address."""
    host, _, port = address.partition(":")
    return await asyncio.open_connection(host, port)


@contextlib.asynccontextmanager
async def start_process(serve):
    """Starts the process of an endpoint."""
    async with listen(serve) as target:
        process = EndpointProcess(target)
        await process.start()
        try:
            yield process
        finally:
            await process.kill()


class TestSilence:
    """Guards against a proxy that drops data and passes on the end after it."""

    @pytest.mark.parametrize("mode", [ProxyMode.SILENT, ProxyMode.ONE_WAY])
    async def test_the_end_is_dropped_with_the_data(self, mode):
        async with listen(serve_once) as target:
            proxy = FaultProxy(target)
            await proxy.start()
            proxy.mode = mode
            reader, writer = await connect(proxy.address)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(SILENCE_S):
                    await reader.read()
            writer.close()
            await proxy.stop()


class TestEndpointProcess:
    """Guards against a killed endpoint that differs from a real process."""

    async def test_it_forwards_until_the_end(self):
        async with start_process(serve_once) as process:
            reader, writer = await connect(process.address)
            async with asyncio.timeout(WAIT_S):
                assert await reader.read() == b"done\n"
            writer.close()

    async def test_a_kill_ends_connections_in_order(self):
        async with start_process(serve_forever) as process:
            reader, writer = await connect(process.address)
            writer.write(b"hello\n")
            async with asyncio.timeout(WAIT_S):
                assert await reader.readline() == b"hello\n"
                await process.kill()
                assert await reader.read() == b""
            writer.close()

    async def test_a_killed_endpoint_refuses_connections_until_it_is_back(
        self,
    ):
        async with start_process(serve_once) as process:
            address = process.address
            await process.kill()
            with pytest.raises(ConnectionRefusedError):
                await connect(address)
            await process.start()
            assert process.address == address
            reader, writer = await connect(address)
            async with asyncio.timeout(WAIT_S):
                assert await reader.read() == b"done\n"
            writer.close()
