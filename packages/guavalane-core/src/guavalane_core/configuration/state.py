"""The configuration in force on one node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger as log

from guavalane_core.configuration.changes import (
    GENERATION_KEY,
    apply_delta,
    make_delta,
)
from guavalane_core.configuration.generated import Configuration
from guavalane_core.configuration.validation import parse_configuration
from guavalane_core.exceptions import ConfigurationError

Listener = Callable[[Configuration], None]
# Number of deltas kept for peers that missed recent changes.
DELTA_HISTORY = 64


class ConfigurationState:
    """Holds the configuration with the highest generation from any source."""

    def __init__(self) -> None:
        self._current = Configuration()
        self._plain: dict[str, Any] = {GENERATION_KEY: 0}
        self._deltas: dict[int, dict[str, Any]] = {}
        self._listeners: list[Listener] = []
        self._rejected: tuple[int, str] | None = None

    @property
    def current(self) -> Configuration:
        """Configuration in force."""
        return self._current

    @property
    def generation(self) -> int:
        """Generation in force; 0 before the first configuration."""
        return self._current.generation

    @property
    def plain(self) -> dict[str, Any]:
        """Configuration in force as plain data; must not be modified."""
        return self._plain

    @property
    def rejected(self) -> tuple[int, str] | None:
        """Generation and errors of the last rejected configuration, if any."""
        return self._rejected

    def subscribe(self, listener: Listener) -> None:
        """Registers a listener that is called with each new configuration."""
        self._listeners.append(listener)

    def offer(self, data: dict[str, Any], source: str = "") -> bool:
        """Applies a configuration if its generation is higher.

        An invalid configuration is ignored and reported by `rejected`.

        Args:
          data: Configuration as plain data.
          source: Origin of the configuration, for the log.

        Returns:
          Whether the configuration is now in force.
        """
        try:
            configuration = parse_configuration(data)
        except ConfigurationError as error:
            generation = data.get(GENERATION_KEY, 0) if data else 0
            self._rejected = (generation, str(error))
            log.error(
                "config: rejected generation {} from {}: {}",
                generation,
                source,
                error,
            )
            return False
        if configuration.generation <= self.generation:
            return False
        self._keep_delta(data, configuration.generation)
        self._current = configuration
        self._plain = data
        self._rejected = None
        log.info(
            "config: generation {} in force, from {}",
            configuration.generation,
            source,
        )
        for listener in self._listeners:
            listener(configuration)
        return True

    def offer_delta(
        self, base: int, generation: int, delta: dict[str, Any], source: str
    ) -> bool:
        """Applies a delta if it is based on the generation in force.

        Returns:
          Whether the delta is in force or not needed; if False, the whole
          configuration has to be requested.
        """
        if generation <= self.generation:
            return True
        if base != self.generation:
            return False
        merged = apply_delta(self._plain, delta)
        merged[GENERATION_KEY] = generation
        return self.offer(merged, source)

    def delta_since(self, base: int) -> dict[str, Any] | None:
        """Returns the changes since a generation, or None if unknown."""
        if base == self.generation - 1:
            return self._deltas.get(self.generation)
        merged: dict[str, Any] = {}
        for generation in range(base + 1, self.generation + 1):
            delta = self._deltas.get(generation)
            if delta is None:
                return None
            for section, entries in delta.items():
                merged.setdefault(section, {}).update(entries)
        return merged

    def _keep_delta(self, data: dict[str, Any], generation: int) -> None:
        if generation != self.generation + 1:
            self._deltas.clear()
            return
        self._deltas[generation] = make_delta(self._plain, data)
        self._deltas.pop(generation - DELTA_HISTORY, None)
