"""Short soak test with fixed seeds."""

from __future__ import annotations

import pytest

from guavalane_core.objects.relays import MIN_FLEET_SIZE
from soak.run import run_seed

# Seeds and the duration of the phase in which faults start, in seconds. Seeds
# that have failed stay here, with a line on the cause.
SEEDS = ((1, 10.0), (2, 10.0))
# Faults beside returns of the store from an older copy, in a fleet with relays.
RETURN_FAULTS = (
    "store_restored",
    "configuration_changes",
    "endpoint_leaves",
    "node_killed",
    "node_paused",
)
RETURN_SEEDS = ((5, 10.0), (7, 10.0))


class TestSoak:
    """Guards against invariants violated under successive faults."""

    @pytest.mark.parametrize(("seed", "seconds"), SEEDS)
    async def test_invariants_hold(self, seed, seconds, tmp_path):
        result = await run_seed(seed, seconds)
        self._check(result, tmp_path)

    @pytest.mark.parametrize(("seed", "seconds"), RETURN_SEEDS)
    async def test_invariants_hold_when_the_store_comes_back_older(
        self, seed, seconds, tmp_path
    ):
        result = await run_seed(seed, seconds, RETURN_FAULTS, MIN_FLEET_SIZE)
        self._check(result, tmp_path)
        assert result.faults["store_restored"] > 0

    def _check(self, result, tmp_path):
        for name, text in result.logs.items():
            (tmp_path / f"{name}.log").write_text(text)
        seen = f"calls {result.calls}, faults {result.faults}, see {tmp_path}"
        assert result.broken == {}, seen
        assert result.calls[200] > 100
        assert sum(result.faults.values()) >= 4
