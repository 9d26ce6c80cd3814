"""Forwarding of endpoint responses to callers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from guavalane_core.forwarding import (
    AttemptOutcome,
    CallerRequest,
    Endpoint,
    EventSplitter,
)
from guavalane_core.forwarding.events import EventTooLongError, StreamEvent
from guavalane_core.forwarding.stalls import PATIENCE_FRACTION
from guavalane_core.placement import ServerLoad, has_room
from guavalane_entry.gateway.admission import AdmittedRequest
from guavalane_entry.gateway.components import GatewayComponents
from guavalane_entry.gateway.end_check import EndCheck
from guavalane_entry.gateway.endpoint_client import (
    BrokenResponseError,
    EndpointResponse,
)
from guavalane_entry.gateway.hedging import RequestHedging
from guavalane_entry.gateway.progress import AttemptState, Progress
from guavalane_entry.gateway.reply import Reply

# A prompt that crashes endpoints does so when its output begins. One that has
# had output for this long, in seconds, is not the cause of a later crash.
SERVED_PERIOD_S = 0.5
# Interval between checks of a stalled stream that no other endpoint could end,
# in seconds.
RECHECK_PERIOD_S = 0.5
# Comments that are held back while another attempt may still win, in bytes.
# They are forwarded with the first event, which decides.
MAX_HELD_COMMENT_BYTES = 4096
# Time left of a request below which it may have expired in a queue, in seconds.
MIN_TIME_LEFT_S = 0.1
MISDIRECTED_REQUEST = 421
REFUSAL_STATUSES = (408, 421, 429, 503)
SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503


class ResponseForwarder:
    """Handles the responses to the attempts of a request.

    Args:
      components: Components of the node.
      request: Request.
      admitted: Result of the admission.
      reply: Response to the caller.
      progress: Progress of the request, which is updated.
      deadline_s: Deadline of the request on the monotonic clock.
      on_first_event: Called when an engine sends the first event.
      can_continue: Returns whether another endpoint could end a stalled stream
          in time.
      hedging: Hedged attempts at the request.
    """

    def __init__(
        self,
        components: GatewayComponents,
        request: CallerRequest,
        admitted: AdmittedRequest,
        reply: Reply,
        progress: Progress,
        deadline_s: float,
        on_first_event: Callable[[], None],
        can_continue: Callable[[], bool],
        hedging: RequestHedging,
    ) -> None:
        self._components = components
        self._request = request
        self._admitted = admitted
        self._reply = reply
        self._progress = progress
        self._deadline_s = deadline_s
        self._on_first_event = on_first_event
        self._can_continue = can_continue
        self._hedging = hedging
        self._gaps = components.view.event_gaps
        self._end_check = EndCheck(components, request, deadline_s)

    async def handle(
        self, attempt: AttemptState, response: EndpointResponse
    ) -> AttemptOutcome:
        """Forwards a response, or returns why it cannot be forwarded.

        Nothing of it reaches the caller while another attempt may still win.

        Raises:
          BrokenResponseError: The response is incomplete or does not
              belong to this request.
        """
        names = self._components.codec.names
        endpoint = attempt.endpoint
        attempt.status = response.status
        attempt.connection = response.connection
        attempt.end = response.end
        if attempt.has_won:
            self._progress.last_status = response.status
        if response.skipped_copies:
            self._components.log.request(
                "attempt.copies_skipped",
                self._request.request_id,
                endpoint=endpoint.endpoint_id,
                copies=response.skipped_copies,
            )
        named = response.header(names.request_id)
        if named is not None and named != self._request.request_id:
            raise BrokenResponseError("the response has another request ID")
        if named is not None:
            self._components.endpoint_limits.on_response(
                endpoint,
                response.header(names.rate_limit),
                has_run=response.header(names.proof) is not None,
            )
            self._read_load(endpoint, response.header(names.load))
        is_attributable = named is not None or response.is_attributable
        if is_attributable and (
            response.header(names.not_run) is not None
            or response.status == MISDIRECTED_REQUEST
        ):
            if response.status == MISDIRECTED_REQUEST:
                self._components.view.ejector.on_unreachable(
                    endpoint.endpoint_id, self._now()
                )
            attempt.had_room = self._had_room(endpoint, response)
            await response.read_whole()
            return AttemptOutcome.REJECTED
        if named is None:
            raise BrokenResponseError("the response has no request ID")
        if response.header(names.proof) is None:
            raise BrokenResponseError("the response has no proof")
        if (
            response.status >= SERVER_ERROR
            or response.status in REFUSAL_STATUSES
        ):
            return await self._handle_failure(attempt, response)
        is_success = 200 <= response.status < 300
        if self._reply.started and not is_success:
            # The caller has read the head and events of another response.
            await response.read_whole()
            return AttemptOutcome.FAILED
        if self._admitted.is_stream and is_success:
            await self._forward_events(attempt, response)
        else:
            await self._forward_body(attempt, response, is_success)
        self._progress.response_end = response.end
        self._components.metrics.count("response_ends", response.end.value)
        self._components.view.ejector.on_success(endpoint.endpoint_id)
        return AttemptOutcome.ANSWERED

    def _now(self) -> float:
        return self._components.view.timers.now()

    def _read_load(self, endpoint: Endpoint, text: str | None) -> None:
        """Records the load and speed in a response, if it has valid ones."""
        if text is None:
            return
        load = ServerLoad.parse(text)
        outcome = "ignored" if load is None else "read"
        self._components.metrics.count("endpoint_loads", outcome)
        if load is not None:
            view = self._components.view
            own = view.work.own_requests(endpoint.endpoint_id)
            view.server_loads.observe(
                endpoint.endpoint_id, load, own, self._now()
            )

    def _had_room(self, endpoint: Endpoint, response: EndpointResponse) -> bool:
        """Returns whether an endpoint rejected a request despite having room.

        That is not known while the endpoint leaves or is cold with a limited
        rate, or if the request may have expired in its queue.
        """
        view = self._components.view
        service = self._admitted.service
        known = view.directory.get(endpoint.endpoint_id)
        if (
            response.status != SERVICE_UNAVAILABLE
            or known is None
            or known.leaving
            or self._deadline_s - self._now() < MIN_TIME_LEFT_S
            or (service.cold_rate_per_s and view.cold_left_s(service, known))
        ):
            return False
        stated = ServerLoad.parse(
            response.header(self._components.codec.names.load)
        )
        others = view.work.total(endpoint.endpoint_id, self._now()).requests - 1
        prompt = self._request.prompt
        return has_room(
            stated or ServerLoad(max(0, others), 0, endpoint.slots),
            service.engine,
            0 if prompt is None else prompt.max_tokens,
            is_estimate=stated is None,
        )

    async def _handle_failure(
        self, attempt: AttemptState, response: EndpointResponse
    ) -> AttemptOutcome:
        body = await response.read_whole()
        await self._end_check.check(attempt, response)
        self._components.view.ejector.on_failure(
            attempt.endpoint.endpoint_id, self._now()
        )
        # Refusal statuses promise that the request has not run. This endpoint
        # did not confirm that, so they are not forwarded.
        if response.status not in REFUSAL_STATUSES:
            headers = self._components.codec.response_headers(response.headers)
            self._progress.last_failure = (response.status, headers, body)
        return AttemptOutcome.FAILED

    async def _claim(self, attempt: AttemptState) -> None:
        """Makes a response the one that is forwarded.

        Raises:
          CancelledError: Another attempt has won.
        """
        if attempt.has_won:
            return
        await attempt.entrant.claim()
        self._progress.last_status = attempt.status
        self._hedging.on_won(attempt)

    async def _forward_body(
        self,
        attempt: AttemptState,
        response: EndpointResponse,
        is_success: bool,
    ) -> None:
        attempt.output_s = self._now()
        if is_success:
            self._hedging.on_first_response(attempt)
        body = await response.read_whole()
        await self._end_check.check(attempt, response)
        await self._claim(attempt)
        headers = self._components.codec.response_headers(response.headers)
        if response.framed:
            await self._reply.send_response(response.status, headers, body)
            return
        await self._reply.start(response.status, headers, framed=False)
        await self._reply.write(body)
        await self._reply.finish()

    async def _forward_events(
        self, attempt: AttemptState, response: EndpointResponse
    ) -> None:
        endpoint = attempt.endpoint
        splitter = EventSplitter()
        held: list[StreamEvent] = []
        read_s = waiting_since_s = self._now()
        while True:
            try:
                data = await self._read_chunk(
                    endpoint, response, waiting_since_s
                )
            except BrokenResponseError:
                self._note_begun_event(splitter)
                raise
            if data is None:
                break
            try:
                events = splitter.feed(data)
            except EventTooLongError as error:
                raise BrokenResponseError(str(error)) from error
            if not events:
                continue
            count = sum(not event.is_comment for event in events)
            events = held + events
            if not count and self._may_hold(attempt, events):
                held = events
                continue
            held = []
            await self._claim(attempt)
            if count:
                self._progress.has_begun_event = False
                now_s = self._now()
                self._record_event_times(now_s, now_s - read_s)
                waited_s = now_s - waiting_since_s
                self._record_events(attempt, count, waited_s)
                read_s = now_s
            await self._start_stream(response)
            for event in events:
                if event.event_id is not None:
                    self._progress.last_event_id = event.event_id
            await self._reply.write(b"".join(event.data for event in events))
            if count:
                # A caller that reads slowly does not make the stream stall.
                waiting_since_s = self._now()
        if splitter.partial:
            self._note_begun_event(splitter)
            raise BrokenResponseError("the stream ends within an event")
        if self._progress.has_begun_event:
            raise BrokenResponseError(
                "the stream ends before an event that an earlier attempt began"
            )
        await self._end_check.check(attempt, response)
        await self._claim(attempt)
        await self._start_stream(response)
        if held:
            await self._reply.write(b"".join(event.data for event in held))
        await self._reply.finish()
        if attempt.output_s is not None:
            rates = self._components.view.rates(self._admitted.service.name)
            rates.on_run(self._now() - attempt.output_s)

    def _note_begun_event(self, splitter: EventSplitter) -> None:
        """Records that a stream was broken off within an event."""
        begun = splitter.partial.lstrip(b"\r\n")
        if begun and not begun.startswith(b":"):
            self._progress.has_begun_event = True

    def _may_hold(
        self, attempt: AttemptState, comments: Sequence[StreamEvent]
    ) -> bool:
        """Returns whether comments wait until an attempt has won."""
        size = sum(len(comment.data) for comment in comments)
        return not attempt.has_won and size <= MAX_HELD_COMMENT_BYTES

    def _record_events(
        self, attempt: AttemptState, count: int, waited_s: float
    ) -> None:
        """Records events that have arrived together.

        Args:
          attempt: Attempt.
          count: Number of events.
          waited_s: Time for which they were waited for, in seconds.
        """
        now_s = self._now()
        if attempt.output_s is None:
            attempt.output_s = now_s
            attempt.work.prefill_tokens = 0
            self._hedging.on_first_response(attempt)
            self._on_first_event()
        else:
            endpoint_id = attempt.endpoint.endpoint_id
            self._gaps.record(endpoint_id, waited_s, now_s)
        self._progress.events += count
        if attempt.sample is not None:
            attempt.sample.on_events(count, now_s)
        is_served = now_s - attempt.output_s >= SERVED_PERIOD_S
        if is_served and not attempt.served:
            attempt.served = True
            self._components.quarantine.on_served(
                self._admitted.parts, attempt.output_s
            )

    def _record_event_times(self, now_s: float, gap_s: float) -> None:
        progress = self._progress
        if progress.first_event_s is None:
            progress.first_event_s = now_s - self._request.arrived_s
            self._components.metrics.record(
                "first_event", self._admitted.route.name, progress.first_event_s
            )
        else:
            progress.longest_gap_s = max(progress.longest_gap_s, gap_s)

    async def _read_chunk(
        self,
        endpoint: Endpoint,
        response: EndpointResponse,
        waiting_since_s: float,
    ) -> bytes | None:
        """Reads from a stream until it stalls.

        Bytes that complete no event do not extend the wait. A stalled stream is
        read on if no other endpoint could end it in time. An endpoint that can
        be reached may only have preempted it, and may go on with its work when
        the stream is closed: it gets as much time as the callers' patience
        leaves.

        Raises:
          BrokenResponseError: The stream stalled or is incomplete.
        """
        while self._may_stall():
            limit_s = self._gaps.silence_limit_s(
                endpoint.endpoint_id,
                self._admitted.route.max_gap_s,
                self._now(),
            )
            left_s = waiting_since_s + limit_s - self._now()
            if left_s <= 0 and not self._can_continue():
                left_s = RECHECK_PERIOD_S
            elif left_s <= 0:
                left_s = await self._extend(endpoint, waiting_since_s)
            try:
                async with asyncio.timeout(max(0.0, left_s)):
                    return await response.read_chunk()
            except TimeoutError:
                if self._now() >= self._deadline_s:
                    raise
            if left_s <= 0:
                raise BrokenResponseError("the stream stalled")
        return await response.read_chunk()

    async def _extend(
        self, endpoint: Endpoint, waiting_since_s: float
    ) -> float:
        """Returns for how much longer a silent endpoint is waited for."""
        patience_s = PATIENCE_FRACTION * self._admitted.route.patience_s
        if waiting_since_s + patience_s <= self._now():
            return 0.0
        is_reachable = await self._components.endpoint_client.is_reachable(
            endpoint
        )
        left_s = waiting_since_s + patience_s - self._now()
        left_s = max(0.0, left_s) if is_reachable else 0.0
        self._components.log.request(
            "attempt.silent",
            self._request.request_id,
            endpoint=endpoint.endpoint_id,
            reachable=is_reachable,
            waits_s=round(left_s, 3),
        )
        return left_s

    def _may_stall(self) -> bool:
        """Returns whether another endpoint may continue the stream."""
        return self._admitted.route.resumable and self._reply.started

    async def _start_stream(self, response: EndpointResponse) -> None:
        if not self._reply.started:
            headers = self._components.codec.response_headers(response.headers)
            await self._reply.start(
                response.status, headers, framed=response.framed
            )
