"""Intents: the recorded desired states of engines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from guavalane_core.exceptions import (
    ObjectConflictError,
    ObjectNotFoundError,
    OrderConflictError,
)
from guavalane_core.objects import ConditionalWriter, ObjectApi, StoredObject
from guavalane_core.orders.order import DesiredState

KIND = "orders"
# Attempts at recording an order while the sender takes over the intent. Each
# change of the lease holder rewrites an intent once.
PLACE_ATTEMPTS = 5


@attrs.frozen
class Intent:
    """Desired state of an engine, recorded previous the order is sent.

    Attributes:
      endpoint: Engine.
      desired: Desired state.
      load_bytes: Bytes that the engine has to load to reach it.
      fencing_number: Fencing number of the sender that owns the intent; 0 if
          no sender owns it yet.
      revision: Increases by one with each order; a change of sender keeps it.
      by: Operator who placed the order.
    """

    endpoint: str
    desired: DesiredState
    load_bytes: int
    fencing_number: int
    revision: int = 1
    by: str = ""

    def to_body(self) -> dict[str, Any]:
        """Returns the body to store."""
        return {
            "endpoint": self.endpoint,
            "desired": self.desired.to_plain(),
            "load_bytes": self.load_bytes,
            "fencing_number": self.fencing_number,
            "revision": self.revision,
            "by": self.by,
        }

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> Intent:
        """Returns the intent of a stored body."""
        return cls(
            body["endpoint"],
            DesiredState.from_plain(body["desired"]),
            body["load_bytes"],
            body["fencing_number"],
            body.get("revision", 1),
            body.get("by", ""),
        )


class IntentStore:
    """Stores intents in the object API, one object per engine.

    Args:
      api: Object API.
    """

    def __init__(self, api: ObjectApi) -> None:
        self._api = api
        self._writer = ConditionalWriter(api)

    async def list(self) -> list[tuple[StoredObject, Intent]]:
        """Returns all intents.

        Raises:
          ObjectApiError: The intents could not be read.
        """
        found, _ = await self._api.list(KIND)
        return [(stored, Intent.from_body(stored.body)) for stored in found]

    async def get(
        self, endpoint: str
    ) -> tuple[StoredObject | None, Intent | None]:
        """Returns the intent of an engine, or None twice if there is none.

        Raises:
          ObjectApiError: The intent could not be read.
        """
        try:
            stored = await self._api.get(KIND, endpoint)
        except ObjectNotFoundError:
            return None, None
        return stored, Intent.from_body(stored.body)

    async def write(self, intent: Intent, stored: StoredObject | None) -> None:
        """Replaces the version of an intent that was read.

        Raises:
          ObjectConflictError: The intent has been changed since.
          ObjectApiError: The intent could not be written.
        """
        if stored is None:
            await self._writer.create(KIND, intent.endpoint, intent.to_body())
        else:
            await self._writer.update(stored, intent.to_body())

    async def place(
        self, endpoint: str, make: Callable[[Intent | None], Intent]
    ) -> Intent:
        """Records an operator's order; needs no lease, so any node may call it.

        The fencing number is kept, so that the sender remains the owner of the
        intent. An order that equals the recorded one is not written.

        Args:
          endpoint: Engine.
          make: Returns the new intent, given the recorded one or None.

        Raises:
          OrderConflictError: Another order was recorded first.
          ObjectApiError: The order was not recorded.
        """
        first_revision = None
        for _ in range(PLACE_ATTEMPTS):
            stored, previous = await self.get(endpoint)
            revision = previous.revision if previous else 0
            if first_revision is None:
                first_revision = revision
            elif revision != first_revision:
                raise OrderConflictError(
                    f"another order for {endpoint} came first, by"
                    f" {previous.by or 'an operator'}"
                )
            intent = make(previous)
            if previous is not None:
                if (intent.desired, intent.load_bytes) == (
                    previous.desired,
                    previous.load_bytes,
                ):
                    return previous
                intent = attrs.evolve(
                    intent,
                    fencing_number=previous.fencing_number,
                    revision=revision + 1,
                )
            try:
                await self.write(intent, stored)
            except (ObjectConflictError, ObjectNotFoundError):
                # Another order was recorded, or the sender took over the
                # intent; the revision tells which.
                continue
            return intent
        raise OrderConflictError(f"the order for {endpoint} changes too often")
