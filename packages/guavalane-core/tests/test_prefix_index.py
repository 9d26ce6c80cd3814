"""Tests of the index of cached prefixes."""

from __future__ import annotations

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from guavalane_core.requests.prompt import MAX_BLOCKS, digest_chat
from guavalane_core.routing import CacheChange, CacheEvent, PrefixIndex

LATE_EVENT_DELAY_S = 5.0
BLOCKS = st.lists(st.integers(0, 6), max_size=4).map(tuple)
EVENTS = st.builds(
    CacheEvent,
    endpoint=st.sampled_from("ab"),
    sequence=st.integers(0, 8),
    change=st.sampled_from(CacheChange),
    blocks=BLOCKS,
    at_s=st.sampled_from([0.0, 9.0, 10.0]),
)


def body(*contents: str) -> bytes:
    """Returns a chat completion body."""
    messages = [{"role": "user", "content": c} for c in contents]
    return json.dumps({"messages": messages}).encode()


class TestDigestChat:
    """Guards against shared digests of different texts."""

    def test_common_prefix_has_common_blocks(self):
        one = digest_chat(body("x" * 1200, "a" * 900)).blocks
        two = digest_chat(body("x" * 1200, "b" * 900)).blocks
        assert one[:2] == two[:2]
        assert not set(one[2:]) & set(two[2:])

    def test_long_prompts_and_invalid_bodies(self):
        assert len(digest_chat(body("x" * 10**6)).blocks) == MAX_BLOCKS
        for text in (b"", b"[]", b'{"messages": [1]}', b"\xff", b"[" * 10**5):
            assert digest_chat(text).blocks == ()
        assert digest_chat(body("\ud800" * 600)).blocks


class TestPrefixIndex:
    """Guards against counting blocks that an engine has evicted."""

    def test_counts_leading_blocks_only(self):
        index = PrefixIndex()
        index.record("a", [1, 2, 4], 0.0)
        assert index.cached_blocks([1, 2, 3, 4], 0.0) == {"a": 2.0}

    def test_gap_halves_and_removal_ends_the_confidence(self):
        index = PrefixIndex()
        stored = CacheEvent("a", 1, CacheChange.STORED, (1, 2), 0.0)
        index.on_event(stored, 0.0)
        gapped = CacheEvent("a", 3, CacheChange.REMOVED, (9,), 0.0)
        index.on_event(gapped, 0.0)
        assert index.cached_blocks([1, 2], 0.0) == {"a": 1.0}
        late = CacheEvent("a", 2, CacheChange.REMOVED, (2,), 0.0)
        index.on_event(late, LATE_EVENT_DELAY_S)
        assert index.cached_blocks([1, 2], 0.0) == {"a": 0.5}

    def test_age_lowers_the_confidence(self):
        index = PrefixIndex()
        index.record("a", [1], 0.0)
        assert index.cached_blocks([1], 300.0) == {"a": 0.5}

    def test_uncached_confirmed_block_invalidates_older_blocks(self):
        index = PrefixIndex()
        for at_s, block in ((0.0, 1), (1.0, 2), (2.0, 3)):
            index.record("a", [block], at_s)
            index.on_answer("a", [block], 1, at_s, at_s)
        # Block 2 was confirmed at 1 s. An engine that evicts the least recently
        # used block first may still have cached block 3.
        index.record("a", [2], 5.0)
        index.on_answer("a", [2], 0, 5.0, 6.0)
        assert index.cached_blocks([1], 6.0) == {"a": 0.0}
        assert index.cached_blocks([2], 6.0) == {"a": 1.0}
        assert index.cached_blocks([3], 6.0)["a"] > 0.9

    def test_answers_without_evidence_invalidate_nothing(self):
        index = PrefixIndex()
        index.record("a", [1], 0.0)
        index.on_answer("a", [1], 1, 0.0, 0.0)
        index.record("a", [2], 1.0)
        # Neither of two concurrent requests can reuse the other's blocks.
        index.record("a", [2], 1.0)
        index.on_answer("a", [2], 0, 1.0, 2.0)
        index.on_answer("a", [2], 0, 1.0, 3.0)
        # An engine that always reports 0 may not count cached tokens.
        for at_s in (0.0, 1.0, 2.0):
            index.record("b", [1], at_s)
            index.on_answer("b", [1], 0, at_s, at_s + 0.5)
        expected = index.cached_blocks([1], 3.0)
        assert min(expected["a"], expected["b"]) > 0.9

    def test_duplicate_answer_has_no_effect(self):
        one, two = PrefixIndex(), PrefixIndex()
        for index, times in ((one, 1), (two, 2)):
            for at_s, block, cached in ((0.0, 1, 1), (1.0, 2, 1), (2.0, 1, 0)):
                index.record("a", [block], at_s)
                for _ in range(times):
                    index.on_answer("a", [block], cached, at_s, at_s + 0.5)
        for block in (1, 2):
            held = one.cached_blocks([block], 3.0)
            assert held == two.cached_blocks([block], 3.0)
        assert one.entry_count == two.entry_count

    def test_late_answer_of_a_replaced_engine_is_ignored(self):
        index = PrefixIndex()
        index.record("a", [1], 0.0)
        index.forget("a")
        index.on_answer("a", [1], 1, 0.0, 1.0)
        assert index.cached_blocks([1], 1.0) == {}
        assert index.entry_count == 0

    def test_answer_restores_dropped_blocks(self):
        index = PrefixIndex()
        index.record("a", [1, 2], 0.0)
        index.drop("a", [1, 2])
        index.on_answer("a", [1, 2], 2, 0.0, 1.0)
        assert index.cached_blocks([1, 2], 1.0) == {"a": 2.0}

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(EVENTS, max_size=12),
        EVENTS,
        st.lists(st.integers(0, 6), max_size=4),
    )
    def test_late_event_never_raises_the_estimate(self, events, late, prompt):
        index = PrefixIndex()
        index.record("a", [0, 1, 2], 8.0)
        for event in events:
            index.on_event(event, 10.0)
        before = index.cached_blocks(prompt, 20.0)
        index.on_event(late, 20.0)
        after = index.cached_blocks(prompt, 20.0)
        assert all(after[n] <= before.get(n, 0.0) + 1e-9 for n in after)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"), BLOCKS | EVENTS, st.integers(0, 5)
            )
        )
    )
    def test_memory_is_bounded_and_counted(self, steps):
        index = PrefixIndex(max_entries=5)
        for endpoint, step, cached in steps:
            if isinstance(step, CacheEvent):
                index.on_event(step, 10.0)
            else:
                index.record(endpoint, step, 10.0)
                index.on_answer(endpoint, step, cached, 10.0, 11.0)
            held = [index.cached_blocks([block], 10.0) for block in range(7)]
            assert index.entry_count == sum(map(len, held)) <= 5
        index.forget("a")
        assert not any("a" in index.cached_blocks([b], 10.0) for b in range(7))
