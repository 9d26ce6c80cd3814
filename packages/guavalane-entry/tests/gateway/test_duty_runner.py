"""Tests of the lease that the duties are run under."""

from __future__ import annotations

import random

import pytest

from guavalane_core.objects import MemoryObjectApi
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.duties import (
    LEASE_DURATION_FACTOR,
    DutyContext,
    DutyRunner,
    MoveOrders,
)
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.gateway_rig import make_settings

LEASE_S = 3.0


class NoReports:
    """Reports of no other node."""

    def live_holder(self):
        return None

    def live_peers(self):
        return []


class TestReturnOfAnOlderStore:
    """Guards against duties that rest after a short return."""

    @pytest.fixture
    async def node(self):
        """Node that holds the duties; its API has lost the lease."""
        timers, api = ManualTimers(), MemoryObjectApi()
        api.restore(api.take_copy())
        earlier = api.take_copy()
        view = NodeView(
            make_settings("n1", lease_s=LEASE_S), timers, random.Random(1)
        )
        view.store_era.observe(1)
        context = DutyContext(
            view,
            api,
            cloud=None,
            log=DecisionLog("n1", timers.wall),
            move_orders=MoveOrders({}, lambda move, phase: {}),
            live=list,
        )
        runner = DutyRunner(context, NoReports(), timers, 1)
        runner._on_change = lambda held: None
        runner.start()
        # A lease that does not exist may have been lost.
        for _ in range(200):
            await timers.run_for(0.05)
            if runner.current_fencing_number():
                break
        api.faults.down = True
        yield runner, view, timers, api, earlier
        api.faults.down = False
        await runner.stop()

    async def test_a_valid_lease_is_written_again_at_once(self, node):
        runner, view, timers, api, earlier = node
        number = runner.current_fencing_number()
        # Just before the validity ends, and between two periodic renewals.
        validity_s = LEASE_S * LEASE_DURATION_FACTOR * 2 / 3
        await timers.run_for(validity_s - 0.3)
        api.restore(earlier)
        api.faults.down = False
        view.store_era.observe(2)
        await timers.run_for(0.5)
        assert runner.current_fencing_number() == number
