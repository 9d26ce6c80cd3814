"""Times since which the nodes of a deployment have been serving."""

from __future__ import annotations

import math


class ServingTimes:
    """Time since which any node has been serving.

    An endpoint that starts later joins a deployment that has traffic already.
    When all nodes start for the first time, the endpoints start with them, and
    a node only counts its own time. Otherwise it also counts the starts that
    the entries of nodes tell, so that a restarted node treats an endpoint as
    the others do.

    Args:
      is_first_start: Whether all nodes start for the first time.
    """

    def __init__(self, is_first_start: bool) -> None:
        self._is_first_start = is_first_start
        self._own_ms = math.inf
        self._starts_ms: dict[str, float] = {}
        # Cached, since it is read for each endpoint at each request.
        self._first_start_ms = math.inf
        self._nodes_listed = False

    @property
    def since_ms(self) -> float:
        """Time in milliseconds since the epoch.

        Unless all nodes start for the first time, a node that does not know
        the others yet assumes that they have always been serving: the time is
        minus infinity.
        """
        if self._is_first_start:
            return self._own_ms
        if not self._nodes_listed:
            return -math.inf
        return min(self._own_ms, self._first_start_ms)

    @property
    def is_serving(self) -> bool:
        """Whether this node knows the endpoints and can serve."""
        return not math.isinf(self._own_ms)

    def on_serving(self, now_ms: float) -> None:
        """Records that this node knows the endpoints and can serve."""
        self._own_ms = min(self._own_ms, now_ms)

    def on_nodes_listed(self) -> None:
        """Records that all registered nodes are known."""
        self._nodes_listed = True

    def on_listed(self, node: str, start_ms: float) -> None:
        """Records the start in the entry of a node; 0 if it tells none."""
        if start_ms > 0:
            self._starts_ms[node] = start_ms
            self._update()

    def on_removed(self, node: str) -> None:
        """Forgets a node that is gone."""
        if self._starts_ms.pop(node, None) is not None:
            self._update()

    def _update(self) -> None:
        self._first_start_ms = min(self._starts_ms.values(), default=math.inf)
