"""Watcher of reclaim notices for this VM on the metadata server."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import aiohttp
from loguru import logger as log

from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.http_session import make_session

HEADERS = {"Metadata-Flavor": "Google"}
RETRY_S = 1.0
# Time after which a hanging request is repeated.
REQUEST_TIMEOUT_S = 60.0


class NoticeWatcher:
    """Waits for a reclaim notice and reports it once.

    Args:
      url: URL of `instance/preempted`.
      timers: Timer service.
      on_notice: Called when the VM will be reclaimed.
    """

    def __init__(
        self, url: str, timers: Timers, on_notice: Callable[[], None]
    ) -> None:
        self._url = url
        self._timers = timers
        self._on_notice = on_notice
        self._rng = random.Random()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts watching."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops watching."""
        await cancel_tasks(self._task)

    async def _run(self) -> None:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        query = {"wait_for_change": "true"}
        async with make_session(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(
                        self._url, params=query, headers=HEADERS
                    ) as response:
                        if (await response.text()).strip() == "TRUE":
                            log.info("notices: this VM will be reclaimed")
                            self._on_notice()
                            return
                except TimeoutError:
                    continue
                except aiohttp.ClientError as error:
                    log.debug("notices: {}", error)
                await self._timers.sleep(RETRY_S * (0.5 + self._rng.random()))
