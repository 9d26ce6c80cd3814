"""Sequential comparison of a new version with the old one.

Each window yields a contingency table with the events and attempts of both
versions. Conditional on the total number of events, the events of the new
version follow Fisher's noncentral hypergeometric distribution, whose only
parameter is the odds ratio of the versions. The shared event rate, which varies
with load and time of day, cancels out, so a fault that affects both versions
does not lead to a rejection.
"""

from __future__ import annotations

import math

# Default odds ratio up to which a new version is accepted.
TOLERATED_ODDS = 2.0
# Alternative hypotheses as multiples of the tolerated odds ratio, with equal
# weights.
ALTERNATIVE_FACTORS = (2.0, 8.0, 128.0)
# Events per window above which the table is scaled down to bound the cost of
# the computation; scaling can only weaken the evidence.
MAX_EVENTS = 200


def _log_choose(n: int, k: int) -> float:
    return math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)


def _log_sum(values: list[float]) -> float:
    top = max(values)
    return top + math.log(sum(math.exp(v - top) for v in values))


def log_likelihood_ratios(
    new_total: int,
    new_events: int,
    old_total: int,
    old_events: int,
    tolerated_odds: float = TOLERATED_ODDS,
) -> list[float]:
    """Returns the log likelihood ratio of each alternative odds ratio.

    The null hypothesis is the tolerated odds ratio. All results are 0 for a
    table without information, such as one without events or with one version.
    """
    events = new_events + old_events
    if events > MAX_EVENTS:
        scale = MAX_EVENTS / events
        # Events of the new version are rounded down, in its favour.
        new_events = int(new_events * scale)
        old_events = MAX_EVENTS - new_events
        new_total = max(new_events, round(new_total * scale))
        old_total = max(old_events, round(old_total * scale))
        events = MAX_EVENTS
    low = max(0, events - old_total)
    high = min(events, new_total)
    if low >= high:
        return [0.0] * len(ALTERNATIVE_FACTORS)
    weights = [
        _log_choose(new_total, k) + _log_choose(old_total, events - k)
        for k in range(low, high + 1)
    ]

    def log_norm(odds: float) -> float:
        log_odds = math.log(odds)
        return _log_sum(
            [w + k * log_odds for k, w in enumerate(weights, start=low)]
        )

    def log_likelihood(odds: float) -> float:
        return new_events * math.log(odds) - log_norm(odds)

    base = log_likelihood(tolerated_odds)
    return [
        log_likelihood(tolerated_odds * factor) - base
        for factor in ALTERNATIVE_FACTORS
    ]


class SequentialTest:
    """Tests whether the odds ratio of an event exceeds the tolerated one.

    The evidence is a mixture of products of likelihood ratios, over the
    alternative odds ratios and over the window in which a fault begins. For a
    version within the tolerance it is a supermartingale that starts at 1. By
    Ville's inequality it exceeds 1/a at any time with a probability of at most
    a, however often it is evaluated. The mixture over the first window makes
    faults detectable that begin after a long period of good evidence.

    Args:
      tolerated_odds: Odds ratio up to which a version is accepted.
    """

    def __init__(self, tolerated_odds: float = TOLERATED_ODDS) -> None:
        self._tolerated_odds = tolerated_odds
        self._windows = 0
        # Log evidence per alternative odds ratio.
        self._logs = [-math.inf] * len(ALTERNATIVE_FACTORS)

    @property
    def windows(self) -> int:
        """Number of windows that contained information."""
        return self._windows

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the evidence."""
        # Weight of faults that begin in a future window.
        rest = math.log(1 / (self._windows + 1))
        mixed = _log_sum(self._logs) if self._windows else -math.inf
        return _log_sum([rest, mixed - math.log(len(ALTERNATIVE_FACTORS))])

    def update(
        self,
        new_total: int,
        new_events: int,
        old_total: int,
        old_events: int,
    ) -> None:
        """Adds the table of one window.

        Args:
          new_total: Attempts of the new version.
          new_events: Events among them.
          old_total: Attempts of the old version.
          old_events: Events among them.
        """
        ratios = log_likelihood_ratios(
            new_total,
            new_events,
            old_total,
            old_events,
            self._tolerated_odds,
        )
        if not any(ratios):
            return
        self._windows += 1
        # The weights 1/(n(n+1)) of a fault that begins in window n sum to 1, so
        # the length of a move need not be bounded.
        entry = -math.log(self._windows * (self._windows + 1))
        self._logs = [
            _log_sum([log, entry]) + ratio
            for log, ratio in zip(self._logs, ratios, strict=True)
        ]


def pass_evidence(
    new_total: int,
    new_events: int,
    old_total: int,
    old_events: int,
    tolerance: float,
    tolerated_odds: float = TOLERATED_ODDS,
) -> float:
    """Returns the log evidence that the new version is within tolerance.

    The evidence is the likelihood ratio of the old version's rate against the
    lowest rate that is not accepted: the rate at the tolerated odds ratio plus
    the tolerance. A bad version therefore passes with a probability of about
    exp(-evidence), and a version without traffic has no evidence.

    Args:
      new_total: Attempts of the new version.
      new_events: Events among them.
      old_total: Attempts of the old version.
      old_events: Events among them.
      tolerance: Accepted increase of the rate, 0 to 1.
      tolerated_odds: Odds ratio up to which a version is accepted.
    """
    if not new_total or not old_total:
        return 0.0
    good = (old_events + 0.5) / (old_total + 1)
    bad_odds = tolerated_odds * good / (1 - good)
    bad = min(0.999, bad_odds / (1 + bad_odds) + tolerance)
    if bad <= good:
        return 0.0
    return new_events * math.log(good / bad) + (
        new_total - new_events
    ) * math.log((1 - good) / (1 - bad))
