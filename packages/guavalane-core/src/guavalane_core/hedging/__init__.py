"""Second attempts at requests whose first attempt is slow."""

from __future__ import annotations

from guavalane_core.hedging.budget import HedgeBudget
from guavalane_core.hedging.decision import (
    HedgeSituation,
    Suppression,
    find_suppression,
)
from guavalane_core.hedging.delays import FirstResponseTimes, delay_quantile

__all__ = [
    "FirstResponseTimes",
    "HedgeBudget",
    "HedgeSituation",
    "Suppression",
    "delay_quantile",
    "find_suppression",
]
