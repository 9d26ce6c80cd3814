"""Outlier ejection of failing endpoints."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

CONSECUTIVE_FAILURES_TO_EJECT = 5
# Each further ejection doubles the base duration, up to the maximum.
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
# Minimum interval between requests to a half-open endpoint, in seconds.
HALF_OPEN_INTERVAL_S = 1.0
CONSECUTIVE_SUCCESSES_TO_CLOSE = 3
# Largest fraction of a route's endpoints that can be excluded at a time.
MAX_EJECTED_FRACTION = 0.5
# How long an endpoint is excluded after a failed connection attempt.
UNREACHABLE_EXCLUSION_S = 2.0


@attrs.define
class _EndpointHealth:
    failures: int = 0
    successes: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    half_open: bool = False
    next_allowed_s: float = float("-inf")
    unreachable_until_s: float = float("-inf")

    def excluded_until_s(self) -> float:
        until = max(self.ejected_until_s, self.unreachable_until_s)
        return max(until, self.next_allowed_s) if self.half_open else until


class OutlierEjector:
    """Excludes endpoints with consecutive failures from selection.

    When an ejection ends, the endpoint is half-open: it receives one request
    per `HALF_OPEN_INTERVAL_S` until several in a row succeed. Each further
    ejection lasts twice as long as the one before.
    """

    def __init__(self) -> None:
        self._health: dict[str, _EndpointHealth] = {}

    def on_success(self, endpoint: str) -> None:
        """Records a successful attempt."""
        health = self._health.get(endpoint)
        if health is None:
            return
        health.failures = 0
        health.unreachable_until_s = float("-inf")
        if not health.half_open:
            return
        health.successes += 1
        if health.successes >= CONSECUTIVE_SUCCESSES_TO_CLOSE:
            del self._health[endpoint]

    def on_failure(self, endpoint: str, now_s: float) -> None:
        """Records a failed attempt."""
        health = self._health.setdefault(endpoint, _EndpointHealth())
        # Attempts that were in flight at the ejection carry no new
        # information.
        if health.ejected_until_s > now_s:
            return
        health.failures += 1
        health.successes = 0
        if health.half_open or health.failures >= CONSECUTIVE_FAILURES_TO_EJECT:
            duration_s = BASE_EJECTION_S * 2**health.ejections
            health.ejected_until_s = now_s + min(duration_s, MAX_EJECTION_S)
            health.ejections = min(health.ejections + 1, 16)
            health.failures = 0
            health.half_open = True

    def on_unreachable(self, endpoint: str, now_s: float) -> None:
        """Excludes an endpoint for a short time after a connection failure."""
        health = self._health.setdefault(endpoint, _EndpointHealth())
        health.unreachable_until_s = now_s + UNREACHABLE_EXCLUSION_S

    def on_dispatch(self, endpoint: str, now_s: float) -> None:
        """Records that a request is dispatched to the endpoint."""
        health = self._health.get(endpoint)
        if health is not None and health.half_open:
            health.next_allowed_s = now_s + HALF_OPEN_INTERVAL_S

    def forget(self, endpoint: str) -> None:
        """Discards the state of an endpoint that was removed or replaced."""
        self._health.pop(endpoint, None)

    def state(self, endpoint: str, now_s: float) -> str:
        """Returns `closed`, `ejected` or `half_open`."""
        health = self._health.get(endpoint)
        if health is None:
            return "closed"
        if health.ejected_until_s > now_s:
            return "ejected"
        return "half_open" if health.half_open else "closed"

    def held(self, endpoints: Sequence[str], now_s: float) -> set[str]:
        """Returns the endpoints that are excluded from selection.

        At most half of the endpoints are excluded, so that a common fault,
        such as a bad request or a network partition, does not leave the route
        without endpoints. Beyond that limit, the endpoints whose exclusion
        ends first remain selectable.

        Args:
          endpoints: Endpoints of one route that are not draining.
          now_s: Monotonic time in seconds.
        """
        if not self._health:
            return set()
        held = [
            (health.excluded_until_s(), name)
            for name in endpoints
            if (health := self._health.get(name)) is not None
            and health.excluded_until_s() > now_s
        ]
        max_held = int(len(endpoints) * MAX_EJECTED_FRACTION)
        held.sort(reverse=True)
        return {name for _, name in held[:max_held]}
