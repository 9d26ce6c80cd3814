"""Desired and reported states of engines."""

from __future__ import annotations

from typing import Any, Protocol

import attrs


@attrs.frozen
class DesiredState:
    """Desired state of an engine; applying it is idempotent.

    Attributes:
      model: Model to serve.
      version: Version of the model.
      role: Role, such as `prefill`, `decode` or `both`.
      adapters: Adapters to load, in alphabetical order.
    """

    model: str
    version: str
    role: str = "both"
    adapters: tuple[str, ...] = attrs.field(
        default=(), converter=lambda names: tuple(sorted(names))
    )

    def to_plain(self) -> dict[str, Any]:
        """Returns the state as plain data."""
        return {**attrs.asdict(self), "adapters": list(self.adapters)}

    @classmethod
    def from_plain(cls, data: dict[str, Any]) -> DesiredState:
        """Returns the state from plain data."""
        return cls(
            data["model"], data["version"], data["role"], data["adapters"]
        )


@attrs.frozen
class EngineStatus:
    """Status that an engine reports.

    Attributes:
      state: Current state, or the one that is being loaded.
      loading: Whether weights are still being loaded.
      fencing_number: Highest fencing number that the engine has seen; 0 if it
          does not check fencing numbers.
    """

    state: DesiredState
    loading: bool = False
    fencing_number: int = 0


class EngineOrders(Protocol):
    """Interface for sending orders to engines."""

    async def read(self, endpoint: str) -> EngineStatus:
        """Returns the status of an engine.

        Raises:
          OrderFailedError: The engine did not respond.
        """

    async def apply(
        self, endpoint: str, desired: DesiredState, fencing_number: int
    ) -> None:
        """Sends an order.

        Raises:
          StaleOrderError: The engine has seen a higher fencing number.
          OrderFailedError: The order may or may not have arrived.
        """
