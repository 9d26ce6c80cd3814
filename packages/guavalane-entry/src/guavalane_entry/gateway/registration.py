"""Entry by which the other nodes find this one."""

from __future__ import annotations

import asyncio

from loguru import logger as log

from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectConflictError,
    ObjectNotFoundError,
)
from guavalane_core.objects import ObjectApi
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.gateway.settings import GatewaySettings

NODE_KIND = "nodes"
# Time before a failed registration is tried again, in seconds.
RETRY_S = 0.5


class Registration:
    """Lists this node, so that the others send it their reports.

    Args:
      api: Object API.
      settings: Settings of the node.
      incarnation: Start of this process.
      timers: Timer service.
    """

    def __init__(
        self,
        api: ObjectApi,
        settings: GatewaySettings,
        incarnation: int,
        timers: Timers,
    ) -> None:
        self._api = api
        self._name = settings.name
        self._body = {
            "address": str(settings.peers),
            "zone": settings.zone,
            "incarnation": incarnation,
        }
        self._timers = timers
        self._due = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to register."""
        self._due.set()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops; the entry stays until the holder of the duties removes it."""
        await cancel_tasks(self._task)

    def renew(self) -> None:
        """Registers again, as the entry was removed."""
        self._due.set()

    async def _run(self) -> None:
        while True:
            await self._due.wait()
            self._due.clear()
            try:
                await self._register()
            except ObjectApiError as error:
                log.debug("node: not registered yet: {}", error)
                self._due.set()
                await self._timers.sleep(RETRY_S)

    async def _register(self) -> None:
        try:
            await self._api.create(NODE_KIND, self._name, self._body)
        except ObjectConflictError:
            await self._update()

    async def _update(self) -> None:
        try:
            stored = await self._api.get(NODE_KIND, self._name)
        except ObjectNotFoundError:
            # Removed in between.
            self._due.set()
            return
        if stored.body.get("address") != self._body["address"]:
            await self._api.update(
                NODE_KIND, self._name, self._body, stored.version
            )
