"""Tests of the evidence on failures of one route."""

from __future__ import annotations

import math
import random

import pytest

from guavalane_core.moves.failure_evidence import (
    MIN_ROUTE_ATTEMPTS,
    Events,
    attempts_needed,
    combine_old,
    sound_evidence,
    weak_route,
)

FAULT_RATE = 0.25
RULE = "errors"


def draw(rng, total, rate):
    """Returns the events of attempts that fail with a rate."""
    return Events(total, sum(rng.random() < rate for _ in range(total)))


class TestSoundEvidence:
    """Guards against faults that are taken for the old version's failures."""

    def test_without_attempts_there_is_none(self):
        old = Events(50, 7)
        assert sound_evidence(Events(), old, FAULT_RATE) == pytest.approx(0.0)

    @pytest.mark.parametrize("old_rate", [0.0, 0.14, 0.5])
    def test_a_fault_reaches_evidence_rarely(self, old_rate):
        rng = random.Random(1)
        faulty = old_rate + (1 - old_rate) * FAULT_RATE
        reached = sum(
            sound_evidence(
                draw(rng, 40, faulty), draw(rng, 60, old_rate), FAULT_RATE
            )
            >= math.log(20)
            for _ in range(300)
        )
        assert reached <= 300 / 20

    def test_a_route_that_fails_as_well_needs_more_attempts(self):
        assert attempts_needed(Events(100, 14), FAULT_RATE) > 2 * (
            attempts_needed(Events(100, 0), FAULT_RATE)
        )


class TestOldAttempts:
    """Guards against an estimate from a time with another failure rate."""

    def test_attempts_before_the_move_count(self):
        assert combine_old(Events(20, 3), Events(50, 7)) == Events(70, 10)

    def test_a_changed_rate_discards_them(self):
        during = Events(40, 20)
        assert combine_old(during, Events(200, 2)) == during

    def test_one_of_both_may_be_missing(self):
        assert combine_old(Events(), Events(5, 1)) == Events(5, 1)
        assert combine_old(Events(5, 1), Events()) == Events(5, 1)


class TestWeakRoute:
    """Guards against a faulty route that the others outvote."""

    GOOD = (Events(30, 0), Events(300, 0))

    def test_sound_routes_lack_nothing(self):
        tables = {(RULE, "busy"): self.GOOD, (RULE, "rare"): self.GOOD}
        assert weak_route(tables, FAULT_RATE, 3.0) == ""

    def test_a_faulty_route_is_named(self):
        faulty = (Events(30, 12), Events(60, 8))
        tables = {(RULE, "busy"): self.GOOD, (RULE, "rare"): faulty}
        assert "on rare" in weak_route(tables, FAULT_RATE, 0.0)

    def test_routes_with_few_attempts_are_evaluated_together(self):
        few = MIN_ROUTE_ATTEMPTS // 2
        faulty = (Events(few, few), Events(60, 0))
        tables = {(RULE, f"rare-{n}"): faulty for n in range(3)}
        tables[RULE, "busy"] = self.GOOD
        assert "rare routes" in weak_route(tables, FAULT_RATE, 0.0)

    def test_a_route_without_attempts_requires_none(self):
        tables = {(RULE, "rare"): (Events(), Events(3, 0))}
        assert weak_route(tables, FAULT_RATE, 3.0) == ""
