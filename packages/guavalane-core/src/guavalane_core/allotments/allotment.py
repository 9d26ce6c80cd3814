"""Token bucket of one organisation, shared by all nodes."""

from __future__ import annotations

import math

from guavalane_core.allotments.contention import Contention


class SharedAllotment:
    """One node's replica of a token bucket that all nodes draw from.

    Each node tracks the level of the whole bucket: it deducts its own draws
    immediately and those of other nodes when they report them. While some
    nodes are not heard, it also tracks the level of the share that belongs to
    the reachable nodes, because the others may draw the rest unseen. Once the
    bucket is exhausted, the nodes ration its inflow; see `Contention`.

    Args:
      rate_per_s: Units added per second.
      burst: Capacity of the bucket in units.
      now_s: Monotonic time in seconds.
      empty_s: Monotonic time at which the bucket may have been empty, in
          seconds. Earlier processes may have drawn all of it just before they
          ended.
    """

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now_s: float,
        empty_s: float = -math.inf,
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        inflow = rate_per_s * max(0.0, now_s - empty_s)
        self._total_level = self._own_level = min(burst, inflow)
        # Whether the draws of earlier processes are known.
        self._is_known = self._total_level >= burst
        self._refilled_s = now_s
        self._share = 1.0
        self._contention = Contention()

    @property
    def level(self) -> float:
        """Units that this node can draw, as of the last call."""
        return self._own_level

    @property
    def burst(self) -> float:
        """Capacity of the whole bucket in units."""
        return self._burst

    def set_limits(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Changes the limits without refunding past draws.

        A debt from before the change takes no longer to pay back than under the
        previous rate.
        """
        self._refill(now_s)
        debt_factor = min(1.0, rate_per_s / self._rate_per_s)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._total_level = min(
            max(self._total_level, self._total_level * debt_factor), burst
        )
        self._own_level = min(
            max(self._own_level, self._own_level * debt_factor), self._capacity
        )

    def set_share(self, share: float, now_s: float) -> None:
        """Sets the share of the bucket that this node can rely on.

        The share applies to the current level as well as to the refill rate,
        because unreachable nodes can draw from both unseen. When more nodes
        become reachable, their draws are known, so the remainder of their
        share becomes available.

        Args:
          share: Fraction of the nodes that are reachable; 1 if all report.
          now_s: Monotonic time in seconds.
        """
        self._refill(now_s)
        gained_units = max(0.0, share - self._share) * self._burst
        self._share = share
        if share >= 1:
            self._own_level = self._total_level
        else:
            level = min(self._own_level + gained_units, self._total_level)
            self._own_level = min(level, self._capacity)

    def set_nodes(self, nodes: int) -> None:
        """Sets the number of nodes that draw from the bucket."""
        self._contention.set_nodes(nodes)

    def try_draw(self, units: float, now_s: float) -> float:
        """Draws units if they are available.

        A request larger than the capacity is admitted when the bucket is full.
        While the bucket is rationed, a request is admitted on any credit, and
        the node pays back what its credit did not cover.

        Returns:
          0 if the units were drawn, otherwise the time in seconds until they
          are available.
        """
        self._refill(now_s)
        missing = min(units, self._capacity) - self._own_level
        if self._contention.active:
            available = min(self._own_level, self._contention.credit)
            debt = max(0.0, -self._own_level)
            missing = (
                0.0 if available > 0 else min(units, self._capacity) + debt
            )
        if missing <= 0:
            self._add(-units)
            self._contention.add_draw(units, own=True)
            return 0.0
        inflow_per_s = self._rate_per_s * self._share
        return missing / inflow_per_s if inflow_per_s > 0 else float("inf")

    def adopt_level(self, level: float, now_s: float) -> None:
        """Applies the level that a process reports which started earlier.

        The first one replaces the lowest possible level; of further ones, the
        lowest counts.
        """
        self._refill(now_s)
        if not self._is_known:
            self._is_known = True
            gained = max(0.0, min(level, self._burst) - self._total_level)
            self._add(gained)
        self._total_level = min(self._total_level, level)
        self._own_level = min(self._own_level, level)

    def level_at(self, now_s: float) -> float:
        """Returns the level of the whole bucket."""
        self._refill(now_s)
        return self._total_level

    def deduct_reported(self, units: float, now_s: float) -> None:
        """Deducts units that another node has drawn.

        The level can fall below zero by any amount: nodes that draw at the same
        time learn of each other's draws only afterwards, and the organisation
        has to pay them all back.
        """
        self._refill(now_s)
        self._add(-units)
        self._contention.add_draw(units, own=False)
        if self._total_level <= 0:
            self._contention.enter()

    def refund(self, units: float, now_s: float, *, own: bool = True) -> None:
        """Refunds the units of a request that has not run.

        Args:
          units: Units that were drawn for it.
          now_s: Monotonic time in seconds.
          own: Whether this node drew them.
        """
        self._refill(now_s)
        self._add(units)
        self._contention.add_draw(-units, own=own)

    @property
    def _capacity(self) -> float:
        """Maximum level of this node's share, in units."""
        return self._burst * self._share

    def _add(self, units: float) -> None:
        self._total_level = min(self._burst, self._total_level + units)
        self._own_level = min(self._capacity, self._own_level + units)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        inflow = elapsed_s * self._rate_per_s
        self._total_level = min(self._burst, self._total_level + inflow)
        self._own_level = min(
            self._capacity, self._own_level + inflow * self._share
        )
        self._contention.advance(
            elapsed_s, inflow * self._share, self._total_level, self._burst
        )
