"""Writer of log lines that never blocks its callers."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import Generic, TextIO, TypeVar

T = TypeVar("T")
# Capacity of the queue in lines, about 300 bytes each. When it is full, lines
# are dropped and counted.
MAX_QUEUED_LINES = 4096
# Interval at which the writer empties the queue, in seconds.
WRITER_PERIOD_S = 0.2
# Maximum wait for the writer at the end of a process, in seconds.
STOP_TIMEOUT_S = 0.5


class LineWriter(Generic[T]):
    """Writes lines to a stream from a separate thread.

    A reader that stops reading blocks only that thread. After the stream is
    closed, lines are counted as dropped.

    Args:
      name: Name of the thread.
      stream: Output stream.
      render: Function that returns the text of a line, with its end.
      render_drops: Function that returns the line that reports how many lines
          were dropped so far.
      is_prompt: Whether each line is written at once. Otherwise lines are
          gathered, which costs less if there are many.
    """

    def __init__(
        self,
        name: str,
        stream: TextIO,
        render: Callable[[T], str],
        render_drops: Callable[[int], str],
        *,
        is_prompt: bool = False,
    ) -> None:
        self._stream = stream
        self._render = render
        self._render_drops = render_drops
        self._is_prompt = is_prompt
        self._queue: deque[T] = deque()
        self._wake = threading.Event()
        self._stopping = False
        self._dropped = 0
        self._reported_drops = 0
        self._thread = threading.Thread(
            target=self._write_lines, name=name, daemon=True
        )

    @property
    def dropped(self) -> int:
        """Number of lines that were not written."""
        return self._dropped

    def start(self) -> None:
        """Starts the writer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Flushes the queue and stops the writer."""
        self._stopping = True
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(STOP_TIMEOUT_S)

    def put(self, line: T, limit: int = MAX_QUEUED_LINES) -> None:
        """Queues a line unless as many lines as the limit are queued."""
        if len(self._queue) >= limit:
            self._dropped += 1
        else:
            self._queue.append(line)
            if self._is_prompt:
                self._wake.set()

    def _write_lines(self) -> None:
        while True:
            self._wake.wait(WRITER_PERIOD_S)
            self._wake.clear()
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
            lines.append(self._render_drops(self._reported_drops))
        if not lines:
            return True
        try:
            self._stream.write("".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            self._dropped += len(lines)
            return False
        return True
