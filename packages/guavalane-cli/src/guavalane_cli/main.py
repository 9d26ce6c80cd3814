"""Entry point of the command `guavalane`."""

from __future__ import annotations

import os
import sys
from typing import Any

import fire

from guavalane_cli.client import OperatorApiError, OperatorClient
from guavalane_cli.commands import config, fleet, replay
from guavalane_cli.commands.endpoints import EndpointCommands
from guavalane_cli.commands.explain import explain, read_lines
from guavalane_cli.commands.move import MoveCommands
from guavalane_cli.commands.where import ask, render_where
from guavalane_cli.output import render
from guavalane_core.exceptions import ConfigurationError, GuavalaneError

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_INCOMPLETE = 4
EXIT_UNREACHABLE = 5

DEFAULT_URL = "http://127.0.0.1:8081"
URL_VARIABLE = "GUAVALANE_URL"
TOKEN_VARIABLE = "GUAVALANE_TOKEN"


class Context:
    """Target node and output format, shared by all commands.

    Args:
      url: Operator URL of a node.
      as_json: Whether output is JSON.
    """

    def __init__(self, url: str, as_json: bool) -> None:
        self._url = url
        self._as_json = as_json

    @property
    def client(self) -> OperatorClient:
        """Client of the target node."""
        return self.client_for(self._url)

    @property
    def as_json(self) -> bool:
        """Whether output is JSON."""
        return self._as_json

    def client_for(self, url: str) -> OperatorClient:
        """Returns a client for the node with this operator URL."""
        # The token is read from the environment because command lines are
        # visible in the process list.
        return OperatorClient(url, os.environ.get(TOKEN_VARIABLE, ""))

    def show(self, value: Any) -> None:
        """Prints a value in the selected output format."""
        print(render(value, self._as_json))


class ConfigCommands:
    """Validates, stores and shows configurations."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def check(self, path: str) -> None:
        """Validates a settings or configuration file and lists all errors."""
        kind = config.check(path)
        self._context.show({"file": path, "kind": kind, "ok": True})

    def apply(self, path: str, base: int | None = None) -> None:
        """Stores a configuration and waits until all live nodes apply it.

        Args:
          path: Configuration file.
          base: Generation on which the file is based.
        """
        result = config.apply(self._context.client, path, base)
        self._context.show(result)
        if result["lagging"]:
            sys.exit(EXIT_INCOMPLETE)

    def get(self) -> None:
        """Shows the configuration in force."""
        self._context.show(self._context.client.get("/operator/config"))


class FleetCommands:
    """Shows the plan of the fleet planner."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def plan(self) -> None:
        """Lists desired and existing VMs, with the cost per hour."""
        self._context.show(fleet.plan(self._context.client))

    def explain(self, deployment: str = "") -> None:
        """Shows the plan, its cost compared to on-demand VMs, and its reasons.

        Args:
          deployment: Name of the deployment; default: all deployments.
        """
        self._context.show(fleet.explain(self._context.client, deployment))


class Commands:
    """Operates a guavalane system through any of its entry nodes.

    Options, at any position: --url=URL sets the operator URL of a node
    (default: GUAVALANE_URL, or http://127.0.0.1:8081); --json prints JSON.
    The operator token is read from GUAVALANE_TOKEN.

    Exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict with another
    change, 4 not in force on all live nodes, 5 node unreachable.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.endpoints = EndpointCommands(context, exit_code_for)
        self.config = ConfigCommands(context)
        self.fleet = FleetCommands(context)
        self.move = MoveCommands(context)

    def status(self) -> None:
        """Shows the state of the node."""
        self._context.show(self._context.client.get("/operator/status"))

    def nodes(self) -> None:
        """Lists live nodes and the generation in force on each."""
        self._context.show(self._context.client.get("/operator/nodes"))

    def dump(self, node: str = "") -> None:
        """Shows the complete state of a node's process.

        Args:
          node: Operator URL of the node; default: the value of --url.
        """
        context = self._context
        client = context.client_for(node) if node else context.client
        context.show(client.get("/operator/dump"))

    def explain(self, request_id: str, *files: str) -> None:
        """Reconstructs the history of a request from the logs of nodes.

        Args:
          request_id: Identifier of the request.
          *files: Log files of any number of nodes; default: standard input.
        """
        # fire converts an identifier of digits to a number.
        print(explain(str(request_id), read_lines(files)))

    def where(
        self,
        target: str,
        organisation: str = "",
        tokens: str = "",
        parts: str = "",
        method: str = "",
        tried: str = "",
    ) -> None:
        """Tells where a gateway node would send a request, and why.

        Nothing is sent. The option --url is the address of the node's metrics
        listener.

        Args:
          target: URL of the request, or its host and path.
          organisation: Name of the organisation, instead of a key.
          tokens: Input and maximum output tokens, such as 1000,50.
          parts: Prompt parts with their tokens, such as a:250,b:500.
          method: HTTP method; default: POST.
          tried: Endpoints that are taken as tried before, with commas.
        """
        result = ask(
            self._context.client,
            target,
            organisation=organisation,
            tokens=tokens,
            parts=parts,
            method=method,
            tried=tried,
        )
        if self._context.as_json:
            self._context.show(result)
        else:
            print(render_where(result))

    def replay(self, *traces: str) -> None:
        """Replays recorded traces; exit code 1 if a result is not as expected.

        Args:
          *traces: Trace files.
        """
        failed = False
        for path in traces:
            result = replay.replay(path)
            failed = failed or not result["as_stated"]
            if self._context.as_json:
                self._context.show(result)
            else:
                print(replay.render_replay(result))
        if failed:
            sys.exit(EXIT_FAILED)


def split_options(arguments: list[str]) -> tuple[Context, list[str]]:
    """Separates the global options from the other arguments.

    fire would take the argument after a flag as its value, so global flags are
    parsed here, at any position.

    Returns:
      Context with the global options, and the remaining arguments.
    """
    url = os.environ.get(URL_VARIABLE, DEFAULT_URL)
    as_json = False
    rest = []
    remaining = iter(arguments)
    for argument in remaining:
        if argument == "--json":
            as_json = True
        elif argument == "--url":
            url = next(remaining, url)
        elif argument.startswith("--url="):
            url = argument.removeprefix("--url=")
        else:
            rest.append(argument)
    return Context(url, as_json), rest


def exit_code_for(error: GuavalaneError) -> int:
    """Returns the exit code for an error."""
    if isinstance(error, ConfigurationError):
        return EXIT_INVALID
    if isinstance(error, OperatorApiError):
        return {0: EXIT_UNREACHABLE, 409: EXIT_CONFLICT, 422: EXIT_INVALID}.get(
            error.status, EXIT_FAILED
        )
    return EXIT_FAILED


def main() -> None:
    """Runs the command line."""
    context, arguments = split_options(sys.argv[1:])
    try:
        fire.Fire(Commands(context), command=arguments, name="guavalane")
    except ConfigurationError as error:
        for message in error.errors:
            print(message, file=sys.stderr)
        sys.exit(exit_code_for(error))
    except GuavalaneError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        sys.exit(exit_code_for(error))


if __name__ == "__main__":
    main()
