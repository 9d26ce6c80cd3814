"""Tests that the log schema matches the code that logs."""

from __future__ import annotations

import ast
import pathlib

import guavalane_entry
from guavalane_standins.log_schema import load_log_schema, optional_fields

SOURCES = pathlib.Path(guavalane_entry.__file__).parent
PACKAGES = ("gateway", "relays")
# Events that the log writer itself adds.
WRITER_EVENTS = {"log.dropped"}


def collect_logged_fields():
    """Returns the fields that the code logs, by event.

    Events at the end of a request share one call with a variable event; their
    fields are returned under `end`.
    """
    calls = {}
    paths = [
        path for name in PACKAGES for path in (SOURCES / name).glob("*.py")
    ]
    for path in paths:
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            function = ast.unparse(node.func)
            if not function.endswith(("log.event", "log.request")):
                continue
            event = node.args[0]
            name = event.value if isinstance(event, ast.Constant) else "end"
            fields = {word.arg for word in node.keywords if word.arg}
            calls.setdefault(name, set()).update(fields)
    return calls


def collect_end_events():
    """Returns the events logged at the end of a request."""
    source = (SOURCES / "gateway" / "exchange.py").read_text(encoding="utf-8")
    return {
        node.args[0].value
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Call)
        and ast.unparse(node.func) == "self._log_end"
    }


class TestLogSchema:
    """Guards against log lines that the schema does not describe."""

    def test_the_schema_lists_each_event_with_its_fields(self):
        calls = collect_logged_fields()
        end_fields = calls.pop("end")
        for event in collect_end_events():
            calls[event] = end_fields
        described = {
            event: set(fields) - optional_fields(event)
            for event, fields in load_log_schema().events.items()
            if event not in WRITER_EVENTS
        }
        assert described == calls

    def test_invalid_lines_are_detected(self):
        schema = load_log_schema()
        line = {"node": "n1", "event": "store.gap", "time": 1.5, "kind": "x"}
        assert schema.find_violations(line) == []
        assert schema.find_violations({**line, "kind": True})
        assert schema.find_violations({**line, "more": 1})
        assert schema.find_violations({**line, "event": "store.other"})
        del line["kind"]
        assert schema.find_violations(line)
