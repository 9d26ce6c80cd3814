"""Parts of a node that the life of a request uses."""

from __future__ import annotations

import attrs

from guavalane_entry.gateway.codec import RequestCodec
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.endpoint_client import EndpointClient
from guavalane_entry.gateway.view import NodeView
from guavalane_entry.metrics import Metrics


@attrs.frozen(eq=False)
class GatewayComponents:
    """Parts of a node.

    Attributes:
      view: What the node believes.
      channels: Connections to endpoints.
      codec: Translation of headers.
      log: Log of decisions.
      metrics: Metrics of the node.
    """

    view: NodeView
    endpoint_client: EndpointClient
    codec: RequestCodec
    log: DecisionLog
    metrics: Metrics
