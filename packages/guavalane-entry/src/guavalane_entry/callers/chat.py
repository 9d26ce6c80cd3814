"""Chat completions on model engines."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from loguru import logger as log

from guavalane_core.exceptions import (
    AttemptError,
    EndpointFailedError,
    InvalidRequestError,
    NoEndpointError,
)
from guavalane_core.requests import RequestContext
from guavalane_core.routing import EndpointView
from guavalane_core.streams import (
    ChunkDecision,
    StreamSplice,
    is_error,
    parse_chunk,
    parse_prompt_usage,
    rewrite_usage,
)
from guavalane_entry.callers.admission import EndpointLimits
from guavalane_entry.endpoints.client import DONE_EVENT, EndpointClient
from guavalane_entry.endpoints.retrying import RetryRules
from guavalane_entry.metrics import Metrics

FINISH_EVENT = (
    b'data: {"object":"chat.completion.chunk","choices":'
    b'[{"index":0,"delta":{},"finish_reason":"length"}]}'
)
# Every event that reports an error holds it; the search is cheaper.
ERROR_FIELD = b'"error"'
DEFAULT_MAX_TOKENS = 16
MAX_TOKENS_LIMIT = 100_000


# A frozen class takes three times as long to make, and one is made per token.
@attrs.define(unsafe_hash=True)
class StreamEvent:
    """One event of a spliced stream.

    Attributes:
      data: SSE event without the final blank line.
      tokens: Tokens of the stream up to the end of this event.
      endpoint: Endpoint that produced it.
    """

    data: bytes
    tokens: int
    endpoint: str


class EventSink(Protocol):
    """Takes the events of a spliced stream."""

    @property
    def full(self) -> bool:
        """Whether the producer must wait until there is room."""

    async def wait_room(self) -> None:
        """Waits until there is room."""

    def extend(self, events: list[StreamEvent]) -> None:
        """Takes events that arrived together."""


def parse_chat(body: bytes) -> dict[str, Any]:
    """Returns the checked body of a chat completion request.

    Raises:
      InvalidRequestError: The body is not a chat completion request.
    """

    def reject(detail: str) -> InvalidRequestError:
        return InvalidRequestError(detail, not_run=True)

    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise reject(f"body is not JSON: {error}") from None
    if not isinstance(data, dict):
        raise reject("body must be a JSON object")
    if not isinstance(data.get("model"), str):
        raise reject("model must be a string")
    messages = data.get("messages")
    if not isinstance(messages, list) or not messages:
        raise reject("messages must be a list with at least one message")
    for index, message in enumerate(messages):
        if (
            not isinstance(message, dict)
            or not isinstance(message.get("role"), str)
            or not isinstance(message.get("content"), str)
        ):
            raise reject(f"messages[{index}] needs text in role and content")
    limit = data.get("max_tokens", DEFAULT_MAX_TOKENS)
    if (
        not isinstance(limit, int)
        or isinstance(limit, bool)
        or not 1 <= limit <= MAX_TOKENS_LIMIT
    ):
        raise reject(f"max_tokens must be from 1 to {MAX_TOKENS_LIMIT}")
    if data.get("n", 1) != 1:
        raise reject("n must be 1")
    if not isinstance(data.get("stream", False), bool):
        raise reject("stream must be true or false")
    return data


class _CacheMovedError(Exception):
    """The KV cache of a stream has arrived at another engine."""


class _Stream:
    """Progress of one stream over its attempts."""

    def __init__(
        self, splice: StreamSplice, total: int, sink: EventSink
    ) -> None:
        self.splice = splice
        self.sink = sink
        self.total = total
        self.prompt_tokens: int | None = None
        self.move: asyncio.Task[EndpointView | None] | None = None

    @property
    def complete(self) -> bool:
        """Whether no token is missing."""
        return self.splice.finished or self.splice.tokens >= self.total


class _AttemptReader:
    """Splices the events of one attempt into the stream."""

    def __init__(
        self,
        client: EndpointClient,
        metrics: Metrics,
        view: EndpointView,
        request: RequestContext,
        state: _Stream,
        on_leaving: Callable[[], None],
    ) -> None:
        self._client = client
        self._metrics = metrics
        self._view = view
        self._request = request
        self._state = state
        self._on_leaving = on_leaving
        self._attempt = state.splice.begin_attempt()
        self._base = state.splice.base
        self._counted = False

    @property
    def full(self) -> bool:
        """Whether the endpoint must wait until there is room."""
        return self._state.sink.full

    async def wait_room(self) -> None:
        """Waits until there is room."""
        await self._state.sink.wait_room()

    def take(self, events: list[bytes]) -> bool:
        """Takes events and returns whether the stream is whole.

        Raises:
          AttemptError: The attempt failed.
          EndpointFailedError: The stream cannot be completed.
          _CacheMovedError: The cache has arrived at another engine.
        """
        accepted: list[StreamEvent] = []
        try:
            for data in events:
                if data.startswith(DONE_EVENT):
                    self._end(accepted)
                    return True
                event = self._splice(data)
                if event is not None:
                    accepted.append(event)
        finally:
            if accepted:
                self._state.sink.extend(accepted)
        if self._view.leaving:
            self._on_leaving()
        return False

    def _end(self, accepted: list[StreamEvent]) -> None:
        splice, name = self._state.splice, self._view.name
        if not self._state.complete:
            raise AttemptError(
                f"{name}: ended without its last chunk", sent=True
            )
        if not splice.finished:
            accepted.append(StreamEvent(FINISH_EVENT, splice.tokens, name))
        self._client.on_success(self._view)
        accepted.append(StreamEvent(DONE_EVENT, splice.tokens, name))

    def _splice(self, data: bytes) -> StreamEvent | None:
        view, splice = self._view, self._state.splice
        if ERROR_FIELD in data and is_error(data):
            raise AttemptError(
                f"{view.name}: the engine reported an error", sent=True
            )
        if not data.startswith(b"data:"):
            # Comments keep the connection alive and carry nothing.
            return None
        verdict = splice.offer(self._attempt, parse_chunk(data))
        if verdict is ChunkDecision.DROP:
            self._metrics.count("chunks_dropped")
            return None
        if verdict is ChunkDecision.GAP:
            self._check_gap(view, splice)
        if not self._counted:
            self._counted = self._count_prompt(data)
        if self._base:
            data = rewrite_usage(
                data, self._base, self._state.prompt_tokens or 0
            )
        return StreamEvent(data, splice.tokens, view.name)

    def _check_gap(self, view: EndpointView, splice: StreamSplice) -> None:
        if splice.finished:
            # The caller has the finish reason, so nothing can be added.
            raise EndpointFailedError(
                f"{view.name} counts more tokens than it sent", not_run=False
            )
        raise AttemptError(f"{view.name}: chunk missing", sent=True)

    def _count_prompt(self, data: bytes) -> bool:
        usage = parse_prompt_usage(data)
        if usage is None:
            return False
        state, base = self._state, self._base
        if state.prompt_tokens is None:
            state.prompt_tokens = max(0, usage.prompt_tokens - base)
        if base:
            cached = usage.cached_tokens or 0
            again = max(0, usage.prompt_tokens - cached)
            self._metrics.count(
                "tokens_recomputed", self._request.route_name, again
            )
        return True


class ChatRunner:
    """Runs chat completions, spliced over endpoints.

    Args:
      limits: Choice of endpoints below their limits.
      client: Calls to endpoints.
      rules: Decision on retries.
      metrics: Counters.
    """

    def __init__(
        self,
        limits: EndpointLimits,
        client: EndpointClient,
        rules: RetryRules,
        metrics: Metrics,
    ) -> None:
        self._limits = limits
        self._client = client
        self._rules = rules
        self._metrics = metrics

    async def stream(
        self,
        request: RequestContext,
        chat: dict[str, Any],
        sink: EventSink,
        splice: StreamSplice | None = None,
    ) -> None:
        """Runs a chat completion, spliced over endpoints.

        Args:
          request: Request.
          chat: Checked body.
          sink: Takes the events.
          splice: Progress of an earlier part of the stream, if any.

        Raises:
          RequestError: The stream cannot be completed.
        """
        total = chat.get("max_tokens", DEFAULT_MAX_TOKENS)
        state = _Stream(splice or StreamSplice(), total, sink)
        failed: list[str] = []
        target: EndpointView | None = None
        try:
            while not state.complete:
                self._rules.check_deadline(request)
                view = target or self._limits.choose(request, failed)
                target = None
                before = state.splice.tokens
                try:
                    await self._attempt(view, request, chat, state)
                    return
                except _CacheMovedError:
                    failed = [view.name]
                    target = await self._finish_move(view, request, state)
                except AttemptError as error:
                    self._client.on_stream_failure(view, request, error)
                    log.warning(
                        "chat: {} failed: {}", request.request_id, error
                    )
                    self._client.on_failure(view, request, error)
                    progressed = state.splice.tokens > before
                    if progressed:
                        failed = []
                    failed.append(view.name)
                    target = await self._finish_move(view, request, state)
                    await self._rules.before_retry(
                        request,
                        error,
                        failed,
                        progressed=progressed,
                        patient=state.splice.tokens > 0,
                    )
        finally:
            if state.move is not None:
                state.move.cancel()
        if not state.splice.finished:
            # The engine broke between its last token and its finish chunk.
            sink.extend([StreamEvent(FINISH_EVENT, state.splice.tokens, "")])
        sink.extend([StreamEvent(DONE_EVENT, state.splice.tokens, "")])

    async def _attempt(
        self,
        view: EndpointView,
        request: RequestContext,
        chat: dict[str, Any],
        state: _Stream,
    ) -> None:
        reader = _AttemptReader(
            self._client,
            self._metrics,
            view,
            request,
            state,
            lambda: self._follow_leaving(view, request, state),
        )
        body = self._engine_body(request, chat, state.splice, state.total)
        await self._client.stream(view, request, body, reader)

    def _follow_leaving(
        self, view: EndpointView, request: RequestContext, state: _Stream
    ) -> None:
        """Moves the KV cache away while a leaving engine still serves.

        Raises:
          _CacheMovedError: The cache has arrived at another engine.
        """
        if not view.leaving or not view.endpoint.kv_transfer or state.complete:
            return
        if state.move is None:
            state.move = asyncio.create_task(self._move(view, request))
        elif state.move.done() and state.move.result() is not None:
            raise _CacheMovedError

    async def _finish_move(
        self, view: EndpointView, request: RequestContext, state: _Stream
    ) -> EndpointView | None:
        """Returns the engine that holds the cache of a stream, if any."""
        if state.complete or not state.splice.tokens:
            return None
        if state.move is None:
            if not view.leaving or not view.endpoint.kv_transfer:
                return None
            state.move = asyncio.create_task(self._move(view, request))
        target = await state.move
        state.move = None
        if target is None or target.leaving:
            return None
        return target

    async def _move(
        self, view: EndpointView, request: RequestContext
    ) -> EndpointView | None:
        try:
            target = self._limits.choose(request, [view.name])
        except NoEndpointError:
            return None
        if not target.endpoint.kv_transfer:
            return None
        if not await self._client.move_cache(view, target, request):
            return None
        self._metrics.count("caches_moved", request.route_name)
        return target

    def _engine_body(
        self,
        request: RequestContext,
        chat: dict[str, Any],
        splice: StreamSplice,
        total: int,
    ) -> dict[str, Any]:
        body = {
            **chat,
            "stream": True,
            "stream_options": {
                "include_usage": True,
                "continuous_usage_stats": True,
            },
            "return_token_ids": True,
            "priority": request.route.priority,
            "max_tokens": total - splice.tokens,
        }
        if splice.tokens:
            done = {"role": "assistant", "content": splice.text}
            body["messages"] = [*chat["messages"], done]
            body["continue_final_message"] = True
            body["add_generation_prompt"] = False
        return body
