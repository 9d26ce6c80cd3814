"""Tests of the recorded latencies and outcomes of attempts."""

from __future__ import annotations

import asyncio

import pytest

from guavalane_core.exceptions import AttemptError, InvalidRequestError
from guavalane_core.timers import ManualTimers
from guavalane_entry.endpoints.client import (
    DONE_EVENT,
    EndpointClient,
    ServiceAnswer,
)
from guavalane_entry.requests.recording import RecordingClient


class StubOutcomeRecorder:
    """Collects recorded values."""

    def __init__(self):
        self.entries = []

    def record_latency(self, view, route, seconds):
        self.entries.append(("latency", seconds))

    def record_outcome(self, view, route, status):
        self.entries.append(("outcome", status))

    def record_gap(self, view, route, seconds):
        self.entries.append(("gap", seconds))


class StubRequest:
    """Request with only a route name."""

    route_name = "r"


class SlowReader:
    """Reader that is slow, which must not count as latency of the endpoint.

    Args:
      timers: Timers that each wait advances.
      leave_after: Number of events after which the caller disconnects; None
          for never.
    """

    full = True

    def __init__(self, timers, leave_after):
        self.timers = timers
        self.left = leave_after

    async def wait_for_space(self):
        self.timers.advance(10.0)

    def take(self, events):
        if self.left is not None:
            self.left -= len(events)
            if not self.left:
                raise asyncio.CancelledError
        return events[-1] == DONE_EVENT


@pytest.fixture
def client(monkeypatch):
    """Returns a function that runs a stream of scripted events."""
    timers, log = ManualTimers(), StubOutcomeRecorder()
    recording = RecordingClient(None, None, timers, log)

    async def run(*script, leave_after=None):
        async def stream(self, view, request, body, reader):
            for item in script:
                timers.advance(0.5)
                if isinstance(item, Exception):
                    raise item
                if reader.take([item]):
                    return
                if reader.full:
                    await reader.wait_for_space()

        monkeypatch.setattr(EndpointClient, "stream", stream)
        reader = SlowReader(timers, leave_after)
        try:
            await recording.stream(None, StubRequest(), {}, reader)
        except AttemptError as error:
            # `ChatRunner` reports every failed attempt like this.
            recording.on_stream_failure(None, StubRequest(), error)
        except (InvalidRequestError, asyncio.CancelledError):
            pass
        return log.entries

    return run


class TestRecordingClient:
    """Guards against failures that are wrongly attributed to a version."""

    async def test_complete_stream(self, client):
        assert await client(b"data: a", b"data: b", DONE_EVENT) == [
            ("latency", 0.5),
            ("outcome", 200),
            ("gap", 0.5),
        ]

    async def test_refused_request_is_a_rejection(self, client):
        refusal = InvalidRequestError("x", not_run=False)
        assert await client(refusal) == [("outcome", 400)]

    async def test_disconnected_caller_is_no_outcome(self, client):
        entries = await client(b"data: a", b"data: b", leave_after=1)
        assert entries == [("latency", 0.5)]

    @pytest.mark.parametrize(
        ("error", "expected"),
        [
            ({"sent": True}, [("outcome", 0)]),
            ({"sent": True, "overloaded": True}, [("outcome", 0)]),
            ({"sent": False}, []),
            ({"sent": True, "leaving": True}, []),
        ],
    )
    async def test_failed_attempts(self, client, error, expected):
        assert await client(AttemptError("x", **error)) == expected

    async def test_status_of_a_call_is_recorded(self, monkeypatch):
        async def call(self, view, request):
            return ServiceAnswer(404, {}, b"", "e")

        monkeypatch.setattr(EndpointClient, "call", call)
        log = StubOutcomeRecorder()
        recording = RecordingClient(None, None, ManualTimers(), log)
        await recording.call(None, StubRequest())
        assert ("outcome", 404) in log.entries
