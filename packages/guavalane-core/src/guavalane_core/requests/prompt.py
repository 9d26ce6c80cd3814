"""Prefix digests of chat prompts, used to find shared prefixes."""

from __future__ import annotations

import json

import attrs
import xxhash

# Characters per block. Engines cache complete blocks of tokens, so an
# incomplete last block is never counted as shared.
BLOCK_CHARACTERS = 512
# Bounds the time and memory per prompt. The remainder of a longer prompt counts
# as uncached.
MAX_BLOCKS = 128
# Typical token length in English text. Only the ratio to the prefill speed
# matters, so the estimate need not be exact.
CHARACTERS_PER_TOKEN = 4


@attrs.frozen
class Prompt:
    """Length and prefix digests of a prompt.

    Attributes:
      tokens: Estimated number of tokens.
      blocks: Digests of complete blocks; each covers the text up to its end.
    """

    tokens: int = 0
    blocks: tuple[int, ...] = ()

    @property
    def block_tokens(self) -> int:
        """Estimated number of tokens of one block."""
        return BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN


def digest_text(text: str) -> Prompt:
    """Returns the length and digests of a prompt text."""
    digest = xxhash.xxh3_64()
    blocks = []
    complete = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS)
    for index in range(complete):
        start = index * BLOCK_CHARACTERS
        digest.update(text[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(digest.intdigest())
    return Prompt(len(text) // CHARACTERS_PER_TOKEN, tuple(blocks))


def digest_chat(body: bytes) -> Prompt:
    """Returns the length and digests of the prompt in a chat completion body.

    The prompt of any other body is empty. Validation is left to the handler of
    the request.
    """
    try:
        messages = json.loads(body)["messages"]
        text = "\n".join(f"{m['role']}: {m['content']}" for m in messages)
    except (ValueError, TypeError, KeyError, RecursionError):
        return Prompt()
    # JSON can contain lone surrogates, which UTF-8 cannot encode.
    return digest_text(text.encode(errors="replace").decode())
