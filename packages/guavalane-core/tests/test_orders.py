"""Tests of orders to engines."""

from __future__ import annotations

import asyncio
import math

import pytest

from guavalane_core.exceptions import (
    LeaseLostError,
    ObjectApiUnavailableError,
    OrderConflictError,
    OrderFailedError,
    StaleOrderError,
)
from guavalane_core.leases import LeaseHolder
from guavalane_core.objects import MemoryObjectApi
from guavalane_core.orders import (
    DesiredState,
    EngineStatus,
    Intent,
    IntentStore,
    LoadSchedule,
    OrderSender,
)
from guavalane_core.timers import ManualTimers

DURATION_S = 9.0
OLD = DesiredState("assistant", "v1")
FIRST = DesiredState("assistant", "v2")
SECOND = DesiredState("assistant", "v3", adapters=("b", "a"))
RATE = 100.0


class Engines:
    """Engines in memory, shared by all senders."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.states = {}
        self.numbers = {}
        self.applied = []
        self.refused = 0
        self.refusing = set()
        self.loading = set()


class Calls:
    """Calls of one sender; a pause delays its orders before they arrive."""

    def __init__(self, engines):
        self.engines = engines
        self.running = asyncio.Event()
        self.running.set()
        self.fail_next = False
        self.unresponsive = set()
        self.reads = []

    async def read(self, endpoint):
        self.reads.append(endpoint)
        if endpoint in self.unresponsive:
            raise OrderFailedError("no answer")
        engines = self.engines
        return EngineStatus(
            engines.states.get(endpoint, OLD),
            endpoint in engines.loading,
            engines.numbers.get(endpoint, 0),
        )

    async def apply(self, endpoint, desired, fencing_number):
        await self.running.wait()
        engines = self.engines
        old = fencing_number < engines.numbers.get(endpoint, 0)
        if endpoint in engines.refusing or (engines.checks_fencing and old):
            engines.refused += 1
            raise StaleOrderError(endpoint)
        if engines.checks_fencing:
            engines.numbers[endpoint] = fencing_number
        engines.applied.append((endpoint, desired, fencing_number))
        engines.states[endpoint] = desired
        if self.fail_next:
            self.fail_next = False
            raise OrderFailedError("answer lost")


class Senders:
    """Two senders that share an object API and engines."""

    def __init__(self, checks_fencing):
        self.api, self.timers = MemoryObjectApi(), ManualTimers()
        self.engines = Engines(checks_fencing)
        self.calls = [Calls(self.engines) for _ in range(2)]
        self.leases = [
            LeaseHolder(self.api, self.timers, "orders", f"n{i}", i, DURATION_S)
            for i in range(2)
        ]
        self.senders = [
            OrderSender(
                self.api,
                self.timers,
                lease,
                calls,
                LoadSchedule(RATE),
                lambda _: checks_fencing,
            )
            for lease, calls in zip(self.leases, self.calls, strict=True)
        ]

    async def hand_over(self):
        """Lets the second sender acquire the lease of the paused first one."""
        assert not await self.leases[1].acquire()
        self.timers.advance(DURATION_S)
        assert await self.leases[1].acquire()


@pytest.fixture(params=[True, False], ids=["checks", "ignores"])
async def system(request):
    """Returns two senders, the first of which holds the lease."""
    system = Senders(request.param)
    assert await system.leases[0].acquire()
    return system


async def run_pending_tasks():
    """Lets tasks run until they wait."""
    for _ in range(20):
        await asyncio.sleep(0)


class TestOrderSender:
    """Guards against engines left in the state ordered by a former sender."""

    async def test_order_takes_effect_once(self, system):
        assert await system.senders[0].order("e1", FIRST)
        assert await system.senders[0].order("e1", FIRST)
        assert system.engines.applied == [("e1", FIRST, 1)]

    async def test_sender_without_the_lease_sends_nothing(self, system):
        with pytest.raises(LeaseLostError):
            await system.senders[1].order("e1", SECOND)
        assert system.engines.applied == []

    async def test_only_the_lease_holder_of_two_senders_succeeds(self, system):
        first, second = system.senders
        results = await asyncio.gather(
            first.order("e1", FIRST),
            second.order("e1", SECOND),
            return_exceptions=True,
        )
        assert results[0] is True
        assert isinstance(results[1], LeaseLostError)
        await system.hand_over()
        results = await asyncio.gather(
            first.order("e1", FIRST),
            second.order("e1", SECOND),
            return_exceptions=True,
        )
        assert isinstance(results[0], LeaseLostError)
        assert results[1] is True
        assert system.engines.states["e1"] == SECOND

    async def test_sender_paused_before_its_order_arrives(self, system):
        first, second = system.senders
        system.calls[0].running.clear()
        paused = asyncio.create_task(first.order("e1", FIRST))
        await run_pending_tasks()
        await system.hand_over()
        assert await second.order("e1", SECOND)
        system.calls[0].running.set()
        with pytest.raises(LeaseLostError):
            await paused
        if system.engines.checks_fencing:
            assert system.engines.refused == 1
        else:
            assert system.engines.states["e1"] == FIRST
        assert await second.reconcile() == []
        assert system.engines.states["e1"] == SECOND

    async def test_former_sender_cannot_change_an_intent(self, system):
        first, second = system.senders
        assert await first.order("e1", FIRST)
        await system.hand_over()
        assert await second.reconcile() == []
        with pytest.raises(LeaseLostError):
            await first.reconcile()
        stored = await system.api.get("orders", "e1")
        assert stored.body["fencing_number"] == 2

    async def test_successor_carries_out_recorded_intents(self, system):
        first, second = system.senders
        system.calls[0].running.clear()
        task = asyncio.create_task(first.order("e1", FIRST))
        await run_pending_tasks()
        task.cancel()
        await system.hand_over()
        assert await second.reconcile() == []
        assert system.engines.states["e1"] == FIRST

    async def test_late_order_to_an_engine_in_its_desired_state(self, system):
        # The engine already has the desired state, but one that checks fencing
        # numbers must receive the new holder's number before a late order of
        # the former holder arrives.
        first, second = system.senders
        assert await first.order("e1", FIRST)
        await system.hand_over()
        assert await second.reconcile() == []
        late = system.calls[0].apply("e1", SECOND, 1)
        if system.engines.checks_fencing:
            with pytest.raises(StaleOrderError):
                await late
        else:
            await late
            assert system.engines.states["e1"] == SECOND
            assert await second.reconcile() == []
        assert system.engines.states["e1"] == FIRST

    async def test_unknown_fencing_number_stops_only_its_engine(self, system):
        sender = system.senders[0]
        assert await sender.order("e2", FIRST)
        system.engines.refusing.add("e1")
        assert not await sender.order("e1", FIRST)
        system.engines.states["e2"] = OLD
        assert await sender.reconcile() == ["e1"]
        assert system.engines.states["e2"] == FIRST

    async def test_partial_reconcile_skips_confirmed_engines(self, system):
        sender = system.senders[0]
        assert await sender.order("e1", FIRST)
        system.calls[0].unresponsive.add("e2")
        assert not await sender.order("e2", FIRST)
        system.calls[0].reads.clear()
        assert await sender.reconcile(full=False) == ["e2"]
        assert system.calls[0].reads == ["e2"]
        assert await sender.reconcile() == ["e2"]
        assert sorted(system.calls[0].reads) == ["e1", "e2", "e2"]

    async def test_lost_response_is_reconciled(self, system):
        system.calls[0].fail_next = True
        assert not await system.senders[0].order("e1", FIRST)
        assert await system.senders[0].reconcile() == []
        assert len(system.engines.applied) == 1

    async def test_nothing_is_sent_without_a_recorded_intent(self, system):
        system.api.set_down(True)
        with pytest.raises(ObjectApiUnavailableError):
            await system.senders[0].order("e1", FIRST)
        assert system.engines.applied == []

    async def test_loads_stay_within_the_rate(self, system):
        sender = system.senders[0]
        assert await sender.order("e1", FIRST, load_bytes=200)
        assert not await sender.order("e2", FIRST, load_bytes=200)
        assert not await sender.order("e3", FIRST, load_bytes=200)
        role = DesiredState("assistant", "v1", role="decode")
        assert await sender.order("e4", role, load_bytes=200)
        system.timers.advance(2.0)
        assert await sender.reconcile() == ["e3"]
        system.timers.advance(2.0)
        assert await sender.reconcile() == []

    async def test_load_that_starts_late_delays_the_next(self, system):
        sender = system.senders[0]
        assert await sender.order("e1", FIRST, load_bytes=200)
        assert not await sender.order("e2", FIRST, load_bytes=200)
        assert not await sender.order("e3", FIRST, load_bytes=200)
        # Both loads are due, but only one may run.
        system.timers.advance(4.5)
        assert await sender.reconcile() == ["e3"]
        assert await system.leases[0].renew()
        system.timers.advance(1.9)
        assert await sender.reconcile() == ["e3"]
        system.timers.advance(0.1)
        assert await sender.reconcile() == []

    async def test_new_holder_waits_for_the_load_of_the_old_one(self, system):
        first, second = system.senders
        system.engines.loading.add("e2")
        assert not await first.order("e2", FIRST, load_bytes=200)
        assert not await first.order("e1", FIRST, load_bytes=200)
        await system.hand_over()
        assert await second.reconcile() == ["e1", "e2"]
        assert "e1" not in system.engines.states
        system.engines.loading.clear()
        system.timers.advance(2.0)
        assert await second.reconcile() == []

    async def test_load_without_a_known_rate_never_starts(self):
        schedule = LoadSchedule(lambda _: 0.0)
        assert schedule.reserve("e1", FIRST, 200, 0.0) == math.inf

    async def test_changed_order_gets_a_new_start(self, system):
        sender = system.senders[0]
        assert await sender.order("e1", FIRST, load_bytes=200)
        assert not await sender.order("e2", FIRST, load_bytes=200)
        system.timers.advance(2.0)
        assert not await sender.order("e2", SECOND, load_bytes=200)
        system.timers.advance(2.0)
        assert await sender.reconcile() == []


async def place(store, desired, by="anna", load_bytes=0):
    """Records an order as an operator's node does."""
    return await store.place(
        "e1", lambda _: Intent("e1", desired, load_bytes, 0, by=by)
    )


class RacingStore(IntentStore):
    """Store that runs another write between its read and its write."""

    def __init__(self, api, race):
        super().__init__(api)
        self.race = race

    async def write(self, intent, stored):
        race, self.race = self.race, None
        if race is not None:
            await race()
        await super().write(intent, stored)


class TestIntentStore:
    """Guards against lost updates between operators' orders."""

    async def test_order_of_another_node_is_carried_out(self, system):
        intent = await place(IntentStore(system.api), FIRST)
        assert (intent.fencing_number, intent.revision) == (0, 1)
        assert system.engines.applied == []
        assert await system.senders[0].reconcile(full=False) == []
        assert system.engines.applied == [("e1", FIRST, 1)]
        changed = await place(IntentStore(system.api), SECOND)
        assert (changed.fencing_number, changed.revision) == (1, 2)
        assert await system.senders[0].reconcile(full=False) == []
        assert system.engines.states["e1"] == SECOND

    async def test_repeated_order_is_not_written(self, system):
        store = IntentStore(system.api)
        first = await place(store, FIRST)
        before = await system.api.get("orders", "e1")
        assert await place(store, FIRST, by="ben") == first
        assert await system.api.get("orders", "e1") == before

    async def test_order_that_races_another_is_refused(self, system):
        other = IntentStore(system.api)
        store = RacingStore(system.api, lambda: place(other, SECOND, "ben"))
        with pytest.raises(OrderConflictError, match="by ben"):
            await place(store, FIRST)
        _, intent = await other.get("e1")
        assert (intent.desired, intent.by) == (SECOND, "ben")

    async def test_order_that_races_the_takeover_is_recorded(self, system):
        await place(IntentStore(system.api), FIRST)
        store = RacingStore(system.api, system.senders[0].reconcile)
        intent = await place(store, SECOND)
        assert (intent.fencing_number, intent.revision) == (1, 2)
        assert await system.senders[0].reconcile() == []
        assert system.engines.states["e1"] == SECOND
