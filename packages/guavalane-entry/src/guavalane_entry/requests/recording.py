"""Endpoint client that records latencies and outcomes of attempts."""

from __future__ import annotations

from typing import Any, Protocol

from guavalane_core.exceptions import AttemptError, InvalidRequestError
from guavalane_core.requests import RequestContext
from guavalane_core.routing import EndpointView
from guavalane_core.timers import Timers
from guavalane_entry.caller_bounds import CallerBounds
from guavalane_entry.callers.admission import EndpointLimits
from guavalane_entry.endpoints.client import (
    DONE_EVENT,
    EndpointClient,
    EventReader,
    ServiceAnswer,
)
from guavalane_entry.endpoints.pool import EndpointPool

STATUS_OK = 200
STATUS_REJECTED = 400


class OutcomeRecorder(Protocol):
    """Receives latencies and outcomes of attempts."""

    def record_latency(
        self, view: EndpointView, route: str, seconds: float
    ) -> None:
        """Records the time to the first token or to the answer."""

    def record_outcome(
        self, view: EndpointView, route: str, status: int
    ) -> None:
        """Records the status of an attempt; 0 means that it failed."""

    def record_gap(
        self, view: EndpointView, route: str, seconds: float
    ) -> None:
        """Records the mean interval between the events of a stream."""


def counts_as_failure(error: AttemptError) -> bool:
    """Returns whether a failed attempt is evidence against a version.

    An unreachable or leaving endpoint says nothing about its version, because
    its VM may have been reclaimed.
    """
    return error.sent and not error.leaving


class _RecordingReader:
    """Wraps a reader and records the latencies of its stream.

    The mean interval between events is computed from their number and the time
    of the last one, which avoids a clock read per token.
    """

    def __init__(
        self,
        reader: EventReader,
        view: EndpointView,
        route: str,
        timers: Timers,
        outcomes: OutcomeRecorder,
    ) -> None:
        self._reader = reader
        self._view = view
        self._route = route
        self._timers = timers
        self._outcomes = outcomes
        # Time at which waiting for the endpoint started.
        self._since_s = timers.now()
        self._later_events: int | None = None

    @property
    def full(self) -> bool:
        """Whether the buffer of the reader is full."""
        return self._reader.full

    async def wait_for_space(self) -> None:
        """Waits until the reader accepts further events."""
        # Time spent waiting for a slow caller is not the endpoint's latency.
        wait_started_s = self._timers.now()
        await self._reader.wait_for_space()
        self._since_s += self._timers.now() - wait_started_s

    def take(self, events: list[bytes]) -> bool:
        """Forwards events and records the times of the first and the last."""
        if self._later_events is None:
            self._later_events = 0
            now = self._timers.now()
            self._outcomes.record_latency(
                self._view, self._route, now - self._since_s
            )
            self._since_s = now
        else:
            self._later_events += len(events)
        for event in events:
            if event.startswith(DONE_EVENT):
                self._record_end()
        return self._reader.take(events)

    def _record_end(self) -> None:
        self._outcomes.record_outcome(self._view, self._route, STATUS_OK)
        if self._later_events:
            waited_s = self._timers.now() - self._since_s
            gap_s = waited_s / self._later_events
            self._outcomes.record_gap(self._view, self._route, gap_s)


class RecordingClient(EndpointClient):
    """Calls endpoints and records the outcome of every attempt.

    An attempt that is cancelled because its caller disconnected has no known
    outcome and is not recorded.

    Args:
      pool: Views of endpoints.
      limits: Concurrency limits.
      timers: Timer service.
      outcomes: Receives latencies and outcomes.
    """

    def __init__(
        self,
        pool: EndpointPool,
        limits: EndpointLimits,
        timers: Timers,
        outcomes: OutcomeRecorder,
        bounds: CallerBounds | None = None,
    ) -> None:
        super().__init__(pool, limits, timers, bounds)
        self._outcomes = outcomes

    async def stream(
        self,
        view: EndpointView,
        request: RequestContext,
        body: dict[str, Any],
        reader: EventReader,
    ) -> None:
        """Streams SSE events to a reader; see `EndpointClient.stream`.

        Raises:
          AttemptError: The attempt failed.
          InvalidRequestError: The endpoint rejected the request as invalid.
        """
        route = request.route_name
        recorded = _RecordingReader(
            reader, view, route, self._timers, self._outcomes
        )
        try:
            await super().stream(view, request, body, recorded)
        except InvalidRequestError:
            self._outcomes.record_outcome(view, route, STATUS_REJECTED)
            raise

    def on_stream_failure(
        self, view: EndpointView, request: RequestContext, error: AttemptError
    ) -> None:
        """Records a failed attempt at a stream.

        A stream that was truncated but had its final event has already been
        recorded as a success; it counts once as each.
        """
        if counts_as_failure(error):
            self._outcomes.record_outcome(view, request.route_name, 0)

    async def call(
        self, view: EndpointView, request: RequestContext
    ) -> ServiceAnswer:
        """Returns the answer of a plain service; see `EndpointClient.call`.

        Raises:
          AttemptError: The attempt failed.
        """
        route = request.route_name
        started_s = self._timers.now()
        try:
            answer = await super().call(view, request)
        except AttemptError as error:
            if counts_as_failure(error):
                self._outcomes.record_outcome(view, route, 0)
            raise
        elapsed_s = self._timers.now() - started_s
        self._outcomes.record_latency(view, route, elapsed_s)
        self._outcomes.record_outcome(view, route, answer.status)
        return answer
