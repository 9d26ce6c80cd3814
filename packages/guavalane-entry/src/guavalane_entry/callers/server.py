"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import secrets
from collections.abc import AsyncIterator, Coroutine, Sequence
from typing import Any, TypeVar

from loguru import logger as log
from sanic import Request
from sanic.response import HTTPResponse, raw
from sanic.response import json as json_response

from guavalane_core.configuration import Configuration, Route
from guavalane_core.exceptions import (
    AnswerNotStoredError,
    DrainingError,
    GuavalaneError,
    InvalidRequestError,
    StreamMovedError,
    UnauthorizedError,
)
from guavalane_core.requests import (
    RequestContext,
    RouteTable,
    StoredAnswer,
)
from guavalane_core.settings import NodeSettings
from guavalane_core.timers import Subscription, Timers
from guavalane_entry.caller_bounds import CHECK_PERIOD_S, CallerBounds
from guavalane_entry.callers.admission import Admission
from guavalane_entry.callers.calls import CallRunner
from guavalane_entry.callers.chat import DONE_EVENT, StreamEvent, parse_chat
from guavalane_entry.callers.event_writer import EventWriter
from guavalane_entry.callers.stream_log import LogReader
from guavalane_entry.callers.web import (
    PROBLEM_TYPE,
    REQUEST_TIMEOUT_S,
    WebServer,
    problem_body,
)
from guavalane_entry.endpoints.client import ServiceAnswer
from guavalane_entry.metrics import Metrics
from guavalane_entry.requests.at_most_once import AtMostOnceRunner
from guavalane_entry.requests.durable import DurableRunner
from guavalane_entry.requests.executions import Executions
from guavalane_entry.requests.lookup import LookupResult, RequestLookup
from guavalane_entry.requests.runs import SERVED_BY, Run, RunTable

METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
REQUEST_ID = "X-Request-Id"
MAX_KEY_LENGTH = 255
_AUTHORITY = re.compile(r"^[a-z][a-z0-9+.-]*://[^/?#]*", re.IGNORECASE)

T = TypeVar("T")


def _origin_form(request: Request) -> str:
    """Returns the path and query of a request as received."""
    target = request.raw_url.decode("ascii")
    if target.startswith("/"):
        return target
    # The absolute form, in which the path may be empty.
    path = _AUTHORITY.sub("", target, count=1)
    return path if path.startswith("/") else f"/{path}"


class CallerServer:
    """Accepts requests of callers and writes the answers.

    Args:
      settings: Settings of the node.
      calls: Runs calls to plain services.
      admission: Admission control.
      timers: Timer service.
      metrics: Metrics of the node.
      executions: Tracks the work in flight.
      runs: Runs chat completions.
      at_most_once: Runs at-most-once calls.
      durable: Runs durable requests.
      lookup: Finds requests by ID.
      bounds: Bounds on bodies and connections.
    """

    def __init__(
        self,
        settings: NodeSettings,
        calls: CallRunner,
        admission: Admission,
        timers: Timers,
        metrics: Metrics,
        executions: Executions,
        runs: RunTable,
        at_most_once: AtMostOnceRunner,
        durable: DurableRunner,
        lookup: RequestLookup,
        bounds: CallerBounds,
    ) -> None:
        self._settings = settings
        self._calls = calls
        self._admission = admission
        self._executions = executions
        self._runs = runs
        self._at_most_once = at_most_once
        self._durable = durable
        self._lookup = lookup
        self._timers = timers
        self._metrics = metrics
        self._table = RouteTable(Configuration())
        self._ready = False
        self._draining = False
        self._reclaiming = False
        self._cancellable_tasks: set[asyncio.Task] = set()
        self._bounds = bounds
        self._check: Subscription | None = None
        self._web = WebServer(
            f"callers-{settings.name}",
            settings.callers,
            settings.limits,
            bounds,
        )
        app = self._web.app
        app.add_route(self._get_health, "/healthz", methods=["GET"])
        app.add_route(self._get_ready, "/readyz", methods=["GET"])
        app.add_route(
            self._chat, "/v1/chat/completions", methods=["POST"], name="chat"
        )
        app.add_route(
            self._get_request,
            "/v1/requests/<request_id:str>",
            methods=["GET"],
            name="request",
        )
        app.add_route(
            self._service, "/<path:path>", methods=METHODS, name="service"
        )

    @property
    def in_flight(self) -> dict[str, RequestContext]:
        """Unanswered requests by ID."""
        return self._executions.in_flight

    @property
    def table(self) -> RouteTable:
        """Current route table."""
        return self._table

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send requests."""
        return self._ready and not self._draining

    def apply(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        self._table = RouteTable(configuration)
        self._ready = True

    async def start(self) -> None:
        """Starts listening."""
        self._check = self._timers.call_every(
            CHECK_PERIOD_S, lambda: self._bounds.check(REQUEST_TIMEOUT_S)
        )
        await self._web.start()

    async def drain(self, limit_s: float) -> bool:
        """Rejects new requests and waits for those in flight.

        Args:
          limit_s: Longest wait in seconds.

        Returns:
          Whether all requests ended within the limit.
        """
        self._draining = True
        return await self._executions.wait_idle(limit_s)

    async def cancel_all(self) -> None:
        """Cancels calls and queued requests that cannot be handed over."""
        self._reclaiming = True
        for task in self._cancellable_tasks:
            task.cancel()

    async def _cancel_on_reclaim(
        self, context: RequestContext, coroutine: Coroutine[Any, Any, T]
    ) -> T:
        task = asyncio.create_task(coroutine)
        self._cancellable_tasks.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if not self._reclaiming:
                raise
            raise DrainingError(
                "the VM of the node is reclaimed", not_run=not context.sent
            ) from None
        finally:
            self._cancellable_tasks.discard(task)

    async def stop(self) -> None:
        """Stops listening."""
        if self._check is not None:
            self._check.cancel()
        await self._web.stop()

    async def _get_health(self, _: Request) -> HTTPResponse:
        return json_response({"status": "ok"})

    async def _get_ready(self, _: Request) -> HTTPResponse:
        status = 200 if self.ready else 503
        return json_response({"ready": self.ready}, status=status)

    def _organisation(self, request: Request) -> str:
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise UnauthorizedError(
                "Authorization: Bearer KEY is missing", not_run=True
            )
        return self._table.authenticate(key.strip())

    def _accept(
        self,
        request: Request,
        organisation: str,
        route_name: str,
        route: Route,
    ) -> RequestContext:
        if self._draining:
            raise DrainingError("the node is shutting down", not_run=True)
        key = request.headers.get("Idempotency-Key", "")
        if len(key) > MAX_KEY_LENGTH or not key.isascii():
            raise InvalidRequestError(
                f"Idempotency-Key must be ASCII of up to {MAX_KEY_LENGTH}"
                " characters",
                not_run=True,
            )
        if route.request_class == "at_most_once" and not key:
            raise InvalidRequestError(
                "this route needs an Idempotency-Key header", not_run=True
            )
        timeout_s = self._timeout_ms(request, route) / 1000
        return RequestContext(
            request_id=f"{self._settings.name}-{secrets.token_hex(8)}",
            organisation=organisation,
            route_name=route_name,
            route=route,
            deadline_s=self._timers.now() + timeout_s,
            method=request.method,
            path=_origin_form(request),
            content_type=request.content_type or "application/octet-stream",
            body=request.body,
            idempotency_key=key,
        )

    def _timeout_ms(self, request: Request, route: Route) -> int:
        text = request.headers.get("X-Request-Timeout-Ms")
        if text is None:
            return route.timeout_ms
        if not text.isdecimal() or int(text) < 1:
            raise InvalidRequestError(
                "X-Request-Timeout-Ms must be a positive integer", not_run=True
            )
        return min(int(text), route.timeout_ms)

    async def _chat(self, request: Request) -> HTTPResponse | None:
        organisation = self._organisation(request)
        if not request.content_type.startswith("application/json"):
            raise InvalidRequestError(
                "Content-Type must be application/json", not_run=True
            )
        chat = parse_chat(request.body)
        name, route = self._table.model_route(chat["model"], organisation)
        context = self._accept(request, organisation, name, route)
        if route.request_class == "at_most_once":
            raise InvalidRequestError(
                "at_most_once is for routes of plain services", not_run=True
            )
        if route.request_class == "durable":
            with self._executions.tracked(context):
                run = await self._start_durable(context, chat)
                return await self._answer_run(request, run)
        async with self._admitted(context):
            run = self._runs.start(context, chat, detached=False)
            try:
                return await self._answer_run(request, run)
            finally:
                await self._runs.abandon(run)

    async def _service(self, request: Request, path: str) -> HTTPResponse:
        del path
        organisation = self._organisation(request)
        name, route = self._table.service_route(request.path, organisation)
        context = self._accept(request, organisation, name, route)
        if route.request_class == "durable":
            with self._executions.tracked(context):
                run = await self._start_durable(context, None)
                return await self._answer_run(request, run)
        if route.request_class == "at_most_once":
            # A disconnect of the caller must not cancel the call.
            call = self._call_at_most_once(context)
            with self._executions.tracked(context):
                answer = await asyncio.shield(self._executions.spawn(call))
        else:
            async with self._admitted(context):
                answer = await self._cancel_on_reclaim(
                    context, self._calls.call(context)
                )
        headers = {
            **answer.headers,
            SERVED_BY: answer.endpoint,
            REQUEST_ID: context.request_id,
        }
        content_type = headers.pop("Content-Type", "application/octet-stream")
        return raw(
            answer.body,
            status=answer.status,
            headers=headers,
            content_type=content_type,
        )

    async def _call_at_most_once(
        self, context: RequestContext
    ) -> ServiceAnswer:
        async with self._admitted(context):
            return await self._at_most_once.call(context)

    async def _start_durable(
        self, context: RequestContext, chat: dict[str, Any] | None
    ) -> Run:
        started: asyncio.Future[Run] = asyncio.Future()
        # A disconnect of the caller must not cancel the request.
        self._executions.spawn(self._run_durable(context, chat, started))
        return await asyncio.shield(started)

    async def _run_durable(
        self,
        context: RequestContext,
        chat: dict[str, Any] | None,
        started: asyncio.Future[Run],
    ) -> None:
        try:
            async with self._admitted(context):
                run = await self._durable.accept(context, chat)
                started.set_result(run)
                await asyncio.wait([run.answer])
        except BaseException as error:
            if started.done():
                raise
            started.set_exception(error)
            # Marks the exception as retrieved: the caller may have
            # disconnected.
            started.exception()

    async def _get_request(
        self, request: Request, request_id: str
    ) -> HTTPResponse | None:
        organisation = self._organisation(request)
        after = self._last_event(request, request_id)
        hint = request.args.get("node", "")
        with self._executions.tracked_answer():
            found = await self._lookup.find(
                request_id, organisation, after, hint
            )
            return await self._answer_lookup(request, request_id, found)

    async def _answer_lookup(
        self, request: Request, request_id: str, found: LookupResult
    ) -> HTTPResponse | None:
        if found.events is not None:
            await self._answer_stream(request, request_id, found.events)
            return None
        if found.answer is not None:
            return self._answer_stored(request_id, found.answer)
        return json_response(
            {"id": request_id, "state": "running"},
            status=202,
            headers={"Retry-After": "1", REQUEST_ID: request_id},
        )

    def _last_event(self, request: Request, request_id: str) -> int:
        text = request.headers.get("Last-Event-ID", "")
        if not text:
            return 0
        name, _, index = text.rpartition(":")
        if name != request_id or not index.isdecimal():
            raise InvalidRequestError(
                "Last-Event-ID must be REQUEST:INDEX of this request",
                not_run=True,
            )
        return int(index)

    async def _answer_run(
        self, request: Request, run: Run
    ) -> HTTPResponse | None:
        if run.streamed:
            events = run.log.follow()
            await self._answer_stream(request, run.request_id, events)
            return None
        # A disconnect of one caller must not cancel the answer for others.
        try:
            answer = await asyncio.shield(run.answer)
        except StreamMovedError as error:
            return json_response(
                self._stream_problem(error),
                status=error.status,
                headers={"Location": error.location, "Retry-After": "1"},
                content_type=PROBLEM_TYPE,
            )
        return self._answer_stored(run.request_id, answer)

    def _answer_stored(
        self, request_id: str, answer: StoredAnswer
    ) -> HTTPResponse:
        if answer.dropped:
            raise AnswerNotStoredError(
                "the answer is too large to be stored", not_run=False
            )
        headers = {**answer.headers, REQUEST_ID: request_id}
        if answer.endpoint:
            headers[SERVED_BY] = answer.endpoint
        content_type = headers.pop("Content-Type", "application/octet-stream")
        return raw(
            answer.body,
            status=answer.status,
            headers=headers,
            content_type=content_type,
        )

    async def _answer_stream(
        self,
        request: Request,
        request_id: str,
        events: AsyncIterator[StreamEvent],
    ) -> None:
        # Errors before the first event are answered as a problem document.
        event = await anext(events, None)
        served_by = event.endpoint if event is not None else ""
        response = await request.respond(
            content_type="text/event-stream",
            headers={
                SERVED_BY: served_by,
                REQUEST_ID: request_id,
                "Cache-Control": "no-store",
            },
        )
        writer = EventWriter(
            request, response, request_id, self._settings.limits.slow_reader_s
        )
        try:
            if event is not None:
                await writer.send([event])
                if event.data != DONE_EVENT:
                    await self._send_events(writer, request_id, events)
        except TimeoutError:
            log.warning(
                "callers: stream of {} aborted: caller reads too slowly",
                request_id,
            )
            self._metrics.count("slow_readers")
            request.transport.abort()
            return
        await response.eof()

    async def _send_events(
        self,
        writer: EventWriter,
        request_id: str,
        events: AsyncIterator[StreamEvent],
    ) -> None:
        """Writes the events after the first one and a final error, if any."""
        while True:
            try:
                batch = await self._next_batch(writer, events)
            except Exception as error:
                log.warning(
                    "callers: stream of {} failed: {}", request_id, error
                )
                if not isinstance(error, GuavalaneError):
                    log.opt(exception=error).error(
                        "callers: unexpected error in a stream"
                    )
                body = json.dumps(self._stream_problem(error))
                await writer.send_bytes(
                    f"event: error\ndata: {body}\n\n".encode()
                )
                return
            if not batch:
                return
            await writer.send(batch)
            if batch[-1].data == DONE_EVENT:
                return

    async def _next_batch(
        self, writer: EventWriter, events: AsyncIterator[StreamEvent]
    ) -> Sequence[StreamEvent]:
        if isinstance(events, LogReader):
            return await events.next_batch(writer.offer)
        event = await anext(events, None)
        return () if event is None else [event]

    def _stream_problem(self, error: Exception) -> dict[str, Any]:
        body = problem_body(error)
        if isinstance(error, StreamMovedError):
            body["location"] = error.location
            body["node"] = error.node
        return body

    @contextlib.asynccontextmanager
    async def _admitted(self, context: RequestContext) -> AsyncIterator[None]:
        """Admits a request and counts it as in flight."""
        started_s = self._timers.now()
        self._metrics.count("requests", context.route_name)
        try:
            with self._executions.tracked(context):
                await self._cancel_on_reclaim(
                    context, self._admission.acquire(context)
                )
                try:
                    yield
                finally:
                    self._admission.release(context)
        except BaseException:
            self._metrics.count("failed_requests", context.route_name)
            raise
        finally:
            elapsed = self._timers.now() - started_s
            self._metrics.record("request", context.route_name, elapsed)
