"""Tests of membership and configuration, with processes and without."""

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
from guavalane_entry.store.configuration import KIND, NAME, ConfigurationKeeper
from guavalane_standins.cluster import Cluster
from guavalane_standins.processes import ProcessGroup, wait_for

# Longest time from a failure to the declared death, in seconds.
DEATH_LIMIT_S = 20.0
RETURN_LIMIT_S = 15.0
# Longer than a probe and the suspicion that would follow it, in seconds.
CUT_S = 9.0


@pytest.fixture(scope="module")
def system():
    """Runs three nodes of one zone; two of them behind TCP relays."""
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
    """Returns the members in a node's view, by name."""
    report = cluster.operator_get(node, "nodes")
    return {member["node"]: member for member in report}


def roles(cluster):
    """Returns which nodes relay configurations; a zone has two."""
    return sorted(
        cluster.operator_get(node, "status")["relay"] for node in cluster.nodes
    )


def generation(cluster, node):
    """Returns the generation in force on a node."""
    return cluster.operator_get(node, "status")["generation"]


def client_of(cluster, node):
    """Returns an operator client of a node."""
    return OperatorClient(cluster.nodes[node].operators, cluster.operator_token)


def write_change(cluster, path, weight):
    """Writes the configuration in force with another weight to a file."""
    data = client_of(cluster, "entry-b").get("/operator/config")
    data["organisations"]["north"]["weight"] = weight
    path.write_text(json.dumps(data))
    return str(path)


class TestControlPlane:
    """Guards against wrong views of nodes and against lost changes."""

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

    def test_cut_in_one_direction_kills_nobody(self, system):
        cluster, _ = system
        cluster.set_partition("entry-b", to_target=True)
        cluster.set_partition("entry-a", from_target=True)
        end = time.monotonic() + CUT_S
        while time.monotonic() < end:
            for viewer in cluster.nodes:
                for name, member in members(cluster, viewer).items():
                    assert member["state"] != "dead", (viewer, name)
            time.sleep(0.5)
        cluster.set_partition("entry-b", to_target=False)
        cluster.set_partition("entry-a", from_target=False)

    def test_frozen_node_is_told_from_a_dead_one(self, system, tmp_path):
        cluster, group = system
        before = members(cluster, "entry-b")["entry-a"]
        group.signal("entry-a", signal.SIGSTOP)
        path = write_change(cluster, tmp_path / "change.json", 4.0)
        client = client_of(cluster, "entry-b")
        answer = config.apply(client, path, limit_s=0.0)
        assert "entry-a" in answer["lagging"]

        def view():
            return members(cluster, "entry-b")["entry-a"]

        wait_for(lambda: view()["state"] == "dead", DEATH_LIMIT_S)
        wait_for(lambda: not config.lagging_nodes(client, answer["generation"]))
        group.signal("entry-a", signal.SIGCONT)
        wait_for(lambda: view()["state"] == "alive", RETURN_LIMIT_S)
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
        # It knows its peers from the VM list alone.
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


def plain(number):
    """Returns a configuration that names its number."""
    return {"organisations": {f"o{number}": {"key_sha256": []}}}


class Keepers:
    """An object API and a keeper that follows it."""

    def __init__(self):
        self.timers = ManualTimers()
        self.api = MemoryObjectApi()
        self.writer = ConfigurationKeeper(
            self.api, ConfigurationState(), self.timers, random.Random(1)
        )
        self.state = ConfigurationState()
        self.keeper = ConfigurationKeeper(
            self.api, self.state, self.timers, random.Random(2)
        )
        self.newer = []
        self.keeper.on_newer(self.newer.append)

    async def start(self):
        await self.writer.store_initial(plain(1))
        self.keeper.start()
        await self.timers.run_for(1)
        assert self.state.generation == 1

    async def write_elsewhere(self, generation, annotations=None):
        """Changes the object as a program that is not ours."""
        stored = await self.api.get(KIND, NAME)
        body = {**plain(generation), "generation": generation}
        await self.api.update(KIND, NAME, body, stored.version, annotations)


@pytest.fixture
async def keepers():
    """Returns a keeper that has generation 1 in force and watches."""
    keepers = Keepers()
    await keepers.start()
    yield keepers
    await keepers.keeper.stop()


class TestKeeper:
    """Guards against stored changes that a watch of metadata overlooks."""

    async def test_change_is_announced_and_not_read(self, keepers):
        reads = keepers.api.calls.reads
        await keepers.writer.change(plain(2), 1)
        await keepers.timers.run_for(1)
        assert keepers.newer == [2]
        # The writer's read of the metadata is the only one.
        assert keepers.api.calls.reads == reads + 1

    async def test_object_without_annotations_is_read(self, keepers):
        await keepers.write_elsewhere(2)
        await keepers.timers.run_for(1)
        assert keepers.state.generation == 2
        await keepers.writer.change(plain(3), 2)
        await keepers.timers.run_for(1)
        assert keepers.newer == [3]

    async def test_annotations_kept_by_another_writer_are_not_trusted(
        self, keepers
    ):
        stored = await keepers.api.get(KIND, NAME)
        await keepers.write_elsewhere(2, stored.annotations)
        await keepers.timers.run_for(1)
        assert keepers.state.generation == 2
        with pytest.raises(GenerationConflictError):
            await keepers.writer.change(plain(2), 1)

    async def test_change_during_a_read_is_read_too(self, keepers):
        answered = asyncio.Event()
        get = keepers.api.get

        async def answer_late(kind, name):
            stored = await get(kind, name)
            await answered.wait()
            return stored

        await keepers.write_elsewhere(2)
        keepers.api.get = answer_late
        await keepers.timers.run_for(1)
        keepers.api.get = get
        await keepers.write_elsewhere(3)
        await keepers.timers.run_for(1)
        assert keepers.state.generation == 1
        answered.set()
        await keepers.timers.run_for(1)
        assert keepers.state.generation == 3

    async def test_failed_read_is_repeated(self, keepers):
        refused = [ObjectApiUnavailableError("the rate share is used up")] * 2
        get = keepers.api.get

        async def refuse(kind, name):
            if refused:
                raise refused.pop()
            return await get(kind, name)

        await keepers.write_elsewhere(2)
        keepers.api.get = refuse
        await keepers.timers.run_for(8)
        assert keepers.state.generation == 2

    async def test_change_in_an_outage_of_the_watch_is_announced(self, keepers):
        keepers.api.set_down(True)
        await keepers.timers.run_for(20)
        keepers.api.set_down(False)
        await keepers.writer.change(plain(2), 1)
        await keepers.timers.run_for(8)
        assert keepers.newer == [2]
        assert keepers.state.generation == 1
