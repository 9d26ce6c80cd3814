"""Admission control between acceptance and dispatch of requests."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Collection, Iterable

from loguru import logger as log

from guavalane_core.configuration import Configuration
from guavalane_core.exceptions import (
    DeadlineUnreachableError,
    NoEndpointError,
    OverloadedError,
)
from guavalane_core.limits import (
    ConcurrencyLimit,
    FairQueue,
    ShedDecision,
    Shedder,
    Ticket,
)
from guavalane_core.requests import RequestContext
from guavalane_core.routing import EndpointView
from guavalane_core.settings import LimitSettings
from guavalane_core.timers import Subscription, Timers
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.endpoints.retrying import RetryRules
from guavalane_entry.metrics import Metrics

# Interval at which queued requests are reconsidered, in seconds. Endpoints
# return and concurrency limits grow without notifying this module.
RECHECK_INTERVAL_S = 0.1


class EndpointLimits:
    """Adaptive concurrency limits of the endpoints.

    Args:
      pool: Endpoints that this node uses.
      timers: Timer service.
    """

    def __init__(self, pool: EndpointPool, timers: Timers) -> None:
        self._pool = pool
        self._timers = timers
        self._limits: dict[str, ConcurrencyLimit] = {}

    def limit_of(self, name: str) -> int:
        """Returns the concurrency limit of an endpoint."""
        return self._state_of(name).limit

    def retain(self, names: Collection[str]) -> None:
        """Discards the limits of endpoints that are not among the names."""
        for name in self._limits.keys() - set(names):
            del self._limits[name]

    def choose(
        self, request: RequestContext, used: Collection[str] = ()
    ) -> EndpointView:
        """Returns the endpoint for the next attempt.

        Endpoints below their concurrency limit are preferred.

        Args:
          request: Request to place.
          used: Endpoints of the earlier attempts, the latest one last.

        Raises:
          NoEndpointError: No endpoint is available.
        """
        full = [
            view.name
            for view in self._pool.views.values()
            if view.endpoint.deployment == request.route.deployment
            and view.in_flight >= self.limit_of(view.name)
        ]
        # A retry is bounded by the retry budget, so it may exceed a limit or
        # reuse an endpoint, but not the one that just failed.
        choices = [{*used, *full}]
        if full:
            choices.append({*used})
        if len(used) > 1:
            choices.append({[*used][-1]})
        for excluded in choices:
            try:
                return self._pool.choose(request, excluded)
            except NoEndpointError as error:
                last = error
        raise last

    def on_answer(
        self, view: EndpointView, request: RequestContext, started_s: float
    ) -> None:
        """Adapts a limit to the latency of an answer or a first token."""
        self._state_of(view.name).on_answer(
            started_s,
            self._timers.now(),
            request.route.target_ms / 1000,
            view.in_flight,
        )

    def on_refusal(self, view: EndpointView, started_s: float) -> None:
        """Adapts a limit to an overload response or a timeout."""
        self._state_of(view.name).on_refusal(started_s, self._timers.now())

    def dump(self) -> dict[str, int]:
        """Returns the limits by endpoint for a state dump."""
        return {name: s.limit for name, s in sorted(self._limits.items())}

    def _state_of(self, name: str) -> ConcurrencyLimit:
        state = self._limits.get(name)
        if state is None:
            state = self._limits[name] = ConcurrencyLimit()
        return state


class _DeploymentState:
    """Queue and running requests of one deployment."""

    def __init__(self, queue_limit: int) -> None:
        self.queue = FairQueue()
        self.shedder = Shedder(queue_limit)
        self.running = 0
        self.views: list[EndpointView] = []


class Admission:
    """Admits requests in fair order and sheds those that cannot be served.

    The running requests of a deployment are limited by the sum of the
    concurrency limits of its endpoints, those of the node by the setting
    `concurrency`. Further requests wait in a fair queue per deployment.

    Args:
      settings: Limits of the node.
      pool: Endpoints that this node uses.
      limits: Concurrency limits of endpoints.
      rules: Retry rules, whose budgets grow with each request.
      timers: Timer service.
      metrics: Metrics of the node.
    """

    def __init__(
        self,
        settings: LimitSettings,
        pool: EndpointPool,
        limits: EndpointLimits,
        rules: RetryRules,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._limits = limits
        self._rules = rules
        self._timers = timers
        self._metrics = metrics
        self._weights: dict[str, float] = {}
        self._deployments: dict[str, _DeploymentState] = {}
        self._deployment_order: deque[str] = deque()
        self._views: dict[str, EndpointView] | None = None
        self._started_s: dict[str, float] = {}
        self._waiting: Counter[str] = Counter()
        self._recheck: Subscription | None = None

    @property
    def running(self) -> int:
        """Number of admitted requests that have not ended."""
        return len(self._started_s)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return self._waiting.total()

    def apply(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        self._weights = {
            name: organisation.weight
            for name, organisation in configuration.organisations.items()
        }
        for state in self._deployments.values():
            state.queue.set_weights(self._weights)
        self._limits.retain(configuration.endpoints)
        self._admit_waiting()

    async def acquire(self, request: RequestContext) -> None:
        """Waits until the request may start.

        The caller must call `release` when an admitted request ends.

        Raises:
          OverloadedError: The queue of the organisation is full.
          DeadlineUnreachableError: The expected wait exceeds the deadline.
        """
        self._rules.begin(request)
        self._pool.count_arrival(request)
        state = self._deployment_state(request.route.deployment)
        if len(state.queue):
            self._admit_waiting()
        if not len(state.queue) and self._has_capacity(state):
            self._start(request, state)
            return
        self._apply_shedding(request, state)
        await self._wait(request, state)

    def release(self, request: RequestContext) -> None:
        """Releases the capacity that an ended request used."""
        started = self._started_s.pop(request.request_id, None)
        if started is None:
            return
        state = self._deployments[request.route.deployment]
        state.running -= 1
        state.shedder.on_end(self._timers.now() - started)
        self._admit_waiting()

    def dump(self) -> dict[str, object]:
        """Returns the state for a state dump."""
        return {
            "running": self.running,
            "waiting": dict(self._waiting),
            "limits": self._limits.dump(),
        }

    def _apply_shedding(
        self, request: RequestContext, state: _DeploymentState
    ) -> None:
        organisation, priority = request.organisation, request.route.priority
        waiting = self._waiting[organisation]
        expected = state.shedder.expected_wait_s(
            state.queue.count_ahead(organisation, priority),
            min(self._settings.concurrency, self._capacity(state)),
            state.queue.share_of(organisation),
        )
        verdict = state.shedder.decide(
            waiting=waiting,
            less_urgent_waiting=state.queue.has_less_urgent(
                organisation, priority
            ),
            expected_wait_s=expected,
            remaining_s=request.remaining_s(self._timers.now()),
        )
        if verdict is ShedDecision.UNREACHABLE:
            raise self._unreachable(
                request, f"the wait is expected to be {expected:.3f} s"
            )
        if verdict is ShedDecision.OVERLOADED:
            raise self._overloaded(request)
        if verdict is ShedDecision.REPLACE:
            ticket = state.queue.pop_less_urgent(organisation, priority)
            self._waiting[organisation] -= 1
            replaced, future = ticket.item
            future.set_exception(self._overloaded(replaced))

    async def _wait(
        self, request: RequestContext, state: _DeploymentState
    ) -> None:
        future = asyncio.get_running_loop().create_future()
        ticket = Ticket(
            request.organisation, request.route.priority, (request, future)
        )
        enqueued_s = self._timers.now()

        def expire() -> None:
            if self._remove(state, ticket):
                future.set_exception(
                    self._unreachable(request, "it passed in the queue")
                )

        state.queue.push(ticket)
        self._waiting[request.organisation] += 1
        self._schedule_recheck()
        expiry = self._timers.call_later(
            request.remaining_s(enqueued_s), expire
        )
        try:
            await future
        except asyncio.CancelledError:
            if not self._remove(state, ticket):
                self.release(request)
            raise
        finally:
            expiry.cancel()
        self._metrics.record(
            "queue_wait", request.route_name, self._timers.now() - enqueued_s
        )

    def _remove(self, state: _DeploymentState, ticket: Ticket) -> bool:
        removed = state.queue.remove(ticket)
        if removed:
            self._waiting[ticket.organisation] -= 1
        return removed

    def _schedule_recheck(self) -> None:
        if self._recheck is None or self._recheck.cancelled:
            self._recheck = self._timers.call_later(
                RECHECK_INTERVAL_S, self._on_recheck
            )

    def _on_recheck(self) -> None:
        self._admit_waiting()
        if self.waiting:
            self._schedule_recheck()

    def _admit_waiting(self) -> None:
        # Round-robin over the deployments, which share the capacity of the
        # node.
        blocked = 0
        while blocked < len(self._deployment_order):
            name = self._deployment_order[0]
            self._deployment_order.rotate(-1)
            state = self._deployments[name]
            if not len(state.queue) or not self._has_capacity(state):
                blocked += 1
                continue
            blocked = 0
            ticket = state.queue.pop()
            self._waiting[ticket.organisation] -= 1
            request, future = ticket.item
            self._start(request, state)
            future.set_result(None)

    def _start(self, request: RequestContext, state: _DeploymentState) -> None:
        state.running += 1
        self._started_s[request.request_id] = self._timers.now()

    def _has_capacity(self, state: _DeploymentState) -> bool:
        if self.running >= self._settings.concurrency:
            return False
        capacity = self._capacity(state)
        # Without endpoints the request is admitted and fails at dispatch.
        return not capacity or state.running < capacity

    def _capacity(self, state: _DeploymentState) -> int:
        if self._pool.views is not self._views:
            self._views = self._pool.views
            for name, other in self._deployments.items():
                other.views = list(self._views_of(name))
        return sum(
            self._limits.limit_of(view.name)
            for view in state.views
            if not view.leaving
        )

    def _views_of(self, deployment: str) -> Iterable[EndpointView]:
        for view in self._pool.views.values():
            if view.endpoint.deployment == deployment:
                yield view

    def _deployment_state(self, deployment: str) -> _DeploymentState:
        state = self._deployments.get(deployment)
        if state is None:
            state = _DeploymentState(self._settings.queue_per_organisation)
            state.queue.set_weights(self._weights)
            state.views = list(self._views_of(deployment))
            self._deployments[deployment] = state
            self._deployment_order.append(deployment)
        return state

    def _overloaded(self, request: RequestContext) -> OverloadedError:
        self._count_refusal("overloaded", request)
        return OverloadedError(
            f"the queue of {request.organisation} is full", not_run=True
        )

    def _unreachable(
        self, request: RequestContext, reason: str
    ) -> DeadlineUnreachableError:
        self._count_refusal("deadline_unreachable", request)
        return DeadlineUnreachableError(
            f"the deadline cannot be met: {reason}", not_run=True
        )

    def _count_refusal(self, code: str, request: RequestContext) -> None:
        self._metrics.count(f"refused_{code}", request.route_name)
        log.debug("admission: {} refused: {}", request.request_id, code)
