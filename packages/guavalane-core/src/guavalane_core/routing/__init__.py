"""Choice of the endpoint for a request."""

from __future__ import annotations

from guavalane_core.lazy_exports import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "ejection": ("OutlierEjector",),
        "policies": (
            "POLICIES",
            "Policy",
        ),
        "preferences": ("keep_preferred",),
        "prefix_aware": ("PrefixAware",),
        "prefix_index": (
            "CacheChange",
            "CacheEvent",
            "PrefixIndex",
        ),
        "subset": ("choose_subset",),
        "view": ("EndpointView",),
    },
)
