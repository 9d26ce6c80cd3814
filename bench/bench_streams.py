"""Tokens recomputed after the loss of a zone, and CPU per streamed chunk."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import time
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
import uvloop
from aiohttp.web import AppRunner
from loguru import logger as log

from bench.report import BENCHES, Report
from guavalane_core.configuration import (
    Configuration,
    Deployment,
    Endpoint,
    Organisation,
    Route,
    Version,
)
from guavalane_core.exceptions import AttemptError
from guavalane_core.requests import RequestContext
from guavalane_core.timers import LoopTimers
from guavalane_entry.callers.admission import EndpointLimits
from guavalane_entry.callers.chat import ChatRunner
from guavalane_entry.callers.stream_log import StreamLog
from guavalane_entry.endpoints.client import DONE_EVENT, EndpointClient
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.endpoints.retrying import RetryRules
from guavalane_entry.metrics import Metrics
from guavalane_standins import text, web
from guavalane_standins.cluster import Cluster, caller_headers
from guavalane_standins.engine import Engine
from guavalane_standins.processes import ProcessGroup, free_port

ZONE_COUNT = 4
ENGINES_PER_ZONE = 2
STREAM_COUNT = 64
TOKEN_COUNT = 60
# Number of tokens after which the engines of the lost zone break a stream.
BREAK_AFTER_TOKENS = 30
TOKEN_S = 0.01
PROMPT_WORDS = 50
# Peak tokens per second of one node, which runs one process on one core.
NODE_TOKENS_PER_S = 16_200
CPU_STREAM_COUNT = 100
CPU_TOKEN_COUNT = 60
# Target for the time between tokens, in seconds.
CPU_TOKEN_S = 0.054


def _make_configuration(
    urls: dict[str, str], kv_transfer: bool
) -> Configuration:
    return Configuration(
        organisations={"o": Organisation(key_sha256=())},
        deployments={"d": Deployment(versions={"v1": Version()})},
        endpoints={
            name: Endpoint(
                url=url,
                zone=f"zone-{name.partition('-')[0]}",
                deployment="d",
                version="v1",
                kv_transfer=kv_transfer,
            )
            for name, url in urls.items()
        },
    )


class StreamNode:
    """The stream components of an entry node, without its HTTP server.

    Args:
      urls: URLs of engines by name, `ZONE-NUMBER`.
      kv_transfer: Whether engines export and import KV cache.
    """

    def __init__(self, urls: dict[str, str], kv_transfer: bool) -> None:
        self.timers = LoopTimers()
        self.pool = EndpointPool("node", "zone-1", 24, self.timers)
        self.pool.apply(_make_configuration(urls, kv_transfer))
        self.limits = EndpointLimits(self.pool, self.timers)
        self.client = EndpointClient(self.pool, self.limits, self.timers)
        metrics = Metrics()
        self.rules = RetryRules(self.timers, metrics)
        self.chats = ChatRunner(self.limits, self.client, self.rules, metrics)

    def request(self, number: int) -> RequestContext:
        """Returns the request context of one stream."""
        return RequestContext(
            request_id=str(number),
            organisation="o",
            route_name="r",
            route=Route(
                kind="model", request_class="interactive", deployment="d"
            ),
            deadline_s=self.timers.now() + 60,
        )


class _DiscardingSink:
    """Event sink that discards the events of an attempt."""

    full = False

    async def wait_for_space(self) -> None:
        """Returns at once."""

    def take(self, events: list[bytes]) -> bool:
        """Returns whether the events include the last one of the stream."""
        return events[-1].startswith(DONE_EVENT)


def _make_chat(number: int, tokens: int) -> dict:
    content = " ".join([f"q{number}"] * PROMPT_WORDS)
    return {
        "model": "m",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": True,
    }


async def _run_with_resumption(node: StreamNode, number: int) -> int:
    """Runs one stream with resumption; returns its token count."""
    log = StreamLog()
    chat = _make_chat(number, TOKEN_COUNT)
    await node.chats.stream(node.request(number), chat, log)
    return log.events[-1].tokens


async def _run_with_restarts(node: StreamNode, number: int) -> int:
    """Runs one stream with restarts after failures; returns its token count."""
    request = node.request(number)
    body = {
        **_make_chat(number, TOKEN_COUNT),
        "stream_options": {"continuous_usage_stats": True},
    }
    failed: list[str] = []
    while True:
        view = node.limits.choose(request, failed)
        try:
            await node.client.stream(view, request, body, _DiscardingSink())
            return TOKEN_COUNT
        except AttemptError:
            failed.append(view.name)


@attrs.frozen
class ZoneLossCost:
    """Cost of the loss of a zone.

    Attributes:
      broken: Number of attempts that the lost engines broke.
      prefilled: Number of prompt tokens computed again.
      generated: Number of tokens generated again.
    """

    broken: int
    prefilled: int
    generated: int


async def _run_zone_loss(
    run: Callable[[StreamNode, int], Awaitable[int]], *, has_notice: bool
) -> ZoneLossCost:
    engines: dict[str, Engine] = {}
    urls: dict[str, str] = {}
    runners: list[AppRunner] = []
    for zone in range(ZONE_COUNT):
        for number in range(ENGINES_PER_ZONE):
            name = f"{zone}-{number}"
            engine = engines[name] = Engine(name)
            engine.behaviour.token_s = TOKEN_S
            if zone == 0:
                engine.behaviour.fail_after_tokens = BREAK_AFTER_TOKENS
            port = free_port()
            urls[name] = f"http://127.0.0.1:{port}"
            runners.append(await web.start(engine.application(), port))
    node = StreamNode(urls, kv_transfer=has_notice)
    tasks = [asyncio.create_task(run(node, n)) for n in range(STREAM_COUNT)]
    lost_engines = [f"0-{number}" for number in range(ENGINES_PER_ZONE)]
    if has_notice:
        await asyncio.sleep(TOKEN_S * BREAK_AFTER_TOKENS / 3)
        for name in lost_engines:
            node.pool.mark_leaving(name)
    tokens = await asyncio.gather(*tasks)
    if tokens != [TOKEN_COUNT] * STREAM_COUNT:
        raise RuntimeError("a stream is incomplete")
    await node.client.close()
    for runner in runners:
        await runner.cleanup()
    prompt = sum(
        text.count_tokens(text.format_prompt(_make_chat(n, 1)["messages"]))
        for n in range(STREAM_COUNT)
    )
    counters = [engine.counters for engine in engines.values()]
    return ZoneLossCost(
        broken=sum(len(engines[name].requests) for name in lost_engines),
        prefilled=sum(c.prefilled_tokens for c in counters) - prompt,
        generated=sum(c.generated_tokens for c in counters)
        - STREAM_COUNT * TOKEN_COUNT,
    )


async def _measure_loss(report: Report) -> None:
    restart = await _run_zone_loss(_run_with_restarts, has_notice=False)
    resume = await _run_zone_loss(_run_with_resumption, has_notice=False)
    resume_with_cache = await _run_zone_loss(
        _run_with_resumption, has_notice=True
    )
    per_attempt = {}
    for name, loss in (
        ("restart from scratch", restart),
        ("resume", resume),
        ("resume with KV cache moved", resume_with_cache),
    ):
        report.figure(f"{name}: attempts broken", loss.broken, "attempts")
        for what in ("prefilled", "generated"):
            value = getattr(loss, what) / loss.broken
            report.figure(f"{name}: {what} again, per attempt", value, "tokens")
        again = loss.prefilled + loss.generated
        per_attempt[name] = again / loss.broken
    report.bound(
        "resume: generated again", resume.generated, "tokens", at_most=0
    )
    # A resumed stream prefills the tokens that a restarted stream generates
    # again.
    report.bound(
        "tokens computed again, resume to restart",
        per_attempt["resume"] / per_attempt["restart from scratch"],
        "",
        at_most=1,
    )
    report.bound(
        "tokens computed again, resume with KV cache to restart",
        per_attempt["resume with KV cache moved"]
        / per_attempt["restart from scratch"],
        "",
        at_most=1,
    )


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def _read_callers(url: str, streams: int) -> int:
    """Reads streams as callers; returns the number of chunks received."""
    headers = caller_headers()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def read(number: int) -> int:
            body = {**_make_chat(number, CPU_TOKEN_COUNT), "model": "assistant"}
            async with session.post(
                f"{url}/v1/chat/completions", json=body, headers=headers
            ) as answer:
                data = await answer.read()
            if not data.rstrip().endswith(b"[DONE]"):
                raise RuntimeError(f"incomplete stream: {data[-200:]!r}")
            return data.count(b"completion_tokens")

        return sum(await asyncio.gather(*map(read, range(streams))))


async def _read_with_client(node: StreamNode) -> None:
    async def read(number: int) -> None:
        request = node.request(number)
        view = node.limits.choose(request)
        body = {
            **_make_chat(number, CPU_TOKEN_COUNT),
            "stream_options": {"continuous_usage_stats": True},
        }
        await node.client.stream(view, request, body, _DiscardingSink())

    await asyncio.gather(*map(read, range(CPU_STREAM_COUNT)))


async def _read_with_chat_runner(node: StreamNode) -> None:
    async def read(number: int) -> None:
        request = node.request(number)
        chat = _make_chat(number, CPU_TOKEN_COUNT)
        await node.chats.stream(request, chat, StreamLog())

    await asyncio.gather(*map(read, range(CPU_STREAM_COUNT)))


async def _measure_chunk_cpu_us(
    url: str, read_streams: Callable[[StreamNode], Awaitable[None]]
) -> float:
    node = StreamNode({"1-0": url}, kv_transfer=False)
    start = time.process_time()
    await read_streams(node)
    used_s = time.process_time() - start
    await node.client.close()
    return used_s / (CPU_STREAM_COUNT * CPU_TOKEN_COUNT) * 1e6


def _measure_cpu(report: Report) -> None:
    with ProcessGroup() as group:
        cluster = Cluster(group)
        cluster.start_platform()
        for number in range(4):
            cluster.start_engine(f"engine-{number}", "zone-a")
            cluster.set_behaviour(f"engine-{number}", token_s=CPU_TOKEN_S)
        node = cluster.start_node("entry-a", "zone-a")
        pid = group.process("entry-a").pid
        asyncio.run(_read_callers(node.callers, 4))
        idle_start_s = _cpu_s(pid)
        time.sleep(2.0)
        idle_cores = (_cpu_s(pid) - idle_start_s) / 2.0
        start_s, cpu_start_s = time.monotonic(), _cpu_s(pid)
        chunks = asyncio.run(_read_callers(node.callers, CPU_STREAM_COUNT))
        used_s = (
            _cpu_s(pid)
            - cpu_start_s
            - idle_cores * (time.monotonic() - start_s)
        )
        path_us = used_s / chunks * 1e6
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            url = cluster.urls["engine-0"]
            client_us = runner.run(
                _measure_chunk_cpu_us(url, _read_with_client)
            )
            chats_us = runner.run(
                _measure_chunk_cpu_us(url, _read_with_chat_runner)
            )
        if chunks != CPU_STREAM_COUNT * CPU_TOKEN_COUNT:
            raise RuntimeError(json.dumps({"chunks": chunks}))
    report.figure("CPU per chunk, aiohttp client", client_us, "us")
    report.figure("CPU per chunk, splicing", chats_us - client_us, "us")
    report.figure("CPU per chunk, sanic server", path_us - chats_us, "us")
    report.figure("CPU per chunk, whole path", path_us, "us")
    report.bound(
        f"cores of a node of {NODE_TOKENS_PER_S} tokens/s, one a chunk",
        path_us * NODE_TOKENS_PER_S / 1e6,
        "cores",
        at_most=1,
    )


@BENCHES.register("streams")
def run(report: Report) -> None:
    """Measures the loss of a zone and the CPU cost of a chunk."""
    # Suppresses the warning that each broken stream logs.
    log.remove()
    log.add(sys.stderr, level="ERROR")
    asyncio.run(_measure_loss(report))
    _measure_cpu(report)
