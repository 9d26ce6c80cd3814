"""Token streams that can span several endpoints."""

from __future__ import annotations

from guavalane_core.streams.chunk import (
    Chunk,
    PromptUsage,
    is_error,
    parse_chunk,
    parse_prompt_usage,
    rewrite_usage,
)
from guavalane_core.streams.splice import ChunkDecision, StreamSplice

__all__ = [
    "Chunk",
    "ChunkDecision",
    "PromptUsage",
    "StreamSplice",
    "is_error",
    "parse_chunk",
    "parse_prompt_usage",
    "rewrite_usage",
]
