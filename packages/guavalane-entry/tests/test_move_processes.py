"""Process test of a version move whose leader is killed."""

from __future__ import annotations

import contextlib
import http.client
import json
import signal
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from guavalane_standins.cluster import Cluster, caller_headers
from guavalane_standins.processes import ProcessGroup, fetch, wait_for

NODES = ("entry-a", "entry-b")
CALLERS = 3
CHAT = {
    "model": "assistant",
    "messages": [{"role": "user", "content": "Is slot 3 free?"}],
    "max_tokens": 2,
}


class Traffic:
    """Threads that send chat completions to live nodes.

    Args:
      urls: Base URLs for callers; requests to a removed URL stop.
    """

    def __init__(self, urls: list[str]) -> None:
        self.urls = urls
        self.answers: list[int] = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(n,))
            for n in range(CALLERS)
        ]

    def _send(self, number: int) -> None:
        count = number
        while not self._stop.is_set():
            count += 1
            urls = list(self.urls)
            url = urls[count % len(urls)]
            # Requests to a killed node may fail with any of these errors.
            with contextlib.suppress(OSError, http.client.HTTPException):
                status, _ = fetch(
                    f"{url}/v1/chat/completions",
                    body=CHAT,
                    headers=caller_headers(),
                )
                self.answers.append(status)

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Sends requests during a `with` block."""
        for thread in self._threads:
            thread.start()
        try:
            yield
        finally:
            self._stop.set()
            for thread in self._threads:
                thread.join()


def guavalane(
    cluster: Cluster, node: str, *arguments: str
) -> tuple[int, str, str]:
    """Runs a command and returns its exit code, output and error output."""
    result = cluster.run_command(node, *arguments)
    return result.returncode, result.stdout, result.stderr


@pytest.fixture
def system() -> Iterator[tuple[ProcessGroup, Cluster]]:
    """Starts two nodes, two engines of the old version and one of the new."""
    with ProcessGroup() as group:
        cluster = Cluster(group)
        cluster.start_platform()
        cluster.start_engine("engine-a", "zone-a")
        cluster.start_engine("engine-b", "zone-b")
        cluster.start_engine("engine-c", "zone-a", version="v2")
        for name in NODES:
            cluster.start_node(name, "zone-a")
        configuration = cluster.configuration()
        versions = configuration["deployments"]["assistant"]["versions"]
        versions["v1"]["share"], versions["v2"]["share"] = 1.0, 0.0
        url = f"{cluster.nodes['entry-a'].operators}/operator/config"
        body = {"base": 1, "configuration": configuration}
        status, text = fetch(url, body=body, headers=cluster.operator_headers)
        assert status == 200, text
        yield group, cluster


class TestMoveProcesses:
    """Guards against a bad version that stays after its leader was killed."""

    def test_bad_version_is_rolled_back_after_the_leader_was_killed(
        self, system
    ):
        group, cluster = system
        traffic = Traffic([cluster.nodes[n].callers for n in NODES])
        with traffic.running():
            wait_for(
                lambda: (
                    cluster.operator_get("entry-b", "config")["generation"] == 2
                ),
                5,
            )
            plans = []
            for node in NODES:
                code, output, errors = guavalane(
                    cluster,
                    node,
                    "move",
                    "plan",
                    "assistant",
                    "v2",
                    "--within=5m",
                    "--rate=200",
                    "--json",
                )
                assert code == 0, errors
                plans.append(json.loads(output)["name"])
            name = plans[0]
            code, _, errors = guavalane(
                cluster, "entry-a", "move", "confirm", name, "--who=anna"
            )
            assert code == 0, errors
            # The second confirmation is refused, as the first one has changed
            # the configuration.
            code, _, errors = guavalane(
                cluster, "entry-b", "move", "confirm", plans[1]
            )
            assert code == 3
            assert f"deployments.assistant (move {name} began)" in errors

            def status(node: str) -> dict[str, Any]:
                return cluster.operator_get(node, f"moves/{name}")

            wait_for(lambda: status("entry-a")["share_on_this_node"] > 0, 15)
            leader = status("entry-a")["leader"]
            (survivor,) = set(NODES) - {leader}
            traffic.urls.remove(cluster.nodes[leader].callers)
            group.signal(leader, signal.SIGKILL)
            cluster.set_behaviour("engine-c", fail_status=500)
            # The survivor must veto the version even without a leader.
            wait_for(lambda: status(survivor)["vetoes"] > 0, 10)
            assert status(survivor)["share_on_this_node"] == 0
            served = len(cluster.endpoint_stats("engine-c")["requests"])
            ended = wait_for(
                lambda: (s := status(survivor))["state"] != "running" and s, 20
            )
            assert ended["state"] == "undone"
            assert (
                len(cluster.endpoint_stats("engine-c")["requests"])
                <= served + 1
            )
        versions = cluster.operator_get(survivor, "config")["deployments"][
            "assistant"
        ]["versions"]
        assert versions["v1"]["share"] == 1
        assert versions["v2"]["share"] == 0
        assert set(traffic.answers) == {200}
        code, text, errors = guavalane(
            cluster, survivor, "move", "explain", name
        )
        assert code == 0, errors
        assert "anna" in text
        assert "confirmed the plan" in text
        assert "attempts that fail on route chat" in text
        assert "undone: veto of" in text
