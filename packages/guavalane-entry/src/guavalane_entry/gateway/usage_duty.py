"""Reporting of the usage of each window."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from guavalane_core.exceptions import ObjectApiError, ObjectNotFoundError
from guavalane_core.leases import LeaseHolder
from guavalane_core.objects import ConditionalWriter, StoredObject, era_of
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
      era: Era of the object API in which they were stored.
    """

    window: int
    counts: dict[str, int]
    era: int

    @classmethod
    def from_body(cls, body: Mapping[str, Any]) -> _FinalizedWindow:
        """Parses a stored body; those of earlier builds have no era."""
        return cls(body["window"], dict(body["counts"]), body.get("era", 0))


@DUTIES.register("usage")
class UsageDuty:
    """Stores the counts of a window in the object API, then reports them.

    A new duty holder reads the counts that its predecessor may have reported
    and reports exactly the same ones. If the object API has come back from an
    older copy, the counts of later windows are lost. The holder that stored
    them still knows them; another one reports no window that its predecessor
    may have reported, as its own counts could differ.

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
        # Object that is replaced next; None if there is none.
        self._stored: StoredObject | None = None
        self._loaded = False
        self._reported: int | None = None
        # Windows up to this one may have been reported with lost counts.
        self._lost_window: int | None = None

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
            self._stored = await self._api.get(KIND, NAME)
            found = _FinalizedWindow.from_body(self._stored.body)
            era = era_of(self._stored.version)
        except ObjectNotFoundError as error:
            self._stored = found = None
            era = error.era
        self._view.store_era.observe(era)
        known = self._finalized
        if known is None and (found is None or found.era < era):
            self._lost_window = self._newest_window(self._view.store_era.age_s)
        if known is None or (found is not None and found.window > known.window):
            self._finalized = found
        elif found is None or found.window < known.window:
            # The lease was held since these counts were stored.
            self._log.event("usage.kept", window=known.window, era=era)
        self._loaded = True

    def _newest_window(self, age_s: float = 0.0) -> int:
        """Returns the newest window that is settled, or was some time ago."""
        wait_s = settle_time_s(
            self._view.node_count, self._view.settings.usage_due_s
        )
        now_s = self._view.clock.now() - age_s
        return self._view.usage.window_at(now_s - wait_s) - 1

    def _next_window(self) -> int | None:
        usage = self._view.usage
        newest = self._newest_window()
        if self._finalized is None:
            window = usage.oldest_window(newest)
        else:
            # Windows whose counts all nodes have discarded cannot be reported.
            window = max(
                self._finalized.window + 1, newest - usage.retained_windows
            )
        if window is not None and self._lost_window is not None:
            window = max(window, self._lost_window + 1)
        return window if window is not None and window <= newest else None

    async def _finalize(self, window: int) -> None:
        counts = self._view.usage.total(window)
        era = self._view.store_era.era
        body: dict[str, Any] = {"window": window, "counts": counts, "era": era}
        try:
            if self._stored is None:
                stored = await self._writer.create(KIND, NAME, body)
            else:
                stored = await self._writer.update(self._stored, body)
        except ObjectApiError:
            # This write or that of another holder may have taken effect, or
            # the object API may have lost it; the object is read again.
            self._loaded = False
            raise
        self._stored = stored
        self._finalized = _FinalizedWindow(window, counts, era)

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
