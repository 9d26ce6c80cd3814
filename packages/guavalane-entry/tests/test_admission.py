"""Tests of admission under manual timers."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter

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

HOLD_S = 1.0


class World:
    """Admission and retry rules with endpoints that are only views."""

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
        """Holds a place for a second; returns the wait in seconds."""
        began = self.timers.now()
        try:
            await self.admission.enter(request)
        except (OverloadedError, DeadlineUnreachableError) as error:
            assert error.not_run and not request.sent
            self.refused[request.route.priority, error.code] += 1
            return None
        wait = self.timers.now() - began
        try:
            await self.timers.sleep(HOLD_S)
            self.done[request.route.priority] += 1
        finally:
            self.admission.leave(request)
        return wait

    async def run(self, coroutine, limit_s=10.0):
        """Runs a coroutine to its end, within a time in seconds."""
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
    """Guards against unfair waits, late refusals and places that leak."""

    @pytest.mark.parametrize("small", [1.0, 0.25])
    async def test_burst_of_a_large_organisation(self, small):
        world = World(concurrency=10, big=1.0, small=small)
        tasks = world.start(*(world.request() for _ in range(300)))
        await world.timers.run_for(2.5)
        (late,) = world.start(world.request("small"))
        await world.timers.run_for(40)
        # The bound of the fair queue in requests, of which ten run at a time.
        ahead = math.ceil(1 / small) * 1.0 + 1
        assert await late <= (math.floor(ahead / 10) + 1) * HOLD_S
        await asyncio.gather(*tasks)
        assert world.done[50] == 301
        assert world.admission.running == world.admission.waiting == 0

    async def test_full_queue_gives_up_batch_work_first(self):
        world = World(concurrency=1, queue=3)
        tasks = world.start(*(world.request(priority=80) for _ in range(5)))
        await asyncio.sleep(0)
        assert world.refused == {(80, "overloaded"): 1}
        tasks += world.start(*(world.request(priority=10) for _ in range(4)))
        await world.timers.run_for(10)
        await asyncio.gather(*tasks)
        assert world.refused == {(80, "overloaded"): 4, (10, "overloaded"): 1}
        assert world.done == {80: 1, 10: 3}

    async def test_deadline_out_of_reach_is_refused_at_once(self):
        world = World(concurrency=2)
        await asyncio.gather(
            *world.start(world.request()), world.timers.run_for(2)
        )
        tasks = world.start(*(world.request() for _ in range(12)))
        await asyncio.sleep(0)
        # Ten wait for two places of a second each: 5.5 to 6 s for the next.
        tasks += world.start(
            world.request(timeout_s=5.4), world.request(timeout_s=6.6)
        )
        await asyncio.sleep(0)
        assert world.refused == {(50, "deadline_unreachable"): 1}
        await world.timers.run_for(10)
        waits = await asyncio.gather(*tasks)
        assert waits[-1] == pytest.approx(6.0, abs=0.1)

    async def test_deadline_that_passes_in_the_queue(self):
        world = World(concurrency=1)
        tasks = world.start(world.request(), world.request(timeout_s=0.5))
        await world.timers.run_for(0.6)
        assert world.refused == {(50, "deadline_unreachable"): 1}
        await world.timers.run_for(1)
        await asyncio.gather(*tasks)

    async def test_callers_that_go_away_free_their_places(self):
        world = World(concurrency=2)
        tasks = world.start(*(world.request() for _ in range(6)))
        await world.timers.run_for(0.1)
        for task in (tasks[0], tasks[2], tasks[3]):
            task.cancel()
        # One more is cancelled in the moment in which it was admitted.
        await asyncio.sleep(0)
        tasks[4].cancel()
        await world.timers.run_for(4)
        await asyncio.gather(*tasks, return_exceptions=True)
        assert world.done[50] == 2
        assert world.admission.running == world.admission.waiting == 0

    async def test_endpoint_limits_bound_a_deployment(self):
        world = World(concurrency=1000, queue=1000, endpoints=2)
        request = world.request()
        view = world.pool.views["e0"]
        for second in range(30):
            world.limits.on_refusal(view, second)
            world.timers.advance(1)
        tasks = world.start(*(world.request() for _ in range(60)))
        await asyncio.sleep(0)
        assert world.admission.running == 4 + 32
        view.in_flight = 4
        chosen = {world.limits.choose(request).name for _ in range(20)}
        assert chosen == {"e1"}
        await world.timers.run_for(5)
        await asyncio.gather(*tasks)

    async def test_no_endpoint_is_told_at_once(self):
        world = World()
        for name in world.pool.views:
            world.pool.mark_leaving(name)
        request = world.request()
        await world.admission.enter(request)
        with pytest.raises(NoEndpointError):
            world.limits.choose(request)


class TestRetryRules:
    """Guards against retries past a budget, a deadline or a promise."""

    def failed(self, **kwargs):
        return AttemptError("failed", **{"sent": True, **kwargs})

    async def test_at_most_once_is_not_retried_once_sent(self):
        world = World()
        request = world.request(request_class="at_most_once")
        with pytest.raises(OutcomeUnknownError):
            await world.rules.before_retry(request, self.failed(), ["e0"])
        await world.run(
            world.rules.before_retry(request, self.failed(sent=False), ["e0"])
        )

    async def test_no_retry_past_the_deadline(self):
        world = World()
        request = world.request(timeout_s=1e-9)
        with pytest.raises(DeadlineExceededError):
            await world.rules.before_retry(request, self.failed(), ["e0"])

    async def test_only_attempts_with_lasting_load_use_the_budget(self):
        world = World()
        request = world.request()
        for kwargs in ({"sent": False}, {"leaving": True}):
            for _ in range(30):
                await world.run(
                    world.rules.before_retry(
                        request, self.failed(**kwargs), ["e0"]
                    )
                )
        with pytest.raises(EndpointFailedError):
            for _ in range(5):
                await world.run(
                    world.rules.before_retry(request, self.failed(), ["e0"])
                )

    async def test_streams_under_way_wait_for_their_budget(self):
        world = World()
        request = world.request()
        began = world.timers.now()
        for _ in range(4):
            await world.run(
                world.rules.before_retry(
                    request, self.failed(), ["e0"], patient=True
                )
            )
        assert 3.0 <= world.timers.now() - began <= 8.0

    async def hedge(self, request_class):
        """Returns the result and the attempts of a call with a slow start."""
        world = World()
        attempts = []

        async def attempt():
            attempts.append(world.timers.now())
            await world.timers.sleep(
                5.0 if slow and len(attempts) == 1 else 0.1
            )
            return len(attempts)

        def run():
            request = world.request(request_class=request_class)
            world.rules.begin(request)
            return world.run(world.rules.hedged(request, attempt))

        slow = False
        for _ in range(30):
            await run()
        attempts.clear()
        slow = True
        return await run(), [t - attempts[0] for t in attempts]

    async def test_idempotent_calls_are_hedged_after_the_p95(self):
        result, attempts = await self.hedge("idempotent")
        assert result == 2
        assert attempts == [0.0, pytest.approx(0.1, abs=0.03)]

    @pytest.mark.parametrize(
        "request_class", ["interactive", "durable", "at_most_once"]
    )
    async def test_other_classes_are_not_hedged(self, request_class):
        _, attempts = await self.hedge(request_class)
        assert len(attempts) == 1


class TestChatRunner:
    """Guards against streams whose outcome the pool does not learn."""

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
        world = World(endpoints=1, url=url)
        pool, limits = world.pool, world.limits
        client = EndpointClient(pool, limits, timers)
        rules = RetryRules(timers, world.metrics)
        chats = ChatRunner(limits, client, rules, world.metrics)
        chat = {"messages": [{"role": "user", "content": "q"}], "max_tokens": 3}

        async def run(timeout_s=5.0):
            request = world.request(stall_ms=100)
            request.deadline_s = timers.now() + timeout_s
            log = StreamLog()
            await chats.stream(request, chat, log)
            assert log.events[-1].data == DONE_EVENT

        async def fail(**fault):
            web.update_fields(engine.behaviour, fault)
            with pytest.raises(RequestError):
                await run()

        # Callers with short deadlines prove nothing about an engine.
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
