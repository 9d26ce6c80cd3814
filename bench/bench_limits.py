"""CPU cost of admission, and load shedding at twice the capacity."""

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
# Requests per second of one node, and the fraction of a core that control may
# use there.
REQUESTS_PER_S = 55
MAX_CPU_FRACTION = 0.024
# Target for the time to the first token, in seconds.
FIRST_TOKEN_TARGET_S = 0.65
CONCURRENCY = 20
SERVICE_TIME_S = 0.5
ARRIVAL_PERIOD_S = 60.0
ENDPOINT_COUNT = 24


class AdmissionHarness:
    """Admission of one node with manual timers.

    Args:
      concurrency: Maximum number of running requests.
      queue: Maximum number of waiting requests per organisation.
    """

    def __init__(self, concurrency: int, queue: int) -> None:
        self.timers = ManualTimers()
        metrics = Metrics()
        pool = EndpointPool("node", "zone-a", ENDPOINT_COUNT, self.timers)
        limits = EndpointLimits(pool, self.timers)
        rules = RetryRules(self.timers, metrics)
        self.admission = Admission(
            LimitSettings(
                queue_per_organisation=queue, concurrency=concurrency
            ),
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
                for number in range(ENDPOINT_COUNT)
            },
        )
        pool.apply(configuration)
        self.admission.apply(configuration)
        self._request_count = 0
        self.arrived: Counter[str] = Counter()
        self.rejected: Counter[str] = Counter()
        self.waits: dict[str, list[float]] = {}

    def request(
        self,
        organisation: str,
        route_name: str,
        priority: int,
        timeout_s: float,
    ) -> RequestContext:
        """Returns a new request."""
        self._request_count += 1
        return RequestContext(
            request_id=str(self._request_count),
            organisation=organisation,
            route_name=route_name,
            route=Route(
                kind="model",
                request_class="interactive",
                deployment="d",
                priority=priority,
            ),
            deadline_s=self.timers.now() + timeout_s,
        )

    async def serve(self, request: RequestContext) -> None:
        """Serves one request and records its queue wait or its rejection."""
        route_name = request.route_name
        self.arrived[route_name] += 1
        enqueued_s = self.timers.now()
        try:
            await self.admission.acquire(request)
        except RequestError:
            self.rejected[route_name] += 1
            return
        self.waits.setdefault(route_name, []).append(
            self.timers.now() - enqueued_s
        )
        try:
            await self.timers.sleep(SERVICE_TIME_S)
        finally:
            self.admission.release(request)

    def rejected_percent(self, route_name: str) -> float:
        """Returns the percentage of a route's requests that were rejected."""
        return 100 * self.rejected[route_name] / self.arrived[route_name]

    def p95_wait_s(self, route_name: str) -> float:
        """Returns the 95th percentile of a route's queue waits, in seconds."""
        waits = sorted(self.waits[route_name])
        return waits[int(len(waits) * 0.95)]


async def _run_arrivals(
    harness: AdmissionHarness,
    traffic: dict[str, tuple[str, int, float, float]],
) -> None:
    """Runs Poisson arrivals.

    Args:
      harness: Admission under test.
      traffic: Organisation, priority, timeout and fraction of the capacity, by
          route.
    """
    rng = random.Random(11)
    capacity = CONCURRENCY / SERVICE_TIME_S
    arrivals = []
    for route_name, (
        organisation,
        priority,
        timeout_s,
        fraction,
    ) in traffic.items():
        arrival_s = 0.0
        while (
            arrival_s := arrival_s + rng.expovariate(fraction * capacity)
        ) < ARRIVAL_PERIOD_S:
            arrivals.append(
                (arrival_s, route_name, organisation, priority, timeout_s)
            )
    tasks = []
    for arrival_s, route_name, organisation, priority, timeout_s in sorted(
        arrivals
    ):
        await harness.timers.run_for(arrival_s - harness.timers.now())
        request = harness.request(organisation, route_name, priority, timeout_s)
        tasks.append(asyncio.create_task(harness.serve(request)))
    while not all(task.done() for task in tasks):
        await harness.timers.run_for(1.0)


async def _measure_admission_cpu(report: Report) -> None:
    harness = AdmissionHarness(concurrency=100_000, queue=100_000)
    requests = [harness.request("big", "idle", 50, 60.0) for _ in range(ROUNDS)]
    start = time.process_time()
    for request in requests:
        await harness.admission.acquire(request)
        harness.admission.release(request)
    idle_us = (time.process_time() - start) / ROUNDS * 1e6
    report.bound(
        f"admission of a request, {ENDPOINT_COUNT} endpoints, no queue",
        idle_us,
        "us",
        at_most=MAX_CPU_FRACTION / REQUESTS_PER_S * 1e6,
    )
    harness = AdmissionHarness(concurrency=1, queue=100_000)

    async def acquire_and_release(request: RequestContext) -> None:
        await harness.admission.acquire(request)
        harness.admission.release(request)

    first = harness.request("big", "first", 50, 60.0)
    await harness.admission.acquire(first)
    requests = [
        harness.request(("big", "small")[n % 2], "q", n % 7, 60.0)
        for n in range(ROUNDS)
    ]
    start = time.process_time()
    tasks = [asyncio.create_task(acquire_and_release(r)) for r in requests]
    await asyncio.sleep(0)
    harness.admission.release(first)
    await asyncio.gather(*tasks)
    queued_us = (time.process_time() - start) / ROUNDS * 1e6
    report.bound(
        f"admission of a request through a queue of {ROUNDS}, task included",
        queued_us,
        "us",
        at_most=MAX_CPU_FRACTION / REQUESTS_PER_S * 1e6,
    )


async def _measure_shedding(report: Report) -> None:
    harness = AdmissionHarness(CONCURRENCY, queue=64)
    await _run_arrivals(
        harness,
        {
            "technicians": ("big", 10, 5.0, 0.6),
            "batch": ("big", 80, 30.0, 1.4),
        },
    )
    report.figure(
        "batch shed at twice the capacity",
        harness.rejected_percent("batch"),
        "%",
    )
    # Technicians use 60 % of the capacity, so none of them should be rejected.
    report.bound(
        "technicians shed at twice the capacity",
        harness.rejected_percent("technicians"),
        "%",
        at_most=0,
    )
    report.bound(
        "wait of technicians at twice the capacity, p95",
        harness.p95_wait_s("technicians"),
        "s",
        at_most=FIRST_TOKEN_TARGET_S,
    )
    harness = AdmissionHarness(CONCURRENCY, queue=64)
    await _run_arrivals(
        harness,
        {
            "big": ("big", 50, 5.0, 1.8),
            "small": ("small", 50, 5.0, 0.2),
        },
    )
    report.figure(
        "large organisation shed at twice the capacity",
        harness.rejected_percent("big"),
        "%",
    )
    # The small organisation uses less than its half of the capacity.
    report.bound(
        "small organisation shed at twice the capacity",
        harness.rejected_percent("small"),
        "%",
        at_most=0,
    )
    report.bound(
        "wait of the small organisation at twice the capacity, p95",
        harness.p95_wait_s("small"),
        "s",
        at_most=FIRST_TOKEN_TARGET_S,
    )


@BENCHES.register("limits")
def run(report: Report) -> None:
    """Measures the CPU cost of admission and load shedding."""
    asyncio.run(_measure_admission_cpu(report))
    asyncio.run(_measure_shedding(report))
