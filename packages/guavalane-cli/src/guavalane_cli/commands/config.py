"""Commands for settings and configurations."""

from __future__ import annotations

import pathlib
import time
from typing import Any

from guavalane_cli.client import OperatorClient
from guavalane_core.configuration import parse_configuration
from guavalane_core.exceptions import ConfigurationError
from guavalane_core.settings import parse_settings
from guavalane_core.settings.loader import parse_json

# Maximum time until a change must be in force on all live nodes, in seconds.
IN_FORCE_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 0.1
# Keys that only occur in settings files, not in configurations.
SETTINGS_KEYS = {"node_secret", "operator_token", "callers", "peers"}


def read_file(path: str) -> str:
    """Returns the text of a file.

    Raises:
      ConfigurationError: The file cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigurationError([f"{path}: {error.strerror}"]) from None


def check(path: str) -> str:
    """Validates a settings file or a configuration file.

    Returns:
      `settings` or `configuration`.

    Raises:
      ConfigurationError: The file is invalid; all errors are reported.
    """
    text = read_file(path)
    data = parse_json(text)
    if isinstance(data, dict) and SETTINGS_KEYS & data.keys():
        parse_settings(text)
        return "settings"
    parse_configuration(data)
    return "configuration"


def lagging_nodes(client: OperatorClient, generation: int) -> list[str]:
    """Returns the live nodes on which an older generation is in force."""
    return client.get(f"/operator/lagging?generation={generation}")


def apply(
    client: OperatorClient,
    path: str,
    base: int | None = None,
    limit_s: float = IN_FORCE_TIMEOUT_S,
) -> dict[str, Any]:
    """Stores a configuration and waits until every live node applies it.

    Args:
      client: Client of any node.
      path: Configuration file.
      base: Generation on which the file is based. If None, the generation in
          the file, else the one in force.
      limit_s: Maximum wait, in seconds.

    Returns:
      The new generation and the live nodes on which it is not in force.
    """
    check(path)
    data = parse_json(read_file(path))
    if base is None:
        base = data.get("generation") or client.get("/operator/config").get(
            "generation", 0
        )
    response = client.post(
        "/operator/config", {"base": base, "configuration": data}
    )
    generation = response["generation"]
    deadline = time.monotonic() + limit_s
    lagging = lagging_nodes(client, generation)
    while lagging and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        lagging = lagging_nodes(client, generation)
    return {"generation": generation, "lagging": lagging}
