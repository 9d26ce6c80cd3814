"""Replays recorded fleet traces and checks the bounds that they state."""

from __future__ import annotations

import pathlib

import pytest

from guavalane_standins.fleet_replay import FleetReplay, load_trace

TRACES = pathlib.Path(__file__).parents[3] / "traces"


@pytest.mark.parametrize(
    "path", sorted(TRACES.glob("fleet-*.json")), ids=lambda p: p.stem
)
class TestFleetReplay:
    """Guards against plans that fail on reclaims, stockouts and outages."""

    def test_meets_stated_bounds(self, path):
        trace = load_trace(path)
        bounds = trace["outcome"]
        outcome = FleetReplay(trace).run()
        assert outcome.violations == []
        assert outcome.below_target_s <= bounds["below_target_s_at_most"]
        assert outcome.unserved_s <= bounds["unserved_s_at_most"]
        assert outcome.plan_changes <= bounds["plan_changes_at_most"]
        assert outcome.on_demand_at_end == bounds["on_demand_at_end"]
        ratio = outcome.cost / outcome.on_demand_cost
        assert ratio <= bounds["cost_ratio_at_most"]
        assert outcome.refused > 0
