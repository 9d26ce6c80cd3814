"""Failure detection between entry nodes."""

from __future__ import annotations

from guavalane_core.lazy_exports import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "commands": (
            "Changed",
            "ClockJumped",
            "CloseLink",
            "Send",
        ),
        "machine": (
            "TICK_S",
            "Membership",
        ),
        "member": (
            "Member",
            "State",
        ),
        "relays": (
            "choose_relays",
            "rank_relays",
            "read_rank",
        ),
    },
)
