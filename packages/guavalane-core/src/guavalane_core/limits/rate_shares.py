"""This node's parts of the rates that all nodes divide per endpoint."""

from __future__ import annotations

import math
import random
from collections.abc import Collection

import attrs
import xxhash

# Interval at which the nodes that may use an endpoint are chosen again, in
# seconds. Nodes come and go less often.
CHOICE_PERIOD_S = 5.0
NEVER_S = -math.inf


@attrs.frozen
class DividedRate:
    """Rate of an endpoint that a few nodes divide.

    Attributes:
      rate_per_s: Requests per second from all nodes together.
      max_users: Largest number of nodes that divide it.
      max_saved: Requests that all nodes together may save while they send
          none. Each node that uses the endpoint can save one at least.
    """

    rate_per_s: float
    max_users: int
    max_saved: float


class _Share:
    """Part of an endpoint's rate that belongs to this node.

    A new share starts with a random fraction of a request: all nodes learn of
    the limit at the same time and would send their first request together.
    """

    def __init__(self, saved: float, now_s: float) -> None:
        self._saved = saved
        self._refilled_s = now_s
        self._chosen_s = NEVER_S
        self._rate_per_s = 0.0
        self._max_saved = 1.0

    def refill(self, now_s: float, fraction: float) -> None:
        """Adds a fraction of the requests that may be sent since then."""
        elapsed_s = max(0.0, now_s - self._refilled_s)
        inflow = self._rate_per_s * fraction * elapsed_s
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

    def wait_s(self, fraction: float) -> float:
        """Returns the time until a request may be sent, in seconds."""
        missing = 1.0 - self._saved
        if missing <= 0:
            return 0.0
        rate_per_s = self._rate_per_s * fraction
        return missing / rate_per_s if rate_per_s else math.inf


def choose_nodes(
    endpoint: str, nodes: Collection[str], count: int
) -> list[str]:
    """Returns the nodes that may send requests to a limited endpoint.

    The choice depends only on the arguments, so that nodes need not coordinate.
    """
    return sorted(
        nodes,
        key=lambda n: xxhash.xxh3_64_intdigest(f"{endpoint}/{n}".encode()),
    )[:count]


class RateShares:
    """This node's part of the rate of each limited endpoint.

    A few nodes, chosen by hashing, divide each rate equally. Each node keeps
    to its part without communication, so that the rate also holds during a
    network partition.

    Args:
      node: Name of this node.
      rng: Random number generator.
    """

    def __init__(self, node: str, rng: random.Random) -> None:
        self._node = node
        self._rng = rng
        self._shares: dict[str, _Share] = {}

    def wait_s(
        self,
        endpoint: str,
        limit: DividedRate,
        nodes: Collection[str],
        now_s: float,
        fraction: float = 1.0,
    ) -> float:
        """Returns the time until this node may send a request.

        Args:
          endpoint: Endpoint.
          limit: Rate to divide.
          nodes: Names of all nodes, including this one.
          now_s: Monotonic time in seconds.
          fraction: Fraction of its part that this node uses.

        Returns:
          Time in seconds; infinite if this node may not use the endpoint.
        """
        share = self._shares.get(endpoint)
        if share is None:
            share = self._shares[endpoint] = _Share(self._rng.random(), now_s)
        share.refill(now_s, fraction)
        if not share.is_chosen(now_s):
            self._choose(share, endpoint, limit, nodes, now_s)
        return share.wait_s(fraction)

    def _choose(
        self,
        share: _Share,
        endpoint: str,
        limit: DividedRate,
        nodes: Collection[str],
        now_s: float,
    ) -> None:
        users = choose_nodes(endpoint, nodes, limit.max_users)
        if self._node not in users:
            share.choose(0.0, 0.0, now_s)
            return
        saved = max(1.0, limit.max_saved / len(users))
        share.choose(limit.rate_per_s / len(users), saved, now_s)

    def draw(self, endpoint: str) -> None:
        """Counts a request that is sent to an endpoint."""
        share = self._shares.get(endpoint)
        if share is not None:
            share.draw()

    def invalidate(self, endpoint: str) -> None:
        """Lets the part in an endpoint's rate be chosen again."""
        share = self._shares.get(endpoint)
        if share is not None:
            share.invalidate()

    def forget(self, endpoint: str) -> None:
        """Discards the part in an endpoint's rate."""
        self._shares.pop(endpoint, None)
