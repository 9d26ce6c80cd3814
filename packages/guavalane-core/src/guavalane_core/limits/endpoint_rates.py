"""Rate limits that endpoints state for themselves, divided among nodes."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterator, Mapping

import attrs
import xxhash

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
# Interval at which the nodes that may use an endpoint are chosen again, in
# seconds. Nodes come and go less often.
CHOICE_PERIOD_S = 5.0
NEVER_S = -math.inf


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


class _Share:
    """Part of an endpoint's limit that belongs to this node.

    A new share starts with a random fraction of a request: all nodes learn of
    the limit at the same time and would send their first request together.
    """

    def __init__(self, saved: float, now_s: float) -> None:
        self._saved = saved
        self._refilled_s = now_s
        self._chosen_s = NEVER_S
        self._rate_per_s = 0.0
        self._max_saved = 1.0

    def refill(self, now_s: float) -> None:
        """Adds the requests that may be sent since the last call."""
        inflow = self._rate_per_s * max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        self._saved = min(self._max_saved, self._saved + inflow)

    def choose(self, rate_per_s: float, max_saved: float, now_s: float) -> None:
        """Sets the share.

        Args:
          rate_per_s: Requests per second.
          max_saved: Requests that may be saved while none is sent.
          now_s: Monotonic time in seconds.
        """
        self._rate_per_s = rate_per_s
        self._max_saved = max_saved
        self._chosen_s = now_s

    def is_chosen(self, now_s: float) -> bool:
        """Returns whether the share is up to date."""
        return now_s - self._chosen_s < CHOICE_PERIOD_S

    def invalidate(self) -> None:
        """Lets the share be chosen again."""
        self._chosen_s = NEVER_S

    def draw(self) -> None:
        """Counts a request."""
        self._saved -= 1.0

    def wait_s(self) -> float:
        """Returns the time until a request may be sent, in seconds."""
        missing = 1.0 - self._saved
        if missing <= 0:
            return 0.0
        return missing / self._rate_per_s if self._rate_per_s else math.inf


def choose_users(
    endpoint: str, nodes: Collection[str], rate_per_s: float
) -> list[str]:
    """Returns the nodes that may send requests to a limited endpoint.

    The choice depends only on the arguments, so that nodes need not coordinate.
    """
    count = int(rate_per_s) + EXTRA_SAVED_REQUESTS
    return sorted(
        nodes,
        key=lambda n: xxhash.xxh3_64_intdigest(f"{endpoint}/{n}".encode()),
    )[:count]


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
        self._node = node
        self._rng = rng
        self._stated: dict[str, StatedLimit] = {}
        self._shares: dict[str, _Share] = {}

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
            self._shares.pop(endpoint, None)
        elif endpoint in self._shares:
            self._shares[endpoint].invalidate()
        return known is None or known.rate_per_s != limit.rate_per_s

    def stated(self, now_s: float) -> Iterator[tuple[str, StatedLimit]]:
        """Yields the recent statements by endpoint."""
        for endpoint, limit in list(self._stated.items()):
            if now_s - limit.stated_s > LIMIT_LIFETIME_S:
                del self._stated[endpoint]
                self._shares.pop(endpoint, None)
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
        share = self._shares.get(endpoint)
        if share is None:
            share = self._shares[endpoint] = _Share(self._rng.random(), now_s)
        share.refill(now_s)
        if not share.is_chosen(now_s):
            self._choose(share, endpoint, limit.rate_per_s, nodes, now_s)
        return share.wait_s()

    def _choose(
        self,
        share: _Share,
        endpoint: str,
        stated_per_s: float,
        nodes: Collection[str],
        now_s: float,
    ) -> None:
        rate_per_s = max(MIN_RATE_PER_S, stated_per_s)
        users = choose_users(endpoint, nodes, rate_per_s)
        if self._node not in users:
            share.choose(0.0, 0.0, now_s)
            return
        saved = max(1.0, (rate_per_s + EXTRA_SAVED_REQUESTS) / len(users))
        share.choose(rate_per_s / len(users), saved, now_s)

    def draw(self, endpoint: str) -> None:
        """Counts a request that is sent to an endpoint."""
        share = self._shares.get(endpoint)
        if share is not None:
            share.draw()

    def forget(self, endpoint: str) -> None:
        """Discards the limit of an endpoint that was removed or restarted."""
        self._stated.pop(endpoint, None)
        self._shares.pop(endpoint, None)
