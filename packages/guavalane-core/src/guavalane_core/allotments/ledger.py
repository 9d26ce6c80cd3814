"""Allotments of all organisations on one node."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from guavalane_core.allotments.allotment import SharedAllotment
from guavalane_core.forwarding.configuration import Organisation
from guavalane_core.forwarding.request import Prompt


def request_units(organisation: Organisation, prompt: Prompt | None) -> int:
    """Returns what a request counts against its organisation's allotment."""
    if not organisation.counts_tokens:
        return 1
    if prompt is None:
        return organisation.plain_tokens
    return prompt.input_tokens + prompt.max_output_tokens


class AllotmentLedger:
    """Draws from allotments and exchanges totals with other nodes.

    Args:
      over_ratio: Part of each rate that is admitted besides.
      over_burst: Units of each allotment that are admitted besides.
    """

    def __init__(
        self, over_ratio: float = 0.0, over_burst: float = 0.0
    ) -> None:
        self.set_tolerance(over_ratio, over_burst)
        self._allotments: dict[str, SharedAllotment] = {}
        self._drawn: dict[str, int] = {}
        self._configured = False
        # Totals of other nodes by name and incarnation.
        self._reported: dict[str, tuple[int, dict[str, int]]] = {}

    @property
    def drawn(self) -> Mapping[str, int]:
        """Units that this process has drawn, by organisation."""
        return self._drawn

    def set_tolerance(self, over_ratio: float, over_burst: float) -> None:
        """Changes the tolerance; it holds from the next configuration on."""
        self._over_ratio = over_ratio
        self._over_burst = over_burst

    def set_organisations(
        self, organisations: Sequence[Organisation], now_s: float
    ) -> None:
        """Takes the limits of a configuration."""
        self._configured = True
        limited = {o.name: o for o in organisations if o.rate_per_s > 0}
        for name in list(self._allotments):
            if name not in limited:
                del self._allotments[name]
        for name, organisation in limited.items():
            limits = (
                organisation.rate_per_s * (1 + self._over_ratio),
                organisation.burst + self._over_burst,
            )
            if name in self._allotments:
                self._allotments[name].set_limits(*limits, now_s)
            else:
                self._allotments[name] = SharedAllotment(*limits, now_s)

    def set_share(self, part: float, now_s: float) -> None:
        """Sets the part of each inflow that this node may count on."""
        for allotment in self._allotments.values():
            allotment.set_share(part, now_s)

    def try_draw(self, name: str, units: int, now_s: float) -> float:
        """Draws units of an organisation; see `SharedAllotment.try_draw`."""
        allotment = self._allotments.get(name)
        if allotment is None:
            return 0.0
        wait_s = allotment.try_draw(units, now_s)
        if wait_s == 0:
            self._drawn[name] = self._drawn.get(name, 0) + units
        return wait_s

    def refund(self, name: str, units: int, now_s: float) -> None:
        """Returns units of a request that has not run and never will."""
        allotment = self._allotments.get(name)
        if allotment is None or name not in self._drawn:
            return
        allotment.refund(units, now_s)
        self._drawn[name] -= units

    def level(self, name: str) -> float:
        """Returns the units in a bucket at the last draw; 0 without one."""
        allotment = self._allotments.get(name)
        return allotment.level if allotment is not None else 0.0

    def levels(self, now_s: float) -> dict[str, float]:
        """Returns the units in each bucket, by organisation."""
        return {
            name: allotment.level_at(now_s)
            for name, allotment in self._allotments.items()
        }

    def has_report(self, node: str, incarnation: int) -> bool:
        """Returns whether the totals of a process are known."""
        known = self._reported.get(node)
        return known is not None and known[0] == incarnation

    def set_baseline(
        self,
        node: str,
        incarnation: int,
        totals: Mapping[str, int],
        levels: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Takes the first report of a process that is older than this one.

        What it has drawn so far was drawn before, and most of it has flowed in
        again. The levels that it knows tell what is left.
        """
        if not self._configured:
            return
        for name, level in levels.items():
            allotment = self._allotments.get(name)
            if allotment is not None:
                allotment.cap_level(level, now_s)
        self._reported[node] = (incarnation, dict(totals))

    def report(
        self,
        node: str,
        incarnation: int,
        totals: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Takes off what another node has drawn since its last report.

        Before the limits are known, reports are not taken; totals are told
        again.
        """
        if not self._configured:
            return
        known = self._reported.get(node)
        if known is None or known[0] != incarnation:
            known = (incarnation, {})
        for name, total in totals.items():
            units = total - known[1].get(name, 0)
            allotment = self._allotments.get(name)
            if allotment is None or units == 0:
                continue
            if units > 0:
                allotment.deduct_reported(units, now_s)
            else:
                allotment.refund(-units, now_s)
        self._reported[node] = (incarnation, dict(totals))
