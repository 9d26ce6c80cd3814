"""Admission control and retry limits."""

from __future__ import annotations

from guavalane_core.lazy_exports import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "backoff": ("Backoff",),
        "budget": ("RetryBudget",),
        "concurrency": ("ConcurrencyLimit",),
        "queue": (
            "FairQueue",
            "Ticket",
        ),
        "shedder": (
            "ShedDecision",
            "Shedder",
        ),
    },
)
