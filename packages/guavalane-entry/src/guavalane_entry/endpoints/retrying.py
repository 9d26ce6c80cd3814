"""Retries, retry budgets and hedged attempts."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from guavalane_core.exceptions import (
    AttemptError,
    DeadlineExceededError,
    EndpointFailedError,
    NoEndpointError,
    OutcomeUnknownError,
)
from guavalane_core.hedging import (
    HedgeBudget,
    HedgeSituation,
    Suppression,
    find_suppression,
)
from guavalane_core.limits import Backoff, RetryBudget
from guavalane_core.requests import RequestContext
from guavalane_core.timers import Timers
from guavalane_entry.hedged_race import Entrant, HedgedRace
from guavalane_entry.metrics import Metrics

MAX_ATTEMPTS = 4
# Limits a stream that breaks on every endpoint after a few tokens.
MAX_STREAM_ATTEMPTS = 32
# Failure count whose backoff spans the second in which the budget refills.
BUDGET_BACKOFF_FAILURES = 7
HEDGE_PERCENTILE = 95
# Answers of a route that are needed before its p95 is used for hedging.
HEDGE_MIN_ANSWERS = 20
HEDGE_REFRESH_S = 1.0

T = TypeVar("T")


class _Hedging:
    """Hedging delay and limit of a route."""

    def __init__(self) -> None:
        self.budget = HedgeBudget(0.0)
        self.answers = 0
        self.delay_s = 0.0
        self.refreshed_s = float("-inf")


class RetryRules:
    """Decides whether and when a failed attempt is retried.

    A retry is charged to the budget of its organisation and route, unless the
    failed attempt put no lasting load on an endpoint: nothing was sent, the
    endpoint is leaving (and so gets no new requests), or the attempt advanced a
    stream. The loss of an availability zone breaks a third of all streams at
    once, most of which a budget of 10 % would fail.

    Args:
      timers: Timer service.
      metrics: Metrics of the node.
      rng: Source of jitter.
    """

    def __init__(
        self,
        timers: Timers,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        self._timers = timers
        self._metrics = metrics
        self._backoff = Backoff(rng)
        self._budgets: dict[tuple[str, str], tuple[float, RetryBudget]] = {}
        self._hedging: dict[str, _Hedging] = {}

    def begin(self, request: RequestContext) -> None:
        """Credits a new request to its retry budget."""
        self._budget_of(request).on_request()
        self._hedging_of(request).budget.on_request()

    def check_deadline(self, request: RequestContext) -> None:
        """Checks the deadline of a request.

        Raises:
          DeadlineExceededError: The deadline has passed.
        """
        if request.remaining_s(self._timers.now()) <= 0:
            raise DeadlineExceededError(
                "the deadline has passed", not_run=not request.sent
            )

    async def before_retry(
        self,
        request: RequestContext,
        error: AttemptError,
        failed: list[str],
        *,
        progressed: bool = False,
        wait_for_budget: bool = False,
    ) -> None:
        """Charges the retry budget and waits for the backoff.

        Args:
          request: Request.
          error: Failure of the last attempt.
          failed: Endpoints that failed since the last progress, one entry per
              attempt.
          progressed: Whether the failed attempt advanced a stream.
          wait_for_budget: Whether the request waits for the budget to refill
              instead of failing. Requests of class `durable` always wait.

        Raises:
          RequestError: The request must not be retried.
        """
        if error.sent and request.route.request_class == "at_most_once":
            raise OutcomeUnknownError(
                f"the request was sent and not answered: {error}",
                not_run=False,
            )
        self.check_deadline(request)
        if (
            len(failed) >= MAX_ATTEMPTS
            or request.attempts >= MAX_STREAM_ATTEMPTS
        ):
            raise EndpointFailedError(
                f"{request.attempts} attempts failed, last: {error}",
                not_run=not request.sent,
            )
        exempt = progressed or error.leaving or not error.sent
        wait_for_budget = (
            wait_for_budget or request.route.request_class == "durable"
        )
        while not exempt and not self._try_spend(request):
            self._metrics.count("retries_over_budget", request.route_name)
            if not wait_for_budget:
                raise EndpointFailedError(
                    f"the retry budget is used up, last failure: {error}",
                    not_run=not request.sent,
                )
            await self._back_off(request, error, BUDGET_BACKOFF_FAILURES)
        await self._back_off(request, error, len(failed))
        self._metrics.count("retries", request.route_name)

    async def _back_off(
        self, request: RequestContext, error: AttemptError, failures: int
    ) -> None:
        delay = self._backoff.delay_s(failures)
        if delay >= request.remaining_s(self._timers.now()):
            raise DeadlineExceededError(
                f"no time is left for a retry, last failure: {error}",
                not_run=not request.sent,
            )
        await self._timers.sleep(delay)

    async def run_hedged(
        self, request: RequestContext, attempt: Callable[[], Awaitable[T]]
    ) -> T:
        """Runs an attempt and hedges it with a second one if it is slow.

        Only calls of class `idempotent` are hedged, after the p95 latency of
        their route. The hedge is charged to the retry budget, and to the
        route's limit of hedged attempts.

        Args:
          request: Request.
          attempt: Starts an attempt at an endpoint that was not used yet.

        Raises:
          AttemptError: All attempts failed.
          NoEndpointError: No endpoint is available for the first attempt.
        """
        started_s = self._timers.now()
        delay_s = self._hedge_delay_s(request)
        if delay_s <= 0:
            result = await attempt()
        else:
            result = await self._race(request, attempt, delay_s)
        self._record_answer_time(request, self._timers.now() - started_s)
        return result

    async def _race(
        self,
        request: RequestContext,
        attempt: Callable[[], Awaitable[T]],
        delay_s: float,
    ) -> T:
        async def run(entrant: Entrant) -> T:
            result = await attempt()
            await entrant.claim()
            if entrant.is_hedge:
                self._metrics.count("hedges_won", request.route_name)
            return result

        race = HedgedRace(
            self._timers,
            delay_s,
            lambda: run if self._try_hedge(request) else None,
        )
        ended = await race.run(run)
        failures = [task.exception() for task in ended]
        if None in failures:
            return ended[failures.index(None)].result()
        # An endpoint's failure takes precedence over a hedge that found no
        # endpoint.
        for error in failures:
            if not isinstance(error, NoEndpointError):
                raise error
        raise failures[0]

    def _try_hedge(self, request: RequestContext) -> bool:
        """Charges a hedged attempt; returns whether it may be made."""
        state = self._hedging_of(request)
        # The retry budget is charged only if nothing else forbids the attempt.
        reason = find_suppression(
            HedgeSituation(hedge_limit_left=state.budget.may_spend())
        )
        if reason is None and not self._try_spend(request):
            reason = Suppression.RETRY_BUDGET
        if reason is not None:
            self._metrics.count("hedges_suppressed", reason.value)
            return False
        state.budget.spend()
        self._metrics.count("hedges", request.route_name)
        return True

    def _hedge_delay_s(self, request: RequestContext) -> float:
        if request.route.request_class != "idempotent":
            return 0.0
        state = self._hedging_of(request)
        if state.answers < HEDGE_MIN_ANSWERS:
            return 0.0
        now = self._timers.now()
        if now - state.refreshed_s >= HEDGE_REFRESH_S:
            state.refreshed_s = now
            state.delay_s = self._metrics.percentile(
                "answer", request.route_name, HEDGE_PERCENTILE
            )
        return state.delay_s

    def _hedging_of(self, request: RequestContext) -> _Hedging:
        state = self._hedging.setdefault(request.route_name, _Hedging())
        state.budget.set_limit(request.route.hedge_percent / 100)
        return state

    def _record_answer_time(
        self, request: RequestContext, seconds: float
    ) -> None:
        state = self._hedging_of(request)
        state.answers += 1
        self._metrics.record("answer", request.route_name, seconds)

    def _try_spend(self, request: RequestContext) -> bool:
        return self._budget_of(request).try_spend(self._timers.now())

    def _budget_of(self, request: RequestContext) -> RetryBudget:
        key = (request.organisation, request.route_name)
        percent = request.route.retry_percent
        found = self._budgets.get(key)
        if found is None or found[0] != percent:
            budget = RetryBudget(percent, self._timers.now())
            found = self._budgets[key] = (percent, budget)
        return found[1]
