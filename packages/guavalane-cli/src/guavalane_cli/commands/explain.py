"""Command that reconstructs the history of one request from node logs."""

from __future__ import annotations

import json
import re
import sys
from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs

from guavalane_cli.commands.config import read_file
from guavalane_core.exceptions import GuavalaneError

STANDARD_INPUT = "-"
# Crashes of endpoints that are remembered for each node.
MAX_CRASHES = 256
_DECODER = json.JSONDecoder()
# Fields that are left out of the list of details of an event.
_COMMON = frozenset({"node", "event", "request", "time"})


class UnknownRequestError(GuavalaneError):
    """No log line contains the request."""

    code = "unknown_request"
    status = 404


@attrs.define
class NodeState:
    """State of a node as logged up to a point in time.

    Attributes:
      configuration: Version of the configuration in force.
      unavailable_since_s: Time at which the object API became unavailable, by
          object kind.
      endpoints: Last logged event of each endpoint.
      duties: Whether the node held the duties lease.
      stopping: Whether the node was shutting down.
      quarantines: Start of each prompt part's quarantine.
      limits: Last stated rate limit of each endpoint.
      crashes: Last crashes of endpoints that the node has seen.
    """

    configuration: int | None = None
    unavailable_since_s: dict[str, float] = attrs.field(factory=dict)
    endpoints: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    duties: bool = False
    stopping: bool = False
    quarantines: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    limits: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    crashes: deque[dict[str, Any]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_CRASHES)
    )

    def apply(self, line: dict[str, Any]) -> None:
        """Applies an event that does not belong to a request."""
        event = line["event"]
        if event == "node.started":
            # A restarted process has none of the previous state.
            self.__init__()
        elif event == "node.stopping":
            self.stopping = True
        elif event == "configuration.offered" and line.get("in_force"):
            self.configuration = line["version"]
        elif event == "store.lost":
            self.unavailable_since_s[line["kind"]] = line["time"]
        elif event == "store.regained":
            self.unavailable_since_s.pop(line["kind"], None)
        elif event == "duties.held":
            self.duties = line["held"]
        elif event == "quarantine.started":
            self.quarantines[line["part"]] = line
        elif event == "quarantine.ended":
            self.quarantines.pop(line["part"], None)
        elif event == "endpoint.limited":
            self.limits[line["endpoint"]] = line
        elif event == "endpoint.crashed":
            self.crashes.append(line)
            self.endpoints[line["endpoint"]] = line
        elif event.startswith("endpoint."):
            self.endpoints[line["endpoint"]] = line


def read_lines(paths: Sequence[str]) -> Iterator[str]:
    """Yields the lines of files, or of standard input for `-` or no files.

    Raises:
      ConfigurationError: A file cannot be read.
    """
    for path in paths or (STANDARD_INPUT,):
        if path == STANDARD_INPUT:
            yield from sys.stdin
        else:
            yield from read_file(path).splitlines()


def parse_lines(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the JSON log events in chronological order.

    Text before the JSON object, such as the prefix of a log collector, and
    lines without a JSON object are ignored.
    """
    parsed = []
    for line in lines:
        # After a power loss, a truncated line may precede the next one.
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
    """Renders the history of a request.

    Args:
      request_id: Identifier of the request.
      lines: Log lines of any number of nodes, in any order.

    Raises:
      UnknownRequestError: No log line contains the request.
    """
    states: dict[str, NodeState] = {}
    rendered_nodes: set[str] = set()
    output: list[str] = []
    start_s = 0.0
    for line in parse_lines(lines):
        node = line["node"]
        state = states.setdefault(node, NodeState())
        if "request" not in line:
            state.apply(line)
            continue
        if line["request"] != request_id:
            continue
        if not output:
            start_s = line["time"]
        if node not in rendered_nodes:
            rendered_nodes.add(node)
            output += _render_state(node, state, line["time"])
        output.append(_render_line(line, line["time"] - start_s))
        output += _render_endpoint(line, state)
        output += _render_quarantine(line, states)
        output += _render_limits(line, state)
    if not output:
        raise UnknownRequestError(
            f"no log line contains request {request_id!r}"
        )
    return "\n".join(output)


def _render_state(node: str, state: NodeState, now_s: float) -> list[str]:
    lines = [f"{node} believed:"]
    lines.append(f"  configuration: version {state.configuration}")
    for kind, since_s in state.unavailable_since_s.items():
        lines.append(f"  object API: {kind} lost for {now_s - since_s:.1f} s")
    if state.stopping:
        lines.append("  the node was stopping")
    return lines


def _render_line(line: dict[str, Any], elapsed_s: float) -> str:
    fields = ", ".join(
        f"{key} {value}" for key, value in line.items() if key not in _COMMON
    )
    return f"{elapsed_s:+8.3f} s  {line['node']}  {line['event']}: {fields}"


def _render_endpoint(line: dict[str, Any], state: NodeState) -> list[str]:
    known = state.endpoints.get(line.get("endpoint", ""))
    if known is None:
        return []
    status = known["event"].partition(".")[2]
    if known.get("leaving"):
        status = "leaving"
    age_s = line["time"] - known["time"]
    return [
        f"            {known['endpoint']}: {status}, told {age_s:.1f} s ago"
    ]


def _render_quarantine(
    line: dict[str, Any], states: Mapping[str, NodeState]
) -> list[str]:
    """Renders the evidence against a prompt part, as seen by all nodes."""
    part = line.get("part")
    start = states[line["node"]].quarantines.get(part)
    if start is None:
        return []
    age_s = line["time"] - start["time"]
    lines = [
        f"            {part}: in quarantine for {age_s:.1f} s after"
        f" {start['crashes']} crashes ({start['source']})"
    ]
    crashes = [
        crash
        for state in states.values()
        for crash in state.crashes
        if part in crash["parts"]
    ]
    for crash in sorted(crashes, key=lambda crash: crash["time"]):
        crash_age_s = line["time"] - crash["time"]
        lines.append(
            f"            {part}: {crash['endpoint']} crashed"
            f" {crash_age_s:.1f} s ago, seen by {crash['node']}"
        )
    return lines


def _render_limits(line: dict[str, Any], state: NodeState) -> list[str]:
    """Renders the rate limits that left no endpoint for a request."""
    lines = []
    for endpoint, wait_s in line.get("limit_waits_s", {}).items():
        limit = state.limits.get(endpoint)
        if limit is None:
            continue
        age_s = line["time"] - limit["time"]
        room = "none for this node" if wait_s is None else f"in {wait_s} s"
        lines.append(
            f"            {endpoint}: takes {limit['rate_per_s']} requests/s of"
            f" all nodes, received {age_s:.1f} s ago from {limit['source']};"
            f" room: {room}"
        )
    return lines
