"""Division of a node's part of an allotment between routes by urgency."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

import attrs

# Time constant of the average of the demand, in seconds. Bursts last from 2 s.
DEMAND_AVERAGE_S = 2.0
# Demand below this, in units per second, is forgotten.
MIN_DEMAND_PER_S = 0.01
# Time for which units are kept for the demand of more urgent classes, in
# seconds.
RESERVE_S = 1.0
# Fraction of the inflow that the classes divide equally regardless of urgency,
# so that none starves. Calls cost a tenth of a short prompt, so that a class of
# calls is served whole from its part.
FLOOR_FRACTION = 0.25
# Factor on the demand up to which a class is served before less urgent ones.
# The average lags behind the start of a burst.
DEMAND_HEADROOM = 1.5
# Time for which a class can save its inflow, in seconds.
SAVED_S = 0.5


@attrs.frozen(order=True)
class DrawClass:
    """Requests that draw with the same urgency; a lower one goes first.

    Attributes:
      priority: Priority of the route; 0 is the most urgent.
      objective_s: Latency objective of the route in seconds.
    """

    priority: int
    objective_s: float


@attrs.define
class _ClassState:
    """Demand and credit of one class.

    Attributes:
      demand_per_s: Recent demand in units per second.
      credit: Units that the class may draw.
      earned_per_s: Units per second that it earned last.
      last_units: Size of its last request in units.
    """

    demand_per_s: float = 0.0
    credit: float = 0.0
    earned_per_s: float = 0.0
    last_units: float = 0.0


def divide_equally(units: float, wanted: Sequence[float]) -> list[float]:
    """Divides units by max-min fairness.

    Nobody gets more than is wanted, and what some do not want is divided
    equally among the others.
    """
    given = [0.0] * len(wanted)
    for count, i in enumerate(
        sorted(range(len(wanted)), key=wanted.__getitem__)
    ):
        given[i] = min(wanted[i], units / (len(wanted) - count))
        units -= given[i]
    return given


class ClassCredits:
    """Credits of the classes of one organisation at one node.

    A part of the inflow is divided equally, up to the demand of each class. The
    rest goes to the classes in the order of their urgency, up to their recent
    demand with some headroom. A class with credit admits requests of any size
    and pays back what the credit did not cover, so that no size is favoured.

    Args:
      rng: Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._states: dict[DrawClass, _ClassState] = {}
        # Time and inflow that are not divided yet, in seconds and units.
        self._elapsed_s = 0.0
        self._inflow = 0.0

    def add_demand(
        self, draw_class: DrawClass, units: float, *, rationed: bool
    ) -> None:
        """Counts a request, whether it draws or not.

        Args:
          draw_class: Urgency of the request.
          units: Units of the request.
          rationed: Whether the inflow is rationed. A class without recent
            demand then starts with a debt, as in `start_rationing`.
        """
        self._settle()
        state = self._states.get(draw_class)
        if state is None:
            state = self._states[draw_class] = _ClassState()
            if rationed:
                state.credit = -units * self._rng.random()
            self._states = dict(sorted(self._states.items()))
        state.demand_per_s += units / DEMAND_AVERAGE_S
        state.last_units = units

    def start_rationing(self) -> float:
        """Sets the credits with which rationing starts; returns their sum.

        With the same credit, all nodes would admit a large request at the
        moment when the bucket has paid its debt. Each class starts as if it
        had drawn some time ago.
        """
        self._settle()
        for state in self._states.values():
            state.credit = -state.last_units * self._rng.random()
        return sum(state.credit for state in self._states.values())

    def reserve(self, draw_class: DrawClass) -> float:
        """Returns the units to keep for more urgent classes."""
        return RESERVE_S * sum(
            state.demand_per_s
            for other, state in self._states.items()
            if other < draw_class
        )

    def credit(self, draw_class: DrawClass) -> float:
        """Returns the units that a class may draw."""
        return self._states[draw_class].credit

    def earned_per_s(self, draw_class: DrawClass) -> float:
        """Returns the units per second that a class earned last."""
        return self._states[draw_class].earned_per_s

    def draw(self, draw_class: DrawClass, units: float, ahead: bool) -> None:
        """Deducts units that a class draws.

        Args:
          draw_class: Urgency of the request.
          units: Units of the request.
          ahead: Whether they are drawn ahead of the inflow of the class. If
            not, a class without credit draws units that no more urgent class
            needs, and they are not charged to its credit.
        """
        state = self._states[draw_class]
        if ahead or state.credit >= 0:
            state.credit -= units

    def refund(self, draw_class: DrawClass, units: float) -> None:
        """Returns the units of a request that has not run."""
        state = self._states.get(draw_class)
        if state is not None:
            saved = max(state.credit, self._max_saved(state))
            state.credit = min(saved, state.credit + units)

    def advance(self, elapsed_s: float, inflow: float) -> None:
        """Adds the inflow of some time, to be divided at the next request.

        Args:
          elapsed_s: Time since the last call, in seconds.
          inflow: Units that this node has received in that time.
        """
        self._elapsed_s += elapsed_s
        self._inflow += inflow

    def _settle(self) -> None:
        elapsed_s, self._elapsed_s = self._elapsed_s, 0.0
        inflow, self._inflow = self._inflow, 0.0
        if elapsed_s <= 0 or not self._states:
            return
        if inflow > 0:
            self._divide(elapsed_s, inflow)
        self._fade(elapsed_s)

    def _divide(self, elapsed_s: float, inflow: float) -> None:
        states = list(self._states.values())
        wanted = [
            DEMAND_HEADROOM * state.demand_per_s * elapsed_s for state in states
        ]
        floors = divide_equally(FLOOR_FRACTION * inflow, wanted)
        left = inflow - sum(floors)
        for state, want, floor in zip(states, wanted, floors, strict=True):
            earned = floor + min(left, want - floor)
            state.earned_per_s = earned / elapsed_s
            # What a class cannot save is left to less urgent ones.
            room = max(0.0, self._max_saved(state) - state.credit)
            given = min(earned, room)
            state.credit += given
            left -= given - floor

    def _max_saved(self, state: _ClassState) -> float:
        return max(1.0, SAVED_S * state.earned_per_s)

    def _fade(self, elapsed_s: float) -> None:
        fade = math.exp(-elapsed_s / DEMAND_AVERAGE_S)
        for draw_class, state in list(self._states.items()):
            state.demand_per_s *= fade
            if state.demand_per_s < MIN_DEMAND_PER_S:
                del self._states[draw_class]


class ReturnTimes:
    """Times at which callers of rejected requests are asked to return.

    Each rejected request is assigned the time at which its units have flowed
    in after those of the requests that were rejected shortly before, so that
    those that return do not all fail again.
    """

    def __init__(self) -> None:
        self._taken_until_s: dict[DrawClass, float] = {}

    def retry_after_s(
        self,
        draw_class: DrawClass,
        units: float,
        units_per_s: float,
        now_s: float,
        wait_s: float,
        max_s: float,
    ) -> float:
        """Returns the time after which a caller should return, in seconds.

        Args:
          draw_class: Urgency of the request.
          units: Units of the request.
          units_per_s: Units per second that its class can draw.
          now_s: Monotonic time in seconds.
          wait_s: Time until a single request could draw, in seconds.
          max_s: Longest time that is of use to the caller, in seconds.
        """
        if wait_s >= max_s or units_per_s <= 0:
            return max_s
        first_s = now_s + wait_s
        start_s = max(first_s, self._taken_until_s.get(draw_class, first_s))
        if start_s > now_s + max_s:
            # More units were rejected than can flow in by then. Returns are
            # spread evenly over the time that remains.
            start_s = first_s
        self._taken_until_s[draw_class] = start_s + units / units_per_s
        return start_s - now_s
