"""Token bucket of one organisation, shared by all nodes."""

from __future__ import annotations

import enum
import math
import random

import attrs

from guavalane_core.allotments.classes import (
    ClassCredits,
    DrawClass,
    ReturnTimes,
)
from guavalane_core.allotments.contention import TARGET_FRACTION, Contention

# Largest fraction of the bucket that is kept for more urgent requests while it
# is not rationed.
MAX_RESERVE_FRACTION = 0.25


class DrawReason(enum.Enum):
    """Reason of the decision on a draw."""

    AVAILABLE = "available"
    EXHAUSTED = "exhausted"
    RESERVED = "reserved"


@attrs.frozen
class Draw:
    """Decision on a request that asks for units.

    Attributes:
      is_drawn: Whether the units were drawn.
      wait_s: Time until the units have flowed in, in seconds; a request whose
          units were drawn ahead of the inflow waits for that time.
      reason: `AVAILABLE` if nothing is short, `RESERVED` if the units that
          are left are kept for more urgent requests.
    """

    is_drawn: bool
    wait_s: float = 0.0
    reason: DrawReason = DrawReason.AVAILABLE


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
      rng: Random number generator.
    """

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now_s: float,
        empty_s: float = -math.inf,
        rng: random.Random | None = None,
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
        self._classes = ClassCredits(rng or random.Random())
        self._return_times = ReturnTimes()

    @property
    def is_rationed(self) -> bool:
        """Whether the nodes ration the inflow."""
        return self._contention.active

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

    def draw(
        self,
        units: float,
        draw_class: DrawClass,
        now_s: float,
        max_wait_s: float = 0.0,
    ) -> Draw:
        """Draws units if they are not kept for more urgent requests.

        Where nothing is short, it admits what `try_draw` admits. A request
        that may wait long enough draws its units ahead of the inflow, so that
        no later one overtakes it.

        Args:
          units: Units of the request.
          draw_class: Urgency of the request.
          now_s: Monotonic time in seconds.
          max_wait_s: Longest time that the request can wait, in seconds.
        """
        self._refill(now_s)
        self._classes.add_demand(
            draw_class, units, rationed=self._contention.active
        )
        needed = min(units, self._capacity)
        if (
            self._own_level < needed
            and not self._contention.active
            and not self._ration_alone(needed)
        ):
            missing = needed - self._own_level
            return Draw(
                False, self._inflow_time_s(missing), DrawReason.EXHAUSTED
            )
        wait_s, reason = self._class_wait_s(units, draw_class)
        # The limit does not depend on the size, or the largest would starve.
        can_borrow = self._own_level >= TARGET_FRACTION * self._capacity
        if wait_s > max_wait_s or (wait_s > 0 and not can_borrow):
            return Draw(False, wait_s, reason)
        self._add(-units)
        self._contention.add_draw(units, own=True)
        self._classes.draw(draw_class, units, wait_s > 0)
        return Draw(True, wait_s, reason)

    def retry_after_s(
        self,
        units: float,
        draw_class: DrawClass,
        now_s: float,
        wait_s: float,
        max_s: float,
    ) -> float:
        """Returns when the caller of a rejected request should return.

        Args:
          units: Units of the request.
          draw_class: Urgency of the request.
          now_s: Monotonic time in seconds.
          wait_s: Time until the request could have drawn, in seconds.
          max_s: Longest time that is of use to the caller, in seconds.

        Returns:
          Time in seconds, which is longer the more units were rejected
          shortly before.
        """
        return self._return_times.retry_after_s(
            draw_class,
            units,
            self._classes.earned_per_s(draw_class),
            now_s,
            wait_s,
            max_s,
        )

    def _ration_alone(self, needed: float) -> bool:
        """Starts rationing at the only node; returns whether it has.

        It draws no unit more than without rationing, since it first earns what
        is missing.

        Several nodes start when reports show that the bucket is exhausted. A
        node that does not know the draws of earlier processes may not be the
        only one.
        """
        alone = self._contention.nodes == 1 and self._share >= 1
        if alone and self._is_known:
            self._contention.enter(self._own_level - needed)
        return self._contention.active

    def _class_wait_s(
        self, units: float, draw_class: DrawClass
    ) -> tuple[float, DrawReason]:
        """Returns the time until a class may draw, and the reason."""
        if self._contention.active and self._own_level <= 0:
            missing = min(1.0, units) - self._own_level
            return self._inflow_time_s(missing), DrawReason.EXHAUSTED
        missing = self._missing_beyond_reserve(units, draw_class)
        if missing <= 0:
            return 0.0, DrawReason.AVAILABLE
        classes = self._classes
        debt = -classes.credit(draw_class)
        if debt <= 0:
            return 0.0, DrawReason.AVAILABLE
        earned_per_s = classes.earned_per_s(draw_class)
        wait_s = debt / earned_per_s if earned_per_s > 0 else math.inf
        return (
            min(wait_s, self._inflow_time_s(missing, self._part)),
            DrawReason.RESERVED,
        )

    def _missing_beyond_reserve(
        self, units: float, draw_class: DrawClass
    ) -> float:
        """Returns the units missing until anything is left for a class."""
        reserve = self._classes.reserve(draw_class)
        if self._contention.active:
            credit = self._contention.credit
            return reserve + 1.0 - credit if credit <= reserve else 0.0
        if reserve <= 0:
            return 0.0
        reserve = min(
            reserve / self._part, MAX_RESERVE_FRACTION * self._capacity
        )
        return reserve + min(units, self._capacity) - self._own_level

    @property
    def _part(self) -> float:
        return self._contention.part(self._burst)

    def _inflow_time_s(self, units: float, part: float = 1.0) -> float:
        inflow_per_s = self._rate_per_s * self._share * part
        return units / inflow_per_s if inflow_per_s > 0 else math.inf

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
        self._contention.on_reported_level(self._total_level)
        if self._total_level <= 0 and not self._contention.active:
            self._contention.enter(self._classes.start_rationing())

    def refund(
        self,
        units: float,
        now_s: float,
        *,
        own: bool = True,
        draw_class: DrawClass | None = None,
    ) -> None:
        """Refunds the units of a request that has not run.

        Args:
          units: Units that were drawn for it.
          now_s: Monotonic time in seconds.
          own: Whether this node drew them.
          draw_class: Urgency of the request, if this node drew by urgency.
        """
        self._refill(now_s)
        if draw_class is not None:
            self._classes.refund(draw_class, units)
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
        earned = self._contention.advance(
            elapsed_s, inflow * self._share, self._total_level, self._burst
        )
        self._classes.advance(elapsed_s, earned)
