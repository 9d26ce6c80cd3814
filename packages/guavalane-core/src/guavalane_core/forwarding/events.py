"""Boundaries of the events of a stream."""

from __future__ import annotations

import re

import attrs

# A blank line ends an event; lines end with LF, CR LF or CR.
_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
# Longest event that is held back, in bytes. An endpoint that sends more
# without a boundary sends no events.
MAX_EVENT_BYTES = 1_048_576


@attrs.frozen
class StreamEvent:
    """One whole event.

    Attributes:
      data: Bytes of the event, its boundary included.
      event_id: Identifier; None if the event has none.
    """

    data: bytes
    event_id: str | None


class EventTooLongError(ValueError):
    """An event exceeds the bytes that are held back for it."""


class EventSplitter:
    """Cuts the bytes of a stream into whole events.

    Only whole events are passed on, so that another endpoint can continue
    after the last of them.
    """

    def __init__(self) -> None:
        self._partial = b""

    @property
    def partial(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._partial

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that end in these bytes.

        Raises:
          EventTooLongError: An event does not end.
        """
        buffer = self._partial + data
        events = []
        start = 0
        for match in _BOUNDARY.finditer(buffer):
            raw = buffer[start : match.end()]
            start = match.end()
            events.append(StreamEvent(raw, _find_id(raw)))
        self._partial = buffer[start:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLongError("a stream event has no end")
        return events


def _find_id(event: bytes) -> str | None:
    match = _ID_LINE.search(event)
    return match.group(1).decode("latin-1") if match else None
