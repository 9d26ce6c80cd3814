"""Writes the events of a stream to a caller."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from sanic import Request
from sanic.exceptions import RequestCancelled, SanicException
from sanic.response import HTTPResponse

from guavalane_entry.callers.chat import DONE_EVENT, StreamEvent

# Unsent bytes above which a write waits for the caller; sanic resumes writing
# below the same figure.
UNSENT_BYTES = 16_384


class EventWriter:
    """Writes SSE events, each with an ID of the form REQUEST:INDEX.

    Args:
      request: Request of the caller.
      response: Response to it, of unknown length.
      request_id: Identifier in the IDs.
      slow_reader_s: Longest wait for a caller to read, in seconds.
    """

    def __init__(
        self,
        request: Request,
        response: HTTPResponse,
        request_id: str,
        slow_reader_s: float,
    ) -> None:
        self._transport = request.transport
        self._response = response
        self._prefix = f"id: {request_id}:".encode()
        self._slow_reader_s = slow_reader_s

    def offer(self, events: Sequence[StreamEvent]) -> bool:
        """Writes events at once if the caller keeps up.

        It takes no final event, and is for use after the first `send`, which
        writes the headers.
        """
        transport = self._transport
        if (
            events[-1].data == DONE_EVENT
            or transport.get_write_buffer_size() > UNSENT_BYTES
            or transport.is_closing()
        ):
            return False
        # A task for each event costs CPU. With so little unsent, the send has
        # nothing to wait for and ends at its first step. If it does not, it
        # has written nothing, and the error belongs to the caller's own task.
        sending = self._response.send(self._encode(events))
        try:
            sending.send(None)
        except StopIteration:
            return True
        except (SanicException, RequestCancelled):
            return False
        sending.close()
        return False

    async def send(self, events: Sequence[StreamEvent]) -> None:
        """Writes events and waits for a caller who is behind.

        Raises:
          TimeoutError: The caller reads too slowly.
        """
        await self.send_bytes(self._encode(events))

    async def send_bytes(self, data: bytes) -> None:
        """Writes whole events; see `send`.

        Raises:
          TimeoutError: The caller reads too slowly.
        """
        # A write waits only while earlier data fills the buffer, and a timer
        # for every token costs CPU.
        if not self._transport.get_write_buffer_size():
            await self._response.send(data)
            return
        async with asyncio.timeout(self._slow_reader_s):
            await self._response.send(data)

    def _encode(self, events: Sequence[StreamEvent]) -> bytes:
        prefix = self._prefix
        return b"".join(
            [b"%b%d\n%b\n\n" % (prefix, e.tokens, e.data) for e in events]
        )
