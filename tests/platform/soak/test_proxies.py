"""Tests of the proxy before a stand-in."""

from __future__ import annotations

import asyncio

import pytest

from guavalane_standins.broken_server import listen
from soak.proxy import FaultProxy, ProxyMode

SILENCE_S = 0.3


async def serve_once(reader, writer):
    """Sends a line, and closes in order."""
    del reader
    writer.write(b"done\n")
    writer.close()


async def connect(address):
    """Connects to an address."""
    host, _, port = address.partition(":")
    return await asyncio.open_connection(host, port)


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
