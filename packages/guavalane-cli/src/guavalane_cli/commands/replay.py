"""Command that replays recorded traces."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import attrs
from loguru import logger as log

from guavalane_cli.commands.config import read_file
from guavalane_cli.trace import Replay, differences, parse_trace
from guavalane_core.exceptions import ConfigurationError


def replay(path: str) -> dict[str, Any]:
    """Replays a trace and compares the result with the expected one.

    Args:
      path: Trace file.

    Returns:
      The result as plain data, with its differences from the expected one.

    Raises:
      ConfigurationError: The file is not a trace.
    """
    try:
        # Traces have no comments, and json5 takes over half a second for one.
        data = json.loads(read_file(path))
    except ValueError as error:
        raise ConfigurationError([f"{path}: {error}"]) from None
    trace = parse_trace(data)
    # The components log for a daemon; the result contains all that is needed
    # here.
    log.disable("guavalane_core")
    log.disable("guavalane_entry")
    try:
        result = asyncio.run(Replay(trace).run())
    finally:
        log.enable("guavalane_core")
        log.enable("guavalane_entry")
    mismatches = differences(result, trace.expected)
    return {
        "trace": path,
        "title": trace.title,
        "as_stated": not mismatches,
        "differences": mismatches,
        **attrs.asdict(result),
    }


def render_replay(data: dict[str, Any]) -> str:
    """Renders the result of a replay as text."""
    comparison = "as stated" if data["as_stated"] else "NOT as stated"
    lines = [f"{data['trace']}: {data['title']}: {data['state']}, {comparison}"]
    lines += [f"  {text}" for text in data["differences"]]
    lines += [f"  {text}" for text in data["time_line"]]
    lines.append(
        f"  {data['bad_requests']} of {data['requests_since_fault']} requests"
        f" since the fault went to the new version"
    )
    return "\n".join(lines)
