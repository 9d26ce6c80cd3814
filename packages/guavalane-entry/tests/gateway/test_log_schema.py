"""Tests of the schema of log lines against the code that writes them."""

from __future__ import annotations

import ast
import pathlib

import guavalane_entry
from guavalane_standins.log_schema import OPTIONAL, load_log_schema

SOURCES = pathlib.Path(guavalane_entry.__file__).parent
PACKAGES = ("gateway", "relays")
# Event of the writer itself.
OWN_EVENTS = {"log.dropped"}


def read_calls():
    """Returns the fields that the code writes, by event.

    The ends of requests share one call whose event is a variable; their fields
    stand under `end`.
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


def read_ends():
    """Returns the events of requests that end."""
    source = (SOURCES / "gateway" / "exchange.py").read_text(encoding="utf-8")
    return {
        node.args[0].value
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Call)
        and ast.unparse(node.func) == "self._log_end"
    }


class TestLogSchema:
    """Guards against lines that the schema does not describe."""

    def test_each_written_event_is_described_with_its_fields(self):
        calls = read_calls()
        fields_of_ends = calls.pop("end")
        for event in read_ends():
            calls[event] = fields_of_ends
        described = {
            event: set(fields) - OPTIONAL
            for event, fields in load_log_schema().events.items()
            if event not in OWN_EVENTS
        }
        assert described == calls

    def test_a_line_of_another_form_is_a_mistake(self):
        schema = load_log_schema()
        line = {"node": "n1", "event": "store.gap", "time": 1.5, "kind": "x"}
        assert schema.mistakes(line) == []
        assert schema.mistakes({**line, "kind": True})
        assert schema.mistakes({**line, "more": 1})
        assert schema.mistakes({**line, "event": "store.other"})
        del line["kind"]
        assert schema.mistakes(line)
