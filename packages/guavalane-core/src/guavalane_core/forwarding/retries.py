"""Retry budget of a service, divided among nodes."""

from __future__ import annotations

from collections import deque

# Fraction of the permitted limits that is used. The rest covers requests that
# the operators' accounting assigns to a different window than this node does.
USED_FRACTION = 0.6


class SharedRetryBudget:
    """Limits retries that reach a service, over a sliding window.

    Each node enforces its own share without communication, so that the total
    limit holds during network partitions.

    Args:
      ratio: Allowed retries per request.
      slack: Additional retries allowed per window, for all nodes together.
      window_s: Length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
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

    def may_spend(self, now_s: float, nodes: int) -> bool:
        """Returns whether one more retry is within this node's share.

        Args:
          now_s: Monotonic time in seconds.
          nodes: Number of nodes that share the slack, including this one.
        """
        self._forget(now_s)
        allowed = self._ratio * len(self._requests) + self._slack / nodes
        return len(self._repeats) + 1 <= allowed

    def spend(self, now_s: float) -> None:
        """Counts a retry."""
        self._repeats.append(now_s)

    def _forget(self, now_s: float) -> None:
        start_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < start_s:
                times.popleft()
