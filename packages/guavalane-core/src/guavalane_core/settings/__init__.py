"""Settings of one node, read from a JSON file with comments."""

from __future__ import annotations

from guavalane_core.settings.generated import (
    LimitSettings,
    Listen,
    LogSettings,
    NodeSettings,
    ObjectApiSettings,
)
from guavalane_core.settings.loader import load_settings, parse_settings

__all__ = [
    "LimitSettings",
    "Listen",
    "LogSettings",
    "NodeSettings",
    "ObjectApiSettings",
    "load_settings",
    "parse_settings",
]
