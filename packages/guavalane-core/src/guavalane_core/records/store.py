"""Durable requests, stored in the object API."""

from __future__ import annotations

import json

import attrs

from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectConflictError,
    ObjectNotFoundError,
    WriteOutcomeUnknownError,
)
from guavalane_core.objects import ConditionalWriter, ObjectApi
from guavalane_core.objects.api import MAX_VALUE_BYTES
from guavalane_core.records.outcomes import (
    Accepted,
    Adopted,
    AdoptionLost,
    DurableRequest,
    Finished,
    NotFinished,
    NotRecorded,
    Record,
)
from guavalane_core.requests import OwnerWatch, StoredAnswer

KIND = "records"
# Attempts at a write that conflicts with others.
MAX_ATTEMPTS = 5
# Space reserved for other fields and the envelope of a stored object, in bytes.
RESERVED_BYTES = 4096


class RecordStore:
    """Records, finishes, adopts and finds durable requests.

    Args:
      api: Object API.
      owners: Reports which owners are gone.
    """

    def __init__(self, api: ObjectApi, owners: OwnerWatch) -> None:
        self._api = api
        self._owners = owners
        self._writer = ConditionalWriter(api)

    async def accept(self, request: DurableRequest) -> Accepted | NotRecorded:
        """Stores a request, which is accepted once it is stored."""
        body = {
            "request": request.to_plain(),
            "owner": self._owners.owner,
            "incarnation": self._owners.incarnation,
            "epoch": 1,
        }
        if len(json.dumps(body)) > MAX_VALUE_BYTES - RESERVED_BYTES:
            return NotRecorded("the request is too large to be recorded", True)
        try:
            stored = await self._writer.create(KIND, request.request_id, body)
        except WriteOutcomeUnknownError as error:
            return NotRecorded(str(error), certain=False)
        except ObjectApiError as error:
            return NotRecorded(str(error), certain=True)
        return Accepted(Record.from_stored(stored))

    async def discard(self, request_id: str) -> bool:
        """Deletes the record of a request that this process did not accept.

        A record that another process owns is kept.

        Returns:
          Whether a record existed.

        Raises:
          ObjectApiError: The object API is unavailable.
        """
        try:
            record = await self.get(request_id)
            if self._owners.is_self(record.owner, record.incarnation):
                await self._api.delete(KIND, request_id, record.stored.version)
        except ObjectNotFoundError:
            return False
        return True

    async def finish(
        self, record: Record, answer: StoredAnswer
    ) -> Finished | NotFinished:
        """Stores the answer unless another run stored one first.

        A node whose record was adopted may still store its answer. The answers
        of both nodes are valid, and the first write wins.
        """
        # The request is not run again, so its body is dropped to save space for
        # the answer.
        finished_request = attrs.evolve(record.request, body=b"").to_plain()
        plain = answer.to_plain()
        if len(json.dumps(plain)) > MAX_VALUE_BYTES - RESERVED_BYTES:
            plain = answer.without_body().to_plain()
        try:
            for _ in range(MAX_ATTEMPTS):
                body = {
                    **record.stored.body,
                    "request": finished_request,
                    "answer": plain,
                }
                try:
                    await self._writer.update(record.stored, body)
                except ObjectConflictError:
                    record = await self.get(record.request.request_id)
                    if record.answer is not None:
                        return Finished(record.answer)
                    continue
                return Finished(answer)
        except ObjectApiError as error:
            return NotFinished(str(error))
        return NotFinished("the record keeps changing")

    async def adopt(self, record: Record) -> Adopted | AdoptionLost:
        """Takes ownership of a request whose owner is gone or handed it over.

        Raises:
          ObjectApiError: The object API is unavailable.
        """
        body = {
            **record.stored.body,
            "owner": self._owners.owner,
            "incarnation": self._owners.incarnation,
            "epoch": record.epoch + 1,
        }
        if record.answer is not None:
            return AdoptionLost()
        try:
            stored = await self._writer.update(record.stored, body)
        except (ObjectConflictError, ObjectNotFoundError):
            return AdoptionLost()
        return Adopted(Record.from_stored(stored))

    async def get(self, request_id: str) -> Record:
        """Returns a record.

        Raises:
          ObjectNotFoundError: There is no such record.
          ObjectApiError: The object API is unavailable.
        """
        return Record.from_stored(await self._api.get(KIND, request_id))

    async def scan(self) -> list[Record]:
        """Returns the unanswered records whose owners are gone.

        Raises:
          ObjectApiError: The object API is unavailable.
        """
        found, _ = await self._api.list(KIND)
        return [
            Record.from_stored(stored)
            for stored in found
            if "answer" not in stored.body
            and self._owners.is_gone(
                stored.body["owner"], stored.body["incarnation"]
            )
        ]
