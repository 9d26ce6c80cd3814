"""Passing of an endpoint's answer to the caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from guavalane_core.forwarding import (
    AttemptOutcome,
    CallerRequest,
    Endpoint,
    EventSplitter,
)
from guavalane_core.forwarding.events import EventTooLongError
from guavalane_core.placement import Work
from guavalane_entry.gateway.admission import Admitted
from guavalane_entry.gateway.components import GatewayComponents
from guavalane_entry.gateway.endpoint_client import (
    BrokenResponseError,
    EndpointResponse,
)
from guavalane_entry.gateway.progress import Progress
from guavalane_entry.gateway.reply import Reply

# A silent stream that another endpoint may continue is given up after this
# many of its route's longest pauses, and no sooner than after the least time.
SILENT_PAUSES = 3
MIN_SILENCE_S = 1.0
MISDIRECTED = 421
REFUSAL_STATUSES = (408, 421, 429, 503)
SERVER_ERROR = 500


class ResponseForwarder:
    """Takes the answers of a request's attempts.

    Args:
      parts: Parts of the node.
      request: Request.
      admitted: What the request is allowed.
      reply: Answer to the caller.
      progress: What has happened so far; it is changed.
      deadline_s: End of the request's time on the monotonic clock.
      on_begun: Called when an engine has sent the first event.
    """

    def __init__(
        self,
        components: GatewayComponents,
        request: CallerRequest,
        admitted: Admitted,
        reply: Reply,
        progress: Progress,
        deadline_s: float,
        on_begun: Callable[[], None],
    ) -> None:
        self._components = components
        self._request = request
        self._admitted = admitted
        self._reply = reply
        self._progress = progress
        self._deadline_s = deadline_s
        self._on_begun = on_begun

    async def take(
        self, endpoint: Endpoint, answer: EndpointResponse, work: Work
    ) -> AttemptOutcome:
        """Passes an answer on, or tells why it is not one for the caller.

        Raises:
          BrokenAnswerError: The answer is incomplete or not to this request.
        """
        names = self._components.codec.names
        self._progress.last_status = answer.status
        named = answer.header(names.request_id)
        if named is not None and named != self._request.request_id:
            raise BrokenResponseError("the answer names another request")
        if answer.header(names.not_run) is not None or (
            answer.status == MISDIRECTED
        ):
            if answer.status == MISDIRECTED:
                self._components.view.ejector.on_unreachable(
                    endpoint.endpoint_id, self._now()
                )
            await answer.read_whole()
            return AttemptOutcome.REJECTED
        if named is None:
            raise BrokenResponseError("the answer names no request")
        if answer.header(names.proof) is None:
            raise BrokenResponseError("the answer has no proof")
        if answer.status >= SERVER_ERROR or answer.status in REFUSAL_STATUSES:
            return await self._take_failure(endpoint, answer)
        if self._admitted.is_stream:
            await self._pass_events(answer, work)
        else:
            await self._pass_whole(answer)
        self._components.view.ejector.on_success(endpoint.endpoint_id)
        return AttemptOutcome.ANSWERED

    def _now(self) -> float:
        return self._components.view.timers.now()

    async def _take_failure(
        self, endpoint: Endpoint, answer: EndpointResponse
    ) -> AttemptOutcome:
        body = await answer.read_whole()
        self._components.view.ejector.on_failure(
            endpoint.endpoint_id, self._now()
        )
        # These statuses promise that the request has not run, which this
        # endpoint did not say.
        if answer.status not in REFUSAL_STATUSES:
            headers = self._components.codec.answer_headers(answer.headers)
            self._progress.last_failure = (answer.status, headers, body)
        return AttemptOutcome.FAILED

    async def _pass_whole(self, answer: EndpointResponse) -> None:
        body = await answer.read_whole()
        headers = self._components.codec.answer_headers(answer.headers)
        if answer.framed:
            await self._reply.send_whole(answer.status, headers, body)
            return
        await self._reply.begin(answer.status, headers, framed=False)
        await self._reply.write(body)
        await self._reply.finish()

    async def _pass_events(self, answer: EndpointResponse, work: Work) -> None:
        splitter = EventSplitter()
        chunks = answer.chunks()
        first_s = None
        read_s = self._now()
        while True:
            try:
                async with asyncio.timeout(self._silence_limit()):
                    data = await anext(chunks, None)
            except TimeoutError:
                if self._now() >= self._deadline_s:
                    raise
                raise BrokenResponseError("the stream is silent") from None
            if data is None:
                break
            try:
                events = splitter.feed(data)
            except EventTooLongError as error:
                raise BrokenResponseError(str(error)) from error
            if not events:
                continue
            now_s = self._now()
            if first_s is None:
                first_s = now_s
                work.prefill_tokens = 0
                self._on_begun()
            self._note_events(now_s, now_s - read_s)
            read_s = now_s
            await self._begin_stream(answer)
            for event in events:
                if event.event_id is not None:
                    self._progress.last_event_id = event.event_id
            await self._reply.write(b"".join(event.data for event in events))
        if splitter.partial:
            raise BrokenResponseError("the stream ends within an event")
        await self._begin_stream(answer)
        await self._reply.finish()
        if first_s is not None:
            rates = self._components.view.rates(self._admitted.service.name)
            rates.on_run(self._now() - first_s)

    def _note_events(self, now_s: float, gap_s: float) -> None:
        progress = self._progress
        if progress.first_event_s is None:
            progress.first_event_s = now_s - self._request.arrived_s
            self._components.metrics.record(
                "first_event", self._admitted.route.name, progress.first_event_s
            )
        else:
            progress.longest_gap_s = max(progress.longest_gap_s, gap_s)

    def _silence_limit(self) -> float | None:
        route = self._admitted.route
        if not route.resumable or not self._reply.begun:
            return None
        return max(MIN_SILENCE_S, SILENT_PAUSES * route.max_gap_s)

    async def _begin_stream(self, answer: EndpointResponse) -> None:
        if not self._reply.begun:
            headers = self._components.codec.answer_headers(answer.headers)
            await self._reply.begin(
                answer.status, headers, framed=answer.framed
            )
