"""Tests of admission control and retries, mostly with manual timers."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter

import attrs
import pytest

from guavalane_core.configuration import Endpoint, Organisation, Route
from guavalane_core.configuration.generated import (
    Configuration,
    Deployment,
    Version,
)
from guavalane_core.exceptions import (
    AttemptError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    EndpointFailedError,
    NoEndpointError,
    OutcomeUnknownError,
    OverloadedError,
    RequestError,
)
from guavalane_core.requests import RequestContext
from guavalane_core.settings import LimitSettings
from guavalane_core.timers import LoopTimers, ManualTimers
from guavalane_entry.callers.admission import Admission, EndpointLimits
from guavalane_entry.callers.chat import ChatRunner
from guavalane_entry.callers.stream_log import StreamLog
from guavalane_entry.endpoints.client import DONE_EVENT, EndpointClient
from guavalane_entry.endpoints.pool import EndpointPool
from guavalane_entry.endpoints.retrying import RetryRules
from guavalane_entry.metrics import Metrics
from guavalane_standins import web
from guavalane_standins.engine import Engine
from guavalane_standins.processes import free_port

SERVICE_TIME_S = 1.0


class AdmissionHarness:
    """Admission control and retry rules without endpoint processes."""

    def __init__(
        self, endpoints=2, queue=300, concurrency=10, url="", **weights
    ):
        self.timers = ManualTimers()
        self.metrics = Metrics()
        self.pool = EndpointPool("node", "zone-a", 24, self.timers)
        self.limits = EndpointLimits(self.pool, self.timers)
        self.rules = RetryRules(self.timers, self.metrics, random.Random(3))
        self.admission = Admission(
            LimitSettings(
                queue_per_organisation=queue, concurrency=concurrency
            ),
            self.pool,
            self.limits,
            self.rules,
            self.timers,
            self.metrics,
        )
        self.count = 0
        self.refused = Counter()
        self.done = Counter()
        configuration = Configuration(
            organisations={
                name: Organisation(key_sha256=(), weight=weight)
                for name, weight in weights.items()
            },
            deployments={"d": Deployment(versions={"v1": Version()})},
            endpoints={
                f"e{i}": Endpoint(
                    url=url or f"http://e{i}",
                    zone="zone-a",
                    deployment="d",
                    version="v1",
                )
                for i in range(endpoints)
            },
        )
        self.pool.apply(configuration)
        self.admission.apply(configuration)

    def request(self, organisation="big", timeout_s=600.0, **route):
        """Returns a new request."""
        self.count += 1
        route = {"request_class": "interactive", "priority": 50, **route}
        return RequestContext(
            request_id=str(self.count),
            organisation=organisation,
            route_name=f"r{route['priority']}",
            route=Route(kind="model", deployment="d", **route),
            deadline_s=self.timers.now() + timeout_s,
        )

    async def serve(self, request):
        """Admits and runs a request; returns its wait in seconds."""
        began = self.timers.now()
        try:
            await self.admission.acquire(request)
        except (OverloadedError, DeadlineUnreachableError) as error:
            assert error.not_run and not request.sent
            self.refused[request.route.priority, error.code] += 1
            return None
        wait = self.timers.now() - began
        try:
            await self.timers.sleep(SERVICE_TIME_S)
            self.done[request.route.priority] += 1
        finally:
            self.admission.release(request)
        return wait

    async def run(self, coroutine, limit_s=10.0):
        """Runs a coroutine to completion within a limit in seconds."""
        task = asyncio.create_task(coroutine)
        end = self.timers.now() + limit_s
        while not task.done() and self.timers.now() < end:
            await self.timers.run_for(0.01)
        assert task.done()
        return task.result()

    def start(self, *requests):
        """Starts to serve requests."""
        return [asyncio.create_task(self.serve(r)) for r in requests]


class TestAdmission:
    """Guards against unfair waits, late rejections and leaked capacity."""

    @pytest.mark.parametrize("small", [1.0, 0.25])
    async def test_burst_of_a_large_organisation(self, small):
        harness = AdmissionHarness(concurrency=10, big=1.0, small=small)
        tasks = harness.start(*(harness.request() for _ in range(300)))
        await harness.timers.run_for(2.5)
        (late,) = harness.start(harness.request("small"))
        await harness.timers.run_for(40)
        # Bound of the fair queue in requests, of which ten run at a time.
        ahead = math.ceil(1 / small) * 1.0 + 1
        assert await late <= (math.floor(ahead / 10) + 1) * SERVICE_TIME_S
        await asyncio.gather(*tasks)
        assert harness.done[50] == 301
        assert harness.admission.running == harness.admission.waiting == 0

    async def test_full_queue_sheds_low_priority_first(self):
        harness = AdmissionHarness(concurrency=1, queue=3)
        tasks = harness.start(*(harness.request(priority=80) for _ in range(5)))
        await asyncio.sleep(0)
        assert harness.refused == {(80, "overloaded"): 1}
        tasks += harness.start(
            *(harness.request(priority=10) for _ in range(4))
        )
        await harness.timers.run_for(10)
        await asyncio.gather(*tasks)
        assert harness.refused == {(80, "overloaded"): 4, (10, "overloaded"): 1}
        assert harness.done == {80: 1, 10: 3}

    async def test_unreachable_deadline_is_rejected_at_once(self):
        harness = AdmissionHarness(concurrency=2)
        await asyncio.gather(
            *harness.start(harness.request()), harness.timers.run_for(2)
        )
        tasks = harness.start(*(harness.request() for _ in range(12)))
        await asyncio.sleep(0)
        # Ten requests of 1 s wait for a concurrency of two, so the next one
        # waits 5.5 to 6 s.
        tasks += harness.start(
            harness.request(timeout_s=5.4), harness.request(timeout_s=6.6)
        )
        await asyncio.sleep(0)
        assert harness.refused == {(50, "deadline_unreachable"): 1}
        await harness.timers.run_for(10)
        waits = await asyncio.gather(*tasks)
        assert waits[-1] == pytest.approx(6.0, abs=0.1)

    async def test_deadline_that_passes_in_the_queue(self):
        harness = AdmissionHarness(concurrency=1)
        tasks = harness.start(harness.request(), harness.request(timeout_s=0.5))
        await harness.timers.run_for(0.6)
        assert harness.refused == {(50, "deadline_unreachable"): 1}
        await harness.timers.run_for(1)
        await asyncio.gather(*tasks)

    async def test_disconnected_callers_release_capacity(self):
        harness = AdmissionHarness(concurrency=2)
        tasks = harness.start(*(harness.request() for _ in range(6)))
        await harness.timers.run_for(0.1)
        for task in (tasks[0], tasks[2], tasks[3]):
            task.cancel()
        # One more is cancelled right after it was admitted.
        await asyncio.sleep(0)
        tasks[4].cancel()
        await harness.timers.run_for(4)
        await asyncio.gather(*tasks, return_exceptions=True)
        assert harness.done[50] == 2
        assert harness.admission.running == harness.admission.waiting == 0

    async def test_endpoint_limits_bound_a_deployment(self):
        harness = AdmissionHarness(concurrency=1000, queue=1000, endpoints=2)
        request = harness.request()
        view = harness.pool.views["e0"]
        for second in range(30):
            harness.limits.on_refusal(view, second)
            harness.timers.advance(1)
        tasks = harness.start(*(harness.request() for _ in range(60)))
        await asyncio.sleep(0)
        assert harness.admission.running == 4 + 32
        view.in_flight = 4
        chosen = {harness.limits.choose(request).name for _ in range(20)}
        assert chosen == {"e1"}
        await harness.timers.run_for(5)
        await asyncio.gather(*tasks)

    async def test_missing_endpoint_fails_at_dispatch(self):
        harness = AdmissionHarness()
        for name in harness.pool.views:
            harness.pool.mark_leaving(name)
        request = harness.request()
        await harness.admission.acquire(request)
        with pytest.raises(NoEndpointError):
            harness.limits.choose(request)


class TestRetryRules:
    """Guards against retries past a budget, a deadline or at-most-once."""

    def failed(self, **kwargs):
        return AttemptError("failed", **{"sent": True, **kwargs})

    async def test_at_most_once_is_not_retried_once_sent(self):
        harness = AdmissionHarness()
        request = harness.request(request_class="at_most_once")
        with pytest.raises(OutcomeUnknownError):
            await harness.rules.before_retry(request, self.failed(), ["e0"])
        await harness.run(
            harness.rules.before_retry(request, self.failed(sent=False), ["e0"])
        )

    async def test_no_retry_past_the_deadline(self):
        harness = AdmissionHarness()
        request = harness.request(timeout_s=1e-9)
        with pytest.raises(DeadlineExceededError):
            await harness.rules.before_retry(request, self.failed(), ["e0"])

    async def test_only_attempts_with_lasting_load_use_the_budget(self):
        harness = AdmissionHarness()
        request = harness.request()
        for kwargs in ({"sent": False}, {"leaving": True}):
            for _ in range(30):
                await harness.run(
                    harness.rules.before_retry(
                        request, self.failed(**kwargs), ["e0"]
                    )
                )
        with pytest.raises(EndpointFailedError):
            for _ in range(5):
                await harness.run(
                    harness.rules.before_retry(request, self.failed(), ["e0"])
                )

    async def test_started_streams_wait_for_their_budget(self):
        harness = AdmissionHarness()
        request = harness.request()
        began = harness.timers.now()
        for _ in range(4):
            await harness.run(
                harness.rules.before_retry(
                    request, self.failed(), ["e0"], wait_for_budget=True
                )
            )
        assert 3.0 <= harness.timers.now() - began <= 8.0

    async def hedge(self, request_class, **route):
        """Returns the result and attempt times of a call with a slow start."""
        harness = AdmissionHarness()
        attempts = []

        async def attempt():
            attempts.append(harness.timers.now())
            await harness.timers.sleep(
                5.0 if slow and len(attempts) == 1 else 0.1
            )
            return len(attempts)

        def run():
            request = harness.request(request_class=request_class)
            request.route = attrs.evolve(request.route, **route)
            harness.rules.begin(request)
            return harness.run(harness.rules.run_hedged(request, attempt))

        slow = False
        for _ in range(30):
            await run()
        attempts.clear()
        slow = True
        result = await run()
        won = harness.metrics.total("hedges_won")
        assert won == harness.metrics.total("hedges") == len(attempts) - 1
        return result, [t - attempts[0] for t in attempts]

    async def test_idempotent_calls_are_hedged_after_the_p95(self):
        result, attempts = await self.hedge("idempotent")
        assert result == 2
        assert attempts == [0.0, pytest.approx(0.1, abs=0.03)]

    @pytest.mark.parametrize(("percent", "made"), [(0, 1), (1, 1), (10, 2)])
    async def test_hedges_are_limited_per_route(self, percent, made):
        """30 requests earn 0.3 attempts at 1 %, and 3 at 10 %."""
        _, attempts = await self.hedge("idempotent", hedge_percent=percent)
        assert len(attempts) == made

    @pytest.mark.parametrize(
        "request_class", ["interactive", "durable", "at_most_once"]
    )
    async def test_other_classes_are_not_hedged(self, request_class):
        _, attempts = await self.hedge(request_class)
        assert len(attempts) == 1


class TestChatRunner:
    """Guards against stream outcomes that are not reported to the pool."""

    @pytest.fixture
    async def engine(self):
        engine = Engine("e")
        engine.behaviour.token_s = 0
        port = free_port()
        runner = await web.start(engine.application(), port)
        yield engine, f"http://127.0.0.1:{port}"
        await runner.cleanup()

    async def test_outcomes_and_connections(self, engine):
        engine, url = engine
        timers = LoopTimers()
        harness = AdmissionHarness(endpoints=1, url=url)
        pool, limits = harness.pool, harness.limits
        client = EndpointClient(pool, limits, timers)
        rules = RetryRules(timers, harness.metrics)
        chats = ChatRunner(limits, client, rules, harness.metrics)
        chat = {"messages": [{"role": "user", "content": "q"}], "max_tokens": 3}

        async def run(timeout_s=5.0):
            request = harness.request(stall_ms=100)
            request.deadline_s = timers.now() + timeout_s
            log = StreamLog()
            await chats.stream(request, chat, log)
            assert log.events[-1].data == DONE_EVENT

        async def fail(**fault):
            web.update_fields(engine.behaviour, fault)
            with pytest.raises(RequestError):
                await run()

        # Timeouts due to short deadlines must not eject an engine.
        for fault in ({"hang": True}, {"hang": False, "token_s": 0.02}):
            web.update_fields(engine.behaviour, fault)
            for _ in range(6):
                with pytest.raises(DeadlineExceededError):
                    await run(timeout_s=0.05)
        web.update_fields(engine.behaviour, {"token_s": 0})
        assert pool.state("e0") == "closed"
        assert limits.limit_of("e0") == 32
        for _ in range(4):
            await fail(skip_token=0)
        await run()
        for _ in range(4):
            await fail(error_event_at=0)
        assert pool.state("e0") == "closed"
        await fail(hang=True)
        assert pool.state("e0") == "ejected"
        assert limits.limit_of("e0") < 32
        assert pool.views["e0"].in_flight == 0
        await client.close()
