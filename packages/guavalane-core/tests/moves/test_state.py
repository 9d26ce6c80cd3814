"""Tests of the state of a move and of the shares that nodes apply."""

from __future__ import annotations

import attrs
import hypothesis
import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from guavalane_core.configuration import Deployment, MoveRule, Version
from guavalane_core.messages import Veto
from guavalane_core.moves import (
    WINDOW_S,
    AttemptCounts,
    DeadlineClock,
    EndMove,
    MovePlan,
    MoveState,
    RaiseVeto,
    Stage,
    StepShares,
    VetoSet,
    effective_shares,
    make_veto,
    rollback_shares,
    stage_shares,
    to_message,
    window_index,
)
from guavalane_core.timers import ManualTimers

WITHIN_S = 60.0
SHARES = (0.1, 0.5, 0.9)


def make_plan(deadline_s: float, at_deadline: str = "undo") -> MovePlan:
    """Returns a plan with three short stages."""
    return MovePlan(
        name="m",
        deployment="d",
        old="v1",
        new="v2",
        generation=1,
        routes=("r",),
        sequence="quick",
        stages=tuple(
            Stage(
                share=share,
                requests=230,
                tolerance=0.02,
                hold_s=6.0,
                expected_s=6.0,
            )
            for share in SHARES
        ),
        warm_up_s=0.0,
        deadline_s=deadline_s,
        at_deadline=at_deadline,
        expected_s=30.0,
        requests_per_s=500.0,
        old_endpoints=1,
        new_endpoints=1,
        cost_endpoint_hours=0.0,
        load_factor=1.0,
        rollback=(),
        made_by="",
        made_s=0.0,
    )


def make_deployment(shares: dict, move: MoveRule | None) -> Deployment:
    """Returns a deployment with these shares."""
    return Deployment(
        versions={k: Version(share=v) for k, v in shares.items()}, move=move
    )


def make_counts(requests: int, errors: int) -> AttemptCounts:
    """Returns counts of attempts that all have the same latency."""
    result = AttemptCounts(requests=requests, errors=errors)
    result.latency[10] = requests
    return result


def veto(origin: str, observed_s: float = 1.0) -> Veto:
    """Returns a veto of the new version."""
    return Veto(
        move="m",
        deployment="d",
        version="v2",
        origin=origin,
        reason="errors",
        observed_s=observed_s,
    )


class TestVetoSet:
    """Guards against veto sets that depend on the order of arrival."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
    @hypothesis.given(
        st.lists(st.tuples(st.integers(0, 20), st.integers(0, 5))),
        st.randoms(use_true_random=False),
    )
    def test_merge_in_any_order(self, entries, rng):
        vetoes = [veto(f"n{n}", float(at)) for n, at in entries]
        first, second = VetoSet(), VetoSet()
        for item in vetoes:
            first.offer(item)
        rng.shuffle(vetoes)
        for item in vetoes + vetoes:
            second.offer(item)
        assert first.all == second.all


class TestEffectiveShares:
    """Guards against shares that rise because of a fault or a clock step."""

    MOVE = MoveRule(name="m", old="v1", new="v2", deadline_s=100.0)

    def test_other_versions_keep_their_share(self):
        shares = {"v0": 0.2, "v1": 0.3, "v2": 0.5}
        found = effective_shares(
            make_deployment(shares, self.MOVE), {"v2"}, False
        )
        assert found == {"v0": 0.2, "v1": 0.8, "v2": 0.0}

    def test_keep_rule_leaves_shares_but_follows_vetoes(self):
        keep = attrs.evolve(self.MOVE, at_deadline="keep")
        deployment = make_deployment({"v1": 0.5, "v2": 0.5}, keep)
        assert effective_shares(deployment, (), True)["v2"] == 0.5
        assert effective_shares(deployment, {"v2"}, True)["v2"] == 0

    def test_veto_of_the_old_version_changes_nothing(self):
        deployment = make_deployment({"v1": 0.5, "v2": 0.5}, self.MOVE)
        assert effective_shares(deployment, {"v1"}, False)["v1"] == 0.5

    def test_step_of_the_wall_clock_does_not_move_a_deadline(self):
        clock = DeadlineClock()
        clock.follow([self.MOVE], now_s=0.0, wall_s=90.0)
        clock.follow([self.MOVE], now_s=5.0, wall_s=9000.0)
        assert not clock.passed(self.MOVE, 9.9)
        clock.follow([self.MOVE], now_s=11.0, wall_s=0.0)
        assert clock.passed(self.MOVE, 11.0)


class MoveMachine(RuleBasedStateMachine):
    """Leader and two nodes under injected faults."""

    @initialize(
        at_deadline=st.sampled_from(["undo", "keep"]),
        errors=st.sampled_from([0, 0, 60, 120]),
        vetoing=st.booleans(),
        share=st.sampled_from([0.0, *SHARES]),
        api_up=st.booleans(),
    )
    def begin(self, at_deadline, errors, vetoing, share, api_up):
        """Starts with a move in an arbitrary stage."""
        self.errors = errors
        self.vetoing = vetoing
        self.timers = ManualTimers()
        self.plan = make_plan(self.timers.wall() + WITHIN_S, at_deadline)
        self.stored = make_deployment(
            {"v1": 1 - share, "v2": share}, self.plan.rule()
        )
        self.api_up = api_up
        self.outcomes = []
        self.vetoes = [VetoSet(), VetoSet()]
        self.seen = [self.stored, self.stored]
        self.clocks = [DeadlineClock(), DeadlineClock()]
        self.new_leader()
        for node in (0, 1):
            self.deliver(node)
        self.before = self.shares()

    def new_leader(self):
        """Replaces the leader, as after its death."""
        self.leader = None
        if self.stored.move is not None:
            self.leader = MoveState(
                "d", self.stored.move, self.plan, self.timers.wall()
            )
            self.leader.follow(
                self.stored, self.timers.now(), self.timers.wall()
            )

    def deliver(self, node):
        """Delivers the stored configuration to a node."""
        self.seen[node] = self.stored
        rules = [self.stored.move] if self.stored.move else []
        self.clocks[node].follow(rules, self.timers.now(), self.timers.wall())

    def shares(self):
        """Returns the share of the new version on each node."""
        return [
            effective_shares(
                self.seen[n],
                self.vetoes[n].versions("m"),
                self.seen[n].move is not None
                and self.clocks[n].passed(self.seen[n].move, self.timers.now()),
            )["v2"]
            for n in (0, 1)
        ]

    def execute(self, command):
        """Executes a command; changes are stored if the object API is up."""
        if isinstance(command, RaiseVeto):
            self.vetoes[0].offer(make_veto(command, "n0", self.timers.wall()))
        if not self.api_up:
            return
        shares = {k: v.share for k, v in self.stored.versions.items()}
        move = self.stored.move
        if isinstance(command, StepShares):
            shares = stage_shares(shares, "v1", "v2", command.share)
        elif isinstance(command, EndMove):
            assert self.stored.move is not None
            self.outcomes.append(command.outcome)
            move = None
            if command.outcome == "done":
                assert self.timers.wall() < self.plan.deadline_s
                shares = stage_shares(shares, "v1", "v2", 1.0)
            elif command.outcome == "undone":
                shares = rollback_shares(shares, "v1", "v2")
        else:
            return
        self.stored = make_deployment(shares, move)
        if move is None:
            self.leader = None
        else:
            self.leader.follow(
                self.stored, self.timers.now(), self.timers.wall()
            )

    @rule(seconds=st.sampled_from([5, 15, 30]), followers=st.integers(0, 2))
    def serve(self, seconds, followers):
        """Reports evidence and runs the leader every second.

        Args:
          seconds: Duration in seconds.
          followers: Number of nodes that then receive the configuration.
        """
        for _ in range(seconds):
            if self.leader is not None:
                window = window_index(self.timers.wall())
                for version, failed in (("v1", 0), ("v2", self.errors)):
                    message = to_message(
                        "m", version, "r", window, make_counts(240, failed)
                    )
                    self.leader.on_evidence("n0", message, self.timers.wall())
            self.timers.advance(1.0)
            if self.leader is not None:
                for command in self.leader.on_timer(
                    self.timers.now(), self.timers.wall(), self.vetoes[0]
                ):
                    self.execute(command)
        if self.api_up:
            for node in range(followers):
                self.deliver(node)
                self.before[node] = self.shares()[node]

    @precondition(lambda self: self.vetoing)
    @rule(node=st.sampled_from([0, 1]), passed_on=st.booleans())
    def raise_veto(self, node, passed_on):
        """Raises a veto on one node and optionally sends it to the other."""
        self.vetoes[node].offer(veto(f"n{node}"))
        if passed_on:
            for item in self.vetoes[node].all:
                self.vetoes[1 - node].offer(item)

    @rule(seconds=st.sampled_from([-500.0, 0.0, 500.0]), api_up=st.booleans())
    def disturb(self, seconds, api_up):
        """Kills the leader, steps wall clocks, starts or ends an outage."""
        self.api_up = api_up
        self.new_leader()
        for n in (0, 1):
            move = self.seen[n].move
            self.clocks[n].follow(
                [move] if move else [],
                self.timers.now(),
                self.timers.wall() + seconds,
            )

    @invariant()
    def shares_rise_only_by_the_object_api(self):
        """Shares do not rise until a node receives a configuration."""
        now = self.shares()
        assert all(n <= b for n, b in zip(now, self.before, strict=True))
        self.before = now

    @invariant()
    def vetoes_are_followed(self):
        """A node that knows a veto sends no traffic to the new version."""
        for node, share in enumerate(self.shares()):
            if self.seen[node].move is not None and self.vetoes[node].all:
                assert share == 0

    @invariant()
    def at_most_one_outcome(self):
        """A move has at most one outcome."""
        assert len(self.outcomes) <= 1
        if self.outcomes == ["done"]:
            assert self.stored.versions["v2"].share == 1

    @invariant()
    def deadline_decides(self):
        """After the deadline, nodes and leader apply the deadline action."""
        if self.timers.wall() < self.plan.deadline_s:
            return
        for node, share in enumerate(self.shares()):
            if self.seen[node].move is None:
                continue
            if self.plan.at_deadline == "undo":
                assert share == 0
        if self.api_up and self.leader is not None:
            # A decision that could not be stored is retried after 2 s.
            for _ in range(3):
                self.timers.advance(1.0)
                if self.leader is None:
                    break
                for command in self.leader.on_timer(
                    self.timers.now(), self.timers.wall(), self.vetoes[0]
                ):
                    self.execute(command)
            assert self.outcomes
            assert self.stored.move is None


MoveMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=200, stateful_step_count=30, deadline=None
)


class TestMoveMachine(MoveMachine.TestCase):
    """Guards the invariants of a move under faults."""


class TestMoveState:
    """Guards against moves that do not end, or end with the wrong outcome."""

    def run(self, timers, state, stored, errors=0, seconds=60):
        """Runs a move with equal traffic and returns the commands."""
        commands = []
        for _ in range(seconds):
            window = window_index(timers.wall())
            for version, failed in (("v1", 0), ("v2", errors)):
                state.on_evidence(
                    "n",
                    to_message(
                        "m", version, "r", window, make_counts(200, failed)
                    ),
                    timers.wall(),
                )
            timers.advance(1.0)
            for command in state.on_timer(
                timers.now(), timers.wall(), VetoSet()
            ):
                commands.append(command)
                if isinstance(command, EndMove):
                    return commands
                if isinstance(command, StepShares):
                    shares = stage_shares(
                        {"v1": 1.0, "v2": 0.0}, "v1", "v2", command.share
                    )
                    stored = make_deployment(shares, stored.move)
                    state.follow(stored, timers.now(), timers.wall())
        return commands

    def begin(self):
        """Returns the timers, state and deployment of a new move."""
        timers = ManualTimers()
        plan = make_plan(timers.wall() + WITHIN_S)
        stored = make_deployment({"v1": 1.0, "v2": 0.0}, plan.rule())
        state = MoveState("d", plan.rule(), plan, timers.wall())
        state.follow(stored, timers.now(), timers.wall())
        return timers, state, stored

    def test_good_version_is_done(self):
        commands = self.run(*self.begin())
        steps = [c.share for c in commands if isinstance(c, StepShares)]
        assert steps == list(SHARES)
        assert commands[-1].outcome == "done"

    def test_bad_version_is_vetoed_and_undone(self):
        commands = self.run(*self.begin(), errors=100)
        assert [type(c) for c in commands][-2:] == [RaiseVeto, EndMove]
        assert commands[-1].outcome == "undone"
        assert "attempts that fail on route r" in commands[-1].reason

    def test_without_evidence_no_stage_passes(self):
        timers, state, stored = self.begin()
        state.follow(
            make_deployment({"v1": 0.9, "v2": 0.1}, stored.move),
            timers.now(),
            timers.wall(),
        )
        commands = []
        while timers.now() < WITHIN_S - 1:
            timers.advance(1.0)
            commands += state.on_timer(timers.now(), timers.wall(), VetoSet())
        assert not any(isinstance(c, StepShares | EndMove) for c in commands)

    def test_late_evidence_counts_if_its_reporter_is_a_tick_behind(self):
        timers, state, stored = self.begin()
        state.follow(
            make_deployment({"v1": 0.9, "v2": 0.1}, stored.move),
            timers.now(),
            timers.wall(),
        )
        timers.advance(6.0)
        window = window_index(timers.wall())
        timers.advance(WINDOW_S + 2.0)
        state.on_timer(timers.now(), timers.wall(), VetoSet())
        message = to_message("m", "v2", "r", window, make_counts(7, 0))
        state.on_evidence("n", message, timers.wall())
        timers.advance(2.0)
        state.on_timer(timers.now(), timers.wall(), VetoSet())
        assert "7 requests with v2" in state.progress(timers.now())

    def test_move_is_not_done_when_nodes_may_already_undo_it(self):
        timers, state, stored = self.begin()
        timers.advance(WITHIN_S - 10.0)
        state.follow(
            make_deployment({"v1": 0.1, "v2": 0.9}, stored.move),
            timers.now(),
            timers.wall(),
        )
        commands = self.run(timers, state, stored, seconds=10)
        assert [c.outcome for c in commands] == ["undone"]
