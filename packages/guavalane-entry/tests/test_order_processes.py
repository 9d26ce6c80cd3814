"""Process tests of orders to engines whose sender is frozen or killed."""

from __future__ import annotations

import asyncio
import json
import signal
import time

import pytest

from guavalane_core.exceptions import StaleOrderError
from guavalane_core.orders import DesiredState
from guavalane_entry.orders.http import HttpEngineOrders
from guavalane_entry.orders.issuing import REPAIR_S
from guavalane_standins.cluster import Cluster
from guavalane_standins.processes import ProcessGroup, fetch, wait_for

NODES = ("entry-a", "entry-b", "entry-c")
ENGINES = ("checks", "first", "ignores")
RATE = 200_000
SIZE_BYTES = RATE // 2
# Declared size of a load; twice the real one, so that a slow machine does not
# make two loads overlap.
LOAD_BYTES = RATE
# A load whose time in the schedule outlasts the test.
LONG_LOAD_BYTES = 1_000 * RATE
OLD = DesiredState("m", "v1")
# A new holder has to wait for the duration of the lease, in seconds.
TAKEOVER_LIMIT_S = 40.0
ORDER_LIMIT_S = 30.0


def give(cluster, node, endpoint, *options):
    """Gives an order on the command line and returns its JSON answer."""
    result = cluster.run_command(
        node, "endpoints", "order", endpoint, *options, "--json"
    )
    assert result.stdout, (result.returncode, result.stderr)
    return result.returncode, json.loads(result.stdout)


def send_late_order(cluster, endpoint, number):
    """Sends an order as a sender that was paused before it would."""

    async def send():
        client = HttpEngineOrders(cluster.urls.get)
        try:
            await client.apply(endpoint, OLD, number)
        finally:
            await client.close()

    asyncio.run(send())


def sender_of(cluster, node):
    """Returns the sender that a node reports, and its fencing number."""
    status = cluster.operator_get(node, "status")
    return status["order_sender"], status["order_fencing_number"]


def states(cluster, node):
    """Returns the state of each order by endpoint."""
    rows = cluster.operator_get(node, "orders")
    return {row["endpoint"]: row["state"] for row in rows}


def loading(cluster):
    """Returns the engines that load now."""
    found = []
    for name in ENGINES:
        _, text = fetch(f"{cluster.urls[name]}/orders/state")
        if json.loads(text)["loading"]:
            found.append(name)
    return found


@pytest.fixture
def system():
    """Starts three nodes, engines of both kinds and a plain service."""
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
            ORDER_LIMIT_S,
        )
        yield group, cluster


class TestOrderProcesses:
    """Guards against orders that are lost or undone with their sender."""

    @pytest.mark.parametrize("number", [signal.SIGSTOP, signal.SIGKILL])
    def test_another_node_finishes_the_orders(self, system, number):
        group, cluster = system
        holder, old_number = sender_of(cluster, NODES[0])
        survivors = [node for node in NODES if node != holder]
        # This load takes the whole rate in the holder's schedule, so that the
        # next orders are recorded and cannot be carried out yet.
        code, answer = give(
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
            code, answer = give(
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

        wait_for(taken_over, ORDER_LIMIT_S)
        assert cluster.accepted_orders("checks") == []
        assert cluster.accepted_orders("ignores") == []
        group.signal(holder, number)

        def in_force(node=survivors[1]):
            # Two loads at once would exceed the rate of the weight store.
            assert len(loading(cluster)) < 2
            return set(states(cluster, node).values()) == {"in_force"}

        wait_for(in_force, TAKEOVER_LIMIT_S)
        new, new_number = sender_of(cluster, survivors[0])
        assert new in survivors
        assert new_number > old_number
        if number == signal.SIGSTOP:
            group.signal(holder, signal.SIGCONT)
            wait_for(
                lambda: sender_of(cluster, holder)[0] == new, ORDER_LIMIT_S
            )
        # The new holder has seen all orders in force and has nothing left to
        # do, so that only its repair can find the late order.
        wait_for(
            lambda: (
                cluster.operator_get(new, "dump")["orders"]["not_in_force"]
                == []
            ),
            ORDER_LIMIT_S,
        )
        # An order that the old holder sent before it was stopped may arrive
        # only now.
        with pytest.raises(StaleOrderError):
            send_late_order(cluster, "checks", old_number)
        send_late_order(cluster, "ignores", old_number)
        wait_for(in_force, REPAIR_S + 10.0)
        numbers = {
            name: [o["fencing_number"] for o in cluster.accepted_orders(name)]
            for name in ENGINES
        }
        assert set(numbers["checks"]) == {new_number}
        assert numbers["ignores"] == [new_number, old_number, new_number]
        rows = cluster.operator_get(survivors[0], "orders")
        assert {row["fencing_number"] for row in rows} == {new_number}
        if number == signal.SIGSTOP:
            # The old holder still takes orders; the new one sends them.
            code, answer = give(
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
        code, answer = give(cluster, other, "ignores", *order, "--wait=30s")
        assert (code, answer["state"]) == (0, "in_force")
        cluster.set_object_api_faults(down=True)
        for node in NODES:
            code, answer = give(cluster, node, "first", *order)
            assert (code, answer["state"]) == (1, "refused")
            assert answer["code"] == "order_not_sent"
        wait_for(
            lambda: (
                cluster.operator_get(holder, "dump")["orders"]["sends"] is False
            ),
            ORDER_LIMIT_S,
        )
        send_late_order(cluster, "ignores", number)
        time.sleep(REPAIR_S + 2.0)
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
            ORDER_LIMIT_S,
        )
        wait_for(
            lambda: states(cluster, other) == {"ignores": "in_force"},
            TAKEOVER_LIMIT_S,
        )

    def test_orders_for_other_endpoints_are_refused(self, system):
        _, cluster = system
        node = NODES[0]
        order = ("--model=m", "--version=v2", "--load-bytes=0")
        for name, reason in (
            ("nobody", "is not configured"),
            ("service", "is not a model engine"),
        ):
            code, answer = give(cluster, node, name, *order)
            assert (code, answer["state"]) == (2, "refused")
            assert answer["code"] == "order_refused"
            assert reason in answer["detail"]
        code, answer = give(cluster, node, "first", "--model=m", "--version=v2")
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
