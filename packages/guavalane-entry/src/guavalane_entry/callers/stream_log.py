"""Buffer of the events of a stream, which lets callers resume it."""

from __future__ import annotations

import asyncio
import bisect
import json
from collections.abc import Callable, Sequence

from guavalane_core.requests import pack_bytes, unpack_bytes
from guavalane_entry.callers.chat import StreamEvent

# Largest batch for a reader that lags behind, which bounds the size of a write.
MAX_BATCH_EVENTS = 64


def pack_events(events: Sequence[StreamEvent]) -> bytes:
    """Serialises and compresses events."""
    rows = [[e.tokens, e.data.decode(), e.endpoint] for e in events]
    return pack_bytes(json.dumps(rows).encode()).encode() if rows else b""


def unpack_events(data: bytes) -> list[StreamEvent]:
    """Reverses `pack_events`."""
    if not data:
        return []
    rows = json.loads(unpack_bytes(data.decode()))
    return [
        StreamEvent(text.encode(), tokens, endpoint)
        for tokens, text, endpoint in rows
    ]


def index_after(events: Sequence[StreamEvent], tokens: int) -> int:
    """Returns the index of the first event after a number of tokens.

    Events without tokens carry the token count of the event before them. They
    are delivered again, because that count does not distinguish them. The index
    is the length of the log until the log reaches the number of tokens.
    """
    if not tokens:
        return 0
    first = bisect.bisect_left(events, tokens, key=lambda event: event.tokens)
    return min(first + 1, len(events))


class StreamLog:
    """Events and end state of one stream.

    Args:
      events: Events of an earlier part of the stream.
      max_unread: Unread events above which the producer must wait; None for
          no limit.
    """

    def __init__(
        self,
        events: Sequence[StreamEvent] = (),
        max_unread: int | None = None,
    ) -> None:
        self._events = list(events)
        self._max_unread = max_unread
        self._read = 0
        self._ended = False
        self._error: Exception | None = None
        self._waiters: list[asyncio.Future[None]] = []
        self._readers: list[LogReader] = []

    @property
    def events(self) -> list[StreamEvent]:
        """Events so far."""
        return self._events

    @property
    def ended(self) -> bool:
        """Whether the stream has ended."""
        return self._ended

    @property
    def error(self) -> Exception | None:
        """Error that ended the stream early, if any."""
        return self._error

    @property
    def full(self) -> bool:
        """Whether the producer must wait for the reader."""
        return (
            self._max_unread is not None
            and not self._ended
            and len(self._events) - self._read > self._max_unread
        )

    def extend(self, events: Sequence[StreamEvent]) -> None:
        """Appends events and passes them to the readers."""
        self._events += events
        for reader in self._readers:
            reader.offer(events)
        if self._waiters:
            self._wake()

    async def wait_for_space(self) -> None:
        """Waits while the log is full."""
        while self.full:
            await self._wait()

    def end(self, error: Exception | None = None) -> None:
        """Ends the stream; further calls have no effect."""
        if not self._ended:
            self._ended, self._error = True, error
            for reader in self._readers:
                reader.stop()
            self._wake()

    async def wait_beyond(self, position: int, limit_s: float) -> None:
        """Waits for the event at a position or the end, with a time limit."""
        try:
            async with asyncio.timeout(limit_s):
                while len(self._events) <= position and not self._ended:
                    await self._wait()
        except TimeoutError:
            return

    def follow(self, after: int = 0) -> LogReader:
        """Returns a reader of the events after a number of tokens."""
        return LogReader(self, after)

    def mark_read(self, position: int) -> None:
        """Marks the events before a position as read."""
        if position > self._read:
            self._read = position
            if self._waiters:
                # The producer may be waiting for space.
                self._wake()

    async def push_until_refused(self, reader: LogReader) -> None:
        """Pushes new events to a reader until it refuses some or the end."""
        self._readers.append(reader)
        try:
            await reader.refused
        finally:
            self._readers.remove(reader)

    async def wait_change(self) -> None:
        """Waits for the next event or the end."""
        await self._wait()

    async def _wait(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


# Handles events immediately, or returns False to have them returned by
# `next_batch` instead.
Offer = Callable[[Sequence[StreamEvent]], bool]


class LogReader:
    """Reads the events of one log after a number of tokens.

    Args:
      log: Log to read.
      after: Number of tokens that the reader already has.
    """

    def __init__(self, log: StreamLog, after: int) -> None:
        self._log = log
        self._after = after
        self._position = 0
        self._offer: Offer | None = None
        self._refused: asyncio.Future[None] | None = None

    def __aiter__(self) -> LogReader:
        return self

    async def __anext__(self) -> StreamEvent:
        self._log.mark_read(self._position)
        while True:
            batch = self._next_batch(1)
            if batch:
                return batch[0]
            if self._log.ended:
                self._check_end()
                raise StopAsyncIteration
            await self._log.wait_change()

    @property
    def refused(self) -> asyncio.Future[None]:
        """Future that completes when events are refused or the log ends."""
        assert self._refused is not None
        return self._refused

    async def next_batch(self, offer: Offer) -> Sequence[StreamEvent]:
        """Returns the next events; empty at the end of the stream.

        Events that arrive during the wait are passed to `offer` by the call
        that appends them, which avoids a task switch per token.

        Args:
          offer: Handles events immediately or refuses them.

        Raises:
          RequestError: The stream ended early.
        """
        # The call shows that the previous batch has been handled.
        self._log.mark_read(self._position)
        while True:
            batch = self._next_batch(MAX_BATCH_EVENTS)
            if batch:
                return batch
            if self._log.ended:
                self._check_end()
                return ()
            self._offer = offer
            self._refused = asyncio.get_running_loop().create_future()
            await self._log.push_until_refused(self)

    def offer(self, events: Sequence[StreamEvent]) -> None:
        """Offers the events that were appended last."""
        if self._refused.done():
            return
        position = self._position + len(events)
        if self._after or position != len(self._log.events):
            # The reader lacks earlier events as well, or has some of these.
            events = self._log.events[self._start() :]
            position = self._position + len(events)
            if not events:
                return
        if self._offer(events):
            self._position = position
            self._log.mark_read(position)
        else:
            self._refused.set_result(None)

    def stop(self) -> None:
        """Wakes the reader at the end of the log."""
        if not self._refused.done():
            self._refused.set_result(None)

    def _start(self) -> int:
        if self._after:
            known = index_after(self._log.events, self._after)
            self._position = max(self._position, known)
            if self._position < len(self._log.events):
                # The log has passed the position at which the reader resumes.
                self._after = 0
        return self._position

    def _next_batch(self, limit: int) -> Sequence[StreamEvent]:
        start = self._start()
        batch = self._log.events[start : start + limit]
        self._position = start + len(batch)
        return batch

    def _check_end(self) -> None:
        if self._log.error is not None:
            raise self._log.error
