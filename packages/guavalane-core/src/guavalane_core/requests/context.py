"""Context of an accepted request."""

from __future__ import annotations

import attrs

from guavalane_core.configuration import Route
from guavalane_core.requests.prompt import Prompt


@attrs.define(kw_only=True)
class RequestContext:
    """State of one request from arrival to response.

    Attributes:
      request_id: Identifier, unique across all nodes.
      organisation: Name of the organisation.
      route_name: Name of the route.
      route: Route as configured when the request arrived.
      deadline_s: Monotonic time of the deadline, in seconds.
      method: HTTP method.
      path: HTTP path with query.
      content_type: Content type of the body.
      body: Body as received.
      idempotency_key: Idempotency key of the caller; empty for none.
      sent: Whether any byte may have reached an endpoint.
      attempts: Number of attempts so far.
      prompt: Prefix digests of a chat prompt; None until an endpoint is first
          selected.
    """

    request_id: str
    organisation: str
    route_name: str
    route: Route
    deadline_s: float
    method: str = "POST"
    path: str = ""
    content_type: str = "application/json"
    body: bytes = b""
    idempotency_key: str = ""
    sent: bool = False
    attempts: int = 0
    prompt: Prompt | None = None

    def remaining_s(self, now_s: float) -> float:
        """Returns the time until the deadline in seconds, at least 0."""
        return max(0.0, self.deadline_s - now_s)
