"""The allotment of one organisation as one node accounts for it."""

from __future__ import annotations


class SharedAllotment:
    """Token bucket from which all nodes draw.

    Each node keeps the level of the whole bucket: it takes its own use off at
    once and the use of others when they report it. While some nodes are not
    heard, it also keeps the level of the part that the heard ones may count on,
    since the others draw from the rest unseen.

    Args:
      rate_per_s: Units that flow in per second.
      burst: Units that the bucket holds.
      now_s: Monotonic time in seconds.
    """

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._whole = burst
        self._level = burst
        self._filled_s = now_s
        self._part = 1.0

    @property
    def level(self) -> float:
        """Units that this node may draw, as of the last call."""
        return self._level

    def set_limits(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Changes the limits; what was drawn stays drawn."""
        self._fill(now_s)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._whole = min(self._whole, burst)
        self._level = min(self._level, self._capacity)

    def set_share(self, part: float, now_s: float) -> None:
        """Sets the part of the bucket that this node may count on.

        What lies in the bucket is shared as well: others may draw it unseen.
        Once more nodes are heard, what they have drawn is known, and the rest
        of their part may be drawn.

        Args:
          part: 1 while all nodes report, else the part of the nodes that do.
          now_s: Monotonic time in seconds.
        """
        self._fill(now_s)
        gained = max(0.0, part - self._part) * self._burst
        self._part = part
        if part >= 1:
            self._level = self._whole
        else:
            level = min(self._level + gained, self._whole)
            self._level = min(level, self._capacity)

    def try_draw(self, units: float, now_s: float) -> float:
        """Draws units, or returns how long the caller has to wait.

        A request larger than the whole bucket is admitted once it is full.

        Returns:
          0 if the units were drawn, else the time in seconds until they are
          there.
        """
        self._fill(now_s)
        missing = min(units, self._capacity) - self._level
        if missing <= 0:
            self._add(-units)
            return 0.0
        inflow_per_s = self._rate_per_s * self._part
        return missing / inflow_per_s if inflow_per_s > 0 else float("inf")

    def cap_level(self, level: float, now_s: float) -> None:
        """Takes the level that another node knows, if it is lower."""
        self._fill(now_s)
        self._whole = min(self._whole, level)
        self._level = min(self._level, level)

    def level_at(self, now_s: float) -> float:
        """Returns the units in the whole bucket at a time."""
        self._fill(now_s)
        return self._whole

    def deduct_reported(self, units: float, now_s: float) -> None:
        """Takes off what another node has drawn."""
        self._fill(now_s)
        self._add(-units)
        self._whole = max(self._whole, -self._burst)
        self._level = max(self._level, -self._burst)

    def refund(self, units: float, now_s: float) -> None:
        """Returns what was drawn for a request that has not run."""
        self._fill(now_s)
        self._add(units)

    @property
    def _capacity(self) -> float:
        """Units that this node may hold at once."""
        return self._burst * self._part

    def _add(self, units: float) -> None:
        self._whole = min(self._burst, self._whole + units)
        self._level = min(self._capacity, self._level + units)

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        inflow = elapsed_s * self._rate_per_s
        self._whole = min(self._burst, self._whole + inflow)
        self._level = min(self._capacity, self._level + inflow * self._part)
