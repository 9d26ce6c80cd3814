"""Configuration shared by all entry nodes."""

from __future__ import annotations

from guavalane_core.lazy_exports import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "changes": (
            "apply_delta",
            "make_delta",
        ),
        "generated": (
            "Configuration",
            "Deployment",
            "Endpoint",
            "FleetRules",
            "MoveOutcome",
            "MoveRule",
            "Organisation",
            "Route",
            "Version",
        ),
        "state": ("ConfigurationState",),
        "validation": ("parse_configuration",),
    },
)
