"""Names of the headers that carry request metadata."""

from __future__ import annotations

import attrs

# Hop-by-hop headers, which are never forwarded.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Header names of one deployment, with defaults.

    Attributes:
      request_id: ID of a caller's attempt; endpoints echo it.
      time_left_ms: Time until the sender stops waiting, in milliseconds.
      key_scheme: Scheme of the `Authorization` header that carries a key.
      organisation: Organisation of the key, sent to endpoints.
      expected_endpoint: ID of the endpoint that the request is addressed to.
      not_run: Set by an endpoint that has not run and will not run the request.
      rate_limit: Requests per second that an endpoint takes from all nodes.
      load: Running requests, waiting requests and slots of an endpoint, and
          optionally its time of work in percent of the usual.
      proof: Proof of an endpoint's response, forwarded unchanged.
      model: Name of the model.
      token_counts: Prompt tokens and maximum output tokens, comma-separated.
      prompt_parts: Parts of the prompt as `ID:TOKENS`, comma-separated.
      output_hint: The caller's estimate of the output tokens.
      urgency: Priority in the engine's queue; 0 is the highest.
      resume_after: ID of the last stream event that the caller has received.
      reserved: Further names, in lower case, that callers may not set.
    """

    request_id: str = "X-Request-Id"
    time_left_ms: str = "X-Request-Timeout-Ms"
    key_scheme: str = "Bearer"
    organisation: str = "X-Organisation"
    expected_endpoint: str = "X-Expected-Endpoint"
    not_run: str = "X-Not-Run"
    rate_limit: str = "X-Rate-Limit"
    load: str = "X-Load"
    proof: str = "X-Answer-Proof"
    model: str = "X-Model"
    token_counts: str = "X-Token-Counts"
    prompt_parts: str = "X-Prompt-Parts"
    output_hint: str = "X-Output-Hint"
    urgency: str = "X-Urgency"
    resume_after: str = "Last-Event-ID"
    reserved: frozenset[str] = frozenset()

    @property
    def not_forwarded(self) -> frozenset[str]:
        """Caller headers that are not forwarded to endpoints unchanged."""
        own = {
            "authorization",
            self.time_left_ms.lower(),
            self.organisation.lower(),
            self.expected_endpoint.lower(),
            self.urgency.lower(),
            self.resume_after.lower(),
        }
        return CONNECTION_HEADERS | self.reserved | own
