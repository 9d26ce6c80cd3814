"""One caller's request from admission to its final answer."""

from __future__ import annotations

import asyncio
import json

import attrs

from guavalane_core.exceptions import RequestError
from guavalane_core.forwarding import (
    AttemptOutcome,
    CallerRequest,
    Decision,
    Delivery,
    Endpoint,
    EventSplitter,
    decide_next,
)
from guavalane_core.forwarding.events import EventTooLongError
from guavalane_core.placement import Candidate, Work
from guavalane_entry.gateway.admission import (
    UNREADY_RETRY_S,
    Admitted,
    admit,
    give_back,
    spread,
)
from guavalane_entry.gateway.channels import (
    BrokenAnswerError,
    EndpointAnswer,
    EndpointChannels,
    NotSentError,
)
from guavalane_entry.gateway.codec import RequestCodec
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.errors import (
    AnswerTimeoutError,
    NoEndpointError,
    OutcomeUnknownError,
    RefusalError,
)
from guavalane_entry.gateway.reply import Reply
from guavalane_entry.gateway.selection import select_endpoint
from guavalane_entry.gateway.view import NodeView
from guavalane_entry.metrics import Metrics

PROBLEM_TYPE = "application/problem+json"
# Attempts at one request, those that never arrived included.
MAX_ATTEMPTS = 4
# Taken off the time that an endpoint is given, in seconds, so that its own
# answer at the end of that time still reaches the caller.
RETURN_TIME_S = 0.02
# Least time left for another attempt, in seconds.
MIN_ATTEMPT_S = 0.05
# A silent stream that another endpoint may continue is given up after this
# many of its route's longest pauses, and no sooner than after the least time.
SILENT_PAUSES = 3
MIN_SILENCE_S = 1.0
MISDIRECTED = 421
REFUSAL_STATUSES = (408, 421, 429, 503)
SERVER_ERROR = 500


@attrs.define
class _Progress:
    """What has happened to a request so far.

    Attributes:
      possibly_run: Whether an endpoint may have run it.
      arrivals: Attempts that may have reached an endpoint.
      runs: Attempts that may have run.
      tried: Endpoints that it was sent to.
      last_event_id: Last event that the caller got.
      counted_s: Estimate of the true time under which its usage was counted;
          None if it was not.
      first_event_s: Time from the request to the first event of its stream.
      longest_gap_s: Longest pause between two reads of its stream.
      last_status: Status of the last endpoint's answer; None without one.
      last_failure: Endpoint's own failure, whole, to be passed on at the end.
    """

    possibly_run: bool = False
    arrivals: int = 0
    runs: int = 0
    tried: set[str] = attrs.field(factory=set)
    last_event_id: str | None = None
    counted_s: float | None = None
    first_event_s: float | None = None
    longest_gap_s: float = 0.0
    last_status: int | None = None
    last_failure: tuple[int, list[tuple[str, str]], bytes] | None = None


class Forwarder:
    """Forwards requests to endpoints.

    Args:
      view: What the node believes.
      channels: Connections to endpoints.
      codec: Translation of headers.
      log: Log of decisions.
      metrics: Metrics of the node.
    """

    def __init__(
        self,
        view: NodeView,
        channels: EndpointChannels,
        codec: RequestCodec,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.view = view
        self.channels = channels
        self.codec = codec
        self.log = log
        self.metrics = metrics

    async def forward(self, request: CallerRequest, reply: Reply) -> None:
        """Answers one request."""
        try:
            admitted = admit(self.view, request)
        except RefusalError as error:
            await self.refuse(request, reply, error)
            return
        exchange = _Exchange(self, request, admitted, reply)
        await exchange.run()

    async def refuse(
        self, request: CallerRequest, reply: Reply, error: RequestError
    ) -> None:
        """Answers a request with an error of the system's own."""
        self.metrics.count("refusals", error.code)
        self.log.request(
            "request.refused",
            request.request_id,
            code=error.code,
            status=error.status,
            reason=str(error),
        )
        status, headers, body = problem_of(error)
        await reply.send_whole(status, headers, body)


def problem_of(
    error: RequestError,
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Returns the answer that reports an error to a caller."""
    headers = [("Content-Type", PROBLEM_TYPE)]
    retry_after_s = getattr(error, "retry_after_s", None)
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    body = {
        "type": f"urn:guavalane:error:{error.code}",
        "title": error.code.replace("_", " "),
        "status": error.status,
        "code": error.code,
        "not_run": error.not_run,
        "detail": str(error),
    }
    return error.status, headers, json.dumps(body).encode()


class _Exchange:
    """One admitted request."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: CallerRequest,
        admitted: Admitted,
        reply: Reply,
    ) -> None:
        self._forwarder = forwarder
        self._view = forwarder.view
        self._codec = forwarder.codec
        self._request = request
        self._admitted = admitted
        self._reply = reply
        self._progress = _Progress(last_event_id=request.resume_after)
        route = admitted.route
        limit_s = route.timeout_s
        if request.time_limit_s is not None:
            limit_s = min(limit_s, request.time_limit_s)
        self._deadline_s = request.arrived_s + limit_s

    async def run(self) -> None:
        """Makes attempts until the request is answered or given up."""
        self._view.retries(self._admitted.service.name).on_request(self._now())
        outcome = AttemptOutcome.NOT_SENT
        try:
            async with asyncio.timeout(max(0.0, self._time_left())):
                outcome = await self._attempt_until_final()
        except TimeoutError:
            outcome = AttemptOutcome.TIMED_OUT
        except ConnectionError:
            # The caller's connection broke while the answer was written.
            self._log_end("request.abandoned")
            self._reply.abort()
            return
        except asyncio.CancelledError:
            self._log_end("request.abandoned")
            raise
        finally:
            if not self._progress.possibly_run:
                give_back(self._view, self._admitted)
        if outcome is AttemptOutcome.ANSWERED:
            self._log_end("request.answered")
            return
        await self._end_without_answer(outcome)

    def _now(self) -> float:
        return self._view.timers.now()

    def _time_left(self) -> float:
        return self._deadline_s - self._now()

    async def _attempt_until_final(self) -> AttemptOutcome:
        for _ in range(MAX_ATTEMPTS):
            candidate = self._next_candidate()
            if candidate is None:
                return AttemptOutcome.NOT_SENT
            endpoint = candidate.endpoint
            outcome = await self._attempt(candidate)
            if outcome is AttemptOutcome.ANSWERED:
                return outcome
            if self._decide(outcome, endpoint) is not Decision.TRY_ANOTHER:
                return outcome
        return outcome

    def _next_candidate(self) -> Candidate | None:
        return select_endpoint(
            self._view,
            self._admitted.service,
            self._request,
            self._progress.tried,
        )

    def _decide(self, outcome: AttemptOutcome, endpoint: Endpoint) -> Decision:
        view = self._view
        now_s = self._now()
        budget = view.retries(self._admitted.service.name)
        decision = decide_next(
            outcome,
            repeatable=self._admitted.route.repeatable,
            possibly_run=self._progress.possibly_run,
            runs_left=self._progress.runs < self._admitted.route.max_endpoints,
            arrivals_left=budget.may_spend(now_s, view.node_count),
            time_left=self._time_left() > MIN_ATTEMPT_S,
        )
        self._forwarder.metrics.count("attempts_failed", outcome.value)
        self._forwarder.log.request(
            "attempt.failed",
            self._request.request_id,
            endpoint=endpoint.endpoint_id,
            outcome=outcome.value,
            status=self._progress.last_status,
            decision=decision.value,
            possibly_run=self._progress.possibly_run,
            repeats=budget.repeats,
            left_s=round(self._time_left(), 3),
        )
        return decision

    async def _attempt(self, candidate: Candidate) -> AttemptOutcome:
        view = self._view
        progress = self._progress
        endpoint = candidate.endpoint
        self._forwarder.log.request(
            "attempt.sent",
            self._request.request_id,
            endpoint=endpoint.endpoint_id,
            requests=candidate.load.requests,
            prefill_tokens=candidate.load.prefill_tokens,
            cached_tokens=candidate.cached_tokens,
            left_s=round(self._time_left(), 3),
        )
        progress.tried.add(endpoint.endpoint_id)
        progress.last_status = None
        now_s = self._now()
        view.ejector.on_chosen(endpoint.endpoint_id, now_s)
        prefill_tokens = self._prefill_tokens(endpoint, now_s)
        work = view.work.start(endpoint.endpoint_id, prefill_tokens)
        view.add_sent(self._admitted.service.name, prefill_tokens)
        if progress.arrivals:
            view.retries(self._admitted.service.name).spend(now_s)
        if not self._is_stream:
            # A plain service begins at once; an engine with its first token.
            self._count_run()
        try:
            outcome = await self._send(endpoint, work)
        except NotSentError:
            self._uncount_run()
            view.ejector.on_unreachable(endpoint.endpoint_id, self._now())
            return AttemptOutcome.NOT_SENT
        except BrokenAnswerError as error:
            view.ejector.on_failure(endpoint.endpoint_id, self._now())
            self._forwarder.log.request(
                "attempt.broken",
                self._request.request_id,
                endpoint=endpoint.endpoint_id,
                reason=str(error),
            )
            outcome = AttemptOutcome.BROKEN
        except BaseException:
            # The time ended or the caller left; the request was sent.
            progress.possibly_run = True
            raise
        finally:
            view.work.finish(work)
        progress.arrivals += 1
        if outcome is AttemptOutcome.REJECTED:
            self._uncount_run()
        else:
            progress.possibly_run = True
            progress.runs += 1
        return outcome

    @property
    def _is_stream(self) -> bool:
        return self._admitted.route.delivery is Delivery.STREAM

    def _prefill_tokens(self, endpoint: Endpoint, now_s: float) -> int:
        prompt = self._request.prompt
        if prompt is None:
            return 0
        cached = self._view.prefixes.cached_tokens(
            endpoint.endpoint_id, prompt, now_s
        )
        self._view.prefixes.record(endpoint.endpoint_id, prompt, now_s)
        return prompt.input_tokens - cached

    def _count_run(self) -> None:
        organisation = self._admitted.organisation
        if organisation is None or self._progress.counted_s is not None:
            return
        self._progress.counted_s = self._view.clock.now()
        self._view.usage.add(organisation.name, self._progress.counted_s)

    def _uncount_run(self) -> None:
        counted_s = self._progress.counted_s
        if counted_s is None or self._progress.possibly_run:
            return
        self._progress.counted_s = None
        self._view.usage.remove(self._admitted.organisation.name, counted_s)

    async def _send(self, endpoint: Endpoint, work: Work) -> AttemptOutcome:
        admitted = self._admitted
        organisation = admitted.organisation
        has_engine = admitted.service.engine is not None
        headers = self._codec.endpoint_headers(
            self._request,
            endpoint_id=endpoint.endpoint_id,
            organisation=None if organisation is None else organisation.name,
            time_left_s=self._time_left() - RETURN_TIME_S,
            urgency=min(9, admitted.urgency) if has_engine else None,
            resume_after=self._progress.last_event_id,
        )
        async with self._forwarder.channels.send(
            endpoint,
            self._request.method,
            self._request.target,
            headers,
            self._request.body,
            repeatable=admitted.route.repeatable,
        ) as answer:
            return await self._take_answer(endpoint, answer, work)

    async def _take_answer(
        self, endpoint: Endpoint, answer: EndpointAnswer, work: Work
    ) -> AttemptOutcome:
        names = self._codec.names
        self._progress.last_status = answer.status
        if answer.header(names.not_run) is not None or (
            answer.status == MISDIRECTED
        ):
            if answer.status == MISDIRECTED:
                self._view.ejector.on_unreachable(
                    endpoint.endpoint_id, self._now()
                )
            await answer.read_whole()
            return AttemptOutcome.REJECTED
        if answer.header(names.request_id) != self._request.request_id:
            raise BrokenAnswerError("the answer names another request")
        if answer.header(names.proof) is None:
            raise BrokenAnswerError("the answer has no proof")
        if answer.status >= SERVER_ERROR or answer.status in REFUSAL_STATUSES:
            return await self._take_failure(endpoint, answer)
        if self._is_stream:
            await self._pass_events(answer, work)
        else:
            await self._pass_whole(answer)
        self._view.ejector.on_success(endpoint.endpoint_id)
        return AttemptOutcome.ANSWERED

    async def _take_failure(
        self, endpoint: Endpoint, answer: EndpointAnswer
    ) -> AttemptOutcome:
        body = await answer.read_whole()
        self._view.ejector.on_failure(endpoint.endpoint_id, self._now())
        # These statuses promise that the request has not run, which this
        # endpoint did not say.
        if answer.status not in REFUSAL_STATUSES:
            headers = self._codec.answer_headers(answer.headers)
            self._progress.last_failure = (answer.status, headers, body)
        return AttemptOutcome.FAILED

    async def _pass_whole(self, answer: EndpointAnswer) -> None:
        body = await answer.read_whole()
        headers = self._codec.answer_headers(answer.headers)
        if answer.framed:
            await self._reply.send_whole(answer.status, headers, body)
            return
        await self._reply.begin(answer.status, headers, framed=False)
        await self._reply.write(body)
        await self._reply.finish()

    async def _pass_events(self, answer: EndpointAnswer, work: Work) -> None:
        splitter = EventSplitter()
        chunks = answer.chunks()
        first_s = None
        read_s = self._now()
        while True:
            try:
                async with asyncio.timeout(self._silence_limit()):
                    data = await anext(chunks, None)
            except TimeoutError:
                if self._time_left() <= 0:
                    raise
                raise BrokenAnswerError("the stream is silent") from None
            if data is None:
                break
            try:
                events = splitter.feed(data)
            except EventTooLongError as error:
                raise BrokenAnswerError(str(error)) from error
            if not events:
                continue
            now_s = self._now()
            if first_s is None:
                first_s = now_s
                work.prefill_tokens = 0
                self._count_run()
            self._note_events(now_s, now_s - read_s)
            read_s = now_s
            await self._begin_stream(answer)
            for event in events:
                if event.event_id is not None:
                    self._progress.last_event_id = event.event_id
            await self._reply.write(b"".join(event.data for event in events))
        if splitter.partial:
            raise BrokenAnswerError("the stream ends within an event")
        await self._begin_stream(answer)
        await self._reply.finish()
        if first_s is not None:
            rates = self._view.rates(self._admitted.service.name)
            rates.on_run(self._now() - first_s)

    def _note_events(self, now_s: float, gap_s: float) -> None:
        progress = self._progress
        if progress.first_event_s is None:
            progress.first_event_s = now_s - self._request.arrived_s
            self._forwarder.metrics.record(
                "first_event", self._admitted.route.name, progress.first_event_s
            )
        else:
            progress.longest_gap_s = max(progress.longest_gap_s, gap_s)

    def _silence_limit(self) -> float | None:
        route = self._admitted.route
        if not route.resumable or not self._reply.begun:
            return None
        return max(MIN_SILENCE_S, SILENT_PAUSES * route.max_gap_s)

    async def _begin_stream(self, answer: EndpointAnswer) -> None:
        if not self._reply.begun:
            headers = self._codec.answer_headers(answer.headers)
            await self._reply.begin(
                answer.status, headers, framed=answer.framed
            )

    async def _end_without_answer(self, outcome: AttemptOutcome) -> None:
        progress = self._progress
        if self._reply.begun:
            self._reply.abort()
            self._log_end("request.broken")
            return
        if outcome is AttemptOutcome.FAILED and progress.last_failure:
            status, headers, body = progress.last_failure
            await self._reply.send_whole(status, headers, body)
            self._log_end("request.failed")
            return
        await self._forwarder.refuse(
            self._request, self._reply, self._error_of(outcome)
        )

    def _error_of(self, outcome: AttemptOutcome) -> RequestError:
        if not self._progress.possibly_run:
            return NoEndpointError(
                f"no endpoint of {self._admitted.service.name} took the"
                f" request ({outcome.value})",
                spread(self._view, UNREADY_RETRY_S),
            )
        if outcome is AttemptOutcome.TIMED_OUT:
            return AnswerTimeoutError("the time for the request has ended")
        return OutcomeUnknownError(f"the attempt ended as {outcome.value}")

    def _log_end(self, event: str) -> None:
        admitted = self._admitted
        progress = self._progress
        route = admitted.route
        elapsed_s = self._now() - self._request.arrived_s
        metrics = self._forwarder.metrics
        metrics.count("requests", event.partition(".")[2])
        metrics.record("request", route.name, elapsed_s)
        timing: dict[str, float] = {}
        if progress.first_event_s is not None:
            timing["first_event_s"] = round(progress.first_event_s, 3)
            timing["longest_gap_s"] = round(progress.longest_gap_s, 3)
            metrics.record("longest_gap", route.name, progress.longest_gap_s)
        self._forwarder.log.request(
            event,
            self._request.request_id,
            route=route.name,
            delivery=route.delivery.value,
            objective_s=route.latency_objective_s,
            configuration=admitted.version,
            endpoints=sorted(progress.tried),
            arrivals=progress.arrivals,
            status=progress.last_status,
            elapsed_s=round(elapsed_s, 3),
            **timing,
        )
