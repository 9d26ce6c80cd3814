"""Execution of chat completions and durable requests on this node."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger as log

from guavalane_core.exceptions import (
    DeadlineExceededError,
    EndpointFailedError,
    GuavalaneError,
    NoEndpointError,
    StreamMovedError,
)
from guavalane_core.records import Record
from guavalane_core.requests import RequestContext, StoredAnswer
from guavalane_core.streams import StreamSplice
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.callers.calls import CallRunner
from guavalane_entry.callers.chat import DONE_EVENT, ChatRunner, StreamEvent
from guavalane_entry.callers.stream_log import StreamLog, pack_events
from guavalane_entry.callers.web import PROBLEM_TYPE, problem_body
from guavalane_entry.requests.executions import Executions

# Events that are buffered for a slow caller before the endpoint is paused.
MAX_UNREAD_EVENTS = 64
# Time for which a finished run is kept for callers that reconnect, in seconds.
FINISHED_RUN_TTL_S = 120.0
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
# Errors caused by an endpoint, not by the request.
RETRYABLE_ERRORS = (EndpointFailedError, NoEndpointError)
SERVED_BY = "X-Served-By"


def assemble_answer(
    context: RequestContext, events: list[StreamEvent], created_s: float
) -> StoredAnswer:
    """Assembles a non-streamed answer from the events of a stream.

    Args:
      context: Request.
      events: Events of the stream.
      created_s: Creation time in seconds since the epoch.
    """
    content: list[str] = []
    finish_reason = None
    usage: dict[str, Any] = {}
    for event in events:
        if event.data == DONE_EVENT:
            break
        chunk = json.loads(event.data.removeprefix(b"data:"))
        usage = chunk.get("usage") or usage
        for choice in chunk.get("choices", ()):
            content.append(choice["delta"].get("content") or "")
            finish_reason = choice.get("finish_reason") or finish_reason
    message = {"role": "assistant", "content": "".join(content)}
    body = {
        "id": context.request_id,
        "object": "chat.completion",
        "created": int(created_s),
        "model": context.route.model,
        "choices": [
            {"index": 0, "message": message, "finish_reason": finish_reason}
        ],
        "usage": usage,
    }
    return StoredAnswer(
        200,
        {"Content-Type": "application/json"},
        json.dumps(body).encode(),
        served_by(events),
    )


def served_by(events: list[StreamEvent]) -> str:
    """Returns the comma-separated names of the endpoints behind events."""
    return ",".join(dict.fromkeys(e.endpoint for e in events if e.endpoint))


def problem_answer(error: Exception) -> StoredAnswer:
    """Returns the problem document of an error as an answer."""
    body = problem_body(error)
    return StoredAnswer(
        body["status"],
        {"Content-Type": PROBLEM_TYPE},
        json.dumps(body).encode(),
    )


@attrs.define(eq=False)
class Run:
    """Execution of one request, which is running or finished recently.

    Attributes:
      context: Request.
      chat: Validated body of a chat completion; None for a plain service.
      splice: Progress of the stream over its attempts.
      log: Events of the stream.
      answer: Complete answer, once available.
      record: Record of a durable request.
      task: Task that executes the run.
      moving: Whether the run is being handed over.
    """

    context: RequestContext
    chat: dict[str, Any] | None
    splice: StreamSplice
    log: StreamLog
    answer: asyncio.Future[StoredAnswer]
    record: Record | None = None
    task: asyncio.Task | None = None
    moving: bool = False

    @property
    def request_id(self) -> str:
        """ID of the request."""
        return self.context.request_id

    @property
    def streamed(self) -> bool:
        """Whether the caller requested a streamed answer."""
        return self.chat is not None and bool(self.chat.get("stream"))

    @property
    def durable(self) -> bool:
        """Whether the request must survive this node."""
        return self.context.route.request_class == "durable"

    def fail(self, error: Exception) -> None:
        """Ends the run with an error."""
        if not self.answer.done():
            self.answer.set_exception(error)
            # Marks the exception as retrieved: the caller may have
            # disconnected.
            self.answer.exception()
        self.log.end(error)


# Stores the answer of a durable run and returns the one that was stored first.
StoreAnswer = Callable[[Run, StoredAnswer], Any]


class RunTable:
    """Starts runs and keeps them by request ID.

    Args:
      chats: Runs chat completions.
      calls: Runs calls to plain services.
      executions: Tracks the work in flight.
      timers: Timer service.
    """

    def __init__(
        self,
        chats: ChatRunner,
        calls: CallRunner,
        executions: Executions,
        timers: Timers,
    ) -> None:
        self._chats = chats
        self._calls = calls
        self._executions = executions
        self._timers = timers
        self._rng = random.Random()
        self._runs: dict[str, Run] = {}
        self._store_answer: StoreAnswer | None = None

    @property
    def unanswered_runs(self) -> list[Run]:
        """Runs without an answer."""
        return [run for run in self._runs.values() if not run.answer.done()]

    def on_durable_answer(self, store: StoreAnswer) -> None:
        """Sets the function that stores answers of durable runs."""
        self._store_answer = store

    def find(self, request_id: str, organisation: str) -> Run | None:
        """Returns the run of a request, or None for a foreign organisation."""
        run = self._runs.get(request_id)
        if run is None or run.context.organisation != organisation:
            return None
        return run

    def start(
        self,
        context: RequestContext,
        chat: dict[str, Any] | None,
        *,
        detached: bool,
        record: Record | None = None,
        events: list[StreamEvent] | None = None,
        splice: StreamSplice | None = None,
    ) -> Run:
        """Starts a run.

        Args:
          context: Request.
          chat: Validated body of a chat completion; None for a plain service.
          detached: Whether the run continues without a reader.
          record: Record of a durable request.
          events: Events of an earlier part of the stream.
          splice: Progress of an earlier part of the stream.
        """
        max_unread = None if detached else MAX_UNREAD_EVENTS
        if chat is not None and not chat.get("stream"):
            max_unread = None
        run = Run(
            context,
            chat,
            splice or StreamSplice(),
            StreamLog(events or (), max_unread),
            asyncio.get_running_loop().create_future(),
            record,
        )
        self._runs[run.request_id] = run
        self._spawn_task(run)
        return run

    def _spawn_task(self, run: Run) -> None:
        run.task = self._executions.spawn(self._run(run))

    async def pause(self, run: Run) -> None:
        """Suspends a run for a handover."""
        run.moving = True
        await self._cancel(run)

    def resume(self, run: Run) -> None:
        """Continues a paused run on this node."""
        run.moving = False
        if not run.answer.done():
            self._spawn_task(run)

    def move(self, run: Run, node: str) -> None:
        """Ends a paused run that continues on another node."""
        run.fail(StreamMovedError(run.request_id, node))
        self._schedule_removal(run)

    async def abandon(self, run: Run) -> None:
        """Cancels a run whose caller disconnected, unless it is handed over."""
        if run.moving:
            return
        await self._cancel(run)
        self._runs.pop(run.request_id, None)

    async def _cancel(self, run: Run) -> None:
        await cancel_tasks(run.task)

    def _schedule_removal(self, run: Run) -> None:
        def forget() -> None:
            if self._runs.get(run.request_id) is run:
                del self._runs[run.request_id]

        self._timers.call_later(FINISHED_RUN_TTL_S, forget)

    async def _run(self, run: Run) -> None:
        with self._executions.tracked(run.context):
            try:
                answer = await self._produce(run)
            except GuavalaneError as error:
                if not run.durable:
                    run.fail(error)
                    self._schedule_removal(run)
                    return
                answer = problem_answer(error)
                run.log.end(error)
            except Exception as error:
                log.opt(exception=error).error(
                    "runs: unexpected error while running a request"
                )
                run.fail(error)
                self._schedule_removal(run)
                raise
            if run.durable:
                answer = await self._store_answer(run, answer)
            if not run.answer.done():
                run.answer.set_result(answer)
            run.log.end()
            self._schedule_removal(run)

    async def _produce(self, run: Run) -> StoredAnswer:
        if not run.durable:
            return await self._attempt(run)
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                return await self._attempt(run)
            except RETRYABLE_ERRORS as error:
                # An accepted durable request is retried until its deadline.
                log.warning("runs: retrying {}: {}", run.request_id, error)
            await self._timers.sleep(delay_s * (0.5 + self._rng.random()))
            delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
            if run.context.remaining_s(self._timers.now()) <= 0:
                raise DeadlineExceededError(
                    "the deadline has passed", not_run=not run.context.sent
                )

    async def _attempt(self, run: Run) -> StoredAnswer:
        if run.chat is None:
            found = await self._calls.call(run.context)
            return StoredAnswer(
                found.status, found.headers, found.body, found.endpoint
            )
        await self._chats.stream(run.context, run.chat, run.log, run.splice)
        if not run.streamed:
            return assemble_answer(
                run.context, run.log.events, self._timers.wall()
            )
        return StoredAnswer(
            200,
            {"Content-Type": "text/event-stream"},
            # Only a record needs the events; readers follow the log.
            pack_events(run.log.events) if run.durable else b"",
            served_by(run.log.events),
            streamed=True,
        )
