"""Loading and validation of settings files."""

from __future__ import annotations

import pathlib
from typing import Any

import json5

from guavalane_core.exceptions import ConfigurationError
from guavalane_core.routing import POLICIES
from guavalane_core.schema import options
from guavalane_core.settings.generated import NodeSettings


def parse_json(text: str) -> Any:
    """Parses JSON with comments.

    Raises:
      ConfigurationError: The text is not valid JSON; the error names the line.
    """
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise ConfigurationError([str(error)]) from None


def parse_settings(text: str) -> NodeSettings:
    """Parses and validates settings.

    Raises:
      ConfigurationError: The settings are invalid; all errors are reported.
    """
    settings = options.build(NodeSettings, parse_json(text))
    errors = []
    if settings.routing_policy not in POLICIES.names:
        errors.append(
            f"routing_policy: unknown policy {settings.routing_policy!r};"
            f" allowed: {', '.join(POLICIES.names)}"
        )
    if settings.object_api.kind == "http" and not settings.object_api.url:
        errors.append("object_api.url: missing for kind http")
    ports = [settings.callers, settings.operators, settings.peers]
    if len({(p.host, p.port) for p in ports}) < len(ports):
        errors.append("callers, operators, peers: addresses must differ")
    if errors:
        raise ConfigurationError(errors)
    return settings


def load_settings(path: str | pathlib.Path) -> NodeSettings:
    """Reads and validates a settings file.

    Raises:
      ConfigurationError: The file cannot be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigurationError([f"{path}: {error.strerror}"]) from None
    return parse_settings(text)
