"""Retries, retry budgets and hedged attempts."""

from __future__ import annotations

import asyncio
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
from guavalane_core.limits import Backoff, RetryBudget
from guavalane_core.requests import RequestContext
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
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
    """Hedging delay of a route."""

    def __init__(self) -> None:
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
        their route. The hedge is charged to the retry budget.

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
        running = {asyncio.ensure_future(attempt())}
        timer = asyncio.ensure_future(self._timers.sleep(delay_s))
        failure: Exception | None = None
        try:
            await asyncio.wait(
                {*running, timer}, return_when=asyncio.FIRST_COMPLETED
            )
            if timer.done() and self._try_spend(request):
                self._metrics.count("hedges", request.route_name)
                running.add(asyncio.ensure_future(attempt()))
            while running:
                done, running = await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    error = task.exception()
                    if error is None:
                        return task.result()
                    # An endpoint's failure takes precedence over a hedge that
                    # found no endpoint.
                    if failure is None or isinstance(failure, NoEndpointError):
                        failure = error
            raise failure
        finally:
            await cancel_tasks(timer, *running)

    def _hedge_delay_s(self, request: RequestContext) -> float:
        if request.route.request_class != "idempotent":
            return 0.0
        state = self._hedging.get(request.route_name)
        if state is None or state.answers < HEDGE_MIN_ANSWERS:
            return 0.0
        now = self._timers.now()
        if now - state.refreshed_s >= HEDGE_REFRESH_S:
            state.refreshed_s = now
            state.delay_s = self._metrics.percentile(
                "answer", request.route_name, HEDGE_PERCENTILE
            )
        return state.delay_s

    def _record_answer_time(
        self, request: RequestContext, seconds: float
    ) -> None:
        state = self._hedging.setdefault(request.route_name, _Hedging())
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
