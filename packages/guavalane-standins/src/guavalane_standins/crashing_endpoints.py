"""Scripted endpoints that crash when they begin to run certain requests."""

from __future__ import annotations

from collections.abc import Callable

from guavalane_standins.gateway_rig import GatewayRig, echo_headers
from guavalane_standins.scripted_endpoint import (
    Exchange,
    ReceivedRequest,
    ScriptedEndpoint,
)

STREAM_HEAD = (
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream",
    "Transfer-Encoding: chunked",
)
EVENT = b"id: 1\ndata: token-1\n\n"


class CrashingEndpoints:
    """Endpoints of a rig, each of which crashes once at most.

    Attributes:
      crashes: Number of crashed endpoints.
      crashes_on: Returns whether a request crashes the endpoint that runs it.

    Args:
      rig: Rig in which they run.
      crashes_on: Initial value of the attribute.
      streams: Whether they send a stream, whose head comes before a crash.
    """

    def __init__(
        self,
        rig: GatewayRig,
        crashes_on: Callable[[ReceivedRequest], bool],
        *,
        streams: bool = False,
    ) -> None:
        self.crashes = 0
        self.crashes_on = crashes_on
        self._rig = rig
        self._streams = streams
        self._started = 0

    async def start(self, count: int) -> None:
        """Starts endpoints."""
        for _ in range(count):
            name = f"e-{self._started}"
            self._started += 1
            endpoint = await self._rig.add_endpoint(None, name)
            endpoint.script = self._make_script(endpoint)

    def _make_script(self, endpoint: ScriptedEndpoint) -> Callable:
        async def script(exchange: Exchange) -> None:
            if self._streams:
                await _send_head(exchange)
            if self.crashes_on(exchange.request):
                self.crashes += 1
                await endpoint.stop()
                await exchange.reset()
            elif self._streams:
                size = f"{len(EVENT):x}\r\n".encode()
                await exchange.send(size + EVENT + b"\r\n0\r\n\r\n")
            else:
                await exchange.answer(200, echo_headers(exchange), b"done")

        return script


async def _send_head(exchange: Exchange) -> None:
    lines = [*STREAM_HEAD]
    lines += [f"{k}: {v}" for k, v in echo_headers(exchange).items()]
    await exchange.send("\r\n".join([*lines, "", ""]).encode())
