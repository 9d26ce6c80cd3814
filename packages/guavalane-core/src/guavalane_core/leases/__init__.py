"""Leases with fencing numbers, stored in the object API."""

from __future__ import annotations

from guavalane_core.lazy_exports import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "candidates": ("choose_candidates",),
        "holder": (
            "DEFAULT_DURATION_S",
            "Lease",
            "LeaseHolder",
        ),
    },
)
