"""The reader of the logs stops reading, and the store is down for a while."""

from __future__ import annotations

import os
import subprocess
from collections import Counter

import harness
from harness import ROOT, TROUBLE, Deployment, Node, Record, asyncio, run

from guavalane_platform_standins.endpoint import EndpointServer

CALL_LIMIT_S = 2.0
STORE_DOWN_S = 6.0


class PipedNode(Node):
    """Node whose output goes to one pipe."""

    def start(self) -> None:
        """Starts the process; with trouble, nobody reads its output."""
        self.log_path.write_text("")
        reader, writer = os.pipe()
        env = {"PATH": os.environ["PATH"]}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["GUAVALANE_CONFIG"] = str(self._settings_path)
        self.process = subprocess.Popen(
            ["python3", "platform/launch.py"],
            env=env,
            stdout=writer,
            stderr=writer,
            cwd=ROOT,
        )
        os.close(writer)
        if not TROUBLE:
            asyncio.get_running_loop().run_in_executor(None, _read, reader)


def _read(reader: int) -> None:
    while os.read(reader, 65536):
        pass


async def send(
    deployment: Deployment, record: Record, name: str, count: int
) -> int:
    """Sends requests and returns how many were not answered."""
    statuses: Counter[str] = Counter()
    for _ in range(count):
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                status, _ = await deployment.call(
                    deployment.nodes[0], "/once/x"
                )
            statuses[str(status)] += 1
        except TimeoutError:
            statuses["unanswered"] += 1
            if statuses["unanswered"] > 4:
                break
    record.add(name, **{f"s{key}": n for key, n in statuses.items()})
    return statuses["unanswered"]


async def case(record: Record) -> bool:
    """Returns whether all requests were answered."""
    async with Deployment(2) as deployment:
        for number in range(2):
            server = EndpointServer(f"i-{number}", service_time_s=0.02)
            await deployment.add_server(server, "app", Slots=60)
        await asyncio.sleep(1.0)
        unanswered = await send(deployment, record, "before", 800)
        deployment.store.faults.status = 503
        await asyncio.sleep(STORE_DOWN_S)
        unanswered += await send(deployment, record, "store_down", 50)
        deployment.store.faults.status = None
        await asyncio.sleep(STORE_DOWN_S)
        unanswered += await send(deployment, record, "store_back", 50)
        for node in deployment.nodes:
            node.end()
    record.add("counted", unanswered=unanswered)
    return unanswered == 0


harness.Node = PipedNode
run(case)
