"""Selection of the requests that a version under trial receives.

The operators bound how many requests such a version may receive. Requests of a
rare route tell as much about it as those of a busy one, so each route gets a
part of that number by the attempts that tell a fault there, not by its traffic.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

import attrs

# Fraction of a move's time limit by which the slack is used up. It is used
# gradually, as a fault may appear late.
SLACK_RELEASE_FRACTION = 0.75
# Largest fraction of a route's requests that goes to the version under trial.
# The others show whether the old version fails as well.
MAX_ROUTE_FRACTION = 0.9


@attrs.frozen
class RouteTraffic:
    """What decides a route's part of the exposed requests.

    Attributes:
      traffic: The route's fraction of the service's requests.
      needed: Measure of the attempts that tell a fault on it.
    """

    traffic: float
    needed: float


def divide_exposure(
    routes: Mapping[str, RouteTraffic], exposure: float
) -> dict[str, float]:
    """Divides the exposed requests among routes.

    A route that has too few requests for its part leaves the rest to others.

    Args:
      routes: Traffic of each route.
      exposure: Exposed requests as a fraction of all requests of the service.

    Returns:
      Fraction of the exposed requests by route. The sum is below 1 if there are
      too few requests.
    """
    parts: dict[str, float] = {}
    open_routes = dict(routes)
    left = 1.0
    while open_routes:
        needed = sum(route.needed for route in open_routes.values())
        limited = {}
        for name, route in open_routes.items():
            limit = MAX_ROUTE_FRACTION * route.traffic / max(1e-9, exposure)
            if limit < left * route.needed / needed:
                limited[name] = limit
        if not limited:
            for name, route in open_routes.items():
                parts[name] = left * route.needed / needed
            break
        parts.update(limited)
        left -= sum(limited.values())
        for name in limited:
            del open_routes[name]
    return parts


class ExposureBudget:
    """Number of requests that one node may send to a version under trial.

    Nodes do not coordinate. Each one uses an equal part of the slack and rounds
    the number of each route up or down at random, so that the sum over many
    nodes keeps to the limit although each of them sends only a few.

    Args:
      share: Fraction of the service's requests.
      slack: Requests in addition, of all nodes together.
      time_limit_s: Time limit of the move in seconds.
      rng: Source of the rounding.
    """

    def __init__(
        self,
        share: float,
        slack: float,
        time_limit_s: float,
        rng: random.Random,
    ) -> None:
        self._share = share
        self._slack = slack
        self._release_s = max(1e-3, SLACK_RELEASE_FRACTION * time_limit_s)
        self._time_limit_s = time_limit_s
        self._rng = rng
        self._requests = 0
        self._parts: dict[str, float] = {}
        # Number of exposed requests plus the amount that is rounded, by route.
        self._used: dict[str, float] = {}
        self._exposed = 0

    def divide(
        self, routes: Mapping[str, RouteTraffic], requests_per_s: float
    ) -> None:
        """Sets the parts of the routes.

        Args:
          routes: Traffic of each route on all nodes.
          requests_per_s: Rate of the service's requests on all nodes.
        """
        expected = max(1.0, requests_per_s * self._time_limit_s)
        exposure = min(1.0, self._share + self._slack / expected)
        self._parts = divide_exposure(routes, exposure)

    def take(
        self, route: str, draw: float, elapsed_s: float, nodes: float
    ) -> bool:
        """Returns whether a request goes to the version under trial.

        Args:
          route: Name of its route.
          draw: Random number from 0 to 1.
          elapsed_s: Time since the node has seen the order, in seconds.
          nodes: Number of nodes, which share the slack; infinite if it is not
              known.
        """
        self._requests += 1
        released = min(1.0, elapsed_s / self._release_s)
        allowed = self._share * self._requests + (
            released * self._slack / nodes
        )
        # Without knowledge of the traffic, all routes share one number.
        key = route if self._parts else ""
        part = self._parts.get(route, 0.0) if self._parts else 1.0
        used = self._used.get(key)
        if used is None:
            used = self._used[key] = self._rng.random()
        if (
            draw >= MAX_ROUTE_FRACTION
            or self._exposed >= math.ceil(allowed)
            or used > part * allowed
        ):
            return False
        self._used[key] = used + 1
        self._exposed += 1
        return True
