"""Checks of log lines against their schema, for tests."""

from __future__ import annotations

import functools
import json
import pathlib
from collections.abc import Mapping
from typing import Any

import attrs

SCHEMA = pathlib.Path(__file__).resolve().parents[4] / "schema" / "log.json"
_TYPES: dict[str, tuple[type, ...]] = {
    "string": (str,),
    "integer": (int,),
    "number": (int, float),
    "boolean": (bool,),
    "array": (list,),
    "object": (dict,),
    "null": (type(None),),
}
# Fields of an ended request that only streams have.
OPTIONAL = frozenset({"first_event_s", "longest_gap_s"})


@attrs.frozen
class LogSchema:
    """Fields of log lines.

    Attributes:
      common: Fields that lines of all events may have.
      events: Fields by event.
    """

    common: Mapping[str, Any]
    events: Mapping[str, Mapping[str, Any]]

    def mistakes(self, line: Mapping[str, Any]) -> list[str]:
        """Returns what is wrong with a line."""
        event = line.get("event")
        if event not in self.events:
            return [f"unknown event {event!r}"]
        expected = self.events[event]
        mistakes = [
            f"{event}: {name} is missing"
            for name in expected.keys() - line.keys() - OPTIONAL
        ]
        for name, value in line.items():
            known = expected.get(name) or self.common.get(name)
            if known is None:
                mistakes.append(f"{event}: unknown field {name}")
            elif not _has_type(value, known["type"]):
                mistakes.append(f"{event}: {name} is {value!r}")
        return mistakes


def _has_type(value: Any, names: str | list[str]) -> bool:
    names = [names] if isinstance(names, str) else names
    if isinstance(value, bool):
        return "boolean" in names
    return any(isinstance(value, _TYPES[name]) for name in names)


@functools.cache
def load_log_schema() -> LogSchema:
    """Returns the schema of the repository."""
    data = json.loads(SCHEMA.read_text(encoding="utf-8"))
    events = {name: e["properties"] for name, e in data["events"].items()}
    return LogSchema(data["common"], events)
