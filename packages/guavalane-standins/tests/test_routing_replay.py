"""Replays recorded routing traces and checks the bounds that they state."""

from __future__ import annotations

import pathlib

import pytest

from guavalane_standins.routing_replay import (
    RoutingReplay,
    load_trace,
    percentile,
)

TRACES = pathlib.Path(__file__).parents[3] / "traces"
PATHS = sorted(TRACES.glob("routing-*.json"))


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("path", PATHS, ids=lambda p: p.stem)
class TestRoutingReplay:
    """Guards against lost requests, high latency and recomputed prefixes."""

    def test_meets_stated_bounds(self, path, seed):
        trace = load_trace(path)
        bounds = trace["outcome"]
        outcome = RoutingReplay(trace, "prefix_aware", seed).run()
        baseline = RoutingReplay(trace, "least_loaded", seed).run()
        assert outcome.violations == []
        assert outcome.answered == baseline.answered > 1000
        assert len(outcome.first_token_s) == outcome.answered
        first_token_s = percentile(outcome.first_token_s, 0.95)
        assert first_token_s <= bounds["first_token_s_at_most"]
        between_s = percentile(outcome.token_s, 0.95)
        assert between_s <= bounds["between_tokens_s_at_most"]
        ratio = outcome.recomputed_tokens / baseline.recomputed_tokens
        assert ratio < bounds["recomputed_to_least_loaded_below"]
