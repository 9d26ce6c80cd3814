"""HTTP servers for readiness checks, metrics and other nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from guavalane_core.limits.connections import CallerConnections
from guavalane_entry.gateway.settings import Address

# Connections of the readiness address, and of the metrics. The platform and the
# operators open one each.
MAX_STATUS_CONNECTIONS = 32
# Time for connections to close on shutdown, in seconds. aiohttp treats 0 as no
# limit.
CLOSE_TIMEOUT_S = 0.1

StreamHandler = Callable[[BaseRequest], Awaitable[StreamResponse]]


class _StatusConnection(RequestHandler):
    """Connection of a status listener, of which there are few.

    Args:
      connections: Open connections of the listener.
      arguments: Arguments of the base class.
    """

    def __init__(
        self,
        connections: CallerConnections[_StatusConnection],
        *arguments: Any,
        **named: Any,
    ) -> None:
        super().__init__(*arguments, **named)
        self._connections = connections

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts a connection, and closes one if there are too many."""
        super().connection_made(transport)
        excess = self._connections.open(self, self._loop.time())
        if excess is not None and excess.transport is not None:
            excess.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Processes bytes of a request."""
        self._connections.on_progress(self)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection."""
        self._connections.close(self)
        super().connection_lost(exc)


class _StatusServer(Server):
    """Server that closes the connection that was idle for longest.

    Args:
      handler: Handles a request.
      max_connections: Number of connections.
    """

    def __init__(
        self,
        handler: Callable[[BaseRequest], Awaitable[StreamResponse]],
        max_connections: int,
    ) -> None:
        super().__init__(handler)
        self._limited: CallerConnections[_StatusConnection] = CallerConnections(
            max_connections
        )

    def __call__(self) -> _StatusConnection:
        return _StatusConnection(
            self._limited,
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
        )


class StatusListener:
    """Serves short texts on a fixed set of paths.

    Args:
      address: Address to listen on.
      paths: Functions that return status and body, by path.
      streams: Functions that serve long-lived requests, by path.
      max_connections: Number of connections; None for no limit, between nodes.
    """

    def __init__(
        self,
        address: Address,
        paths: Mapping[str, Callable[[], tuple[int, bytes]]],
        streams: Mapping[str, StreamHandler] | None = None,
        max_connections: int | None = MAX_STATUS_CONNECTIONS,
    ) -> None:
        self._max_connections = max_connections
        self._address = address
        self._paths = paths
        self._streams = streams or {}
        self._server: Server | None = None
        self._sockets: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening."""
        if self._max_connections is None:
            self._server = Server(self._serve, access_log=None)
        else:
            self._server = _StatusServer(self._serve, self._max_connections)
        self._sockets = await asyncio.get_running_loop().create_server(
            self._server, self._address.host, self._address.port
        )

    async def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self._sockets is not None:
            self._sockets.close()
            await self._server.shutdown(CLOSE_TIMEOUT_S)

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        stream = self._streams.get(request.path)
        if stream is not None:
            return await stream(request)
        answer = self._paths.get(request.path)
        if answer is None or request.method != "GET":
            return Response(status=404)
        status, body = answer()
        return Response(status=status, body=body)
