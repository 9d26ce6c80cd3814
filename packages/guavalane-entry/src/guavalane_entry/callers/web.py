"""HTTP server base shared by the caller and operator servers."""

from __future__ import annotations

import asyncio
from typing import Any

from loguru import logger as log
from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse, json

from guavalane_core.exceptions import GuavalaneError, RequestError
from guavalane_core.settings import LimitSettings, Listen
from guavalane_core.timers import LoopTimers
from guavalane_entry.caller_bounds import CallerBounds
from guavalane_entry.caller_socket import bind_caller_socket
from guavalane_entry.callers.protocol import BoundedProtocol, BoundedRequest

PROBLEM_TYPE = "application/problem+json"
STOP_TIMEOUT_S = 2.0
# Time to receive the head of a request, and longest time without a part of its
# body, in seconds.
REQUEST_TIMEOUT_S = 30
_CODES = {
    400: "invalid_request",
    404: "unknown_route",
    405: "method_not_allowed",
    408: "request_timeout",
    413: "body_too_large",
    431: "header_too_large",
}


_touch_up_claimed = False


def _claim_touch_up() -> bool:
    """Returns True on the first call in a process.

    The touch-up of sanic removes unused code from its protocol classes. It
    applies to all applications of a process and fails when run twice.
    """
    global _touch_up_claimed
    first, _touch_up_claimed = not _touch_up_claimed, True
    return first


def problem_body(error: Exception) -> dict[str, Any]:
    """Returns the problem document of an error."""
    if isinstance(error, RequestError):
        not_run = error.not_run
        status, code, detail = error.status, error.code, str(error)
    elif isinstance(error, GuavalaneError):
        status, code, detail, not_run = (
            error.status,
            error.code,
            str(error),
            True,
        )
    elif isinstance(error, SanicException):
        # Sanic raises these before a handler has dispatched the request.
        status = error.status_code
        code = _CODES.get(status, "invalid_request")
        detail, not_run = str(error), True
    else:
        status, code, not_run = 500, "internal_error", False
        detail = "an internal error occurred; see the log of the node"
    return {
        "type": f"urn:guavalane:error:{code}",
        "title": code.replace("_", " "),
        "status": status,
        "code": code,
        "not_run": not_run,
        "detail": detail,
    }


def problem(error: Exception) -> HTTPResponse:
    """Returns the problem document of an error as an HTTP response."""
    body = problem_body(error)
    headers = {"Retry-After": "1"} if body["status"] in (429, 503) else None
    return json(
        body,
        status=body["status"],
        headers=headers,
        content_type=PROBLEM_TYPE,
    )


def _handle_error(_: Request, error: Exception) -> HTTPResponse:
    if not isinstance(error, GuavalaneError | SanicException):
        log.opt(exception=error).error(
            "web: unexpected error in a request handler"
        )
    return problem(error)


class WebServer:
    """Serves one sanic application on the running event loop.

    Args:
      name: Name of the application, unique in the process.
      listen: Address to listen on.
      limits: Limits on request size.
      bounds: Bounds on bodies and connections; by default those of a process
          whose size is unknown.
    """

    def __init__(
        self,
        name: str,
        listen: Listen,
        limits: LimitSettings,
        bounds: CallerBounds | None = None,
    ) -> None:
        self._listen = listen
        self._server: Any = None
        app = Sanic(name, configure_logging=False, request_class=BoundedRequest)
        app.ctx.bounds = bounds or CallerBounds(LoopTimers())
        app.config.update(
            {
                "REQUEST_MAX_SIZE": limits.max_body_bytes,
                "REQUEST_MAX_HEADER_SIZE": limits.max_header_bytes,
                "REQUEST_TIMEOUT": REQUEST_TIMEOUT_S,
                # Routes have their own timeouts, of 86,400 s at most.
                "RESPONSE_TIMEOUT": 90_000,
                "KEEP_ALIVE_TIMEOUT": 75,
                "GRACEFUL_SHUTDOWN_TIMEOUT": STOP_TIMEOUT_S,
                "ACCESS_LOG": False,
                "MOTD": False,
                "TOUCHUP": _claim_touch_up(),
            }
        )
        app.error_handler.add(Exception, _handle_error)
        self._app = app

    @property
    def app(self) -> Sanic:
        """Sanic application; routes must be added before `start`."""
        return self._app

    async def start(self) -> None:
        """Starts listening."""
        self._server = await self._app.create_server(
            sock=bind_caller_socket(self._listen.host, self._listen.port),
            protocol=BoundedProtocol,
            return_asyncio_server=True,
            access_log=False,
        )
        await self._server.startup()
        await self._server.start_serving()

    async def stop(self) -> None:
        """Closes the listening socket and idle connections."""
        if self._server is None:
            return
        self._server.close()
        for connection in list(self._server.connections):
            connection.close_if_idle()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await self._server.wait_closed()
