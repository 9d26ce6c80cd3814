"""Process tests of the restrictions of the VMs."""

from __future__ import annotations

import json
import os
import pathlib
import stat

import pytest

from guavalane_standins.cluster import Cluster, caller_headers
from guavalane_standins.processes import ProcessGroup, fetch


@pytest.fixture(scope="module")
def node():
    """Runs a node that has served a request; yields cluster and node PID."""
    with ProcessGroup() as group:
        cluster = Cluster(group)
        cluster.start_platform()
        cluster.start_engine("engine-a", "zone-a")
        handle = cluster.start_node("entry-a", "zone-a")
        status, _ = fetch(
            f"{handle.callers}/v1/chat/completions",
            body={
                "model": "assistant",
                "messages": [{"role": "user", "content": "hello"}],
            },
            headers=caller_headers(),
        )
        assert status == 200
        yield cluster, group.process("entry-a").pid


# Number of snapshots of the file descriptors.
SNAPSHOTS = 5
# Maximum number of descriptors that may be closed while a snapshot is taken, as
# the node closes connections. All others are checked.
MAX_CLOSED = 3


def _describe(link: pathlib.Path) -> tuple[int, str, bool] | None:
    """Returns the number and target of a descriptor, and if it writes a file.

    The result is None if the descriptor was closed in the meantime.
    """
    try:
        target = os.readlink(link)
        written = False
        if stat.S_ISREG(link.stat().st_mode):
            info = link.parent.with_name("fdinfo") / link.name
            flags = int(info.read_text().split("flags:")[1].split()[0], 8)
            written = flags & os.O_ACCMODE != os.O_RDONLY
    except FileNotFoundError:
        return None
    return int(link.name), target, written


class TestVmLimits:
    """Guards against libraries that use features not permitted on the VMs."""

    def test_starts_no_child_process(self, node):
        _, pid = node
        children = [
            child
            for path in pathlib.Path(f"/proc/{pid}/task").glob("*/children")
            for child in path.read_text().split()
        ]
        assert children == []

    def test_opens_no_io_uring_and_writes_no_file(self, node):
        _, pid = node
        # The node opens and closes connections meanwhile; a descriptor that is
        # reopened after a snapshot appears in the next one.
        snapshots = [
            list(map(_describe, pathlib.Path(f"/proc/{pid}/fd").iterdir()))
            for _ in range(SNAPSHOTS)
        ]
        for descriptors in snapshots:
            found = [d for d in descriptors if d is not None]
            assert len(found) >= len(descriptors) - MAX_CLOSED
            for number, target, written in found:
                assert "io_uring" not in target
                # Standard streams belong to whoever starts the process.
                assert number <= 2 or not written, target

    def test_maps_no_shared_memory(self, node):
        _, pid = node
        maps = pathlib.Path(f"/proc/{pid}/maps").read_text()
        assert "/dev/shm" not in maps
        assert "io_uring" not in maps
        writable_shared = [
            line for line in maps.splitlines() if line.split()[1] == "rw-s"
        ]
        assert writable_shared == []


class TestSecrets:
    """Guards against secrets in logs, dumps and metrics."""

    def test_neither_logged_nor_dumped(self, node):
        cluster, _ = node
        handle = cluster.nodes["entry-a"]
        secrets = [
            handle.settings["node_secret"],
            handle.settings["operator_token"],
            "north-key-1",
        ]
        shown = [
            json.dumps(cluster.operator_get("entry-a", "dump")),
            fetch(f"{handle.operators}/metrics")[1],
            cluster.process_log("entry-a"),
        ]
        assert "entry-a" in shown[0]
        for text in shown:
            assert not any(secret in text for secret in secrets)
