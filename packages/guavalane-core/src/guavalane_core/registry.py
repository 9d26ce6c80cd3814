"""Registries of named implementations, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from guavalane_core.exceptions import ConfigurationError

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to implementations of one kind.

    Args:
      kind: Kind of implementation, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    @property
    def names(self) -> list[str]:
        """Registered names in alphabetical order."""
        return sorted(self._entries)

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that adds its target under `name`.

        Raises:
          ValueError: The name is already registered.
        """

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Returns the implementation with this name.

        Raises:
          ConfigurationError: The name is not registered.
        """
        try:
            return self._entries[name]
        except KeyError:
            allowed = ", ".join(self.names)
            raise ConfigurationError(
                [f"unknown {self._kind} {name!r}; allowed: {allowed}"]
            ) from None

    def __iter__(self) -> Iterator[str]:
        return iter(self.names)
