"""Settings change while the platform stops and starts machines in turn."""

from __future__ import annotations

import asyncio
import signal
import time

from harness import TROUBLE, Deployment, Engine, Node, Record, run

NODES = 2
ROUNDS = 3
# Time from the start of a process to the signal.
SIGNAL_AFTER_S = 0.25
RESTART_DELAY_S = 0.5
STOP_LIMIT_S = 9.0


async def wait_end(node: Node, limit_s: float) -> int | None:
    """Returns the exit code of a process, or None after a time."""
    for _ in range(int(limit_s / 0.02)):
        if node.process.poll() is not None:
            break
        await asyncio.sleep(0.02)
    return node.process.poll()


async def roll(deployment: Deployment, node: Node, record: Record) -> int:
    """Stops and starts a node; returns how often its process ended itself."""
    node.signal(signal.SIGTERM)
    record.add("sigterm", node=node.name)
    code = await wait_end(node, STOP_LIMIT_S)
    assert code == 0, code
    record.add("stopped", node=node.name, code=code)
    await asyncio.sleep(RESTART_DELAY_S)
    node.start()
    record.add("started", node=node.name)
    await asyncio.sleep(SIGNAL_AFTER_S)
    node.update_settings(SomethingNew=time.time())
    record.add("settings_change", node=node.name)
    if TROUBLE:
        node.signal(signal.SIGHUP)
        record.add("sighup", node=node.name)
    code = await wait_end(node, 1.5)
    ends = 0
    if code is not None:
        ends = 1
        record.add("process_ended", node=node.name, code=code)
        await asyncio.sleep(RESTART_DELAY_S)
        node.start()
        record.add("started_again", node=node.name)
    await deployment.wait_ready(node)
    record.add("ready", node=node.name)
    return ends


async def case(record: Record) -> bool:
    """Returns whether no two machines had three ends of their process."""
    async with Deployment(NODES) as deployment:
        await deployment.add_server(Engine("i-0", record), "llm")
        ends = dict.fromkeys((node.name for node in deployment.nodes), 0)
        for _ in range(ROUNDS):
            for node in deployment.nodes:
                ends[node.name] += await roll(deployment, node, record)
    record.add(
        "counted", **{name.replace("-", "_"): n for name, n in ends.items()}
    )
    return sum(count >= 3 for count in ends.values()) < 2


run(case)
