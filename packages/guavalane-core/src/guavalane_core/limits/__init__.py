"""Admission control and retry limits."""

from __future__ import annotations

from guavalane_core.limits.backoff import Backoff
from guavalane_core.limits.budget import RetryBudget
from guavalane_core.limits.concurrency import ConcurrencyLimit
from guavalane_core.limits.queue import FairQueue, Ticket
from guavalane_core.limits.shedder import ShedDecision, Shedder

__all__ = [
    "Backoff",
    "ConcurrencyLimit",
    "FairQueue",
    "RetryBudget",
    "ShedDecision",
    "Shedder",
    "Ticket",
]
