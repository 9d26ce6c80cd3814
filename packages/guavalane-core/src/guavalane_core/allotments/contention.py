"""Rationing of an exhausted token bucket between nodes."""

from __future__ import annotations

import math

# Time constant of the average over which a node's part of all draws is
# measured, in seconds.
PART_AVERAGE_S = 5.0
# Fraction of the bucket, and of a node's part of it, that has to stay unused
# before the node may draw from the whole level again.
RELEASE_FRACTION = 0.5


class Contention:
    """One node's credit while the demand of all nodes exceeds the inflow.

    All nodes see an exhausted bucket refill at the same time, and each would
    draw the same units before it learns of the draws of the others. Instead,
    each node earns its part of the inflow. The part follows the recent draws,
    as callers are spread unevenly over the nodes.
    """

    def __init__(self) -> None:
        self._nodes = 1
        self._active = False
        self._credit = 0.0
        self._own_draws = 0.0
        self._all_draws = 0.0
        # Own draws since the last report. They are not compared with older
        # draws of other nodes.
        self._unmatched_draws = 0.0

    @property
    def active(self) -> bool:
        """Whether the bucket is rationed."""
        return self._active

    @property
    def credit(self) -> float:
        """Units that this node has earned; negative after a large request."""
        return self._credit

    def set_nodes(self, nodes: int) -> None:
        """Sets the number of nodes that draw from the bucket."""
        self._nodes = nodes

    def enter(self) -> None:
        """Starts rationing; called when the bucket is exhausted."""
        if not self._active:
            self._active = True
            self._credit = 0.0

    def add_draw(self, units: float, *, own: bool) -> None:
        """Counts a draw of this node or of another one."""
        if own:
            self._unmatched_draws += units
            self._credit -= units
            return
        own_draws, self._unmatched_draws = self._unmatched_draws, 0.0
        self._own_draws = max(0.0, self._own_draws + own_draws)
        self._all_draws = max(0.0, self._all_draws + own_draws + units)

    def advance(
        self, elapsed_s: float, inflow: float, level: float, burst: float
    ) -> None:
        """Applies elapsed time.

        Args:
          elapsed_s: Time since the last call, in seconds.
          inflow: Units that the bucket has received in that time.
          level: Level of the whole bucket.
          burst: Capacity of the bucket in units.
        """
        if self._active and level > 0:
            part = self._part(burst)
            self._credit += inflow * part
            unused = RELEASE_FRACTION * burst
            if level >= unused and self._credit >= unused * part:
                self._active = False
        fade = math.exp(-elapsed_s / PART_AVERAGE_S)
        self._own_draws *= fade
        self._all_draws *= fade

    def _part(self, burst: float) -> float:
        """Returns this node's part of the inflow, from 0 to 1.

        One burst, divided equally between the nodes, is added to the recent
        draws, so that a node without draws earns a part as well.
        """
        total = self._all_draws + burst
        if total <= 0:
            return 1 / self._nodes
        return (self._own_draws + burst / self._nodes) / total
