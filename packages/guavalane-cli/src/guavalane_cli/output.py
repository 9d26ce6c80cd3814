"""Rendering of command output as text or JSON."""

from __future__ import annotations

import json
from typing import Any


def _table(rows: list[dict[str, Any]]) -> str:
    if not rows:
        return "(none)"
    columns = list(rows[0])
    cells = [columns, *([str(row[c]) for c in columns] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )


def render(value: Any, as_json: bool) -> str:
    """Renders a value as text or JSON.

    Args:
      value: Plain data.
      as_json: Whether to render JSON.
    """
    if as_json:
        return json.dumps(value, sort_keys=True)
    if isinstance(value, list) and all(isinstance(i, dict) for i in value):
        return _table(value)
    if isinstance(value, dict):
        if any(isinstance(v, dict) for v in value.values()):
            return json.dumps(value, indent=2)
        width = max((len(k) for k in value), default=0)
        return "\n".join(f"{k.ljust(width)}  {v}" for k, v in value.items())
    return str(value)
