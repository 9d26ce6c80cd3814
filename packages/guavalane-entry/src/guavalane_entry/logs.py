"""Logging of the daemon.

Every message starts with its component, such as `config:` or `peers:`.
"""

from __future__ import annotations

import json
import sys

from loguru import logger

from guavalane_core.settings import LogSettings

PLAIN_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message}"


def _write_json(message: object) -> None:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(line) + "\n")


def configure(settings: LogSettings) -> None:
    """Configures logging to standard error in the configured format."""
    logger.remove()
    if settings.format == "json":
        logger.add(_write_json, level=settings.level)
        return
    # `diagnose` would log the values of variables, which may be secrets.
    logger.add(
        sys.stderr, level=settings.level, format=PLAIN_FORMAT, diagnose=False
    )
