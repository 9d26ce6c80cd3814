"""Tests of adopted durable requests."""

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
from guavalane_entry.requests.durable import QUEUE_AGAIN_S, DurableRunner
from guavalane_entry.requests.executions import Executions
from guavalane_entry.requests.runs import problem_answer

DEADLINE_S = 60.0
ROUTE = Route(kind="service", request_class="durable", deployment="d", path="/")


class Places:
    """Admission with a number of places; it sheds what finds none."""

    def __init__(self, count):
        self.free = count
        self.shed = 0

    async def enter(self, _):
        if not self.free:
            self.shed += 1
            raise OverloadedError("the queue is full", not_run=True)
        self.free -= 1

    def leave(self, _):
        self.free += 1


@attrs.define
class StartedRun:
    """A run without its work."""

    context: object
    answer: asyncio.Future


class Runs:
    """Keeps the runs that were started."""

    def __init__(self):
        self.started = []

    def on_durable_answer(self, _):
        """Ignores who stores answers."""

    def start(self, context, *_, **__):
        answer = asyncio.get_running_loop().create_future()
        self.started.append(StartedRun(context, answer))
        return self.started[-1]


class Table:
    """Knows one route."""

    def named_route(self, _):
        return ROUTE


class Members:
    """Membership without changes."""

    live_members = ()

    def subscribe(self, _):
        """Ignores subscribers."""


class System:
    """A runner on a live node, and the records of a dead one."""

    def __init__(self, places):
        self.timers = ManualTimers()
        self.places = Places(places)
        self.runs = Runs()
        api = MemoryObjectApi()
        self.dead = self._store(api, "entry-a")
        self.store = self._store(api, "entry-b")
        self.runner = DurableRunner(
            self.store,
            self._owners("entry-b"),
            self.runs,
            Executions(),
            Members(),
            self.timers,
            Table,
            self.places,
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
            await self.runner.adopt_if_gone(accepted.record)
        await asyncio.sleep(0)


@pytest.fixture
def system():
    """Returns a node with two places."""
    return System(2)


class TestAdoption:
    """Guards against adopted requests that crowd out callers or get lost."""

    async def test_adopted_requests_run_in_their_turn(self, system):
        await system.adopt(5)
        assert len(system.runs.started) == 2
        for done in range(5):
            answer = problem_answer(RuntimeError("no endpoint"))
            system.runs.started[done].answer.set_result(answer)
            await system.timers.run_for(2 * QUEUE_AGAIN_S)
            assert len(system.runs.started) == min(5, done + 3)
        assert system.places.free == 2

    async def test_only_the_deadline_ends_a_request_that_is_shed(self, system):
        system.places.free = 0
        await system.adopt(1)
        await system.timers.run_for(DEADLINE_S - 1, step_s=0.1)
        assert system.places.shed > 1
        found = await system.store.get("entry-a-0")
        assert found.answer is None
        await system.timers.run_for(1 + QUEUE_AGAIN_S, step_s=0.1)
        found = await system.store.get("entry-a-0")
        assert found.answer.status == OverloadedError.status
        assert system.runs.started == []
