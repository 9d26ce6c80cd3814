"""Writer for the server-sent events of a stream."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from sanic import Request
from sanic.exceptions import RequestCancelled, SanicException
from sanic.response import HTTPResponse

from guavalane_entry.callers.chat import DONE_EVENT, StreamEvent

# Unsent bytes above which a write waits for the caller. Equals the mark below
# which sanic resumes writing.
MAX_UNSENT_BYTES = 16_384


class EventWriter:
    """Writes SSE events, each with an ID of the form REQUEST:INDEX.

    Args:
      request: Request of the caller.
      response: Response to it, of unknown length.
      request_id: ID of the request, the first part of each event ID.
      slow_reader_s: Timeout for a caller that does not read, in seconds.
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
        """Writes events without waiting if the caller keeps up.

        Final events are refused. May only be called after the first `send`,
        which writes the headers.

        Returns:
          Whether the events were written.
        """
        transport = self._transport
        if (
            events[-1].data == DONE_EVENT
            or transport.get_write_buffer_size() > MAX_UNSENT_BYTES
            or transport.is_closing()
        ):
            return False
        # Driving the coroutine by hand avoids a task switch per event. With so
        # few unsent bytes, `send` completes without suspending. If it suspends
        # or fails, nothing was written, and the task of the caller sends the
        # events again and handles the error.
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
        """Writes events and waits until a slow caller has read enough.

        Raises:
          TimeoutError: The caller reads too slowly.
        """
        await self.send_bytes(self._encode(events))

    async def send_bytes(self, data: bytes) -> None:
        """Writes encoded events; see `send`.

        Raises:
          TimeoutError: The caller reads too slowly.
        """
        # A write only blocks while the buffer is full, so an empty buffer needs
        # no timeout, which would cost a timer per token.
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
