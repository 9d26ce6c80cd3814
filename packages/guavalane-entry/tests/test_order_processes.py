"""Process tests of orders to engines while the sender is frozen or killed."""

from __future__ import annotations

import asyncio
import json
import signal
import time

import pytest

from guavalane_core.exceptions import StaleOrderError
from guavalane_core.orders import DesiredState
from guavalane_entry.orders.http import HttpEngineOrders
from guavalane_entry.orders.issuing import RECONCILE_PERIOD_S
from guavalane_standins.cluster import Cluster
from guavalane_standins.processes import ProcessGroup, fetch, wait_for

NODES = ("entry-a", "entry-b", "entry-c")
ENGINES = ("checks", "first", "ignores")
RATE = 200_000
SIZE_BYTES = RATE // 2
# Declared size of a load: twice the actual size, so that two loads do not
# overlap on a slow machine.
LOAD_BYTES = RATE
# Size of a load that is scheduled for longer than the test runs.
LONG_LOAD_BYTES = 1_000 * RATE
OLD = DesiredState("m", "v1")
# A new holder has to wait until the lease of the former one expires.
TAKEOVER_TIMEOUT_S = 40.0
ORDER_TIMEOUT_S = 30.0


def give_order(cluster, node, endpoint, *options):
    """Runs the order command and returns its exit code and JSON output."""
    result = cluster.run_command(
        node, "endpoints", "order", endpoint, *options, "--json"
    )
    assert result.stdout, (result.returncode, result.stderr)
    return result.returncode, json.loads(result.stdout)


def send_late_order(cluster, endpoint, number):
    """Sends an outdated order, like a sender that was paused before."""

    async def send():
        client = HttpEngineOrders(cluster.urls.get)
        try:
            await client.apply(endpoint, OLD, number)
        finally:
            await client.close()

    asyncio.run(send())


def sender_of(cluster, node):
    """Returns the sender reported by a node, and its fencing number."""
    status = cluster.operator_get(node, "status")
    return status["order_sender"], status["order_fencing_number"]


def states(cluster, node):
    """Returns the state of each order, by endpoint."""
    rows = cluster.operator_get(node, "orders")
    return {row["endpoint"]: row["state"] for row in rows}


def loading(cluster):
    """Returns the engines that are loading."""
    found = []
    for name in ENGINES:
        _, text = fetch(f"{cluster.urls[name]}/orders/state")
        if json.loads(text)["loading"]:
            found.append(name)
    return found


@pytest.fixture
def system():
    """Starts three nodes, three engines and a service.

    Only one engine checks fencing numbers.
    """
    with ProcessGroup() as group:
        cluster = Cluster(group)
        cluster.start_platform()
        cluster.start_weights(SIZE_BYTES, RATE)
        for name in ENGINES:
            cluster.start_engine(
                name, "zone-a", checks_fencing=name == "checks"
            )
        cluster.start_service("service", "zone-a")
        for name in NODES:
            cluster.start_node(name, "zone-a")
        wait_for(
            lambda: (
                len({sender_of(cluster, node) for node in NODES}) == 1
                and sender_of(cluster, NODES[0])[0] in NODES
            ),
            ORDER_TIMEOUT_S,
        )
        yield group, cluster


class TestOrderProcesses:
    """Guards against orders that are lost or reverted if the sender fails."""

    @pytest.mark.parametrize("number", [signal.SIGSTOP, signal.SIGKILL])
    def test_another_node_finishes_the_orders(self, system, number):
        group, cluster = system
        holder, old_number = sender_of(cluster, NODES[0])
        survivors = [node for node in NODES if node != holder]
        # This load uses the whole rate in the schedule of the holder, so that
        # the next orders are recorded but cannot be sent yet.
        code, answer = give_order(
            cluster,
            survivors[0],
            "first",
            "--model=m",
            "--version=v2",
            f"--load-bytes={LONG_LOAD_BYTES}",
            "--wait=30s",
        )
        assert (code, answer["state"]) == (0, "in_force")
        for name in ("checks", "ignores"):
            code, answer = give_order(
                cluster,
                survivors[0],
                name,
                "--model=m",
                "--version=v2",
                f"--load-bytes={LOAD_BYTES}",
            )
            assert (code, answer["state"]) == (0, "accepted")

        def taken_over():
            rows = cluster.operator_get(holder, "orders")
            return {r["fencing_number"] for r in rows} == {old_number}

        wait_for(taken_over, ORDER_TIMEOUT_S)
        assert cluster.accepted_orders("checks") == []
        assert cluster.accepted_orders("ignores") == []
        group.signal(holder, number)

        def in_force(node=survivors[1]):
            # Two concurrent loads would exceed the rate of the weight store.
            assert len(loading(cluster)) < 2
            return set(states(cluster, node).values()) == {"in_force"}

        wait_for(in_force, TAKEOVER_TIMEOUT_S)
        new, new_number = sender_of(cluster, survivors[0])
        assert new in survivors
        assert new_number > old_number
        if number == signal.SIGSTOP:
            group.signal(holder, signal.SIGCONT)
            wait_for(
                lambda: sender_of(cluster, holder)[0] == new, ORDER_TIMEOUT_S
            )
        # The new holder has no pending orders, so that only its periodic
        # reconciliation can find the late order.
        wait_for(
            lambda: (
                cluster.operator_get(new, "dump")["orders"]["not_in_force"]
                == []
            ),
            ORDER_TIMEOUT_S,
        )
        # An order that the former holder sent before it was stopped may arrive
        # late.
        with pytest.raises(StaleOrderError):
            send_late_order(cluster, "checks", old_number)
        send_late_order(cluster, "ignores", old_number)
        wait_for(in_force, RECONCILE_PERIOD_S + 10.0)
        numbers = {
            name: [o["fencing_number"] for o in cluster.accepted_orders(name)]
            for name in ENGINES
        }
        assert set(numbers["checks"]) == {new_number}
        assert numbers["ignores"] == [new_number, old_number, new_number]
        rows = cluster.operator_get(survivors[0], "orders")
        assert {row["fencing_number"] for row in rows} == {new_number}
        if number == signal.SIGSTOP:
            # The former holder still accepts orders; the new holder sends them.
            code, answer = give_order(
                cluster, holder, "checks", "--role=decode", "--wait=30s"
            )
            assert (code, answer["state"]) == (0, "in_force")
            last = cluster.accepted_orders("checks")[-1]
            assert last["fencing_number"] == new_number
            assert last["state"]["role"] == "decode"

    def test_outage_of_the_object_api_sends_nothing(self, system):
        _, cluster = system
        holder, number = sender_of(cluster, NODES[0])
        other = next(node for node in NODES if node != holder)
        order = ("--model=m", "--version=v2", f"--load-bytes={LOAD_BYTES}")
        code, answer = give_order(
            cluster, other, "ignores", *order, "--wait=30s"
        )
        assert (code, answer["state"]) == (0, "in_force")
        cluster.set_object_api_faults(down=True)
        for node in NODES:
            code, answer = give_order(cluster, node, "first", *order)
            assert (code, answer["state"]) == (1, "refused")
            assert answer["code"] == "order_not_sent"
        wait_for(
            lambda: (
                cluster.operator_get(holder, "dump")["orders"]["sends"] is False
            ),
            ORDER_TIMEOUT_S,
        )
        send_late_order(cluster, "ignores", number)
        time.sleep(RECONCILE_PERIOD_S + 2.0)
        assert cluster.accepted_orders("first") == []
        numbers = [
            o["fencing_number"] for o in cluster.accepted_orders("ignores")
        ]
        assert numbers == [number, number]
        assert sender_of(cluster, other)[0] == "unknown"
        cluster.set_object_api_faults(down=False)
        wait_for(
            lambda: (
                cluster.operator_get(other, "status")["object_api"]
                == "reachable"
            ),
            ORDER_TIMEOUT_S,
        )
        wait_for(
            lambda: states(cluster, other) == {"ignores": "in_force"},
            TAKEOVER_TIMEOUT_S,
        )

    def test_orders_for_other_endpoints_are_refused(self, system):
        _, cluster = system
        node = NODES[0]
        order = ("--model=m", "--version=v2", "--load-bytes=0")
        for name, reason in (
            ("nobody", "is not configured"),
            ("service", "is not a model engine"),
        ):
            code, answer = give_order(cluster, node, name, *order)
            assert (code, answer["state"]) == (2, "refused")
            assert answer["code"] == "order_refused"
            assert reason in answer["detail"]
        code, answer = give_order(
            cluster, node, "first", "--model=m", "--version=v2"
        )
        assert (code, answer["code"]) == (2, "order_refused")
        assert cluster.operator_get(node, "orders") == []
        result = cluster.run_command(
            node, "endpoints", "order", "first", *order, "--wait=30"
        )
        assert result.returncode == 0
        assert result.stdout.startswith("first: in force: m v2 both")
        output = cluster.run_command(node, "endpoints", "orders").stdout
        assert "m v2 both" in output
        output = cluster.run_command(node, "endpoints").stdout
        assert [line.split()[0] for line in output.splitlines()[1:]] == [
            "checks",
            "first",
            "ignores",
            "service",
        ]
