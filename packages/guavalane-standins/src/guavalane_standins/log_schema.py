"""Validation of structured log lines against the log schema, for tests."""

from __future__ import annotations

import functools
import json
import pathlib
from collections.abc import Mapping
from typing import Any

import attrs

SCHEMA_PATH = (
    pathlib.Path(__file__).resolve().parents[4] / "schema" / "log.json"
)
_TYPES: dict[str, tuple[type, ...]] = {
    "string": (str,),
    "integer": (int,),
    "number": (int, float),
    "boolean": (bool,),
    "array": (list,),
    "object": (dict,),
    "null": (type(None),),
}
# Fields that are present for streams only, or for some rejections only.
OPTIONAL_FIELDS = frozenset({"first_event_s", "longest_gap_s", "events"})
OPTIONAL_FIELDS_BY_EVENT = {
    "request.refused": frozenset(
        {"part", "limit_waits_s", "draw", "retry_after_s"}
    )
}


@attrs.frozen
class LogSchema:
    """Schema of structured log lines.

    Attributes:
      common: Optional fields of all events, by name.
      events: Fields of each event, by event name.
    """

    common: Mapping[str, Any]
    events: Mapping[str, Mapping[str, Any]]

    def find_violations(self, line: Mapping[str, Any]) -> list[str]:
        """Returns the schema violations of a log line."""
        event = line.get("event")
        if event not in self.events:
            return [f"unknown event {event!r}"]
        expected = self.events[event]
        optional = optional_fields(event)
        mistakes = [
            f"{event}: {name} is missing"
            for name in expected.keys() - line.keys() - optional
        ]
        for name, value in line.items():
            field = expected.get(name) or self.common.get(name)
            if field is None:
                mistakes.append(f"{event}: unknown field {name}")
            elif not _has_type(value, field["type"]):
                mistakes.append(
                    f"{event}: {name} has the wrong type: {value!r}"
                )
        return mistakes


def optional_fields(event: str) -> frozenset[str]:
    """Returns the fields that lines of an event may lack."""
    return OPTIONAL_FIELDS | OPTIONAL_FIELDS_BY_EVENT.get(event, frozenset())


def _has_type(value: Any, names: str | list[str]) -> bool:
    names = [names] if isinstance(names, str) else names
    if isinstance(value, bool):
        return "boolean" in names
    return any(isinstance(value, _TYPES[name]) for name in names)


@functools.cache
def load_log_schema() -> LogSchema:
    """Loads the log schema from `schema/log.json`."""
    data = json.loads(SCHEMA_PATH.read_text(encoding="utf-8"))
    events = {name: e["properties"] for name, e in data["events"].items()}
    return LogSchema(data["common"], events)
