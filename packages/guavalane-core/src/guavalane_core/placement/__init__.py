"""Endpoint selection for forwarded requests."""

from __future__ import annotations

from guavalane_core.placement.chooser import (
    Candidate,
    choose_endpoint,
    cost_endpoints,
    cost_engines,
    has_speeds,
    prefer_warm,
    rank_engines,
    sample_endpoints,
    shortlist,
)
from guavalane_core.placement.prefixes import PrefixDirectory
from guavalane_core.placement.rates import EngineRates
from guavalane_core.placement.server_load import (
    ServerLoad,
    ServerLoads,
    has_room,
)
from guavalane_core.placement.work import Work, WorkTable

__all__ = [
    "Candidate",
    "EngineRates",
    "PrefixDirectory",
    "ServerLoad",
    "ServerLoads",
    "Work",
    "WorkTable",
    "choose_endpoint",
    "cost_endpoints",
    "cost_engines",
    "has_room",
    "has_speeds",
    "prefer_warm",
    "rank_engines",
    "sample_endpoints",
    "shortlist",
]
