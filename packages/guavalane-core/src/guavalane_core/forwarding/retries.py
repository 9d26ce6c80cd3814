"""Retry budget of a service, divided among nodes."""

from __future__ import annotations

import math
from collections import deque

# Fraction of the permitted limits that is used. The rest covers requests that
# the operators' accounting assigns to a different window than this node does.
USED_FRACTION = 0.6
# Fraction of the slack that a process gets gradually in its first window. It
# does not know the retries of the process before it, which may have used all of
# the slack just before it ended: both together stay within the limit.
RESTART_FRACTION = 1 / USED_FRACTION - 1


class SharedRetryBudget:
    """Limits retries that reach a service, over a sliding window.

    Each node enforces its own share without communication, so that the total
    limit holds during network partitions.

    Args:
      ratio: Allowed retries per request.
      slack: Additional retries allowed per window, for all nodes together.
      window_s: Length of the window in seconds.
      started_s: Monotonic time of the start of the process, in seconds.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        started_s: float = -math.inf,
    ) -> None:
        self._started_s = started_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.set_limits(ratio, slack, window_s)

    @property
    def repeats(self) -> int:
        """Number of retries in the window, as of the last call."""
        return len(self._repeats)

    def set_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Changes the limits without resetting the counts."""
        self._ratio = ratio * USED_FRACTION
        self._slack = slack * USED_FRACTION
        self._window_s = window_s

    def on_request(self, now_s: float) -> None:
        """Counts a new request from a caller."""
        self._requests.append(now_s)
        self._forget(now_s)

    def may_spend(self, now_s: float, nodes: float) -> bool:
        """Returns whether one more retry is within this node's share.

        Args:
          now_s: Monotonic time in seconds.
          nodes: Number of nodes that share the slack, including this one;
              infinite if it is not known.
        """
        allowed = self.allowed(now_s, nodes)
        return len(self._repeats) + 1 <= allowed

    def allowed(self, now_s: float, nodes: float) -> float:
        """Returns this node's share of the retries of a window.

        The arguments are those of `may_spend`.
        """
        self._forget(now_s)
        slack = self._slack_released(now_s) / nodes
        return self._ratio * len(self._requests) + slack

    def spend(self, now_s: float) -> None:
        """Counts a retry."""
        self._repeats.append(now_s)

    def _slack_released(self, now_s: float) -> float:
        """Returns the slack of all nodes if each is as old as this one."""
        age = (now_s - self._started_s) / self._window_s
        return self._slack * (1.0 if age >= 1 else RESTART_FRACTION * age)

    def _forget(self, now_s: float) -> None:
        start_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < start_s:
                times.popleft()
