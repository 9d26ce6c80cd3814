"""Common parts of the scripts: a small deployment like that of zhk-pat.

Nodes run with the command of the deploy file. The store, the platform API and
the servers are the project's own stand-ins, with the changes that a case needs.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import subprocess
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from guavalane_platform_standins import deployment
from guavalane_platform_standins.deployment import API_KEY, HOST
from guavalane_platform_standins.endpoint import EndpointServer

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of the installation zhk-pat.
BOUNDS = {
    "GraceS": 8,
    "LossSlackMs": 200,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 54,
    "QuotaOver": 0.1,
    "QuotaSlack": 140_000,
    "LeaseMs": 3000,
    "ThawMs": 300,
    "UsageWindowS": 5,
    "UsageLateS": 10,
    "ExposureShare": 0.1,
    "ExposureSlack": 50,
}


class Record:
    """File with one line for each event, with the time since the start."""

    def __init__(self) -> None:
        self._file = open("record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._start_s = time.monotonic()

    def now(self) -> float:
        """Returns the time since the start in seconds."""
        return time.monotonic() - self._start_s

    def add(self, event: str, **fields: Any) -> None:
        """Writes a line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()


class Node(deployment.NodeProcess):
    """Node that is started with the command of the deploy file."""

    def start(self) -> None:
        """Starts the process."""
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["GUAVALANE_CONFIG"] = str(self._settings_path)
        with self.log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                ["python3", "platform/launch.py"],
                env=env,
                stdout=log_file,
                stderr=log_file,
                cwd=ROOT,
            )


class Deployment(deployment.Deployment):
    """Deployment with the bounds of zhk-pat."""

    async def __aenter__(self) -> Deployment:
        """Starts stand-ins and nodes; see the base class."""
        deployment.NodeProcess = Node
        node_class = Node
        original = node_class.__init__

        def init(node: Node, *arguments: Any, **named: Any) -> None:
            original(node, *arguments, **named)
            node.update_settings(Bounds=dict(BOUNDS))

        Node.__init__ = init
        try:
            await super().__aenter__()
        except BaseException:
            for node in self.nodes:
                node.end()
            raise
        finally:
            Node.__init__ = original
        return self

    async def add_server(
        self, server: EndpointServer, service: str, **changes: Any
    ) -> None:
        """Starts a server and registers it in the store."""
        _, address = await self._listen_on_site(server.application())
        entry = server.entry(service, address, **changes)
        self.store.put("servers", server.endpoint_id, entry)


class Engine(EndpointServer):
    """Model server that can preempt its running requests for a while.

    Attributes:
      runs: For each run: request, time of its begin and of its end, number of
          events written, and how it ended.

    Args:
      drops: Whether it drops a request when its channel closes.
    """

    def __init__(
        self,
        endpoint_id: str,
        record: Record,
        *,
        drops: bool = True,
        **named: Any,
    ) -> None:
        super().__init__(endpoint_id, **named)
        self._drops = drops
        self.runs: list[dict[str, Any]] = []
        self._record = record
        self._running = asyncio.Event()
        self._running.set()

    async def preempt(self, seconds: float) -> None:
        """Preempts all running requests and goes on with them later."""
        self._running.clear()
        self._record.add("engine_preempts", engine=self.endpoint_id)
        await asyncio.sleep(seconds)
        self._running.set()
        self._record.add("engine_goes_on", engine=self.endpoint_id)

    async def _stream(
        self, request: Any, headers: dict[str, str], tokens: int
    ) -> Any:
        run = {
            "request": headers["Request-Id"],
            "engine": self.endpoint_id,
            "begin_s": self._record.now(),
            "events": 0,
            "end": "running",
        }
        self.runs.append(run)
        response = deployment.web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        resumed = int(request.headers.get("Last-Event-Id") or 0)
        self._record.add(
            "runs", engine=self.endpoint_id, id=run["request"], after=resumed
        )
        await response.prepare(request)
        work = asyncio.create_task(
            self._work(response, run, resumed, -(-tokens // 6))
        )
        try:
            await (work if self._drops else asyncio.shield(work))
        except (asyncio.CancelledError, ConnectionError):
            if not self._drops:
                self._record.add(
                    "channel_closed", engine=self.endpoint_id, id=run["request"]
                )
            raise
        return response

    async def _work(
        self, response: Any, run: dict[str, Any], resumed: int, last: int
    ) -> None:
        is_open = True
        try:
            for number in range(resumed + 1, last + 1):
                await asyncio.sleep(self.event_interval_s)
                await self._running.wait()
                event = f"id: {number}\ndata: t{number}\n\n".encode()
                try:
                    if is_open:
                        await response.write(event)
                except ConnectionError:
                    is_open = False
                    if self._drops:
                        raise
                run["events"] += 1
            if is_open:
                await response.write_eof()
            run["end"] = "complete" if is_open else "worked to its end"
        except (asyncio.CancelledError, ConnectionError):
            run["end"] = "channel closed by the node"
            raise
        finally:
            run["end_s"] = self._record.now()
            self._record.add(
                "run_ends",
                engine=self.endpoint_id,
                id=run["request"],
                events=run["events"],
                how=run["end"].replace(" ", "_"),
            )


async def read_stream(
    deployment: Deployment,
    record: Record,
    index: int,
    events: int,
    results: list[dict[str, Any]],
) -> None:
    """Sends a request to the first node and reads its stream to the end."""
    result = {"id": f"{index:016x}", "sent_s": record.now(), "events": 0}
    results.append(result)
    headers = {
        "Host": HOST,
        "Request-Id": result["id"],
        "Deadline-Ms": "12000",
        "Authorization": f"Token {API_KEY}",
        "Model": "m",
        "Token-Count": f"600,{events * 6}",
        "Prompt-Prefix": f"5c1e07a2:120,{index + 1:08x}:480",
    }
    record.add("sent", id=result["id"])
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        try:
            async with session.post(
                f"http://{deployment.nodes[0].callers}/talk/x",
                headers=headers,
                data=b"hello",
            ) as answer:
                result["status"] = answer.status
                async for line in answer.content:
                    if line.startswith(b"id:"):
                        result["events"] += 1
            result["end"] = "whole"
        except aiohttp.ClientError as error:
            result["end"] = f"broken off ({type(error).__name__})"
    result["end_s"] = record.now()
    record.add(
        "answered",
        id=result["id"],
        status=result.get("status"),
        events=result["events"],
        end=result["end"].replace(" ", "_"),
    )


def run(case: Callable[[Record], Awaitable[bool]]) -> None:
    """Runs a case and exits with its result.

    Args:
      case: Coroutine function that returns whether the rule held.
    """
    record = Record()
    record.add("begin", trouble=int(TROUBLE))
    try:
        held = asyncio.run(asyncio.wait_for(case(record), 110))
    except BaseException:
        record.add("not_run", error=json.dumps(traceback.format_exc()[-1500:]))
        traceback.print_exc()
        sys.exit(NOT_RUN)
    record.add("result", rule="held" if held else "broken")
    print("held" if held else "broken")
    sys.exit(HELD if held else BROKEN)
