"""Events of one stream, kept so that a caller can come back for the rest."""

from __future__ import annotations

import asyncio
import bisect
import json
from collections.abc import Callable, Sequence

from guavalane_core.requests import pack_bytes, unpack_bytes
from guavalane_entry.callers.chat import StreamEvent

# Events that a reader far behind gets at once, so that no write is large.
MAX_BATCH_EVENTS = 64


def pack_events(events: Sequence[StreamEvent]) -> bytes:
    """Returns events as compressed bytes."""
    rows = [[e.tokens, e.data.decode(), e.endpoint] for e in events]
    return pack_bytes(json.dumps(rows).encode()).encode() if rows else b""


def unpack_events(data: bytes) -> list[StreamEvent]:
    """Returns the events that `pack_events` was given."""
    if not data:
        return []
    rows = json.loads(unpack_bytes(data.decode()))
    return [
        StreamEvent(text.encode(), tokens, endpoint)
        for tokens, text, endpoint in rows
    ]


def first_after(events: Sequence[StreamEvent], tokens: int) -> int:
    """Returns the position of the first event after a number of tokens.

    Events without a token of their own follow the event of the last token;
    they are given again, because their index does not tell them apart. The
    position moves on while a log has not reached the number of tokens.
    """
    if not tokens:
        return 0
    first = bisect.bisect_left(events, tokens, key=lambda event: event.tokens)
    return min(first + 1, len(events))


class StreamLog:
    """Events of one stream and its end.

    Args:
      events: Events of an earlier part of the stream.
      max_lead: Events that the producer may be ahead of the reader; None for
          no bound.
    """

    def __init__(
        self,
        events: Sequence[StreamEvent] = (),
        max_lead: int | None = None,
    ) -> None:
        self._events = list(events)
        self._max_lead = max_lead
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
        """Whether no further event will come."""
        return self._ended

    @property
    def error(self) -> Exception | None:
        """Reason of an early end."""
        return self._error

    @property
    def full(self) -> bool:
        """Whether the producer is too far ahead of the reader."""
        return (
            self._max_lead is not None
            and not self._ended
            and len(self._events) - self._read > self._max_lead
        )

    def extend(self, events: Sequence[StreamEvent]) -> None:
        """Adds events that arrived together."""
        self._events += events
        for reader in self._readers:
            reader.offer(events)
        if self._waiters:
            self._wake()

    async def wait_room(self) -> None:
        """Waits while the reader is far behind."""
        while self.full:
            await self._wait()

    def end(self, error: Exception | None = None) -> None:
        """Ends the stream; only the first call counts."""
        if not self._ended:
            self._ended, self._error = True, error
            for reader in self._readers:
                reader.stop()
            self._wake()

    async def wait_beyond(self, position: int, limit_s: float) -> None:
        """Waits for an event at a position or the end of the stream."""
        try:
            async with asyncio.timeout(limit_s):
                while len(self._events) <= position and not self._ended:
                    await self._wait()
        except TimeoutError:
            return

    def follow(self, after: int = 0) -> LogReader:
        """Returns a reader of the events after a number of tokens."""
        return LogReader(self, after)

    def note_read(self, position: int) -> None:
        """Notes that a reader took the events before a position."""
        if position > self._read:
            self._read = position
            if self._waiters:
                # The producer may be one of them.
                self._wake()

    async def wait_offering(self, reader: LogReader) -> None:
        """Offers new events to a reader until it refuses some or the end."""
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


# Takes events at once, or returns False to have them returned instead.
Offer = Callable[[Sequence[StreamEvent]], bool]


class LogReader:
    """Reads the events of one log after a number of tokens.

    Args:
      log: Log.
      after: Tokens that the reader has.
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
        self._log.note_read(self._position)
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
        """Done once events are refused or the log has ended."""
        assert self._refused is not None
        return self._refused

    async def next_batch(self, offer: Offer) -> Sequence[StreamEvent]:
        """Returns the next events; empty at the end of the stream.

        Events that arrive during the wait are offered first, in the call that
        adds them: a task switch for every token costs CPU.

        Args:
          offer: Takes events at once or refuses them.

        Raises:
          RequestError: The stream ended early.
        """
        # The reader has dealt with the events before only now.
        self._log.note_read(self._position)
        while True:
            batch = self._next_batch(MAX_BATCH_EVENTS)
            if batch:
                return batch
            if self._log.ended:
                self._check_end()
                return ()
            self._offer = offer
            self._refused = asyncio.get_running_loop().create_future()
            await self._log.wait_offering(self)

    def offer(self, events: Sequence[StreamEvent]) -> None:
        """Offers the events that were added last."""
        if self._refused.done():
            return
        position = self._position + len(events)
        if self._after or position != len(self._log.events):
            # It lacks earlier events too, or has some of these.
            events = self._log.events[self._start() :]
            position = self._position + len(events)
            if not events:
                return
        if self._offer(events):
            self._position = position
            self._log.note_read(position)
        else:
            self._refused.set_result(None)

    def stop(self) -> None:
        """Ends the wait at the end of the log."""
        if not self._refused.done():
            self._refused.set_result(None)

    def _start(self) -> int:
        if self._after:
            known = first_after(self._log.events, self._after)
            self._position = max(self._position, known)
            if self._position < len(self._log.events):
                # The reader has reached the events that it lacks.
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
