"""Reports the usage of each window once."""

from __future__ import annotations

from typing import Any

import attrs

from guavalane_core.exceptions import ObjectApiError, ObjectNotFoundError
from guavalane_core.leases import LeaseHolder
from guavalane_core.objects import ConditionalWriter, StoredObject
from guavalane_entry.gateway.duties import DUTIES, DutyContext
from guavalane_entry.gateway.reports import report_period_s

KIND = "usage"
NAME = "reported"
# Periods of reports after the end of a window until all nodes have told their
# counts: one report may be lost, and each node's period has a phase and a
# jitter of its own.
SETTLE_PERIODS = 4
# Part of the time until the usage is due that may be spent on waiting.
SETTLE_PART = 0.5


def settle_s(nodes: int, due_s: float) -> float:
    """Returns the time from the end of a window until its figures are fixed.

    Args:
      nodes: Nodes that report.
      due_s: Time after its end at which the usage is due, in seconds.
    """
    return min(SETTLE_PERIODS * report_period_s(nodes), SETTLE_PART * due_s)


@attrs.frozen
class _Frozen:
    """Figures of the newest window, fixed before they are reported.

    Attributes:
      window: Number of the window.
      counts: Requests by organisation.
      stored: Object that holds them.
    """

    window: int
    counts: dict[str, int]
    stored: StoredObject


@DUTIES.register("usage")
class UsageDuty:
    """Fixes the figures of a window in the object API, then reports them.

    A successor finds the figures that its predecessor may have reported, and
    repeats exactly these.

    Args:
      context: What duties work with.
    """

    def __init__(self, context: DutyContext) -> None:
        self._view = context.view
        self._api = context.api
        self._writer = ConditionalWriter(context.api)
        self._cloud = context.cloud
        self._log = context.log
        self._frozen: _Frozen | None = None
        self._loaded = False
        self._reported: int | None = None

    async def step(self, lease: LeaseHolder) -> None:
        """Reports what is due."""
        if not self._loaded:
            await self._load()
        if self._frozen is not None and self._frozen.window != self._reported:
            await self._report(lease, self._frozen)
        window = self._next_window()
        if window is not None:
            lease.require()
            await self._freeze(window)
            await self._report(lease, self._frozen)

    async def _load(self) -> None:
        try:
            stored = await self._api.get(KIND, NAME)
        except ObjectNotFoundError:
            stored = None
        if stored is not None:
            self._frozen = _Frozen(
                stored.body["window"], dict(stored.body["counts"]), stored
            )
        self._loaded = True

    def _next_window(self) -> int | None:
        usage = self._view.usage
        wait_s = settle_s(
            self._view.node_count, self._view.settings.usage_due_s
        )
        newest = usage.window_at(self._view.clock.now() - wait_s) - 1
        if self._frozen is None:
            return usage.oldest_window(newest)
        window = self._frozen.window + 1
        # Windows for which no node has counts any more cannot be reported.
        window = max(window, newest - usage.retained_windows)
        return window if window <= newest else None

    async def _freeze(self, window: int) -> None:
        counts = self._view.usage.total(window)
        body: dict[str, Any] = {"window": window, "counts": counts}
        try:
            if self._frozen is None:
                stored = await self._writer.create(KIND, NAME, body)
            else:
                stored = await self._writer.update(self._frozen.stored, body)
        except ObjectApiError:
            # The write may have taken effect, or another holder's has; what is
            # stored decides.
            self._loaded = False
            raise
        self._frozen = _Frozen(window, counts, stored)

    async def _report(self, lease: LeaseHolder, frozen: _Frozen) -> None:
        number = lease.require()
        await self._cloud.report_usage(number, frozen.window, frozen.counts)
        self._reported = frozen.window
        self._log.event(
            "usage.reported",
            window=frozen.window,
            counts=frozen.counts,
            number=number,
            late_s=round(
                self._view.clock.now() - self._view.usage.end_of(frozen.window),
                2,
            ),
        )
