"""Control cost per node and propagation of configuration changes.

See `bench.simulated_cluster` for what is counted. Values for 550 nodes are
extrapolated linearly from the two largest sizes unless they are measured.
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

from bench.report import BENCHES, Report
from bench.simulated_cluster import (
    STEP_S,
    ZONE_COUNT,
    SimulatedCluster,
    new_incarnation,
)
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

CLUSTER_SIZES = (4, 16, 64, 128)
FLEET_NODES = 550
FLEET_ENDPOINT_COUNT = 6400
ENDPOINT_COUNT = 200
# Limits per node for control, and of the object API for all nodes (sections
# 2.4 and 2.6 of the design).
MAX_CPU_PERCENT = 2.4
MAX_MEMORY_MIB = 64
MAX_BYTES_PER_S = 2000
MAX_PROPAGATION_S = 8
API_WRITES_PER_S = 300
API_READS_PER_S = 2000
CHANGE_PERIOD_S = 15
WARM_UP_S = 30
START_WINDOW_S = 10
STEADY_WINDOW_S = 60
ZONE_LOSS_WINDOW_S = 20
CHANGE_COUNT = 8
CHANGE_WINDOW_S = 3
RELAY_CHANGE_COUNT = 4
READ_BUDGET_PER_S = 1500
CALLER_RETRY_DELAY_S = 0.5
OUTAGE_S = 30
IDLE_PROCESS_COUNTS = (4, 8)
IDLE_S = 10
MIB = 1 << 20


def make_configuration(endpoints: int, generation: int = 0) -> dict:
    """Returns a configuration with the given number of endpoints."""
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


def change_endpoint(configuration: dict, number: int) -> dict:
    """Returns a configuration with one endpoint changed."""
    endpoints = dict(configuration["endpoints"])
    name = f"engine-{number:05}"
    endpoints[name] = {**endpoints[name], "vm_class": f"class-{number}"}
    return {**configuration, "endpoints": endpoints}


def resident_bytes() -> int:
    """Returns the resident memory of this process."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def extrapolate(values: dict[int, float]) -> float:
    """Extrapolates linearly from the two largest sizes to the fleet size."""
    (n1, v1), (n2, v2) = sorted(values.items())[-2:]
    # A negative slope is noise: no cost decreases with the number of nodes.
    slope = max(0.0, (v2 - v1) / (n2 - n1))
    return v2 + slope * (FLEET_NODES - n2)


async def start_cluster(
    count: int, relays: bool = True, endpoints: int = ENDPOINT_COUNT
) -> SimulatedCluster:
    """Returns a running cluster whose nodes have a configuration."""
    cluster = SimulatedCluster(count, relays)
    cluster.start()
    await cluster.run(5)
    await cluster.nodes[0].configuration_store.change(
        make_configuration(endpoints), 0
    )
    await cluster.run(5)
    return cluster


async def measure_steady(report: Report) -> None:
    """Measures bytes, CPU and calls in steady state and after a zone loss."""
    sent, cpu, lost, calls = {}, {}, {}, {}
    for count in CLUSTER_SIZES:
        cluster = SimulatedCluster(count)
        cluster.start()
        await cluster.run(START_WINDOW_S)
        start_bytes = sum(cluster.traffic_bytes()) / START_WINDOW_S / count
        await cluster.run(WARM_UP_S)
        bytes_before, calls_before = (
            cluster.traffic_bytes(),
            cluster.api.calls.reads,
        )
        cpu_s = await cluster.run(STEADY_WINDOW_S)
        used = sum(cluster.traffic_bytes()) - sum(bytes_before)
        sent[count] = used / STEADY_WINDOW_S / count
        cpu[count] = cpu_s / STEADY_WINDOW_S / count * 100
        reads = cluster.api.calls.reads - calls_before
        open_watches = sum(node.objects.watches for node in cluster.nodes)
        calls[count] = reads / STEADY_WINDOW_S + open_watches
        links = max(len(node.links.peers) for node in cluster.nodes)
        lost[count] = await measure_zone_loss(cluster)
        report.figure(f"bytes/s at {count} nodes", sent[count], "B/s")
        report.figure(
            f"bytes/s, simultaneous start, {count} nodes", start_bytes, "B/s"
        )
        report.figure(f"bytes/s, zone lost, {count} nodes", lost[count], "B/s")
        report.figure(f"CPU at {count} nodes", cpu[count], "% of a core")
        report.figure(f"API calls at {count} nodes", calls[count], "calls/s")
        report.figure(f"most connections at {count} nodes", links, "")
        await cluster.stop()
    rng = random.Random(1)
    members = [
        Member(
            f"entry-{i}",
            new_incarnation(rng),
            f"10.{i & 3}.{rng.randrange(256)}.{rng.randrange(256)}:8082",
            f"zone-{i % ZONE_COUNT}",
        )
        for i in range(FLEET_NODES)
    ]
    size = len(messages.encode(compress_list(members, FLEET_NODES)))
    # On average, each node requests one list and sends one per period.
    lists = 2 * size / LIST_PERIOD_S
    report.figure(f"member lists at {FLEET_NODES}, by size", lists, "B/s")
    memory = {}
    context = multiprocessing.get_context("spawn")
    for count in CLUSTER_SIZES:
        # A new process per size, because reused free memory would hide growth.
        with context.Pool(1) as pool:
            memory[count] = pool.apply(measure_memory, (count,))
        report.figure(f"memory at {count} nodes", memory[count], "MiB a node")
    for name, values, unit, limit in (
        ("control bytes/s", sent, "B/s", MAX_BYTES_PER_S),
        ("control bytes/s, zone lost", lost, "B/s", MAX_BYTES_PER_S),
        ("control CPU", cpu, "% of a core", MAX_CPU_PERCENT),
        ("control memory", memory, "MiB", MAX_MEMORY_MIB),
        ("API reads in all", calls, "calls/s", API_READS_PER_S),
    ):
        largest = CLUSTER_SIZES[-1]
        report.bound(
            f"{name} at {largest}", values[largest], unit, at_most=limit
        )
        report.bound(
            f"{name} at {FLEET_NODES}, extrapolated",
            extrapolate(values),
            unit,
            at_most=limit,
        )


async def measure_simultaneous_start(report: Report) -> None:
    """Measures a simultaneous start of the whole fleet per time window."""
    cluster = SimulatedCluster(FLEET_NODES)
    cluster.start()
    rates, busiest, complete_s = [], 0.0, None
    while complete_s is None and len(rates) * START_WINDOW_S < 2 * JOIN_LIMIT_S:
        before = [node.traffic_bytes for node in cluster.nodes]
        for second in range(START_WINDOW_S):
            await cluster.run(1)
            if complete_s is None and cluster.is_membership_complete():
                complete_s = len(rates) * START_WINDOW_S + second + 1
        used = [
            (node.traffic_bytes - start) / START_WINDOW_S
            for node, start in zip(cluster.nodes, before, strict=True)
        ]
        rates.append(sum(used) / FLEET_NODES)
        busiest = max(busiest, *used)
    name = f"all {FLEET_NODES} nodes start"
    for window, rate in enumerate(rates):
        report.bound(
            f"{name}: bytes/s from {window * START_WINDOW_S} s on",
            rate,
            "B/s",
            at_most=MAX_BYTES_PER_S,
        )
    report.figure(f"{name}: busiest node", busiest, "B/s")
    report.bound(
        f"{name}: every node knows all",
        float("inf") if complete_s is None else complete_s,
        "s",
        at_most=JOIN_LIMIT_S,
    )
    await cluster.stop()


async def measure_zone_loss(cluster: SimulatedCluster) -> float:
    """Freezes the nodes of one zone; returns bytes/s per remaining node."""
    lost = {
        node.name
        for index, node in enumerate(cluster.nodes)
        if index % ZONE_COUNT == ZONE_COUNT - 1
    }
    cluster.frozen = lost
    before = sum(cluster.traffic_bytes())
    await cluster.run(ZONE_LOSS_WINDOW_S)
    left = len(cluster.nodes) - len(lost)
    return (sum(cluster.traffic_bytes()) - before) / ZONE_LOSS_WINDOW_S / left


def measure_memory(count: int) -> float:
    """Returns the growth in resident memory per node, in MiB."""
    log.remove()

    async def measure_growth() -> float:
        # A first cluster excludes one-time allocations from the measurement.
        warm_up = SimulatedCluster(1)
        warm_up.start()
        await warm_up.run(1)
        gc.collect()
        before = resident_bytes()
        cluster = SimulatedCluster(count)
        cluster.start()
        await cluster.run(START_WINDOW_S)
        gc.collect()
        growth_mib = (resident_bytes() - before) / count / MIB
        await cluster.stop()
        await warm_up.stop()
        return growth_mib

    return asyncio.run(measure_growth())


@attrs.frozen
class ChangeCost:
    """Cost of one configuration change, summed over all nodes."""

    api_body_bytes: float
    api_deliveries: float
    peer_bytes: float
    cpu_ms: float
    open_watches: int
    slowest_s: float


async def measure_change_cost(count: int, relays: bool) -> ChangeCost:
    """Measures successive changes and subtracts the idle cost."""
    cluster = await start_cluster(count, relays)
    await cluster.run(WARM_UP_S)
    idle_bytes = sum(cluster.traffic_bytes())
    idle_cpu = await cluster.run(CHANGE_WINDOW_S * CHANGE_COUNT)
    idle_bytes = sum(cluster.traffic_bytes()) - idle_bytes
    api = cluster.api
    bodies, deliveries = api.body_bytes, api.deliveries
    peer_bytes, slowest_s = sum(cluster.traffic_bytes()), 0.0
    configuration = make_configuration(ENDPOINT_COUNT)
    start = time.process_time()
    for number in range(CHANGE_COUNT):
        configuration = change_endpoint(configuration, number)
        base = cluster.nodes[0].state.generation
        task = asyncio.create_task(
            cluster.nodes[0].configuration_store.change(configuration, base)
        )
        elapsed_s = await cluster.run_until(
            lambda base=base: cluster.all_have_generation(base + 1),
            MAX_PROPAGATION_S * 2,
        )
        await task
        slowest_s = max(slowest_s, elapsed_s)
        await cluster.run(max(0.0, CHANGE_WINDOW_S - elapsed_s))
    cpu = time.process_time() - start
    open_watches = sum(node.objects.watches for node in cluster.nodes)
    peer_bytes = sum(cluster.traffic_bytes()) - peer_bytes - idle_bytes
    await cluster.stop()
    return ChangeCost(
        (api.body_bytes - bodies) / CHANGE_COUNT,
        (api.deliveries - deliveries) / CHANGE_COUNT,
        peer_bytes / 2 / CHANGE_COUNT,
        (cpu - idle_cpu) / CHANGE_COUNT * 1000,
        open_watches,
        slowest_s,
    )


async def compare_propagation(report: Report) -> None:
    """Compares relays with a watch by every node."""
    for relays in (False, True):
        bodies, watches = {}, {}
        for count in (64, 128):
            cost = await measure_change_cost(count, relays)
            name = f"{'relays' if relays else 'watch per node'}, {count} nodes"
            bodies[count], watches[count] = (
                cost.api_body_bytes,
                cost.open_watches,
            )
            rearms = cost.open_watches * 3600 / WATCH_TIMEOUT_S
            for what, value, unit in (
                ("body bytes from the API", cost.api_body_bytes, "B a change"),
                ("API deliveries", cost.api_deliveries, "a change"),
                ("bytes between nodes", cost.peer_bytes, "B a change"),
                ("CPU of all nodes", cost.cpu_ms, "ms a change"),
                ("waiting watches", cost.open_watches, ""),
                ("re-arms", rearms / count, "a node-hour"),
                ("slowest change", cost.slowest_s, "s"),
            ):
                report.figure(f"{name}: {what}", value, unit)
            report.bound(
                f"{name}: slowest change",
                cost.slowest_s,
                "s",
                at_most=MAX_PROPAGATION_S,
            )
        report.figure(
            f"{'relays' if relays else 'watch per node'}: waiting watches at"
            f" {FLEET_NODES}, extrapolated",
            extrapolate(watches),
            "",
        )


async def measure_relays(report: Report) -> None:
    """Measures the control bytes of the busiest relay with 6,400 endpoints.

    Nodes that are not relays store the changes, so that a relay's bytes depend
    only on the number of its subscribers.
    """
    busiest = {}
    for count in (64, 128):
        cluster = await start_cluster(count, endpoints=FLEET_ENDPOINT_COUNT)
        await cluster.run(WARM_UP_S)
        relays = [node for node in cluster.nodes if node.sharing.is_relay]
        readers = [node for node in cluster.nodes if node not in relays]
        before = {node.name: node.traffic_bytes for node in relays}
        api_before = max(node.api.bytes_received for node in relays)
        reads = sum(node.api.whole_reads for node in cluster.nodes)
        configuration = make_configuration(FLEET_ENDPOINT_COUNT)
        for number in range(RELAY_CHANGE_COUNT):
            configuration = change_endpoint(configuration, number)
            storing_node = readers[number]
            await storing_node.configuration_store.change(
                configuration, storing_node.state.generation
            )
            await cluster.run(CHANGE_PERIOD_S)
        seconds = RELAY_CHANGE_COUNT * CHANGE_PERIOD_S
        busiest[count] = max(
            (node.traffic_bytes - before[node.name]) / seconds
            for node in relays
        )
        received = max(node.api.bytes_received for node in relays) - api_before
        reads = sum(node.api.whole_reads for node in cluster.nodes) - reads
        name = f"relay of {count} nodes, {FLEET_ENDPOINT_COUNT} endpoints"
        report.figure(f"{name}: from the API", received / seconds, "B/s")
        report.figure(f"{name}: whole reads of all nodes", reads, "")
        report.bound(
            f"{name}: all control bytes",
            busiest[count],
            "B/s",
            at_most=MAX_BYTES_PER_S,
        )
        await cluster.stop()
    report.bound(
        f"relay of {FLEET_NODES} nodes: all control bytes, extrapolated",
        extrapolate(busiest),
        "B/s",
        at_most=MAX_BYTES_PER_S,
    )


async def measure_storing_node_failure(report: Report) -> None:
    """Measures a change whose storing node fails before it notifies a peer."""
    cluster = await start_cluster(64)
    await cluster.run(WARM_UP_S)
    storing_node = next(n for n in cluster.nodes if not n.sharing.is_relay)
    base = storing_node.state.generation
    reads = sum(node.api.whole_reads for node in cluster.nodes)
    cluster.frozen = {storing_node.name}
    await storing_node.configuration_store.change(
        change_endpoint(make_configuration(ENDPOINT_COUNT), 1), base
    )
    elapsed_s = await cluster.run_until(
        lambda: cluster.all_have_generation(base + 1), MAX_PROPAGATION_S * 2
    )
    reads = sum(node.api.whole_reads for node in cluster.nodes) - reads
    report.bound(
        "change whose storing node dies",
        elapsed_s,
        "s",
        at_most=MAX_PROPAGATION_S,
    )
    report.bound("whole reads for that change", reads, "", at_most=1)
    await cluster.stop()


async def measure_relay_failure_and_outage(report: Report) -> None:
    """Measures a change during relay failures and the end of an API outage."""
    cluster = await start_cluster(64)
    zone = "zone-3"
    cluster.frozen = {
        node.name
        for node in cluster.nodes
        if node.sharing.is_relay and node.links._zone == zone
    }
    changing_node = next(
        n for n in cluster.nodes if n.name not in cluster.frozen
    )
    base = changing_node.state.generation
    configuration = change_endpoint(make_configuration(ENDPOINT_COUNT), 1)
    task = asyncio.create_task(
        changing_node.configuration_store.change(configuration, base)
    )
    elapsed_s = await cluster.run_until(
        lambda: cluster.all_have_generation(base + 1), MAX_PROPAGATION_S * 2
    )
    await task
    report.bound(
        "change while both relays of a zone freeze",
        elapsed_s,
        "s",
        at_most=MAX_PROPAGATION_S,
    )
    await cluster.stop()
    writes, reads = await measure_outage()
    for name, value, limit in (
        ("writes", writes, API_WRITES_PER_S),
        ("reads", reads, API_READS_PER_S),
    ):
        report.bound(
            f"{name} in the first second after an outage, {FLEET_NODES} nodes",
            value,
            "calls",
            at_most=limit,
        )


async def measure_outage() -> tuple[int, int]:
    """Returns writes and reads in the first second after an outage.

    Only the budgeted object API clients of the fleet run, without the other
    control components.
    """
    timers, api = ManualTimers(), MemoryObjectApi()
    clients = [
        BudgetedObjectApi(
            api,
            timers,
            lambda: FLEET_NODES,
            API_WRITES_PER_S,
            READ_BUDGET_PER_S,
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
                await timers.sleep(CALLER_RETRY_DELAY_S)

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
    """Measures the size of the largest configuration and a change to it."""
    gc.collect()
    before = resident_bytes()
    state = ConfigurationState()
    configuration = make_configuration(FLEET_ENDPOINT_COUNT, 1)
    state.offer(configuration)
    gc.collect()
    growth_mib = (resident_bytes() - before) / MIB
    body = json.dumps(configuration).encode()
    report.figure("configuration of 6,400 endpoints, memory", growth_mib, "MiB")
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
        at_most=MAX_CPU_PERCENT,
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
    """Measures idle entry processes, including their sockets."""
    cpu = {}
    for count in IDLE_PROCESS_COUNTS:
        with ProcessGroup() as group:
            processes = Cluster(group)
            processes.start_platform()
            names = [f"entry-{i}" for i in range(count)]
            for index, name in enumerate(names):
                # Two zones, so that the larger size also has non-relays.
                processes.start_node(name, ZONES[index % 2])
            time.sleep(3)
            pids = [group.process(name).pid for name in names]
            before = sum(map(cpu_time_ns, pids))
            time.sleep(IDLE_S)
            used_ns = sum(map(cpu_time_ns, pids)) - before
            sizes = [resident_mib(pid) for pid in pids]
        cpu[count] = used_ns / 1e9 / IDLE_S / count * 100
        report.figure(
            f"idle process, {count} nodes: CPU", cpu[count], "% of a core"
        )
        report.figure(
            f"idle process, {count} nodes: resident", max(sizes), "MiB"
        )
    report.bound(
        "idle process CPU with sockets",
        cpu[IDLE_PROCESS_COUNTS[-1]],
        "% of a core",
        at_most=MAX_CPU_PERCENT,
    )


def cpu_time_ns(pid: int) -> int:
    """Returns the CPU time of a process, in nanoseconds."""
    total = 0
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total += int(path.read_text().split()[0])
    return total


def resident_mib(pid: int) -> float:
    """Returns the resident memory of a process, in MiB."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MIB


@BENCHES.register("control")
def run(report: Report) -> None:
    """Measures membership, configuration and the load on the object API."""
    log.disable("guavalane_core")
    log.disable("guavalane_entry")

    async def measure() -> None:
        await measure_steady(report)
        await measure_simultaneous_start(report)
        await compare_propagation(report)
        await measure_relays(report)
        await measure_storing_node_failure(report)
        await measure_relay_failure_and_outage(report)

    measure_configuration_size(report)
    asyncio.run(measure())
    measure_processes(report)
