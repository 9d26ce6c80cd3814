"""Decision whether a slow request gets a hedged attempt."""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs


class Suppression(enum.Enum):
    """Why no hedged attempt is made for a slow request."""

    # The node stops.
    STOPPING = "stopping"
    # Its response has begun.
    RESPONDING = "responding"
    # The first attempt may be crashing its endpoint.
    POSSIBLE_CRASH = "possible_crash"
    # The request may run on no further endpoint.
    MAX_ENDPOINTS = "max_endpoints"
    # Another attempt could not end before the deadline.
    TIME_LEFT = "time_left"
    # Hedged attempts would exceed their share of the requests.
    HEDGE_LIMIT = "hedge_limit"
    RETRY_BUDGET = "retry_budget"
    # The load of the service reaches the slots of its endpoints.
    SERVICE_FULL = "service_full"
    # No other endpoint has a free slot.
    NO_ENDPOINT = "no_endpoint"


@attrs.frozen(kw_only=True)
class HedgeSituation:
    """What a node knows when the delay of a request has passed.

    The defaults are for callers to which a condition does not apply.

    Attributes:
      stopping: Whether the node stops.
      responding: Whether the response has begun.
      possible_crash: Whether the first attempt may be crashing its endpoint.
      runs_left: Whether the request may run on one more endpoint beside the
          attempt that runs.
      time_left: Whether another attempt can end before the deadline.
      hedge_limit_left: Whether the limit of hedged attempts allows one more.
      retry_budget_left: Whether the retry budget allows one more attempt.
      service_full: Whether the known load reaches the slots of the endpoints.
      has_endpoint: Whether another endpoint has a free slot.
    """

    stopping: bool = False
    responding: bool = False
    possible_crash: bool = False
    runs_left: bool = True
    time_left: bool = True
    hedge_limit_left: bool = True
    retry_budget_left: bool = True
    service_full: bool = False
    has_endpoint: bool = True


Condition = Callable[[HedgeSituation], bool]

# Conditions under which a hedged attempt is suppressed, in the order in which
# they are named as the reason.
_CONDITIONS: dict[Suppression, Condition] = {}


def _suppresses(reason: Suppression) -> Callable[[Condition], Condition]:
    """Returns a decorator that registers the condition for a reason."""

    def add(condition: Condition) -> Condition:
        _CONDITIONS[reason] = condition
        return condition

    return add


def find_suppression(situation: HedgeSituation) -> Suppression | None:
    """Returns why no hedged attempt is made; None if one is made."""
    for reason, applies in _CONDITIONS.items():
        if applies(situation):
            return reason
    return None


@_suppresses(Suppression.STOPPING)
def _is_stopping(situation: HedgeSituation) -> bool:
    return situation.stopping


@_suppresses(Suppression.RESPONDING)
def _is_responding(situation: HedgeSituation) -> bool:
    return situation.responding


@_suppresses(Suppression.POSSIBLE_CRASH)
def _may_be_a_crash(situation: HedgeSituation) -> bool:
    return situation.possible_crash


@_suppresses(Suppression.MAX_ENDPOINTS)
def _has_no_run_left(situation: HedgeSituation) -> bool:
    return not situation.runs_left


@_suppresses(Suppression.TIME_LEFT)
def _has_no_time_left(situation: HedgeSituation) -> bool:
    return not situation.time_left


@_suppresses(Suppression.HEDGE_LIMIT)
def _exceeds_the_limit(situation: HedgeSituation) -> bool:
    return not situation.hedge_limit_left


@_suppresses(Suppression.RETRY_BUDGET)
def _exceeds_the_retry_budget(situation: HedgeSituation) -> bool:
    return not situation.retry_budget_left


@_suppresses(Suppression.SERVICE_FULL)
def _is_full(situation: HedgeSituation) -> bool:
    return situation.service_full


@_suppresses(Suppression.NO_ENDPOINT)
def _has_no_endpoint(situation: HedgeSituation) -> bool:
    return not situation.has_endpoint
