"""Tests of the adoption of durable requests."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from guavalane_core.configuration import Route
from guavalane_core.exceptions import OverloadedError
from guavalane_core.objects import MemoryObjectApi
from guavalane_core.records import DurableRequest, RecordStore
from guavalane_core.requests import OwnerWatch
from guavalane_core.timers import ManualTimers
from guavalane_entry.requests.durable import MAX_REQUEUE_DELAY_S, DurableRunner
from guavalane_entry.requests.executions import Executions
from guavalane_entry.requests.runs import problem_answer

DEADLINE_S = 60.0
ROUTE = Route(kind="service", request_class="durable", deployment="d", path="/")


class StubAdmission:
    """Admission control with fixed capacity, which sheds excess requests."""

    def __init__(self, capacity):
        self.free = capacity
        self.shed = 0

    async def acquire(self, _):
        if not self.free:
            self.shed += 1
            raise OverloadedError("the queue is full", not_run=True)
        self.free -= 1

    def release(self, _):
        self.free += 1


@attrs.define
class StartedRun:
    """Run that completes when the test sets its answer."""

    context: object
    answer: asyncio.Future


class StubRunTable:
    """Records the runs that were started."""

    def __init__(self):
        self.started = []

    def on_durable_answer(self, _):
        """Ignores the function that stores answers."""

    def start(self, context, *_, **__):
        answer = asyncio.get_running_loop().create_future()
        self.started.append(StartedRun(context, answer))
        return self.started[-1]


class StubRouteTable:
    """Route table that returns the same route for every name."""

    def named_route(self, _):
        return ROUTE


class StubMembership:
    """Membership that never changes."""

    live_members = ()

    def subscribe(self, _):
        """Ignores subscribers."""


class AdoptionHarness:
    """Runner on a live node and the record store of a failed one."""

    def __init__(self, capacity):
        self.timers = ManualTimers()
        self.admission = StubAdmission(capacity)
        self.runs = StubRunTable()
        api = MemoryObjectApi()
        self.dead = self._store(api, "entry-a")
        self.store = self._store(api, "entry-b")
        self.runner = DurableRunner(
            self.store,
            self._owners("entry-b"),
            self.runs,
            Executions(),
            StubMembership(),
            self.timers,
            StubRouteTable,
            self.admission,
        )

    def _owners(self, name):
        return OwnerWatch(
            name,
            1,
            lambda *_: False,
            self.timers,
            is_dead=lambda owner, _: owner == "entry-a",
        )

    def _store(self, api, name):
        return RecordStore(api, self._owners(name))

    async def adopt(self, count):
        for number in range(count):
            request = DurableRequest(
                request_id=f"entry-a-{number}",
                organisation="north",
                route_name="orders",
                kind="service",
                method="POST",
                path="/orders",
                content_type="application/json",
                body=b"{}",
                idempotency_key="",
                deadline_s=self.timers.wall() + DEADLINE_S,
            )
            accepted = await self.dead.accept(request)
            await self.runner.adopt_if_owner_gone(accepted.record)
        await asyncio.sleep(0)


@pytest.fixture
def harness():
    """Returns a node that runs two requests at a time."""
    return AdoptionHarness(2)


class TestAdoption:
    """Guards against adopted requests that bypass admission or are lost."""

    async def test_adopted_requests_wait_for_admission(self, harness):
        await harness.adopt(5)
        assert len(harness.runs.started) == 2
        for done in range(5):
            answer = problem_answer(RuntimeError("no endpoint"))
            harness.runs.started[done].answer.set_result(answer)
            await harness.timers.run_for(2 * MAX_REQUEUE_DELAY_S)
            assert len(harness.runs.started) == min(5, done + 3)
        assert harness.admission.free == 2

    async def test_only_the_deadline_ends_a_request_that_is_shed(self, harness):
        harness.admission.free = 0
        await harness.adopt(1)
        await harness.timers.run_for(DEADLINE_S - 1, step_s=0.1)
        assert harness.admission.shed > 1
        found = await harness.store.get("entry-a-0")
        assert found.answer is None
        await harness.timers.run_for(1 + MAX_REQUEUE_DELAY_S, step_s=0.1)
        found = await harness.store.get("entry-a-0")
        assert found.answer.status == OverloadedError.status
        assert harness.runs.started == []
