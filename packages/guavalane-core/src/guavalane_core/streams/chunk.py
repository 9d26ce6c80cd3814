"""The part of a stream chunk that splicing needs.

Chunks pass through as bytes: parsing each one as JSON costs a third more CPU
on the busiest path, so only a few fields are scanned. A quote inside a JSON
string is escaped, so no text of an answer can look like one of these fields.
"""

from __future__ import annotations

import re

import attrs

_INDEX = re.compile(rb'"completion_tokens":\s*(\d+)')
# A longer number is no count of tokens.
_PROMPT = re.compile(rb'"prompt_tokens":\s*(\d{1,9})(?!\d)')
_TOTAL = re.compile(rb'"total_tokens":\s*(\d+)')
_CACHED = re.compile(rb'"cached_tokens":\s*(\d{1,9})(?!\d)')
_CONTENT = re.compile(rb'"content":\s*"([^"\\]*(?:\\.[^"\\]*)*)"')
_TOKEN_IDS = re.compile(rb'"token_ids":\s*\[([^\]]*)\]')
_FINISH = re.compile(rb'"finish_reason":\s*"')
_ERROR = re.compile(rb'(?:event:[^\n]*\n)?data:\s*\{\s*"error"')


# A frozen class takes three times as long to make, and one is made per token.
@attrs.define(unsafe_hash=True)
class Chunk:
    """One chunk of a stream.

    Attributes:
      end_index: Tokens of the attempt up to the end of this chunk; 0 if the
          chunk does not tell.
      token_count: Tokens in this chunk; 0 if the chunk does not tell.
      content: Text of the chunk, escaped as in JSON.
      finish: Whether the chunk names the reason why the answer ends.
    """

    end_index: int
    token_count: int
    content: bytes
    finish: bool = False


@attrs.frozen
class PromptUsage:
    """What a chunk tells of its prompt.

    Attributes:
      prompt_tokens: Tokens of the prompt.
      cached_tokens: Tokens of the prompt that were not computed again; None
          if the chunk does not tell.
    """

    prompt_tokens: int
    cached_tokens: int | None


def parse_chunk(event: bytes) -> Chunk:
    """Returns what splicing needs of one SSE event."""
    index = _INDEX.search(event)
    content = _CONTENT.search(event)
    ids = _TOKEN_IDS.search(event)
    count = 0
    if ids is not None and ids[1].strip():
        count = ids[1].count(b",") + 1
    return Chunk(
        end_index=int(index[1]) if index else 0,
        token_count=count,
        content=content[1] if content else b"",
        finish=_FINISH.search(event) is not None,
    )


def parse_prompt_usage(event: bytes) -> PromptUsage | None:
    """Returns what an SSE event tells of the prompt; None if nothing."""
    prompt = _PROMPT.search(event)
    if prompt is None:
        return None
    cached = _CACHED.search(event)
    return PromptUsage(int(prompt[1]), int(cached[1]) if cached else None)


def is_error(event: bytes) -> bool:
    """Returns whether an SSE event reports a failure of the engine."""
    return _ERROR.match(event) is not None


def rewrite_usage(event: bytes, base: int, prompt_tokens: int) -> bytes:
    """Returns the event with the usage of the whole stream.

    An attempt that continues a stream counts the tokens before it as part of
    its prompt.

    Args:
      event: SSE event of an attempt that continued a stream.
      base: Tokens of the stream before the attempt.
      prompt_tokens: Tokens of the caller's own prompt.
    """
    index = _INDEX.search(event)
    if index is None:
        return event
    completed = int(index[1]) + base
    for pattern, name, value in (
        (_INDEX, b"completion_tokens", completed),
        (_PROMPT, b"prompt_tokens", prompt_tokens),
        (_TOTAL, b"total_tokens", prompt_tokens + completed),
    ):
        event = pattern.sub(b'"%s": %d' % (name, value), event, count=1)
    return event
