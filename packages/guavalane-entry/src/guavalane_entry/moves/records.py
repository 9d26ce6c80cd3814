"""Storage of the records of version moves in the object API."""

from __future__ import annotations

from guavalane_core.moves import MoveRecord
from guavalane_core.moves.record import from_plain, to_plain
from guavalane_core.objects import ConditionalWriter, ObjectApi, StoredObject

KIND = "moves"


class MoveRecordStore:
    """Reads and writes the records of moves.

    Args:
      api: Object API.
    """

    def __init__(self, api: ObjectApi) -> None:
        self._api = api
        self._writer = ConditionalWriter(api)

    async def get(self, name: str) -> tuple[StoredObject, MoveRecord]:
        """Returns a record and the object that holds it.

        Raises:
          ObjectNotFoundError: There is no such record.
        """
        stored = await self._api.get(KIND, name)
        return stored, from_plain(stored.body)

    async def list(self) -> list[MoveRecord]:
        """Returns all records."""
        stored, _ = await self._api.list(KIND)
        return [from_plain(item.body) for item in stored]

    async def create(self, record: MoveRecord) -> None:
        """Stores a new record."""
        await self._writer.create(KIND, record.plan.name, to_plain(record))

    async def update(self, stored: StoredObject, record: MoveRecord) -> None:
        """Replaces a record that has not changed since it was read."""
        await self._writer.update(stored, to_plain(record))
