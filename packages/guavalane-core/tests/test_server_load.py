"""Tests of the load and speed that endpoints state."""

from __future__ import annotations

import random

import pytest

from guavalane_core.forwarding import Engine
from guavalane_core.placement import (
    Candidate,
    EngineRates,
    choose_endpoint,
    rank_engines,
    sample_endpoints,
    server_load,
)
from guavalane_core.placement.server_load import (
    MAX_LOAD_AGE_S,
    MAX_SPEED_AGE_S,
    Figures,
    ServerLoad,
    ServerLoads,
)
from guavalane_core.placement.work import Load
from guavalane_standins.forwarding_samples import make_endpoint, make_prompt

ENGINE = Engine(slots=4, kv_tokens=100_000)


class TestParse:
    """Guards against choices by a header that makes no sense."""

    def test_four_figures(self):
        assert ServerLoad.parse("3, 0,8,120") == ServerLoad(3, 0, 8, 1.2)

    def test_three_figures_state_no_speed(self):
        assert ServerLoad.parse("3,1,8") == ServerLoad(3, 1, 8, None)

    @pytest.mark.parametrize(
        "text",
        [
            None,
            "",
            "3,0",
            "3,0,8,100,1",
            "-1,0,8",
            "x,0,8",
            "3,,8",
            "3,0,0",
            "1e3,0,8",
            "9" * 400 + ",0,8",
            "999999999,0,8",
            "\u0663,0,8",
        ],
    )
    def test_odd_counts_are_unknown(self, text):
        assert ServerLoad.parse(text) is None

    @pytest.mark.parametrize(
        "percent",
        ["", "0", "-5", "nan", "inf", "1e9", "99999999", "0.001", "9" * 400],
    )
    def test_an_odd_speed_is_unknown(self, percent):
        load = ServerLoad.parse(f"3,0,8,{percent}")
        assert load == ServerLoad(3, 0, 8, None)


class TestFigures:
    """Guards against choices by figures that have become old."""

    @pytest.fixture
    def loads(self):
        """Figures of a node."""
        return ServerLoads()

    def test_the_latest_speed_gives_way_to_the_average(self, loads):
        for step in range(200):
            now_s = step * 0.5
            loads.observe("e-1", ServerLoad(1, 0, 4, 2.0), 1, now_s)
        loads.observe("e-1", ServerLoad(1, 0, 4, 8.0), 1, now_s + 0.01)
        assert loads.slowdown("e-1", now_s + 0.01) == pytest.approx(8.0)
        assert 1.8 < loads.slowdown("e-1", now_s + 2.0) < 2.2

    def test_a_slow_endpoint_is_tried_again(self, loads):
        loads.observe("e-1", ServerLoad(1, 0, 4, 50.0), 1, 0.0)
        assert loads.slowdown("e-1", 5.0) > 30.0
        assert loads.slowdown("e-1", MAX_SPEED_AGE_S + 1.0) is None

    def test_own_requests_since_are_added(self, loads):
        loads.observe("e-1", ServerLoad(3, 2, 4), 2, 0.0)
        assert loads.requests("e-1", 2, 0.1) == 5
        assert loads.requests("e-1", 4, 0.1) == 7
        assert loads.requests("e-1", 0, 0.1) == 3
        assert loads.requests("e-1", 2, MAX_LOAD_AGE_S + 0.1) is None

    def test_removed_endpoints_do_not_accumulate(self, loads, monkeypatch):
        monkeypatch.setattr(server_load, "MAX_ENDPOINTS", 2)
        for index, name in enumerate(("e-1", "e-2", "e-1", "e-3")):
            loads.observe(name, ServerLoad(1, 0, 4, 2.0), 1, 0.1 * index)
        assert loads.known(0.3).keys() == {"e-1", "e-3"}

    def test_three_figures_do_not_change_the_speed(self, loads):
        loads.observe("e-1", ServerLoad(3, 0, 4), 1, 0.0)
        assert loads.slowdown("e-1", 0.0) is None
        loads.observe("e-1", ServerLoad(3, 0, 4, 2.0), 1, 1.0)
        loads.observe("e-1", ServerLoad(3, 0, 4), 1, 2.0)
        assert loads.slowdown("e-1", 2.0) > 1.5


def make_candidates(*slowdowns, requests=None):
    """Returns candidates with equal loads and the given slowdowns."""
    return [
        Candidate(
            make_endpoint(f"e-{index}"),
            Load(1),
            figures=Figures(slowdown, requests),
        )
        for index, slowdown in enumerate(slowdowns)
    ]


class TestChoice:
    """Guards against requests to a slow endpoint beside fast ones."""

    def test_a_fast_endpoint_is_preferred(self):
        chosen = choose_endpoint(make_candidates(3.0, 1.2, None), "zone-a")
        assert chosen.endpoint.endpoint_id == "e-2"
        ranked = rank_engines(
            make_candidates(3.0, 1.2),
            make_prompt(),
            ENGINE,
            EngineRates(),
            "zone-a",
            make_candidates(1.0)[0],
        )
        assert ranked[0][1].endpoint.endpoint_id == "e-1"

    def test_a_slow_endpoint_helps_when_the_fast_one_is_full(self):
        slow, fast = make_candidates(2.0, 1.0)
        fast = Candidate(fast.endpoint, Load(9), figures=fast.figures)
        chosen = choose_endpoint([slow, fast], "zone-a")
        assert chosen is slow

    def test_without_a_speed_the_load_in_the_header_changes_nothing(self):
        rng = random.Random(4)
        for _ in range(200):
            known, blind = [], []
            for index in range(5):
                endpoint = make_endpoint(f"e-{index}")
                load = Load(rng.randrange(6), rng.randrange(9000))
                blind.append(Candidate(endpoint, load))
                stated = Figures(None, rng.randrange(6))
                known.append(Candidate(endpoint, load, figures=stated))
            plain = [choose_endpoint(c, "zone-a") for c in (known, blind)]
            assert plain[0].endpoint == plain[1].endpoint
            prompt = make_prompt(4000, f"t-{rng.randrange(99)}")
            ranked = [
                rank_engines(c, prompt, ENGINE, EngineRates(), "zone-a")
                for c in (known, blind)
            ]
            assert [x.endpoint for _, x in ranked[0]] == [
                x.endpoint for _, x in ranked[1]
            ]
            seed = rng.random()
            samples = [
                sample_endpoints(c, random.Random(seed)) for c in (known, blind)
            ]
            assert [c.endpoint for c in samples[0]] == [
                c.endpoint for c in samples[1]
            ]
