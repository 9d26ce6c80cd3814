"""One node's part of the retry budget of a service."""

from __future__ import annotations

from collections import deque

# Part of the permitted ratio that is used. The rest covers requests that the
# operators' accounting places in another window than this node does.
USED_PART = 0.6


class SharedRetryBudget:
    """Bounds repeated arrivals at a service in every sliding window.

    Each node keeps to its own part without a message, so that the sum holds
    whatever nodes are cut off.

    Args:
      ratio: Repeats allowed per request.
      slack: Repeats allowed besides by all nodes together, per window.
      window_s: Length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.set_limits(ratio, slack, window_s)

    @property
    def repeats(self) -> int:
        """Repeats in the window at the last call."""
        return len(self._repeats)

    def set_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Changes the limits; what was spent stays spent."""
        self._ratio = ratio * USED_PART
        self._slack = slack * USED_PART
        self._window_s = window_s

    def on_request(self, now_s: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now_s)
        self._forget(now_s)

    def may_spend(self, now_s: float, nodes: int) -> bool:
        """Returns whether one more arrival is within this node's part.

        Args:
          now_s: Monotonic time in seconds.
          nodes: Nodes that share the slack, this one included.
        """
        self._forget(now_s)
        allowed = self._ratio * len(self._requests) + self._slack / nodes
        return len(self._repeats) + 1 <= allowed

    def spend(self, now_s: float) -> None:
        """Counts a repeated arrival."""
        self._repeats.append(now_s)

    def _forget(self, now_s: float) -> None:
        start_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < start_s:
                times.popleft()
