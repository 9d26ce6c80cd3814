"""Forwarded requests and their prompts."""

from __future__ import annotations

import attrs


@attrs.frozen
class PromptPart:
    """Part of a prompt that other requests can share.

    Attributes:
      part_id: Identifier of the part's text and all preceding text.
      tokens: Length in tokens.
    """

    part_id: str
    tokens: int


@attrs.frozen
class Prompt:
    """Prompt of a request to a model.

    Attributes:
      model: Name of the model; empty if the caller did not state one.
      input_tokens: Length of the prompt.
      max_output_tokens: Maximum number of generated tokens.
      parts: Parts in order; the last is specific to the request or its session.
      likely_output_tokens: Output length estimated by the caller, if any.
    """

    model: str
    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    likely_output_tokens: int | None = None

    @property
    def max_tokens(self) -> int:
        """Length of the prompt with the longest output."""
        return self.input_tokens + self.max_output_tokens

    @property
    def expected_output_tokens(self) -> int:
        """Expected number of generated tokens."""
        if self.likely_output_tokens is None:
            return self.max_output_tokens
        return min(self.likely_output_tokens, self.max_output_tokens)

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Identifiers of the parts that other requests can share."""
        return tuple(part.part_id for part in self.parts[:-1])

    @property
    def home_part(self) -> str | None:
        """Identifier of the longest shared prefix; None without parts.

        It determines the home endpoint of the prompt.
        """
        if not self.parts:
            return None
        return self.parts[max(0, len(self.parts) - 2)].part_id


@attrs.frozen(eq=False)
class CallerRequest:
    """Request as received from a caller.

    Attributes:
      request_id: Identifier that the caller assigned to this attempt.
      method: HTTP method.
      host: Host in lower case, without a port.
      target: Path and query as received.
      headers: Headers to forward, unmodified and in order.
      body: Complete body.
      arrived_s: Monotonic time at which the header was read, in seconds.
      time_limit_s: Timeout of the caller in seconds; None without a limit.
      key: Key of the caller.
      prompt: Prompt; None if the request does not state its tokens.
      resume_after: Identifier of the last event that the caller received of a
          broken stream.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray
    arrived_s: float
    time_limit_s: float | None = None
    key: str | None = None
    prompt: Prompt | None = None
    resume_after: str | None = None

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition("?")[0]
