"""Logging of the daemon.

Every message starts with its component, such as `config:` or `peers:`. A reader
that stops reading blocks no caller.
"""

from __future__ import annotations

import atexit
import json
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

from guavalane_entry.line_writer import LineWriter

if TYPE_CHECKING:
    from guavalane_core.settings import LogSettings

PLAIN_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message}"
DEFAULT_FORMAT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} | {level: <8} |"
    " {name}:{function}:{line} - {message}"
)


def _render_json(message: Any) -> str:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return json.dumps(line) + "\n"


def _render_drops(total: int) -> str:
    return f"logs: {total} lines were dropped so far\n"


def configure(settings: LogSettings) -> None:
    """Configures logging to standard error in the configured format."""
    render = _render_json if settings.format == "json" else str
    _log_to(sys.stderr, render, settings.level)


def configure_default(stream: TextIO | None = None) -> None:
    """Configures logging in the default format, to standard error."""
    _log_to(stream or sys.stderr, str, "DEBUG", DEFAULT_FORMAT)


def _log_to(
    stream: TextIO,
    render: Callable[[Any], str],
    level: str,
    line_format: str = PLAIN_FORMAT,
) -> None:
    writer: LineWriter[Any] = LineWriter(
        "log", stream, render, _render_drops, is_prompt=True
    )
    writer.start()
    atexit.register(writer.stop)
    logger.remove()
    # `diagnose` would log the values of variables, which may be secrets.
    logger.add(writer.put, level=level, format=line_format, diagnose=False)
