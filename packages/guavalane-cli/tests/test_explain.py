"""Tests of the command `explain`."""

from __future__ import annotations

import json

import pytest

from guavalane_cli.commands.explain import UnknownRequestError, explain


def line(time, node, event, **fields):
    """Returns a log line."""
    return json.dumps({"node": node, "event": event, **fields, "time": time})


LINES = [
    line(1.0, "n1", "node.started"),
    line(2.0, "n1", "configuration.offered", version=7, in_force=True),
    line(2.1, "n1", "configuration.offered", version=6, in_force=False),
    line(3.0, "n1", "endpoint.listed", endpoint="e-1", leaving=True),
    line(4.0, "n1", "store.lost", kind="servers"),
    line(6.0, "n1", "attempt.sent", request="q-1", endpoint="e-1"),
    line(6.5, "n1", "request.refused", request="q-1", code="no_endpoint"),
    line(6.2, "n2", "request.answered", request="q-2"),
]


class TestExplain:
    """Guards against logs from which a failure cannot be reconstructed."""

    def test_shows_events_and_node_state_at_that_time(self):
        text = explain("q-1", LINES)
        assert "configuration: version 7" in text
        assert "servers lost for 2.0 s" in text
        assert "e-1: leaving, told 3.0 s ago" in text
        assert text.index("attempt.sent") < text.index("request.refused")
        assert "no_endpoint" in text
        assert "n2" not in text

    def test_accepts_lines_in_any_order_and_with_prefixes(self):
        shuffled = [f"  12.5 edge-1 {entry}" for entry in reversed(LINES)]
        assert explain("q-1", shuffled) == explain("q-1", LINES)

    def test_lines_without_log_events_are_ignored(self):
        noise = ["", "text", "{", "[1]", '{"event": 1}', '{"node": 1}']
        assert explain("q-1", noise + LINES) == explain("q-1", LINES)

    def test_truncated_line_does_not_hide_the_next(self):
        truncated = [LINES[0][:20] + LINES[0], *LINES[1:]]
        assert explain("q-1", truncated) == explain("q-1", LINES)

    def test_restart_resets_the_node_state(self):
        restarted = [*LINES[:5], line(5.0, "n1", "node.started"), *LINES[5:]]
        text = explain("q-1", restarted)
        assert "version None" in text
        assert "lost" not in text

    def test_unknown_request_raises(self):
        with pytest.raises(UnknownRequestError):
            explain("q-9", LINES)

    def test_shows_the_evidence_against_a_quarantined_part(self):
        crash = {"parts": ["a", "p-1"]}
        lines = [
            line(1.0, "n1", "endpoint.crashed", endpoint="e-1", **crash),
            line(2.0, "n2", "endpoint.crashed", endpoint="e-2", **crash),
            line(2.5, "n2", "endpoint.crashed", endpoint="e-3", parts=["a"]),
            line(
                3.0,
                "n1",
                "quarantine.started",
                part="p-1",
                crashes=3,
                source="received",
            ),
            line(5.0, "n1", "request.refused", request="q-1", part="p-1"),
        ]
        text = explain("q-1", lines)
        assert "p-1: in quarantine for 2.0 s after 3 crashes (received)" in text
        assert "e-1 crashed 4.0 s ago, seen by n1" in text
        assert "e-2 crashed 3.0 s ago, seen by n2" in text
        assert "e-3" not in text
        ended = line(4.0, "n1", "quarantine.ended", part="p-1")
        assert "in quarantine" not in explain("q-1", [*lines, ended])

    def test_shows_the_limits_that_left_no_endpoint(self):
        lines = [
            line(
                1.0,
                "n1",
                "endpoint.limited",
                endpoint="e-1",
                rate_per_s=2.5,
                source="n2",
            ),
            line(
                3.0,
                "n1",
                "request.refused",
                request="q-1",
                limit_waits_s={"e-1": None},
            ),
        ]
        assert (
            "e-1: takes 2.5 requests/s of all nodes, received 2.0 s ago from"
            " n2; room: none for this node"
        ) in explain("q-1", lines)
