"""Periodic deletion of expired objects by one node at a time."""

from __future__ import annotations

import asyncio
import random

from guavalane_core.objects import ObjectApi
from guavalane_core.requests import rank_nodes
from guavalane_core.retention import RetentionSweeper
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.peers.membership import MembershipRunner

SWEEP_INTERVAL_S = 600.0
SWEEPER_RANKING_KEY = "retention"


class RetentionRunner:
    """Runs the retention sweep while this node ranks first of the live ones.

    Nodes with different member lists may sweep at the same time. Deletions are
    conditional, so this only costs additional calls.

    Args:
      node: Name of this node.
      api: Object API.
      membership: Members of the cluster.
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
            api, timers, retention_s, self._is_sweeper
        )
        self._rng = random.Random()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the periodic sweep."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops the periodic sweep."""
        await cancel_tasks(self._task)

    def _is_sweeper(self) -> bool:
        names = [member.name for member in self._membership.live_members]
        return rank_nodes(SWEEPER_RANKING_KEY, names)[0] == self._node

    async def _run(self) -> None:
        while True:
            await self._timers.sleep(
                SWEEP_INTERVAL_S * (0.5 + self._rng.random())
            )
            await self._sweeper.sweep()
