"""Fixtures of the tests against the stand-in platform."""

from __future__ import annotations

import pytest
from aiohttp import web

from guavalane_platform.objects import StoreObjectApi
from guavalane_platform_standins.store import StoreServer
from guavalane_standins.processes import free_port


@pytest.fixture
async def store():
    """Yields a running stand-in store and a client."""
    server = StoreServer()
    runner = web.AppRunner(server.application(), shutdown_timeout=0.1)
    await runner.setup()
    port = free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    client = StoreObjectApi(f"127.0.0.1:{port}")
    yield server, client
    await client.close()
    await runner.cleanup()
