"""Command that tells the story of one request from the logs of nodes."""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

import attrs

from guavalane_cli.commands.config import read_file
from guavalane_core.exceptions import GuavalaneError

STANDARD_INPUT = "-"
_DECODER = json.JSONDecoder()
# Fields that every line has.
_COMMON = frozenset({"node", "event", "request", "time"})


class UnknownRequestError(GuavalaneError):
    """No line names the request."""

    code = "unknown_request"
    status = 404


@attrs.define
class Beliefs:
    """What a node last believed before a moment.

    Attributes:
      configuration: Version of the configuration in force.
      lost: Kinds that the object API did not serve, with the time of loss.
      endpoints: Last line about each endpoint.
      duties: Whether the node held the duties.
      stopping: Whether the node was stopping.
    """

    configuration: int | None = None
    lost: dict[str, float] = attrs.field(factory=dict)
    endpoints: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    duties: bool = False
    stopping: bool = False

    def take(self, line: dict[str, Any]) -> None:
        """Takes a line that is not about one request."""
        event = line["event"]
        if event == "node.started":
            # A new process believes nothing of what the old one did.
            self.__init__()
        elif event == "node.stopping":
            self.stopping = True
        elif event == "configuration.offered" and line.get("in_force"):
            self.configuration = line["version"]
        elif event == "store.lost":
            self.lost[line["kind"]] = line["time"]
        elif event == "store.regained":
            self.lost.pop(line["kind"], None)
        elif event == "duties.held":
            self.duties = line["held"]
        elif event.startswith("endpoint."):
            self.endpoints[line["endpoint"]] = line


def read_lines(paths: Sequence[str]) -> Iterator[str]:
    """Yields the lines of files; `-` or no file is standard input.

    Raises:
      ConfigurationError: A file cannot be read.
    """
    for path in paths or (STANDARD_INPUT,):
        if path == STANDARD_INPUT:
            yield from sys.stdin
        else:
            yield from read_file(path).splitlines()


def parse_lines(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the structured lines in order of time.

    Text before the JSON object, such as the prefix of a log collector, and
    lines without one are passed over.
    """
    parsed = []
    for line in lines:
        # A process that lost power may leave half a line before the next.
        for start in re.finditer(r'\{"node"', line):
            try:
                data, _ = _DECODER.raw_decode(line, start.start())
            except ValueError:
                continue
            if {"event", "time"} <= data.keys():
                parsed.append(data)
    parsed.sort(key=lambda data: data["time"])
    return parsed


def explain(request_id: str, lines: Iterable[str]) -> str:
    """Returns the story of a request.

    Args:
      request_id: Identifier of the request.
      lines: Log lines of any number of nodes, in any order.

    Raises:
      UnknownRequestError: No line names the request.
    """
    beliefs: dict[str, Beliefs] = {}
    told: set[str] = set()
    story: list[str] = []
    began_s = 0.0
    for line in parse_lines(lines):
        node = line["node"]
        belief = beliefs.setdefault(node, Beliefs())
        if "request" not in line:
            belief.take(line)
            continue
        if line["request"] != request_id:
            continue
        if not story:
            began_s = line["time"]
        if node not in told:
            told.add(node)
            story += _render_beliefs(node, belief, line["time"])
        story.append(_render_line(line, line["time"] - began_s))
        story += _render_endpoint(line, belief)
    if not story:
        raise UnknownRequestError(f"no line names request {request_id}")
    return "\n".join(story)


def _render_beliefs(node: str, belief: Beliefs, now_s: float) -> list[str]:
    lines = [f"{node} believed:"]
    lines.append(f"  configuration: version {belief.configuration}")
    for kind, since_s in belief.lost.items():
        lines.append(f"  object API: {kind} lost for {now_s - since_s:.1f} s")
    if belief.stopping:
        lines.append("  the node was stopping")
    return lines


def _render_line(line: dict[str, Any], elapsed_s: float) -> str:
    fields = ", ".join(
        f"{key} {value}" for key, value in line.items() if key not in _COMMON
    )
    return f"{elapsed_s:+8.3f} s  {line['node']}  {line['event']}: {fields}"


def _render_endpoint(line: dict[str, Any], belief: Beliefs) -> list[str]:
    known = belief.endpoints.get(line.get("endpoint", ""))
    if known is None:
        return []
    state = known["event"].partition(".")[2]
    if known.get("leaving"):
        state = "leaving"
    age_s = line["time"] - known["time"]
    return [f"            {known['endpoint']}: {state}, told {age_s:.1f} s ago"]
