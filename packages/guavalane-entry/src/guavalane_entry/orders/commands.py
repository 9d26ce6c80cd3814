"""Operators' orders to model engines."""

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
# Names that the object API takes for an object.
OBJECT_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
# Engines that a report reads at once.
READS_AT_ONCE = 32
PATH = "/operator/orders"


@attrs.frozen
class OrderRequest:
    """An operator's order; what is None stays as ordered before.

    Attributes:
      endpoint: Engine.
      model: Model to serve.
      version: Version of the model.
      role: Role, one of `ROLES`.
      adapters: Adapters to have loaded.
      load_bytes: Bytes that the engine has to load for it.
      who: Operator.
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
        """Returns the order of a request body.

        Raises:
          InvalidRequestError: A field is unknown or has another type.
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
    """Records orders and reports on them; any node may do both.

    Args:
      runner: Sender on this node.
      state: Configuration in force.
      api: Object API.
    """

    def __init__(
        self, runner: OrderRunner, state: ConfigurationState, api: ObjectApi
    ) -> None:
        self._runner = runner
        self._state = state
        self._intents = IntentStore(api)

    async def order(self, asked: OrderRequest) -> dict[str, Any]:
        """Records an order, which the holder of the lease carries out.

        Returns:
          The order with its state: `in_force`, or `accepted`.

        Raises:
          OrderRefusedError: The order cannot be given.
          OrderConflictError: Another order for the engine came first.
          OrderNotSentError: The object API did not record the order.
          WriteOutcomeUnknownError: Nobody can tell whether it is recorded.
        """
        self._check_endpoint(asked.endpoint)
        try:
            intent = await self._intents.place(
                asked.endpoint, lambda before: self._intent(asked, before)
            )
        except WriteOutcomeUnknownError:
            raise WriteOutcomeUnknownError(
                f"it is not known whether the order for {asked.endpoint} was"
                " recorded; repeating it does no harm"
            ) from None
        except ObjectApiError as error:
            raise OrderNotSentError(
                f"the order for {asked.endpoint} was not recorded and not"
                f" sent: {error}"
            ) from error
        report = await self._report(intent, asyncio.Semaphore(1))
        if report["state"] != "in_force":
            report["state"] = "accepted"
        return report

    async def list(self) -> list[dict[str, Any]]:
        """Returns all orders and what each engine reports.

        Raises:
          ObjectApiError: The orders could not be read.
        """
        reads = asyncio.Semaphore(READS_AT_ONCE)
        found = await self._intents.list()
        return await asyncio.gather(
            *(self._report(intent, reads) for _, intent in found)
        )

    async def get(self, endpoint: str) -> dict[str, Any]:
        """Returns the order for an endpoint and what the engine reports.

        Raises:
          UnknownOrderError: There is none.
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

    def _intent(self, asked: OrderRequest, before: Intent | None) -> Intent:
        old = before.desired if before is not None else None
        model = asked.model or (old.model if old else "")
        version = asked.version or (old.version if old else "")
        if not model or not version:
            raise OrderRefusedError(
                f"the first order for {asked.endpoint} has to state model and"
                " version"
            )
        adapters = asked.adapters
        if adapters is None:
            adapters = old.adapters if old else ()
        role = asked.role or (old.role if old else "both")
        desired = DesiredState(model, version, role, adapters)
        size = asked.load_bytes
        if size is None:
            size = self._load_bytes(asked.endpoint, desired, before)
        if size and not load_rate(self._state.current, asked.endpoint):
            raise OrderRefusedError(
                "the configuration states no weight_store_bytes_per_s for the"
                f" deployment of {asked.endpoint}"
            )
        return Intent(asked.endpoint, desired, size, 0, by=asked.who)

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
            # A load of unknown size could not be kept within the rate.
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
        asked = OrderRequest.from_plain(request.json)
        return json_response(await commands.order(asked))

    async def get(_: Request, endpoint: str) -> HTTPResponse:
        return json_response(await commands.get(endpoint))

    app.add_route(list_orders, PATH, methods=["GET"])
    app.add_route(order, PATH, methods=["POST"], name="give_order")
    app.add_route(get, f"{PATH}/<endpoint:str>", methods=["GET"], name="order")
