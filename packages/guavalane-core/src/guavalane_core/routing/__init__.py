"""Endpoint selection for requests."""

from __future__ import annotations

from guavalane_core.routing.ejection import OutlierEjector
from guavalane_core.routing.policies import POLICIES, Policy
from guavalane_core.routing.preferences import filter_preferred
from guavalane_core.routing.prefix_aware import PrefixAware
from guavalane_core.routing.prefix_index import (
    CacheChange,
    CacheEvent,
    PrefixIndex,
)
from guavalane_core.routing.subset import choose_subset
from guavalane_core.routing.view import EndpointView

__all__ = [
    "POLICIES",
    "CacheChange",
    "CacheEvent",
    "EndpointView",
    "OutlierEjector",
    "Policy",
    "PrefixAware",
    "PrefixIndex",
    "choose_subset",
    "filter_preferred",
]
