"""Supervision and cancellation of asyncio tasks."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable, Callable

from loguru import logger as log

# Delay before a failed task runs again, in seconds.
RESTART_DELAY_S = 0.5
# Failures of the supervised tasks of this process, by name.
failures: collections.Counter[str] = collections.Counter()


def start_supervised(
    name: str, run: Callable[[], Awaitable[None]]
) -> asyncio.Task[None]:
    """Starts a task that runs as long as the process.

    An unexpected error is logged and counted, and the task runs again. Without
    that, asyncio reports it only when the task object is deleted.

    Args:
      name: Name in the log and the metrics.
      run: Coroutine function of the task.
    """
    return asyncio.create_task(_supervise(name, run), name=name)


async def _supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            await run()
            return
        except Exception as error:
            failures[name] += 1
            log.opt(exception=error).error("tasks: {} failed", name)
            await asyncio.sleep(RESTART_DELAY_S)


async def cancel_tasks(*tasks: asyncio.Task | None) -> None:
    """Cancels tasks and waits for them to finish, ignoring their exceptions.

    Args:
      *tasks: Tasks; None is ignored.
    """
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)
