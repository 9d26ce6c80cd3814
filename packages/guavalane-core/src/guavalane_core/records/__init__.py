"""Records of durable requests."""

from __future__ import annotations

from guavalane_core.records.outcomes import (
    Accepted,
    Adopted,
    AdoptionLost,
    DurableRequest,
    Finished,
    NotFinished,
    NotRecorded,
    Record,
)
from guavalane_core.records.store import RecordStore

__all__ = [
    "Accepted",
    "Adopted",
    "AdoptionLost",
    "DurableRequest",
    "Finished",
    "NotFinished",
    "NotRecorded",
    "Record",
    "RecordStore",
]
