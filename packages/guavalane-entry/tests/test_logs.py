"""Tests of the log of a process."""

from __future__ import annotations

import os
import subprocess
import sys
import time

from guavalane_entry.line_writer import WRITER_PERIOD_S, LineWriter

# Lines that a process logs, more than the pipe of its log holds.
LINES = 3000
PROGRAM = f"""
from loguru import logger
from guavalane_entry import logs
logs.configure_default()
for number in range({LINES}):
    logger.info("line {{}} {{}}", number, "x" * 200)
print("done", flush=True)
"""
TIMEOUT_S = 20.0


def start():
    """Starts a process that logs, with pipes for both outputs."""
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )


class TestLog:
    """Guards against a process that hangs or loses its last lines."""

    def test_a_reader_that_stops_reading_does_not_block_the_process(self):
        process = start()
        try:
            assert process.stdout.readline() == b"done\n"
            assert process.wait(TIMEOUT_S) == 0
        finally:
            process.kill()
            process.communicate()

    def test_a_line_is_written_at_once(self):
        read_end, write_end = os.pipe()
        with os.fdopen(read_end) as reader, os.fdopen(write_end, "w") as stream:
            writer = LineWriter("log", stream, str, str, is_prompt=True)
            writer.start()
            began_s = time.monotonic()
            writer.put("line\n")
            assert reader.readline() == "line\n"
            assert time.monotonic() - began_s < WRITER_PERIOD_S / 2
            writer.stop()

    def test_all_lines_are_written_at_the_end(self):
        process = start()
        began_s = time.monotonic()
        _, errors = process.communicate(timeout=TIMEOUT_S)
        assert time.monotonic() - began_s < TIMEOUT_S
        lines = errors.decode().splitlines()
        assert len(lines) == LINES
        assert lines[-1].endswith(f"line {LINES - 1} " + "x" * 200)
