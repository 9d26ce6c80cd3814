"""Tests of the record of objects that cannot be read."""

from __future__ import annotations

import pytest

from guavalane_entry.gateway import unreadable_objects
from guavalane_entry.gateway.unreadable_objects import UnreadableObjects
from guavalane_entry.metrics import Metrics


class Log:
    """Decision log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def event(self, event, **fields):
        self.lines.append((event, fields["kind"], fields["name"]))


class TestUnreadableObjects:
    """Guards against a log line for each read, and against growing memory."""

    @pytest.fixture
    def log(self):
        """Returns a log."""
        return Log()

    def test_an_object_is_logged_once_and_counted(self, log):
        metrics = Metrics()
        objects = UnreadableObjects(log, metrics)
        for _ in range(3):
            objects.record("servers", "odd")
        objects.record("config", "odd")
        assert log.lines == [
            ("object.unreadable", "servers", "odd"),
            ("object.unreadable", "config", "odd"),
        ]
        assert metrics.dump() == {
            "unreadable_objects{config}": 1,
            "unreadable_objects{servers}": 3,
        }

    def test_the_oldest_is_forgotten(self, log, monkeypatch):
        monkeypatch.setattr(unreadable_objects, "MAX_LOGGED_OBJECTS", 2)
        objects = UnreadableObjects(log, Metrics())
        for name in ("a", "b", "c", "c", "a"):
            objects.record("servers", name)
        assert [name for _, _, name in log.lines] == ["a", "b", "c", "a"]
