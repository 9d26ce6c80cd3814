"""Tracking of work in flight, which may outlive its caller's connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Coroutine, Iterator
from typing import Any

from loguru import logger as log

from guavalane_core.requests import RequestContext


class Executions:
    """Tracks the requests, tasks and answers to drain before a stop."""

    def __init__(self) -> None:
        self._contexts: dict[str, RequestContext] = {}
        self._uses: Counter[str] = Counter()
        self._tasks: set[asyncio.Task] = set()
        self._lookup_answers: set[object] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> dict[str, RequestContext]:
        """Unanswered requests by ID."""
        return self._contexts

    @contextlib.contextmanager
    def tracked(self, context: RequestContext) -> Iterator[None]:
        """Counts a request as in flight during a `with` block."""
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
    def tracked_answer(self) -> Iterator[None]:
        """Counts an answer to a lookup as in flight during a `with` block.

        The request itself may run on another node.
        """
        token = object()
        self._lookup_answers.add(token)
        self._idle.clear()
        try:
            yield
        finally:
            self._lookup_answers.discard(token)
            self._check_idle()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Starts a task that is independent of the caller's connection."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        self._idle.clear()
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.debug("executions: task failed: {!r}", task.exception())
        self._check_idle()

    def _check_idle(self) -> None:
        if not (self._contexts or self._tasks or self._lookup_answers):
            self._idle.set()

    async def wait_idle(self, limit_s: float) -> bool:
        """Waits until nothing is in flight.

        Args:
          limit_s: Longest wait in seconds.

        Returns:
          Whether all work ended within the limit.
        """
        try:
            async with asyncio.timeout(limit_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
