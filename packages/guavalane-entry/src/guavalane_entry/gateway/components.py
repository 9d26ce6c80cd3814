"""Components of a node that request handling shares."""

from __future__ import annotations

import attrs

from guavalane_entry.gateway.codec import RequestCodec
from guavalane_entry.gateway.crash_monitor import CrashMonitor
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.endpoint_client import EndpointClient
from guavalane_entry.gateway.endpoint_limits import EndpointLimits
from guavalane_entry.gateway.quarantine import QuarantineService
from guavalane_entry.gateway.view import NodeView
from guavalane_entry.metrics import Metrics


@attrs.frozen(eq=False)
class GatewayComponents:
    """Components that every request uses.

    Attributes:
      view: Shared state of the node.
      endpoint_client: HTTP client for endpoints.
      codec: Header codec.
      log: Decision log.
      metrics: Metrics of the node.
      quarantine: Quarantine of prompt parts that crash endpoints.
      crash_monitor: Detection of crashed endpoints.
      endpoint_limits: Rate limits that endpoints state.
    """

    view: NodeView
    endpoint_client: EndpointClient
    codec: RequestCodec
    log: DecisionLog
    metrics: Metrics
    quarantine: QuarantineService
    crash_monitor: CrashMonitor
    endpoint_limits: EndpointLimits
