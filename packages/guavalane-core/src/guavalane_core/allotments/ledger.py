"""Allotments of all organisations, as tracked by one node."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence

from guavalane_core.allotments.allotment import Draw, SharedAllotment
from guavalane_core.allotments.classes import DrawClass
from guavalane_core.forwarding.configuration import Organisation
from guavalane_core.forwarding.request import Prompt

# Level, as a fraction of the bucket, below which an allotment is nearly
# exhausted.
NEARLY_EXHAUSTED = 0.75
# Allotments of absent organisations that are kept. Each fills up within its
# burst divided by its rate, mostly seconds.
MAX_ABSENT = 1000


def request_units(organisation: Organisation, prompt: Prompt | None) -> int:
    """Returns the units that a request draws from the allotment."""
    if not organisation.counts_tokens:
        return 1
    if prompt is None:
        return organisation.plain_tokens
    return prompt.max_tokens


class AllotmentLedger:
    """Draws from allotments and applies the totals of other nodes.

    Args:
      tolerance_ratio: Additional fraction of each rate that is admitted.
      tolerance_burst: Additional units of each burst that are admitted.
      started_s: Monotonic time of the start of the process, in seconds; minus
          infinity if no process has run before.
      rng: Random number generator.
      tolerance_per_s: Additional units per second that are admitted.
    """

    def __init__(
        self,
        tolerance_ratio: float = 0.0,
        tolerance_burst: float = 0.0,
        started_s: float = -math.inf,
        rng: random.Random | None = None,
        tolerance_per_s: float = 0.0,
    ) -> None:
        self._rng = rng or random.Random()
        self.set_tolerance(tolerance_ratio, tolerance_burst, tolerance_per_s)
        self._started_s = started_s
        self._allotments: dict[str, SharedAllotment] = {}
        # Allotments of organisations that are missing from the configuration.
        self._absent: dict[str, SharedAllotment] = {}
        self._drawn: dict[str, int] = {}
        self._configured = False
        # Incarnation and reported totals by node.
        self._reported: dict[str, tuple[int, dict[str, int]]] = {}

    @property
    def drawn(self) -> Mapping[str, int]:
        """Total units drawn by this process, by organisation."""
        return self._drawn

    def set_tolerance(
        self,
        tolerance_ratio: float,
        tolerance_burst: float,
        tolerance_per_s: float = 0.0,
    ) -> None:
        """Changes the tolerance; applies from the next configuration."""
        self._tolerance_ratio = tolerance_ratio
        self._tolerance_burst = tolerance_burst
        self._tolerance_per_s = tolerance_per_s

    def set_organisations(
        self, organisations: Sequence[Organisation], now_s: float
    ) -> None:
        """Applies the limits of a configuration.

        The allotment of an organisation that is missing from it is kept until
        it is full. One that is new to this process may have been drawn from by
        an earlier process.
        """
        self._configured = True
        limited = {o.name: o for o in organisations if o.rate_per_s > 0}
        for name in self._allotments.keys() - limited.keys():
            self._absent[name] = self._allotments.pop(name)
        self._drop_absent(now_s)
        for name in self._absent.keys() & limited.keys():
            self._allotments[name] = self._absent.pop(name)
        for name, organisation in limited.items():
            limits = (
                organisation.rate_per_s * (1 + self._tolerance_ratio)
                + self._tolerance_per_s,
                organisation.burst + self._tolerance_burst,
            )
            if name in self._allotments:
                self._allotments[name].set_limits(*limits, now_s)
            else:
                self._allotments[name] = SharedAllotment(
                    *limits, now_s, self._started_s, self._rng
                )

    def _drop_absent(self, now_s: float) -> None:
        """Drops allotments of absent organisations that are full.

        Of too many others, those that are nearly full go first.
        """
        for name, allotment in list(self._absent.items()):
            if allotment.level_at(now_s) >= allotment.burst:
                del self._absent[name]
        excess = len(self._absent) - MAX_ABSENT
        if excess > 0:
            levels = {
                name: allotment.level_at(now_s) / allotment.burst
                for name, allotment in self._absent.items()
            }
            for name in sorted(levels, key=levels.get)[-excess:]:
                del self._absent[name]

    def _find(self, name: str) -> SharedAllotment | None:
        """Returns an allotment, also that of an absent organisation."""
        return self._allotments.get(name) or self._absent.get(name)

    def set_share(self, share: float, now_s: float) -> None:
        """Sets the share of each allotment that this node can rely on."""
        for allotment in (*self._allotments.values(), *self._absent.values()):
            allotment.set_share(share, now_s)

    def try_draw(self, name: str, units: int, now_s: float) -> float:
        """Draws units of an organisation; see `SharedAllotment.try_draw`."""
        allotment = self._allotments.get(name)
        if allotment is None:
            return 0.0
        # Nodes that have reported draws, and this one.
        allotment.set_nodes(len(self._reported) + 1)
        wait_s = allotment.try_draw(units, now_s)
        if wait_s == 0:
            self._drawn[name] = self._drawn.get(name, 0) + units
        return wait_s

    def draw(
        self,
        name: str,
        units: int,
        draw_class: DrawClass,
        now_s: float,
        max_wait_s: float = 0.0,
    ) -> Draw:
        """Draws units of an organisation; see `SharedAllotment.draw`."""
        allotment = self._allotments.get(name)
        if allotment is None:
            return Draw(True)
        allotment.set_nodes(len(self._reported) + 1)
        draw = allotment.draw(units, draw_class, now_s, max_wait_s)
        if draw.is_drawn:
            self._drawn[name] = self._drawn.get(name, 0) + units
        return draw

    def retry_after_s(
        self,
        name: str,
        units: int,
        draw_class: DrawClass,
        now_s: float,
        wait_s: float,
        max_s: float,
    ) -> float:
        """Returns when to return; see `SharedAllotment.retry_after_s`."""
        return self._allotments[name].retry_after_s(
            units, draw_class, now_s, wait_s, max_s
        )

    def rationed(self) -> dict[str, int]:
        """Returns 1 for each organisation whose inflow is rationed, else 0."""
        return {
            name: int(allotment.is_rationed)
            for name, allotment in self._allotments.items()
        }

    def refund(
        self,
        name: str,
        units: int,
        now_s: float,
        draw_class: DrawClass | None = None,
    ) -> None:
        """Refunds the units of a request that has not run and will not run."""
        allotment = self._find(name)
        if allotment is None or name not in self._drawn:
            return
        allotment.refund(units, now_s, draw_class=draw_class)
        self._drawn[name] -= units

    def level(self, name: str) -> float:
        """Returns the level at the last draw; 0 without an allotment."""
        allotment = self._allotments.get(name)
        return allotment.level if allotment is not None else 0.0

    def levels(self, now_s: float) -> dict[str, float]:
        """Returns the current level of each allotment, by organisation.

        It includes organisations that are missing from the configuration, which
        other nodes may still know.
        """
        return {
            name: allotment.level_at(now_s)
            for name, allotment in (self._absent | self._allotments).items()
        }

    def nearly_exhausted(self, now_s: float) -> list[str]:
        """Returns the organisations whose draws other nodes need to know soon.

        An allotment that is mostly full leaves room for draws that are not
        reported yet.
        """
        return [
            name
            for name, allotment in self._allotments.items()
            if allotment.level_at(now_s) < NEARLY_EXHAUSTED * allotment.burst
        ]

    def has_report(self, node: str, incarnation: int) -> bool:
        """Returns whether a process has reported its totals."""
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
        """Applies the first report of a process that started before this one.

        Its totals are a baseline and are not deducted, because most of the
        units have been refilled since they were drawn. Its levels show how
        many units are left.
        """
        if not self._configured:
            return
        for name, level in levels.items():
            allotment = self._find(name)
            if allotment is not None:
                allotment.adopt_level(level, now_s)
        self._reported[node] = (incarnation, dict(totals))

    def report(
        self,
        node: str,
        incarnation: int,
        totals: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Deducts the units that a node has drawn since its last report.

        Reports are ignored until the limits are known. Nothing is lost, because
        each report contains totals. Organisations that it does not name are
        unchanged.
        """
        if not self._configured:
            return
        known = self._reported.get(node)
        if known is None or known[0] != incarnation:
            known = (incarnation, {})
        for name, total in totals.items():
            units = total - known[1].get(name, 0)
            allotment = self._find(name)
            if allotment is None or units == 0:
                continue
            if units > 0:
                allotment.deduct_reported(units, now_s)
            else:
                allotment.refund(-units, now_s, own=False)
        self._reported[node] = (incarnation, {**known[1], **totals})
