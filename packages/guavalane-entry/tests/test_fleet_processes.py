"""Process tests of the fleet planner.

The tests check the calls that the cloud API recorded.
"""

from __future__ import annotations

import contextlib
import json
import signal
import threading
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any

import pytest

from guavalane_standins.cluster import Cluster, caller_headers
from guavalane_standins.processes import ProcessGroup, fetch, wait_for

NODES = ("entry-a", "entry-b")
VM_ZONES = ("zone-a", "zone-b", "zone-c")
REQUEST_PERIOD_S = 0.05
# Two VMs of the cheap class in each zone.
STORED_MIX = [[zone, "small", True, 2] for zone in VM_ZONES]
CHAT = {
    "model": "assistant",
    "messages": [{"role": "user", "content": "Is slot 3 free?"}],
    "max_tokens": 1,
}


def fleet_rules() -> dict[str, Any]:
    """Returns rules with two VM classes in three zones, spot and on demand."""
    prices = {"small": 1.0, "large": 2.5}
    return {
        "model_bytes": 1,
        "weight_store_bytes_per_s": 100,
        "classes": {
            "small": {"requests_per_s": 12, "first_token_ms": 300},
            "large": {"requests_per_s": 24, "first_token_ms": 200},
        },
        "prices": [
            {
                "zone": zone,
                "vm_class": name,
                "reclaimable": kind,
                "price_per_h": price * (1 if kind else 3),
            }
            for zone in VM_ZONES
            for name, price in prices.items()
            for kind in (True, False)
        ],
    }


def report(cluster: Cluster, node: str) -> dict[str, Any]:
    """Returns the planner report of a node."""
    (found,) = cluster.operator_get(node, "fleet")
    return found


def find_holder(cluster: Cluster, nodes=NODES) -> str:
    """Returns the active planner node, or an empty string."""
    acting = [n for n in nodes if report(cluster, n)["acts"]]
    assert len(acting) <= 1
    return acting[0] if acting else ""


def guavalane(cluster: Cluster, node: str, *arguments: str) -> Any:
    """Runs a command and returns its JSON output."""
    result = cluster.run_command(node, *arguments, "--json")
    assert result.returncode == 0, result.stderr
    return json.loads(result.stdout)


def started_names(cluster: Cluster) -> Counter:
    """Returns the number of accepted starts by VM name."""
    return Counter(
        c["name"] for c in cluster.cloud_calls() if c["status"] == 200
    )


@contextlib.contextmanager
def traffic(cluster: Cluster) -> Iterator[None]:
    """Sends 20 requests per second, alternating between the nodes."""
    stop = threading.Event()

    def send() -> None:
        count = 0
        while not stop.wait(REQUEST_PERIOD_S):
            count += 1
            url = cluster.nodes[NODES[count % 2]].callers
            with contextlib.suppress(OSError):
                fetch(
                    f"{url}/v1/chat/completions",
                    body=CHAT,
                    headers=caller_headers(),
                )

    thread = threading.Thread(target=send)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()


def start_system(group: ProcessGroup, stored: bool) -> Cluster:
    """Starts two nodes that may plan the fleet.

    Args:
      group: Process group of the test.
      stored: Whether a plan of a former holder is stored, which is executed
          immediately; a first plan requires 30 s of load.
    """
    cluster = Cluster(group)
    cluster.start_platform()
    cluster.start_engine("engine-a", "zone-a")
    if stored:
        plan = {
            "mix": STORED_MIX,
            "cost_per_h": 6.0,
            "feasible": True,
            "preferred": True,
            "reasons": [],
        }
        cluster.create_object("fleets", "assistant", plan)
    for name in NODES:
        cluster.start_node(name, "zone-a", cloud_url=cluster.urls["cloud"])
    wait_for(lambda: len(cluster.operator_get("entry-a", "nodes")) == 2, 10)
    return cluster


def apply_rules(cluster: Cluster) -> None:
    """Applies the fleet rules on both nodes."""
    configuration = cluster.configuration()
    configuration["fleets"] = {"assistant": fleet_rules()}
    url = f"{cluster.nodes['entry-a'].operators}/operator/config"
    body = {"base": 1, "configuration": configuration}
    status, text = fetch(url, body=body, headers=cluster.operator_headers)
    assert status == 200, text
    for node in NODES:
        wait_for(lambda node=node: cluster.operator_get(node, "fleet"), 10)


@pytest.fixture
def group() -> Iterator[ProcessGroup]:
    """Yields a process group that ends with the test."""
    with ProcessGroup() as group:
        yield group


class TestFleetProcesses:
    """Guards against duplicate VMs and two active planners."""

    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
    def test_holder_stops_between_its_plan_and_its_calls(self, group, number):
        cluster = start_system(group, stored=True)
        cluster.set_cloud_faults(hold_inserts=True)
        apply_rules(cluster)
        wait_for(cluster.cloud_calls, 15)
        first = find_holder(cluster)
        (second,) = set(NODES) - {first}
        group.signal(first, number)
        wait_for(
            lambda: [c for c in cluster.cloud_calls() if c["fencing"] == "2"],
            25,
        )
        # The calls of the first holder take effect after the takeover.
        cluster.set_cloud_faults(hold_inserts=False)
        if number == signal.SIGSTOP:
            group.signal(first, signal.SIGCONT)
        wait_for(lambda: len(cluster.cloud_vms()) >= 6, 30)
        time.sleep(5)
        assert len(cluster.cloud_vms()) == 6
        assert set(started_names(cluster).values()) == {1}
        numbers = [c["fencing"] for c in cluster.cloud_calls()]
        assert numbers == sorted(numbers)
        assert report(cluster, second)["acts"]

    def test_only_the_last_holder_replaces_vms_in_an_outage(self, group):
        cluster = start_system(group, stored=True)
        apply_rules(cluster)
        wait_for(lambda: len(cluster.cloud_vms()) == 6, 30)
        first = find_holder(cluster)
        (second,) = set(NODES) - {first}
        group.signal(first, signal.SIGSTOP)
        wait_for(lambda: report(cluster, second)["acts"], 25)
        time.sleep(3)
        # The second holder has started no VM before the outage.
        cluster.set_object_api_faults(down=True)
        group.signal(first, signal.SIGCONT)
        wait_for(lambda: not report(cluster, second)["acts"], 15)
        time.sleep(6)
        lost = cluster.cloud_vms(["zone-b"])[0]["name"]
        cluster.terminate_vms([lost])
        wait_for(lambda: len(cluster.cloud_vms()) == 6, 15)
        time.sleep(5)
        calls = cluster.cloud_calls()[6:]
        assert [(c["name"], c["fencing"]) for c in calls] == [(lost, "2")]
        assert cluster.cloud_calls("delete") == []
        cluster.set_object_api_faults(down=False)
        wait_for(lambda: find_holder(cluster), 30)
        assert len(cluster.cloud_calls()) == 7

    def test_refusals_and_a_reclaimed_zone_fall_back_and_are_reported(
        self, group
    ):
        cluster = start_system(group, stored=False)
        with traffic(cluster):
            apply_rules(cluster)
            holder = wait_for(lambda: find_holder(cluster), 15)
            # The lease must not expire while the cloud API is slow.
            cluster.set_cloud_faults(delay_s=4.0)
            time.sleep(20)
            assert find_holder(cluster) == holder
            cluster.set_cloud_faults(delay_s=0.0)

            def complete() -> dict[str, Any] | None:
                found = report(cluster, holder)
                mix = found.get("mix")
                return found if mix and mix == found["present"] else None

            before = wait_for(complete, 75)
            assert not any("on-demand" in kind for kind in before["mix"])
            # Waits until the planner has listed the VM started last.
            time.sleep(5)
            zone = max(VM_ZONES, key=lambda z: (len(cluster.cloud_vms([z])), z))
            names = [vm["name"] for vm in cluster.cloud_vms([zone])]
            cluster.set_cloud_faults(refuse_zones=[zone], notice_s=2.0)
            cluster.reclaim_vms(names)
            after = wait_for(
                lambda: (
                    (found := complete())
                    and not any(zone in kind for kind in found["mix"])
                    and found
                ),
                60,
            )
            assert after["feasible"]
            assert after["cost_per_h"] > 0
            assert not any("on-demand" in kind for kind in after["mix"])
            rows = guavalane(cluster, holder, "fleet", "plan")
            assert {r["kind"]: r["wanted"] for r in rows} == after["mix"]
            assert rows[0]["fleet_cost_per_h"] == after["cost_per_h"]
            explanation = guavalane(
                cluster, holder, "fleet", "explain", "assistant"
            )
            explanation = explanation["assistant"]
            text = "\n".join(explanation["reasons"])
            assert f"{zone}/small/reclaimable refuses starts" in text
            assert f"VMs lost in {zone}: {len(names)}" in text
            other = next(n for n in NODES if n != holder)
            explanation = guavalane(cluster, other, "fleet", "explain")[
                "assistant"
            ]
            assert explanation["holder"] == holder
            assert holder in explanation["reasons"][0]
        accepted = started_names(cluster)
        assert set(accepted.values()) == {1}
        assert {c["fencing"] for c in cluster.cloud_calls()} == {"1"}
