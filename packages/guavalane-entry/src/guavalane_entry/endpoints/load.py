"""Polling of endpoint metrics for load reports."""

from __future__ import annotations

import asyncio
import random

import aiohttp
from loguru import logger as log
from prometheus_client.parser import text_string_to_metric_families

from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.http_session import make_session

RUNNING_METRIC = "vllm:num_requests_running"
WAITING_METRIC = "vllm:num_requests_waiting"
# Timeout of a poll, in seconds. A later report would already be outdated.
POLL_TIMEOUT_S = 1.0
# Minimum time between two polls of an endpoint, in seconds.
MIN_POLL_INTERVAL_S = 0.5
# Limit of polls in flight. More than one, so that unresponsive endpoints do not
# delay the polls of others.
MAX_CONCURRENT_POLLS = 4
MAX_METRICS_BYTES = 1 << 20
JITTER = 0.25


def parse_load(text: str) -> tuple[int, int] | None:
    """Returns running and waiting requests, or None if the text has neither.

    Args:
      text: Metrics in Prometheus text format; models are summed.

    Raises:
      ValueError: A line of the two metrics cannot be parsed.
    """
    # An engine exports hundreds of metrics, of which only two are parsed.
    lines = [
        line
        for line in text.splitlines()
        if line.startswith((RUNNING_METRIC, WAITING_METRIC))
    ]
    sums = dict.fromkeys((RUNNING_METRIC, WAITING_METRIC), 0.0)
    found = False
    for family in text_string_to_metric_families("\n".join(lines) + "\n"):
        for sample in family.samples:
            if sample.name in sums:
                sums[sample.name] += sample.value
                found = True
    if not found:
        return None
    return int(sums[RUNNING_METRIC]), int(sums[WAITING_METRIC])


class LoadPoller:
    """Polls the load of the endpoints that this node uses, round-robin.

    Args:
      pool: Endpoints that this node uses; receives the reports.
      timers: Timer service.
      polls_per_s: Total poll rate over all endpoints, per second.
      rng: Source of the jitter.
    """

    def __init__(
        self,
        pool: EndpointPool,
        timers: Timers,
        polls_per_s: float,
        rng: random.Random | None = None,
    ) -> None:
        self._pool = pool
        self._timers = timers
        self._period_s = 1 / polls_per_s
        self._rng = rng or random.Random()
        self._polled_s: dict[str, float] = {}
        self._polls: set[asyncio.Task] = set()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts polling."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops polling."""
        await cancel_tasks(self._task, *self._polls)

    def next_endpoint(self) -> str | None:
        """Returns the least recently polled endpoint, if it is due."""
        views = self._pool.views
        self._polled_s = {n: t for n, t in self._polled_s.items() if n in views}
        never = float("-inf")
        name = min(
            views, key=lambda n: self._polled_s.get(n, never), default=None
        )
        now = self._timers.now()
        if name is None:
            return None
        if now - self._polled_s.get(name, never) < MIN_POLL_INTERVAL_S:
            return None
        self._polled_s[name] = now
        return name

    async def _run(self) -> None:
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        async with make_session(timeout=timeout) as session:
            while True:
                if len(self._polls) < MAX_CONCURRENT_POLLS:
                    name = self.next_endpoint()
                    if name is not None:
                        task = asyncio.create_task(self._poll(session, name))
                        self._polls.add(task)
                        task.add_done_callback(self._polls.discard)
                factor = 1 + JITTER * (2 * self._rng.random() - 1)
                await self._timers.sleep(self._period_s * factor)

    async def _poll(self, session: aiohttp.ClientSession, name: str) -> None:
        url = self._pool.views[name].endpoint.url.rstrip("/") + "/metrics"
        at_s = self._timers.now()
        try:
            async with session.get(url) as answer:
                if answer.status != 200:
                    return
                data = bytearray()
                async for chunk in answer.content.iter_any():
                    data += chunk
                    if len(data) > MAX_METRICS_BYTES:
                        raise ValueError(
                            f"metrics page exceeds {MAX_METRICS_BYTES} bytes"
                        )
            load = parse_load(data.decode(errors="replace"))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            # A failed poll shows in the age of the last report.
            log.debug("load: cannot poll {}: {!r}", name, error)
            return
        if load is not None:
            self._pool.on_load(name, *load, at_s)
