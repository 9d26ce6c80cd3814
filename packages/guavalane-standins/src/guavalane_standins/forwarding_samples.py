"""Factories of forwarding objects with default values, for tests."""

from __future__ import annotations

from typing import Any

from guavalane_core.forwarding import (
    CallerLimits,
    CallerRequest,
    Delivery,
    Endpoint,
    Engine,
    ForwardingConfiguration,
    Organisation,
    Prompt,
    PromptPart,
    Route,
    Service,
    ServiceShare,
)
from guavalane_core.quarantine import RequestParts


def make_route(**changes: Any) -> Route:
    """Returns an at-most-once route; `changes` override its fields."""
    values = {
        "name": "r-1",
        "host": "app.example",
        "path_prefix": "/a/",
        "delivery": Delivery.AT_MOST_ONCE,
        "timeout_s": 1.0,
        "latency_objective_s": 0.4,
        "max_gap_s": 0.5,
        "priority": 1,
        "shares": (ServiceShare("app", 1.0),),
    }
    return Route(**{**values, **changes})


def make_endpoint(name: str = "e-1", **changes: Any) -> Endpoint:
    """Returns an endpoint of service `app`; `changes` override its fields."""
    values = {
        "endpoint_id": name,
        "service": "app",
        "address": "127.0.0.1:1",
        "zone": "zone-a",
        "version": "v1",
        "slots": 4,
    }
    return Endpoint(**{**values, **changes})


def make_prompt(tokens: int = 1000, context: str = "thing-1") -> Prompt:
    """Returns a prompt of a common part, a context part and a unique part."""
    return Prompt(
        model="m",
        input_tokens=tokens,
        max_output_tokens=100,
        parts=(
            PromptPart("common", tokens // 4),
            PromptPart(context, tokens // 2),
            PromptPart(f"{context}-own", tokens - tokens // 4 - tokens // 2),
        ),
    )


def make_caller_request(**changes: Any) -> CallerRequest:
    """Returns a request of a caller; `changes` override its fields."""
    values = {
        "request_id": "q-1",
        "method": "POST",
        "host": "app.example",
        "target": "/a/x",
        "headers": (),
        "body": b"",
        "arrived_s": 0.0,
    }
    return CallerRequest(**{**values, **changes})


def make_parts(context: str | None = None, **changes: Any) -> RequestParts:
    """Returns the parts of a request.

    Args:
      context: Context part of its prompt; None for a request without one.
      changes: Fields of the request.
    """
    prompt = None if context is None else make_prompt(context=context)
    request = make_caller_request(prompt=prompt, **changes)
    return RequestParts(b"shared-by-nodes!", request)


def make_configuration(
    *routes: Route,
    organisations: tuple[Organisation, ...] | None = None,
    version: int = 1,
    max_connections: int = 100,
    engine: Engine | None = None,
) -> ForwardingConfiguration:
    """Returns a configuration with the given routes and service `app`."""
    return ForwardingConfiguration(
        version=version,
        routes=routes,
        services={"app": Service("app", max_connections, engine)},
        organisations=organisations,
        limits=CallerLimits(),
    )
