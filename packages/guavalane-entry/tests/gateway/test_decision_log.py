"""Tests of the structured log."""

from __future__ import annotations

import io
import json
import os
import time

from guavalane_entry.gateway.decision_log import RESERVED_LINES, DecisionLog
from guavalane_entry.line_writer import MAX_QUEUED_LINES


class TestDecisionLog:
    """Guards against a log that blocks the node or drops important lines."""

    def test_one_json_object_per_line(self):
        stream = io.StringIO()
        log = DecisionLog("n1", lambda: 12.5, stream)
        log.start()
        log.request("request.refused", "q-1", code="overloaded")
        log.event("store.lost", kind="servers")
        log.stop()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        assert lines == [
            {
                "node": "n1",
                "event": "request.refused",
                "request": "q-1",
                "code": "overloaded",
                "time": 12.5,
            },
            {
                "node": "n1",
                "event": "store.lost",
                "kind": "servers",
                "time": 12.5,
            },
        ]

    def test_a_stalled_reader_drops_lines_without_blocking(self):
        read_end, write_end = os.pipe()
        with os.fdopen(write_end, "w") as stream:
            log = DecisionLog("n1", time.time, stream)
            log.start()
            began_s = time.thread_time()
            for i in range(4 * MAX_QUEUED_LINES):
                log.request("request.answered", f"q-{i}", pad="x" * 50)
            # A full pipe does not block the thread that logs.
            assert time.thread_time() - began_s < 5.0
            assert log.dropped >= 2 * MAX_QUEUED_LINES
            before = log.dropped
            for _ in range(RESERVED_LINES // 2):
                log.event("store.lost", kind="servers")
            assert log.dropped == before
            os.close(read_end)
            log.stop()

    def test_dropped_lines_are_reported(self):
        stream = io.StringIO()
        log = DecisionLog("n1", time.time, stream)
        for i in range(MAX_QUEUED_LINES):
            log.request("request.answered", f"q-{i}")
        log.start()
        log.stop()
        last = json.loads(stream.getvalue().splitlines()[-1])
        assert last["event"] == "log.dropped"
        assert last["total"] == RESERVED_LINES

    def test_a_closed_stream_does_not_raise(self):
        stream = io.StringIO()
        stream.close()
        log = DecisionLog("n1", time.time, stream)
        log.event("node.started")
        log.start()
        log.stop()
        assert log.dropped == 1
