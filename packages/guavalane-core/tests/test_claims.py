"""Tests of at-most-once claims."""

from __future__ import annotations

import random
from collections import defaultdict

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    invariant,
    precondition,
    rule,
)

from guavalane_core.claims import (
    Answered,
    ClaimStore,
    Granted,
    InProgress,
    KeyReused,
    Unavailable,
    Unresolved,
    claim_name,
)
from guavalane_core.objects import MemoryObjectApi
from guavalane_core.requests import OwnerWatch, StoredAnswer
from guavalane_core.timers import ManualTimers
from guavalane_standins.store_machine import NODES, StoreMachine

GRACE_S = 5.0


def make_store(
    api, timers, node="a", incarnation=1, live=lambda *_: True, grace=GRACE_S
):
    """Returns the store of one node, whose peers are live by default."""
    owners = OwnerWatch(node, incarnation, live, timers, grace)
    return ClaimStore(api, timers, owners)


class ClaimMachine(StoreMachine):
    """Guards against calls that run twice and answers of another call.

    Nodes handle calls in the same way as an entry node. Every object API call
    and every step between claim, dispatch and answer waits for a rule, so that
    faults, pauses, crashes and takeovers can occur between any two of them.
    """

    def __init__(self):
        super().__init__(ClaimStore)
        self.executed = defaultdict(list)
        self.stored = {}
        self.refused = set()
        self.sent_bodies = defaultdict(set)
        self.count = 0

    async def handle(self, node, key, body, fails):
        self.count += 1
        request = f"r{self.count}"
        store = node.store
        self.sent_bodies[key].add(body)
        outcome = await store.claim("org", key, body, request)
        if isinstance(outcome, Answered):
            assert outcome.answer == self.stored[key]
        elif isinstance(outcome, KeyReused):
            assert len(self.sent_bodies[key]) > 1
        elif isinstance(outcome, Unavailable) and outcome.not_run:
            self.refused.add(request)
        if not isinstance(outcome, Granted):
            return
        await self.yield_point(node)
        if not await store.before_dispatch(outcome.claim):
            self.refused.add(request)
            return
        self.executed[key].append(request)
        await self.yield_point(node)
        if fails:
            while not await store.mark_unknown(outcome.claim):
                await self.yield_point(node)
            return
        answer = StoredAnswer(201, body=request.encode())
        self.stored[key] = answer
        while not await store.complete(outcome.claim, answer):
            await self.yield_point(node)

    @rule(
        name=st.sampled_from(NODES),
        key=st.sampled_from("xxxy"),
        body=st.sampled_from(["1"] * 5 + ["2"]),
        fails=st.sampled_from([False, False, True]),
    )
    def call(self, name, key, body, fails):
        node = self.nodes[name]
        self.spawn(node, self.handle(node, key, body, fails))

    @rule(seconds=st.sampled_from([0.5, 3.0, GRACE_S]))
    def advance(self, seconds):
        self.timers.advance(seconds)

    @precondition(lambda self: any(n.store.held for n in self.nodes.values()))
    @rule()
    def release_undispatched(self):
        for node in self.nodes.values():
            for claim in node.store.held:
                self.spawn(node, node.store.release(claim))

    @rule(name=st.sampled_from(NODES))
    def clean(self, name):
        node = self.nodes[name]
        self.spawn(node, node.store.clean())

    @invariant()
    def runs_at_most_once(self):
        for key, requests in self.executed.items():
            assert len(requests) <= 1, f"{key} ran for {requests}"
            assert not self.refused & set(requests)

    def teardown(self):
        self.suspected.clear()
        while self.gate.late_writes:
            self.gate.apply_late_write(self.gate.late_writes[0])
        self.drain()
        for name in NODES:
            self.clean(name)
        self.drain()
        # No key remains in progress after all calls have ended.
        results = []

        async def ask(node, key):
            found = await node.store.claim("org", key, "1", "last")
            results.append((key, found))

        for _ in range(2):
            results.clear()
            for key in "xy":
                self.spawn(self.nodes["a"], ask(self.nodes["a"], key))
                self.drain()
            self.timers.advance(GRACE_S)
        for key, found in results:
            assert isinstance(
                found, Answered | Unresolved | Granted | KeyReused | InProgress
            )
            if isinstance(found, InProgress):
                # The claim was granted to the first round of requests.
                claims = {c.name for c in self.nodes["a"].store.held}
                assert claim_name("org", key) in claims
            if isinstance(found, Granted):
                assert not self.executed[key]
            if isinstance(found, Answered):
                assert found.answer == self.stored[key]
        self.runs_at_most_once()
        self.loop.close()


ClaimMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    database=None,
)
TestClaimMachine = ClaimMachine.TestCase


class TestClaimStore:
    """Guards the outcomes that are returned to the caller."""

    async def test_lost_answer_to_the_creation_is_settled(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        api.faults.lose_answers = 1
        store = make_store(api, timers)
        outcome = await store.claim("org", "k", "f", "r1")
        assert isinstance(outcome, Granted)
        assert api.calls.writes == 1

    async def test_claim_that_cannot_be_read_back_is_never_dispatched(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        store, peer = make_store(api, timers), make_store(api, timers, "b")
        api.faults.lose_answers = 1
        get = api.get

        async def refuse(kind, name):
            api.faults.down = True
            return await get(kind, name)

        api.get = refuse
        outcome = await store.claim("org", "k", "f", "r1")
        assert outcome == Unavailable(outcome.reason, not_run=True)
        api.get, api.faults.down = get, False
        assert isinstance(await peer.claim("org", "k", "f", "r2"), InProgress)
        await store.clean()
        assert isinstance(await peer.claim("org", "k", "f", "r3"), Granted)

    async def test_repeat_while_the_answer_waits_to_be_stored(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        store = make_store(api, timers)
        claim = (await store.claim("org", "k", "f", "r1")).claim
        assert await store.before_dispatch(claim)
        api.faults.down = True
        answer = StoredAnswer(201, body=b"done")
        assert not await store.complete(claim, answer)
        repeat = await store.claim("org", "k", "f", "r2")
        assert repeat == Answered(answer)
        api.faults.down = False
        assert await store.complete(claim, answer)
        assert not store.held
        peer = make_store(api, timers, "b")
        assert await peer.claim("org", "k", "f", "r3") == Answered(answer)
        assert isinstance(await peer.claim("org", "k", "g", "r4"), KeyReused)

    async def test_dead_owner_is_resolved_after_the_grace_time(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        live = {"a"}
        peer = make_store(api, timers, "b", 1, lambda name, _: name in live)
        store = make_store(api, timers)
        claim = (await store.claim("org", "k", "f", "r1")).claim
        assert await store.before_dispatch(claim)
        live.clear()
        assert isinstance(await peer.claim("org", "k", "f", "r2"), InProgress)
        timers.advance(GRACE_S)
        assert await peer.claim("org", "k", "f", "r3") == Unresolved()
        # The answer of an owner that was only partitioned is still stored.
        answer = StoredAnswer(201, body=b"late")
        assert await store.complete(claim, answer)
        assert await peer.claim("org", "k", "f", "r4") == Answered(answer)

    async def test_paused_owner_refuses_after_a_takeover(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        store = make_store(api, timers)
        peer = make_store(api, timers, "b", 1, lambda *_: False)
        claim = (await store.claim("org", "k", "f", "r1")).claim
        await peer.claim("org", "k", "f", "r2")
        timers.advance(GRACE_S)
        assert await peer.claim("org", "k", "f", "r3") == Unresolved()
        assert not await store.before_dispatch(claim)
        await store.clean()
        assert isinstance(await peer.claim("org", "k", "f", "r4"), Granted)

    async def test_release_only_before_dispatch(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        store, peer = make_store(api, timers), make_store(api, timers, "b")
        first = (await store.claim("org", "k", "f", "r1")).claim
        assert await store.release(first)
        assert not await store.before_dispatch(first)
        second = (await peer.claim("org", "k", "f", "r2")).claim
        assert await peer.before_dispatch(second)
        assert not await peer.release(second)
        assert isinstance(await store.claim("org", "k", "f", "r3"), InProgress)

    @pytest.mark.parametrize(("pause_s", "writes"), [(1.9, 1), (2.1, 2)])
    async def test_pause_before_dispatch(self, pause_s, writes):
        api, timers = MemoryObjectApi(), ManualTimers()
        store = make_store(api, timers)
        claim = (await store.claim("org", "k", "f", "r1")).claim
        timers.advance(pause_s)
        assert await store.before_dispatch(claim)
        assert api.calls.writes == writes

    async def test_answer_that_is_too_large_is_stored_without_its_body(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        store, peer = make_store(api, timers), make_store(api, timers, "b")
        claim = (await store.claim("org", "k", "f", "r1")).claim
        assert await store.before_dispatch(claim)
        noise = random.Random(1).randbytes(1_000_000)
        assert await store.complete(claim, StoredAnswer(201, body=noise))
        outcome = await peer.claim("org", "k", "f", "r2")
        assert outcome.answer == StoredAnswer(201, dropped=True)
