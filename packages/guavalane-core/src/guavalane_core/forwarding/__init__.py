"""Routing and retry decisions for requests that are forwarded unchanged."""

from __future__ import annotations

from guavalane_core.forwarding.attempt import (
    AttemptOutcome,
    Decision,
    decide_next,
)
from guavalane_core.forwarding.configuration import (
    CallerLimits,
    Delivery,
    Engine,
    ForwardingConfiguration,
    Organisation,
    Replicas,
    Route,
    Service,
    ServiceShare,
)
from guavalane_core.forwarding.directory import EndpointDirectory
from guavalane_core.forwarding.durations import RouteDurations
from guavalane_core.forwarding.endpoint import Endpoint
from guavalane_core.forwarding.events import EventSplitter, StreamEvent
from guavalane_core.forwarding.request import (
    CallerRequest,
    Prompt,
    PromptPart,
)
from guavalane_core.forwarding.retries import SharedRetryBudget
from guavalane_core.forwarding.routes import RouteTable
from guavalane_core.forwarding.version_move import MovePhase, VersionMove

__all__ = [
    "AttemptOutcome",
    "CallerLimits",
    "CallerRequest",
    "Decision",
    "Delivery",
    "Endpoint",
    "EndpointDirectory",
    "Engine",
    "EventSplitter",
    "ForwardingConfiguration",
    "MovePhase",
    "Organisation",
    "Prompt",
    "PromptPart",
    "Replicas",
    "Route",
    "RouteDurations",
    "RouteTable",
    "Service",
    "ServiceShare",
    "SharedRetryBudget",
    "StreamEvent",
    "VersionMove",
    "decide_next",
]
