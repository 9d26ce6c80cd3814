"""Process and unit tests of membership and configuration."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import threading
import time

import pytest

from guavalane_cli.client import OperatorApiError, OperatorClient
from guavalane_cli.commands import config
from guavalane_core.configuration import ConfigurationState
from guavalane_core.exceptions import (
    GenerationConflictError,
    ObjectApiUnavailableError,
)
from guavalane_core.objects import MemoryObjectApi
from guavalane_core.timers import ManualTimers
from guavalane_entry.store.configuration import KIND, NAME, ConfigurationStore
from guavalane_standins.cluster import Cluster
from guavalane_standins.processes import ProcessGroup, wait_for

# Maximum time from a failure until the node is declared dead.
DEATH_TIMEOUT_S = 20.0
RETURN_TIMEOUT_S = 15.0
# Longer than a probe and the suspicion period that would follow.
PARTITION_S = 9.0


@pytest.fixture(scope="module")
def system():
    """Runs three nodes in one zone, two of them behind TCP relays."""
    with ProcessGroup() as group:
        cluster = Cluster(group)
        cluster.start_platform()
        cluster.start_engine("engine-a", "zone-a")
        cluster.start_node_behind_relay("entry-a", "zone-a")
        seeds = [cluster.nodes["entry-a"].settings["advertised_peers"]]
        cluster.start_node_behind_relay("entry-b", "zone-a", seeds=seeds)
        cluster.start_node("entry-c", "zone-a", seeds=seeds)
        for name in cluster.nodes:
            wait_for(lambda name=name: len(members(cluster, name)) == 3)
        wait_for(lambda: roles(cluster) == [False, True, True])
        yield cluster, group


def members(cluster, node):
    """Returns the members known to a node, by name."""
    report = cluster.operator_get(node, "nodes")
    return {member["node"]: member for member in report}


def roles(cluster):
    """Returns for each node whether it is a relay; a zone has two."""
    return sorted(
        cluster.operator_get(node, "status")["relay"] for node in cluster.nodes
    )


def generation(cluster, node):
    """Returns the generation in force on a node."""
    return cluster.operator_get(node, "status")["generation"]


def client_of(cluster, node):
    """Returns an operator client for a node."""
    return OperatorClient(cluster.nodes[node].operators, cluster.operator_token)


def write_change(cluster, path, weight):
    """Writes the configuration in force with another weight to a file."""
    data = client_of(cluster, "entry-b").get("/operator/config")
    data["organisations"]["north"]["weight"] = weight
    path.write_text(json.dumps(data))
    return str(path)


class TestControlPlane:
    """Guards against wrong member states and lost configuration changes."""

    def test_two_operators_race(self, system, tmp_path):
        cluster, _ = system
        before = generation(cluster, "entry-b")
        results = []

        def apply(node, weight):
            path = write_change(cluster, tmp_path / f"{node}.json", weight)
            barrier.wait()
            try:
                answer = config.apply(client_of(cluster, node), path, before)
                results.append((answer["generation"], answer["lagging"]))
            except OperatorApiError as error:
                results.append(error.code)

        barrier = threading.Barrier(2)
        threads = [
            threading.Thread(target=apply, args=(node, weight))
            for node, weight in (("entry-a", 2.0), ("entry-c", 3.0))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sorted(map(str, results)) == [
            str((before + 1, [])),
            "generation_conflict",
        ]

    def test_one_way_partition_declares_no_node_dead(self, system):
        cluster, _ = system
        cluster.set_partition("entry-b", to_target=True)
        cluster.set_partition("entry-a", from_target=True)
        end = time.monotonic() + PARTITION_S
        while time.monotonic() < end:
            for viewer in cluster.nodes:
                for name, member in members(cluster, viewer).items():
                    assert member["state"] != "dead", (viewer, name)
            time.sleep(0.5)
        cluster.set_partition("entry-b", to_target=False)
        cluster.set_partition("entry-a", from_target=False)

    def test_frozen_node_is_distinguished_from_dead_one(self, system, tmp_path):
        cluster, group = system
        before = members(cluster, "entry-b")["entry-a"]
        group.signal("entry-a", signal.SIGSTOP)
        path = write_change(cluster, tmp_path / "change.json", 4.0)
        client = client_of(cluster, "entry-b")
        answer = config.apply(client, path, limit_s=0.0)
        assert "entry-a" in answer["lagging"]

        def view():
            return members(cluster, "entry-b")["entry-a"]

        wait_for(lambda: view()["state"] == "dead", DEATH_TIMEOUT_S)
        wait_for(lambda: not config.lagging_nodes(client, answer["generation"]))
        group.signal("entry-a", signal.SIGCONT)
        wait_for(lambda: view()["state"] == "alive", RETURN_TIMEOUT_S)
        after = view()
        assert after["incarnation"] == before["incarnation"]
        assert after["returns"] == before["returns"] + 1
        wait_for(lambda: generation(cluster, "entry-a") == answer["generation"])
        assert "the clock jumped" in group.log("entry-a")

    def test_killed_node_returns_as_a_new_process(self, system):
        cluster, group = system
        before = members(cluster, "entry-b")["entry-c"]
        group.signal("entry-c", signal.SIGKILL)
        group.process("entry-c").wait()
        cluster.run_node(cluster.nodes["entry-c"])
        after = wait_for(
            lambda: (
                (member := members(cluster, "entry-b")["entry-c"])["restarts"]
                > before["restarts"]
                and member
            )
        )
        assert after["incarnation"] > before["incarnation"]

    def test_node_started_in_an_outage_takes_the_configuration_from_peers(
        self, system
    ):
        cluster, _ = system
        # The node can discover its peers only through the VM list.
        cluster.add_listed_vm(
            "entry-b", cluster.nodes["entry-b"].peers, "zone-a"
        )
        cluster.add_listed_vm("entry-gone", "127.0.0.1:1", "zone-a")
        cluster.set_object_api_faults(down=True)
        cluster.start_node("entry-d", "zone-a", seeds=[])
        status = cluster.operator_get("entry-d", "status")
        assert status["generation"] == generation(cluster, "entry-b")
        assert status["object_api"] == "unreachable"
        cluster.set_object_api_faults(down=False)
        wait_for(
            lambda: (
                cluster.operator_get("entry-d", "status")["object_api"]
                == "reachable"
            )
        )


def make_configuration(number):
    """Returns a configuration that contains a number."""
    return {"organisations": {f"o{number}": {"key_sha256": []}}}


class Stores:
    """An object API, a store that writes to it and a store that watches it."""

    def __init__(self):
        self.timers = ManualTimers()
        self.api = MemoryObjectApi()
        self.writer = ConfigurationStore(
            self.api, ConfigurationState(), self.timers, random.Random(1)
        )
        self.state = ConfigurationState()
        self.configuration_store = ConfigurationStore(
            self.api, self.state, self.timers, random.Random(2)
        )
        self.newer = []
        self.configuration_store.on_newer(self.newer.append)

    async def start(self):
        await self.writer.store_initial(make_configuration(1))
        self.configuration_store.start()
        await self.timers.run_for(1)
        assert self.state.generation == 1

    async def write_externally(self, generation, annotations=None):
        """Updates the object like another program."""
        stored = await self.api.get(KIND, NAME)
        body = {**make_configuration(generation), "generation": generation}
        await self.api.update(KIND, NAME, body, stored.version, annotations)


@pytest.fixture
async def stores():
    """Returns stores, one of which watches with generation 1 in force."""
    stores = Stores()
    await stores.start()
    yield stores
    await stores.configuration_store.stop()


class TestConfigurationStore:
    """Guards against stored changes that the metadata watch misses."""

    async def test_change_is_announced_and_not_read(self, stores):
        reads = stores.api.calls.reads
        await stores.writer.change(make_configuration(2), 1)
        await stores.timers.run_for(1)
        assert stores.newer == [2]
        # Only the writer reads the metadata.
        assert stores.api.calls.reads == reads + 1

    async def test_object_without_annotations_is_read(self, stores):
        await stores.write_externally(2)
        await stores.timers.run_for(1)
        assert stores.state.generation == 2
        await stores.writer.change(make_configuration(3), 2)
        await stores.timers.run_for(1)
        assert stores.newer == [3]

    async def test_annotations_kept_by_another_writer_are_not_trusted(
        self, stores
    ):
        stored = await stores.api.get(KIND, NAME)
        await stores.write_externally(2, stored.annotations)
        await stores.timers.run_for(1)
        assert stores.state.generation == 2
        with pytest.raises(GenerationConflictError):
            await stores.writer.change(make_configuration(2), 1)

    async def test_change_during_a_read_is_read_too(self, stores):
        released = asyncio.Event()
        get = stores.api.get

        async def delay_response(kind, name):
            stored = await get(kind, name)
            await released.wait()
            return stored

        await stores.write_externally(2)
        stores.api.get = delay_response
        await stores.timers.run_for(1)
        stores.api.get = get
        await stores.write_externally(3)
        await stores.timers.run_for(1)
        assert stores.state.generation == 1
        released.set()
        await stores.timers.run_for(1)
        assert stores.state.generation == 3

    async def test_failed_read_is_repeated(self, stores):
        errors = [ObjectApiUnavailableError("the rate share is used up")] * 2
        get = stores.api.get

        async def refuse(kind, name):
            if errors:
                raise errors.pop()
            return await get(kind, name)

        await stores.write_externally(2)
        stores.api.get = refuse
        await stores.timers.run_for(8)
        assert stores.state.generation == 2

    async def test_change_in_an_outage_of_the_watch_is_announced(self, stores):
        stores.api.set_down(True)
        await stores.timers.run_for(20)
        stores.api.set_down(False)
        await stores.writer.change(make_configuration(2), 1)
        await stores.timers.run_for(8)
        assert stores.newer == [2]
        assert stores.state.generation == 1
