"""Detection of crashed endpoints from responses that break off."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import attrs

from guavalane_core.forwarding import Endpoint
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.endpoint_client import EndpointClient
from guavalane_entry.gateway.quarantine import QuarantineService
from guavalane_entry.gateway.view import NodeView

# Time in which other nodes report the requests that they had at an endpoint
# that crashed, in seconds.
ATTRIBUTION_DELAY_S = 0.2


@attrs.define(eq=False)
class _BrokenAttempts:
    """Attempts at one endpoint process that broke off together."""

    parts: dict[str, int] = attrs.field(factory=dict)
    checked: asyncio.Event = attrs.field(factory=asyncio.Event)
    failures: list[Callable[[], None]] = attrs.field(factory=list)


class CrashMonitor:
    """Tells a crashed endpoint from a broken connection.

    After a crash nothing listens on the endpoint's port. A reset connection, a
    garbled response or a network partition does not show this way.

    Args:
      view: Shared state of the node.
      endpoint_client: HTTP client for endpoints.
      quarantine: Receiver of the crashes.
      timers: Timer service.
      log: Decision log.
    """

    def __init__(
        self,
        view: NodeView,
        endpoint_client: EndpointClient,
        quarantine: QuarantineService,
        timers: Timers,
        log: DecisionLog,
    ) -> None:
        self._view = view
        self._endpoint_client = endpoint_client
        self._quarantine = quarantine
        self._timers = timers
        self._log = log
        self._broken: dict[str, _BrokenAttempts] = {}
        self._tasks: set[asyncio.Task] = set()

    async def stop(self) -> None:
        """Cancels pending checks."""
        await cancel_tasks(*self._tasks)

    def on_broken(
        self,
        endpoint: Endpoint,
        parts: Sequence[str],
        count_failure: Callable[[], None],
        *,
        has_head: bool = True,
    ) -> None:
        """Checks an endpoint whose response broke off.

        Args:
          endpoint: Endpoint.
          parts: Parts of the request, in order, if the endpoint was about to
              answer it; empty if it had sent output for a while.
          count_failure: Counts the failure against the endpoint's version. It
              is not called if a part is suspected of the crash.
          has_head: Whether the head of the response has arrived. The number of
              parts that are kept is limited, and those come first.
        """
        process = endpoint.process
        if process not in self._broken:
            self._broken[process] = _BrokenAttempts()
            task = asyncio.create_task(self._check(endpoint))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        broken = self._broken[process]
        added = {part: position for position, part in enumerate(parts)}
        if has_head:
            broken.parts = added | broken.parts
        else:
            broken.parts |= added
        broken.failures.append(count_failure)

    async def wait_checked(self, endpoint: Endpoint) -> None:
        """Waits until it is known whether an endpoint has crashed."""
        broken = self._broken.get(endpoint.process)
        if broken is not None:
            await broken.checked.wait()

    async def _check(self, endpoint: Endpoint) -> None:
        has_crashed = False
        try:
            has_crashed = await self._has_crashed(endpoint)
        finally:
            broken = self._broken.pop(endpoint.process)
            # Those that wait go on after the crash is recorded below.
            broken.checked.set()
        is_suspected = False
        if has_crashed:
            self._log.event(
                "endpoint.crashed",
                endpoint=endpoint.endpoint_id,
                attempts=len(broken.failures),
                parts=sorted(broken.parts),
            )
            self._quarantine.on_crash(endpoint, broken.parts)
            await self._timers.sleep(ATTRIBUTION_DELAY_S)
            is_suspected = self._quarantine.is_explained(endpoint)
        if not is_suspected:
            for count_failure in broken.failures:
                count_failure()

    async def _has_crashed(self, endpoint: Endpoint) -> bool:
        if not await self._endpoint_client.refuses_connections(endpoint):
            return False
        # One that was leaving has exited as planned.
        known = self._view.directory.get(endpoint.endpoint_id)
        return known is not None and not known.leaving
