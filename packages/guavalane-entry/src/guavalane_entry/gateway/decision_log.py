"""Structured log lines that never block the event loop."""

from __future__ import annotations

import json
import sys
import threading
from collections import deque
from typing import Any, TextIO

# Lines that wait for the writer; about 300 bytes each. Beyond this, lines of
# requests are dropped and counted.
MAX_WAITING = 4096
# Lines kept free for events that are not about one request, so that a lost
# dependency is logged under any load.
RESERVED = 512
# Longest wait of the writer between two looks at the queue, in seconds.
WRITER_PERIOD_S = 0.2


class DecisionLog:
    """Writes one JSON object per line to a stream from a thread of its own.

    A reader that stops reading blocks only that thread. A closed stream ends
    the output; the lines that follow are counted as dropped.

    Args:
      node: Name of the node, added to each line.
      stream: Stream to write to; standard output if it is not given.
      wall: Function that returns the time of day in seconds.
    """

    def __init__(
        self, node: str, wall: Any, stream: TextIO | None = None
    ) -> None:
        self._node = node
        self._wall = wall
        self._stream = stream or sys.stdout
        self._waiting: deque[dict[str, Any]] = deque()
        self._wake = threading.Event()
        self._stopping = False
        self._dropped = 0
        self._reported = 0
        self._thread = threading.Thread(
            target=self._write_lines, name="decision-log", daemon=True
        )

    @property
    def dropped(self) -> int:
        """Lines that were not written."""
        return self._dropped

    def start(self) -> None:
        """Starts the writer."""
        self._thread.start()

    def stop(self, timeout_s: float = 0.5) -> None:
        """Writes what waits and ends the writer.

        Args:
          timeout_s: Longest wait for a reader, in seconds.
        """
        self._stopping = True
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def request(self, event: str, request_id: str, **fields: Any) -> None:
        """Adds a line about one request."""
        self._add(
            {"event": event, "request": request_id, **fields},
            MAX_WAITING - RESERVED,
        )

    def event(self, event: str, **fields: Any) -> None:
        """Adds a line about the process or what it believes."""
        self._add({"event": event, **fields}, MAX_WAITING)

    def _add(self, line: dict[str, Any], limit: int) -> None:
        if len(self._waiting) >= limit:
            self._dropped += 1
            return
        line["time"] = round(self._wall(), 4)
        self._waiting.append(line)

    def _write_lines(self) -> None:
        while True:
            self._wake.wait(WRITER_PERIOD_S)
            stopping = self._stopping
            if not self._drain() or stopping:
                return

    def _drain(self) -> bool:
        """Writes what waits; returns False once the stream is closed."""
        lines = []
        while self._waiting:
            lines.append(self._render(self._waiting.popleft()))
        if self._dropped > self._reported:
            self._reported = self._dropped
            dropped = {"event": "log.dropped", "total": self._reported}
            dropped["time"] = round(self._wall(), 4)
            lines.append(self._render(dropped))
        if not lines:
            return True
        try:
            self._stream.write("".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            self._dropped += len(lines)
            return False
        return True

    def _render(self, line: dict[str, Any]) -> str:
        return json.dumps({"node": self._node, **line}, default=str) + "\n"
