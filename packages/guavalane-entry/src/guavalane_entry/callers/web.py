"""What the servers for callers and for operators share."""

from __future__ import annotations

import asyncio
from typing import Any

from loguru import logger as log
from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse, json

from guavalane_core.exceptions import GuavalaneError, RequestError
from guavalane_core.settings import LimitSettings, Listen

PROBLEM_TYPE = "application/problem+json"
STOP_LIMIT_S = 2.0
_CODES = {
    400: "invalid_request",
    404: "unknown_route",
    405: "method_not_allowed",
    408: "request_timeout",
    413: "body_too_large",
    431: "header_too_large",
}


_touched_up = False


def _take_touch_up() -> bool:
    """Returns True once per process.

    sanic's touch-up removes unused code from its protocol classes. It changes
    them for all applications of a process, and a second run fails.
    """
    global _touched_up
    first, _touched_up = not _touched_up, True
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
        # Sanic raises these before a handler has sent anything on.
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
    """Returns the answer that reports an error to a caller."""
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
        log.opt(exception=error).error("web: unexpected error")
    return problem(error)


class WebServer:
    """One sanic application served in this process on the running loop.

    Args:
      name: Name of the application, unique in the process.
      listen: Address.
      limits: Bounds on requests.
    """

    def __init__(
        self, name: str, listen: Listen, limits: LimitSettings
    ) -> None:
        self._listen = listen
        self._server: Any = None
        app = Sanic(name, configure_logging=False)
        app.config.update(
            {
                "REQUEST_MAX_SIZE": limits.max_body_bytes,
                "REQUEST_MAX_HEADER_SIZE": limits.max_header_bytes,
                "REQUEST_TIMEOUT": 30,
                # Routes have limits of their own.
                "RESPONSE_TIMEOUT": 90_000,
                "KEEP_ALIVE_TIMEOUT": 75,
                "GRACEFUL_SHUTDOWN_TIMEOUT": STOP_LIMIT_S,
                "ACCESS_LOG": False,
                "MOTD": False,
                "TOUCHUP": _take_touch_up(),
            }
        )
        app.error_handler.add(Exception, _handle_error)
        self._app = app

    @property
    def app(self) -> Sanic:
        """Application to add routes to before `start`."""
        return self._app

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await self._app.create_server(
            host=self._listen.host,
            port=self._listen.port,
            return_asyncio_server=True,
            access_log=False,
        )
        await self._server.startup()
        await self._server.start_serving()

    async def stop(self) -> None:
        """Closes the listening socket and all connections."""
        if self._server is None:
            return
        self._server.close()
        for connection in list(self._server.connections):
            connection.close_if_idle()
        async with asyncio.timeout(STOP_LIMIT_S):
            await self._server.wait_closed()
