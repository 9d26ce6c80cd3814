"""Replays requests at uneven endpoints with hedged attempts."""

from __future__ import annotations

import pytest

from guavalane_standins.hedging_replay import (
    LIMITS,
    MEASURED_FRACTION,
    UTILISATIONS,
    HedgingReplay,
)


@pytest.mark.parametrize("utilisation", UTILISATIONS)
class TestHedgingReplay:
    """Guards against hedges that add load without cutting slow responses."""

    def test_meets_the_limits(self, utilisation):
        slowest_s = []
        for max_extra in LIMITS:
            outcome = HedgingReplay(max_extra, utilisation, seed=1).run()
            assert outcome.hedges <= max_extra * outcome.requests
            assert outcome.hedges_when_full == 0
            assert outcome.won <= outcome.hedges
            slowest_s.append(outcome.quantile_s(MEASURED_FRACTION))
        # The largest limit is worth its load.
        assert slowest_s[-1] < slowest_s[0]
