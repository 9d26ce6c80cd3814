"""Tests of the recorded traces."""

from __future__ import annotations

import copy
import json
import pathlib

import pytest

from guavalane_cli.commands.replay import replay
from guavalane_cli.trace import Expected, ReplayResult, differences, parse_trace
from guavalane_core.exceptions import ConfigurationError

# Fleet and routing traces have formats and tests of their own.
OTHER_KINDS = ("fleet-", "routing-")
TRACES = sorted(
    path
    for path in (pathlib.Path(__file__).parents[3] / "traces").glob("*.json")
    if not path.name.startswith(OTHER_KINDS)
)
# Traces that are replayed twice, to check that replays are deterministic.
REPLAYED_TWICE = ("leader-killed-bad-version", "two-operators")


class TestTraces:
    """Guards against changes in the results of recorded moves."""

    def test_traces_are_present(self):
        assert len(TRACES) >= 19

    @pytest.mark.parametrize("path", TRACES, ids=lambda p: p.stem)
    def test_result_is_as_expected(self, path):
        result = replay(str(path))
        assert result["differences"] == []
        if path.stem in REPLAYED_TWICE:
            assert replay(str(path)) == result


class TestDifferences:
    """Guards against expectations that are not compared with the result."""

    @pytest.mark.parametrize(
        ("expected", "text"),
        [
            ({"state": "done"}, "not done"),
            ({"reason": "slow"}, "does not contain 'slow'"),
            ({"by_s": 10.0}, "not by 10 s"),
            ({"bad_requests_at_most": 5}, "served 6 requests"),
            ({"bad_percent_at_most": 1.0}, "served 6 %"),
            ({"refused_confirms": 1}, "0 confirms"),
            ({"leaders": 2}, "1 nodes led"),
        ],
    )
    def test_each_expectation_is_compared(self, expected, text):
        result = ReplayResult(
            state="undone",
            ended_s=20.0,
            bad_requests=6,
            requests_since_fault=100,
            leaders=["a"],
            time_line=["a end: undone: errors"],
        )
        good = {"state": "undone", "reason": "errors", "by_s": 20.0}
        assert differences(result, Expected(**good)) == []
        (mismatch,) = differences(result, Expected(**{**good, **expected}))
        assert text in mismatch


class TestParseTrace:
    """Guards against traces with misspelt keys that pass unnoticed."""

    DATA = json.loads(TRACES[0].read_text())

    @pytest.mark.parametrize(
        ("section", "key"),
        [(None, "secnods"), ("expected", "leders"), ("events", "do")],
    )
    def test_unknown_keys_and_events_are_rejected(self, section, key):
        data = copy.deepcopy(self.DATA)
        target = data if section is None else data[section]
        target = target[0] if isinstance(target, list) else target
        target[key] = "unheard_of"
        with pytest.raises(ConfigurationError):
            parse_trace(data)
