"""Hedged attempts at requests of callers."""

from __future__ import annotations

import math
from collections.abc import Callable

from guavalane_core.hedging import (
    HedgeSituation,
    delay_quantile,
    find_suppression,
)
from guavalane_core.placement import Candidate
from guavalane_entry.gateway.admission import AdmittedRequest
from guavalane_entry.gateway.capacity import service_capacity, slots_of
from guavalane_entry.gateway.components import GatewayComponents
from guavalane_entry.gateway.progress import (
    MIN_ATTEMPT_TIME_S,
    AttemptState,
    Progress,
)


class RequestHedging:
    """Decides whether and when one request gets a hedged attempt.

    Args:
      components: Components of the node.
      request_id: Identifier of the request in the log.
      admitted: Result of the admission.
      progress: Progress of the request.
      deadline_s: Deadline of the request on the monotonic clock.
      expected_tokens: Number of output tokens that the request asks for.
      next_candidate: Returns the endpoint for another attempt, if any.
    """

    def __init__(
        self,
        components: GatewayComponents,
        request_id: str,
        admitted: AdmittedRequest,
        progress: Progress,
        deadline_s: float,
        expected_tokens: int,
        next_candidate: Callable[[], Candidate | None],
    ) -> None:
        self._components = components
        self._view = components.view
        self._request_id = request_id
        self._admitted = admitted
        self._progress = progress
        self._deadline_s = deadline_s
        self._expected_tokens = expected_tokens
        self._next_candidate = next_candidate
        self._budget = self._view.hedge_budget(admitted.service.name)

    def on_request(self) -> None:
        """Counts the request towards the limit of hedged attempts."""
        self._budget.on_request()

    def delay_s(
        self, uncached_tokens: int, *, has_started: bool
    ) -> float | None:
        """Returns the time after which an attempt is hedged.

        Args:
          uncached_tokens: Prompt tokens that its endpoint has to process.
          has_started: Whether the caller has received part of a response.

        Returns:
          Time in seconds; None if the attempt is not hedged.
        """
        route = self._admitted.route
        if (
            self._budget.max_extra <= 0
            or not route.repeatable
            or has_started
            or self._admitted.is_trial
            or self._progress.has_hedge
            or not self._has_run_left()
        ):
            return None
        delay_s = self._view.first_responses.delay_s(
            route.name,
            uncached_tokens,
            delay_quantile(self._budget.max_extra),
            self._view.timers.now(),
        )
        if delay_s is None or delay_s >= self._time_left():
            return None
        return delay_s

    def choose(self, first: AttemptState) -> Candidate | None:
        """Chooses the endpoint of a hedged attempt and counts the attempt.

        Args:
          first: First attempt, which is slow.

        Returns:
          Endpoint with its load; None if no hedged attempt is made. The reason
          is then counted and logged.
        """
        candidate = None
        if self._budget.may_spend():
            candidate = self._next_candidate()
        reason = find_suppression(self._situation(first, candidate))
        if reason is None:
            self._budget.spend()
            self._progress.has_hedge = True
            self._components.metrics.count("hedges", self._admitted.route.name)
            return candidate
        self._components.metrics.count("hedges_suppressed", reason.value)
        self._components.log.request(
            "hedge.suppressed",
            self._request_id,
            endpoint=first.endpoint.endpoint_id,
            reason=reason.value,
            waited_s=round(self._view.timers.now() - first.sent_s, 3),
        )
        return None

    def on_first_response(self, attempt: AttemptState) -> None:
        """Records that the response of an attempt has begun."""
        if not attempt.responding:
            attempt.responding = True
            self._record(attempt)

    def on_won(self, attempt: AttemptState) -> None:
        """Records that the response of an attempt is used."""
        if attempt.is_hedge:
            self._components.metrics.count(
                "hedges_won", self._admitted.route.name
            )

    def on_lost(self, attempt: AttemptState) -> None:
        """Records that an attempt was cancelled as the slower one."""
        if not attempt.responding:
            self._record(attempt)
        self._components.log.request(
            "attempt.lost",
            self._request_id,
            endpoint=attempt.endpoint.endpoint_id,
            hedge=attempt.is_hedge,
            waited_s=round(self._view.timers.now() - attempt.sent_s, 3),
        )

    def _record(self, attempt: AttemptState) -> None:
        if self._budget.max_extra > 0:
            self._view.first_responses.record(
                self._admitted.route.name,
                attempt.uncached_tokens,
                self._view.timers.now() - attempt.sent_s,
            )

    def _situation(
        self, first: AttemptState, candidate: Candidate | None
    ) -> HedgeSituation:
        view = self._view
        service = self._admitted.service
        retries = view.retries(service.name)
        return HedgeSituation(
            stopping=not math.isinf(view.stop_deadline.left_s),
            responding=first.responding,
            possible_crash=self._may_be_crash(),
            runs_left=self._has_run_left(),
            time_left=self._can_end_in_time(),
            hedge_limit_left=self._budget.may_spend(),
            retry_budget_left=retries.may_spend(
                view.timers.now(), view.sharing_nodes
            ),
            service_full=service_capacity(view, service).is_full,
            has_endpoint=candidate is not None
            and candidate.load.requests < slots_of(service, candidate.endpoint),
        )

    def _may_be_crash(self) -> bool:
        """Returns whether the request may crash the endpoints that run it."""
        quarantines = self._view.quarantines
        parts = self._admitted.parts
        return (
            quarantines.find(parts) is not None
            or quarantines.is_suspect(parts)
            or quarantines.has_open_crash(parts)
        )

    def _has_run_left(self) -> bool:
        # The first attempt, which still runs, is not among the runs yet.
        runs = self._progress.runs + 2
        return runs <= self._admitted.route.max_endpoints

    def _can_end_in_time(self) -> bool:
        estimate_s = self._view.durations.estimate_s(
            self._admitted.route.name, self._expected_tokens
        )
        return max(MIN_ATTEMPT_TIME_S, estimate_s or 0.0) < self._time_left()

    def _time_left(self) -> float:
        return self._deadline_s - self._view.timers.now()
