"""Tests of the endpoint selection during a version move."""

from __future__ import annotations

import random

import pytest

from guavalane_core.forwarding import MovePhase, VersionMove
from guavalane_core.moves.table import (
    MAX_BASELINE_ROUTES,
    MAX_BASELINE_SAMPLES,
    MoveTable,
)
from guavalane_standins.forwarding_samples import make_endpoint

# Operators' limit on the fraction of a service's requests that a version under
# trial receives.
EXPOSURE = 0.1
# Requests that the operators allow it in addition.
SLACK = 50
LIMIT_S = 12.0


def make_move(phase=MovePhase.RUNNING, target="v2"):
    """Returns a move of the service `app`."""
    return VersionMove("app", target, LIMIT_S, phase)


def versions(endpoints):
    """Returns the set of the endpoints' versions."""
    return {endpoint.version for endpoint in endpoints}


def select(table, usable, draw, *, first=True, now_s=LIMIT_S):
    """Returns the endpoints for an attempt, by default after the time limit."""
    return table.allowed(
        "app", usable, draw, route="r", now_s=now_s, first=first
    )


def record(trial, *, is_new, failed=False):
    """Records an attempt of 0.1 s."""
    sample = trial.begin("r", is_new=is_new, now_s=0.0)
    trial.end(sample, 0.1)
    sample.finish(0.1, failed=failed)


class TestMoveTable:
    """Guards against versions under trial that receive too many requests."""

    @pytest.fixture
    def endpoints(self):
        """Returns four endpoints of each version."""
        return [
            make_endpoint(f"e-{version}-{n}", version=version)
            for version in ("v1", "v2")
            for n in range(4)
        ]

    @pytest.fixture
    def table(self):
        """Returns a table without a move."""
        return MoveTable(EXPOSURE, SLACK)

    def test_without_a_move_all_versions_serve(self, table, endpoints):
        allowed = select(table, endpoints, 0.0)
        assert allowed == endpoints

    def test_an_order_alone_exposes_nobody(self, table, endpoints):
        table.offer(make_move(MovePhase.ORDERED), 0.0)
        for draw in (0.0, 0.5, 1.0):
            allowed = select(table, endpoints, draw)
            assert versions(allowed) == {"v1"}

    def test_a_running_move_stays_below_the_exposure(self, table, endpoints):
        table.offer(make_move(), 0.0)
        rng = random.Random(1)
        new = sum(
            versions(select(table, endpoints, rng.random())) == {"v2"}
            for _ in range(10_000)
        )
        assert 0 < new / 10_000 < EXPOSURE

    def test_repeats_go_to_the_old_version(self, table, endpoints):
        table.offer(make_move(), 0.0)
        allowed = select(table, endpoints, 0.0, first=False)
        assert versions(allowed) == {"v1"}

    def test_the_new_version_gets_the_load_of_an_old_endpoint(
        self, table, endpoints
    ):
        table.offer(make_move(), 0.0)
        allowed = select(table, endpoints, 0.0)
        assert len(allowed) == 1

    def test_a_condemned_version_gets_nothing(self, table, endpoints):
        table.offer(make_move(), 0.0)
        trial = table.moves["app"].trial
        for number in range(400):
            for is_new in (True, False):
                record(trial, is_new=is_new, failed=is_new)
            if number % 20 == 19 and table.judge(float(number)):
                break
        assert table.moves["app"].fault
        assert table.moves["app"].next_phase(1.0) is MovePhase.ROLLED_BACK
        new = [e for e in endpoints if e.version == "v2"]
        for usable in (endpoints, new):
            allowed = select(table, usable, 0.0)
            assert "v2" not in versions(allowed)
        # An outdated copy of the order has no effect.
        table.offer(make_move(), 2.0)
        assert table.moves["app"].is_stopped

    def test_a_completed_move_uses_the_new_version_alone(
        self, table, endpoints
    ):
        table.offer(make_move(MovePhase.COMPLETED), 0.0)
        allowed = select(table, endpoints, 0.9)
        assert versions(allowed) == {"v2"}

    def test_another_order_starts_anew(self, table, endpoints):
        table.offer(make_move(MovePhase.ROLLED_BACK), 0.0)
        table.offer(make_move(MovePhase.ORDERED, "v3"), 5.0)
        allowed = select(table, endpoints, 0.0)
        assert versions(allowed) == {"v1", "v2"}
        assert table.moves["app"].seen_s == 5.0

    @pytest.mark.parametrize(
        "ended", [MovePhase.ROLLED_BACK, MovePhase.COMPLETED]
    )
    def test_the_same_order_after_the_end_is_a_new_trial(
        self, table, endpoints, ended
    ):
        """Guards against a fixed version rejected for its earlier fault."""
        table.offer(make_move(), 0.0)
        table.moves["app"].fault = "failures"
        table.offer(make_move(ended), 5.0)
        table.offer(make_move(MovePhase.ORDERED), 60.0)
        followed = table.moves["app"]
        assert followed.fault == ""
        assert followed.next_phase(60.0) is MovePhase.RUNNING
        table.offer(make_move(), 60.5)
        assert table.moves["app"].next_phase(61.0) is None
        allowed = select(table, endpoints, 0.0, now_s=60.0 + LIMIT_S)
        assert versions(allowed) == {"v2"}

    @pytest.mark.parametrize("stale", [MovePhase.ORDERED, MovePhase.RUNNING])
    def test_an_old_copy_does_not_bring_a_stopped_version_back(
        self, table, endpoints, stale
    ):
        """Guards against outdated orders in the list of a lagging node."""
        table.offer(make_move(), 0.0)
        table.offer(make_move(MovePhase.ROLLED_BACK), 5.0)
        table.offer(make_move(stale), 6.0, may_be_old=True)
        for draw in (0.0, 0.5, 1.0):
            allowed = select(table, endpoints, draw)
            assert versions(allowed) == {"v1"}

    def test_a_copy_may_be_ahead(self, table, endpoints):
        table.offer(make_move(), 0.0)
        table.offer(make_move(MovePhase.COMPLETED), 5.0, may_be_old=True)
        allowed = select(table, endpoints, 0.5)
        assert versions(allowed) == {"v2"}

    def test_a_withdrawn_order_frees_all_versions(self, table, endpoints):
        table.offer(make_move(), 0.0)
        table.withdraw("app")
        allowed = select(table, endpoints, 0.5)
        assert allowed == endpoints

    def test_baselines_of_former_routes_are_dropped(self, table, endpoints):
        """Guards against memory that grows with each configuration."""
        for number in range(200):
            for route in (f"r{number}", "busy"):
                table.begin_attempt(endpoints[0], route, 0.0).finish(
                    0.1, failed=False
                )
        table.offer(make_move(), 1.0)
        routes = {c.route for c in table.moves["app"].trial.counts}
        assert {"busy", "r199"} <= routes
        assert len(routes) == MAX_BASELINE_ROUTES

    @pytest.mark.parametrize("ends", [True, False])
    def test_a_baseline_adapts_to_the_load(self, table, endpoints, ends):
        """Guards against a limit from long ago if callers give up."""
        for number in range(3 * MAX_BASELINE_SAMPLES):
            sample = table.begin_attempt(endpoints[0], "r", float(number))
            sample.on_events(1, number + 0.1)
            if ends:
                sample.finish(number + 0.2, failed=False)
        table.offer(make_move(), 1.0)
        (count,) = table.moves["app"].trial.counts
        assert sum(count.counts.latency) <= MAX_BASELINE_SAMPLES


class TestFollowedMove:
    """Guards against moves that exceed their time or end without evidence."""

    def follow(self, attempts):
        """Returns a running move with successful attempts."""
        table = MoveTable(EXPOSURE)
        table.offer(make_move(), 0.0)
        followed = table.moves["app"]
        for second in range(4):
            for number in range(100):
                record(followed.trial, is_new=False)
                if number < attempts / 4:
                    record(followed.trial, is_new=True)
            table.judge(float(second))
        return followed

    def test_an_order_is_run_at_once(self):
        table = MoveTable(EXPOSURE)
        table.offer(make_move(MovePhase.ORDERED), 0.0)
        assert table.moves["app"].next_phase(0.0) is MovePhase.RUNNING

    def test_a_good_version_is_completed_within_its_time(self):
        followed = self.follow(30)
        assert followed.next_phase(1.0) is None
        due = [t for t in range(13) if followed.next_phase(t)]
        assert due[0] < LIMIT_S
        assert followed.next_phase(due[0]) is MovePhase.COMPLETED

    def test_a_version_without_evidence_is_rolled_back_within_its_time(self):
        followed = self.follow(3)
        due = [t for t in range(13) if followed.next_phase(t)]
        assert due[0] < LIMIT_S
        assert followed.next_phase(due[0]) is MovePhase.ROLLED_BACK

    def test_an_ended_move_stays_ended(self):
        for phase in (MovePhase.COMPLETED, MovePhase.ROLLED_BACK):
            table = MoveTable(EXPOSURE)
            table.offer(make_move(phase), 0.0)
            assert table.moves["app"].next_phase(100.0) is None
