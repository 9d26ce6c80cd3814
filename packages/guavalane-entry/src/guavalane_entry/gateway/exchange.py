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
    decide_next,
)
from guavalane_core.moves.samples import AttemptSample
from guavalane_core.placement import Candidate, Work
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
    ResponseTimeoutError,
)
from guavalane_entry.gateway.problems import refuse
from guavalane_entry.gateway.progress import Progress
from guavalane_entry.gateway.reply import Reply
from guavalane_entry.gateway.responses import (
    SERVER_ERROR,
    ResponseForwarder,
)
from guavalane_entry.gateway.selection import limit_waits_s, select_endpoint
from guavalane_entry.http_connection import ResponseIdentity

# Maximum attempts per request, including those that reached no endpoint.
MAX_ATTEMPTS = 4
# Subtracted from the time limit sent to an endpoint, in seconds, so that its
# response at the end of that time still reaches the caller.
RESPONSE_MARGIN_S = 0.02
# Minimum remaining time for another attempt, in seconds.
MIN_ATTEMPT_TIME_S = 0.05
CLIENT_ERROR = 400
# Lowest priority that engines support.
MAX_URGENCY = 9


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
        self._response_forwarder = ResponseForwarder(
            components,
            request,
            admitted,
            reply,
            self._progress,
            self._deadline_s,
            self._count_run,
            self._can_continue_elsewhere,
        )

    async def run(self) -> None:
        """Makes attempts until the request is answered or has failed."""
        self._view.retries(self._admitted.service.name).on_request(self._now())
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
        """Returns whether another attempt can end before the node stops.

        It is true if nothing is known of the duration of such requests.
        """
        left_s = self._view.stop_deadline.left_s
        if math.isinf(left_s):
            return True
        estimate_s = self._view.durations.estimate_s(
            self._admitted.route.name, self._expected_tokens_left()
        )
        return left_s > max(MIN_ATTEMPT_TIME_S, estimate_s or 0.0)

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
            endpoint = candidate.endpoint
            outcome = await self._attempt(candidate)
            self._progress.last_outcome = outcome.value
            if outcome is AttemptOutcome.ANSWERED:
                return outcome
            if outcome is AttemptOutcome.BROKEN:
                await self._wait_before_repeating(endpoint)
            if self._decide(outcome, endpoint) is not Decision.TRY_ANOTHER:
                return outcome
        return outcome

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

    def _decide(self, outcome: AttemptOutcome, endpoint: Endpoint) -> Decision:
        view = self._view
        now_s = self._now()
        budget = view.retries(self._admitted.service.name)
        decision = decide_next(
            outcome,
            repeatable=self._admitted.route.repeatable
            and not view.quarantines.is_suspect(self._admitted.parts),
            possibly_run=self._progress.possibly_run,
            runs_left=self._progress.runs < self._admitted.route.max_endpoints,
            retry_budget_left=budget.may_spend(now_s, view.sharing_nodes),
            time_left=self._time_left() > MIN_ATTEMPT_TIME_S
            and self._can_end_before_stop(),
        )
        self._components.metrics.count("attempts_failed", outcome.value)
        self._components.log.request(
            "attempt.failed",
            self._request.request_id,
            endpoint=endpoint.endpoint_id,
            outcome=outcome.value,
            status=self._progress.last_status,
            connection=self._progress.last_connection,
            decision=decision.value,
            possibly_run=self._progress.possibly_run,
            repeats=budget.repeats,
            allowed_repeats=round(budget.allowed(now_s, view.sharing_nodes), 2),
            left_s=round(self._time_left(), 3),
        )
        return decision

    async def _attempt(self, candidate: Candidate) -> AttemptOutcome:
        view = self._view
        progress = self._progress
        request = self._request
        endpoint = candidate.endpoint
        events_before = progress.events
        self._components.log.request(
            "attempt.sent",
            request.request_id,
            endpoint=endpoint.endpoint_id,
            requests=candidate.load.requests,
            prefill_tokens=candidate.load.prefill_tokens,
            cached_tokens=candidate.cached_tokens,
            slowdown=round(candidate.slowdown, 3),
            after=progress.last_outcome,
            draws_retry=progress.arrivals > 0,
            left_s=round(self._time_left(), 3),
        )
        progress.tried.add(endpoint.endpoint_id)
        progress.last_status = None
        progress.last_connection = None
        now_s = self._now()
        view.ejector.on_dispatch(endpoint.endpoint_id, now_s)
        view.draw_endpoint(endpoint.endpoint_id)
        prefill_tokens = self._prefill_tokens(candidate, now_s)
        work = view.work.start(endpoint.endpoint_id, prefill_tokens)
        view.record_sent(self._admitted.service.name, prefill_tokens)
        progress.output_s = None
        progress.served = False
        if progress.arrivals:
            view.retries(self._admitted.service.name).spend(now_s)
        sample = view.moves.begin_attempt(
            endpoint, self._admitted.route.name, now_s
        )
        progress.sample = sample
        if not self._admitted.is_stream:
            # A plain service starts to run a request on arrival, an engine with
            # its first token.
            self._count_run()
        try:
            outcome = await self._send(endpoint, work)
        except NotSentError:
            self._undo_count_run()
            view.ejector.on_unreachable(endpoint.endpoint_id, self._now())
            return AttemptOutcome.NOT_SENT
        except BrokenResponseError as error:
            view.ejector.on_failure(endpoint.endpoint_id, self._now())
            self._components.log.request(
                "attempt.broken",
                request.request_id,
                endpoint=endpoint.endpoint_id,
                reason=str(error),
                received_events=progress.events - events_before,
                parts=self._admitted.parts.all,
            )
            outcome = AttemptOutcome.BROKEN
            self._check_for_crash(endpoint, sample)
        except BaseException:
            # The deadline passed or the caller disconnected after the request
            # was sent.
            progress.possibly_run = True
            if self._time_left() <= 0:
                sample.finish(self._now(), failed=True)
            raise
        finally:
            view.work.finish(work)
            view.moves.end_attempt(endpoint, sample, self._now())
            progress.sample = None
        progress.arrivals += 1
        if outcome is AttemptOutcome.REJECTED:
            self._undo_count_run()
        else:
            progress.possibly_run = True
            progress.runs += 1
        status = progress.last_status or 0
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED):
            sample.finish(
                self._now(),
                failed=outcome is not AttemptOutcome.ANSWERED,
                rejected=CLIENT_ERROR <= status < SERVER_ERROR,
            )
        is_served = outcome is AttemptOutcome.ANSWERED and status < CLIENT_ERROR
        if is_served and progress.output_s is not None:
            self._components.quarantine.on_served(
                self._admitted.parts, progress.output_s
            )
        return outcome

    def _check_for_crash(
        self, endpoint: Endpoint, sample: AttemptSample
    ) -> None:
        ended_s = self._now()
        self._components.crash_monitor.on_broken(
            endpoint,
            () if self._was_served() else self._admitted.parts.all,
            lambda: sample.finish(ended_s, failed=True),
            has_head=self._progress.last_status is not None,
        )

    def _was_served(self) -> bool:
        """Returns whether the endpoint of the attempt ran the request.

        The response of a plain service begins when the request has run.
        """
        progress = self._progress
        has_output = progress.output_s is not None
        return progress.served or (has_output and not self._admitted.is_stream)

    def _prefill_tokens(self, candidate: Candidate, now_s: float) -> int:
        prompt = self._request.prompt
        if prompt is None:
            return 0
        endpoint_id = candidate.endpoint.endpoint_id
        self._view.prefixes.record(endpoint_id, prompt, now_s)
        return prompt.input_tokens - candidate.cached_tokens

    def _count_run(self) -> None:
        organisation = self._admitted.organisation
        if organisation is None or self._progress.counted_s is not None:
            return
        self._progress.counted_s = self._view.clock.now()
        self._view.usage.add(organisation.name, self._progress.counted_s)

    def _undo_count_run(self) -> None:
        counted_s = self._progress.counted_s
        if counted_s is None or self._progress.possibly_run:
            return
        self._progress.counted_s = None
        self._view.usage.remove(self._admitted.organisation.name, counted_s)

    async def _send(self, endpoint: Endpoint, work: Work) -> AttemptOutcome:
        admitted = self._admitted
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
            return await self._response_forwarder.handle(
                endpoint, response, work
            )

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
            waits_s = limit_waits_s(self._view, self._admitted.service)
            if outcome is AttemptOutcome.NOT_SENT and waits_s:
                return make_limited_error(self._view, waits_s)
            return NoEndpointError(
                f"no endpoint of {self._admitted.service.name} took the"
                f" request ({outcome.value})",
                with_jitter(self._view, UNAVAILABLE_RETRY_S),
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
            elapsed_s=round(elapsed_s, 3),
            **timing,
        )
