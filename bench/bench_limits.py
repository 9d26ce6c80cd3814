"""Cost of admission, and what is shed at twice the capacity."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

from bench.report import BENCHES, Report
from guavalane_core.configuration import (
    Configuration,
    Deployment,
    Endpoint,
    Organisation,
    Route,
    Version,
)
from guavalane_core.exceptions import RequestError
from guavalane_core.requests import RequestContext
from guavalane_core.settings import LimitSettings
from guavalane_core.timers import ManualTimers
from guavalane_entry.callers.admission import Admission, EndpointLimits
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.endpoints.retrying import RetryRules
from guavalane_entry.metrics import Metrics

ROUNDS = 20_000
# Requests per second and part of a core for control, on one node.
REQUESTS_PER_S = 55
CONTROL_CORE_PART = 0.024
# Latency target of the first token in seconds.
TARGET_S = 0.65
PLACES = 20
HOLD_S = 0.5
SPAN_S = 60.0
ENDPOINTS = 24


class System:
    """Admission of one node under manual timers.

    Args:
      places: Requests that run at the same time.
      queue: Requests of one organisation that may wait.
    """

    def __init__(self, places: int, queue: int) -> None:
        self.timers = ManualTimers()
        metrics = Metrics()
        pool = EndpointPool("node", "zone-a", ENDPOINTS, self.timers)
        limits = EndpointLimits(pool, self.timers)
        rules = RetryRules(self.timers, metrics)
        self.admission = Admission(
            LimitSettings(queue_per_organisation=queue, concurrency=places),
            pool,
            limits,
            rules,
            self.timers,
            metrics,
        )
        configuration = Configuration(
            organisations={
                name: Organisation(key_sha256=()) for name in ("big", "small")
            },
            deployments={"d": Deployment(versions={"v1": Version()})},
            endpoints={
                f"e{number}": Endpoint(
                    url=f"http://e{number}",
                    zone="zone-a",
                    deployment="d",
                    version="v1",
                )
                for number in range(ENDPOINTS)
            },
        )
        pool.apply(configuration)
        self.admission.apply(configuration)
        self._count = 0
        self.arrived: Counter[str] = Counter()
        self.shed: Counter[str] = Counter()
        self.waits: dict[str, list[float]] = {}

    def request(
        self, organisation: str, kind: str, priority: int, timeout_s: float
    ) -> RequestContext:
        """Returns a new request."""
        self._count += 1
        return RequestContext(
            request_id=str(self._count),
            organisation=organisation,
            route_name=kind,
            route=Route(
                kind="model",
                request_class="interactive",
                deployment="d",
                priority=priority,
            ),
            deadline_s=self.timers.now() + timeout_s,
        )

    async def serve(self, request: RequestContext) -> None:
        """Serves one request and records its wait or refusal."""
        kind = request.route_name
        self.arrived[kind] += 1
        began = self.timers.now()
        try:
            await self.admission.acquire(request)
        except RequestError:
            self.shed[kind] += 1
            return
        self.waits.setdefault(kind, []).append(self.timers.now() - began)
        try:
            await self.timers.sleep(HOLD_S)
        finally:
            self.admission.release(request)

    def shed_percent(self, kind: str) -> float:
        """Returns the part of a kind's requests that was refused."""
        return 100 * self.shed[kind] / self.arrived[kind]

    def p95_wait_s(self, kind: str) -> float:
        """Returns the 95th percentile of the waits, in seconds."""
        waits = sorted(self.waits[kind])
        return waits[int(len(waits) * 0.95)]


async def _arrive(
    system: System,
    kinds: dict[str, tuple[str, int, float, float]],
) -> None:
    """Runs Poisson arrivals of kinds with their part of the capacity."""
    rng = random.Random(11)
    capacity = PLACES / HOLD_S
    arrivals = []
    for kind, (organisation, priority, timeout_s, part) in kinds.items():
        at = 0.0
        while (at := at + rng.expovariate(part * capacity)) < SPAN_S:
            arrivals.append((at, kind, organisation, priority, timeout_s))
    tasks = []
    for at, kind, organisation, priority, timeout_s in sorted(arrivals):
        await system.timers.run_for(at - system.timers.now())
        request = system.request(organisation, kind, priority, timeout_s)
        tasks.append(asyncio.create_task(system.serve(request)))
    while not all(task.done() for task in tasks):
        await system.timers.run_for(1.0)


async def _measure_cost(report: Report) -> None:
    system = System(places=100_000, queue=100_000)
    requests = [system.request("big", "idle", 50, 60.0) for _ in range(ROUNDS)]
    start = time.process_time()
    for request in requests:
        await system.admission.acquire(request)
        system.admission.release(request)
    idle_us = (time.process_time() - start) / ROUNDS * 1e6
    report.bound(
        f"admission of a request, {ENDPOINTS} endpoints, no queue",
        idle_us,
        "us",
        at_most=CONTROL_CORE_PART / REQUESTS_PER_S * 1e6,
    )
    system = System(places=1, queue=100_000)

    async def pass_through(request: RequestContext) -> None:
        await system.admission.acquire(request)
        system.admission.release(request)

    first = system.request("big", "first", 50, 60.0)
    await system.admission.acquire(first)
    requests = [
        system.request(("big", "small")[n % 2], "q", n % 7, 60.0)
        for n in range(ROUNDS)
    ]
    start = time.process_time()
    tasks = [asyncio.create_task(pass_through(r)) for r in requests]
    await asyncio.sleep(0)
    system.admission.release(first)
    await asyncio.gather(*tasks)
    queued_us = (time.process_time() - start) / ROUNDS * 1e6
    report.bound(
        f"admission of a request through a queue of {ROUNDS}, task included",
        queued_us,
        "us",
        at_most=CONTROL_CORE_PART / REQUESTS_PER_S * 1e6,
    )


async def _measure_shedding(report: Report) -> None:
    system = System(PLACES, queue=64)
    await _arrive(
        system,
        {
            "technicians": ("big", 10, 5.0, 0.6),
            "batch": ("big", 80, 30.0, 1.4),
        },
    )
    report.figure(
        "batch shed at twice the capacity",
        system.shed_percent("batch"),
        "%",
    )
    # Technicians ask for 60 % of the capacity, so none need be refused.
    report.bound(
        "technicians shed at twice the capacity",
        system.shed_percent("technicians"),
        "%",
        at_most=0,
    )
    report.bound(
        "wait of technicians at twice the capacity, p95",
        system.p95_wait_s("technicians"),
        "s",
        at_most=TARGET_S,
    )
    system = System(PLACES, queue=64)
    await _arrive(
        system,
        {
            "big": ("big", 50, 5.0, 1.8),
            "small": ("small", 50, 5.0, 0.2),
        },
    )
    report.figure(
        "large organisation shed at twice the capacity",
        system.shed_percent("big"),
        "%",
    )
    # The small one asks for less than its half of the capacity.
    report.bound(
        "small organisation shed at twice the capacity",
        system.shed_percent("small"),
        "%",
        at_most=0,
    )
    report.bound(
        "wait of the small organisation at twice the capacity, p95",
        system.p95_wait_s("small"),
        "s",
        at_most=TARGET_S,
    )


@BENCHES.register("limits")
def run(report: Report) -> None:
    """Measures admission and shedding."""
    asyncio.run(_measure_cost(report))
    asyncio.run(_measure_shedding(report))
