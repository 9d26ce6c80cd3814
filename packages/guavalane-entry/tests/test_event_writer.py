"""Tests of the event writer."""

from __future__ import annotations

import asyncio

import pytest
from sanic.exceptions import ServerError

from guavalane_entry.callers.chat import StreamEvent
from guavalane_entry.callers.event_writer import MAX_UNSENT_BYTES, EventWriter

EVENT = StreamEvent(b"data: {}", 1, "engine-a")


class StubTransport:
    """Transport whose write buffer size is set by the test."""

    def __init__(self):
        self.unsent = 0
        self.closing = False

    def get_write_buffer_size(self):
        return self.unsent

    def is_closing(self):
        return self.closing


class StubResponse:
    """Response that blocks, fails or records data, and its request."""

    def __init__(self):
        self.transport = StubTransport()
        self.room = asyncio.Event()
        self.room.set()
        self.error = None
        self.sent = []

    async def send(self, data):
        await self.room.wait()
        if self.error is not None:
            raise self.error
        self.sent.append(data)


@pytest.fixture
def response():
    """Returns a response whose caller keeps up."""
    return StubResponse()


@pytest.fixture
def writer(response):
    """Returns a writer for the response."""
    return EventWriter(response, response, "r1", 1.0)


class TestOffer:
    """Guards against a slow or disconnected caller that fails the attempt."""

    async def test_fast_caller_is_sent_events_at_once(self, response, writer):
        assert writer.offer([EVENT, EVENT])
        assert response.sent == [b"id: r1:1\ndata: {}\n\n" * 2]

    async def test_slow_caller_gets_no_duplicates(self, response, writer):
        response.transport.unsent = MAX_UNSENT_BYTES + 1
        assert not writer.offer([EVENT])
        response.transport.unsent = 0
        response.room.clear()
        assert not writer.offer([EVENT])
        response.room.set()
        assert response.sent == []
        assert writer.offer([EVENT])
        assert len(response.sent) == 1

    async def test_disconnected_caller_raises_no_error(self, response, writer):
        response.error = ServerError("the response was ended")
        assert not writer.offer([EVENT])
        response.transport.closing = True
        assert not writer.offer([EVENT])
        assert response.sent == []
