"""Runs the retention sweep on one node at a time."""

from __future__ import annotations

import asyncio
import random

from guavalane_core.objects import ObjectApi
from guavalane_core.requests import rank_nodes
from guavalane_core.retention import RetentionSweeper
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.peers.membership import MembershipRunner

PERIOD_S = 600.0
RANKING_KEY = "retention"


class RetentionRunner:
    """Sweeps while this node is the first live one in a fixed ranking.

    Two nodes with different member lists may sweep at once; deletions are
    conditional, so that this costs calls and nothing else.

    Args:
      node: Name of this node.
      api: Object API.
      membership: Live members.
      timers: Timer service.
      retention_s: Age at which objects are deleted, in seconds.
    """

    def __init__(
        self,
        node: str,
        api: ObjectApi,
        membership: MembershipRunner,
        timers: Timers,
        retention_s: float,
    ) -> None:
        self._node = node
        self._membership = membership
        self._timers = timers
        self._sweeper = RetentionSweeper(
            api, timers, retention_s, self._is_chosen
        )
        self._rng = random.Random()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to sweep."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops to sweep."""
        await cancel_tasks(self._task)

    def _is_chosen(self) -> bool:
        names = [member.name for member in self._membership.live_members]
        return rank_nodes(RANKING_KEY, names)[0] == self._node

    async def _run(self) -> None:
        while True:
            await self._timers.sleep(PERIOD_S * (0.5 + self._rng.random()))
            await self._sweeper.sweep()
