"""Shared aiohttp helpers of the stand-ins, which listen on loopback."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from aiohttp import web

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 16 * 1024 * 1024


def make_application() -> web.Application:
    """Returns an application with the body size limit of stand-ins."""
    return web.Application(client_max_size=MAX_BODY_BYTES)


async def start(app: web.Application, port: int) -> web.AppRunner:
    """Starts a server; the caller must call `cleanup` on the runner."""
    runner = web.AppRunner(
        app, handler_cancellation=True, access_log=None, shutdown_timeout=0.2
    )
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port).start()
    return runner


def serve(app: web.Application, port: int) -> None:
    """Runs an application until the process is stopped."""

    async def run() -> None:
        await start(app, port)
        await asyncio.Event().wait()

    asyncio.run(run())


def update_fields(target: Any, data: dict[str, Any]) -> None:
    """Sets attributes of a behaviour or fault object from request data.

    Raises:
      web.HTTPBadRequest: The object has no such attribute.
    """
    for key, value in data.items():
        if not hasattr(target, key):
            raise web.HTTPBadRequest(text=f"unknown field {key}")
        setattr(target, key, value)


async def read_json(request: web.Request) -> Any:
    """Returns the decoded JSON body of a request.

    Raises:
      web.HTTPBadRequest: The body is not valid JSON.
    """
    try:
        return await request.json()
    except json.JSONDecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from None
