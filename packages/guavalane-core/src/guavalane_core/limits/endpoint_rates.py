"""Rate limits that endpoints state for themselves, divided among nodes."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterator, Mapping

import attrs

from guavalane_core.limits.rate_shares import (
    DividedRate,
    RateShares,
    choose_nodes,
)

# Requests that all nodes together may save while they send none, in addition to
# one second of the limit. As each node that uses an endpoint can save one at
# least, this also bounds the number of these nodes.
EXTRA_SAVED_REQUESTS = 3
# Lower limits are treated as this one, in requests per second. Without any
# request nobody would learn that the endpoint has ended its limit.
MIN_RATE_PER_S = 0.1
# Time after which a limit is forgotten that no endpoint response has confirmed,
# in seconds. The nodes that may use an endpoint hear from it more often.
LIMIT_LIFETIME_S = 60.0


@attrs.frozen
class StatedLimit:
    """Limit that an endpoint stated in a response.

    Attributes:
      rate_per_s: Requests per second from all nodes together; None if the
          response stated none.
      stated_s: Monotonic time of the response in seconds.
    """

    rate_per_s: float | None
    stated_s: float


def choose_users(
    endpoint: str, nodes: Collection[str], rate_per_s: float
) -> list[str]:
    """Returns the nodes that may send requests to a limited endpoint.

    The choice depends only on the arguments, so that nodes need not coordinate.
    """
    return choose_nodes(endpoint, nodes, int(rate_per_s) + EXTRA_SAVED_REQUESTS)


class EndpointRateLimits:
    """Limits of endpoints and this node's part of each.

    A few nodes, chosen by hashing, divide each limit equally. Each node keeps
    to its part without communication, so that the limit also holds during a
    network partition.

    Args:
      node: Name of this node.
      rng: Random number generator.
    """

    def __init__(self, node: str, rng: random.Random) -> None:
        self._stated: dict[str, StatedLimit] = {}
        self._shares = RateShares(node, rng)

    def observe(self, endpoint: str, limit: StatedLimit) -> bool:
        """Records what an endpoint stated; older statements are ignored.

        Returns:
          Whether the limit has changed.
        """
        known = self._stated.get(endpoint)
        if known is None and limit.rate_per_s is None:
            return False
        if known is not None and limit.stated_s <= known.stated_s:
            return False
        self._stated[endpoint] = limit
        if limit.rate_per_s is None:
            self._shares.forget(endpoint)
        else:
            self._shares.invalidate(endpoint)
        return known is None or known.rate_per_s != limit.rate_per_s

    def stated(self, now_s: float) -> Iterator[tuple[str, StatedLimit]]:
        """Yields the recent statements by endpoint."""
        for endpoint, limit in list(self._stated.items()):
            if now_s - limit.stated_s > LIMIT_LIFETIME_S:
                del self._stated[endpoint]
                self._shares.forget(endpoint)
            else:
                yield endpoint, limit

    def in_force(self, now_s: float) -> Mapping[str, float]:
        """Returns the limits in force in requests per second, by endpoint."""
        return {
            endpoint: limit.rate_per_s
            for endpoint, limit in self.stated(now_s)
            if limit.rate_per_s is not None
        }

    def has_limit(self, endpoint: str) -> bool:
        """Returns whether the latest statement of an endpoint was a limit."""
        limit = self._stated.get(endpoint)
        return limit is not None and limit.rate_per_s is not None

    def wait_s(
        self, endpoint: str, nodes: Collection[str], now_s: float
    ) -> float:
        """Returns the time until this node may send a request.

        Args:
          endpoint: Endpoint.
          nodes: Names of all nodes, including this one.
          now_s: Monotonic time in seconds.

        Returns:
          Time in seconds; infinite if this node may not use the endpoint.
        """
        limit = self._stated.get(endpoint)
        if limit is None or limit.rate_per_s is None:
            return 0.0
        if now_s - limit.stated_s > LIMIT_LIFETIME_S:
            return 0.0
        rate_per_s = max(MIN_RATE_PER_S, limit.rate_per_s)
        divided = DividedRate(
            rate_per_s,
            int(rate_per_s) + EXTRA_SAVED_REQUESTS,
            rate_per_s + EXTRA_SAVED_REQUESTS,
        )
        return self._shares.wait_s(endpoint, divided, nodes, now_s)

    def draw(self, endpoint: str) -> None:
        """Counts a request that is sent to an endpoint."""
        self._shares.draw(endpoint)

    def forget(self, endpoint: str) -> None:
        """Discards the limit of an endpoint that was removed or restarted."""
        self._stated.pop(endpoint, None)
        self._shares.forget(endpoint)
