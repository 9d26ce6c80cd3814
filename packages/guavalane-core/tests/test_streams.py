"""Tests of streams spliced from several endpoints."""

from __future__ import annotations

import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from guavalane_core.streams import (
    Chunk,
    ChunkDecision,
    StreamSplice,
    is_error,
    parse_chunk,
    parse_prompt_usage,
    rewrite_usage,
)

TOTAL = 8
PROMPT_TOKENS = 7
# Tokens that need JSON escapes, and one that looks like a chunk field.
TOKENS = ['w" ', "\\ ", "ä ", "\U0001f600 ", '"completion_tokens": 99 ', "x "]


def token(index: int, wrong: bool = False) -> str:
    """Returns a token of the response, or a wrong one."""
    return f"{'wrong' if wrong else index}{TOKENS[index % len(TOKENS)]}"


def event(
    base: int, start: int, end: int, *, finish=False, wrong=False, choices=True
) -> bytes:
    """Returns a chunk with the stream's tokens from start to end."""
    content = "".join(token(i, wrong) for i in range(start, end))
    chunk = {
        "choices": [
            {
                "delta": {"content": content},
                "token_ids": list(range(start, end)),
                "finish_reason": "length" if finish else None,
            }
        ]
        if choices
        else [],
        "usage": {
            "prompt_tokens": PROMPT_TOKENS + base,
            "completion_tokens": end - base,
            "total_tokens": PROMPT_TOKENS + end,
            "prompt_tokens_details": {"cached_tokens": base},
        },
    }
    return b"data: " + json.dumps(chunk).encode()


class SpliceMachine(RuleBasedStateMachine):
    """Attempts with interrupted, repeated, missing and late chunks."""

    def __init__(self):
        super().__init__()
        self.splice = StreamSplice()
        self.bases = {}
        self.attempt = 0
        self.received = []
        self.finishes = 0
        self.usages = 0
        self.begin()

    def offer(self, attempt: int, data: bytes) -> ChunkDecision:
        decision = self.splice.offer(attempt, parse_chunk(data))
        if decision is ChunkDecision.ACCEPT:
            data = rewrite_usage(data, self.bases[attempt], PROMPT_TOKENS)
            chunk = json.loads(data.removeprefix(b"data: "))
            self.received.append(chunk)
            self.finishes += any(c["finish_reason"] for c in chunk["choices"])
        return decision

    @rule()
    def begin(self):
        if self.splice.finished:
            return
        self.attempt = self.splice.begin_attempt()
        self.bases[self.attempt] = self.splice.tokens

    @rule(size=st.integers(1, 3), finish=st.booleans())
    def next_chunk(self, size, finish):
        start = self.splice.tokens
        end = min(TOTAL, start + size)
        if self.splice.finished or start == end:
            return
        finish = finish and end == TOTAL
        data = event(self.bases[self.attempt], start, end, finish=finish)
        assert self.offer(self.attempt, data) is ChunkDecision.ACCEPT

    @rule(back=st.integers(0, 3), size=st.integers(1, 3))
    def repeated_chunk(self, back, size):
        end = self.splice.tokens - back
        start = max(end - size, self.bases[self.attempt])
        if start < end:
            data = event(
                self.bases[self.attempt], start, end, finish=True, wrong=True
            )
            assert self.offer(self.attempt, data) is ChunkDecision.DROP

    @rule(skip=st.integers(1, 3), size=st.integers(1, 3))
    def missing_chunk(self, skip, size):
        start = self.splice.tokens + skip
        if not self.splice.finished:
            data = event(self.bases[self.attempt], start, start + size)
            assert self.offer(self.attempt, data) is ChunkDecision.GAP

    @rule(data=st.data(), size=st.integers(1, 3))
    def superseded_chunk(self, data, size):
        if self.attempt == 1:
            return
        attempt = data.draw(st.integers(1, self.attempt - 1))
        start = self.splice.tokens
        late = event(self.bases[attempt], start, start + size, wrong=True)
        assert self.offer(attempt, late) is ChunkDecision.DROP

    @rule(choices=st.booleans())
    def usage_that_counts_unsent_tokens(self, choices):
        end = self.splice.tokens + 1
        data = event(self.bases[self.attempt], end, end, choices=choices)
        assert self.offer(self.attempt, data) is not ChunkDecision.ACCEPT

    @rule()
    def finish_chunk(self):
        end = self.splice.tokens
        if end == TOTAL:
            data = event(self.bases[self.attempt], end, end, finish=True)
            self.offer(self.attempt, data)

    @rule()
    def usage_chunk(self):
        end = self.splice.tokens
        if end == TOTAL and self.splice.finished:
            data = event(self.bases[self.attempt], end, end, choices=False)
            self.usages += (
                self.offer(self.attempt, data) is ChunkDecision.ACCEPT
            )
            assert self.usages == 1

    @rule()
    def token_after_the_end(self):
        start = self.splice.tokens
        if self.splice.finished:
            late = event(self.bases[self.attempt], start, start + 1, wrong=True)
            assert self.offer(self.attempt, late) is ChunkDecision.DROP

    @rule(back=st.integers(1, 3))
    def finish_chunk_of_an_earlier_token(self, back):
        end = self.splice.tokens - back
        base = self.bases[self.attempt]
        if end > base:
            data = event(base, end, end, finish=True)
            assert self.offer(self.attempt, data) is ChunkDecision.DROP

    @invariant()
    def each_token_is_received_once_and_in_order(self):
        expected = "".join(token(i) for i in range(self.splice.tokens))
        assert self.splice.text == expected
        assert expected == "".join(
            choice["delta"]["content"]
            for chunk in self.received
            for choice in chunk["choices"]
        )

    @invariant()
    def usage_covers_the_whole_stream(self):
        ends = [c["usage"]["completion_tokens"] for c in self.received]
        assert ends == sorted(ends)
        assert not ends or ends[-1] == self.splice.tokens
        for chunk in self.received:
            usage = chunk["usage"]
            assert usage["prompt_tokens"] == PROMPT_TOKENS
            assert usage["total_tokens"] == (
                PROMPT_TOKENS + usage["completion_tokens"]
            )

    @invariant()
    def finish_is_received_at_most_once(self):
        assert self.finishes == int(self.splice.finished)


TestSpliceMachine = SpliceMachine.TestCase
TestSpliceMachine.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)


class TestChunks:
    """Guards against chunks that are parsed incorrectly."""

    def test_error_event_is_recognised(self):
        assert is_error(b'data: {"error": {"code": 500}}')
        assert is_error(b'event: error\ndata: {"error":"x"}')
        assert not is_error(event(0, 0, 1))
        assert not is_error(b'data: {"choices": [], "error_count": 1}')

    def test_prompt_usage(self):
        usage = parse_prompt_usage(event(5, 5, 6))
        assert (usage.prompt_tokens, usage.cached_tokens) == (12, 5)
        assert parse_prompt_usage(b"data: {}") is None

    def test_prompt_usage_without_details_or_with_huge_numbers(self):
        for details in (b"null", b'{"cached_tokens": %s}' % (b"9" * 5000)):
            usage = parse_prompt_usage(
                b'data: {"usage": {"prompt_tokens": 9, '
                b'"prompt_tokens_details": ' + details + b"}}"
            )
            assert (usage.prompt_tokens, usage.cached_tokens) == (9, None)
        huge = b'data: {"usage": {"prompt_tokens": %s}}' % (b"9" * 5000)
        assert parse_prompt_usage(huge) is None

    def test_role_chunk_passes_once(self):
        splice = StreamSplice()
        role = Chunk(0, 0, b"")
        decisions = []
        for _ in range(2):
            attempt = splice.begin_attempt()
            decisions.append(splice.offer(attempt, role))
        assert decisions == [ChunkDecision.ACCEPT, ChunkDecision.DROP]
