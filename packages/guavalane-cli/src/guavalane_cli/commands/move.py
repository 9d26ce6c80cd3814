"""Commands for version moves."""

from __future__ import annotations

import datetime
import getpass
import sys
import time
import urllib.parse
from typing import Any, Protocol

from guavalane_cli.client import OperatorClient
from guavalane_core.exceptions import ConfigurationError

MOVES_PATH = "/operator/moves"
POLL_INTERVAL_S = 1.0
SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}
# States of moves that have not ended.
OPEN_STATES = ("planned", "running")
EXIT_NOT_DONE = 1


class Context(Protocol):
    """Part of the command-line context that the commands use."""

    @property
    def client(self) -> OperatorClient:
        """Client of the target node."""

    @property
    def as_json(self) -> bool:
        """Whether output is JSON."""

    def show(self, value: Any) -> None:
        """Prints a value in the selected output format."""


def parse_duration(value: Any) -> float:
    """Parses a duration such as `90`, `90s`, `30m` or `2h` into seconds.

    Raises:
      ConfigurationError: The value is not a duration.
    """
    text = str(value).strip()
    unit = SECONDS_PER_UNIT.get(text[-1:], 0)
    number = text[:-1] if unit else text
    try:
        return float(number) * (unit or 1)
    except ValueError:
        raise ConfigurationError(
            [f"invalid duration {text!r}; expected e.g. 90s, 30m or 2h"]
        ) from None


def parse_time(value: Any) -> float:
    """Parses an ISO 8601 time into seconds since the epoch.

    Raises:
      ConfigurationError: The value is not an ISO 8601 time.
    """
    try:
        moment = datetime.datetime.fromisoformat(str(value))
    except ValueError:
        raise ConfigurationError(
            [f"invalid time {value!r}; expected e.g. 2026-03-01T06:00:00Z"]
        ) from None
    if moment.tzinfo is None:
        moment = moment.astimezone()
    return moment.timestamp()


def create_plan(
    client: OperatorClient,
    deployment: str,
    new: str,
    within: Any = None,
    by: Any = None,
    **options: Any,
) -> dict[str, Any]:
    """Creates a plan for a move.

    Args:
      client: Client of any node.
      deployment: Name of the deployment.
      new: Version to which traffic is moved.
      within: Time until the deadline, such as 30m.
      by: Deadline as ISO 8601 time, instead of `within`.
      **options: `old`, `at_deadline`, `requests_per_s` and `who`.

    Raises:
      ConfigurationError: The deadline is missing, ambiguous or malformed.
    """
    if (within is None) == (by is None):
        raise ConfigurationError(["specify exactly one of --within and --by"])
    body = {"deployment": str(deployment), "new": str(new), **options}
    if within is not None:
        body["within_s"] = parse_duration(within)
    else:
        body["deadline_s"] = parse_time(by)
    return client.post(MOVES_PATH, body)


def move_path(name: str, action: str = "") -> str:
    """Returns the operator API path of a move."""
    path = f"{MOVES_PATH}/{urllib.parse.quote(str(name), safe='')}"
    return f"{path}/{action}" if action else path


def wait_until_ended(client: OperatorClient, name: str) -> dict[str, Any]:
    """Waits until a move has ended and returns its status."""
    while True:
        status = client.get(move_path(name))
        if status["state"] not in OPEN_STATES:
            return status
        time.sleep(POLL_INTERVAL_S)


def render_plan(data: dict[str, Any]) -> str:
    """Renders a plan as text."""
    lines = [
        f"move {data['name']}: {data['deployment']} from {data['old']} to"
        f" {data['new']}, on generation {data['generation']}",
        f"deadline {_format_time(data['deadline_s'])},"
        f" then: {data['at_deadline']};"
        f" expected time {data['expected_s']:.0f} s",
        f"cost: {data['cost_endpoint_hours']:g} endpoint hours;"
        f" {data['new_endpoints']} new endpoints beside"
        f" {data['old_endpoints']} old ones, load per endpoint afterwards"
        f" {data['load_factor']:g} times that of now",
        f"stages ({data['sequence']}, at {data['requests_per_s']:.3g}"
        " requests/s):",
    ]
    lines += [
        f"  share {stage['share']:g}: at least {stage['requests']} requests and"
        f" {stage['hold_s']:.0f} s"
        for stage in data["stages"]
    ]
    lines.append("rolled back on:")
    lines += [f"  {text}" for text in data["rollback"]]
    lines.append(f"to begin: guavalane move confirm {data['name']}")
    return "\n".join(lines)


def render_explanation(data: dict[str, Any]) -> str:
    """Renders the time line of a move as text."""
    move_plan = data["plan"]
    lines = [
        f"move {data['name']} of {move_plan['deployment']} from"
        f" {move_plan['old']} to {move_plan['new']}: {data['state']}"
    ]
    width = max((len(e["who"]) for e in data["events"]), default=0)
    lines += [
        f"{e['at']}  {e['who'].ljust(width)}  {e['kind']:<8}  {e['text']}"
        for e in data["events"]
    ]
    return "\n".join(lines)


def _format_time(wall_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def user_name() -> str:
    """Returns the name of the current user, or `operator` if it is unknown."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "operator"


class MoveCommands:
    """Plans, confirms, monitors, cancels and explains version moves."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def plan(
        self,
        deployment: str,
        new: str,
        within: Any = None,
        by: Any = None,
        old: str = "",
        at_deadline: str = "undo",
        rate: float | None = None,
        who: str = "",
    ) -> None:
        """Creates a plan; traffic is only moved once it is confirmed.

        Args:
          deployment: Name of the deployment.
          new: Version to which traffic is moved.
          within: Time until the deadline, such as 30m.
          by: Deadline as ISO 8601 time, instead of `within`.
          old: Version from which traffic is moved; default: the version with
              the largest share.
          at_deadline: Action if the deadline is missed: `undo` or `keep`.
          rate: Expected requests per second; default: the measured rate.
          who: Name for the time line; default: the name of the user.
        """
        data = create_plan(
            self._context.client,
            deployment,
            new,
            within,
            by,
            old=str(old),
            at_deadline=at_deadline,
            requests_per_s=rate,
            who=who or user_name(),
        )
        self._show(data, render_plan)

    def confirm(self, name: str, wait: bool = False, who: str = "") -> None:
        """Starts a planned move; fails if the configuration has changed.

        Args:
          name: Name of the move.
          wait: Whether to wait until the move has ended; the exit code is 1
              if its state is not `done`.
          who: Name for the time line; default: the name of the user.
        """
        self._post_action(name, "confirm", who)
        if wait:
            self._wait(name)

    def status(self, name: str = "", wait: bool = False) -> None:
        """Shows a move, or all moves.

        Args:
          name: Name of the move; default: all moves.
          wait: Whether to wait until the move has ended; the exit code is 1
              if its state is not `done`.
        """
        if wait and name:
            self._wait(name)
            return
        path = move_path(name) if name else MOVES_PATH
        self._context.show(self._context.client.get(path))

    def cancel(self, name: str, who: str = "") -> None:
        """Returns all traffic to the old version.

        Args:
          name: Name of the move.
          who: Name for the time line; default: the name of the user.
        """
        self._post_action(name, "cancel", who)

    def explain(self, name: str) -> None:
        """Shows the time line of a move: events, times and who caused them.

        Args:
          name: Name of the move.
        """
        data = self._context.client.get(move_path(name, "explain"))
        self._show(data, render_explanation)

    def _post_action(self, name: str, action: str, who: str) -> None:
        body = {"who": who or user_name()}
        response = self._context.client.post(move_path(name, action), body)
        self._context.show(response)

    def _wait(self, name: str) -> None:
        status = wait_until_ended(self._context.client, name)
        self._context.show(status)
        if status["state"] != "done":
            sys.exit(EXIT_NOT_DONE)

    def _show(self, data: dict[str, Any], render: Any) -> None:
        if self._context.as_json:
            self._context.show(data)
        else:
            print(render(data))
