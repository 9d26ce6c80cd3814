"""Event loop of the programs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import uvloop


class EventLoop(uvloop.Loop):
    """Loop of uvloop that lets no cancellation into a half-open connection.

    uvloop 0.22 and the socket object both close the descriptor of a socket if
    `create_connection` is cancelled before it has taken the socket over. By
    then, the descriptor may be that of another connection, whose data would go
    to the wrong peer.
    """

    async def create_connection(
        self,
        protocol_factory: Callable[[], Any],
        *args: Any,
        sock: Any = None,
        **kwargs: Any,
    ) -> tuple[asyncio.Transport, Any]:
        """Opens a connection; the arguments are those of the base class."""
        if sock is None:
            return await super().create_connection(
                protocol_factory, *args, **kwargs
            )
        task = self.create_task(
            self._take_over(protocol_factory, *args, sock=sock, **kwargs)
        )
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_abort_unused)
            raise

    async def _take_over(
        self, *args: Any, **kwargs: Any
    ) -> tuple[asyncio.Transport, Any]:
        return await super().create_connection(*args, **kwargs)


def _abort_unused(task: asyncio.Task) -> None:
    """Closes the connection of a task whose result nobody awaits."""
    if not task.cancelled() and task.exception() is None:
        transport, _ = task.result()
        transport.abort()
