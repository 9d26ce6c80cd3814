"""Network partition of one region from the others and from the object API.

Six nodes in three regions run as processes behind TCP relays, which drop the
traffic between the partitions. Connections to endpoints are not affected.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter

import aiohttp
import attrs

from bench.report import BENCHES, Report
from guavalane_cli.client import OperatorClient
from guavalane_cli.commands import config
from guavalane_standins.cluster import Cluster, NodeHandle, caller_headers
from guavalane_standins.processes import ProcessGroup, free_port

REGIONS = 3
NODES_PER_REGION = 2
ISOLATED_REGION = 3
# Duration of the partition: regions can lose contact for minutes.
PARTITION_S = 150.0
CHANGE_AT_S = 60.0
# Maximum time until a change is in force on all nodes, in seconds.
MAX_PROPAGATION_S = 8.0
CALL_PERIOD_S = 0.5
POLL_S = 0.1
WAIT_LIMIT_S = 60.0
CHAT_BODY = {
    "model": "assistant",
    "messages": [{"role": "user", "content": "Which slots are free?"}],
    "max_tokens": 4,
}


@attrs.define
class CallOutcomes:
    """Call outcomes of the callers of one partition."""

    chats: Counter[str] = attrs.field(factory=Counter)
    certificates: Counter[str] = attrs.field(factory=Counter)


def region_host(region: int) -> str:
    """Returns the IP address of a region's nodes."""
    return f"127.0.{region}.1"


class Regions:
    """Entry nodes of three regions behind TCP relays."""

    def __init__(self, group: ProcessGroup) -> None:
        self._cluster = Cluster(group)
        self._regions: dict[str, int] = {}
        self._cluster.start_platform()
        for region in range(1, REGIONS + 1):
            self._cluster.start_engine(f"engine-{region}", f"zone-{region}")
        self._cluster.start_service("service-1", "zone-1")
        for region in range(1, REGIONS + 1):
            self._start_region(region)

    @property
    def nodes(self) -> dict[str, NodeHandle]:
        """Nodes by name."""
        return self._cluster.nodes

    def is_isolated(self, node: str) -> bool:
        """Returns whether a node is in the isolated region."""
        return self._regions[node] == ISOLATED_REGION

    def set_isolated(self, isolated: bool) -> None:
        """Isolates the region or reconnects it."""
        other_hosts = [
            region_host(r)
            for r in range(1, REGIONS + 1)
            if r != ISOLATED_REGION
        ]
        for node in self.nodes:
            sources = (
                other_hosts
                if self.is_isolated(node)
                else [region_host(ISOLATED_REGION)]
            )
            self._set_relay(node, isolated, sources)
        self._set_relay(f"objects-{ISOLATED_REGION}", isolated, [])

    def status(self, node: str) -> dict:
        """Returns the status of a node."""
        return self._cluster.operator_get(node, "status")

    def count_live_members(self, node: str) -> int:
        """Returns how many nodes a node lists as not dead."""
        report = self._cluster.operator_get(node, "nodes")
        return sum(member["state"] != "dead" for member in report)

    def change_configuration(self, folder) -> int:
        """Changes the configuration at a node outside the isolated region.

        Returns:
          Generation of the changed configuration.
        """
        client = OperatorClient(
            self.nodes["entry-1-0"].operators, self._cluster.operator_token
        )
        data = client.get("/operator/config")
        data["organisations"]["north"]["weight"] = 5.0
        path = folder / "change.json"
        path.write_text(json.dumps(data))
        answer = config.apply(client, str(path), limit_s=0.0)
        return answer["generation"]

    def count_repeated_certificates(self) -> int:
        """Returns the number of keys that the service received repeatedly."""
        requests = self._cluster.endpoint_stats("service-1")["requests"]
        keys = Counter(request["key"] for request in requests)
        return sum(count > 1 for count in keys.values())

    def _start_region(self, region: int) -> None:
        listen = free_port()
        target = self._cluster.urls["objects"].removeprefix("http://")
        self._cluster.start_relay(f"objects-{region}", target, listen)
        for index in range(NODES_PER_REGION):
            name = f"entry-{region}-{index}"
            self._regions[name] = region
            advertised = [
                node.settings["advertised_peers"]
                for node in self.nodes.values()
            ]
            self._cluster.start_node_behind_relay(
                name,
                f"zone-{region}",
                peer_host=region_host(region),
                seeds=advertised,
                object_api={
                    "kind": "http",
                    "url": f"http://127.0.0.1:{listen}",
                },
            )

    def _set_relay(
        self, relay: str, isolated: bool, sources: list[str]
    ) -> None:
        self._cluster.set_partition(
            relay, to_target=isolated, from_target=isolated, sources=sources
        )


class Callers:
    """Callers that send requests to nodes at a constant rate."""

    def __init__(self, regions: Regions, session: aiohttp.ClientSession):
        self._regions = regions
        self._session = session
        self.outcomes = {False: CallOutcomes(), True: CallOutcomes()}

    async def run(self, node: NodeHandle) -> None:
        """Sends requests to one node until cancelled."""
        number = 0
        while True:
            outcomes = self.outcomes[self._regions.is_isolated(node.name)]
            number += 1
            await asyncio.gather(
                self._chat(node, outcomes),
                self._certificate(node, f"{node.name}-{number}", outcomes),
                asyncio.sleep(CALL_PERIOD_S),
            )

    async def _chat(self, node: NodeHandle, outcomes: CallOutcomes) -> None:
        async with self._session.post(
            f"{node.callers}/v1/chat/completions",
            json=CHAT_BODY,
            headers=caller_headers(),
        ) as answer:
            body = await answer.json(content_type=None)
            outcomes.chats[body.get("code", "answered")] += 1

    async def _certificate(
        self, node: NodeHandle, key: str, outcomes: CallOutcomes
    ) -> None:
        async with self._session.post(
            f"{node.callers}/certificates",
            json={"item": key},
            headers=caller_headers(**{"Idempotency-Key": key}),
        ) as answer:
            body = await answer.json(content_type=None)
            outcome = body.get("code", "answered")
            if body.get("not_run"):
                outcome = "refused as not run"
            outcomes.certificates[outcome] += 1


async def wait_until(condition, limit_s: float = WAIT_LIMIT_S) -> float:
    """Waits for a condition.

    Returns:
      Waiting time in seconds, or the limit if the condition never held.
    """
    start_s = time.monotonic()
    while not await asyncio.to_thread(condition):
        if time.monotonic() - start_s > limit_s:
            return limit_s
        await asyncio.sleep(POLL_S)
    return time.monotonic() - start_s


async def count_generation_decreases(
    regions: Regions, node: str, decreases: Counter[str]
) -> None:
    """Counts how often the generation of a node decreases."""
    last = 0
    while True:
        status = await asyncio.to_thread(regions.status, node)
        decreases[node] += status["generation"] < last
        last = status["generation"]
        await asyncio.sleep(1.0)


async def measure_partition(report: Report, regions: Regions, folder) -> None:
    """Isolates a region under load and reports the outcomes of calls."""
    total = len(regions.nodes)
    other_nodes = [
        node for node in regions.nodes if not regions.is_isolated(node)
    ]
    isolated_nodes = [
        node for node in regions.nodes if regions.is_isolated(node)
    ]
    decreases: Counter[str] = Counter()

    def all_live(nodes, count):
        return all(regions.count_live_members(node) == count for node in nodes)

    def in_force(nodes, generation):
        return all(
            regions.status(node)["generation"] >= generation for node in nodes
        )

    await wait_until(lambda: all_live(regions.nodes, total))
    async with aiohttp.ClientSession() as session:
        callers = Callers(regions, session)
        tasks = [
            asyncio.create_task(callers.run(node))
            for node in regions.nodes.values()
        ]
        tasks += [
            asyncio.create_task(
                count_generation_decreases(regions, node, decreases)
            )
            for node in regions.nodes
        ]
        await asyncio.sleep(5.0)
        start_s = time.monotonic()
        regions.set_isolated(True)
        await asyncio.sleep(CHANGE_AT_S)
        report.bound(
            "partitions whose nodes list only each other as live",
            all_live(other_nodes, len(other_nodes))
            + all_live(isolated_nodes, len(isolated_nodes)),
            "partitions",
            at_least=2,
        )
        change_start_s = time.monotonic()
        generation = await asyncio.to_thread(
            regions.change_configuration, folder
        )
        await wait_until(lambda: in_force(other_nodes, generation))
        report.bound(
            "change in force in the partition with the object API",
            time.monotonic() - change_start_s,
            "s",
            at_most=MAX_PROPAGATION_S,
        )
        report.bound(
            "isolated nodes that have the change",
            sum(in_force([node], generation) for node in isolated_nodes),
            "nodes",
            at_most=0,
        )
        await asyncio.sleep(PARTITION_S - (time.monotonic() - start_s))
        certificates_before = callers.outcomes[True].certificates["answered"]
        regions.set_isolated(False)
        recovery_s = await wait_until(
            lambda: in_force(isolated_nodes, generation)
        )
        report.bound(
            "change in force in the region after the partition",
            recovery_s,
            "s",
            at_most=MAX_PROPAGATION_S,
        )
        recovery_s += await wait_until(
            lambda: (
                callers.outcomes[True].certificates["answered"]
                > certificates_before
            )
        )
        report.figure("certificates issued again after", recovery_s, "s")
        recovery_s += await wait_until(lambda: all_live(regions.nodes, total))
        report.figure(
            "all nodes list each other as live after", recovery_s, "s"
        )
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
    report.bound(
        "failed tasks of callers",
        sum(not isinstance(r, asyncio.CancelledError) for r in results),
        "tasks",
        at_most=0,
    )
    report.bound(
        "generations that decreased", sum(decreases.values()), "", at_most=0
    )
    report_callers(report, callers, regions)


def report_callers(report: Report, callers: Callers, regions: Regions) -> None:
    """Reports the call outcomes of both partitions."""
    for isolated, partition in (
        (False, "other regions"),
        (True, "isolated region"),
    ):
        outcomes = callers.outcomes[isolated]
        chats = sum(outcomes.chats.values())
        report.bound(
            f"{partition}: chats not answered, of {chats}",
            chats - outcomes.chats["answered"],
            "chats",
            at_most=0,
        )
        calls = sum(outcomes.certificates.values())
        refused = outcomes.certificates["refused as not run"]
        report.figure(
            f"{partition}: certificates refused as not run, of {calls}",
            refused,
            "calls",
        )
        report.bound(
            f"{partition}: certificates neither answered nor refused as not"
            " run",
            calls - refused - outcomes.certificates["answered"],
            "calls",
            at_most=0,
        )
    report.bound(
        "certificate keys received repeatedly",
        regions.count_repeated_certificates(),
        "keys",
        at_most=0,
    )


@BENCHES.register("regions")
def run(report: Report) -> None:
    """Measures the partition of a region."""
    with ProcessGroup() as group:
        regions = Regions(group)
        asyncio.run(measure_partition(report, regions, group.folder))
