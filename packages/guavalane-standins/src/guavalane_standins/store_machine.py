"""Base class of Hypothesis state machines for stores on the object API."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from guavalane_core.objects import MemoryObjectApi
from guavalane_core.requests import OwnerWatch
from guavalane_core.timers import ManualTimers
from guavalane_standins.gated import CallGate, CallOutcome, GatedObjectApi

NODES = ("a", "b", "c")
SETTLE_ITERATIONS = 12
DRAIN_ROUNDS = 500
MAX_CHOICE = 50


@attrs.define(eq=False)
class StoreNode:
    """The current process of a node and its tasks.

    Attributes:
      name: Name of the node.
      incarnation: Incarnation number of the process.
      store: Store under test.
      tasks: Running tasks that use the store.
    """

    name: str
    incarnation: int
    store: Any
    tasks: list[asyncio.Task] = attrs.field(factory=list)


class StoreMachine(RuleBasedStateMachine):
    """Interleaves the steps of three stores under the control of rules.

    Every object API call and every `yield_point` blocks until a rule resumes
    it, so that faults, pauses, crashes and takeovers can happen between any two
    steps.

    Args:
      make_store: Creates a store from an object API, timers and an owner
        watch.
    """

    def __init__(
        self,
        make_store: Callable[[GatedObjectApi, ManualTimers, OwnerWatch], Any],
    ) -> None:
        super().__init__()
        self._make_store = make_store
        self.loop = asyncio.new_event_loop()
        self.timers = ManualTimers()
        self.gate = CallGate(MemoryObjectApi())
        self.blocked_tasks: list[tuple[str, asyncio.Future]] = []
        self.suspected: set[str] = set()
        self.nodes: dict[str, StoreNode] = {}
        for name in NODES:
            self._start_process(name, 1)

    def _start_process(self, name: str, incarnation: int) -> None:
        # Without a grace period, takeovers are frequent and often happen while
        # the owner is still alive.
        owners = OwnerWatch(name, incarnation, self._is_live, self.timers, 0.0)
        api = GatedObjectApi(self.gate, name)
        store = self._make_store(api, self.timers, owners)
        self.nodes[name] = StoreNode(name, incarnation, store)

    def _is_live(self, name: str, incarnation: int) -> bool:
        is_current = self.nodes[name].incarnation == incarnation
        return is_current and name not in self.suspected

    def settle(self) -> None:
        """Runs all tasks until they block, and raises their exceptions."""

        async def run() -> None:
            for _ in range(SETTLE_ITERATIONS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run())
        for node in self.nodes.values():
            for task in [t for t in node.tasks if t.done()]:
                node.tasks.remove(task)
                task.result()

    async def yield_point(self, node: StoreNode) -> None:
        """Blocks a task between two steps until a rule resumes it."""
        future = self.loop.create_future()
        self.blocked_tasks.append((node.name, future))
        await future

    def spawn(
        self, node: StoreNode, coroutine: Coroutine[Any, Any, None]
    ) -> None:
        """Starts a task on a node."""
        node.tasks.append(self.loop.create_task(coroutine))
        self.settle()

    def drain(self) -> None:
        """Answers calls and resumes tasks until no task is blocked.

        Raises:
          AssertionError: Tasks are still blocked after `DRAIN_ROUNDS` rounds.
        """
        for _ in range(DRAIN_ROUNDS):
            if not self.gate.pending and not self.blocked_tasks:
                return
            for call in list(self.gate.pending):
                self.gate.complete(call, CallOutcome.ANSWERED)
            for _, future in self.blocked_tasks:
                future.set_result(None)
            self.blocked_tasks.clear()
            self.settle()
        raise AssertionError(
            f"tasks still make calls after {DRAIN_ROUNDS} rounds"
        )

    @precondition(lambda self: self.gate.pending)
    @rule(
        index=st.integers(0, MAX_CHOICE),
        outcome=st.sampled_from([CallOutcome.ANSWERED] * 4 + list(CallOutcome)),
    )
    def end_call(self, index: int, outcome: CallOutcome) -> None:
        """Completes one pending call with any outcome."""
        pending = self.gate.pending
        self.gate.complete(pending[index % len(pending)], outcome)
        self.settle()

    @precondition(lambda self: self.gate.pending)
    @rule()
    def end_all_calls(self) -> None:
        """Answers pending calls until there are none."""
        while self.gate.pending:
            self.gate.complete(self.gate.pending[0], CallOutcome.ANSWERED)
            self.settle()

    @precondition(lambda self: self.gate.late_writes)
    @rule(index=st.integers(0, MAX_CHOICE))
    def apply_late_write(self, index: int) -> None:
        """Executes a delayed write."""
        self.gate.apply_late_write(
            self.gate.late_writes[index % len(self.gate.late_writes)]
        )

    @precondition(lambda self: self.blocked_tasks)
    @rule(index=st.integers(0, MAX_CHOICE))
    def resume_task(self, index: int) -> None:
        """Resumes one blocked task."""
        _, future = self.blocked_tasks.pop(index % len(self.blocked_tasks))
        future.set_result(None)
        self.settle()

    @rule(name=st.sampled_from(NODES))
    def toggle_suspicion(self, name: str) -> None:
        """Toggles whether the other nodes consider a node dead."""
        self.suspected ^= {name}

    @rule(name=st.sampled_from(NODES), keep_writes=st.booleans())
    def crash(self, name: str, keep_writes: bool) -> None:
        """Kills the process of a node and starts a new incarnation."""
        node = self.nodes[name]
        for task in node.tasks:
            task.cancel()
        node.tasks.clear()
        self.blocked_tasks = [t for t in self.blocked_tasks if t[0] != name]
        self.gate.crash(name, keep_writes=keep_writes)
        self.settle()
        # Discards calls made by tasks while they handled the cancellation: a
        # dead process makes no calls.
        self.gate.crash(name, keep_writes=False)
        self._start_process(name, node.incarnation + 1)
