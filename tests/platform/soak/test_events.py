"""Tests that callers of plays read the events that endpoints send."""

from __future__ import annotations

import pytest

from soak.events import StreamEvent, encode_event, read_events


class TestEvents:
    """Guards against events that are counted although they are broken."""

    def test_events_are_read_as_sent(self):
        data = encode_event(1, "i-1/1") + encode_event(2, "i-2/7")
        events = (StreamEvent(1, "i-1/1"), StreamEvent(2, "i-2/7"))
        assert read_events(data) == (events, b"")

    def test_a_part_of_an_event_is_none(self):
        part = encode_event(2, "i-1/1")[:-1]
        events, rest = read_events(encode_event(1, "i-1/1") + part)
        assert events == (StreamEvent(1, "i-1/1"),)
        assert rest == part

    @pytest.mark.parametrize(
        "block",
        [
            b"",
            b"id: 1",
            b"id: 1\ndata: t2 i-1/1",
            b"id: 1\nid: 1\ndata: t1 i-1/1",
            b"id: 1\ndata: t1 i-1/1\ndata: t1 i-1/1",
        ],
    )
    def test_other_bytes_are_no_event(self, block):
        assert read_events(block + b"\n\n") == ((StreamEvent(None),), b"")
