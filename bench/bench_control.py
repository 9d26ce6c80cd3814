"""Control cost per node and the spread of configurations.

See `bench.control_system` for what is counted. Figures at 550 nodes continue
the straight line through the two largest sizes.
"""

from __future__ import annotations

import asyncio
import gc
import json
import multiprocessing
import os
import pathlib
import random
import time

import attrs
from loguru import logger as log

from bench.control_system import STEP_S, System, new_incarnation
from bench.control_system import ZONES as NODE_ZONES
from bench.report import BENCHES, Report
from guavalane_core import messages
from guavalane_core.configuration import ConfigurationState
from guavalane_core.exceptions import ObjectApiUnavailableError
from guavalane_core.membership import Member
from guavalane_core.membership.lists import compress_list
from guavalane_core.membership.machine import JOIN_LIMIT_S, LIST_PERIOD_S
from guavalane_core.objects import BudgetedObjectApi, MemoryObjectApi
from guavalane_core.objects.api import MAX_VALUE_BYTES
from guavalane_core.timers import ManualTimers
from guavalane_entry.store.objects_http import WATCH_TIMEOUT_S
from guavalane_standins.cluster import ZONES, Cluster
from guavalane_standins.processes import ProcessGroup

SIZES = (4, 16, 64, 128)
FLEET_NODES = 550
FLEET_ENDPOINTS = 6400
ENDPOINTS = 200
# Bounds of section 2.6 and 2.4 of the design.
CORE_PER_CENT = 2.4
MEMORY_MB = 64
BYTES_PER_S = 2000
IN_FORCE_S = 8
WRITES_PER_S = 300
READS_PER_S = 2000
CHANGE_PERIOD_S = 15
WARM_UP_S = 30
START_S = 10
WINDOW_S = 60
LOSS_WINDOW_S = 20
CHANGES = 8
CHANGE_WINDOW_S = 3
RELAY_CHANGES = 4
BUDGET_READS_PER_S = 1500
CALLER_RETRY_S = 0.5
OUTAGE_S = 30
IDLE_PROCESSES = (4, 8)
IDLE_S = 10
MIB = 1 << 20


def make_configuration(endpoints: int, generation: int = 0) -> dict:
    """Returns a configuration of a size that deployments may have."""
    return {
        "generation": generation,
        "organisations": {
            f"organisation-{i}": {"key_sha256": [f"{i:064x}"]} for i in range(5)
        },
        "deployments": {
            "assistant": {"versions": {"v1": {"share": 1.0}}},
        },
        "routes": {
            "chat": {
                "kind": "model",
                "request_class": "interactive",
                "deployment": "assistant",
                "model": "assistant",
            }
        },
        "endpoints": {
            f"engine-{i:05}": {
                "url": f"http://10.{i >> 16}.{i >> 8 & 255}.{i & 255}:8000",
                "zone": f"zone-{i % 9}",
                "deployment": "assistant",
                "version": "v1",
            }
            for i in range(endpoints)
        },
    }


def change(configuration: dict, number: int) -> dict:
    """Returns a configuration with one endpoint changed."""
    endpoints = dict(configuration["endpoints"])
    name = f"engine-{number:05}"
    endpoints[name] = {**endpoints[name], "vm_class": f"class-{number}"}
    return {**configuration, "endpoints": endpoints}


def resident_bytes() -> int:
    """Returns the resident size of this process."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def extrapolate(values: dict[int, float]) -> float:
    """Returns the value at fleet size from the two largest sizes."""
    (n1, v1), (n2, v2) = sorted(values.items())[-2:]
    # A falling line is noise: no cost here shrinks with the fleet.
    slope = max(0.0, (v2 - v1) / (n2 - n1))
    return v2 + slope * (FLEET_NODES - n2)


async def start_system(
    count: int, relays: bool = True, endpoints: int = ENDPOINTS
) -> System:
    """Returns a system that has its first configuration in force."""
    system = System(count, relays)
    system.start()
    await system.run(5)
    await system.nodes[0].configuration_store.change(
        make_configuration(endpoints), 0
    )
    await system.run(5)
    return system


async def measure_steady(report: Report) -> None:
    """Measures bytes, CPU and calls, and the loss of a zone."""
    sent, cpu, lost, calls = {}, {}, {}, {}
    for count in SIZES:
        system = System(count)
        system.start()
        await system.run(START_S)
        start_bytes = sum(system.traffic()) / START_S / count
        await system.run(WARM_UP_S)
        bytes_before, calls_before = system.traffic(), system.api.calls.reads
        cpu_s = await system.run(WINDOW_S)
        used = sum(system.traffic()) - sum(bytes_before)
        sent[count] = used / WINDOW_S / count
        cpu[count] = cpu_s / WINDOW_S / count * 100
        reads = system.api.calls.reads - calls_before
        waiting = sum(node.objects.watches for node in system.nodes)
        calls[count] = reads / WINDOW_S + waiting
        links = max(len(node.links.peers) for node in system.nodes)
        lost[count] = await lose_zone(system)
        report.figure(f"bytes/s at {count} nodes", sent[count], "B/s")
        report.figure(f"bytes/s, all start, {count} nodes", start_bytes, "B/s")
        report.figure(f"bytes/s, zone lost, {count} nodes", lost[count], "B/s")
        report.figure(f"CPU at {count} nodes", cpu[count], "% of a core")
        report.figure(f"API calls at {count} nodes", calls[count], "calls/s")
        report.figure(f"most connections at {count} nodes", links, "")
        await system.stop()
    rng = random.Random(1)
    members = [
        Member(
            f"entry-{i}",
            new_incarnation(rng),
            f"10.{i & 3}.{rng.randrange(256)}.{rng.randrange(256)}:8082",
            f"zone-{i % NODE_ZONES}",
        )
        for i in range(FLEET_NODES)
    ]
    size = len(messages.encode(compress_list(members, FLEET_NODES)))
    # Each node asks for one list and sends one in this period on average.
    lists = 2 * size / LIST_PERIOD_S
    report.figure(f"member lists at {FLEET_NODES}, by size", lists, "B/s")
    memory = {}
    context = multiprocessing.get_context("spawn")
    for count in SIZES:
        # Memory that an earlier size has freed would hide the growth.
        with context.Pool(1) as pool:
            memory[count] = pool.apply(measure_memory, (count,))
        report.figure(f"memory at {count} nodes", memory[count], "MiB a node")
    for name, values, unit, limit in (
        ("control bytes/s", sent, "B/s", BYTES_PER_S),
        ("control bytes/s, zone lost", lost, "B/s", BYTES_PER_S),
        ("control CPU", cpu, "% of a core", CORE_PER_CENT),
        ("control memory", memory, "MiB", MEMORY_MB),
        ("API reads in all", calls, "calls/s", READS_PER_S),
    ):
        largest = SIZES[-1]
        report.bound(
            f"{name} at {largest}", values[largest], unit, at_most=limit
        )
        report.bound(
            f"{name} at {FLEET_NODES}, extrapolated",
            extrapolate(values),
            unit,
            at_most=limit,
        )


async def measure_common_start(report: Report) -> None:
    """Measures a start of the whole fleet at once, window by window."""
    system = System(FLEET_NODES)
    system.start()
    rates, busiest, joined_s = [], 0.0, None
    while joined_s is None and len(rates) * START_S < 2 * JOIN_LIMIT_S:
        before = [node.traffic for node in system.nodes]
        for second in range(START_S):
            await system.run(1)
            if joined_s is None and system.is_complete():
                joined_s = len(rates) * START_S + second + 1
        used = [
            (node.traffic - start) / START_S
            for node, start in zip(system.nodes, before, strict=True)
        ]
        rates.append(sum(used) / FLEET_NODES)
        busiest = max(busiest, *used)
    name = f"all {FLEET_NODES} nodes start"
    for window, rate in enumerate(rates):
        report.bound(
            f"{name}: bytes/s from {window * START_S} s on",
            rate,
            "B/s",
            at_most=BYTES_PER_S,
        )
    report.figure(f"{name}: busiest node", busiest, "B/s")
    report.bound(
        f"{name}: every node knows all",
        float("inf") if joined_s is None else joined_s,
        "s",
        at_most=JOIN_LIMIT_S,
    )
    await system.stop()


async def lose_zone(system: System) -> float:
    """Stops the nodes of one zone; returns bytes/s per node left."""
    lost = {
        node.name
        for index, node in enumerate(system.nodes)
        if index % NODE_ZONES == NODE_ZONES - 1
    }
    system.frozen = lost
    before = sum(system.traffic())
    await system.run(LOSS_WINDOW_S)
    left = len(system.nodes) - len(lost)
    return (sum(system.traffic()) - before) / LOSS_WINDOW_S / left


def measure_memory(count: int) -> float:
    """Returns the resident growth per node, in MiB."""
    log.remove()

    async def grow() -> float:
        # The first system pays for what the process loads once.
        warm_up = System(1)
        warm_up.start()
        await warm_up.run(1)
        gc.collect()
        before = resident_bytes()
        system = System(count)
        system.start()
        await system.run(START_S)
        gc.collect()
        grown = (resident_bytes() - before) / count / MIB
        await system.stop()
        await warm_up.stop()
        return grown

    return asyncio.run(grow())


@attrs.frozen
class SpreadCost:
    """Cost of one change, all nodes together."""

    api_body_bytes: float
    api_deliveries: float
    peer_bytes: float
    cpu_ms: float
    waiting: int
    slowest_s: float


async def measure_spread(count: int, relays: bool) -> SpreadCost:
    """Measures changes one after the other, less the idle cost."""
    system = await start_system(count, relays)
    await system.run(WARM_UP_S)
    idle_bytes = sum(system.traffic())
    idle_cpu = await system.run(CHANGE_WINDOW_S * CHANGES)
    idle_bytes = sum(system.traffic()) - idle_bytes
    api = system.api
    bodies, deliveries = api.body_bytes, api.deliveries
    peer_bytes, slowest = sum(system.traffic()), 0.0
    configuration = make_configuration(ENDPOINTS)
    start = time.process_time()
    for number in range(CHANGES):
        configuration = change(configuration, number)
        base = system.nodes[0].state.generation
        task = asyncio.create_task(
            system.nodes[0].configuration_store.change(configuration, base)
        )
        passed = await system.run_until(
            lambda base=base: system.in_force(base + 1), IN_FORCE_S * 2
        )
        await task
        slowest = max(slowest, passed)
        await system.run(max(0.0, CHANGE_WINDOW_S - passed))
    cpu = time.process_time() - start
    waiting = sum(node.objects.watches for node in system.nodes)
    peer_bytes = sum(system.traffic()) - peer_bytes - idle_bytes
    await system.stop()
    return SpreadCost(
        (api.body_bytes - bodies) / CHANGES,
        (api.deliveries - deliveries) / CHANGES,
        peer_bytes / 2 / CHANGES,
        (cpu - idle_cpu) / CHANGES * 1000,
        waiting,
        slowest,
    )


async def compare_spread(report: Report) -> None:
    """Compares relays with a watch on every node."""
    for relays in (False, True):
        bodies, watches = {}, {}
        for count in (64, 128):
            cost = await measure_spread(count, relays)
            name = f"{'relays' if relays else 'all watch'}, {count} nodes"
            bodies[count], watches[count] = cost.api_body_bytes, cost.waiting
            rearms = cost.waiting * 3600 / WATCH_TIMEOUT_S
            for what, value, unit in (
                ("body bytes from the API", cost.api_body_bytes, "B a change"),
                ("API deliveries", cost.api_deliveries, "a change"),
                ("bytes between nodes", cost.peer_bytes, "B a change"),
                ("CPU of all nodes", cost.cpu_ms, "ms a change"),
                ("waiting watches", cost.waiting, ""),
                ("re-arms", rearms / count, "a node-hour"),
                ("slowest change", cost.slowest_s, "s"),
            ):
                report.figure(f"{name}: {what}", value, unit)
            report.bound(
                f"{name}: slowest change",
                cost.slowest_s,
                "s",
                at_most=IN_FORCE_S,
            )
        report.figure(
            f"{'relays' if relays else 'all watch'}: waiting watches at"
            f" {FLEET_NODES}, extrapolated",
            extrapolate(watches),
            "",
        )


async def measure_relays(report: Report) -> None:
    """Measures all control bytes of the busiest relay at a full fleet's size.

    Readers store the changes, so that the bytes grow with the subscribers only.
    """
    busiest = {}
    for count in (64, 128):
        system = await start_system(count, endpoints=FLEET_ENDPOINTS)
        await system.run(WARM_UP_S)
        relays = [node for node in system.nodes if node.sharing.is_relay]
        readers = [node for node in system.nodes if node not in relays]
        before = {node.name: node.traffic for node in relays}
        api_before = max(node.api.bytes_received for node in relays)
        reads = sum(node.api.whole_reads for node in system.nodes)
        configuration = make_configuration(FLEET_ENDPOINTS)
        for number in range(RELAY_CHANGES):
            configuration = change(configuration, number)
            storer = readers[number]
            await storer.configuration_store.change(
                configuration, storer.state.generation
            )
            await system.run(CHANGE_PERIOD_S)
        seconds = RELAY_CHANGES * CHANGE_PERIOD_S
        busiest[count] = max(
            (node.traffic - before[node.name]) / seconds for node in relays
        )
        received = max(node.api.bytes_received for node in relays) - api_before
        reads = sum(node.api.whole_reads for node in system.nodes) - reads
        name = f"relay of {count} nodes, {FLEET_ENDPOINTS} endpoints"
        report.figure(f"{name}: from the API", received / seconds, "B/s")
        report.figure(f"{name}: whole reads of all nodes", reads, "")
        report.bound(
            f"{name}: all control bytes",
            busiest[count],
            "B/s",
            at_most=BYTES_PER_S,
        )
        await system.stop()
    report.bound(
        f"relay of {FLEET_NODES} nodes: all control bytes, extrapolated",
        extrapolate(busiest),
        "B/s",
        at_most=BYTES_PER_S,
    )


async def measure_lost_storer(report: Report) -> None:
    """Measures a change whose storing node dies before it tells a peer."""
    system = await start_system(64)
    await system.run(WARM_UP_S)
    storer = next(n for n in system.nodes if not n.sharing.is_relay)
    base = storer.state.generation
    reads = sum(node.api.whole_reads for node in system.nodes)
    system.frozen = {storer.name}
    await storer.configuration_store.change(
        change(make_configuration(ENDPOINTS), 1), base
    )
    passed = await system.run_until(
        lambda: system.in_force(base + 1), IN_FORCE_S * 2
    )
    reads = sum(node.api.whole_reads for node in system.nodes) - reads
    report.bound(
        "change whose storing node dies", passed, "s", at_most=IN_FORCE_S
    )
    report.bound("whole reads for it", reads, "", at_most=1)
    await system.stop()


async def measure_faults(report: Report) -> None:
    """Measures a change whose relays fail, and the end of an outage."""
    system = await start_system(64)
    zone = "zone-3"
    system.frozen = {
        node.name
        for node in system.nodes
        if node.sharing.is_relay and node.links._zone == zone
    }
    changer = next(n for n in system.nodes if n.name not in system.frozen)
    base = changer.state.generation
    configuration = change(make_configuration(ENDPOINTS), 1)
    task = asyncio.create_task(
        changer.configuration_store.change(configuration, base)
    )
    passed = await system.run_until(
        lambda: system.in_force(base + 1), IN_FORCE_S * 2
    )
    await task
    report.bound(
        "change while both relays of a zone freeze",
        passed,
        "s",
        at_most=IN_FORCE_S,
    )
    await system.stop()
    writes, reads = await measure_outage()
    for name, value, limit in (
        ("writes", writes, WRITES_PER_S),
        ("reads", reads, READS_PER_S),
    ):
        report.bound(
            f"{name} in the first second after an outage, {FLEET_NODES} nodes",
            value,
            "calls",
            at_most=limit,
        )


async def measure_outage() -> tuple[int, int]:
    """Returns writes and reads in the first second after an outage.

    The budgets of the whole fleet run without the other control parts.
    """
    timers, api = ManualTimers(), MemoryObjectApi()
    clients = [
        BudgetedObjectApi(
            api,
            timers,
            lambda: FLEET_NODES,
            WRITES_PER_S,
            BUDGET_READS_PER_S,
            random.Random(seed),
        )
        for seed in range(FLEET_NODES)
    ]

    async def call(index: int, client: BudgetedObjectApi) -> None:
        number = 0
        while True:
            number += 1
            name = f"{index}-{number}"
            try:
                await client.create("claims", name, {})
                await client.get("claims", name)
            except ObjectApiUnavailableError:
                await timers.sleep(CALLER_RETRY_S)

    tasks = [
        asyncio.create_task(call(index, client))
        for index, client in enumerate(clients)
    ]
    await timers.run_for(5, STEP_S)
    api.set_down(True)
    await timers.run_for(OUTAGE_S, STEP_S)
    before = attrs.evolve(api.calls)
    api.set_down(False)
    await timers.run_for(1, STEP_S)
    for task in tasks:
        task.cancel()
    return api.calls.writes - before.writes, api.calls.reads - before.reads


def measure_configuration_size(report: Report) -> None:
    """Measures one change of a configuration of the largest fleet."""
    gc.collect()
    before = resident_bytes()
    state = ConfigurationState()
    configuration = make_configuration(FLEET_ENDPOINTS, 1)
    state.offer(configuration)
    gc.collect()
    grown = (resident_bytes() - before) / MIB
    body = json.dumps(configuration).encode()
    report.figure("configuration of 6,400 endpoints, memory", grown, "MiB")
    report.bound(
        "configuration of 6,400 endpoints, body",
        len(body),
        "B",
        at_most=MAX_VALUE_BYTES,
    )
    rounds = 5
    start = time.process_time()
    for number in range(rounds):
        name = f"engine-{number:05}"
        entry = {**configuration["endpoints"][name], "vm_class": "other"}
        delta = {"endpoints": {name: entry}}
        state.offer_delta(state.generation, state.generation + 1, delta, "")
    cost_s = (time.process_time() - start) / rounds
    report.figure("apply a delta to 6,400 endpoints", cost_s * 1000, "ms")
    report.bound(
        f"apply a delta every {CHANGE_PERIOD_S} s",
        cost_s / CHANGE_PERIOD_S * 100,
        "% of a core",
        at_most=CORE_PER_CENT,
    )
    start = time.process_time()
    for _ in range(rounds):
        json.loads(body)
    parse_s = (time.process_time() - start) / rounds
    report.figure("parse the whole body", parse_s * 1000, "ms")
    report.figure(
        "whole body at each change",
        len(body) / CHANGE_PERIOD_S,
        "B/s",
    )


def measure_processes(report: Report) -> None:
    """Measures idle entry processes, sockets included."""
    cpu = {}
    for count in IDLE_PROCESSES:
        with ProcessGroup() as group:
            cluster = Cluster(group)
            cluster.start_platform()
            names = [f"entry-{i}" for i in range(count)]
            for index, name in enumerate(names):
                # Two zones, so that the larger size has readers too.
                cluster.start_node(name, ZONES[index % 2])
            time.sleep(3)
            pids = [group.process(name).pid for name in names]
            before = sum(map(run_ns, pids))
            time.sleep(IDLE_S)
            used_ns = sum(map(run_ns, pids)) - before
            sizes = [resident_of(pid) for pid in pids]
        cpu[count] = used_ns / 1e9 / IDLE_S / count * 100
        report.figure(
            f"idle process, {count} nodes: CPU", cpu[count], "% of a core"
        )
        report.figure(
            f"idle process, {count} nodes: resident", max(sizes), "MiB"
        )
    report.bound(
        "idle process CPU with sockets",
        cpu[IDLE_PROCESSES[-1]],
        "% of a core",
        at_most=CORE_PER_CENT,
    )


def run_ns(pid: int) -> int:
    """Returns the CPU time of a process, in nanoseconds."""
    total = 0
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total += int(path.read_text().split()[0])
    return total


def resident_of(pid: int) -> float:
    """Returns the resident size of a process, in MiB."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MIB


@BENCHES.register("control")
def run(report: Report) -> None:
    """Measures membership, configuration and the object API's load."""
    log.disable("guavalane_core")
    log.disable("guavalane_entry")

    async def measure() -> None:
        await measure_steady(report)
        await measure_common_start(report)
        await compare_spread(report)
        await measure_relays(report)
        await measure_lost_storer(report)
        await measure_faults(report)

    measure_configuration_size(report)
    asyncio.run(measure())
    measure_processes(report)
