"""Configuration shared by all entry nodes."""

from __future__ import annotations

from guavalane_core.configuration.changes import apply_delta, make_delta
from guavalane_core.configuration.generated import (
    Configuration,
    Deployment,
    Endpoint,
    FleetRules,
    MoveOutcome,
    MoveRule,
    Organisation,
    Route,
    Version,
)
from guavalane_core.configuration.state import ConfigurationState
from guavalane_core.configuration.validation import parse_configuration

__all__ = [
    "Configuration",
    "ConfigurationState",
    "Deployment",
    "Endpoint",
    "FleetRules",
    "MoveOutcome",
    "MoveRule",
    "Organisation",
    "Route",
    "Version",
    "apply_delta",
    "make_delta",
    "parse_configuration",
]
