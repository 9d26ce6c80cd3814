"""Handling of one request from admission to its final response."""

from __future__ import annotations

import asyncio
import math

from guavalane_core.exceptions import RequestError
from guavalane_core.forwarding import (
    AttemptOutcome,
    CallerRequest,
    Decision,
    Endpoint,
    Route,
    Service,
    decide_next,
)
from guavalane_core.placement import Candidate
from guavalane_core.quarantine import Quarantine
from guavalane_entry.gateway.admission import (
    UNAVAILABLE_RETRY_S,
    AdmittedRequest,
    make_limited_error,
    make_quarantined_error,
    make_stopping_error,
    refund,
    with_jitter,
)
from guavalane_entry.gateway.components import GatewayComponents
from guavalane_entry.gateway.endpoint_client import (
    BrokenResponseError,
    NotSentError,
)
from guavalane_entry.gateway.errors import (
    NoEndpointError,
    OutcomeUnknownError,
    RefusalError,
    ResponseTimeoutError,
)
from guavalane_entry.gateway.hedging import RequestHedging
from guavalane_entry.gateway.problems import refuse
from guavalane_entry.gateway.progress import (
    MIN_ATTEMPT_TIME_S,
    AttemptState,
    Progress,
)
from guavalane_entry.gateway.reply import Reply
from guavalane_entry.gateway.responses import (
    SERVER_ERROR,
    ResponseForwarder,
)
from guavalane_entry.gateway.selection import limit_waits_s, select_endpoint
from guavalane_entry.gateway.view import NodeView
from guavalane_entry.hedged_race import Attempt, Entrant, HedgedRace
from guavalane_entry.http_connection import ResponseIdentity

# Maximum attempts per request, including those that reached no endpoint.
MAX_ATTEMPTS = 4
# Subtracted from the time limit sent to an endpoint, in seconds, so that its
# response at the end of that time still reaches the caller.
RESPONSE_MARGIN_S = 0.02
CLIENT_ERROR = 400
# Lowest priority that engines support.
MAX_URGENCY = 9


def can_end_before_stop(
    view: NodeView, route: Route, expected_tokens: int
) -> bool:
    """Returns whether an attempt can end before the node stops.

    It is true if nothing is known of the duration of such requests.

    Args:
      view: Shared state of the node.
      route: Route of the request.
      expected_tokens: Number of output tokens that are still expected.
    """
    left_s = view.stop_deadline.left_s
    if math.isinf(left_s):
        return True
    estimate_s = view.durations.estimate_s(route.name, expected_tokens)
    return left_s > max(MIN_ATTEMPT_TIME_S, estimate_s or 0.0)


def make_unplaced_error(
    view: NodeView, service: Service, outcome: AttemptOutcome
) -> RefusalError:
    """Returns the rejection of a request that no endpoint has taken."""
    waits_s = limit_waits_s(view, service)
    if outcome is AttemptOutcome.NOT_SENT and waits_s:
        return make_limited_error(view, waits_s)
    return NoEndpointError(
        f"no endpoint of {service.name} took the request ({outcome.value})",
        with_jitter(view, UNAVAILABLE_RETRY_S),
    )


class Exchange:
    """Exchange of one admitted request.

    Args:
      components: Components of the node.
      request: Request.
      admitted: Result of the admission.
      reply: Response to the caller.
    """

    def __init__(
        self,
        components: GatewayComponents,
        request: CallerRequest,
        admitted: AdmittedRequest,
        reply: Reply,
    ) -> None:
        self._components = components
        self._view = components.view
        self._request = request
        self._admitted = admitted
        self._reply = reply
        self._progress = Progress(last_event_id=request.resume_after)
        route = admitted.route
        limit_s = route.timeout_s
        if request.time_limit_s is not None:
            limit_s = min(limit_s, request.time_limit_s)
        self._deadline_s = request.arrived_s + limit_s
        self._hedging = RequestHedging(
            components,
            request.request_id,
            admitted,
            self._progress,
            self._deadline_s,
            self._expected_tokens(),
            self._next_candidate,
        )
        self._response_forwarder = ResponseForwarder(
            components,
            request,
            admitted,
            reply,
            self._progress,
            self._deadline_s,
            self._count_run,
            self._can_continue_elsewhere,
            self._hedging,
        )

    async def run(self) -> None:
        """Makes attempts until the request is answered or has failed."""
        self._view.retries(self._admitted.service.name).on_request(self._now())
        self._hedging.on_request()
        outcome = AttemptOutcome.NOT_SENT
        try:
            async with self._view.stop_deadline.limit(self._time_left()):
                outcome = await self._attempt_until_final()
        except TimeoutError:
            outcome = AttemptOutcome.TIMED_OUT
        except ConnectionError:
            # The caller's connection broke while the response was written.
            self._log_end("request.abandoned")
            self._reply.abort()
            return
        except asyncio.CancelledError:
            self._log_end("request.abandoned")
            raise
        finally:
            if not self._progress.possibly_run:
                refund(self._view, self._admitted)
        if outcome is AttemptOutcome.ANSWERED:
            self._record_duration()
            self._log_end("request.answered")
            return
        await self._finish_without_response(outcome)

    def _now(self) -> float:
        return self._view.timers.now()

    def _time_left(self) -> float:
        return self._deadline_s - self._now()

    def _can_end_before_stop(self) -> bool:
        """Returns whether another attempt can end before the node stops."""
        return can_end_before_stop(
            self._view, self._admitted.route, self._expected_tokens_left()
        )

    def _can_continue_elsewhere(self) -> bool:
        """Returns whether another endpoint would and could end the stream.

        These are the conditions for another attempt after the stream has been
        broken off, when it is too late to keep it.
        """
        view = self._view
        budget = view.retries(self._admitted.service.name)
        if (
            self._progress.runs + 1 >= self._admitted.route.max_endpoints
            or self._find_quarantine() is not None
            or view.quarantines.is_suspect(self._admitted.parts)
            or not budget.may_spend(self._now(), view.sharing_nodes)
            or not self._can_end_before_stop()
            or self._next_candidate() is None
        ):
            return False
        estimate_s = self._view.durations.estimate_s(
            self._admitted.route.name, self._expected_tokens_left()
        )
        return (estimate_s or MIN_ATTEMPT_TIME_S) < self._time_left()

    def _expected_tokens(self) -> int:
        prompt = self._request.prompt
        return 0 if prompt is None else prompt.expected_output_tokens

    def _expected_tokens_left(self) -> int:
        engine = self._admitted.service.engine
        if engine is None:
            return self._expected_tokens()
        received = self._progress.events * engine.tokens_per_event
        return max(0, self._expected_tokens() - received)

    def _record_duration(self) -> None:
        self._view.durations.record(
            self._admitted.route.name,
            self._now() - self._request.arrived_s,
            first_event_s=self._progress.first_event_s,
            expected_tokens=self._expected_tokens(),
        )

    async def _attempt_until_final(self) -> AttemptOutcome:
        if not self._can_end_before_stop():
            return AttemptOutcome.NOT_SENT
        for _ in range(MAX_ATTEMPTS):
            if self._find_quarantine() is not None:
                return AttemptOutcome.NOT_SENT
            candidate = self._next_candidate()
            if candidate is None:
                return AttemptOutcome.NOT_SENT
            attempts = await self._run_attempts(candidate)
            last = attempts[-1]
            outcome = last.outcome
            self._progress.last_status = last.status
            self._progress.last_outcome = outcome.value
            if outcome is AttemptOutcome.ANSWERED:
                return outcome
            for attempt in attempts:
                if attempt.outcome is AttemptOutcome.BROKEN:
                    await self._wait_before_repeating(attempt.endpoint)
            if self._decide(last) is not Decision.TRY_ANOTHER:
                return outcome
        return outcome

    async def _run_attempts(self, candidate: Candidate) -> list[AttemptState]:
        """Makes an attempt, and a hedged one if it is slow.

        Returns:
          Attempts that have ended, without a cancelled one. The last one
          determines what follows.
        """
        delay_s = self._hedging.delay_s(
            self._uncached_tokens(candidate), has_started=self._reply.started
        )
        # An attempt is counted at once: a task that starts later would let
        # another request take the same part of an endpoint's limit.
        first = self._begin_attempt(AttemptState(candidate))
        if delay_s is None:
            return [await self._attempt(first)]

        def make_hedge() -> Attempt[AttemptState] | None:
            chosen = self._hedging.choose(first)
            if chosen is None:
                return None
            hedge = AttemptState(chosen, is_hedge=True)
            return self._enter(self._begin_attempt(hedge))

        race = HedgedRace(self._view.timers, delay_s, make_hedge)
        ended = await race.run(self._enter(first))
        return [task.result() for task in ended]

    def _enter(self, attempt: AttemptState) -> Attempt[AttemptState]:
        """Returns an attempt as part of a race."""

        def start(entrant: Entrant) -> asyncio.Task[AttemptState]:
            attempt.entrant = entrant
            task = asyncio.create_task(self._compete(attempt))
            task.add_done_callback(lambda _: self._withdraw_unsent(attempt))
            return task

        return start

    async def _compete(self, attempt: AttemptState) -> AttemptState:
        await self._attempt(attempt)
        if self._progress.active and not attempt.has_won:
            self._log_failed(attempt, Decision.AWAIT_OTHER)
        return attempt

    async def _wait_before_repeating(self, endpoint: Endpoint) -> None:
        """Waits until a second crash under the request would be known.

        A request that has crashed two endpoints is not repeated at a third.
        """
        has_open_crash = self._view.quarantines.has_open_crash
        if self._admitted.route.repeatable and has_open_crash(
            self._admitted.parts
        ):
            await self._components.crash_monitor.wait_checked(endpoint)

    def _find_quarantine(self) -> Quarantine | None:
        """Returns the quarantine that forbids the next attempt, if any."""
        if self._admitted.is_trial:
            return None
        return self._view.quarantines.find(self._admitted.parts)

    def _next_candidate(self) -> Candidate | None:
        return select_endpoint(
            self._view,
            self._admitted.service,
            self._admitted.route.name,
            self._request,
            self._progress.tried,
        )

    def _decide(self, attempt: AttemptState) -> Decision:
        view = self._view
        budget = view.retries(self._admitted.service.name)
        decision = decide_next(
            attempt.outcome,
            repeatable=self._admitted.route.repeatable
            and not view.quarantines.is_suspect(self._admitted.parts),
            possibly_run=self._progress.possibly_run,
            runs_left=self._progress.runs < self._admitted.route.max_endpoints,
            retry_budget_left=budget.may_spend(self._now(), view.sharing_nodes),
            time_left=self._time_left() > MIN_ATTEMPT_TIME_S
            and self._can_end_before_stop(),
        )
        self._log_failed(attempt, decision)
        return decision

    def _log_failed(self, attempt: AttemptState, decision: Decision) -> None:
        view = self._view
        budget = view.retries(self._admitted.service.name)
        allowed = budget.allowed(self._now(), view.sharing_nodes)
        outcome = attempt.outcome.value
        self._components.metrics.count("attempts_failed", outcome)
        self._components.log.request(
            "attempt.failed",
            self._request.request_id,
            endpoint=attempt.endpoint.endpoint_id,
            outcome=outcome,
            status=attempt.status,
            had_room=attempt.had_room,
            connection=attempt.connection,
            decision=decision.value,
            possibly_run=self._progress.possibly_run,
            repeats=budget.repeats,
            allowed_repeats=round(allowed, 2),
            left_s=round(self._time_left(), 3),
        )

    async def _attempt(self, attempt: AttemptState) -> AttemptState:
        """Makes an attempt and records its outcome."""
        attempt.running = True
        attempt.outcome = await self._send_measured(attempt)
        return attempt

    def _withdraw_unsent(self, attempt: AttemptState) -> None:
        """Ends what was counted for an attempt whose task has never run."""
        if attempt.running:
            return
        self._progress.active -= 1
        self._undo_count_run()
        self._view.work.finish(attempt.work)
        self._view.moves.end_attempt(
            attempt.endpoint, attempt.sample, self._now()
        )

    def _begin_attempt(self, attempt: AttemptState) -> AttemptState:
        """Counts an attempt that is about to be sent, and returns it."""
        view = self._view
        progress = self._progress
        candidate = attempt.candidate
        endpoint = attempt.endpoint
        # A hedged attempt is a retry even before the first one has ended.
        draws_retry = progress.arrivals > 0 or attempt.is_hedge
        self._components.log.request(
            "attempt.sent",
            self._request.request_id,
            endpoint=endpoint.endpoint_id,
            requests=candidate.load.requests,
            prefill_tokens=candidate.load.prefill_tokens,
            cached_tokens=candidate.cached_tokens,
            slowdown=round(candidate.slowdown, 3),
            after=progress.last_outcome,
            draws_retry=draws_retry,
            hedge=attempt.is_hedge,
            left_s=round(self._time_left(), 3),
        )
        progress.tried.add(endpoint.endpoint_id)
        progress.last_status = None
        now_s = attempt.sent_s = self._now()
        view.ejector.on_dispatch(endpoint.endpoint_id, now_s)
        view.draw_endpoint(endpoint.endpoint_id)
        attempt.uncached_tokens = self._uncached_tokens(candidate)
        if self._request.prompt is not None:
            view.prefixes.record(
                endpoint.endpoint_id, self._request.prompt, now_s
            )
        attempt.work = view.work.start(
            endpoint.endpoint_id, attempt.uncached_tokens
        )
        view.record_sent(self._admitted.service.name, attempt.uncached_tokens)
        if draws_retry:
            view.retries(self._admitted.service.name).spend(now_s)
        attempt.sample = view.moves.begin_attempt(
            endpoint, self._admitted.route.name, now_s
        )
        progress.active += 1
        if not self._admitted.is_stream:
            # A plain service starts to run a request on arrival, an engine with
            # its first token.
            self._count_run()
        return attempt

    async def _send_measured(self, attempt: AttemptState) -> AttemptOutcome:
        """Sends an attempt and records what it tells of its endpoint."""
        view = self._view
        progress = self._progress
        endpoint = attempt.endpoint
        sample = attempt.sample
        events_before = progress.events
        try:
            outcome = await self._send(attempt)
        except NotSentError:
            self._undo_count_run()
            view.ejector.on_unreachable(endpoint.endpoint_id, self._now())
            return AttemptOutcome.NOT_SENT
        except BrokenResponseError as error:
            view.ejector.on_failure(endpoint.endpoint_id, self._now())
            self._components.log.request(
                "attempt.broken",
                self._request.request_id,
                endpoint=endpoint.endpoint_id,
                reason=str(error),
                received_events=progress.events - events_before,
                response_end=attempt.end,
                parts=self._admitted.parts.all,
            )
            outcome = AttemptOutcome.BROKEN
            self._check_for_crash(attempt)
        except BaseException:
            # The deadline passed, the caller disconnected, or another attempt
            # won after the request was sent.
            progress.possibly_run = True
            if attempt.has_lost:
                progress.arrivals += 1
                progress.runs += 1
                self._hedging.on_lost(attempt)
            elif self._time_left() <= 0:
                sample.finish(self._now(), failed=True)
            raise
        finally:
            view.work.finish(attempt.work)
            view.moves.end_attempt(endpoint, sample, self._now())
        progress.arrivals += 1
        if outcome is AttemptOutcome.REJECTED:
            self._undo_count_run()
        else:
            progress.possibly_run = True
            progress.runs += 1
        self._record_outcome(attempt, outcome)
        return outcome

    def _record_outcome(
        self, attempt: AttemptState, outcome: AttemptOutcome
    ) -> None:
        status = attempt.status or 0
        if outcome is AttemptOutcome.REJECTED and attempt.had_room:
            attempt.sample.finish(self._now(), failed=True)
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED):
            attempt.sample.finish(
                self._now(),
                failed=outcome is not AttemptOutcome.ANSWERED,
                rejected=CLIENT_ERROR <= status < SERVER_ERROR,
            )
        is_served = outcome is AttemptOutcome.ANSWERED and status < CLIENT_ERROR
        if is_served and attempt.output_s is not None:
            self._components.quarantine.on_served(
                self._admitted.parts, attempt.output_s
            )

    def _check_for_crash(self, attempt: AttemptState) -> None:
        ended_s = self._now()
        self._components.crash_monitor.on_broken(
            attempt.endpoint,
            () if self._was_served(attempt) else self._admitted.parts.all,
            lambda: attempt.sample.finish(ended_s, failed=True),
            has_head=attempt.status is not None,
        )

    def _was_served(self, attempt: AttemptState) -> bool:
        """Returns whether the endpoint of the attempt ran the request.

        The response of a plain service begins when the request has run.
        """
        has_output = attempt.output_s is not None
        return attempt.served or (has_output and not self._admitted.is_stream)

    def _uncached_tokens(self, candidate: Candidate) -> int:
        prompt = self._request.prompt
        if prompt is None:
            return 0
        return prompt.input_tokens - candidate.cached_tokens

    def _count_run(self) -> None:
        organisation = self._admitted.organisation
        if organisation is None or self._progress.counted_s is not None:
            return
        self._progress.counted_s = self._view.clock.now()
        self._view.usage.add(organisation.name, self._progress.counted_s)

    def _undo_count_run(self) -> None:
        progress = self._progress
        counted_s = progress.counted_s
        # Another attempt in flight may run the request.
        if counted_s is None or progress.possibly_run or progress.active:
            return
        self._progress.counted_s = None
        self._view.usage.remove(self._admitted.organisation.name, counted_s)

    async def _send(self, attempt: AttemptState) -> AttemptOutcome:
        try:
            return await self._exchange(attempt)
        finally:
            self._progress.active -= 1

    async def _exchange(self, attempt: AttemptState) -> AttemptOutcome:
        admitted = self._admitted
        endpoint = attempt.endpoint
        organisation = admitted.organisation
        has_engine = admitted.service.engine is not None
        headers = self._components.codec.endpoint_headers(
            self._request,
            endpoint_id=endpoint.endpoint_id,
            organisation=None if organisation is None else organisation.name,
            time_left_s=self._time_left() - RESPONSE_MARGIN_S,
            urgency=min(MAX_URGENCY, admitted.urgency) if has_engine else None,
            resume_after=self._progress.last_event_id,
        )
        async with self._components.endpoint_client.send(
            endpoint,
            self._request.method,
            self._request.target,
            headers,
            self._request.body,
            repeatable=admitted.route.repeatable,
            identity=ResponseIdentity(
                self._components.codec.names.request_id,
                self._request.request_id,
            ),
        ) as response:
            return await self._response_forwarder.handle(attempt, response)

    async def _finish_without_response(self, outcome: AttemptOutcome) -> None:
        progress = self._progress
        if self._reply.started:
            self._reply.abort()
            self._log_end("request.broken")
            return
        if outcome is AttemptOutcome.FAILED and progress.last_failure:
            status, headers, body = progress.last_failure
            await self._reply.send_response(status, headers, body)
            self._log_end("request.failed")
            return
        error = self._make_error(outcome)
        await refuse(self._components, self._request, self._reply, error)

    def _make_error(self, outcome: AttemptOutcome) -> RequestError:
        quarantine = self._find_quarantine()
        if quarantine is not None and not self._progress.possibly_run:
            return make_quarantined_error(self._view, quarantine)
        if not self._progress.possibly_run:
            if not self._can_end_before_stop():
                return make_stopping_error(self._view)
            return make_unplaced_error(
                self._view, self._admitted.service, outcome
            )
        if outcome is AttemptOutcome.TIMED_OUT:
            if self._view.stop_deadline.left_s <= 0 < self._time_left():
                return ResponseTimeoutError("the node stops")
            return ResponseTimeoutError("the time for the request has ended")
        return OutcomeUnknownError(f"the attempt ended as {outcome.value}")

    def _log_end(self, event: str) -> None:
        admitted = self._admitted
        progress = self._progress
        route = admitted.route
        elapsed_s = self._now() - self._request.arrived_s
        metrics = self._components.metrics
        metrics.count("requests", event.partition(".")[2])
        metrics.record("request", route.name, elapsed_s)
        organisation = admitted.organisation
        timing: dict[str, float] = {}
        if progress.first_event_s is not None:
            timing["first_event_s"] = round(progress.first_event_s, 3)
            timing["longest_gap_s"] = round(progress.longest_gap_s, 3)
            timing["events"] = progress.events
            metrics.record("longest_gap", route.name, progress.longest_gap_s)
        self._components.log.request(
            event,
            self._request.request_id,
            route=route.name,
            delivery=route.delivery.value,
            objective_s=route.latency_objective_s,
            configuration=admitted.version,
            organisation=None if organisation is None else organisation.name,
            units=admitted.units,
            endpoints=sorted(progress.tried),
            arrivals=progress.arrivals,
            status=progress.last_status,
            response_end=progress.response_end,
            elapsed_s=round(elapsed_s, 3),
            **timing,
        )
