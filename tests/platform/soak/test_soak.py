"""A short soak with fixed seeds."""

from __future__ import annotations

import pytest

from soak.run import play

# Seeds, and the time in which their faults begin, in seconds. A seed that ever
# failed is kept here with a line on its cause.
SEEDS = ((1, 10.0), (2, 10.0))


class TestSoak:
    """Guards against promises that break under faults in series."""

    @pytest.mark.parametrize(("seed", "seconds"), SEEDS)
    async def test_no_promise_is_broken(self, seed, seconds, tmp_path):
        result = await play(seed, seconds)
        for name, text in result.logs.items():
            (tmp_path / f"{name}.log").write_text(text)
        seen = f"calls {result.calls}, faults {result.faults}, see {tmp_path}"
        assert result.broken == {}, seen
        assert result.calls[200] > 100
        assert sum(result.faults.values()) >= 4
