"""Tests of operator commands for version moves."""

from __future__ import annotations

import asyncio

import pytest

from guavalane_cli.trace import MOVE, SECOND_MOVE, Replay, parse_trace
from guavalane_core.exceptions import (
    GenerationConflictError,
    MoveRefusedError,
    ObjectApiError,
    UnknownMoveError,
)

TRACE = {
    "title": "two plans, nothing confirmed",
    "seconds": 10,
    "within_s": 600,
    "traffic": [
        {
            "route": "chat",
            "every_ms": 20,
            "old": [[200, 100]],
            "new": [[200, 100]],
        }
    ],
    "events": [],
    "expected": {"state": "planned"},
}


@pytest.fixture
async def replay():
    """Runs three nodes until two plans are stored."""
    replay = Replay(parse_trace(TRACE))
    await replay.run()
    yield replay
    for node in replay._nodes:
        node.runner.freeze()


class TestMoveCommands:
    """Guards against moves that start twice or can never be started."""

    async def test_confirm_can_be_repeated_after_an_outage(
        self, replay, monkeypatch
    ):
        node = replay._nodes[0]

        async def fail(data, base):
            raise ObjectApiError("down")

        with monkeypatch.context() as patch:
            patch.setattr(node.commands._configuration_store, "change", fail)
            with pytest.raises(ObjectApiError):
                await node.commands.confirm(MOVE, "anna")
        assert (await node.commands.status(MOVE))["state"] == "planned"
        await node.commands.confirm(MOVE, "anna")
        assert (await node.commands.status(MOVE))["state"] == "running"

    async def test_same_plan_confirmed_twice_keeps_running(self, replay):
        first, second = replay._nodes[:2]
        await first.commands.confirm(MOVE, "anna")
        # The second node has not received the change yet.
        task = asyncio.create_task(second.commands.confirm(MOVE, "ben"))
        for _ in range(20):
            await replay._step()
        with pytest.raises((GenerationConflictError, MoveRefusedError)):
            task.result()
        assert (await first.commands.status(MOVE))["state"] == "running"

    async def test_conflict_names_what_changed(self, replay):
        node = replay._nodes[0]
        await node.commands.confirm(MOVE, "anna")
        with pytest.raises(GenerationConflictError, match=f"{MOVE} began"):
            await node.commands.confirm(SECOND_MOVE, "ben")

    async def test_ended_move_is_not_begun_or_cancelled_again(self, replay):
        node = replay._nodes[0]
        await node.commands.confirm(MOVE, "anna")
        await node.commands.cancel(MOVE, "anna")
        for command in (node.commands.confirm, node.commands.cancel):
            with pytest.raises(MoveRefusedError, match="undone"):
                await command(MOVE, "ben")

    async def test_unknown_move(self, replay):
        with pytest.raises(UnknownMoveError):
            await replay._nodes[0].commands.explain("move-9")
