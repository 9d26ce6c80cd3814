"""Structured log lines that never block the event loop."""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

from guavalane_entry.line_writer import MAX_QUEUED_LINES, LineWriter

# Queue capacity reserved for events that do not concern one request, so that
# the loss of a dependency is logged under any load.
RESERVED_LINES = 512


class DecisionLog:
    """Writes one JSON object per line to a stream without ever blocking.

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
        self._writer: LineWriter[dict[str, Any]] = LineWriter(
            "decision-log",
            stream or sys.stdout,
            self._render,
            self._render_drops,
        )

    @property
    def dropped(self) -> int:
        """Number of lines that were not written."""
        return self._writer.dropped

    def start(self) -> None:
        """Starts the writer thread."""
        self._writer.start()

    def stop(self) -> None:
        """Flushes the queue and stops the writer."""
        self._writer.stop()

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
        line["time"] = round(self._wall(), 4)
        self._writer.put(line, limit)

    def _render(self, line: dict[str, Any]) -> str:
        return json.dumps({"node": self._node, **line}, default=str) + "\n"

    def _render_drops(self, total: int) -> str:
        return self._render(
            {
                "event": "log.dropped",
                "total": total,
                "time": round(self._wall(), 4),
            }
        )
