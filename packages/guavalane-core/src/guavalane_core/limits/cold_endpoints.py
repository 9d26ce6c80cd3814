"""Endpoints that take few requests for some time after they have started."""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Collection

import attrs

from guavalane_core.forwarding.endpoint import Endpoint
from guavalane_core.limits.rate_shares import DividedRate, RateShares

# Fraction of the operators' tolerance per second that saved requests use. The
# rest covers restarted nodes, which begin with part of a request each, and
# nodes that divide the rate by different lists of nodes for some seconds.
SAVED_TOLERANCE_FRACTION = 0.4
# Endpoints beyond this number are forgotten, the longest known first.
MAX_KNOWN_ENDPOINTS = 16_384
MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class ColdTolerance:
    """Requests that a cold endpoint may get in one second, over all nodes.

    Attributes:
      ratio: Multiple of its rate.
      slack: Additional requests.
    """

    ratio: float = 1.5
    slack: float = 5.0

    def divide(self, rate_per_s: float) -> DividedRate:
        """Returns how the nodes divide the rate of a cold endpoint."""
        tolerance = max(0.0, self.ratio - 1.0) * rate_per_s + self.slack
        saved = SAVED_TOLERANCE_FRACTION * tolerance
        return DividedRate(rate_per_s, max(1, int(saved)), saved)


@attrs.define
class _Known:
    """What a node knows of the process of an endpoint.

    Attributes:
      process: Identifier of the process.
      version: Version of the entry that was read last.
      cold_until_s: Monotonic time until which it is cold by its entry.
      start_s: Monotonic time of its start.
      start_ms: Time of its start in milliseconds since the epoch.
    """

    process: str
    version: str
    cold_until_s: float
    start_s: float
    start_ms: float


class ColdEndpoints:
    """Cold endpoints and this node's part of the rate of each.

    An endpoint is cold for the time that its entry states, counted from the
    time at which this node read the entry, and for a time after its start if
    nodes had been serving before it.

    Args:
      node: Name of this node.
      rng: Random number generator.
      tolerance: Bound on the requests to a cold endpoint.
    """

    def __init__(
        self, node: str, rng: random.Random, tolerance: ColdTolerance
    ) -> None:
        self._tolerance = tolerance
        self._shares = RateShares(node, rng)
        self._known: OrderedDict[str, _Known] = OrderedDict()

    def observe(
        self,
        endpoint: Endpoint,
        version: str,
        now_s: float,
        now_ms: float,
        *,
        may_be_old: bool = False,
        is_new: bool = True,
    ) -> None:
        """Records the entry of an endpoint.

        Args:
          endpoint: Endpoint as its entry describes it.
          version: Version of the entry. An entry that is read again does not
              begin its time anew.
          now_s: Monotonic time in seconds.
          now_ms: Time of day in milliseconds since the epoch.
          may_be_old: Whether the entry may be older than the one before. It
              does not shorten the cold time then.
          is_new: Whether an endpoint that is seen for the first time has just
              started if it does not tell its start.
        """
        until_s = now_s + endpoint.cold_s
        known = self._known.get(endpoint.endpoint_id)
        if known is None or known.process != endpoint.process:
            start_ms = endpoint.started_ms or (now_ms if is_new else 0)
            self._add(endpoint, version, until_s, start_ms, now_s, now_ms)
            return
        if known.version == version:
            return
        known.version = version
        if may_be_old:
            until_s = max(until_s, known.cold_until_s)
        known.cold_until_s = until_s

    def _add(
        self,
        endpoint: Endpoint,
        version: str,
        until_s: float,
        start_ms: float,
        now_s: float,
        now_ms: float,
    ) -> None:
        # An endpoint whose clock is ahead has started now at the latest.
        start_ms = min(start_ms, now_ms)
        start_s = now_s - (now_ms - start_ms) / MS_PER_S
        self._shares.forget(endpoint.endpoint_id)
        self._known[endpoint.endpoint_id] = _Known(
            endpoint.process, version, until_s, start_s, start_ms
        )
        self._known.move_to_end(endpoint.endpoint_id)
        if len(self._known) > MAX_KNOWN_ENDPOINTS:
            name, _ = self._known.popitem(last=False)
            self._shares.forget(name)

    def remaining_s(
        self,
        endpoint: str,
        cold_start_s: float,
        serving_since_ms: float,
        now_s: float,
    ) -> float:
        """Returns the time for which an endpoint is still cold.

        Args:
          endpoint: Endpoint.
          cold_start_s: Time after its start for which an endpoint is cold, in
              seconds.
          serving_since_ms: Time since which nodes have been serving, in
              milliseconds since the epoch. Endpoints that started before are
              only cold if their entries say so.
          now_s: Monotonic time in seconds.

        Returns:
          Time in seconds; 0 if it is not cold.
        """
        known = self._known.get(endpoint)
        if known is None:
            return 0.0
        until_s = known.cold_until_s
        if known.start_ms > serving_since_ms:
            until_s = max(until_s, known.start_s + cold_start_s)
        return max(0.0, until_s - now_s)

    def wait_s(
        self,
        endpoint: str,
        rate_per_s: float,
        nodes: Collection[str],
        now_s: float,
        fraction: float = 1.0,
    ) -> float:
        """Returns the time until this node may send to a cold endpoint.

        Args:
          endpoint: Endpoint.
          rate_per_s: Requests per second that it takes from all nodes.
          nodes: Names of all nodes, including this one; empty if they are not
              known yet. Such a node does not send anything to the endpoint.
          now_s: Monotonic time in seconds.
          fraction: Fraction of the nodes that this node hears, including
              itself. The others may not know that it still uses its part.

        Returns:
          Time in seconds; infinite if this node may not use the endpoint.
        """
        if not nodes:
            return math.inf
        limit = self._tolerance.divide(rate_per_s)
        return self._shares.wait_s(endpoint, limit, nodes, now_s, fraction)

    def on_warm(self, endpoint: str) -> None:
        """Discards the part in the rate of an endpoint that is not cold."""
        self._shares.forget(endpoint)

    def draw(self, endpoint: str) -> None:
        """Counts a request that is sent to an endpoint."""
        self._shares.draw(endpoint)
