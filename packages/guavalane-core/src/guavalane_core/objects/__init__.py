"""Clients of the platform's object API."""

from __future__ import annotations

from guavalane_core.objects.api import (
    MetadataEvent,
    ObjectApi,
    ObjectBatch,
    ObjectEvent,
    ObjectMetadata,
    PollableObjectApi,
    StatusApi,
    StoredObject,
)
from guavalane_core.objects.budget import (
    BudgetedObjectApi,
    PriorityObjectApi,
)
from guavalane_core.objects.memory import MemoryObjectApi
from guavalane_core.objects.position import Position, era_of
from guavalane_core.objects.writer import ConditionalWriter

__all__ = [
    "BudgetedObjectApi",
    "ConditionalWriter",
    "MemoryObjectApi",
    "MetadataEvent",
    "ObjectApi",
    "ObjectBatch",
    "ObjectEvent",
    "ObjectMetadata",
    "PollableObjectApi",
    "Position",
    "PriorityObjectApi",
    "StatusApi",
    "StoredObject",
    "era_of",
]
