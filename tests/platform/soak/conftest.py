"""Fixtures of the plays of installations."""

from __future__ import annotations

import pytest

from soak.sheet import read_sheet
from soak.sheet_run import play

PLAY_S = 8.0


@pytest.fixture
def play_seed(tmp_path):
    """Returns a function that plays a seed and checks that no rule is broken.

    It keeps the logs of the nodes and returns the result of the play.
    """

    async def play_and_check(site, seed, names):
        result = await play(read_sheet(site), seed, PLAY_S, names)
        for name, text in result.logs.items():
            (tmp_path / f"{name}.log").write_text(text)
        seen = f"{result.statuses}, faults {result.faults}, see {tmp_path}"
        assert result.broken == {}, seen
        assert result.statuses[200] > 50
        assert result.arrivals[1] > 0
        return result

    return play_and_check
