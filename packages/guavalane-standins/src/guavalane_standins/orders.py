"""Order API of the stand-in engine."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import attrs
from aiohttp import web

from guavalane_standins import web as standin_web

CHUNK_BYTES = 64 * 1024
RETRY_DELAY_S = 0.1


@attrs.define
class OrderBehaviour:
    """Configurable behaviour of the order API.

    Attributes:
      checks_fencing: Whether orders with a stale fencing number are rejected.
      weights_url: Base URL of the weight store that models are loaded from;
          empty for none.
      load_s: Duration of a model load, in seconds; reads from the weight
          store add to it.
    """

    checks_fencing: bool = False
    weights_url: str = ""
    load_s: float = 0.0


class OrderHandler:
    """Accepts declarative orders and loads models.

    Args:
      version: Initial engine version.
    """

    def __init__(self, version: str) -> None:
        self._state: dict[str, Any] = {
            "model": "",
            "version": version,
            "role": "both",
            "adapters": [],
        }
        self._highest_fencing_number = 0
        self._orders: list[dict[str, Any]] = []
        self._refused = 0
        self._load_task: asyncio.Task | None = None
        self.behaviour = OrderBehaviour()

    @property
    def orders(self) -> list[dict[str, Any]]:
        """Accepted orders with their fencing numbers, in order of arrival."""
        return self._orders

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the order API."""
        return [
            web.get("/orders/state", self._get_state),
            web.put("/orders/state", self._put_state),
            web.post("/standin/orders", self._set_behaviour),
            web.get("/standin/orders", self._get_orders),
        ]

    async def wait_until_loaded(self) -> None:
        """Waits for the current model load, if any."""
        if self._load_task is not None:
            await self._load_task

    async def _get_state(self, _: web.Request) -> web.Response:
        loading = self._load_task is not None and not self._load_task.done()
        return web.json_response(
            {
                "state": self._state,
                "loading": loading,
                "fencing_number": self._highest_fencing_number,
            }
        )

    async def _put_state(self, request: web.Request) -> web.Response:
        state = await standin_web.read_json(request)
        number = int(request.headers.get("X-Fencing-Number", 0))
        if self.behaviour.checks_fencing:
            if number < self._highest_fencing_number:
                self._refused += 1
                return web.json_response(
                    {"error": f"fencing number {number} is old"}, status=409
                )
            self._highest_fencing_number = number
        self._orders.append({"fencing_number": number, "state": state})
        if state["model"] != self._state["model"] or (
            state["version"] != self._state["version"]
        ):
            if self._load_task is not None:
                self._load_task.cancel()
            self._load_task = asyncio.create_task(self._load_weights(state))
        self._state = state
        return web.json_response({})

    async def _load_weights(self, state: dict[str, Any]) -> None:
        await asyncio.sleep(self.behaviour.load_s)
        if not self.behaviour.weights_url:
            return
        url = f"{self.behaviour.weights_url}/weights/{state['model']}"
        start = 0
        async with aiohttp.ClientSession() as session:
            while True:
                byte_range = f"bytes={start}-{start + CHUNK_BYTES - 1}"
                async with session.get(
                    url, headers={"Range": byte_range}
                ) as response:
                    data = await response.read()
                if response.status == 416:
                    return
                if response.status == 206:
                    start += len(data)
                else:
                    await asyncio.sleep(RETRY_DELAY_S)

    async def _set_behaviour(self, request: web.Request) -> web.Response:
        data = await standin_web.read_json(request)
        standin_web.update_fields(self.behaviour, data)
        return web.json_response(attrs.asdict(self.behaviour))

    async def _get_orders(self, _: web.Request) -> web.Response:
        return web.json_response(
            {"orders": self._orders, "refused": self._refused}
        )
