"""Tokens recomputed over the loss of a zone, and CPU per chunk of a stream."""

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

ZONES = 4
ENGINES_PER_ZONE = 2
STREAMS = 64
TOKENS = 60
# Tokens of a stream at which the lost zone's engines break it.
BREAK_AT = 30
TOKEN_S = 0.01
PROMPT_WORDS = 50
# Tokens per second of one node at peak, in one process of one core.
NODE_TOKENS_PER_S = 16_200
CPU_STREAMS = 100
CPU_TOKENS = 60
# Time between tokens at the latency target, in seconds.
CPU_TOKEN_S = 0.054


def _configuration(urls: dict[str, str], kv_transfer: bool) -> Configuration:
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


class Entry:
    """The parts of a node that carry streams, without its server.

    Args:
      urls: Engines by name, `ZONE-NUMBER`.
      kv_transfer: Whether engines export and import KV cache.
    """

    def __init__(self, urls: dict[str, str], kv_transfer: bool) -> None:
        self.timers = LoopTimers()
        self.pool = EndpointPool("node", "zone-1", 24, self.timers)
        self.pool.apply(_configuration(urls, kv_transfer))
        self.limits = EndpointLimits(self.pool, self.timers)
        self.client = EndpointClient(self.pool, self.limits, self.timers)
        metrics = Metrics()
        self.rules = RetryRules(self.timers, metrics)
        self.chats = ChatRunner(self.limits, self.client, self.rules, metrics)

    def request(self, number: int) -> RequestContext:
        """Returns the request of one stream."""
        return RequestContext(
            request_id=str(number),
            organisation="o",
            route_name="r",
            route=Route(
                kind="model", request_class="interactive", deployment="d"
            ),
            deadline_s=self.timers.now() + 60,
        )


class _Discard:
    """Reads the events of an attempt to their end and drops them."""

    full = False

    async def wait_for_space(self) -> None:
        """Returns at once."""

    def take(self, events: list[bytes]) -> bool:
        """Returns whether the last event has come."""
        return events[-1].startswith(DONE_EVENT)


def _chat(number: int, tokens: int) -> dict:
    content = " ".join([f"q{number}"] * PROMPT_WORDS)
    return {
        "model": "m",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": True,
    }


async def _resume(entry: Entry, number: int) -> int:
    """Runs one stream with resumption; returns its tokens."""
    log = StreamLog()
    chat = _chat(number, TOKENS)
    await entry.chats.stream(entry.request(number), chat, log)
    return log.events[-1].tokens


async def _restart(entry: Entry, number: int) -> int:
    """Runs one stream and starts it anew after a failure."""
    request = entry.request(number)
    body = {
        **_chat(number, TOKENS),
        "stream_options": {"continuous_usage_stats": True},
    }
    failed: list[str] = []
    while True:
        view = entry.limits.choose(request, failed)
        try:
            await entry.client.stream(view, request, body, _Discard())
            return TOKENS
        except AttemptError:
            failed.append(view.name)


@attrs.frozen
class Loss:
    """What the loss of a zone cost.

    Attributes:
      broken: Attempts that the lost engines broke.
      prefilled: Prompt tokens computed more than once.
      generated: Tokens generated more than once.
    """

    broken: int
    prefilled: int
    generated: int


async def _lose_zone(
    run: Callable[[Entry, int], Awaitable[int]], *, announced: bool
) -> Loss:
    engines: dict[str, Engine] = {}
    urls: dict[str, str] = {}
    runners: list[AppRunner] = []
    for zone in range(ZONES):
        for number in range(ENGINES_PER_ZONE):
            name = f"{zone}-{number}"
            engine = engines[name] = Engine(name)
            engine.behaviour.token_s = TOKEN_S
            if zone == 0:
                engine.behaviour.fail_after_tokens = BREAK_AT
            port = free_port()
            urls[name] = f"http://127.0.0.1:{port}"
            runners.append(await web.start(engine.application(), port))
    entry = Entry(urls, kv_transfer=announced)
    tasks = [asyncio.create_task(run(entry, n)) for n in range(STREAMS)]
    lost = [f"0-{number}" for number in range(ENGINES_PER_ZONE)]
    if announced:
        await asyncio.sleep(TOKEN_S * BREAK_AT / 3)
        for name in lost:
            entry.pool.mark_leaving(name)
    tokens = await asyncio.gather(*tasks)
    if tokens != [TOKENS] * STREAMS:
        raise RuntimeError("a stream is not whole")
    await entry.client.close()
    for runner in runners:
        await runner.cleanup()
    prompt = sum(
        text.count_tokens(text.format_prompt(_chat(n, 1)["messages"]))
        for n in range(STREAMS)
    )
    seen = [engine.counters for engine in engines.values()]
    return Loss(
        broken=sum(len(engines[name].requests) for name in lost),
        prefilled=sum(c.prefilled_tokens for c in seen) - prompt,
        generated=sum(c.generated_tokens for c in seen) - STREAMS * TOKENS,
    )


async def _measure_loss(report: Report) -> None:
    restart = await _lose_zone(_restart, announced=False)
    resume = await _lose_zone(_resume, announced=False)
    moved = await _lose_zone(_resume, announced=True)
    per_attempt = {}
    for name, loss in (
        ("restart from scratch", restart),
        ("resume", resume),
        ("resume with KV cache moved", moved),
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
    # A resumed stream prefills what a restarted one generates.
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
    """Reads streams as callers; returns the events received."""
    headers = caller_headers()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def read(number: int) -> int:
            body = {**_chat(number, CPU_TOKENS), "model": "assistant"}
            async with session.post(
                f"{url}/v1/chat/completions", json=body, headers=headers
            ) as answer:
                data = await answer.read()
            if not data.rstrip().endswith(b"[DONE]"):
                raise RuntimeError(f"stream not whole: {data[-200:]!r}")
            return data.count(b"completion_tokens")

        return sum(await asyncio.gather(*map(read, range(streams))))


async def _consume_client(entry: Entry) -> None:
    async def read(number: int) -> None:
        request = entry.request(number)
        view = entry.limits.choose(request)
        body = {
            **_chat(number, CPU_TOKENS),
            "stream_options": {"continuous_usage_stats": True},
        }
        await entry.client.stream(view, request, body, _Discard())

    await asyncio.gather(*map(read, range(CPU_STREAMS)))


async def _consume_chats(entry: Entry) -> None:
    async def read(number: int) -> None:
        request = entry.request(number)
        chat = _chat(number, CPU_TOKENS)
        await entry.chats.stream(request, chat, StreamLog())

    await asyncio.gather(*map(read, range(CPU_STREAMS)))


async def _cost_in_process(
    url: str, consume: Callable[[Entry], Awaitable[None]]
) -> float:
    entry = Entry({"1-0": url}, kv_transfer=False)
    start = time.process_time()
    await consume(entry)
    used = time.process_time() - start
    await entry.client.close()
    return used / (CPU_STREAMS * CPU_TOKENS) * 1e6


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
        idle_from = _cpu_s(pid)
        time.sleep(2.0)
        idle = (_cpu_s(pid) - idle_from) / 2.0
        began, cpu = time.monotonic(), _cpu_s(pid)
        chunks = asyncio.run(_read_callers(node.callers, CPU_STREAMS))
        used = _cpu_s(pid) - cpu - idle * (time.monotonic() - began)
        whole_us = used / chunks * 1e6
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            url = cluster.urls["engine-0"]
            client_us = runner.run(_cost_in_process(url, _consume_client))
            chats_us = runner.run(_cost_in_process(url, _consume_chats))
        if chunks != CPU_STREAMS * CPU_TOKENS:
            raise RuntimeError(json.dumps({"chunks": chunks}))
    report.figure("CPU per chunk, aiohttp in", client_us, "us")
    report.figure("CPU per chunk, splice", chats_us - client_us, "us")
    report.figure("CPU per chunk, sanic out", whole_us - chats_us, "us")
    report.figure("CPU per chunk, whole path", whole_us, "us")
    report.bound(
        f"cores of a node of {NODE_TOKENS_PER_S} tokens/s, one a chunk",
        whole_us * NODE_TOKENS_PER_S / 1e6,
        "cores",
        at_most=1,
    )


@BENCHES.register("streams")
def run(report: Report) -> None:
    """Measures the loss of a zone and the cost of a chunk."""
    # Each broken stream logs a warning.
    log.remove()
    log.add(sys.stderr, level="ERROR")
    asyncio.run(_measure_loss(report))
    _measure_cpu(report)
