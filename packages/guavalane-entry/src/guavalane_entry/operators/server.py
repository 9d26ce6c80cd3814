"""HTTP server for operators: configuration, metrics and reports."""

from __future__ import annotations

import hmac
import inspect
from collections.abc import Callable
from typing import Any

from sanic import Request, Sanic
from sanic.response import HTTPResponse, raw
from sanic.response import json as json_response

from guavalane_core.configuration import ConfigurationState
from guavalane_core.exceptions import InvalidRequestError, UnauthorizedError
from guavalane_core.settings import NodeSettings
from guavalane_entry.callers.web import WebServer
from guavalane_entry.metrics import Metrics
from guavalane_entry.store.configuration import ConfigurationStore
from guavalane_entry.store.sharing import ConfigurationSharing

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class OperatorServer:
    """HTTP server for operators, who authenticate with the operator token.

    Args:
      settings: Settings of the node.
      state: Configuration in force.
      configuration_store: Stores configuration changes.
      metrics: Counters.
      sharing: Configuration exchange between nodes.
      reports: Functions that return a report, by its name in the path. They may
          be coroutine functions.
    """

    def __init__(
        self,
        settings: NodeSettings,
        state: ConfigurationState,
        configuration_store: ConfigurationStore,
        metrics: Metrics,
        sharing: ConfigurationSharing,
        reports: dict[str, Callable[[], Any]],
    ) -> None:
        self._settings = settings
        self._state = state
        self._configuration_store = configuration_store
        self._metrics = metrics
        self._sharing = sharing
        self._reports = reports
        self._web = WebServer(
            f"operators-{settings.name}", settings.operators, settings.limits
        )
        app = self._web.app
        app.on_request(self._authorize)
        app.add_route(self._get_metrics, "/metrics", methods=["GET"])
        app.add_route(self._get_config, "/operator/config", methods=["GET"])
        app.add_route(
            self._apply_config,
            "/operator/config",
            methods=["POST"],
            name="apply_config",
        )
        app.add_route(self._get_lagging, "/operator/lagging", methods=["GET"])
        app.add_route(
            self._get_report, "/operator/<report:str>", methods=["GET"]
        )

    @property
    def app(self) -> Sanic:
        """Application, to which other components add routes."""
        return self._web.app

    async def start(self) -> None:
        """Starts listening."""
        await self._web.start()

    async def stop(self) -> None:
        """Stops listening."""
        await self._web.stop()

    async def _authorize(self, request: Request) -> None:
        # Metrics contain no secrets, and scrapers have no token.
        if request.path == "/metrics":
            return
        given = request.headers.get("Authorization", "")
        expected = f"Bearer {self._settings.operator_token}"
        if not hmac.compare_digest(given.encode(), expected.encode()):
            raise UnauthorizedError("wrong operator token", not_run=True)

    async def _get_metrics(self, _: Request) -> HTTPResponse:
        return raw(self._metrics.render(), content_type=METRICS_TYPE)

    async def _get_config(self, _: Request) -> HTTPResponse:
        return json_response(self._state.plain)

    async def _apply_config(self, request: Request) -> HTTPResponse:
        data = request.json
        if not isinstance(data, dict) or not isinstance(
            data.get("configuration"), dict
        ):
            raise InvalidRequestError(
                "expected base and configuration", not_run=True
            )
        base = data.get("base", self._state.generation)
        generation = await self._configuration_store.change(
            data["configuration"], base
        )
        return json_response({"generation": generation})

    async def _get_lagging(self, request: Request) -> HTTPResponse:
        try:
            generation = int(request.args.get("generation", ""))
        except ValueError:
            raise InvalidRequestError(
                "expected generation, an integer", not_run=True
            ) from None
        return json_response(await self._sharing.find_lagging(generation))

    async def _get_report(self, _: Request, report: str) -> HTTPResponse:
        function = self._reports.get(report)
        if function is None:
            raise InvalidRequestError(
                f"unknown report {report!r}; allowed:"
                f" {', '.join(sorted(self._reports))}",
                not_run=True,
            )
        result = function()
        if inspect.isawaitable(result):
            result = await result
        return json_response(result)
