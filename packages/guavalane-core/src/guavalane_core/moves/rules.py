"""Rules that judge a new version, by name.

A rule turns the figures of both versions on one route into the table that
`SequentialTest` takes.
"""

from __future__ import annotations

from typing import Protocol

import attrs

from guavalane_core.moves.evidence import (
    BUCKET_COUNT,
    AttemptCounts,
    bucket_limit_s,
)
from guavalane_core.moves.sequential import TOLERATED_ODDS
from guavalane_core.registry import Registry

# Quantile of the old version above which an attempt counts as slow. In the far
# tail a slowdown of a tenth would already triple the odds.
SLOW_QUANTILE = 0.75
# Odds ratio of slow attempts that is tolerated; with times spread by a third,
# a version that takes 1.35 times as long reaches it.
SLOW_TOLERATED_ODDS = 4.0
# Attempts of the old version needed before that quantile is used.
QUANTILE_SAMPLES = 50
# Part of the earlier windows that counts in the next, so that the quantile
# follows the load; 0.95 covers about 20 windows.
QUANTILE_DECAY = 0.95


@attrs.frozen
class Table:
    """Events and attempts of both versions in one window.

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
    """Judges one property on one route."""

    @property
    def text(self) -> str:
        """What is compared, in plain words."""

    @property
    def counts_warm_up(self) -> bool:
        """Whether the first windows of a move count."""

    @property
    def tolerated_odds(self) -> float:
        """Odds ratio up to which a version counts as good."""

    def table(self, new: AttemptCounts, old: AttemptCounts) -> Table:
        """Returns the table of one window; called once per window."""


RULES: Registry[type[Rule]] = Registry("judging rule")


@RULES.register("errors")
class ErrorRule:
    """Compares failed attempts."""

    text = "attempts that fail"
    counts_warm_up = True
    tolerated_odds = TOLERATED_ODDS

    def table(self, new: AttemptCounts, old: AttemptCounts) -> Table:
        """Returns failed attempts among all."""
        return Table(new.requests, new.errors, old.requests, old.errors)


@RULES.register("rejections")
class RejectionRule:
    """Compares answers with a 4xx status, which callers' mistakes cause too."""

    text = "answers with a 4xx status"
    counts_warm_up = True
    tolerated_odds = TOLERATED_ODDS

    def table(self, new: AttemptCounts, old: AttemptCounts) -> Table:
        """Returns rejected attempts among all."""
        return Table(new.requests, new.rejected, old.requests, old.rejected)


class _SlowRule:
    """Compares times above a quantile of the old version's earlier windows.

    The limit comes from earlier windows only, so that it does not depend on
    the window that is judged.
    """

    # A version that starts has empty caches, which is no fault.
    counts_warm_up = False
    tolerated_odds = SLOW_TOLERATED_ODDS

    def __init__(self) -> None:
        self._seen = [0.0] * BUCKET_COUNT

    def _buckets(self, figures: AttemptCounts) -> list[int]:
        raise NotImplementedError

    def _limit(self) -> int | None:
        total = sum(self._seen)
        if total < QUANTILE_SAMPLES:
            return None
        below = 0.0
        for index, count in enumerate(self._seen):
            below += count
            if below >= SLOW_QUANTILE * total:
                return index
        return None

    @property
    def limit_s(self) -> float | None:
        """Time above which an attempt counts as slow, in seconds."""
        limit = self._limit()
        return None if limit is None else bucket_limit_s(limit)

    def table(self, new: AttemptCounts, old: AttemptCounts) -> Table:
        """Returns slow attempts among all."""
        limit = self._limit()
        new_buckets, old_buckets = self._buckets(new), self._buckets(old)
        self._seen = [
            seen * QUANTILE_DECAY + count
            for seen, count in zip(self._seen, old_buckets, strict=True)
        ]
        if limit is None:
            return Table()
        return Table(
            sum(new_buckets),
            sum(new_buckets[limit + 1 :]),
            sum(old_buckets),
            sum(old_buckets[limit + 1 :]),
        )


@RULES.register("latency")
class LatencyRule(_SlowRule):
    """Compares times to the first token or to the answer."""

    text = "attempts with a slow first token or answer"

    def _buckets(self, figures: AttemptCounts) -> list[int]:
        return figures.latency


@RULES.register("token_gap")
class TokenGapRule(_SlowRule):
    """Compares mean times between the events of streams."""

    text = "streams with slow tokens"

    def _buckets(self, figures: AttemptCounts) -> list[int]:
        return figures.gaps
