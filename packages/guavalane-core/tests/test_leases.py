"""Tests of leases."""

from __future__ import annotations

import asyncio
import contextlib

import hypothesis
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectApiUnavailableError,
    WriteOutcomeUnknownError,
)
from guavalane_core.leases import LeaseHolder, choose_candidates
from guavalane_core.leases.candidates import CANDIDATE_COUNT
from guavalane_core.membership import Member
from guavalane_core.objects import BudgetedObjectApi, MemoryObjectApi
from guavalane_core.timers import ManualTimers

DURATION_S = 9.0
HOLDERS = 3


class HolderTimers(ManualTimers):
    """Clocks of one VM, derived from a common base clock."""

    def __init__(self, base):
        super().__init__()
        self._base = base
        self.suspended_s = 0.0

    def now(self):
        return self._base.now() - self.suspended_s

    def wall(self):
        return self._base.now() + self._wall_offset


class GatedApi:
    """Delays calls and their responses until the test releases them."""

    def __init__(self, api):
        self._api = api
        self.arriving = []
        self.answering = []

    async def get(self, kind, name):
        return await self._pass(self._api.get, kind, name)

    async def create(self, *args):
        return await self._pass(self._api.create, *args)

    async def update(self, *args):
        return await self._pass(self._api.update, *args)

    async def _pass(self, function, *args):
        loop = asyncio.get_running_loop()
        answer = loop.create_future()
        self.arriving.append((function, args, answer))
        return await answer

    async def execute(self, index):
        function, args, answer = self.arriving.pop(index)
        try:
            result, error = await function(*args), None
        except ObjectApiError as raised:
            result, error = None, raised
        self.answering.append((function, answer, result, error))

    def answer(self, index, lost):
        function, answer, result, error = self.answering.pop(index)
        if answer.done():
            return
        if lost:
            error = self._lost(function)
        if error is not None:
            answer.set_exception(error)
        else:
            answer.set_result(result)

    def time_out(self, index):
        """Times out a call that may still take effect later."""
        function, _, answer = self.arriving[index]
        if not answer.done():
            answer.set_exception(self._lost(function))

    def _lost(self, function):
        if function == self._api.get:
            return ObjectApiUnavailableError("timed out")
        return WriteOutcomeUnknownError("timed out")


class LeaseMachine(RuleBasedStateMachine):
    """Paused holders with late, lost and reordered calls."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.base = ManualTimers()
        self.api = MemoryObjectApi()
        self.gate = GatedApi(self.api)
        self.clocks = [HolderTimers(self.base) for _ in range(HOLDERS)]
        self.holders = [
            LeaseHolder(self.gate, clock, "mover", f"n{i}", i, DURATION_S)
            for i, clock in enumerate(self.clocks)
        ]
        self.tasks = [None] * HOLDERS
        self.highest = 0
        self.last_holder = None

    def teardown(self):
        for task in self.tasks:
            if task is not None:
                task.cancel()
        self.settle()
        self.loop.close()

    def settle(self):
        async def run():
            for _ in range(8):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run())

    async def call(self, function):
        with contextlib.suppress(ObjectApiError):
            await function()

    def start(self, index, function):
        if self.tasks[index] is None or self.tasks[index].done():
            self.tasks[index] = self.loop.create_task(self.call(function))
            self.settle()

    @rule(index=st.integers(0, HOLDERS - 1))
    def acquire_or_renew(self, index):
        self.start(index, self.holders[index].acquire)

    @rule(index=st.integers(0, HOLDERS - 1))
    def acquire_promptly(self, index):
        self.start(index, self.holders[index].acquire)
        while self.gate.arriving:
            self.loop.run_until_complete(self.gate.execute(0))
            while self.gate.answering:
                self.gate.answer(0, False)
            self.settle()

    @rule(index=st.integers(0, HOLDERS - 1))
    def release(self, index):
        self.start(index, self.holders[index].release)

    @precondition(lambda self: self.gate.arriving)
    @rule(data=st.data())
    def execute(self, data):
        index = data.draw(st.integers(0, len(self.gate.arriving) - 1))
        self.loop.run_until_complete(self.gate.execute(index))

    @precondition(lambda self: self.gate.arriving)
    @rule(data=st.data())
    def time_out(self, data):
        index = data.draw(st.integers(0, len(self.gate.arriving) - 1))
        self.gate.time_out(index)
        self.settle()

    @precondition(lambda self: self.gate.answering)
    @rule(data=st.data(), lost=st.booleans())
    def answer(self, data, lost):
        index = data.draw(st.integers(0, len(self.gate.answering) - 1))
        self.gate.answer(index, lost)
        self.settle()

    @rule(seconds=st.sampled_from([0.5, 2.0, DURATION_S / 2, DURATION_S]))
    def advance(self, seconds):
        self.base.advance(seconds)

    @rule(seconds=st.sampled_from([-3600.0, -1.0, 1.0, 3600.0]))
    def step_first_wall_clock(self, seconds):
        self.clocks[0].step_wall(seconds)

    @rule(seconds=st.sampled_from([1.5, 5.0, 60.0]))
    def suspend_second_vm(self, seconds):
        self.base.advance(seconds)
        self.clocks[1].suspended_s += seconds

    @invariant()
    def at_most_one_valid_holder(self):
        valid_holders = [h for h in self.holders if h.check()]
        assert len(valid_holders) <= 1
        for holder in valid_holders:
            number = holder.fencing_number
            assert number >= self.highest
            if holder is not self.last_holder:
                assert number > self.highest
            self.highest, self.last_holder = number, holder


class RestoredLeaseMachine(LeaseMachine):
    """The same with an object API that comes back from older copies."""

    def __init__(self):
        super().__init__()
        self.earlier = self.api.take_copy()
        self.numbers = {}
        # A store with eras tells one from its first response on.
        self.api.restore(self.earlier)

    @rule()
    def take_copy(self):
        self.earlier = self.api.take_copy()

    @rule()
    def restore(self):
        self.api.restore(self.earlier)

    @rule(index=st.integers(0, HOLDERS - 1))
    def restart(self, index):
        if self.tasks[index] is not None:
            self.tasks[index].cancel()
            self.settle()
        self.incarnation += 1
        self.holders[index] = LeaseHolder(
            self.gate,
            self.clocks[index],
            "mover",
            f"n{index}",
            self.incarnation,
            DURATION_S,
            restarts_take_over=True,
        )

    incarnation = HOLDERS

    @invariant()
    def a_number_has_one_holder(self):
        for index, holder in enumerate(self.holders):
            if holder.check():
                owner = (index, holder._incarnation)
                number = holder.fencing_number
                assert self.numbers.setdefault(number, owner) == owner


RestoredLeaseMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    database=None,
)


class TestRestoredLeaseMachine(RestoredLeaseMachine.TestCase):
    """Guards against two holders or a repeated number after a return."""


LeaseMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    database=None,
)


class TestLeaseMachine(LeaseMachine.TestCase):
    """Guards against two holders with a valid lease at the same time."""


def make_holders(count=2):
    """Returns holders of one lease with their API and timers."""
    api, timers = MemoryObjectApi(), ManualTimers()
    return (
        api,
        timers,
        [
            LeaseHolder(api, timers, "mover", f"n{i}", i, DURATION_S)
            for i in range(count)
        ],
    )


class TestLeaseHolder:
    """Guards against leases that are never taken over or wrongly kept."""

    async def test_successor_waits_for_the_full_duration(self):
        _, timers, (first, second) = make_holders()
        assert await first.acquire()
        assert not await second.acquire()
        timers.advance(DURATION_S * 0.7)
        assert not first.check()
        assert not await second.acquire()
        timers.advance(DURATION_S * 0.3)
        assert await second.acquire()
        assert second.fencing_number == 2
        assert not await first.renew()

    async def test_release_needs_no_wait(self):
        _, _, (first, second) = make_holders()
        assert await first.acquire()
        await first.release()
        assert not first.check()
        assert await second.acquire()
        assert second.fencing_number == 2

    async def test_holder_with_a_lost_answer_goes_on(self):
        api, _, (first, _) = make_holders()
        api.faults.lose_answers = 1
        assert await first.acquire()
        api.faults.lose_writes = 1
        assert await first.renew()
        assert first.fencing_number == 1

    async def test_slow_answer_gives_no_time_to_act(self):
        timers, gate = ManualTimers(), GatedApi(MemoryObjectApi())
        first = LeaseHolder(gate, timers, "mover", "n0", 0, DURATION_S)
        task = asyncio.create_task(first.acquire())
        await asyncio.sleep(0)
        timers.advance(DURATION_S)
        for _ in range(2):
            await gate.execute(0)
            gate.answer(0, False)
            for _ in range(3):
                await asyncio.sleep(0)
        assert not await task

    async def test_loop_takes_over_from_a_stopped_loop(self):
        _, timers, (first, second) = make_holders()
        changes = []
        first.start(changes.append)
        second.start()
        await timers.run_for(DURATION_S * 2, 0.5)
        assert first.check()
        await first.stop()
        await timers.run_for(DURATION_S / 2, 0.5)
        assert second.check()
        assert changes == [True]
        await second.stop()

    async def test_only_candidates_try_and_a_holder_keeps_its_lease(self):
        api, timers, (first, second) = make_holders()
        first.start(is_candidate=lambda: timers.now() < 1)
        second.start(is_candidate=lambda: False)
        await timers.run_for(DURATION_S * 3, 0.5)
        assert first.check()
        assert not second.check()
        assert api.calls.reads == 1
        await first.stop()
        await second.stop()

    async def test_leases_are_renewed_within_the_smallest_share(self):
        api, timers = MemoryObjectApi(), ManualTimers()
        budget = BudgetedObjectApi(api, timers, lambda: 550, 300, 1500)
        holders = [
            LeaseHolder(budget.priority, timers, name, "n0", 1, DURATION_S)
            for name in ("moves", "orders", "fleet")
        ]
        for holder in holders:
            holder.start()
        for _ in range(20):
            await timers.run_for(DURATION_S / 9, 0.5)
            assert all(holder.check() for holder in holders)
        for holder in holders:
            await holder.stop()

    def test_candidates_are_few_and_the_same_everywhere(self):
        members = [Member(f"n{i}", 1, f"n{i}:1", "z") for i in range(20)]
        chosen = choose_candidates(members, "moves")
        assert len(chosen) == CANDIDATE_COUNT
        assert choose_candidates(members[::-1], "moves") == chosen
        left = [m for m in members if m.name != chosen[0]]
        assert choose_candidates(left, "moves")[:2] == chosen[1:]


class TestTakeoverDelay:
    """Guards against two holders that act shortly after one another."""

    async def test_a_released_lease_stays_free_for_the_delay(self):
        timers = ManualTimers()
        api = MemoryObjectApi()
        first, second = (
            LeaseHolder(api, timers, "l", name, 1, 6.0, takeover_delay_s=3.0)
            for name in ("a", "b")
        )
        assert await first.acquire()
        number = first.fencing_number
        await first.release()
        assert not await second.acquire()
        timers.advance(2.9)
        assert not await second.acquire()
        timers.advance(0.2)
        assert await second.acquire()
        assert second.fencing_number == number + 1


class TestReturnOfAnOlderStore:
    """Guards against a lease whose last holder the store has forgotten."""

    @pytest.fixture
    def api(self):
        """Object API with eras, in its first one."""
        api = MemoryObjectApi()
        api.restore(api.take_copy())
        return api

    def make(self, api, timers, name, incarnation=1):
        """Returns a holder."""
        return LeaseHolder(
            api, timers, "l", name, incarnation, 6.0, restarts_take_over=True
        )

    async def acquire_first(self, api, timers, holder):
        """Lets a holder acquire a lease that does not exist."""
        assert not await holder.acquire()
        timers.advance(6.1)
        assert await holder.acquire()

    @pytest.mark.parametrize("is_stored", [True, False])
    async def test_a_valid_holder_keeps_lease_and_number(self, api, is_stored):
        timers = ManualTimers()
        first = self.make(api, timers, "a")
        earlier = api.take_copy()
        await self.acquire_first(api, timers, first)
        if is_stored:
            earlier = api.take_copy()
        number = first.fencing_number
        api.restore(earlier)
        other = self.make(api, timers, "b")
        assert not await other.acquire()
        timers.advance(3.0)
        assert await first.renew()
        assert first.fencing_number == number
        timers.advance(3.1)
        assert not await other.acquire()

    @pytest.mark.parametrize("was_released", [True, False])
    async def test_another_node_waits_and_gets_a_new_number(
        self, api, was_released
    ):
        """Guards against a lease that was taken in the lost seconds."""
        timers = ManualTimers()
        first, second, third = (self.make(api, timers, n) for n in "abc")
        await self.acquire_first(api, timers, first)
        if was_released:
            await first.release()
        earlier = api.take_copy()
        await first.release()
        assert await second.acquire()
        number = second.fencing_number
        api.restore(earlier)
        assert not await third.acquire()
        timers.advance(5.9)
        assert not await third.acquire()
        timers.advance(0.2)
        assert await third.acquire()
        assert third.fencing_number > number
        assert not await second.renew()

    async def test_a_restarted_holder_does_not_take_over_at_once(self, api):
        timers = ManualTimers()
        first, second = (self.make(api, timers, n) for n in "ab")
        await self.acquire_first(api, timers, first)
        earlier = api.take_copy()
        await first.release()
        assert await second.acquire()
        api.restore(earlier)
        again = self.make(api, timers, "a", 2)
        assert not await again.acquire()
        assert second.check()

    async def test_a_node_whose_first_contact_is_later_waits(self, api):
        timers = ManualTimers()
        earlier = api.take_copy()
        first, second = (self.make(api, timers, n) for n in "ab")
        await self.acquire_first(api, timers, first)
        api.restore(earlier)
        assert not await second.acquire()
        assert first.check()

    async def test_a_holder_whose_validity_ended_waits(self, api):
        timers = ManualTimers()
        first, second = (self.make(api, timers, n) for n in "ab")
        await self.acquire_first(api, timers, first)
        earlier = api.take_copy()
        assert not await second.acquire()
        timers.advance(6.1)
        assert await second.acquire()
        api.restore(earlier)
        assert not await first.renew()
        assert not await first.acquire()
        assert second.check()

    async def test_a_lease_of_an_earlier_build_is_read(self, api):
        timers = ManualTimers()
        holder = self.make(api, timers, "a")
        body = holder._body(7, 0)
        del body["era"]
        await api.create("leases", "l", {**body, "identity": "b-1"})
        assert not await holder.acquire()
        timers.advance(6.1)
        assert await holder.acquire()


class TestRestart:
    """Guards against leases without a holder after a restart."""

    def make(self, api, timers, name, incarnation, **kwargs):
        """Returns a holder."""
        return LeaseHolder(api, timers, "l", name, incarnation, 6.0, **kwargs)

    async def test_a_later_process_of_the_holder_takes_over(self):
        timers = ManualTimers()
        api = MemoryObjectApi()
        first = self.make(api, timers, "a", 1)
        assert await first.acquire()
        number = first.fencing_number
        again = self.make(api, timers, "a", 2, restarts_take_over=True)
        assert await again.acquire()
        assert again.fencing_number == number + 1
        assert not await first.renew()

    async def test_another_node_waits(self):
        timers = ManualTimers()
        api = MemoryObjectApi()
        assert await self.make(api, timers, "a", 1).acquire()
        other = self.make(api, timers, "b", 9, restarts_take_over=True)
        assert not await other.acquire()

    async def test_a_process_with_an_older_number_waits(self):
        """A clock that was set back leads to a lower incarnation."""
        timers = ManualTimers()
        api = MemoryObjectApi()
        assert await self.make(api, timers, "a", 5).acquire()
        again = self.make(api, timers, "a", 4, restarts_take_over=True)
        assert not await again.acquire()
