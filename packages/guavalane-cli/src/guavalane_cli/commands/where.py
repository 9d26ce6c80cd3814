"""Command that tells where a gateway node would send a request."""

from __future__ import annotations

import urllib.parse
from typing import Any

from guavalane_cli.client import OperatorClient
from guavalane_cli.output import render
from guavalane_core.exceptions import ConfigurationError

PATH = "/where"


def split_target(target: str) -> tuple[str, str]:
    """Returns host and path of a URL or of text of the form `HOST/PATH`.

    Raises:
      ConfigurationError: There is no host.
    """
    text = target if "://" in target else f"//{target}"
    parts = urllib.parse.urlsplit(text)
    if not parts.hostname:
        raise ConfigurationError(
            [f"{target}: expected a URL, or a host with a path"]
        )
    path = parts.path or "/"
    return parts.hostname, f"{path}?{parts.query}" if parts.query else path


def ask(client: OperatorClient, target: str, **options: Any) -> dict[str, Any]:
    """Asks a node where a request would be sent.

    Args:
      client: Client of the node's metrics listener.
      target: URL, or host and path.
      options: Parameters of the query; empty ones are left out.

    Raises:
      ConfigurationError: The target has no host.
      OperatorApiError: The node rejected the query or was unreachable.
    """
    host, path = split_target(str(target))
    query = {"host": host, "path": path}
    for name, value in options.items():
        if value not in ("", None):
            query[name] = _as_text(value)
    return client.get(f"{PATH}?{urllib.parse.urlencode(query)}")


def _as_text(value: Any) -> str:
    # fire turns `1000,50` into a tuple.
    if isinstance(value, (tuple, list)):
        return ",".join(str(each) for each in value)
    return str(value)


def render_where(result: dict[str, Any]) -> str:
    """Renders the result as text."""
    summary = {
        "node": result["node"],
        "configuration": result["configuration"],
        **{
            part: _join(result[part])
            for part in ("route", "organisation", "service", "outcome")
        },
    }
    candidates = [
        {
            "": "*" if candidate["chosen"] else "",
            **{k: v for k, v in candidate.items() if k not in _HIDDEN},
            **candidate["cost"],
        }
        for candidate in result["candidates"]
    ]
    excluded = [
        {"endpoint": each["endpoint"], "reason": _join(_without_name(each))}
        for each in result["excluded"]
    ]
    return "\n\n".join(
        [
            render(summary, as_json=False),
            "candidates (* chosen):\n" + render(candidates, as_json=False),
            "excluded:\n" + render(excluded, as_json=False),
        ]
    )


_HIDDEN = frozenset({"chosen", "cost"})


def _without_name(entry: dict[str, Any]) -> dict[str, Any]:
    return {k: v for k, v in entry.items() if k != "endpoint"}


def _join(value: dict[str, Any] | None) -> str:
    if value is None:
        return "(none)"
    return ", ".join(f"{k} {v}" for k, v in value.items())
