"""Structured log lines that never block the event loop."""

from __future__ import annotations

import json
import sys
import threading
from collections import deque
from typing import Any, TextIO

# Capacity of the queue in lines, about 300 bytes each. When it is full, lines
# are dropped and counted.
MAX_QUEUED_LINES = 4096
# Queue capacity reserved for events that do not concern one request, so that
# the loss of a dependency is logged under any load.
RESERVED_LINES = 512
# Interval at which the writer empties the queue, in seconds.
WRITER_PERIOD_S = 0.2


class DecisionLog:
    """Writes one JSON object per line to a stream from a separate thread.

    A stalled reader blocks only that thread. After the stream is closed, lines
    are counted as dropped.

    Args:
      node: Name of the node, added to each line.
      stream: Output stream; defaults to standard output.
      wall: Function that returns the time of day in seconds.
    """

    def __init__(
        self, node: str, wall: Any, stream: TextIO | None = None
    ) -> None:
        self._node = node
        self._wall = wall
        self._stream = stream or sys.stdout
        self._queue: deque[dict[str, Any]] = deque()
        self._wake = threading.Event()
        self._stopping = False
        self._dropped = 0
        self._reported_drops = 0
        self._thread = threading.Thread(
            target=self._write_lines, name="decision-log", daemon=True
        )

    @property
    def dropped(self) -> int:
        """Number of lines that were not written."""
        return self._dropped

    def start(self) -> None:
        """Starts the writer thread."""
        self._thread.start()

    def stop(self, timeout_s: float = 0.5) -> None:
        """Flushes the queue and stops the writer.

        Args:
          timeout_s: Maximum wait for the writer, in seconds.
        """
        self._stopping = True
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def request(self, event: str, request_id: str, **fields: Any) -> None:
        """Logs an event of one request."""
        self._enqueue(
            {"event": event, "request": request_id, **fields},
            MAX_QUEUED_LINES - RESERVED_LINES,
        )

    def event(self, event: str, **fields: Any) -> None:
        """Logs an event of the process or of its state."""
        self._enqueue({"event": event, **fields}, MAX_QUEUED_LINES)

    def _enqueue(self, line: dict[str, Any], limit: int) -> None:
        if len(self._queue) >= limit:
            self._dropped += 1
            return
        line["time"] = round(self._wall(), 4)
        self._queue.append(line)

    def _write_lines(self) -> None:
        while True:
            self._wake.wait(WRITER_PERIOD_S)
            stopping = self._stopping
            if not self._drain() or stopping:
                return

    def _drain(self) -> bool:
        """Writes the queued lines; returns False once the stream is closed."""
        lines = []
        while self._queue:
            lines.append(self._render(self._queue.popleft()))
        if self._dropped > self._reported_drops:
            self._reported_drops = self._dropped
            dropped = {"event": "log.dropped", "total": self._reported_drops}
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
