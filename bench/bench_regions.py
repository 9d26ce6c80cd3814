"""A region that is cut off from the others and from the object API.

Six nodes in three regions run as processes; relays lose what passes between
the regions. Connections to endpoints are not cut.
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
CUT_REGION = 3
# Regions lose each other for minutes.
CUT_S = 150.0
CHANGE_AT_S = 60.0
# A change is in force everywhere within this time, in seconds.
IN_FORCE_S = 8.0
CALL_PERIOD_S = 0.5
POLL_S = 0.1
GIVE_UP_S = 60.0
CHAT = {
    "model": "assistant",
    "messages": [{"role": "user", "content": "Which slots are free?"}],
    "max_tokens": 4,
}


@attrs.define
class Tally:
    """What the callers of one side saw, by outcome."""

    chats: Counter[str] = attrs.field(factory=Counter)
    certificates: Counter[str] = attrs.field(factory=Counter)


def host_of(region: int) -> str:
    """Returns the IP number of a region's nodes."""
    return f"127.0.{region}.1"


class Regions:
    """Entry nodes of three regions behind relays."""

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

    def is_cut(self, node: str) -> bool:
        """Returns whether a node is in the region that is cut off."""
        return self._regions[node] == CUT_REGION

    def set_cut(self, cut: bool) -> None:
        """Cuts the region off or connects it again."""
        far = [host_of(r) for r in range(1, REGIONS + 1) if r != CUT_REGION]
        for node in self.nodes:
            sources = far if self.is_cut(node) else [host_of(CUT_REGION)]
            self._set_relay(node, cut, sources)
        self._set_relay(f"objects-{CUT_REGION}", cut, [])

    def status(self, node: str) -> dict:
        """Returns the status of a node."""
        return self._cluster.operator_get(node, "status")

    def live_members(self, node: str) -> int:
        """Returns how many nodes a node takes to run."""
        report = self._cluster.operator_get(node, "nodes")
        return sum(member["state"] != "dead" for member in report)

    def change_configuration(self, folder) -> int:
        """Applies a change at a node of the other regions."""
        client = OperatorClient(
            self.nodes["entry-1-0"].operators, self._cluster.operator_token
        )
        data = client.get("/operator/config")
        data["organisations"]["north"]["weight"] = 5.0
        path = folder / "change.json"
        path.write_text(json.dumps(data))
        answer = config.apply(client, str(path), limit_s=0.0)
        return answer["generation"]

    def doubled_certificates(self) -> int:
        """Returns how many keys the service received more than once."""
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
                peer_host=host_of(region),
                seeds=advertised,
                object_api={
                    "kind": "http",
                    "url": f"http://127.0.0.1:{listen}",
                },
            )

    def _set_relay(self, relay: str, cut: bool, sources: list[str]) -> None:
        self._cluster.set_partition(
            relay, to_target=cut, from_target=cut, sources=sources
        )


class Callers:
    """Calls every node at a constant rate."""

    def __init__(self, regions: Regions, session: aiohttp.ClientSession):
        self._regions = regions
        self._session = session
        self.tallies = {False: Tally(), True: Tally()}

    async def run(self, node: NodeHandle) -> None:
        """Calls one node until cancelled."""
        number = 0
        while True:
            tally = self.tallies[self._regions.is_cut(node.name)]
            number += 1
            await asyncio.gather(
                self._chat(node, tally),
                self._certificate(node, f"{node.name}-{number}", tally),
                asyncio.sleep(CALL_PERIOD_S),
            )

    async def _chat(self, node: NodeHandle, tally: Tally) -> None:
        async with self._session.post(
            f"{node.callers}/v1/chat/completions",
            json=CHAT,
            headers=caller_headers(),
        ) as answer:
            body = await answer.json(content_type=None)
            tally.chats[body.get("code", "answered")] += 1

    async def _certificate(
        self, node: NodeHandle, key: str, tally: Tally
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
            tally.certificates[outcome] += 1


async def wait_until(condition, limit_s: float = GIVE_UP_S) -> float:
    """Waits for a condition and returns the seconds that it took."""
    began = time.monotonic()
    while not await asyncio.to_thread(condition):
        if time.monotonic() - began > limit_s:
            return limit_s
        await asyncio.sleep(POLL_S)
    return time.monotonic() - began


async def watch_generations(
    regions: Regions, node: str, reverts: Counter[str]
) -> None:
    """Counts how often the generation in force on a node falls."""
    last = 0
    while True:
        status = await asyncio.to_thread(regions.status, node)
        reverts[node] += status["generation"] < last
        last = status["generation"]
        await asyncio.sleep(1.0)


async def measure(report: Report, regions: Regions, folder) -> None:
    """Cuts a region off under load and reports what callers saw."""
    total = len(regions.nodes)
    main = [node for node in regions.nodes if not regions.is_cut(node)]
    far = [node for node in regions.nodes if regions.is_cut(node)]
    reverts: Counter[str] = Counter()

    def all_live(nodes, count):
        return all(regions.live_members(node) == count for node in nodes)

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
            asyncio.create_task(watch_generations(regions, node, reverts))
            for node in regions.nodes
        ]
        await asyncio.sleep(5.0)
        began = time.monotonic()
        regions.set_cut(True)
        await asyncio.sleep(CHANGE_AT_S)
        report.bound(
            "sides that see only themselves",
            all_live(main, len(main)) + all_live(far, len(far)),
            "sides",
            at_least=2,
        )
        changed = time.monotonic()
        generation = await asyncio.to_thread(
            regions.change_configuration, folder
        )
        await wait_until(lambda: in_force(main, generation))
        report.bound(
            "change in force on the side with the object API",
            time.monotonic() - changed,
            "s",
            at_most=IN_FORCE_S,
        )
        report.bound(
            "nodes cut off that have the change",
            sum(in_force([node], generation) for node in far),
            "nodes",
            at_most=0,
        )
        await asyncio.sleep(CUT_S - (time.monotonic() - began))
        during = callers.tallies[True].certificates["answered"]
        regions.set_cut(False)
        seconds = await wait_until(lambda: in_force(far, generation))
        report.bound(
            "change in force in the region after the cut",
            seconds,
            "s",
            at_most=IN_FORCE_S,
        )
        seconds += await wait_until(
            lambda: callers.tallies[True].certificates["answered"] > during
        )
        report.figure("certificates again after", seconds, "s")
        seconds += await wait_until(lambda: all_live(regions.nodes, total))
        report.figure("all nodes see each other after", seconds, "s")
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
    report.bound(
        "failed tasks of callers",
        sum(not isinstance(r, asyncio.CancelledError) for r in results),
        "tasks",
        at_most=0,
    )
    report.bound("generations that fell", sum(reverts.values()), "", at_most=0)
    report_callers(report, callers, regions)


def report_callers(report: Report, callers: Callers, regions: Regions) -> None:
    """Reports the outcomes of both sides."""
    for cut, side in ((False, "other regions"), (True, "cut region")):
        tally = callers.tallies[cut]
        chats = sum(tally.chats.values())
        report.bound(
            f"{side}: chats not answered, of {chats}",
            chats - tally.chats["answered"],
            "chats",
            at_most=0,
        )
        calls = sum(tally.certificates.values())
        refused = tally.certificates["refused as not run"]
        report.figure(
            f"{side}: certificates refused as not run, of {calls}",
            refused,
            "calls",
        )
        report.bound(
            f"{side}: certificates neither answered nor refused as not run",
            calls - refused - tally.certificates["answered"],
            "calls",
            at_most=0,
        )
    report.bound(
        "certificates doubled",
        regions.doubled_certificates(),
        "keys",
        at_most=0,
    )


@BENCHES.register("regions")
def run(report: Report) -> None:
    """Runs the bench."""
    with ProcessGroup() as group:
        regions = Regions(group)
        asyncio.run(measure(report, regions, group.folder))
