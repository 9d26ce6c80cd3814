"""Clients of the platform's object API."""

from __future__ import annotations

from guavalane_core.lazy_exports import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "api": (
            "MetadataEvent",
            "ObjectApi",
            "ObjectBatch",
            "ObjectEvent",
            "ObjectMetadata",
            "PollableObjectApi",
            "StatusApi",
            "StoredObject",
        ),
        "budget": (
            "BudgetedObjectApi",
            "PriorityObjectApi",
        ),
        "memory": ("MemoryObjectApi",),
        "position": (
            "Position",
            "era_of",
        ),
        "writer": ("ConditionalWriter",),
    },
)
