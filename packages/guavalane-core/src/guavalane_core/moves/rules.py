"""Registry of the rules that compare a new version with the old one.

A rule converts the counts of both versions on one route to the contingency
table that `SequentialTest` requires.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs

from guavalane_core.moves.evidence import (
    BUCKET_COUNT,
    AttemptCounts,
    bucket_upper_bound_s,
)
from guavalane_core.moves.sequential import TOLERATED_ODDS
from guavalane_core.registry import Registry

# Latency quantile of the old version above which an attempt is slow. At a
# quantile in the far tail, a slowdown of 10 % would already triple the odds.
SLOW_QUANTILE = 0.75
# Tolerated odds ratio of slow attempts. If latencies vary by a third, a version
# that is 1.35 times as slow reaches it.
SLOW_TOLERATED_ODDS = 4.0
# Attempts of the old version required to estimate the quantile from earlier
# windows, and to use the attempts of one window.
MIN_QUANTILE_SAMPLES = 50
MIN_WINDOW_SAMPLES = 20
# Weight of past samples after each window, so that the quantile adapts to the
# load; 0.95 averages over about 20 windows.
QUANTILE_DECAY = 0.95


@attrs.frozen
class ContingencyTable:
    """Contingency table of both versions in one window.

    Attributes:
      new_total: Attempts of the new version.
      new_events: Events among them.
      old_total: Attempts of the old version.
      old_events: Events among them.
    """

    new_total: int = 0
    new_events: int = 0
    old_total: int = 0
    old_events: int = 0


class Rule(Protocol):
    """Compares one property of both versions on one route."""

    @property
    def text(self) -> str:
        """Human-readable name of the events that are compared."""

    @property
    def counts_warm_up(self) -> bool:
        """Whether windows in the warm-up are compared."""

    @property
    def tolerated_odds(self) -> float:
        """Odds ratio up to which a version is accepted."""

    def table(self, new: AttemptCounts, old: AttemptCounts) -> ContingencyTable:
        """Returns the table of one window that can reject the new version.

        Must be called once per window.
        """

    def acceptance_table(
        self, new: AttemptCounts, old: AttemptCounts
    ) -> ContingencyTable:
        """Returns the table of one window that can accept the new version.

        Must be called before `table`.
        """


RULES: Registry[type[Rule]] = Registry("judging rule")
# Names of the rules.
ERRORS, REJECTIONS = "errors", "rejections"
LATENCY, TOKEN_GAP = "latency", "token_gap"
# Rules that count events of attempts, and those that compare times.
COUNT_RULES = (ERRORS, REJECTIONS)
SLOW_RULES = (LATENCY, TOKEN_GAP)


class _CountRule:
    """Compares the rates of events that are counted directly."""

    counts_warm_up = True
    tolerated_odds = TOLERATED_ODDS

    def table(self, new: AttemptCounts, old: AttemptCounts) -> ContingencyTable:
        """Returns the table of the events."""
        raise NotImplementedError

    def acceptance_table(
        self, new: AttemptCounts, old: AttemptCounts
    ) -> ContingencyTable:
        """Returns the same table."""
        return self.table(new, old)


@RULES.register(ERRORS)
class ErrorRule(_CountRule):
    """Compares the rates of failed attempts."""

    text = "attempts that fail"

    def table(self, new: AttemptCounts, old: AttemptCounts) -> ContingencyTable:
        """Returns the table of failed attempts."""
        return ContingencyTable(
            new.requests, new.errors, old.requests, old.errors
        )


@RULES.register(REJECTIONS)
class RejectionRule(_CountRule):
    """Compares the rates of 4xx responses, which clients can cause as well."""

    text = "answers with a 4xx status"

    def table(self, new: AttemptCounts, old: AttemptCounts) -> ContingencyTable:
        """Returns the table of rejected attempts."""
        return ContingencyTable(
            new.requests, new.rejected, old.requests, old.rejected
        )


class _SlowRule:
    """Compares the rates of slow attempts.

    An attempt is slow above a latency quantile of the old version. For a
    rejection the quantile is estimated from earlier windows only, so that it is
    independent of the window that is compared. For an acceptance it is that of
    the same window if possible: while latencies rise for both versions, nearly
    all attempts exceed an earlier quantile, which decides nothing.
    """

    # A version that has just started is slower because its caches are empty.
    counts_warm_up = False
    tolerated_odds = SLOW_TOLERATED_ODDS

    def __init__(self) -> None:
        self._seen = [0.0] * BUCKET_COUNT

    def _buckets(self, counts: AttemptCounts) -> list[int]:
        raise NotImplementedError

    def _limit(self) -> int | None:
        if sum(self._seen) < MIN_QUANTILE_SAMPLES:
            return None
        return _slow_limit(self._seen)

    @property
    def limit_s(self) -> float | None:
        """Latency above which an attempt is slow, in seconds."""
        limit = self._limit()
        return None if limit is None else bucket_upper_bound_s(limit)

    def table(self, new: AttemptCounts, old: AttemptCounts) -> ContingencyTable:
        """Returns the table of slow attempts."""
        limit = self._limit()
        new_buckets, old_buckets = self._buckets(new), self._buckets(old)
        # On a rare route, each window has fewer samples than the decay removes.
        kept = MIN_QUANTILE_SAMPLES / max(MIN_QUANTILE_SAMPLES, sum(self._seen))
        decay = max(QUANTILE_DECAY, kept)
        self._seen = [
            seen * decay + count
            for seen, count in zip(self._seen, old_buckets, strict=True)
        ]
        return _slow_table(new_buckets, old_buckets, limit)

    def acceptance_table(
        self, new: AttemptCounts, old: AttemptCounts
    ) -> ContingencyTable:
        """Returns the table of attempts that are slow for their window."""
        new_buckets, old_buckets = self._buckets(new), self._buckets(old)
        if sum(old_buckets) >= MIN_WINDOW_SAMPLES:
            # A limit from the old attempts alone would be fitted to them, and
            # the new version would seem slower.
            limit = _nearest_limit(
                [a + b for a, b in zip(new_buckets, old_buckets, strict=True)]
            )
        elif self._limit() is None:
            limit = None
        else:
            limit = _nearest_limit(self._seen)
        return _slow_table(new_buckets, old_buckets, limit)


def _slow_limit(buckets: Sequence[float]) -> int | None:
    """Returns the index of the bucket that holds the slow quantile."""
    target = SLOW_QUANTILE * sum(buckets)
    below = 0.0
    for index, count in enumerate(buckets):
        below += count
        if below >= target:
            return index
    return None


def _nearest_limit(buckets: Sequence[float]) -> int | None:
    """Returns the bucket whose upper bound is nearest to the slow quantile.

    Where one bucket holds many attempts, the bucket with the quantile varies
    with the sample, and so does the rate of slow attempts.
    """
    index = _slow_limit(buckets)
    if index is None:
        return None
    target = SLOW_QUANTILE * sum(buckets)
    below = sum(buckets[:index])
    is_nearer_below = target - below < below + buckets[index] - target
    return index - 1 if below and is_nearer_below else index


def _slow_table(
    new: Sequence[int], old: Sequence[int], limit: int | None
) -> ContingencyTable:
    """Returns the table of attempts above a bucket; empty without a limit."""
    if limit is None:
        return ContingencyTable()
    return ContingencyTable(
        sum(new), sum(new[limit + 1 :]), sum(old), sum(old[limit + 1 :])
    )


@RULES.register(LATENCY)
class LatencyRule(_SlowRule):
    """Compares the time to the first token or response."""

    text = "attempts with a slow first token or answer"

    def _buckets(self, counts: AttemptCounts) -> list[int]:
        return counts.latency


@RULES.register(TOKEN_GAP)
class TokenGapRule(_SlowRule):
    """Compares the mean time between the events of a stream."""

    text = "streams with slow tokens"

    def _buckets(self, counts: AttemptCounts) -> list[int]:
        return counts.gaps
