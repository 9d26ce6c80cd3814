"""Watches the stored configuration and stores changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from loguru import logger as log

from guavalane_core.configuration import (
    ConfigurationState,
    parse_configuration,
)
from guavalane_core.configuration.annotations import (
    annotated_generation,
    make_annotations,
)
from guavalane_core.configuration.changes import GENERATION_KEY
from guavalane_core.exceptions import (
    ConfigurationError,
    GenerationConflictError,
    ObjectApiError,
    ObjectConflictError,
    ObjectNotFoundError,
    WatchGapError,
)
from guavalane_core.objects import (
    ConditionalWriter,
    ObjectApi,
    ObjectMetadata,
)
from guavalane_core.objects.writer import WRITE_TOKEN_KEY
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers

KIND = "configurations"
NAME = "current"
# Minimum interval between two watches, each of which counts as a call.
MIN_WATCH_INTERVAL_S = 0.5
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0


def _without_token(body: dict[str, Any]) -> dict[str, Any]:
    return {k: v for k, v in body.items() if k != WRITE_TOKEN_KEY}


class ConfigurationStore:
    """Watches the configuration in the object API and stores changes.

    The watch delivers only the metadata of the object, whose annotations
    contain the generation. A listener then requests the change from peers. The
    whole object is read if there is no listener, no annotation or no
    configuration in force.

    Args:
      api: Object API.
      state: Configuration in force on this node.
      timers: Timer service.
      rng: Source of jitter.
    """

    def __init__(
        self,
        api: ObjectApi,
        state: ConfigurationState,
        timers: Timers,
        rng: random.Random | None = None,
    ) -> None:
        self._api = api
        self._writer = ConditionalWriter(api)
        self._state = state
        self._timers = timers
        self._rng = rng or random.Random()
        self._task: asyncio.Task | None = None
        self._refresh_task: asyncio.Task | None = None
        self._read_requested = False
        self._on_stored: list[Callable[[], None]] = []
        self._on_newer: Callable[[int], None] | None = None

    @property
    def rng(self) -> random.Random:
        """Source of jitter."""
        return self._rng

    @property
    def watching(self) -> bool:
        """Whether this node watches the object API."""
        return self._task is not None

    def on_stored(self, listener: Callable[[], None]) -> None:
        """Adds a listener that is called after a change is stored or read."""
        self._on_stored.append(listener)

    def on_newer(self, listener: Callable[[int], None]) -> None:
        """Sets the listener for stored generations that this node lacks.

        The listener requests the change from peers or calls `refresh`.
        """
        self._on_newer = listener

    def start(self) -> None:
        """Starts to watch; nodes that are not relays stop later."""
        self.set_watching(True)

    async def stop(self) -> None:
        """Stops watching."""
        await cancel_tasks(self._task, self._refresh_task)

    def set_watching(self, watching: bool) -> None:
        """Starts or stops watching the object API."""
        if watching and self._task is None:
            self._task = asyncio.create_task(self._run())
        elif not watching and self._task is not None:
            self._task.cancel()
            self._task = None

    def refresh(self) -> None:
        """Schedules a read of the whole configuration."""
        # A read in progress may return the state before a change.
        self._read_requested = True
        if self._refresh_task is None or self._refresh_task.done():
            self._refresh_task = asyncio.create_task(self._read_until_current())

    async def store_initial(self, data: dict[str, Any]) -> None:
        """Stores an initial configuration if none is stored."""
        data = {**data, GENERATION_KEY: 1}
        parse_configuration(data)
        try:
            await self._writer.create(
                KIND, NAME, data, make_annotations(1, None)
            )
        except ObjectConflictError:
            log.info("config: the object API already contains a configuration")

    async def change(self, data: dict[str, Any], base: int) -> int:
        """Stores a configuration that is based on generation `base`.

        Args:
          data: Configuration as plain data; its generation is ignored.
          base: Generation that the change is based on.

        Returns:
          The new generation.

        Raises:
          ConfigurationError: The configuration is invalid.
          GenerationConflictError: Another change was stored first.
          ObjectApiError: The configuration could not be stored.
        """
        data = {**data, GENERATION_KEY: base + 1}
        parse_configuration(data)
        stored, found = await self._read_generation()
        if found != base:
            raise GenerationConflictError(
                f"the change was made against generation {base}, but"
                f" generation {found} is in force"
            )
        try:
            annotations = make_annotations(base + 1, stored)
            if stored is None:
                await self._writer.create(KIND, NAME, data, annotations)
            else:
                await self._writer.update(stored, data, annotations)
        except ObjectConflictError:
            raise GenerationConflictError(
                f"another change of generation {base} came first"
            ) from None
        self._state.offer(data, "operator")
        self._report_stored()
        return base + 1

    async def _read_generation(self) -> tuple[ObjectMetadata | None, int]:
        try:
            metadata = await self._api.get_metadata(KIND, NAME)
            generation = annotated_generation(metadata)
            if generation is None:
                stored = await self._api.get(KIND, NAME)
                metadata = stored.metadata
                generation = stored.body[GENERATION_KEY]
        except ObjectNotFoundError:
            return None, 0
        return metadata, generation

    def _report_stored(self) -> None:
        for listener in self._on_stored:
            listener()

    async def _read_until_current(self) -> None:
        backoff = MIN_WATCH_INTERVAL_S
        while self._read_requested:
            self._read_requested = False
            try:
                stored = await self._api.get(KIND, NAME)
            except ObjectNotFoundError:
                return
            except ObjectApiError as error:
                log.debug("config: not read: {}", error)
                if not self.watching:
                    # The configuration exchange repeats the request if needed.
                    return
                self._read_requested = True
                backoff = min(MAX_BACKOFF_S, backoff * 2)
                await self._timers.sleep(
                    MIN_BACKOFF_S + backoff * self._rng.random()
                )
            else:
                if self._offer(stored.body):
                    self._report_stored()

    async def _run(self) -> None:
        backoff = MIN_WATCH_INTERVAL_S
        while True:
            try:
                await self._list_and_watch()
                backoff = MIN_WATCH_INTERVAL_S
            except WatchGapError:
                backoff = MIN_WATCH_INTERVAL_S
            except ObjectApiError as error:
                log.debug("config: watch ended: {}", error)
                backoff = min(MAX_BACKOFF_S, backoff * 2)
            except Exception as error:
                # An unexpected error must not end the watch permanently.
                log.opt(exception=error).error("config: watch failed")
            # Full jitter spreads the retries of nodes that lost their watch at
            # the same time.
            await self._timers.sleep(
                MIN_BACKOFF_S + backoff * self._rng.random()
            )

    async def _list_and_watch(self) -> None:
        found, version = await self._api.list_metadata(KIND)
        for metadata in found:
            self._on_metadata(metadata)
        while True:
            async for event in self._api.watch_metadata(KIND, version):
                version = event.metadata.version
                if not event.deleted:
                    self._on_metadata(event.metadata)
            await self._timers.sleep(
                MIN_WATCH_INTERVAL_S * (1 + self._rng.random())
            )

    def _on_metadata(self, metadata: ObjectMetadata) -> None:
        if metadata.name != NAME:
            return
        generation = annotated_generation(metadata)
        if generation is None:
            self.refresh()
        elif generation > self._state.generation:
            if self._on_newer is None or self._state.generation == 0:
                # Without a configuration in force, the node needs the whole
                # object, which it reads from the object API instead of a peer.
                self.refresh()
            else:
                self._on_newer(generation)

    def _offer(self, body: dict[str, Any]) -> bool:
        try:
            return self._state.offer(_without_token(body), "object API")
        except ConfigurationError as error:
            log.error("config: invalid configuration: {}", error)
            return False
