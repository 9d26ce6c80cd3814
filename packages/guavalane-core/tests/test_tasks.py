"""Tests of the supervision of tasks."""

from __future__ import annotations

import ast
import asyncio
import pathlib

import pytest

import guavalane_entry
from guavalane_core import tasks
from guavalane_core.tasks import cancel_tasks, start_supervised

SOURCES = pathlib.Path(guavalane_entry.__file__).parent
# Tasks of the gateway that end by themselves, by the file that starts them.
SHORT_TASKS = {
    "crash_monitor.py": 1,
    # Ends after its connect timeout.
    "endpoint_client.py": 1,
    # An attempt in a race, which ends with its request at the latest.
    "exchange.py": 1,
    "quarantine_store.py": 1,
    "watch.py": 2,
    "server.py": 1,
}


class TestSupervision:
    """Guards against one unexpected error that ends a task for good."""

    @pytest.mark.parametrize(
        "error",
        [
            KeyError("a"),
            RecursionError(),
            AssertionError(),
            OSError(),
            ValueError(),
        ],
    )
    async def test_a_task_runs_again_after_any_error(self, monkeypatch, error):
        monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.0)
        runs = []

        async def run():
            runs.append(1)
            if len(runs) < 3:
                raise error

        before = tasks.failures["test"]
        await start_supervised("test", run)
        assert len(runs) == 3
        assert tasks.failures["test"] == before + 2

    async def test_a_supervised_task_can_be_cancelled(self):
        task = start_supervised("test", asyncio.Event().wait)
        await asyncio.sleep(0)
        await cancel_tasks(task)
        assert task.cancelled()


class TestGatewayTasks:
    """Guards against a new long-lived task without supervision."""

    def test_all_other_tasks_end_by_themselves(self):
        found = {}
        files = [
            *(SOURCES / "gateway").rglob("*.py"),
            *(SOURCES / "relays").rglob("*.py"),
        ]
        for path in files:
            count = sum(
                isinstance(node, ast.Attribute)
                and node.attr in ("create_task", "ensure_future")
                for node in ast.walk(ast.parse(path.read_text()))
            )
            if count:
                found[path.name] = count
        assert found == SHORT_TASKS
