"""Endpoint selection for requests."""

from __future__ import annotations

from guavalane_core.lazy_exports import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "ejection": ("OutlierEjector",),
        "policies": ("Policy",),
        "preferences": ("filter_preferred",),
        # This module registers the last of the policies.
        "prefix_aware": ("POLICIES", "PrefixAware"),
        "prefix_index": (
            "CacheChange",
            "CacheEvent",
            "PrefixIndex",
        ),
        "subset": ("choose_subset",),
        "view": ("EndpointView",),
    },
)
