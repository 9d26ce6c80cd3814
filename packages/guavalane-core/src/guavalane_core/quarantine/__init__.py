"""Quarantine of prompt parts and requests that crash endpoints."""

from __future__ import annotations

from guavalane_core.quarantine.crash import Crash
from guavalane_core.quarantine.evidence import CrashCount, CrashEvidence
from guavalane_core.quarantine.parts import RequestParts, draw_digest_key
from guavalane_core.quarantine.table import Quarantine, QuarantineTable

__all__ = [
    "Crash",
    "CrashCount",
    "CrashEvidence",
    "Quarantine",
    "QuarantineTable",
    "RequestParts",
    "draw_digest_key",
]
