"""Stand-in for a plain HTTP service with non-idempotent calls."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import fire
from aiohttp import web

from guavalane_standins import web as standin_web


@attrs.define
class Behaviour:
    """Latency and injected faults of the service.

    Attributes:
      delay_s: Latency of each call, in seconds.
      fail_status: HTTP status returned for every call; 0 disables the fault.
      lose_answers: Number of upcoming calls that are executed but whose
          connection is closed without a response.
      leaving: Whether new requests are rejected with 503 and
          `Connection: close`.
      deduplicates: Whether a repeated idempotency key returns the stored
          response of the first call.
      padding_bytes: Number of bytes added to each response.
    """

    delay_s: float = 0.005
    fail_status: int = 0
    lose_answers: int = 0
    leaving: bool = False
    deduplicates: bool = False
    padding_bytes: int = 0


class Service:
    """Assigns a serial number to each call and records all calls.

    Args:
      name: Service name included in responses.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._calls: list[dict[str, Any]] = []
        self._running = 0
        self._responses: dict[str, dict[str, Any]] = {}
        self.behaviour = Behaviour()

    @property
    def calls(self) -> list[dict[str, Any]]:
        """Calls accepted so far, in order of arrival."""
        return self._calls

    def application(self) -> web.Application:
        """Returns the aiohttp application of the stand-in."""
        app = standin_web.make_application()
        app.add_routes(
            [
                web.get("/health", self._get_health),
                web.get("/metrics", self._get_metrics),
                web.post("/standin/behaviour", self._set_behaviour),
                web.get("/standin/seen", self._get_seen),
                web.route("*", "/{path:.*}", self._handle_call),
            ]
        )
        return app

    async def _handle_call(self, request: web.Request) -> web.Response:
        if self.behaviour.leaving:
            return web.json_response(
                {"error": "shutting down"},
                status=503,
                headers={"Connection": "close"},
            )
        body = await request.text()
        key = request.headers.get("Idempotency-Key", "")
        if self.behaviour.deduplicates and key in self._responses:
            return web.json_response(self._responses[key], status=201)
        response = {
            "served_by": self._name,
            "serial": f"{self._name}-{len(self._calls) + 1}",
            "path": request.path,
        }
        if self.behaviour.padding_bytes:
            response["padding"] = "x" * self.behaviour.padding_bytes
        self._calls.append(
            {
                "method": request.method,
                "path": request.path,
                "key": key,
                "id": request.headers.get("X-Request-Id", ""),
                "body": body,
            }
        )
        self._running += 1
        try:
            await asyncio.sleep(self.behaviour.delay_s)
        finally:
            self._running -= 1
        if self.behaviour.fail_status:
            return web.json_response(
                {"error": "failed"}, status=self.behaviour.fail_status
            )
        self._responses[key] = response
        if self.behaviour.lose_answers > 0:
            self.behaviour.lose_answers -= 1
            request.transport.abort()
            raise asyncio.CancelledError
        status = 201 if request.method == "POST" else 200
        return web.json_response(response, status=status)

    async def _get_health(self, _: web.Request) -> web.Response:
        return web.Response(status=503 if self.behaviour.leaving else 200)

    async def _get_metrics(self, _: web.Request) -> web.Response:
        lines = [
            f"vllm:num_requests_running {self._running}",
            "vllm:num_requests_waiting 0",
        ]
        return web.Response(text="\n".join(lines) + "\n")

    async def _set_behaviour(self, request: web.Request) -> web.Response:
        data = await standin_web.read_json(request)
        standin_web.update_fields(self.behaviour, data)
        return web.json_response(attrs.asdict(self.behaviour))

    async def _get_seen(self, _: web.Request) -> web.Response:
        return web.json_response({"requests": self._calls})


def main(port: int, name: str) -> None:
    """Runs the stand-in service.

    Args:
      port: TCP port on loopback.
      name: Service name included in responses.
    """
    standin_web.serve(Service(name).application(), port)


if __name__ == "__main__":
    fire.Fire(main)
