"""Deterministic tokens of the stand-in engine."""

from __future__ import annotations

from typing import Any

import xxhash

Messages = list[dict[str, Any]]


def format_prompt(messages: Messages) -> str:
    """Returns chat messages formatted as a prompt."""
    return "\n".join(f"{m['role']}: {m['content']}" for m in messages)


def make_token(prompt: str, index: int) -> str:
    """Returns one token of the completion of a prompt.

    Some tokens contain characters that JSON escapes, so that tests detect
    faults in stream splicing.
    """
    value = xxhash.xxh32_intdigest(f"{prompt}#{index}".encode()) % 1000
    suffix = {0: '"', 1: "\\", 2: "ä", 3: "\U0001f600"}.get(value % 40, "")
    return f"w{value}{suffix} "


def make_completion(messages: Messages, count: int) -> str:
    """Returns the first `count` tokens of the completion."""
    prompt = format_prompt(messages)
    return "".join(make_token(prompt, i) for i in range(count))


def count_tokens(text: str) -> int:
    """Returns the number of tokens in a text."""
    return len(text.split())
