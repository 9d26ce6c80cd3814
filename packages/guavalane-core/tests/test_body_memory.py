"""Tests of the account of bodies and of the bound on connections."""

from __future__ import annotations

import pytest

from guavalane_core.limits.body_memory import (
    BASE_BYTES,
    BYTES_PER_MB,
    DEFAULT_LIMIT_BYTES,
    ORDINARY_BODY_BYTES,
    RESERVED_FRACTION,
    STALL_S,
    BodyMemory,
    Eviction,
    limit_of_memory,
)
from guavalane_core.limits.connections import (
    CONNECTION_BYTES,
    MIN_CONNECTIONS,
    RESERVED_DESCRIPTORS,
    CallerConnections,
    connection_limit,
)

MB = 1_000_000
LIMIT = 10 * MB
LARGE_LIMIT = int(LIMIT * (1 - RESERVED_FRACTION))
# Limits for callers and for responses of the product, in bytes.
MAX_REQUEST = 4_194_304
MAX_RESPONSE = 16 * 1024 * 1024


def add(memory, size, now_s=0.0, **options):
    """Returns the entry of a body that has some bytes."""
    body = memory.open(None, now_s, **options)
    memory.grow(body, size, now_s)
    return body


class TestBodyMemory:
    """Guards against bodies that exhaust the memory, or are evicted needlessly.

    A rejected request must not have run, so complete bodies stay.
    """

    def test_nothing_is_evicted_below_the_limit(self):
        memory = BodyMemory(LIMIT)
        bodies = [add(memory, MB) for _ in range(7)]
        assert memory.held_bytes == 7 * MB
        assert not any(body.evicted for body in bodies)

    def test_the_body_without_progress_for_longest_goes_first(self):
        memory = BodyMemory(LIMIT)
        late, early = add(memory, 3 * MB, 1.0), add(memory, MB, 0.0)
        last = add(memory, 4 * MB, 1.0 + STALL_S)
        assert early.evicted is Eviction.MEMORY
        assert not late.evicted
        assert not last.evicted

    def test_the_largest_goes_if_all_make_progress(self):
        memory = BodyMemory(LIMIT)
        bodies = [add(memory, size * MB) for size in (2, 4, 1)]
        memory.grow(bodies[0], MB, 0.0)
        assert [bool(body.evicted) for body in bodies] == [False, True, False]

    def test_a_body_may_evict_itself(self):
        memory = BodyMemory(LIMIT)
        body = memory.open(None, 0.0)
        assert not memory.grow(body, LARGE_LIMIT + 1, 0.0)
        assert not memory.grow(body, 1, 0.0)
        assert memory.held_bytes == 0

    def test_complete_bodies_are_not_evicted(self):
        memory = BodyMemory(LIMIT)
        complete = add(memory, LARGE_LIMIT)
        memory.complete(complete)
        assert add(memory, MB, 99.0).evicted is Eviction.MEMORY
        assert not complete.evicted
        memory.close(complete)
        assert not add(memory, MB, 99.0).evicted

    def test_ordinary_bodies_have_space_beside_large_ones(self):
        memory = BodyMemory(LIMIT)
        memory.complete(add(memory, LARGE_LIMIT))
        count = (LIMIT - LARGE_LIMIT) // ORDINARY_BODY_BYTES
        bodies = [add(memory, ORDINARY_BODY_BYTES) for _ in range(count)]
        assert not any(body.evicted for body in bodies)

    def test_ordinary_bodies_do_not_exceed_the_limit_either(self):
        memory = BodyMemory(LIMIT)
        count = 2 * LIMIT // ORDINARY_BODY_BYTES
        bodies = [add(memory, ORDINARY_BODY_BYTES, n) for n in range(count)]
        assert memory.held_bytes <= LIMIT
        assert bodies[0].evicted
        assert not bodies[-1].evicted

    def test_large_bodies_go_before_ordinary_ones(self):
        memory = BodyMemory(LIMIT)
        small = [
            add(memory, ORDINARY_BODY_BYTES)
            for _ in range(LIMIT // ORDINARY_BODY_BYTES)
        ]
        large = add(memory, 2 * ORDINARY_BODY_BYTES, 99.0)
        assert large.evicted
        assert not any(body.evicted for body in small)

    def test_an_evicted_body_releases_its_bytes_at_once(self):
        memory = BodyMemory(LIMIT)
        body = add(memory, LARGE_LIMIT)
        released = []
        body.on_evicted = lambda: released.append(memory.held_bytes)
        other = add(memory, MB)
        assert body.evicted
        assert not other.evicted
        assert released == [MB]
        memory.close(body)
        assert memory.held_bytes == MB

    def test_stalled_requests_are_evicted_but_not_responses(self):
        memory = BodyMemory(LIMIT)
        request = add(memory, 10)
        moving = add(memory, 10)
        response = add(memory, 10, is_request=False)
        complete = add(memory, 10)
        memory.complete(complete)
        memory.grow(moving, 1, 1.0)
        memory.evict_stalled(15.0, 15.5)
        assert request.evicted is Eviction.STALLED
        assert not (moving.evicted or response.evicted or complete.evicted)
        assert memory.evictions == {"stalled": 1}


class TestLimitOfMemory:
    """Guards against a limit that a single request reaches."""

    @pytest.mark.parametrize("memory_mb", [0, 64, 152, 200, 552])
    def test_the_largest_request_and_response_fit(self, memory_mb):
        limit = limit_of_memory(memory_mb)
        large = limit * (1 - RESERVED_FRACTION)
        assert large >= MAX_REQUEST + MAX_RESPONSE

    def test_it_follows_the_memory(self):
        limits = [limit_of_memory(mb) for mb in (152, 200, 552)]
        assert limits == sorted(set(limits))
        assert limit_of_memory(0) == DEFAULT_LIMIT_BYTES


class TestCallerConnections:
    """Guards against callers that use up the descriptors of a process."""

    def test_the_one_without_progress_for_longest_is_closed(self):
        connections = CallerConnections(2)
        assert connections.open("a", 0.0) is None
        assert connections.open("b", 0.0) is None
        connections.on_progress("a")
        assert connections.open("c", 0.0) == "b"
        assert (len(connections), connections.closed) == (2, 1)

    def test_one_whose_request_runs_is_kept(self):
        connections = CallerConnections(2)
        connections.open("a", 0.0)
        connections.open("b", 0.0)
        connections.hold("a")
        connections.on_progress("a")
        assert connections.open("c", 0.0) == "b"
        connections.hold("c")
        assert connections.open("d", 0.0) == "d"
        connections.release("a")
        assert connections.open("e", 0.0) == "a"

    def test_one_whose_response_is_not_read_gives_way(self):
        connections = CallerConnections(2)
        for name in ("a", "b"):
            connections.open(name, 0.0)
            connections.hold(name)
            connections.on_unread(name, 1.0)
        connections.on_read("a")
        assert connections.open("c", 1.9) == "c"
        assert connections.open("c", 2.0) == "b"
        connections.hold("c")
        assert connections.open("d", 9.0) == "d"

    def test_a_closed_one_leaves_its_place(self):
        connections = CallerConnections(1)
        connections.open("a", 0.0)
        connections.close("a")
        assert connections.open("b", 0.0) is None
        connections.release("a")
        assert len(connections) == 1

    def test_the_limit_leaves_descriptors_for_files_and_endpoints(self):
        for descriptors in (600, 1535, 8192):
            limit = connection_limit(descriptors, 0)
            assert limit > MIN_CONNECTIONS
            assert 2 * limit <= descriptors - RESERVED_DESCRIPTORS
        assert connection_limit(1, 0) == MIN_CONNECTIONS

    @pytest.mark.parametrize("memory_mb", [152, 200, 300, 552])
    def test_bodies_and_connections_fit_beside_a_started_node(self, memory_mb):
        connections = connection_limit(1_000_000, memory_mb)
        taken = (
            BASE_BYTES
            + limit_of_memory(memory_mb)
            + connections * CONNECTION_BYTES
        )
        # A tenth is left for what the allocator keeps.
        assert taken <= 0.9 * memory_mb * BYTES_PER_MB

    def test_the_limit_follows_a_small_memory(self):
        assert connection_limit(8192, 200) < connection_limit(8192, 552)
