"""Names of the headers that carry a forwarded request's facts."""

from __future__ import annotations

import attrs

# Headers that concern one connection and are never passed on.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
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
    """Header names of one deployment; the defaults are the product's own.

    Attributes:
      request_id: Identifier of a caller's attempt; endpoints repeat it.
      time_left_ms: How long the sender waits, in milliseconds.
      key_scheme: Scheme of the `Authorization` header that carries a key.
      organisation: Organisation of the key, told to endpoints.
      expected_endpoint: Endpoint that the request is meant for.
      not_run: Set by an endpoint that did not and will not run the request.
      proof: Proof of an endpoint's answer, returned unchanged.
      model: Name of the model.
      token_counts: Prompt tokens and most output tokens, with a comma.
      prompt_parts: Parts of the prompt as `ID:TOKENS`, with commas.
      output_hint: The caller's estimate of the output tokens.
      urgency: Urgency for the engine's own queue; 0 goes first.
      resume_after: Last event that the caller has of a stream.
      reserved: Further names, in lower case, that only the system may set.
    """

    request_id: str = "X-Request-Id"
    time_left_ms: str = "X-Request-Timeout-Ms"
    key_scheme: str = "Bearer"
    organisation: str = "X-Organisation"
    expected_endpoint: str = "X-Expected-Endpoint"
    not_run: str = "X-Not-Run"
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
        """Headers of callers that endpoints never see as they came."""
        own = {
            "authorization",
            self.time_left_ms.lower(),
            self.organisation.lower(),
            self.expected_endpoint.lower(),
            self.urgency.lower(),
            self.resume_after.lower(),
        }
        return CONNECTION_HEADERS | self.reserved | own
