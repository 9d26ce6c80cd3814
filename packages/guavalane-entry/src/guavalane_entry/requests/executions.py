"""Work in flight, which may outlive the connection of its caller."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Coroutine, Iterator
from typing import Any

from loguru import logger as log

from guavalane_core.requests import RequestContext


class Executions:
    """Knows everything that must end before the process may stop."""

    def __init__(self) -> None:
        self._contexts: dict[str, RequestContext] = {}
        self._uses: Counter[str] = Counter()
        self._tasks: set[asyncio.Task] = set()
        self._answers: set[object] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> dict[str, RequestContext]:
        """Requests that are not answered yet, by ID."""
        return self._contexts

    @contextlib.contextmanager
    def tracked(self, context: RequestContext) -> Iterator[None]:
        """Counts a request as in flight for the length of a `with` block."""
        request_id = context.request_id
        self._contexts[request_id] = context
        self._uses[request_id] += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._uses[request_id] -= 1
            if not self._uses[request_id]:
                del self._uses[request_id], self._contexts[request_id]
            self._check_idle()

    @contextlib.contextmanager
    def busy(self) -> Iterator[None]:
        """Counts an answer without a request of this node as in flight."""
        token = object()
        self._answers.add(token)
        self._idle.clear()
        try:
            yield
        finally:
            self._answers.discard(token)
            self._check_idle()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Starts a task that no caller's disconnect cancels."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        self._idle.clear()
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.debug("executions: ended with {!r}", task.exception())
        self._check_idle()

    def _check_idle(self) -> None:
        if not (self._contexts or self._tasks or self._answers):
            self._idle.set()

    async def wait_idle(self, limit_s: float) -> bool:
        """Waits until nothing is in flight.

        Args:
          limit_s: Longest wait in seconds.

        Returns:
          Whether everything ended.
        """
        try:
            async with asyncio.timeout(limit_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
