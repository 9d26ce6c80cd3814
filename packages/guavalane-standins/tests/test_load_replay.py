"""Tests of the choice among uneven endpoints in a replay."""

from __future__ import annotations

import attrs
import pytest

from guavalane_core.placement import choose_endpoint, sample_endpoints
from guavalane_core.placement.server_load import UNKNOWN
from guavalane_standins.load_replay import LoadCase, LoadReplay

# Latency objective of the plain routes in seconds.
OBJECTIVE_S = 0.16
MAX_NODES_FULL_COMPARISON = 16


def choose(candidates, rng):
    """Chooses as a node of a large fleet does."""
    return choose_endpoint(sample_endpoints(candidates, rng), "zone-a")


def choose_all(candidates, rng):
    """Chooses as a node of a small fleet does."""
    return choose_endpoint(candidates, "zone-a")


def ignore_figures(inner):
    """Returns a choice that does not know the figures of responses."""
    return lambda candidates, rng: inner(
        [attrs.evolve(c, figures=UNKNOWN) for c in candidates], rng
    )


class TestLoadReplay:
    """Guards against a choice that the figures of responses make worse."""

    @pytest.mark.parametrize("nodes", [7, 70])
    @pytest.mark.parametrize("delay_s", [0.0, 1.0])
    def test_uneven_endpoints(self, nodes, delay_s):
        case = LoadCase(
            nodes=nodes, figure_delay_s=delay_s, rate_per_s=300, duration_s=20
        )
        small = nodes <= MAX_NODES_FULL_COMPARISON
        with_figures = choose_all if small else choose
        before = LoadReplay(case, ignore_figures(with_figures)).run()
        after = LoadReplay(case, with_figures).run()
        assert after.p99_s < before.p99_s
        assert after.p50_s <= 1.1 * before.p50_s
        # The endpoint that is always slow still gets a request now and then.
        slow = after.by_endpoint["e-03"]
        assert 0 < slow < before.by_endpoint["e-03"]

    @pytest.mark.parametrize("nodes", [7, 118])
    def test_even_endpoints_get_the_same_load(self, nodes):
        case = LoadCase(
            nodes=nodes, uneven=False, rate_per_s=600, duration_s=10
        )
        small = nodes <= MAX_NODES_FULL_COMPARISON
        result = LoadReplay(case, choose_all if small else choose).run()
        assert result.busiest < 1.25
        assert result.p99_s < OBJECTIVE_S

    def test_without_the_fourth_figure_choices_are_the_same(self):
        case = LoadCase(states_slowdown=False, duration_s=6)
        with_figures = LoadReplay(case, choose).run()
        without = LoadReplay(case, ignore_figures(choose)).run()
        assert with_figures == without
