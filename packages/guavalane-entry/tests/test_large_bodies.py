"""Tests of the bytes of bodies in memory."""

from __future__ import annotations

import random
import sys

from guavalane_entry.free_memory import RELEASE_BYTES, FreeMemory
from guavalane_entry.large_bodies import MIN_PART_BYTES, BodyParts


class TestBodyParts:
    """Guards against bodies that are changed or take more than their size."""

    def test_parts_of_any_size_are_joined_in_order(self):
        rng = random.Random(1)
        for _ in range(50):
            sizes = [
                rng.choice((1, 7, 100, MIN_PART_BYTES, 20_000))
                for _ in range(40)
            ]
            pieces = [rng.randbytes(size) for size in sizes]
            parts = BodyParts()
            for piece in pieces:
                parts.append(piece)
            assert len(parts) == sum(sizes)
            assert parts.join() == b"".join(pieces)
            assert (len(parts), parts.join()) == (0, b"")

    def test_small_parts_take_little_more_than_their_bytes(self):
        parts = BodyParts()
        for _ in range(10 * MIN_PART_BYTES):
            parts.append(b"ab")
        kept = [*parts._parts, parts._tail]
        taken = sum(sys.getsizeof(part) for part in kept)
        assert taken < 1.1 * len(parts)


class TestFreeMemory:
    """Guards against dropped bodies whose memory the process keeps."""

    def test_it_is_returned_after_many_bytes_were_dropped(self, monkeypatch):
        calls = []
        memory = FreeMemory()
        monkeypatch.setattr(memory, "_trim", calls.append)
        for dropped in (1, RELEASE_BYTES, RELEASE_BYTES + 1, 2 * RELEASE_BYTES):
            memory.check(dropped)
        assert len(calls) == 2

    def test_a_library_without_the_function_is_no_error(self, monkeypatch):
        memory = FreeMemory()
        monkeypatch.setattr(memory, "_trim", None)
        memory.check(RELEASE_BYTES)
