"""What a forwarded request says of itself."""

from __future__ import annotations

import attrs


@attrs.frozen
class PromptPart:
    """Part of a prompt that other requests may share.

    Attributes:
      part_id: Identifier of the part's text and of all text before it.
      tokens: Length in tokens.
    """

    part_id: str
    tokens: int


@attrs.frozen
class Prompt:
    """Prompt of a request to a model.

    Attributes:
      model: Name of the model.
      input_tokens: Length of the prompt.
      max_output_tokens: Most tokens that may be generated.
      parts: Parts in order; the last is the request's or its session's own.
      likely_output_tokens: The caller's estimate; None if it gave none.
    """

    model: str
    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    likely_output_tokens: int | None = None

    @property
    def expected_output_tokens(self) -> int:
        """Estimate of the tokens that will be generated."""
        if self.likely_output_tokens is None:
            return self.max_output_tokens
        return min(self.likely_output_tokens, self.max_output_tokens)

    @property
    def home_part(self) -> str | None:
        """Longest part that other requests share; None without parts."""
        if not self.parts:
            return None
        return self.parts[max(0, len(self.parts) - 2)].part_id


@attrs.frozen(eq=False)
class CallerRequest:
    """Request as read from a caller.

    Attributes:
      request_id: Identifier that the caller gave this attempt of its own.
      method: HTTP method.
      host: Host in lower case, without a port.
      target: Path and query as received.
      headers: Headers to pass on, as received and in order.
      body: Whole body.
      arrived_s: Time at which the header was read, on the monotonic clock.
      time_limit_s: How long the caller waits, in seconds; None without limit.
      key: Key of the caller.
      prompt: Prompt, if the request goes to a model.
      resume_after: Last event that the caller has of a broken stream.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_s: float
    time_limit_s: float | None = None
    key: str | None = None
    prompt: Prompt | None = None
    resume_after: str | None = None

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition("?")[0]
