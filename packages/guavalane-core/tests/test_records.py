"""Tests of records of durable requests."""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    invariant,
    rule,
)

from guavalane_core.exceptions import ObjectApiError
from guavalane_core.objects import MemoryObjectApi
from guavalane_core.records import (
    Accepted,
    Adopted,
    AdoptionLost,
    DurableRequest,
    Finished,
    NotRecorded,
    Record,
    RecordStore,
)
from guavalane_core.requests import OwnerWatch, StoredAnswer
from guavalane_core.timers import ManualTimers
from guavalane_standins.store_machine import NODES, StoreMachine

GRACE_S = 5.0


def make_request(request_id="r1", body=b"{}"):
    """Returns a request to a model route."""
    return DurableRequest(
        request_id=request_id,
        organisation="org",
        route_name="plans",
        kind="model",
        method="POST",
        path="/v1/chat/completions",
        content_type="application/json",
        body=body,
        idempotency_key="",
        deadline_s=1e9,
    )


def make_store(
    api, timers, node="a", incarnation=1, live=lambda *_: True, grace=GRACE_S
):
    """Returns the store of one node, whose peers are live by default."""
    owners = OwnerWatch(node, incarnation, live, timers, grace)
    return RecordStore(api, owners)


class RecordMachine(StoreMachine):
    """Guards against lost requests, and requests with two different answers."""

    def __init__(self):
        super().__init__(lambda api, _, owners: RecordStore(api, owners))
        self.accepted = set()
        self.refused = set()
        self.runs = {}
        self.answers = {}
        self.count = 0

    async def submit(self, node, request_id):
        outcome = await node.store.accept(make_request(request_id))
        if isinstance(outcome, NotRecorded):
            if outcome.certain:
                self.refused.add(request_id)
            return
        assert isinstance(outcome, Accepted)
        self.accepted.add(request_id)
        await self.run(node, outcome.record)

    async def run(self, node, record):
        request_id = record.request.request_id
        assert record.request == make_request(request_id)
        run = self.runs[request_id] = self.runs.get(request_id, 0) + 1
        await self.yield_point(node)
        answer = StoredAnswer(200, body=f"{request_id} run {run}".encode())
        while True:
            outcome = await node.store.finish(record, answer)
            if isinstance(outcome, Finished):
                break
            await self.yield_point(node)
        first = self.answers.setdefault(request_id, outcome.answer)
        assert outcome.answer == first

    async def take_over(self, node):
        try:
            for record in await node.store.scan():
                outcome = await node.store.adopt(record)
                if isinstance(outcome, Adopted):
                    assert outcome.record.epoch == record.epoch + 1
                    self.spawn_quietly(node, self.run(node, outcome.record))
        except ObjectApiError:
            pass

    def spawn_quietly(self, node, coroutine):
        node.tasks.append(self.loop.create_task(coroutine))

    @rule(name=st.sampled_from(NODES))
    def accept(self, name):
        self.count += 1
        node = self.nodes[name]
        self.spawn(node, self.submit(node, f"r{self.count}"))

    @rule(name=st.sampled_from(NODES))
    def adopt(self, name):
        node = self.nodes[name]
        self.spawn(node, self.take_over(node))

    @rule(seconds=st.sampled_from([1.0, GRACE_S]))
    def advance(self, seconds):
        self.timers.advance(seconds)

    @invariant()
    def refused_requests_do_not_run(self):
        assert not self.refused & set(self.runs)

    def teardown(self):
        self.suspected.clear()
        while self.gate.late_writes:
            self.gate.apply_late_write(self.gate.late_writes[0])
        self.drain()
        # The first scan detects that owners are gone; the second, after the
        # grace time, adopts their records.
        for _ in range(2):
            for name in NODES:
                self.adopt(name)
                self.drain()
            self.timers.advance(GRACE_S)
        objects = self.gate.objects._objects
        stored = {
            name: Record.from_stored(found)
            for (_, name), found in objects.items()
        }
        for request_id in self.accepted:
            answer = stored[request_id].answer
            assert answer is not None, f"{request_id} was lost"
            assert answer == self.answers.get(request_id, answer)
        self.refused_requests_do_not_run()
        self.loop.close()


RecordMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    database=None,
)
TestRecordMachine = RecordMachine.TestCase


class TestRecordStore:
    """Guards the individual operations on a durable request."""

    async def test_two_writes_and_one_answer(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        store = make_store(api, timers)
        record = (await store.accept(make_request())).record
        answer = StoredAnswer(200, body=b"plan")
        assert await store.finish(record, answer) == Finished(answer)
        assert api.calls.writes == 2
        assert (await store.get("r1")).answer == answer

    async def test_lost_answer_is_settled_and_an_outage_refuses(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        store = make_store(api, timers)
        api.faults.lose_answers = 1
        assert isinstance(await store.accept(make_request()), Accepted)
        api.faults.down = True
        outcome = await store.accept(make_request("r2"))
        assert outcome == NotRecorded(outcome.reason, certain=True)

    async def test_first_answer_wins_after_an_adoption(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        first = make_store(api, timers)
        second = make_store(api, timers, "b", 1, lambda *_: False)
        third = make_store(api, timers, "c", 1, lambda *_: False)
        record = (await first.accept(make_request())).record
        assert await second.scan() == []
        timers.advance(GRACE_S)
        (orphan,) = await second.scan()
        adopted = await second.adopt(orphan)
        assert adopted.record.epoch == 2
        assert await third.adopt(orphan) == AdoptionLost()
        early = StoredAnswer(200, body=b"first")
        assert await first.finish(record, early) == Finished(early)
        late = StoredAnswer(200, body=b"second")
        outcome = await second.finish(adopted.record, late)
        assert outcome == Finished(early)

    async def test_record_of_a_refused_request_is_deleted(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        store = make_store(api, timers)
        api.faults.lose_answers = 1
        get = api.get

        async def refuse(kind, name):
            api.faults.down = True
            return await get(kind, name)

        api.get = refuse
        outcome = await store.accept(make_request())
        assert outcome == NotRecorded(outcome.reason, certain=False)
        api.get, api.faults.down = get, False
        assert (await store.get("r1")).answer is None
        assert await store.discard("r1")
        assert not await store.discard("r1")

    async def test_request_too_large_to_record(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        body = random.Random(1).randbytes(1_000_000)
        store = make_store(api, timers)
        outcome = await store.accept(make_request(body=body))
        assert isinstance(outcome, NotRecorded)
        assert outcome.certain
        assert api.calls.writes == 0
