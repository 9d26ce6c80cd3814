"""In-process test rig for the forwarding components of a gateway node."""

from __future__ import annotations

import asyncio
import math
import random
from typing import Any

import aiohttp

from guavalane_core.forwarding import CallerLimits, ForwardingConfiguration
from guavalane_core.objects import MemoryObjectApi
from guavalane_core.timers import LoopTimers
from guavalane_entry.caller_bounds import CallerBounds
from guavalane_entry.gateway.codec import RequestCodec
from guavalane_entry.gateway.components import GatewayComponents
from guavalane_entry.gateway.crash_monitor import CrashMonitor
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.endpoint_client import EndpointClient
from guavalane_entry.gateway.endpoint_limits import EndpointLimits
from guavalane_entry.gateway.forwarder import Forwarder
from guavalane_entry.gateway.listener import CallerListener
from guavalane_entry.gateway.names import HeaderNames
from guavalane_entry.gateway.node import ANSWER_RESERVE_S
from guavalane_entry.gateway.quarantine import QuarantineService
from guavalane_entry.gateway.settings import Address, GatewaySettings
from guavalane_entry.gateway.view import NodeView
from guavalane_entry.metrics import Metrics
from guavalane_standins.forwarding_samples import make_endpoint
from guavalane_standins.processes import free_port
from guavalane_standins.scripted_endpoint import Exchange, ScriptedEndpoint

NAMES = HeaderNames()
HOST = "app.example"
# Headers of a request for a stream.
STREAM_HEADERS = {
    NAMES.model: "m",
    NAMES.token_counts: "1000,50",
    NAMES.prompt_parts: "a:250,b:500,c:250",
}
# Placeholder address of nodes that do not listen.
PLACEHOLDER_ADDRESS = Address("127.0.0.1", 7600)


def echo_headers(exchange: Exchange) -> dict[str, str]:
    """Returns the response headers that the node requires of an endpoint."""
    return {
        NAMES.request_id: exchange.request.header(NAMES.request_id) or "",
        NAMES.proof: "proof-1",
    }


def make_settings(
    name: str = "n1",
    address: Address = PLACEHOLDER_ADDRESS,
    **changes: Any,
) -> GatewaySettings:
    """Returns node settings that use one address for all listeners."""
    return GatewaySettings(
        name=name,
        zone="zone-a",
        callers=address,
        readiness=address,
        peers=address,
        metrics=address,
        **changes,
    )


def open_connection_to(rig: GatewayRig) -> Any:
    """Opens a TCP connection to a rig; await it for the reader and writer."""
    host, port = rig.address.split(":")
    return asyncio.open_connection(host, int(port))


async def send_request(
    rig: GatewayRig, headers: dict[str, str]
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Sends a request on a new connection; returns its reader and writer."""
    reader, writer = await open_connection_to(rig)
    lines = ["POST /a/x HTTP/1.1", f"Host: {HOST}", "Content-Length: 0"]
    lines.append(f"{NAMES.request_id}: q-1")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    return reader, writer


class GatewayRig:
    """Runs a caller listener, a forwarder and scripted endpoints on loopback.

    Args:
      configuration: Active configuration; None for an unconfigured node.
      bounds: Bounds on bodies and connections; by default those of a process
          whose size is unknown.
    """

    def __init__(
        self,
        configuration: ForwardingConfiguration | None,
        bounds: CallerBounds | None = None,
    ) -> None:
        listen = Address("127.0.0.1", free_port())
        settings = make_settings(address=listen)
        timers = LoopTimers()
        # The only node, which has run for longer than any window.
        self.view = NodeView(settings, timers, random.Random(1), -math.inf)
        self.view.on_peers_listed()
        if configuration is not None:
            self.view.update_configuration(configuration)
        self.metrics = Metrics()
        self.log = DecisionLog("n1", timers.wall)
        bounds = bounds or CallerBounds(timers)
        self.endpoint_client = EndpointClient(bounds)
        codec = RequestCodec(NAMES)
        self.quarantine = QuarantineService(
            self.view,
            MemoryObjectApi(),
            timers,
            self.log,
            lambda frame: None,
        )
        self.crash_monitor = CrashMonitor(
            self.view, self.endpoint_client, self.quarantine, timers, self.log
        )
        self.endpoint_limits = EndpointLimits(
            self.view, timers, self.log, lambda frame: None
        )
        self.forwarder = Forwarder(
            GatewayComponents(
                self.view,
                self.endpoint_client,
                codec,
                self.log,
                self.metrics,
                self.quarantine,
                self.crash_monitor,
                self.endpoint_limits,
            )
        )
        self.listener = CallerListener(
            listen,
            codec,
            timers,
            self._limits,
            self.forwarder.forward,
            self.view.stop_deadline,
            bounds,
        )
        self.address = str(listen)
        self._endpoints: list[ScriptedEndpoint] = []
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> GatewayRig:
        """Starts the listener and a client session."""
        await self.listener.start()
        self.session = aiohttp.ClientSession(auto_decompress=False)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stops the listener, the clients and the endpoints."""
        await self.session.close()
        await self.listener.drain(1.0)
        await self.crash_monitor.stop()
        await self.quarantine.stop()
        self.endpoint_limits.stop()
        await self.endpoint_client.close()
        for endpoint in self._endpoints:
            await endpoint.stop()

    async def stop(self, left_s: float) -> None:
        """Stops the listener as a node does after SIGTERM."""
        self.view.stop_deadline.begin(left_s - ANSWER_RESERVE_S)
        self.listener.close_after_responses()
        await self.listener.drain(left_s)

    async def add_endpoint(
        self, script: Any, name: str = "e-1", **changes: Any
    ) -> ScriptedEndpoint:
        """Starts a scripted endpoint and adds it to the directory."""
        endpoint = ScriptedEndpoint(script)
        await endpoint.start()
        self._endpoints.append(endpoint)
        self.view.directory.put(
            make_endpoint(name, address=endpoint.address, **changes)
        )
        return endpoint

    def add_unreachable_endpoint(
        self, name: str = "e-0", **changes: Any
    ) -> None:
        """Adds an endpoint that refuses connections to the directory."""
        address = f"127.0.0.1:{free_port()}"
        self.view.directory.put(make_endpoint(name, address=address, **changes))

    def call(
        self,
        path: str = "/a/x",
        method: str = "POST",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        request_id: str = "q-1",
    ) -> Any:
        """Sends a caller request; use the result as a context manager."""
        return self.session.request(
            method,
            f"http://{self.address}{path}",
            headers={
                "Host": HOST,
                NAMES.request_id: request_id,
                **(headers or {}),
            },
            data=body or None,
        )

    def _limits(self) -> CallerLimits:
        table = self.view.table
        return table.configuration.limits if table else CallerLimits()
