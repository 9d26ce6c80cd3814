"""Splices the chunks of several attempts into one stream."""

from __future__ import annotations

import enum
import json

from guavalane_core.streams.chunk import Chunk


class ChunkDecision(enum.Enum):
    """Decision on a chunk."""

    ACCEPT = "accept"
    DROP = "drop"
    GAP = "gap"


class StreamSplice:
    """Accepts each token of a stream exactly once and in order.

    Only chunks of the latest attempt are accepted. A chunk that starts after
    the last accepted token is a gap: the attempt cannot be continued, but
    another attempt can resume the stream.
    """

    def __init__(self, tokens: int = 0, text: str = "") -> None:
        self._attempt = 0
        self._base = tokens
        self._tokens = tokens
        self._content = bytearray(json.dumps(text)[1:-1].encode())
        self._dropped = 0
        self._opened = tokens > 0
        self._finished = False
        self._usage_sent = False

    @property
    def tokens(self) -> int:
        """Number of accepted tokens."""
        return self._tokens

    @property
    def base(self) -> int:
        """Number of tokens accepted before the latest attempt."""
        return self._base

    @property
    def finished(self) -> bool:
        """Whether a chunk with a finish reason was accepted."""
        return self._finished

    @property
    def dropped(self) -> int:
        """Number of late, duplicate or superseded chunks."""
        return self._dropped

    @property
    def text(self) -> str:
        """Accepted text."""
        return json.loads(b'"' + bytes(self._content) + b'"')

    def begin_attempt(self) -> int:
        """Starts an attempt that supersedes the previous one.

        Returns:
          Number of the new attempt.
        """
        self._attempt += 1
        self._base = self._tokens
        return self._attempt

    def offer(self, attempt: int, chunk: Chunk) -> ChunkDecision:
        """Decides on a chunk and records it if it is accepted.

        Args:
          attempt: Number returned by `begin_attempt`.
          chunk: Chunk, indexed within the attempt.
        """
        decision = ChunkDecision.DROP
        if attempt == self._attempt and not self._usage_sent:
            if chunk.content or chunk.token_count:
                decision = self._offer_tokens(chunk)
            else:
                decision = self._offer_control_chunk(chunk)
        if decision is ChunkDecision.DROP:
            self._dropped += 1
        return decision

    def _offer_tokens(self, chunk: Chunk) -> ChunkDecision:
        if not chunk.end_index:
            return ChunkDecision.GAP
        end = self._base + chunk.end_index
        if end <= self._tokens or self._finished:
            return ChunkDecision.DROP
        if chunk.token_count and end - chunk.token_count != self._tokens:
            return ChunkDecision.GAP
        self._tokens = end
        self._content += chunk.content
        self._opened = True
        self._finished = chunk.finish
        return ChunkDecision.ACCEPT

    def _offer_control_chunk(self, chunk: Chunk) -> ChunkDecision:
        """Decides on a chunk without tokens: role, finish reason or usage."""
        end = self._base + chunk.end_index if chunk.end_index else self._tokens
        if end > self._tokens:
            # The count includes tokens that were not received.
            return ChunkDecision.GAP
        if end < self._tokens:
            return ChunkDecision.DROP
        if chunk.finish:
            if self._finished:
                return ChunkDecision.DROP
            self._finished = True
        elif self._finished:
            self._usage_sent = True
        elif self._opened:
            return ChunkDecision.DROP
        self._opened = True
        return ChunkDecision.ACCEPT
