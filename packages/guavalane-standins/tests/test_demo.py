"""Test of the demo."""

from __future__ import annotations

import pathlib
import subprocess
import sys


def processes_of_session(session: int) -> list[str]:
    """Returns the command lines of the running processes of a session."""
    found = []
    for stat in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
            command = (stat.parent / "cmdline").read_text()
        except OSError:
            continue
        # Fields after the command name: state, ppid, pgrp, session.
        if int(fields[3]) == session and fields[0] != "Z":
            found.append(command.replace("\0", " "))
    return found


class TestDemo:
    """Guards against a demo that fails or leaves processes running."""

    def test_succeeds_and_leaves_no_processes(self):
        process = subprocess.Popen(
            [sys.executable, "-m", "guavalane_standins.demo"],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )
        output, _ = process.communicate(timeout=60)
        assert process.returncode == 0, output
        assert "certificates-a-1" in output
        assert processes_of_session(process.pid) == []
