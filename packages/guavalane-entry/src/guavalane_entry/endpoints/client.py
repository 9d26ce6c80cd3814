"""HTTP client for endpoints."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any, Protocol

import aiohttp
import attrs
from loguru import logger as log
from yarl import URL

from guavalane_core.exceptions import (
    AttemptError,
    DeadlineExceededError,
    InvalidRequestError,
)
from guavalane_core.requests import RequestContext
from guavalane_core.routing import EndpointView
from guavalane_core.streams import parse_prompt_usage
from guavalane_core.timers import Timers
from guavalane_entry.caller_bounds import (
    BodyEvictedError,
    BodySizeError,
    CallerBounds,
)
from guavalane_entry.callers.admission import EndpointLimits
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.http_connection import BoundedConnector
from guavalane_entry.http_heads import HeadRequest, exact_target
from guavalane_entry.http_session import make_session
from guavalane_entry.large_bodies import payload_of
from guavalane_entry.response_end import (
    Reachability,
    ResponseEnd,
    end_of,
    probe,
    probe_after_end,
)

CONNECT_TIMEOUT_S = 1.0
MIN_ATTEMPT_S = 0.001
# A timeout within this time of the deadline is attributed to the deadline.
DEADLINE_SLACK_S = 0.005
# A leaving engine has only seconds left, in which the stream must also resume.
CACHE_TRANSFER_TIMEOUT_S = 2.0
# Timeout for the end of the response body after its last event, in seconds.
READ_END_TIMEOUT_S = 0.02
EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]"
MAX_EVENT_BYTES = 1 << 20
# Largest response of a plain service, which is buffered.
MAX_BODY_BYTES = 16 << 20
FORWARDED_ANSWER_HEADERS = ("Content-Type", "Location", "Retry-After")


@attrs.frozen
class ServiceAnswer:
    """Answer of a plain service.

    Attributes:
      status: HTTP status.
      headers: Headers that are forwarded to the caller.
      body: Response body.
      endpoint: Name of the endpoint.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    endpoint: str


class EventReader(Protocol):
    """Receiver of the events of one attempt.

    It is called directly from the read loop, because a task switch or a
    generator per token costs more CPU than the rest of the path.
    """

    @property
    def full(self) -> bool:
        """Whether reading from the endpoint must pause."""

    async def wait_for_space(self) -> None:
        """Waits until further events are accepted."""

    def take(self, events: list[bytes]) -> bool:
        """Handles events and returns whether the answer is complete.

        Args:
          events: SSE events that arrived together, each without the final
              blank line.

        Raises:
          GuavalaneError: The attempt cannot be continued.
        """


class _StallDetector:
    """Fails a response that makes no progress.

    It uses one timer per stream, which checks the time of the last read when it
    fires. A timeout per read would cost a timer per token.
    """

    def __init__(self, answer: aiohttp.ClientResponse, stall_s: float) -> None:
        self._answer = answer
        self._stall_s = stall_s
        self._loop = asyncio.get_running_loop()
        self._since_s = self._loop.time()
        # False while the reader is busy, which is no stall of the engine.
        self.waiting = True
        self._handle = self._loop.call_later(stall_s, self._check)

    def on_wait(self) -> None:
        """Restarts the wait for data."""
        self._since_s = self._loop.time()
        self.waiting = True

    def cancel(self) -> None:
        """Stops the detection."""
        self._handle.cancel()

    def _check(self) -> None:
        idle = self._loop.time() - self._since_s if self.waiting else 0.0
        if idle >= self._stall_s:
            self._answer.content.set_exception(
                AttemptError("stream stalled", sent=True)
            )
            return
        self._handle = self._loop.call_later(self._stall_s - idle, self._check)


class EndpointClient:
    """Sends attempts to endpoints and owns the connections.

    Args:
      pool: Endpoints that this node uses; receives the outcomes.
      limits: Concurrency limits; adapted to latencies and refusals.
      timers: Timer service.
      bounds: Bounds on the bodies that the node holds; by default those of a
          process whose size is unknown.
    """

    def __init__(
        self,
        pool: EndpointPool,
        limits: EndpointLimits,
        timers: Timers,
        bounds: CallerBounds | None = None,
    ) -> None:
        self._bounds = bounds or CallerBounds(timers)
        self._pool = pool
        self._limits = limits
        self._timers = timers
        self._sessions: dict[bool, aiohttp.ClientSession] = {}

    @contextlib.contextmanager
    def _track_in_flight(self, view: EndpointView) -> Iterator[None]:
        view.in_flight += 1
        started = self._timers.now()
        try:
            yield
        except AttemptError as error:
            if error.overloaded and not error.leaving:
                self._limits.on_refusal(view, started)
            raise
        finally:
            view.in_flight -= 1

    def on_success(self, view: EndpointView) -> None:
        """Reports a successful attempt to the pool."""
        self._pool.on_success(view.name)

    def on_failure(
        self, view: EndpointView, request: RequestContext, error: AttemptError
    ) -> None:
        """Reports a failed attempt to the pool."""
        self._pool.on_failure(view.name, request, error)

    async def stream(
        self,
        view: EndpointView,
        request: RequestContext,
        body: dict[str, Any],
        reader: EventReader,
    ) -> None:
        """Streams the SSE events of one attempt to a reader.

        Only the reader knows whether the events form a complete answer, so it
        reports the outcome of the attempt.

        Raises:
          AttemptError: The attempt failed.
          InvalidRequestError: The endpoint rejected the request as invalid.
        """
        stall_s = request.route.stall_ms / 1000
        started = self._timers.now()
        with self._track_in_flight(view):
            async with self._open(
                view,
                request,
                "POST",
                "/v1/chat/completions",
                headers_timeout_s=stall_s,
                json=body,
            ) as answer:
                if answer.status != 200:
                    # A continuation request was built by this node, so its
                    # rejection is not caused by the caller.
                    if "continue_final_message" not in body:
                        raise InvalidRequestError(
                            f"{view.name}: status {answer.status}",
                            not_run=False,
                        )
                    raise AttemptError(
                        f"{view.name}: status {answer.status}", sent=True
                    )
                stall = _StallDetector(answer, stall_s)
                try:
                    final = await self._read_events(
                        view,
                        answer,
                        reader,
                        stall,
                        lambda: self._limits.on_answer(view, request, started),
                    )
                finally:
                    stall.cancel()
                if "continue_final_message" not in body:
                    self._report_usage(view, request, final, started)

    def _report_usage(
        self,
        view: EndpointView,
        request: RequestContext,
        event: bytes,
        started_s: float,
    ) -> None:
        # Some engines report cached tokens only in the last chunk. The caller
        # skips continuations: their usage counts the tokens generated before as
        # part of the prompt.
        usage = parse_prompt_usage(event)
        if usage is not None:
            self._pool.on_usage(view.name, request, usage, started_s)

    def on_stream_failure(
        self, view: EndpointView, request: RequestContext, error: AttemptError
    ) -> None:
        """Called when an attempt of `stream` failed; does nothing here."""

    async def call(
        self, view: EndpointView, request: RequestContext
    ) -> ServiceAnswer:
        """Returns the answer of a plain service.

        Raises:
          AttemptError: The attempt failed.
        """
        try:
            answer = await self._call(view, request)
        except AttemptError as error:
            self.on_failure(view, request, error)
            raise
        self.on_success(view)
        return answer

    async def _call(
        self, view: EndpointView, request: RequestContext
    ) -> ServiceAnswer:
        limit_s = None
        if request.route.request_class == "idempotent":
            limit_s = request.route.stall_ms / 1000
        started = self._timers.now()
        with self._track_in_flight(view):
            async with self._open(
                view,
                request,
                request.method,
                request.path,
                headers_timeout_s=limit_s,
                data=payload_of(request.body),
            ) as answer:
                try:
                    body = await self._read_body(view, answer)
                    await self._check_end(view, answer, request)
                except TimeoutError as error:
                    self._check_timeout(request, started)
                    raise AttemptError(repr(error), sent=True) from None
                except aiohttp.ClientError as error:
                    raise AttemptError(repr(error), sent=True) from None
                self._limits.on_answer(view, request, started)
                headers = {
                    key: answer.headers[key]
                    for key in FORWARDED_ANSWER_HEADERS
                    if key in answer.headers
                }
                return ServiceAnswer(answer.status, headers, body, view.name)

    async def transfer_cache(
        self,
        source: EndpointView,
        target: EndpointView,
        request: RequestContext,
    ) -> bool:
        """Makes an engine import the KV cache of a request from another one.

        The engines transfer the cache directly, because it is far larger than
        the text and would burden the entry node.

        Returns:
          Whether the transfer succeeded in time.
        """
        remaining = request.remaining_s(self._timers.now())
        limit_s = min(CACHE_TRANSFER_TIMEOUT_S, remaining)
        if limit_s <= 0:
            return False
        body = {
            "source": source.endpoint.url,
            "request_id": request.request_id,
        }
        url = target.endpoint.url.rstrip("/") + "/v1/kv_cache/import"
        try:
            async with self._session(request).post(
                url,
                json=body,
                timeout=aiohttp.ClientTimeout(total=limit_s),
                allow_redirects=False,
            ) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError) as error:
            log.info(
                "endpoints: KV cache transfer to {} failed: {!r}",
                target.name,
                error,
            )
            return False

    @contextlib.asynccontextmanager
    async def _open(
        self,
        view: EndpointView,
        request: RequestContext,
        method: str,
        path: str,
        *,
        headers_timeout_s: float | None,
        **kwargs: Any,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        remaining = request.remaining_s(self._timers.now())
        if remaining < MIN_ATTEMPT_S:
            # aiohttp treats a total timeout of 0 as no timeout.
            raise DeadlineExceededError(
                "the deadline has passed", not_run=not request.sent
            )
        headers = {
            "X-Request-Id": request.request_id,
            "X-Request-Timeout-Ms": str(int(remaining * 1000)),
        }
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        if request.route.request_class == "at_most_once":
            # The connection is not reused, but asking the endpoint to close it
            # would make any 503 look like that of a leaving endpoint.
            headers["Connection"] = "keep-alive"
        if "data" in kwargs:
            headers["Content-Type"] = request.content_type
        timeout = aiohttp.ClientTimeout(
            total=remaining, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            url = URL(view.endpoint.url)
        except ValueError as error:
            raise AttemptError(f"{view.name}: {error}", sent=False) from None
        target = url.raw_path.rstrip("/") + path
        started = self._timers.now()
        request.attempts += 1
        number = request.attempts
        sent_before = request.sent
        # Set before sending, because a cancelled attempt may have sent bytes.
        request.sent = True
        try:
            async with contextlib.AsyncExitStack() as stack:
                async with asyncio.timeout(headers_timeout_s):
                    # The response is used in a context of other requests.
                    with exact_target(target):
                        answer = await stack.enter_async_context(
                            self._session(request).request(
                                method,
                                url,
                                headers=headers,
                                timeout=timeout,
                                allow_redirects=False,
                                **kwargs,
                            )
                        )
                self._check_status(view, answer)
                yield answer
        except aiohttp.ClientConnectorError as error:
            self._restore_sent(request, number, sent_before)
            self._pool.mark_unreachable(view.name)
            raise AttemptError(f"{view.name}: {error}", sent=False) from None
        except aiohttp.ConnectionTimeoutError:
            self._restore_sent(request, number, sent_before)
            self._pool.mark_unreachable(view.name)
            raise AttemptError(
                f"{view.name}: no connection", sent=False
            ) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            if isinstance(error, TimeoutError):
                self._check_timeout(request, started)
                self._limits.on_refusal(view, started)
            raise AttemptError(f"{view.name}: {error!r}", sent=True) from None

    def _check_timeout(self, request: RequestContext, started_s: float) -> None:
        """Attributes a timeout to the deadline if the endpoint had little time.

        Otherwise callers with short deadlines would eject healthy endpoints.

        Raises:
          DeadlineExceededError: The deadline caused the timeout.
        """
        now = self._timers.now()
        if (
            request.remaining_s(now) <= DEADLINE_SLACK_S
            and now - started_s < request.route.target_ms / 1000
            and request.route.request_class != "at_most_once"
        ):
            raise DeadlineExceededError(
                "the deadline passed before an answer came", not_run=False
            )

    def _restore_sent(
        self, request: RequestContext, number: int, sent_before: bool
    ) -> None:
        # A hedged attempt that started in the meantime may have sent bytes.
        if request.attempts == number:
            request.sent = sent_before

    def _check_status(
        self, view: EndpointView, answer: aiohttp.ClientResponse
    ) -> None:
        if answer.status < 500 and answer.status != 429:
            return
        closing = answer.headers.get("Connection", "").lower() == "close"
        leaving = answer.status == 503 and closing
        if leaving:
            self._pool.mark_leaving(view.name)
        raise AttemptError(
            f"{view.name}: status {answer.status}",
            sent=True,
            leaving=leaving,
            overloaded=answer.status in (429, 503),
        )

    async def _read_events(
        self,
        view: EndpointView,
        answer: aiohttp.ClientResponse,
        reader: EventReader,
        stall: _StallDetector,
        on_first: Callable[[], None],
    ) -> bytes:
        """Reads all events and returns the one before the final event."""
        read = answer.content.readany
        pending = last = b""
        first = True
        while True:
            try:
                data = await read()
            except TimeoutError:
                # A stream that makes progress is limited only by the deadline.
                raise DeadlineExceededError(
                    "the deadline passed during the answer", not_run=False
                ) from None
            except aiohttp.ClientError as error:
                raise AttemptError(repr(error), sent=True) from None
            if not data:
                raise AttemptError(
                    f"{view.name}: stream ended early", sent=True
                )
            events = (pending + data if pending else data).split(EVENT_END)
            pending = events.pop()
            if events:
                if first:
                    first = False
                    on_first()
                if events[-1].startswith(DONE_EVENT):
                    stall.waiting = False
                    await self._read_end(answer)
                if reader.take(events):
                    return events[-2] if events[1:] else last
                last = events[-1]
                if reader.full:
                    stall.waiting = False
                    await reader.wait_for_space()
            if len(pending) > MAX_EVENT_BYTES:
                raise AttemptError("event too large", sent=True)
            stall.on_wait()

    async def _read_body(
        self, view: EndpointView, answer: aiohttp.ClientResponse
    ) -> bytes:
        held = self._bounds.open(answer.content_length, is_request=False)
        try:
            return bytes(
                await self._bounds.collect(
                    held, answer.content.readany, MAX_BODY_BYTES
                )
            )
        except (BodyEvictedError, BodySizeError) as error:
            raise AttemptError(f"{view.name}: {error}", sent=True) from None
        finally:
            self._bounds.memory.close(held)

    async def _check_end(
        self,
        view: EndpointView,
        answer: aiohttp.ClientResponse,
        request: RequestContext,
    ) -> None:
        """Checks a body that ended with its connection.

        A killed endpoint ends it in the same way as a complete one.

        Raises:
          AttemptError: Nothing listens on the endpoint's port any more.
        """
        if end_of(answer) is not ResponseEnd.CONNECTION:
            return
        url = URL(view.endpoint.url)
        reachability = await probe_after_end(
            self._timers,
            lambda: probe(url.host, url.port, CONNECT_TIMEOUT_S),
            request.remaining_s(self._timers.now()) - DEADLINE_SLACK_S,
        )
        if reachability is Reachability.REFUSES:
            raise AttemptError(
                f"{view.name}: has ended with the connection of its answer",
                sent=True,
            )

    async def _read_end(self, answer: aiohttp.ClientResponse) -> None:
        # A connection is reused only if the response body was read to its end.
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(READ_END_TIMEOUT_S):
                while await answer.content.readany():
                    pass

    def _session(self, request: RequestContext) -> aiohttp.ClientSession:
        once = request.route.request_class == "at_most_once"
        session = self._sessions.get(once)
        if session is None:
            # Admission control limits the calls, so the connector does not. An
            # at-most-once call opens a new connection: if the endpoint closed
            # an idle one while the call is sent, its outcome would be unknown.
            connector = BoundedConnector(limit=0, force_close=once)
            session = make_session(
                connector=connector,
                request_class=HeadRequest,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
            self._sessions[once] = session
        return session

    async def close(self) -> None:
        """Closes all connections."""
        for session in self._sessions.values():
            await session.close()
