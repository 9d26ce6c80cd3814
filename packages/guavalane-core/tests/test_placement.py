"""Tests of the choice of an endpoint for a forwarded request."""

from __future__ import annotations

from guavalane_core.forwarding import Engine
from guavalane_core.placement import (
    Candidate,
    EngineRates,
    PrefixDirectory,
    WorkTable,
    choose_endpoint,
    rank_engines,
)
from guavalane_core.placement.prefixes import LIFE_S, MAX_TOLD
from guavalane_core.placement.work import Load
from guavalane_standins.forwarding_samples import make_endpoint, make_prompt

ENGINE = Engine(slots=4, kv_tokens=100_000)


def rank(prompt, *candidates):
    """Returns the names of candidates, the best first."""
    ranked = rank_engines(
        candidates, prompt, ENGINE, EngineRates(), zone="zone-a"
    )
    return [c.endpoint.endpoint_id for _, c in ranked]


class TestRankEngines:
    """Guards against prompts that are read again or wait needlessly."""

    def test_a_cached_prompt_attracts(self):
        prompt = make_prompt(10_000)
        for warm in ("e-1", "e-2", "e-3"):
            candidates = [
                Candidate(make_endpoint(name), Load(), 9000 * (name == warm))
                for name in ("e-1", "e-2", "e-3")
            ]
            assert rank(prompt, *candidates)[0] == warm

    def test_a_long_queue_outweighs_the_cache(self):
        prompt = make_prompt(10_000)
        busy = Candidate(make_endpoint("e-1"), Load(12, 80_000), 9000)
        idle = Candidate(make_endpoint("e-2"), Load())
        assert rank(prompt, busy, idle)[0] == "e-2"

    def test_all_nodes_choose_the_same_home(self):
        prompt = make_prompt(10_000)
        names = ["e-1", "e-2", "e-3", "e-4"]
        first = [Candidate(make_endpoint(name), Load()) for name in names]
        second = list(reversed(first))
        assert rank(prompt, *first)[0] == rank(prompt, *second)[0]

    def test_homes_are_spread(self):
        names = ["e-1", "e-2", "e-3", "e-4"]
        candidates = [Candidate(make_endpoint(name), Load()) for name in names]
        homes = {
            rank(make_prompt(10_000, f"thing-{i}"), *candidates)[0]
            for i in range(40)
        }
        assert homes == set(names)

    def test_no_candidate(self):
        assert rank(make_prompt()) == []


class TestChooseEndpoint:
    """Guards against a full endpoint beside an idle one."""

    def test_least_load_by_slots(self):
        small = Candidate(make_endpoint("e-1", slots=2), Load(1))
        large = Candidate(make_endpoint("e-2", slots=8), Load(2))
        assert choose_endpoint([small, large], "zone-a") is large

    def test_own_zone_breaks_ties(self):
        far = Candidate(make_endpoint("e-1", zone="zone-b"), Load())
        near = Candidate(make_endpoint("e-2"), Load())
        assert choose_endpoint([far, near], "zone-a") is near

    def test_no_candidate(self):
        assert choose_endpoint([], "zone-a") is None


class TestWorkTable:
    """Guards against load that is forgotten or kept for ever."""

    def test_own_and_reported_work_add_up(self):
        table = WorkTable()
        work = table.start("e-1", 500)
        table.report("n2", {"e-1": Load(2, 100)}, 2.0)
        assert table.total("e-1", 0.0) == Load(3, 600)
        table.finish(work)
        table.finish(work)
        assert table.total("e-1", 0.0) == Load(2, 100)

    def test_the_work_of_a_silent_node_ends(self):
        table = WorkTable()
        table.report("n2", {"e-1": Load(2, 100)}, 2.0)
        assert table.total("e-1", 2.0) == Load(2, 100)
        assert table.total("e-1", 2.1) == Load()


class TestPrefixDirectory:
    """Guards against credit for prompts that an endpoint lacks."""

    def test_a_part_counts_only_after_the_ones_before(self):
        directory = PrefixDirectory()
        prompt = make_prompt(1000)
        directory.record_part("e-1", "thing-1", 0.0)
        assert directory.cached_tokens("e-1", prompt, 0.0) == 0
        directory.record_part("e-1", "common", 0.0)
        assert directory.cached_tokens("e-1", prompt, 0.0) == 750

    def test_credit_ends(self):
        directory = PrefixDirectory()
        prompt = make_prompt(1000)
        directory.record("e-1", prompt, 0.0)
        assert directory.cached_tokens("e-1", prompt, LIFE_S) == 1000
        assert directory.cached_tokens("e-1", prompt, LIFE_S + 1) == 0
        directory.record("e-1", prompt, 100.0)
        directory.forget("e-1")
        assert directory.cached_tokens("e-1", prompt, 100.0) == 0

    def test_each_part_is_told_twice_within_bounds(self):
        directory = PrefixDirectory()
        directory.record("e-1", make_prompt(), 0.0)
        assert len(directory.take_recent()) == 3
        assert len(directory.take_recent()) == 3
        assert directory.take_recent() == []
        for i in range(100):
            directory.record("e-1", make_prompt(1000, f"t{i}"), 0.0)
        assert len(directory.take_recent()) == MAX_TOLD
