"""At-most-once execution of calls."""

from __future__ import annotations

from guavalane_core.claims.outcomes import (
    Answered,
    Claim,
    ClaimOutcome,
    Granted,
    InProgress,
    KeyReused,
    Phase,
    Unavailable,
    Unresolved,
)
from guavalane_core.claims.store import ClaimStore, claim_name

__all__ = [
    "Answered",
    "Claim",
    "ClaimOutcome",
    "ClaimStore",
    "Granted",
    "InProgress",
    "KeyReused",
    "Phase",
    "Unavailable",
    "Unresolved",
    "claim_name",
]
