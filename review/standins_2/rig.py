"""Small deployment on loopback addresses for the cases of this review.

Nodes are started with the command of the deploy file. The store and the
platform API are the project's stand-ins; servers and clients are new ones that
work on the bytes of the connections.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any

import yaml
from aiohttp import web

from guavalane_platform_standins.cloud import CloudServer
from guavalane_platform_standins.store import StoreServer

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "app.example"
KEY = "key-1"
TENANT = "tenant-1"
# Text in an entry for which the store returns bytes that are no UTF-8.
UNREADABLE = "@unreadable@"
UNREADABLE_BYTES = b"\xff\xfe\x9c\xc3"
BROKEN = 1
HELD = 0
CANNOT_RUN = 2
# Bounds of the smallest installation of the pages.
BOUNDS = {
    "ContactMs": 3000,
    "DrainMs": 2000,
    "GraceS": 8,
    "ConfigApplyMs": 2000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetSlack": 54,
    "QuotaWindowS": 8,
    "QuotaOver": 0.1,
    "QuotaSlack": 140000,
    "RequireFencing": False,
    "LeaseMs": 3000,
    "ThawMs": 300,
    "UsageWindowS": 5,
    "UsageLateS": 10,
    "ExposureShare": 0.1,
    "ExposureSlack": 50,
}
LIMITS = {"CpuShare": 0.537, "CpuCores": 2, "MemoryMb": 300, "MaxFds": 4100}
Headers = list[tuple[str, str]]


class Record:
    """File with what was sent, answered and run.

    Args:
      path: Path of the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        at_s = time.monotonic() - self._start_s
        print(f"{at_s:8.3f} {text}", file=self._file, flush=True)


class Answer:
    """Response as a client reads it.

    Attributes:
      status: HTTP status.
      headers: Headers by name in lower case.
      body: Body as far as it was read.
      complete: Whether the body was complete.
    """

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers
        self.body = b""
        self.complete = False


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Reads the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Reads a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Client:
    """Client that uses a new channel for each request."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._count = 0

    async def call(
        self,
        address: str,
        path: str,
        *,
        method: str = "POST",
        headers: Headers = (),
        body: bytes = b"",
        deadline_ms: int = 5000,
        key: str | None = KEY,
        request_id: str | None = None,
        quiet: bool = False,
    ) -> tuple[str, Answer | None]:
        """Sends a request; returns its ID and the answer, None without one."""
        self._count += 1
        request_id = request_id or f"{self._count:016x}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if key is not None:
            lines.append(f"Authorization: Token {key}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8") + body
        host, _, port = address.rpartition(":")
        answer = None
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                await writer.drain()
                first, found = await read_head(reader)
                answer = Answer(int(first.split()[1]), found)
                if found.keys() & {"content-length", "transfer-encoding"}:
                    answer.body = await read_body(reader, found)
                else:
                    # The body ends with the channel; a reset raises.
                    answer.body = await reader.read(-1)
                answer.complete = True
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            if not quiet:
                self._record.write(f"client: {request_id} ended: {error!r}")
        finally:
            if writer is not None:
                writer.close()
        if not quiet:
            status = None if answer is None else answer.status
            self._record.write(f"client: {request_id} {path} got {status}")
        return request_id, answer


class Request:
    """Request as a server has received it.

    Attributes:
      method: Method.
      target: Path and query.
      headers: Headers by name in lower case.
      body: Body.
      server: Identifier of the server.
      at_s: Monotonic time in seconds.
    """

    def __init__(
        self,
        first: str,
        headers: dict[str, str],
        body: bytes,
        server: str,
    ) -> None:
        self.method, self.target, _ = first.split(" ", 2)
        self.headers = headers
        self.body = body
        self.server = server
        self.at_s = time.monotonic()

    @property
    def request_id(self) -> str:
        """Identifier of the client attempt."""
        return self.headers.get("request-id", "")


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


def head(
    request: Request, status: int = 200, extra: Headers = (), size: int = 0
) -> bytes:
    """Returns the head of a server's answer."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"Request-Id: {request.request_id}",
        f"Response-Seal: seal-{request.request_id}",
        *(f"{name}: {value}" for name, value in extra),
        f"Content-Length: {size}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Server:
    """Server of a service.

    Args:
      server_id: Identifier of the server.
      record: Record of the case.
      handle: Answers a request; returns whether the channel is kept.
    """

    def __init__(
        self, server_id: str, record: Record, handle: Handler | None = None
    ) -> None:
        self.server_id = server_id
        self.runs: list[Request] = []
        self.address = ""
        self._record = record
        self._handle = handle or self.answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.work_s = 0.01

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stops listening and closes all channels."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs a request and answers with success."""
        self.ran(request)
        await asyncio.sleep(self.work_s)
        body = b"done " + request.request_id.encode()
        writer.write(head(request, size=len(body)) + body)
        await writer.drain()
        return True

    def ran(self, request: Request) -> None:
        """Records that a request begins to run."""
        self.runs.append(request)
        self._record.write(
            f"server {self.server_id}: runs {request.request_id}"
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request = Request(first, headers, body, self.server_id)
                if request.target == "/health":
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nInstance-Id: "
                        + self.server_id.encode()
                        + b"\r\nContent-Length: 0\r\n\r\n"
                    )
                    continue
                expected = headers.get("expect-instance", self.server_id)
                if expected != self.server_id:
                    writer.write(head(request, 421, [("Not-Executed", "1")]))
                    continue
                if not await self._handle(request, writer):
                    return
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Node:
    """Process of a node, started with the command of the deploy file.

    Args:
      index: Number from 1; the address is 127.0.2.INDEX.
      settings: Settings beside names and addresses.
      directory: Folder for settings and logs.
      port: First port.
    """

    def __init__(
        self,
        index: int,
        settings: dict[str, Any],
        directory: pathlib.Path,
        port: int,
        zone: str,
    ) -> None:
        self.name = f"edge-{index}"
        self.ip = f"127.0.2.{index}"
        self.callers = f"{self.ip}:{port}"
        self.readiness = f"{self.ip}:{port + 1}"
        self.metrics = f"{self.ip}:{port + 3}"
        self._path = directory / f"{self.name}.yaml"
        self.log_path = directory / f"{self.name}.log"
        self.settings = {
            "NodeName": self.name,
            "Role": "entry",
            "MachineClass": "edge",
            "Ip": self.ip,
            "Zone": zone,
            "Listen": {
                "Frontend": self.callers,
                "Readiness": self.readiness,
            },
            "InternalPorts": [port + 2, port + 9],
            "Limits": LIMITS,
            **settings,
        }
        self.process: subprocess.Popen | None = None
        self.write_settings(Bootstrap=True)

    def write_settings(self, **changes: Any) -> None:
        """Writes the settings file with changes."""
        self.settings.update(changes)
        self._path.write_text(yaml.safe_dump(self.settings))

    def start(self) -> None:
        """Starts the process."""
        if self.process is not None:
            self.write_settings(Bootstrap=False)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "platform/launch.py"],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "GUAVALANE_CONFIG": str(self._path),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Gate:
    """Proxy in front of the store or the platform for one node.

    Attributes:
      mode: `pass`, `silent` (nothing is passed on) or `refuse`.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self.mode = "pass"
        self.address = ""
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def set_mode(self, mode: str) -> None:
        """Changes the mode, also for open channels."""
        self.mode = mode
        if mode == "silent":
            self._open.clear()
        else:
            self._open.set()
        if mode == "refuse":
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "refuse":
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back[1]}
        await asyncio.gather(
            self._pump(reader, back[1]), self._pump(back[0], writer)
        )
        self._writers -= {writer, back[1]}

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def make_config(version: int, **changes: Any) -> dict[str, Any]:
    """Returns a configuration with a route of each kind."""
    base = {
        "Host": HOST,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Public": False,
        "SessionAffinity": False,
        "StreamResume": False,
    }
    return {
        "Version": version,
        "Routes": [
            {
                **base,
                "Name": "r-once",
                "PathPrefix": "/once/",
                "Kind": "non_idempotent",
                "TimeoutMs": 1500,
                "Service": "app",
                "MaxAttempts": 1,
            },
            {
                **base,
                "Name": "r-look",
                "PathPrefix": "/look/",
                "Kind": "idempotent",
                "TimeoutMs": 1500,
                "Service": "app",
                "MaxAttempts": 2,
            },
            {
                **base,
                "Name": "r-talk",
                "PathPrefix": "/talk/",
                "Kind": "streaming",
                "TimeoutMs": 12000,
                "Service": "llm",
                "MaxAttempts": 2,
                "SessionAffinity": True,
                "StreamResume": True,
                "GapAimMs": 500,
            },
        ],
        "Services": [
            {"Name": "app", "HealthPath": "/health", "MaxConnections": 100},
            {
                "Name": "llm",
                "HealthPath": "/health",
                "MaxConnections": 360,
                "Engine": {
                    "Slots": 64,
                    "KvCapacity": 747920,
                    "Stride": 6,
                    "Models": [{"Name": "m"}],
                },
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {
                "Name": TENANT,
                "ApiKeys": [KEY],
                "Priority": 1,
                "Unit": "tokens",
                "PlainTokens": 200,
                "RatePerS": 120312,
                "Burst": 120312,
            }
        ],
        **changes,
    }


@web.middleware
async def _return_unreadable(
    request: web.Request, handler: Callable[..., Awaitable[Any]]
) -> web.StreamResponse:
    """Returns the bytes of another writer as it has written them."""
    response = await handler(request)
    body = response.body if isinstance(response, web.Response) else None
    if isinstance(body, bytes) and UNREADABLE.encode() in body:
        response.body = body.replace(UNREADABLE.encode(), UNREADABLE_BYTES)
    return response


class Rig:
    """Store, platform API, servers and nodes.

    Args:
      folder: Folder of the case, for `record.txt`.
      nodes: Number of nodes.
      config: First configuration.
      bounds: Bounds that differ from the usual ones.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        nodes: int,
        config: dict[str, Any] | None = None,
        bounds: dict[str, Any] | None = None,
        limits: dict[str, Any] | None = None,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.client = Client(self.record)
        self.store = StoreServer()
        # The pages know no eras of the store.
        self.store.era = None
        self.cloud = CloudServer()
        self.config = config or make_config(3)
        self.nodes: list[Node] = []
        self.servers: dict[str, Server] = {}
        self.store_gates: list[Gate] = []
        self.cloud_gates: list[Gate] = []
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._limits = {**LIMITS, **(limits or {})}
        self._count = nodes
        self._runners: list[web.AppRunner] = []
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._beats: asyncio.Task | None = None
        self._sequences: dict[str, int] = {}
        self._beating: dict[str, dict[str, Any]] = {}

    async def __aenter__(self) -> Rig:
        """Starts the store, the platform API and the nodes."""
        store_app = self.store.application()
        store_app.middlewares.append(_return_unreadable)
        store = await self._listen(store_app)
        cloud = await self._listen(self.cloud.application())
        self.store.put("config", "main", self.config)
        port = _free_ports()
        for index in range(1, self._count + 1):
            gates = Gate(store), Gate(cloud)
            for gate in gates:
                await gate.start()
            self.store_gates.append(gates[0])
            self.cloud_gates.append(gates[1])
            settings = {
                "Platform": {"Address": gates[0].address, "form": "objects"},
                "Cloud": {"Address": gates[1].address},
                "Bounds": self._bounds,
                "Limits": self._limits,
            }
            zone = f"zone-{'abcd'[(index - 1) % 4]}"
            node = Node(index, settings, self._directory, port, zone)
            self.nodes.append(node)
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.wait_ready(node)
        self._beats = asyncio.create_task(self._beat())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Ends all processes."""
        if self._beats is not None:
            self._beats.cancel()
        for node in self.nodes:
            node.end()
        for server in self.servers.values():
            await server.stop()
        for runner in self._runners:
            await runner.cleanup()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self._directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self._directory, ignore_errors=True)

    async def add_server(
        self,
        server_id: str,
        service: str,
        handle: Handler | None = None,
        *,
        zone: str = "zone-a",
        slots: int = 6,
        version: str = "v1",
    ) -> Server:
        """Starts a server and enters it into the store."""
        server = Server(server_id, self.record, handle)
        await server.start()
        self.servers[server_id] = server
        self.list_server(
            server_id, service, zone=zone, slots=slots, version=version
        )
        return server

    def list_server(
        self,
        server_id: str,
        service: str,
        *,
        zone: str = "zone-a",
        slots: int = 6,
        version: str = "v1",
        state: str = "ready",
    ) -> None:
        """Writes the entry of a server."""
        known = self._beating.get(server_id, {})
        self._beating[server_id] = {
            "Service": service,
            "Address": self.servers[server_id].address,
            "Zone": zone,
            "Version": version,
            "Slots": slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": known.get("Sequence", 0) + 1,
            "born": known.get("born", int(time.time() * 1000)),
        }
        self._put_server(server_id)

    def remove_server(self, server_id: str) -> None:
        """Removes the entry of a server."""
        self._beating.pop(server_id, None)
        self.store.remove("servers", server_id)

    def put_config(self, config: dict[str, Any]) -> None:
        """Writes a configuration as the operator."""
        self.config = config
        self.store.put("config", "main", config)
        self.record.write(f"operator: config {config['Version']} acknowledged")

    async def wait_ready(self, node: Node, timeout_s: float = 20.0) -> None:
        """Waits until a node reports that it is ready."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.is_ready(node):
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{node.name}: {node.log_path.read_text()[-1500:]}")

    async def is_ready(self, node: Node) -> bool:
        """Returns whether a node reports that it is ready."""
        host, _, port = node.readiness.rpartition(":")
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"GET /guavalane/ready HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                first, _ = await read_head(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError):
            return False
        return " 200 " in first

    def _put_server(self, server_id: str) -> None:
        self.store.put("servers", server_id, dict(self._beating[server_id]))

    async def _beat(self) -> None:
        """Writes the entries of all servers as they do."""
        while True:
            await asyncio.sleep(1.2)
            for server_id, entry in list(self._beating.items()):
                entry["Sequence"] += 1
                self._put_server(server_id)

    async def _listen(self, app: web.Application) -> str:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runners.append(runner)
        port = site._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"


def _free_ports() -> int:
    """Returns the first of ten ports that are probably free."""
    for _ in range(100):
        port = random.randrange(20000, 32000, 16)
        sockets = []
        try:
            for index in range(10):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind(("127.0.2.1", port + index))
            return port
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise OSError("no free ports")


def run_case(
    case: Callable[[pathlib.Path, bool], Awaitable[bool]], path: str
) -> None:
    """Runs a case and exits with 1 if the rule was broken.

    Args:
      case: Coroutine function; gets the folder and whether the disturbance is
          played, and returns whether the rule held.
      path: Path of the file of the case.
    """
    folder = pathlib.Path(path).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(case(folder, trouble))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(CANNOT_RUN)
    print("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
