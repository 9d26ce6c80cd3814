"""Registration of a node in the object API for peer discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from loguru import logger as log

from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectConflictError,
    ObjectNotFoundError,
)
from guavalane_core.objects import ObjectApi
from guavalane_core.tasks import cancel_tasks, start_supervised
from guavalane_core.timers import Timers
from guavalane_entry.gateway.settings import GatewaySettings

NODE_KIND = "nodes"
# Delay before a failed registration is retried, in seconds.
RETRY_DELAY_S = 0.5


class Registration:
    """Registers this node, so that the other nodes send it their reports.

    Args:
      api: Object API.
      settings: Settings of the node.
      incarnation: Incarnation of this process.
      timers: Timer service.
      expects_entry: Whether there is probably an entry of an earlier process,
          so that reading it saves a call. From the first registration on, that
          is the case: a list of the object API that lacks the entry may be
          older than it.
    """

    def __init__(
        self,
        api: ObjectApi,
        settings: GatewaySettings,
        incarnation: int,
        timers: Timers,
        *,
        expects_entry: bool = False,
    ) -> None:
        self._api = api
        self._name = settings.name
        self._body = {
            "address": str(settings.peers),
            "zone": settings.zone,
            "link_mbps": settings.link_mbps,
            "cores": settings.cores,
            "incarnation": incarnation,
        }
        self._timers = timers
        self._expects_entry = expects_entry
        self._due = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the registration task."""
        self._due.set()
        self._task = start_supervised("registration", self._run)

    async def stop(self) -> None:
        """Stops the task; the entry stays until the duty holder removes it."""
        await cancel_tasks(self._task)

    def renew(self) -> None:
        """Registers again after the entry was removed."""
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
                await self._timers.sleep(RETRY_DELAY_S)

    async def _register(self) -> None:
        if self._expects_entry and await self._confirm():
            return
        try:
            await self._api.create(NODE_KIND, self._name, self._body)
        except ObjectConflictError:
            if not await self._confirm():
                # The entry was deleted after the conflicting create.
                self._due.set()
                return
        self._expects_entry = True

    async def _confirm(self) -> bool:
        """Returns whether there is an entry, and corrects an outdated one."""
        try:
            stored = await self._api.get(NODE_KIND, self._name)
        except ObjectNotFoundError:
            return False
        if not self._is_current(stored.body):
            await self._api.update(
                NODE_KIND, self._name, self._body, stored.version
            )
        return True

    def _is_current(self, body: Mapping[str, Any]) -> bool:
        """Returns whether an entry tells what other nodes need to know."""
        return all(
            body.get(key) == value
            for key, value in self._body.items()
            if key != "incarnation"
        )
