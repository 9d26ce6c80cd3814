"""Rationing of an exhausted token bucket between nodes."""

from __future__ import annotations

import math

# Time constant of the average over which a node's part of all draws is
# measured, in seconds.
PART_AVERAGE_S = 5.0
# Fraction of the bucket, and of a node's part of it, that has to stay unused
# before the node may draw from the whole level again.
RELEASE_FRACTION = 0.5
# Level, as a fraction of the bucket, at which nodes earn just the inflow. Above
# it they earn more, since units that some nodes cannot use stay in the bucket.
# Below it they earn less, so that the level does not stay at 0, where no
# request draws.
TARGET_FRACTION = 0.0625
# Difference of the level from the target, as a multiple of the bucket, that
# doubles or cancels the inflow. Levels are up to 1 s old, and a lower value
# would make them oscillate.
LEVEL_RANGE = 1.0
# Largest factor on the inflow. In a partition that is not detected yet, both
# sides earn it.
MAX_INFLOW_FACTOR = 1.25


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
        # Level at the last report of another node. Later draws of others are
        # unknown, so the current level may be too high.
        self._reported_level: float | None = None

    @property
    def nodes(self) -> int:
        """Number of nodes that draw from the bucket."""
        return self._nodes

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

    def enter(self, credit: float = 0.0) -> None:
        """Starts rationing; called when the bucket is exhausted.

        Args:
          credit: Units that this node has at first; negative if it has to earn
            more before the next request.
        """
        if not self._active:
            self._active = True
            self._credit = credit

    def on_reported_level(self, level: float) -> None:
        """Sets the level of the whole bucket after a report."""
        self._reported_level = level

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
    ) -> float:
        """Applies elapsed time.

        Args:
          elapsed_s: Time since the last call, in seconds.
          inflow: Units that the bucket has received in that time.
          level: Level of the whole bucket.
          burst: Capacity of the bucket in units.

        Returns:
          Units of the inflow that this node may count on.
        """
        part = self.part(burst)
        earned = inflow * part
        if self._active:
            earned *= self._inflow_factor(level, burst) if level > 0 else 0.0
            self._credit += earned
        if self._active and level > 0:
            unused = RELEASE_FRACTION * burst
            if level >= unused and self._credit >= unused * part:
                self._active = False
        fade = math.exp(-elapsed_s / PART_AVERAGE_S)
        self._own_draws *= fade
        self._all_draws *= fade
        return earned

    def part(self, burst: float) -> float:
        """Returns this node's part of the inflow, from 0 to 1.

        One burst, divided equally between the nodes, is added to the recent
        draws, so that a node without draws earns a part as well.
        """
        total = self._all_draws + burst
        if total <= 0:
            return 1 / self._nodes
        return (self._own_draws + burst / self._nodes) / total

    def _inflow_factor(self, level: float, burst: float) -> float:
        """Returns the units to earn per unit of the inflow."""
        if self._reported_level is not None:
            level = min(level, max(0.0, self._reported_level))
        offset = (level - TARGET_FRACTION * burst) / (LEVEL_RANGE * burst)
        return min(MAX_INFLOW_FACTOR, 1.0 + offset)
