"""Tests of version moves while the store comes back from a copy."""

from __future__ import annotations

import random

import pytest

from guavalane_core.exceptions import ConfigurationError
from guavalane_core.forwarding import MovePhase, VersionMove
from guavalane_core.objects import ObjectEvent, StoredObject
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.restore_period import RESTORE_PERIOD_S
from guavalane_entry.gateway.sinks import MoveSink
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.gateway_rig import make_settings

LIMIT_S = 12.0
PHASES = (MovePhase.RUNNING, MovePhase.COMPLETED, MovePhase.ROLLED_BACK)


def decode(stored):
    """Decodes an order; one without a target is invalid."""
    if "target" not in stored.body:
        raise ConfigurationError(["the order has no target"])
    phase = MovePhase(stored.status.get("phase", "ordered"))
    return VersionMove(stored.name, stored.body["target"], LIMIT_S, phase)


def make_order(phase=MovePhase.ORDERED, target="v2"):
    """Returns the stored order of a move of the service `app`."""
    status = {"phase": phase.value}
    return StoredObject("moves", "app", "1", {"target": target}, status=status)


class Node:
    """Sink of the orders, with the move that the node follows."""

    def __init__(self):
        self.timers = ManualTimers()
        self.view = NodeView(make_settings(), self.timers, random.Random(1))
        log = DecisionLog("n1", self.timers.wall)
        self.sink = MoveSink(self.view, decode, log)

    @property
    def followed(self):
        """Move that the node follows."""
        return self.view.moves.moves.get("app")

    def due_phase(self):
        """Returns the phase that the holder of the duties writes."""
        return self.followed.next_phase(self.timers.now())

    def restore(self, *orders):
        """Lists what an earlier copy holds."""
        self.sink.on_restored()
        self.sink.replace_all(list(orders))


@pytest.fixture
def node():
    """Node that has read an order."""
    node = Node()
    node.sink.replace_all([make_order()])
    return node


class TestLostPhase:
    """Guards against a move that begins anew after its end."""

    @pytest.mark.parametrize("phase", PHASES)
    @pytest.mark.parametrize("stored", [MovePhase.ORDERED, MovePhase.RUNNING])
    def test_a_phase_that_was_reached_stays_and_is_written_again(
        self, node, phase, stored
    ):
        node.sink.apply(ObjectEvent(make_order(phase)))
        before = node.followed
        node.restore(make_order(stored))
        node.sink.apply(ObjectEvent(make_order(stored)))
        assert node.followed is before
        assert node.followed.move.phase is phase
        if phase is not stored:
            assert node.due_phase() is phase
        node.timers.advance(RESTORE_PERIOD_S)
        assert node.followed.move.phase is phase

    def test_nothing_is_written_once_the_phase_is_stored(self, node):
        node.sink.apply(ObjectEvent(make_order(MovePhase.COMPLETED)))
        node.restore(make_order(MovePhase.RUNNING))
        node.sink.apply(ObjectEvent(make_order(MovePhase.COMPLETED)))
        assert node.due_phase() is None

    def test_an_order_long_after_the_return_begins_a_move(self, node):
        node.sink.apply(ObjectEvent(make_order(MovePhase.ROLLED_BACK)))
        node.restore(make_order(MovePhase.ROLLED_BACK))
        node.timers.advance(RESTORE_PERIOD_S)
        node.sink.apply(ObjectEvent(make_order()))
        assert node.followed.move.phase is MovePhase.ORDERED


class TestLostOrder:
    """Guards against a move that is forgotten with its order."""

    def test_a_missing_order_has_time_to_be_written_again(self, node):
        before = node.followed
        node.restore()
        assert node.followed is before
        node.sink.apply(ObjectEvent(make_order()))
        node.timers.advance(RESTORE_PERIOD_S)
        assert node.followed is before

    @pytest.mark.parametrize("is_restored", [True, False])
    def test_an_order_that_becomes_invalid_withdraws_nothing(
        self, node, is_restored
    ):
        before = node.followed
        if is_restored:
            node.sink.on_restored()
        node.sink.replace_all([StoredObject("moves", "app", "1", {})])
        node.timers.advance(RESTORE_PERIOD_S)
        assert node.followed is before

    def test_a_missing_order_is_withdrawn_after_that_time(self, node):
        node.restore()
        node.timers.advance(RESTORE_PERIOD_S)
        assert node.followed is None

    def test_an_older_order_does_not_replace_the_latest_one(self, node):
        before = node.followed
        node.restore(make_order(MovePhase.COMPLETED, target="v1"))
        assert node.followed is before
        node.sink.apply(ObjectEvent(make_order()))
        node.timers.advance(RESTORE_PERIOD_S)
        assert node.followed is before

    def test_an_older_order_counts_if_no_other_one_is_written(self, node):
        node.restore(make_order(target="v1"))
        node.timers.advance(RESTORE_PERIOD_S)
        assert node.followed.move.target == "v1"

    def test_an_order_that_is_written_counts_at_once(self, node):
        node.restore(make_order())
        node.sink.apply(ObjectEvent(make_order(target="v3")))
        assert node.followed.move.target == "v3"
