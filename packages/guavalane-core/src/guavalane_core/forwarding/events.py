"""Splitting of event streams into events."""

from __future__ import annotations

import re

import attrs

from guavalane_core.header_text import decode_header

# A blank line ends an event; lines end with LF, CR LF or CR.
_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
# Maximum size of a buffered event. An endpoint that sends more bytes without a
# boundary is not sending an event stream.
MAX_EVENT_BYTES = 262_144


@attrs.frozen
class StreamEvent:
    """One complete event.

    Attributes:
      data: Bytes of the event, including its boundary.
      event_id: Identifier; None if the event has none.
    """

    data: bytes
    event_id: str | None

    @property
    def is_comment(self) -> bool:
        """Whether it has no field, as sent to keep a connection open."""
        lines = self.data.splitlines()
        return all(line.startswith(b":") for line in lines if line)


class EventTooLongError(ValueError):
    """An event exceeds `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Splits the bytes of a stream into complete events.

    Incomplete events are buffered, so that another endpoint can continue the
    stream after the last complete event.
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def partial(self) -> bytes:
        """Bytes of the current incomplete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that are completed by the data.

        Raises:
          EventTooLongError: The incomplete event is too long.
        """
        pending = self._buffer + data
        events = []
        start = 0
        for match in _BOUNDARY.finditer(pending):
            raw = pending[start : match.end()]
            start = match.end()
            events.append(StreamEvent(raw, _find_id(raw)))
        self._buffer = pending[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f"stream event exceeds {MAX_EVENT_BYTES} bytes"
            )
        return events


def _find_id(event: bytes) -> str | None:
    match = _ID_LINE.search(event)
    return decode_header(match.group(1)) if match else None
