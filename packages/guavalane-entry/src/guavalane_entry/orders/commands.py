"""Operator commands for orders to model engines."""

from __future__ import annotations

import asyncio
import re
from typing import Any

import attrs
from sanic import Request, Sanic
from sanic.response import HTTPResponse
from sanic.response import json as json_response

from guavalane_core.configuration import ConfigurationState
from guavalane_core.exceptions import (
    InvalidRequestError,
    ObjectApiError,
    OrderFailedError,
    OrderNotSentError,
    OrderRefusedError,
    UnknownOrderError,
    WriteOutcomeUnknownError,
)
from guavalane_core.objects import ObjectApi
from guavalane_core.orders import (
    DesiredState,
    EngineStatus,
    Intent,
    IntentStore,
)
from guavalane_entry.orders.issuing import (
    OrderRunner,
    is_model_engine,
    load_rate,
)

ROLES = ("both", "decode", "prefill")
# Object names that the object API accepts.
OBJECT_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
# Number of engines that a report reads concurrently.
MAX_CONCURRENT_READS = 32
PATH = "/operator/orders"


@attrs.frozen
class OrderRequest:
    """Order of an operator; fields that are None keep their last value.

    Attributes:
      endpoint: Endpoint of the engine.
      model: Model to serve.
      version: Version of the model.
      role: Role, one of `ROLES`.
      adapters: Adapters to load.
      load_bytes: Size of the weights that the engine has to load, in bytes.
      who: Name of the operator.
    """

    endpoint: str
    model: str | None = None
    version: str | None = None
    role: str | None = None
    adapters: tuple[str, ...] | None = None
    load_bytes: int | None = None
    who: str = ""

    @classmethod
    def from_plain(cls, data: Any) -> OrderRequest:
        """Parses the body of a request.

        Raises:
          InvalidRequestError: A field is unknown or has a wrong type.
        """
        names = [field.name for field in attrs.fields(cls)]
        if not isinstance(data, dict) or "endpoint" not in data:
            raise _invalid("expected a JSON object with endpoint")
        unknown = sorted(data.keys() - set(names))
        if unknown:
            raise _invalid(
                f"unknown fields {', '.join(unknown)}; allowed:"
                f" {', '.join(names)}"
            )
        for name in ("endpoint", "model", "version", "role", "who"):
            value = data.get(name)
            if value is not None and (not isinstance(value, str) or not value):
                raise _invalid(f"{name} must be text")
        adapters = data.get("adapters")
        if adapters is not None and (
            not isinstance(adapters, list)
            or not all(isinstance(a, str) and a for a in adapters)
        ):
            raise _invalid("adapters must be a list of names")
        size = data.get("load_bytes")
        if size is not None and (type(size) is not int or size < 0):
            raise _invalid("load_bytes must be an integer of at least 0")
        if data.get("role") not in (None, *ROLES):
            raise _invalid(f"role must be one of {', '.join(ROLES)}")
        fields = {name: data.get(name) for name in names}
        if adapters is not None:
            fields["adapters"] = tuple(adapters)
        return cls(**{**fields, "who": data.get("who") or ""})


def _invalid(text: str) -> InvalidRequestError:
    return InvalidRequestError(text, not_run=True)


class OrderCommands:
    """Records orders and reports their state; available on every node.

    Args:
      runner: Order runner of this node.
      state: Configuration in force.
      api: Object API.
    """

    def __init__(
        self, runner: OrderRunner, state: ConfigurationState, api: ObjectApi
    ) -> None:
        self._runner = runner
        self._state = state
        self._intents = IntentStore(api)

    async def order(self, request: OrderRequest) -> dict[str, Any]:
        """Records an order; the holder of the lease sends it to the engine.

        Returns:
          The order with its state: `in_force`, or `accepted`.

        Raises:
          OrderRefusedError: The order is not valid for the endpoint.
          OrderConflictError: Another order for the engine was recorded first.
          OrderNotSentError: The order could not be recorded.
          WriteOutcomeUnknownError: It is unknown whether the order was
              recorded.
        """
        self._check_endpoint(request.endpoint)
        try:
            intent = await self._intents.place(
                request.endpoint, lambda before: self._intent(request, before)
            )
        except WriteOutcomeUnknownError:
            raise WriteOutcomeUnknownError(
                f"it is not known whether the order for {request.endpoint} was"
                " recorded; repeating it does no harm"
            ) from None
        except ObjectApiError as error:
            raise OrderNotSentError(
                f"the order for {request.endpoint} was not recorded and not"
                f" sent: {error}"
            ) from error
        report = await self._report(intent, asyncio.Semaphore(1))
        if report["state"] != "in_force":
            report["state"] = "accepted"
        return report

    async def list(self) -> list[dict[str, Any]]:
        """Returns all orders and the reported status of each engine.

        Raises:
          ObjectApiError: The orders could not be read.
        """
        reads = asyncio.Semaphore(MAX_CONCURRENT_READS)
        found = await self._intents.list()
        return await asyncio.gather(
            *(self._report(intent, reads) for _, intent in found)
        )

    async def get(self, endpoint: str) -> dict[str, Any]:
        """Returns the order for an endpoint and the status of the engine.

        Raises:
          UnknownOrderError: There is no order for the endpoint.
          ObjectApiError: The order could not be read.
        """
        _, intent = await self._intents.get(endpoint)
        if intent is None:
            raise UnknownOrderError(f"no order was given for {endpoint!r}")
        return await self._report(intent, asyncio.Semaphore(1))

    def _check_endpoint(self, endpoint: str) -> None:
        configuration = self._state.current
        if endpoint not in configuration.endpoints:
            raise OrderRefusedError(f"endpoint {endpoint!r} is not configured")
        if not is_model_engine(configuration, endpoint):
            raise OrderRefusedError(
                f"endpoint {endpoint!r} is not a model engine: no route of"
                " kind model leads to its deployment"
            )
        if not OBJECT_NAME.fullmatch(endpoint):
            raise OrderRefusedError(
                f"endpoint {endpoint!r} has a name that the object API does"
                " not take"
            )

    def _intent(self, request: OrderRequest, before: Intent | None) -> Intent:
        old = before.desired if before is not None else None
        model = request.model or (old.model if old else "")
        version = request.version or (old.version if old else "")
        if not model or not version:
            raise OrderRefusedError(
                f"the first order for {request.endpoint} has to state model and"
                " version"
            )
        adapters = request.adapters
        if adapters is None:
            adapters = old.adapters if old else ()
        role = request.role or (old.role if old else "both")
        desired = DesiredState(model, version, role, adapters)
        size = request.load_bytes
        if size is None:
            size = self._load_bytes(request.endpoint, desired, before)
        if size and not load_rate(self._state.current, request.endpoint):
            raise OrderRefusedError(
                "the configuration states no weight_store_bytes_per_s for the"
                f" deployment of {request.endpoint}"
            )
        return Intent(request.endpoint, desired, size, 0, by=request.who)

    def _load_bytes(
        self, endpoint: str, desired: DesiredState, before: Intent | None
    ) -> int:
        if before is not None and before.desired == attrs.evolve(
            desired, role=before.desired.role
        ):
            return before.load_bytes
        configuration = self._state.current
        fleet = configuration.fleets.get(
            configuration.endpoints[endpoint].deployment
        )
        if fleet is None:
            # The rate limit of the weight store needs the size of the load.
            raise OrderRefusedError(
                f"state how many bytes {endpoint} has to load, 0 for none: its"
                " deployment has no fleet rules that name the model's size"
            )
        return int(fleet.model_bytes)

    async def _report(
        self, intent: Intent, reads: asyncio.Semaphore
    ) -> dict[str, Any]:
        status = None
        configured = intent.endpoint in self._state.current.endpoints
        if configured:
            async with reads:
                try:
                    status = await self._runner.engines.read(intent.endpoint)
                except OrderFailedError:
                    status = None
        return {
            "endpoint": intent.endpoint,
            "state": _state(intent, status, configured),
            "order": intent.desired.to_plain(),
            "load_bytes": intent.load_bytes,
            "revision": intent.revision,
            "by": intent.by,
            "fencing_number": intent.fencing_number,
            "reported": None
            if status is None
            else {
                **status.state.to_plain(),
                "loading": status.loading,
                "fencing_number": status.fencing_number,
            },
        }


def _state(
    intent: Intent, status: EngineStatus | None, configured: bool
) -> str:
    if not configured:
        return "not_configured"
    if status is None:
        return "unreachable"
    if status.state != intent.desired:
        return "waiting"
    return "loading" if status.loading else "in_force"


def add_routes(app: Sanic, commands: OrderCommands) -> None:
    """Adds the operator routes of orders to an application."""

    async def list_orders(_: Request) -> HTTPResponse:
        return json_response(await commands.list())

    async def order(request: Request) -> HTTPResponse:
        parsed = OrderRequest.from_plain(request.json)
        return json_response(await commands.order(parsed))

    async def get(_: Request, endpoint: str) -> HTTPResponse:
        return json_response(await commands.get(endpoint))

    app.add_route(list_orders, PATH, methods=["GET"])
    app.add_route(order, PATH, methods=["POST"], name="give_order")
    app.add_route(get, f"{PATH}/<endpoint:str>", methods=["GET"], name="order")
