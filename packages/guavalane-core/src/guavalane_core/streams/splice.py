"""Joins the chunks of several attempts into one stream."""

from __future__ import annotations

import enum
import json

from guavalane_core.streams.chunk import Chunk


class ChunkDecision(enum.Enum):
    """What to do with a chunk."""

    ACCEPT = "accept"
    DROP = "drop"
    GAP = "gap"


class StreamSplice:
    """Accepts each token of a stream once and in order.

    Only chunks of the latest attempt count. A chunk whose start is past the
    last accepted token is a gap: the attempt is useless from there, while the
    stream can go on with another attempt.
    """

    def __init__(self, tokens: int = 0, text: str = "") -> None:
        self._attempt = 0
        self._base = tokens
        self._tokens = tokens
        self._content = bytearray(json.dumps(text)[1:-1].encode())
        self._dropped = 0
        self._opened = tokens > 0
        self._finished = False
        self._closed = False

    @property
    def tokens(self) -> int:
        """Tokens accepted so far."""
        return self._tokens

    @property
    def base(self) -> int:
        """Tokens accepted before the latest attempt."""
        return self._base

    @property
    def finished(self) -> bool:
        """Whether an accepted chunk told why the answer ends."""
        return self._finished

    @property
    def dropped(self) -> int:
        """Chunks that were late, duplicated or superseded."""
        return self._dropped

    @property
    def text(self) -> str:
        """Text accepted so far."""
        return json.loads(b'"' + bytes(self._content) + b'"')

    def begin_attempt(self) -> int:
        """Supersedes the attempt before and returns the new one's number."""
        self._attempt += 1
        self._base = self._tokens
        return self._attempt

    def offer(self, attempt: int, chunk: Chunk) -> ChunkDecision:
        """Judges one chunk and takes it if it is the next one.

        Args:
          attempt: Number from `begin_attempt`.
          chunk: Chunk with its index within the attempt.
        """
        verdict = ChunkDecision.DROP
        if attempt == self._attempt and not self._closed:
            if chunk.content or chunk.token_count:
                verdict = self._offer_tokens(chunk)
            else:
                verdict = self._offer_control_chunk(chunk)
        if verdict is ChunkDecision.DROP:
            self._dropped += 1
        return verdict

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
        """Judges a chunk without tokens: role, finish reason or usage."""
        end = self._base + chunk.end_index if chunk.end_index else self._tokens
        if end > self._tokens:
            # It counts tokens that no chunk has brought.
            return ChunkDecision.GAP
        if end < self._tokens:
            return ChunkDecision.DROP
        if chunk.finish:
            if self._finished:
                return ChunkDecision.DROP
            self._finished = True
        elif self._finished:
            self._closed = True
        elif self._opened:
            return ChunkDecision.DROP
        self._opened = True
        return ChunkDecision.ACCEPT
