"""Rate limits of organisations, shared by all nodes."""

from __future__ import annotations

from guavalane_core.allotments.allotment import SharedAllotment
from guavalane_core.allotments.ledger import AllotmentLedger

__all__ = ["AllotmentLedger", "SharedAllotment"]
