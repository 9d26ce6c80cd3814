"""Calls to plain services."""

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
    """Decides right before each attempt whether it may be sent."""

    async def before_attempt(self) -> None:
        """Returns if the attempt may be sent.

        Raises:
          RequestError: It must not be sent.
        """

    def not_sent(self) -> None:
        """Notes that no byte of the attempt was sent."""


class CallRunner:
    """Runs calls, with retries as the request class allows.

    Args:
      limits: Choice of endpoints below their limits.
      client: Calls to endpoints.
      rules: Decision on retries.
      metrics: Counters.
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
          guard: Asked before each attempt, if given.

        Raises:
          RequestError: The call was not answered.
        """
        used: list[EndpointView] = []
        repeatable: EndpointView | None = None
        while True:
            self._rules.check_deadline(request)
            attempt = functools.partial(
                self._attempt, request, used, guard, repeatable
            )
            try:
                return await self._rules.hedged(request, attempt)
            except AttemptError as error:
                log.warning("calls: {} failed: {}", request.request_id, error)
                if not error.sent and guard is not None:
                    guard.not_sent()
                failure, repeatable = error, None
                if guard is not None and error.sent:
                    last = used[-1]
                    if last.endpoint.deduplicates:
                        # Only the endpoint that got the call knows its key,
                        # and for it a repeat is not a second call.
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
