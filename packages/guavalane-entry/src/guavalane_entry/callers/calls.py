"""Calls to plain services with retries."""

from __future__ import annotations

import functools
from typing import Protocol

from loguru import logger as log

from guavalane_core.exceptions import AttemptError
from guavalane_core.requests import RequestContext
from guavalane_core.routing import EndpointView
from guavalane_entry.callers.admission import EndpointLimits
from guavalane_entry.endpoints.client import EndpointClient, ServiceAnswer
from guavalane_entry.endpoints.retrying import RetryRules
from guavalane_entry.metrics import Metrics


class DispatchGuard(Protocol):
    """Precondition that is checked immediately before each attempt."""

    async def before_attempt(self) -> None:
        """Checks that the attempt may be sent.

        Raises:
          RequestError: The attempt must not be sent.
        """

    def not_sent(self) -> None:
        """Reports that no byte of the attempt was sent."""


class CallRunner:
    """Runs calls and retries them as their request class allows.

    Args:
      limits: Concurrency limits; selects endpoints.
      client: Endpoint client.
      rules: Retry rules.
      metrics: Metrics of the node.
    """

    def __init__(
        self,
        limits: EndpointLimits,
        client: EndpointClient,
        rules: RetryRules,
        metrics: Metrics,
    ) -> None:
        self._limits = limits
        self._client = client
        self._rules = rules
        self._metrics = metrics

    async def call(
        self, request: RequestContext, guard: DispatchGuard | None = None
    ) -> ServiceAnswer:
        """Returns the answer of a plain service.

        Args:
          request: Request.
          guard: Precondition of each attempt, if any.

        Raises:
          RequestError: The call failed.
        """
        used: list[EndpointView] = []
        repeatable: EndpointView | None = None
        while True:
            self._rules.check_deadline(request)
            attempt = functools.partial(
                self._attempt, request, used, guard, repeatable
            )
            try:
                return await self._rules.run_hedged(request, attempt)
            except AttemptError as error:
                log.warning(
                    "calls: attempt of {} failed: {}", request.request_id, error
                )
                if not error.sent and guard is not None:
                    guard.not_sent()
                failure, repeatable = error, None
                if guard is not None and error.sent:
                    last = used[-1]
                    if last.endpoint.deduplicates:
                        # The endpoint deduplicates by idempotency key, so
                        # the call may be repeated there, but only there.
                        repeatable = last
                        failure = AttemptError(str(error), sent=False)
                names = [view.name for view in used]
                await self._rules.before_retry(request, failure, names)

    async def _attempt(
        self,
        request: RequestContext,
        used: list[EndpointView],
        guard: DispatchGuard | None,
        repeatable: EndpointView | None,
    ) -> ServiceAnswer:
        view = repeatable or self._limits.choose(
            request, [view.name for view in used]
        )
        used.append(view)
        if guard is not None:
            await guard.before_attempt()
        return await self._client.call(view, request)
