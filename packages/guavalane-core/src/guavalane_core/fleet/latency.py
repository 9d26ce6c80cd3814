"""Queueing model of the time to the first token."""

from __future__ import annotations

import functools
import math

# Ratio of the 95th percentile to the mean of an exponential distribution.
P95_TO_MEAN = -math.log(0.05)
NEWTON_STEPS = 50
NEWTON_TOLERANCE = 1e-12
# Keeps rounding errors from yielding a capacity that is slightly too small.
ROUNDING_MARGIN = 1e-9


def mean_wait_s(load: float, capacity: float, servers: int) -> float:
    """Returns the mean wait of an M/M/c queue, in seconds.

    Uses Sakasegawa's approximation.

    Args:
      load: Requests per second.
      capacity: Total service rate of all servers in requests per second.
      servers: Number of servers.
    """
    if load <= 0:
        return 0.0
    if capacity <= load:
        return math.inf
    exponent = math.sqrt(2 * (servers + 1)) - 1
    return (load / capacity) ** exponent / (capacity - load)


@functools.lru_cache(maxsize=65_536)
def required_capacity(load: float, servers: int, wait_s: float) -> float:
    """Returns the smallest capacity that keeps the p95 wait within a limit.

    Args:
      load: Requests per second.
      servers: Number of servers; the result is infinite for 0.
      wait_s: Limit of the 95th percentile of the wait, in seconds.
    """
    if load <= 0:
        return 0.0
    if servers <= 0 or wait_s <= 0:
        return math.inf
    # The log of the ratio of wait to limit is a concave, decreasing function of
    # the log of the spare capacity, so Newton's method converges from above. It
    # starts from the upper bound 1 / spare of the mean wait.
    exponent = math.sqrt(2 * (servers + 1)) - 1
    start = math.log(P95_TO_MEAN / wait_s)
    spare_log = start
    for _ in range(NEWTON_STEPS):
        spare = math.exp(spare_log)
        capacity = load + spare
        excess = start - spare_log + exponent * math.log(load / capacity)
        if excess > -NEWTON_TOLERANCE:
            break
        spare_log += excess / (1 + exponent * spare / capacity)
    return load + math.exp(spare_log) * (1 + ROUNDING_MARGIN)
