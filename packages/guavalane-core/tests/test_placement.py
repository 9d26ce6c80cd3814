"""Tests of endpoint selection for forwarded requests."""

from __future__ import annotations

import random

from guavalane_core.forwarding import Engine
from guavalane_core.placement import (
    Candidate,
    EngineRates,
    PrefixDirectory,
    WorkTable,
    choose_endpoint,
    rank_engines,
    sample_endpoints,
    shortlist,
)
from guavalane_core.placement.prefixes import ENTRY_TTL_S, MAX_REPORTED_PARTS
from guavalane_core.placement.work import Load
from guavalane_standins.forwarding_samples import make_endpoint, make_prompt

ENGINE = Engine(slots=4, kv_tokens=100_000)


def rank(prompt, *candidates):
    """Returns the names of candidates in order of cost."""
    ranked = rank_engines(
        candidates, prompt, ENGINE, EngineRates(), zone="zone-a"
    )
    return [c.endpoint.endpoint_id for _, c in ranked]


class TestRankEngines:
    """Guards against unnecessary prefill and waiting."""

    def test_cached_prompt_is_preferred(self):
        prompt = make_prompt(10_000)
        for cached in ("e-1", "e-2", "e-3"):
            candidates = [
                Candidate(make_endpoint(name), Load(), 9000 * (name == cached))
                for name in ("e-1", "e-2", "e-3")
            ]
            assert rank(prompt, *candidates)[0] == cached

    def test_long_queue_outweighs_the_cache(self):
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

    def test_homes_are_distributed(self):
        names = ["e-1", "e-2", "e-3", "e-4"]
        candidates = [Candidate(make_endpoint(name), Load()) for name in names]
        homes = {
            rank(make_prompt(10_000, f"thing-{i}"), *candidates)[0]
            for i in range(40)
        }
        assert homes == set(names)

    def test_no_candidate(self):
        assert rank(make_prompt()) == []


class ClusterSimulation:
    """Simulates many nodes that learn each other's load through relays.

    The parameters are those of the larger grown deployment. In each period,
    the nodes report their load, and half a period later, all nodes receive the
    sum.

    Args:
      choose: Function that returns one of the candidates for a request.
    """

    NODES = 80
    ENDPOINTS = 40
    SLOTS = 12
    PERIOD_S = 0.25
    RUN_S = 0.9
    RATE = 280
    SECONDS = 20
    STEP_S = 0.01

    def __init__(self, choose):
        self._choose = choose
        self._rng = random.Random(7)
        self._endpoints = [
            make_endpoint(f"e-{i}", slots=self.SLOTS)
            for i in range(self.ENDPOINTS)
        ]
        self._tables = [WorkTable() for _ in range(self.NODES)]
        self._running = []
        self._reported = []

    def run(self):
        """Returns the fraction of requests that found no free slot."""
        found_full = 0
        requests = 0
        steps = int(self.SECONDS / self.STEP_S)
        for step in range(steps):
            now_s = step * self.STEP_S
            self._finish(now_s)
            self._report(step, now_s)
            for _ in range(self._rng.choice((2, 3, 3, 3))):
                requests += 1
                found_full += self._send(now_s)
        return found_full / requests

    def _finish(self, now_s):
        ended = [item for item in self._running if item[0] <= now_s]
        self._running = [item for item in self._running if item[0] > now_s]
        for _, table, work in ended:
            table.finish(work)

    def _report(self, step, now_s):
        phase = step % int(self.PERIOD_S / self.STEP_S)
        if phase == 0:
            self._reported = [table.own_loads() for table in self._tables]
        elif phase == int(self.PERIOD_S / self.STEP_S / 2):
            total = {}
            for loads in self._reported:
                for name, load in loads.items():
                    total[name] = total.get(name, Load()) + load
            for table, own in zip(self._tables, self._reported, strict=True):
                others = {n: t - own.get(n, Load()) for n, t in total.items()}
                table.relay(others, now_s + 5)

    def _send(self, now_s):
        table = self._rng.choice(self._tables)
        prompt = make_prompt(2000, f"t-{self._rng.randrange(600)}")
        candidates = [
            Candidate(e, table.total(e.endpoint_id, now_s))
            for e in self._endpoints
        ]
        chosen = self._choose(candidates, prompt, self._rng)
        name = chosen.endpoint.endpoint_id
        in_flight = sum(
            work.endpoint_id == name for _, _, work in self._running
        )
        run_s = self.RUN_S * self._rng.uniform(0.5, 1.5)
        work = table.start(name)
        self._running.append((now_s + run_s, table, work))
        return in_flight >= self.SLOTS


def best_of_all(candidates, prompt, rng):
    """Returns the best of all candidates according to the known load."""
    del rng
    ranked = rank_engines(candidates, prompt, ENGINE, EngineRates(), "zone-a")
    return ranked[0][1]


def best_of_shortlist(candidates, prompt, rng):
    """Returns the best candidate of the shortlist."""
    chosen, home = shortlist(candidates, prompt, rng)
    ranked = rank_engines(chosen, prompt, ENGINE, EngineRates(), "zone-a", home)
    return ranked[0][1]


class TestShortlist:
    """Guards against many nodes that choose the same endpoint."""

    def test_few_requests_find_no_free_slot(self):
        # On average 252 of 480 slots are in use. 95 % of the requests must
        # start immediately.
        full = ClusterSimulation(best_of_shortlist).run()
        assert full < 0.05
        assert full < 0.5 * ClusterSimulation(best_of_all).run()

    def test_shortlist_contains_cached_candidates_and_the_home(self):
        prompt = make_prompt(10_000)
        candidates = [
            Candidate(make_endpoint(f"e-{i}"), Load(), 9000 * (i == 17))
            for i in range(40)
        ]
        homes = set()
        for seed in range(20):
            chosen, home = shortlist(candidates, prompt, random.Random(seed))
            assert candidates[17] in chosen
            assert home in chosen
            assert len(chosen) <= 6
            homes.add(home.endpoint.endpoint_id)
        assert len(homes) == 1

    def test_service_without_engine_compares_two(self):
        candidates = [
            Candidate(make_endpoint(f"e-{i}"), Load()) for i in range(4)
        ]
        seen = set()
        for seed in range(40):
            chosen = sample_endpoints(candidates, random.Random(seed))
            assert len(chosen) == 2
            seen.update(c.endpoint.endpoint_id for c in chosen)
        assert len(seen) == 4
        assert sample_endpoints([], random.Random(1)) == []


class TestChooseEndpoint:
    """Guards against use of a full endpoint while another is idle."""

    def test_load_is_relative_to_slots(self):
        small = Candidate(make_endpoint("e-1", slots=2), Load(1))
        large = Candidate(make_endpoint("e-2", slots=8), Load(2))
        assert choose_endpoint([small, large], "zone-a") is large

    def test_local_zone_breaks_ties(self):
        far = Candidate(make_endpoint("e-1", zone="zone-b"), Load())
        near = Candidate(make_endpoint("e-2"), Load())
        assert choose_endpoint([far, near], "zone-a") is near

    def test_no_candidate(self):
        assert choose_endpoint([], "zone-a") is None


class TestWorkTable:
    """Guards against load that is lost or never expires."""

    def test_own_and_reported_load_is_summed(self):
        table = WorkTable()
        work = table.start("e-1", 500)
        table.report("n2", {"e-1": Load(2, 100)}, 2.0)
        assert table.total("e-1", 0.0) == Load(3, 600)
        table.finish(work)
        table.finish(work)
        assert table.total("e-1", 0.0) == Load(2, 100)

    def test_load_of_a_silent_node_expires(self):
        table = WorkTable()
        table.report("n2", {"e-1": Load(2, 100)}, 2.0)
        assert table.total("e-1", 2.0) == Load(2, 100)
        assert table.total("e-1", 2.1) == Load()

    def test_repeated_report_extends_its_validity(self):
        """Guards against load that is dropped or counted twice."""
        table = WorkTable()
        for until_s in (1.0, 2.0):
            table.report("n1", {"e": Load(2, 50)}, until_s)
        assert table.total("e", 1.5) == Load(2, 50)
        table.report("n1", {"e": Load(1, 10)}, 3.0)
        assert table.total("e", 2.5) == Load(1, 10)
        assert table.total("e", 3.5) == Load(0, 0)


class TestPrefixDirectory:
    """Guards against expecting prompts that an endpoint has not cached."""

    def test_part_counts_only_after_all_preceding_parts(self):
        directory = PrefixDirectory()
        prompt = make_prompt(1000)
        directory.record_part("e-1", "thing-1", 0.0)
        assert directory.cached_tokens("e-1", prompt, 0.0) == 0
        directory.record_part("e-1", "common", 0.0)
        assert directory.cached_tokens("e-1", prompt, 0.0) == 750

    def test_entries_expire(self):
        directory = PrefixDirectory()
        prompt = make_prompt(1000)
        directory.record("e-1", prompt, 0.0)
        assert directory.cached_tokens("e-1", prompt, ENTRY_TTL_S) == 1000
        assert directory.cached_tokens("e-1", prompt, ENTRY_TTL_S + 1) == 0
        directory.record("e-1", prompt, 100.0)
        directory.forget("e-1")
        assert directory.cached_tokens("e-1", prompt, 100.0) == 0

    def test_each_part_is_reported_twice_within_bounds(self):
        directory = PrefixDirectory()
        directory.record("e-1", make_prompt(), 0.0)
        assert len(directory.take_unreported()) == 3
        assert len(directory.take_unreported()) == 3
        assert directory.take_unreported() == []
        for i in range(100):
            directory.record("e-1", make_prompt(1000, f"t{i}"), 0.0)
        assert len(directory.take_unreported()) == MAX_REPORTED_PARTS
