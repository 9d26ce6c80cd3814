"""Rate limits of organisations, shared by all nodes."""

from __future__ import annotations

from guavalane_core.allotments.allotment import (
    Draw,
    DrawReason,
    SharedAllotment,
)
from guavalane_core.allotments.classes import DrawClass
from guavalane_core.allotments.ledger import AllotmentLedger

__all__ = [
    "AllotmentLedger",
    "Draw",
    "DrawClass",
    "DrawReason",
    "SharedAllotment",
]
