"""Chat completions, which may continue on another engine after a failure."""

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
# Every error event contains this field. Searching for it first avoids parsing
# other events.
ERROR_FIELD = b'"error"'
DEFAULT_MAX_TOKENS = 16
MAX_TOKENS_LIMIT = 100_000


# Not frozen: frozen instances take three times as long to create, and one is
# created per token.
@attrs.define(unsafe_hash=True)
class StreamEvent:
    """Event of a spliced stream.

    Attributes:
      data: SSE event without the final blank line.
      tokens: Number of tokens in the stream up to and including this event.
      endpoint: Name of the endpoint that produced it.
    """

    data: bytes
    tokens: int
    endpoint: str


class EventSink(Protocol):
    """Receiver of the events of a spliced stream."""

    @property
    def full(self) -> bool:
        """Whether the producer must pause."""

    async def wait_for_space(self) -> None:
        """Waits until further events are accepted."""

    def extend(self, events: list[StreamEvent]) -> None:
        """Appends events."""


def parse_chat(body: bytes) -> dict[str, Any]:
    """Parses and validates the body of a chat completion request.

    Raises:
      InvalidRequestError: The body is invalid.
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


class _CacheTransferredError(Exception):
    """Ends an attempt whose KV cache has been transferred to another engine."""


class _Stream:
    """State of one stream across its attempts."""

    def __init__(
        self, splice: StreamSplice, total: int, sink: EventSink
    ) -> None:
        self.splice = splice
        self.sink = sink
        self.total = total
        self.prompt_tokens: int | None = None
        self.cache_transfer: asyncio.Task[EndpointView | None] | None = None

    @property
    def complete(self) -> bool:
        """Whether all tokens were received."""
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
        self._prompt_counted = False

    @property
    def full(self) -> bool:
        """Whether reading from the endpoint must pause."""
        return self._state.sink.full

    async def wait_for_space(self) -> None:
        """Waits until further events are accepted."""
        await self._state.sink.wait_for_space()

    def take(self, events: list[bytes]) -> bool:
        """Splices events and returns whether the stream is complete.

        Raises:
          AttemptError: The attempt failed.
          EndpointFailedError: The stream cannot be completed.
          _CacheTransferredError: Another engine has received the cache.
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
            # SSE comments are keep-alives.
            return None
        verdict = splice.offer(self._attempt, parse_chunk(data))
        if verdict is ChunkDecision.DROP:
            self._metrics.count("chunks_dropped")
            return None
        if verdict is ChunkDecision.GAP:
            self._check_gap(view, splice)
        if not self._prompt_counted:
            self._prompt_counted = self._count_prompt(data)
        if self._base:
            data = rewrite_usage(
                data, self._base, self._state.prompt_tokens or 0
            )
        return StreamEvent(data, splice.tokens, view.name)

    def _check_gap(self, view: EndpointView, splice: StreamSplice) -> None:
        if splice.finished:
            # The caller already has the finish reason, so no token can follow.
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
    """Runs chat completions and splices the streams of their attempts.

    Args:
      limits: Concurrency limits; selects endpoints.
      client: Endpoint client.
      rules: Retry rules.
      metrics: Metrics of the node.
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
        """Runs a chat completion until its stream is complete.

        Args:
          request: Request.
          chat: Validated body.
          sink: Receiver of the events.
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
                except _CacheTransferredError:
                    failed = [view.name]
                    target = await self._finish_cache_transfer(
                        view, request, state
                    )
                except AttemptError as error:
                    self._client.on_stream_failure(view, request, error)
                    log.warning(
                        "chat: attempt of {} failed: {}",
                        request.request_id,
                        error,
                    )
                    self._client.on_failure(view, request, error)
                    progressed = state.splice.tokens > before
                    if progressed:
                        failed = []
                    failed.append(view.name)
                    target = await self._finish_cache_transfer(
                        view, request, state
                    )
                    await self._rules.before_retry(
                        request,
                        error,
                        failed,
                        progressed=progressed,
                        wait_for_budget=state.splice.tokens > 0,
                    )
        finally:
            if state.cache_transfer is not None:
                state.cache_transfer.cancel()
        if not state.splice.finished:
            # The engine failed between its last token and its finish chunk.
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
            lambda: self._check_cache_transfer(view, request, state),
        )
        body = self._engine_body(request, chat, state.splice, state.total)
        await self._client.stream(view, request, body, reader)

    def _check_cache_transfer(
        self, view: EndpointView, request: RequestContext, state: _Stream
    ) -> None:
        """Transfers the KV cache of a leaving engine while it still serves.

        Raises:
          _CacheTransferredError: Another engine has received the cache.
        """
        if not view.leaving or not view.endpoint.kv_transfer or state.complete:
            return
        if state.cache_transfer is None:
            state.cache_transfer = asyncio.create_task(
                self._transfer_cache(view, request)
            )
        elif (
            state.cache_transfer.done()
            and state.cache_transfer.result() is not None
        ):
            raise _CacheTransferredError

    async def _finish_cache_transfer(
        self, view: EndpointView, request: RequestContext, state: _Stream
    ) -> EndpointView | None:
        """Returns the engine that received the KV cache of a stream, if any."""
        if state.complete or not state.splice.tokens:
            return None
        if state.cache_transfer is None:
            if not view.leaving or not view.endpoint.kv_transfer:
                return None
            state.cache_transfer = asyncio.create_task(
                self._transfer_cache(view, request)
            )
        target = await state.cache_transfer
        state.cache_transfer = None
        if target is None or target.leaving:
            return None
        return target

    async def _transfer_cache(
        self, view: EndpointView, request: RequestContext
    ) -> EndpointView | None:
        try:
            target = self._limits.choose(request, [view.name])
        except NoEndpointError:
            return None
        if not target.endpoint.kv_transfer:
            return None
        if not await self._client.transfer_cache(view, target, request):
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
