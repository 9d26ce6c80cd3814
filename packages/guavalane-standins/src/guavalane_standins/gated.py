"""Object API whose calls block until a test chooses the outcome of each."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import Coroutine, Mapping
from typing import Any

import attrs

from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectApiUnavailableError,
    WriteOutcomeUnknownError,
)
from guavalane_core.objects import MemoryObjectApi, StoredObject


class CallOutcome(enum.Enum):
    """Outcome of a call.

    Attributes:
      ANSWERED: The call is executed and the client gets the result.
      ANSWER_LOST: The call is executed, but the client gets an error.
      WRITE_LOST: The call is not executed and the client gets an error.
      WRITE_LATE: The client gets an error and a write is executed later.
      REFUSED: The call is rejected without being executed.
    """

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"
    WRITE_LOST = "write lost"
    WRITE_LATE = "write late"
    REFUSED = "refused"


@attrs.define(eq=False)
class PendingCall:
    """A call that waits for its outcome.

    Attributes:
      client: Name of the client that made the call.
      method: Name of the `ObjectApi` method.
      arguments: Arguments of the call.
      future: Result for the client.
    """

    client: str
    method: str
    arguments: tuple[Any, ...]
    future: asyncio.Future

    @property
    def is_write(self) -> bool:
        """Whether the call modifies objects."""
        return self.method in ("create", "update", "delete")


class CallGate:
    """Queues the calls of all clients of one object API.

    Args:
      objects: Object API that executes the calls, without its own injected
        faults.
    """

    def __init__(self, objects: MemoryObjectApi) -> None:
        self.objects = objects
        self.pending: list[PendingCall] = []
        self.late_writes: list[PendingCall] = []

    def complete(self, call: PendingCall, outcome: CallOutcome) -> None:
        """Completes a pending call with an outcome."""
        self.pending.remove(call)
        if call.future.done():
            return
        if outcome is CallOutcome.REFUSED:
            error = ObjectApiUnavailableError("the test rejected the call")
            call.future.set_exception(error)
            return
        if outcome is CallOutcome.ANSWERED:
            try:
                call.future.set_result(self._execute(call))
            except ObjectApiError as error:
                call.future.set_exception(error)
            return
        if not call.is_write:
            error = ObjectApiUnavailableError("the response was lost")
            call.future.set_exception(error)
            return
        if outcome is CallOutcome.ANSWER_LOST:
            self._execute_ignoring_errors(call)
        elif outcome is CallOutcome.WRITE_LATE:
            self.late_writes.append(call)
        call.future.set_exception(WriteOutcomeUnknownError(call.method))

    def apply_late_write(self, call: PendingCall) -> None:
        """Executes a delayed write."""
        self.late_writes.remove(call)
        self._execute_ignoring_errors(call)

    def crash(self, client: str, *, keep_writes: bool) -> None:
        """Removes the pending calls of a client whose process died.

        Args:
          client: Name of the client.
          keep_writes: Whether its pending writes are executed later.
        """
        for call in [c for c in self.pending if c.client == client]:
            self.pending.remove(call)
            if keep_writes and call.is_write:
                self.late_writes.append(call)

    def _execute_ignoring_errors(self, call: PendingCall) -> None:
        with contextlib.suppress(ObjectApiError):
            self._execute(call)

    def _execute(self, call: PendingCall) -> Any:
        coroutine: Coroutine = getattr(self.objects, call.method)(
            *call.arguments
        )
        # The objects are in memory, so the coroutine finishes without waiting.
        try:
            coroutine.send(None)
        except StopIteration as finished:
            return finished.value
        raise RuntimeError(f"{call.method} suspended unexpectedly")


class GatedObjectApi:
    """Client of a `CallGate`; see `guavalane_core.objects.ObjectApi`.

    Args:
      gate: Gate that queues the calls.
      client: Name of the client.
    """

    def __init__(self, gate: CallGate, client: str) -> None:
        self._gate = gate
        self._client = client

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object."""
        return await self._call("get", kind, name)

    async def list(self, kind: str) -> tuple[list[StoredObject], str]:
        """Returns all objects of a kind and the list version."""
        return await self._call("list", kind)

    async def create(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Creates an object."""
        return await self._call("create", kind, name, body, annotations)

    async def update(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        version: str,
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Replaces an object if its version matches."""
        return await self._call(
            "update", kind, name, body, version, annotations
        )

    async def delete(self, kind: str, name: str, version: str) -> None:
        """Deletes an object if its version matches."""
        await self._call("delete", kind, name, version)

    async def _call(self, method: str, *arguments: Any) -> Any:
        future = asyncio.get_running_loop().create_future()
        call = PendingCall(self._client, method, arguments, future)
        self._gate.pending.append(call)
        return await future
