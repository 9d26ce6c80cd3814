"""Evidence on the failure rate of a new version on one route.

The old version's rate is not known exactly: its attempts on a rare route are
few. The likelihoods are therefore averaged over the rates that those attempts
allow.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

# Attempts of the new version from which on a route is evaluated by itself.
# Routes with fewer ones are evaluated together.
MIN_ROUTE_ATTEMPTS = 8
# Log evidence against the new version at which routes are held back that have
# fewer attempts even together.
RARE_ROUTES_DOUBT = math.log(20.0)
# Rates over which likelihoods are averaged, in the middle of equal intervals.
_GRID = tuple((index + 0.5) / 100 for index in range(100))
# Attempts and events of a prior distribution that prefers no rate (Jeffreys).
_PRIOR = 0.5
# Difference of two rates in standard errors above which they are not the same.
_MAX_DEVIATION = 2.0


@attrs.frozen
class Events:
    """Attempts of one version, and the events among them.

    Attributes:
      total: Number of attempts.
      events: Number of failed ones, or of other events that are compared.
    """

    total: int = 0
    events: int = 0

    def plus(self, other: Events) -> Events:
        """Returns the sum of both."""
        return Events(self.total + other.total, self.events + other.events)

    @property
    def rate(self) -> float:
        """Estimate of the rate, above 0 and below 1."""
        return (self.events + _PRIOR) / (self.total + 2 * _PRIOR)


# Events of the new and of the old version, by rule and route.
FailureTables = Mapping[tuple[str, str], tuple[Events, Events]]


def weak_route(tables: FailureTables, fault_rate: float, needed: float) -> str:
    """Describes a route on which the new version may fail; empty if none.

    A fault on a rare route disappears in the evidence of all routes, so each
    route needs evidence of its own.

    Args:
      tables: Events of both versions.
      fault_rate: Fraction of the attempts that fail for a fault, 0 to 1.
      needed: Log evidence that each route requires.
    """
    rare: dict[str, tuple[Events, Events]] = {}
    for (rule, route), (new, old) in tables.items():
        if new.total < MIN_ROUTE_ATTEMPTS:
            rare_new, rare_old = rare.get(rule, (Events(), Events()))
            rare[rule] = (rare_new.plus(new), rare_old.plus(old))
        elif sound_evidence(new, old, fault_rate) < needed:
            return f"evidence of rule {rule} on {route}"
    for rule, (new, old) in rare.items():
        is_known = new.total >= MIN_ROUTE_ATTEMPTS
        limit = needed if is_known else -RARE_ROUTES_DOUBT
        if sound_evidence(new, old, fault_rate) < limit:
            return f"evidence of rule {rule} on rare routes"
    return ""


def combine_old(during: Events, before: Events) -> Events:
    """Returns the attempts of the old version that estimate its rate.

    Attempts before the move count unless the rate has changed since, such as by
    a fault that both versions share.

    Args:
      during: Attempts during the move.
      before: Attempts before the move.
    """
    if not during.total or not before.total:
        return during.plus(before)
    pooled = during.plus(before).rate
    variance = pooled * (1 - pooled) * (1 / during.total + 1 / before.total)
    deviation = abs(during.rate - before.rate) / math.sqrt(variance)
    return during if deviation > _MAX_DEVIATION else during.plus(before)


def sound_evidence(new: Events, old: Events, fault_rate: float) -> float:
    """Returns the log evidence that the new version fails no more often.

    It is the likelihood ratio of the old version's rate against that of a
    version with a fault. A version with that fault reaches an evidence of x
    with a probability of at most exp(-x).

    Args:
      new: Attempts of the new version.
      old: Attempts of the old version.
      fault_rate: Fraction of the attempts that fail for the fault, 0 to 1.
    """
    weights = [
        _log_likelihood(old.events - _PRIOR, old.total - 2 * _PRIOR, rate)
        for rate in _GRID
    ]
    sound = [
        weight + _log_likelihood(new.events, new.total, rate)
        for weight, rate in zip(weights, _GRID, strict=True)
    ]
    faulty = [
        weight
        + _log_likelihood(new.events, new.total, _faulty_rate(rate, fault_rate))
        for weight, rate in zip(weights, _GRID, strict=True)
    ]
    return _log_sum(sound) - _log_sum(faulty)


def attempts_needed(old: Events, fault_rate: float) -> float:
    """Returns the attempts that tell a fault on a route, up to a factor.

    It is the usual sample size for the difference of two rates: a fault is
    harder to tell where the old version fails as well.

    Args:
      old: Attempts of the old version.
      fault_rate: Fraction of the attempts that fail for the fault, 0 to 1.
    """
    rate = old.rate
    faulty = _faulty_rate(rate, fault_rate)
    deviation = math.sqrt(rate * (1 - rate)) + math.sqrt(faulty * (1 - faulty))
    return (deviation / (faulty - rate)) ** 2


def _faulty_rate(rate: float, fault_rate: float) -> float:
    return rate + (1 - rate) * fault_rate


def _log_likelihood(events: float, total: float, rate: float) -> float:
    return events * math.log(rate) + (total - events) * math.log1p(-rate)


def _log_sum(values: list[float]) -> float:
    largest = max(values)
    return largest + math.log(sum(math.exp(v - largest) for v in values))
