"""Reporting of the usage of each window."""

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
# Report periods after the end of a window until the counts of all nodes have
# arrived. Allows for one lost report and for the phase and the jitter of each
# node's period.
SETTLE_PERIODS = 4
# Largest fraction of the time until the usage is due that is spent waiting.
MAX_SETTLE_FRACTION = 0.5


def settle_time_s(nodes: int, due_s: float) -> float:
    """Returns the time from the end of a window until it is finalized.

    Args:
      nodes: Number of nodes that report.
      due_s: Time after its end by which the usage is due, in seconds.
    """
    return min(
        SETTLE_PERIODS * report_period_s(nodes), MAX_SETTLE_FRACTION * due_s
    )


@attrs.frozen
class _FinalizedWindow:
    """Counts of the newest window, stored before they are reported.

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
    """Stores the counts of a window in the object API, then reports them.

    A new duty holder reads the counts that its predecessor may have reported
    and reports exactly the same ones.

    Args:
      context: Dependencies of duties.
    """

    def __init__(self, context: DutyContext) -> None:
        self._view = context.view
        self._api = context.api
        self._writer = ConditionalWriter(context.api)
        self._cloud = context.cloud
        self._log = context.log
        self._finalized: _FinalizedWindow | None = None
        self._loaded = False
        self._reported: int | None = None

    async def step(self, lease: LeaseHolder) -> None:
        """Reports the windows that are due."""
        if not self._loaded:
            await self._load()
        if (
            self._finalized is not None
            and self._finalized.window != self._reported
        ):
            await self._report(lease, self._finalized)
        window = self._next_window()
        if window is not None:
            lease.require()
            await self._finalize(window)
            await self._report(lease, self._finalized)

    async def _load(self) -> None:
        try:
            stored = await self._api.get(KIND, NAME)
        except ObjectNotFoundError:
            stored = None
        if stored is not None:
            self._finalized = _FinalizedWindow(
                stored.body["window"], dict(stored.body["counts"]), stored
            )
        self._loaded = True

    def _next_window(self) -> int | None:
        usage = self._view.usage
        wait_s = settle_time_s(
            self._view.node_count, self._view.settings.usage_due_s
        )
        newest = usage.window_at(self._view.clock.now() - wait_s) - 1
        if self._finalized is None:
            return usage.oldest_window(newest)
        window = self._finalized.window + 1
        # Windows whose counts all nodes have discarded cannot be reported.
        window = max(window, newest - usage.retained_windows)
        return window if window <= newest else None

    async def _finalize(self, window: int) -> None:
        counts = self._view.usage.total(window)
        body: dict[str, Any] = {"window": window, "counts": counts}
        try:
            if self._finalized is None:
                stored = await self._writer.create(KIND, NAME, body)
            else:
                stored = await self._writer.update(self._finalized.stored, body)
        except ObjectApiError:
            # This write or that of another holder may have taken effect; the
            # stored object is authoritative.
            self._loaded = False
            raise
        self._finalized = _FinalizedWindow(window, counts, stored)

    async def _report(
        self, lease: LeaseHolder, finalized: _FinalizedWindow
    ) -> None:
        number = lease.require()
        await self._cloud.report_usage(
            number, finalized.window, finalized.counts
        )
        self._reported = finalized.window
        self._log.event(
            "usage.reported",
            window=finalized.window,
            counts=finalized.counts,
            number=number,
            late_s=round(
                self._view.clock.now()
                - self._view.usage.end_of(finalized.window),
                2,
            ),
        )
