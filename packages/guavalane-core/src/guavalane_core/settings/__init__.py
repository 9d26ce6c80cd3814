"""Settings of one node, read from a JSON file with comments."""

from __future__ import annotations

from guavalane_core.lazy_exports import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "generated": (
            "LimitSettings",
            "Listen",
            "LogSettings",
            "NodeSettings",
            "ObjectApiSettings",
        ),
        "loader": (
            "load_settings",
            "parse_settings",
        ),
    },
)
