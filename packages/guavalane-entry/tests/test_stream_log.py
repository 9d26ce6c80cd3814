"""Tests of the stream log, from which callers resume."""

from __future__ import annotations

import asyncio

import pytest

from guavalane_core.exceptions import StreamMovedError
from guavalane_entry.callers.chat import DONE_EVENT, StreamEvent
from guavalane_entry.callers.stream_log import (
    StreamLog,
    pack_events,
    unpack_events,
)

ROLE = StreamEvent(b"data: role", 0, "engine-a")
TOKENS = [StreamEvent(b"data: t%d" % i, i, "engine-a") for i in range(1, 6)]
DONE = StreamEvent(DONE_EVENT, 5, "engine-a")
EVENTS = [ROLE, *TOKENS, DONE]


async def read(log, after):
    """Returns all events after a number of tokens."""
    return [event async for event in log.follow(after)]


class TestStreamLog:
    """Guards against lost and duplicate tokens on resumption."""

    @pytest.mark.parametrize("after", range(6))
    async def test_rest_of_a_stream(self, after):
        log = StreamLog(EVENTS)
        log.end()
        assert await read(log, after) == EVENTS[after and after + 1 :]

    @pytest.mark.parametrize("known", range(7))
    async def test_caller_ahead_of_a_rerun(self, known):
        log = StreamLog(EVENTS[:known])
        reader = asyncio.create_task(read(log, 3))
        for event in EVENTS[known:]:
            await asyncio.sleep(0)
            log.extend([event])
        log.end()
        assert await reader == [TOKENS[3], TOKENS[4], DONE]

    async def test_move_comes_after_the_last_event(self):
        log = StreamLog(EVENTS[:3])
        log.end(StreamMovedError("r", "entry-b"))
        got = []
        with pytest.raises(StreamMovedError, match="entry-b"):
            async for event in log.follow():
                got.append(event)
        assert got == EVENTS[:3]

    async def test_producer_waits_for_a_slow_reader(self):
        log = StreamLog(max_unread=2)
        producer = asyncio.create_task(self.produce(log))
        await asyncio.sleep(0)
        assert len(log.events) == 3
        assert not producer.done()
        assert await read(log, 0) == EVENTS
        await producer

    @pytest.mark.parametrize("known", range(7))
    async def test_offered_and_refused_events_come_once(self, known):
        log, got, turn = StreamLog(EVENTS[:known]), [], 0

        def offer(events):
            nonlocal turn
            turn += 1
            if turn % 2:
                got.extend(events)
            return bool(turn % 2)

        async def follow():
            reader = log.follow(2)
            while batch := await reader.next_batch(offer):
                got.extend(batch)

        task = asyncio.create_task(follow())
        for event in EVENTS[known:]:
            await asyncio.sleep(0)
            log.extend([event])
        log.end()
        await task
        assert got == EVENTS[3:]

    async def produce(self, log):
        for event in EVENTS:
            log.extend([event])
            await log.wait_for_space()
        log.end()

    def test_packed_events(self):
        assert unpack_events(pack_events(EVENTS)) == EVENTS
        assert unpack_events(pack_events([])) == []
