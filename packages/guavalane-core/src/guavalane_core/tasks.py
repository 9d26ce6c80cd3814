"""Cancellation of asyncio tasks."""

from __future__ import annotations

import asyncio


async def cancel_tasks(*tasks: asyncio.Task | None) -> None:
    """Cancels tasks and waits for them to finish, ignoring their exceptions.

    Args:
      *tasks: Tasks; None is ignored.
    """
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)
