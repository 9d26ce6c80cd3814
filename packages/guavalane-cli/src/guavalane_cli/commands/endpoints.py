"""Commands for endpoints and engine orders."""

from __future__ import annotations

import sys
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

from guavalane_cli.client import OperatorApiError, OperatorClient
from guavalane_cli.commands.move import Context, parse_duration, user_name
from guavalane_core.exceptions import ConfigurationError

ORDERS_PATH = "/operator/orders"
POLL_INTERVAL_S = 0.2
IN_FORCE = "in_force"
# Error codes after which the order may or may not have been recorded.
UNKNOWN_OUTCOME_CODES = ("write_outcome_unknown", "internal_error")


def parse_names(value: Any) -> list[str]:
    """Parses a comma-separated list of names; fire may pass it as a tuple."""
    parts = value if isinstance(value, tuple | list) else str(value).split(",")
    return [name for part in parts if (name := str(part).strip())]


def send_order(
    client: OperatorClient,
    endpoint: str,
    wait_s: float = 0.0,
    **fields: Any,
) -> dict[str, Any]:
    """Sends an engine order and returns the result.

    Args:
      client: Client of any node.
      endpoint: Name of the engine's endpoint.
      wait_s: Maximum wait until the order is in force, in seconds.
      **fields: `model`, `version`, `role`, `adapters`, `load_bytes` and `who`;
          fields that are None keep their previous value.

    Returns:
      Map with `endpoint` and `state`. The state is `accepted`, `in_force`,
      `refused` or `not_known`; the last two come with `code` and `detail`.
    """
    body = {"endpoint": str(endpoint)}
    body.update((k, v) for k, v in fields.items() if v is not None)
    try:
        result = client.post(ORDERS_PATH, body)
    except OperatorApiError as error:
        unknown = error.maybe_sent or error.code in UNKNOWN_OUTCOME_CODES
        return {
            "endpoint": str(endpoint),
            "state": "not_known" if unknown else "refused",
            "code": error.code,
            "detail": str(error),
            "status": error.status,
        }
    if result["state"] != IN_FORCE and wait_s:
        result = _wait_until_in_force(client, result, wait_s)
    return result


def _wait_until_in_force(
    client: OperatorClient, result: dict[str, Any], limit_s: float
) -> dict[str, Any]:
    path = f"{ORDERS_PATH}/{urllib.parse.quote(result['endpoint'], safe='')}"
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        try:
            current = client.get(path)
        except OperatorApiError:
            continue
        if current["revision"] != result["revision"]:
            # A newer order has replaced this one.
            break
        if current["state"] == IN_FORCE:
            return current
    return result


def list_orders(client: OperatorClient) -> list[dict[str, Any]]:
    """Returns all orders and the state that each engine reports."""
    return client.get(ORDERS_PATH)


def format_engine_state(state: dict[str, Any] | None) -> str:
    """Formats an ordered or reported engine state."""
    if state is None:
        return "-"
    adapters = "+".join(state["adapters"])
    text = f"{state['model'] or '-'} {state['version']} {state['role']}"
    return f"{text} with {adapters}" if adapters else text


def order_table_rows(orders: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns one table row per order."""
    return [
        {
            "endpoint": row["endpoint"],
            "state": row["state"],
            "ordered": format_engine_state(row["order"]),
            "reported": format_engine_state(row["reported"]),
            "by": row["by"] or "-",
            "revision": row["revision"],
            "fencing_number": row["fencing_number"],
        }
        for row in orders
    ]


def render_order_result(result: dict[str, Any]) -> str:
    """Renders the result of an order as text."""
    name, state = result["endpoint"], result["state"]
    if state in ("refused", "not_known"):
        text = "refused" if state == "refused" else "not known"
        return f"{name}: {text}: {result['code']}: {result['detail']}"
    text = "in force" if state == IN_FORCE else "accepted, not in force yet"
    reported = format_engine_state(result["reported"])
    return (
        f"{name}: {text}: {format_engine_state(result['order'])}"
        f" (engine reports: {reported})"
    )


class EndpointCommands:
    """Lists endpoints; sends and lists orders to model engines.

    Args:
      context: Target node and output format.
      exit_code_for: Returns the exit code for an error.
    """

    def __init__(
        self,
        context: Context,
        exit_code_for: Callable[[OperatorApiError], int],
    ) -> None:
        self._context = context
        self._exit_code_for = exit_code_for

    def __call__(self) -> None:
        """Lists the endpoints that the node uses."""
        self._context.show(self._context.client.get("/operator/endpoints"))

    def order(
        self,
        endpoint: str,
        model: Any = None,
        version: Any = None,
        role: str | None = None,
        adapters: Any = None,
        load_bytes: int | None = None,
        wait: Any = 0,
        who: str = "",
    ) -> None:
        """Orders the state of a model engine; omitted fields keep their value.

        Result: accepted, in force, refused (with a code) or not known.

        Args:
          endpoint: Name of the endpoint in the configuration.
          model: Model to serve.
          version: Version of the model.
          role: `both`, `prefill` or `decode`.
          adapters: Adapters to load, separated by commas; "" for none.
          load_bytes: Bytes to load; default: the value in the fleet rules.
          wait: Maximum wait until the order is in force, such as 30s.
          who: Name for the record; default: the name of the user.
        """
        if load_bytes is not None and type(load_bytes) is not int:
            raise ConfigurationError(
                [f"load_bytes: expected an integer, got {load_bytes!r}"]
            )
        result = send_order(
            self._context.client,
            endpoint,
            parse_duration(wait),
            model=None if model is None else str(model),
            version=None if version is None else str(version),
            role=role,
            adapters=None if adapters is None else parse_names(adapters),
            load_bytes=load_bytes,
            who=who or user_name(),
        )
        if self._context.as_json:
            self._context.show(result)
        else:
            print(render_order_result(result))
        if "code" in result:
            error = OperatorApiError(
                result["detail"], result["code"], result["status"]
            )
            sys.exit(self._exit_code_for(error))

    def orders(self) -> None:
        """Lists the orders and the state that each engine reports."""
        orders = list_orders(self._context.client)
        self._context.show(
            orders if self._context.as_json else order_table_rows(orders)
        )
