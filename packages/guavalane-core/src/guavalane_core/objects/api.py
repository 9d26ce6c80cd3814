"""Interface of the object API."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from typing import Any, Protocol

import attrs

# Largest value that the object API holds, in bytes.
MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class ObjectMetadata:
    """What the object API tells of an object without its content.

    Attributes:
      kind: Kind, in plural and lower case.
      name: Name, unique within the kind.
      version: Version that a conditional update names.
      sequence: Number that the object API raises by one at each change of the
          content (`metadata.generation`); 1 for a new object and 0 if the
          object API does not tell.
      annotations: Texts that a writer stored beside the content.
    """

    kind: str
    name: str
    version: str
    sequence: int = 0
    annotations: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class StoredObject:
    """One object as read from the object API.

    Attributes:
      kind: Kind, in plural and lower case.
      name: Name, unique within the kind.
      version: Version that a conditional update names.
      body: Content as plain data.
      sequence: See `ObjectMetadata`.
      annotations: See `ObjectMetadata`.
      status: What was written about the object beside its content; empty if
          nothing was, or if the object API keeps none.
    """

    kind: str
    name: str
    version: str
    body: dict[str, Any]
    sequence: int = 0
    annotations: Mapping[str, str] = attrs.field(factory=dict)
    status: Mapping[str, Any] = attrs.field(factory=dict)

    @property
    def metadata(self) -> ObjectMetadata:
        """The object without its content."""
        return ObjectMetadata(
            self.kind,
            self.name,
            self.version,
            self.sequence,
            self.annotations,
        )


@attrs.frozen
class ObjectEvent:
    """One event of a watch.

    Attributes:
      object: Object after the change, or its last state if it was deleted.
      deleted: Whether the object is gone.
    """

    object: StoredObject
    deleted: bool = False


@attrs.frozen
class MetadataEvent:
    """One event of a watch of metadata.

    Attributes:
      metadata: Metadata after the change, or the last one if the object was
          deleted.
      deleted: Whether the object is gone.
    """

    metadata: ObjectMetadata
    deleted: bool = False


@attrs.frozen
class ObjectBatch:
    """Answer to one wait for changes.

    Attributes:
      events: Changes in order; none if the wait ended without one.
      version: Version to wait from next.
    """

    events: tuple[ObjectEvent, ...]
    version: str


class ObjectApi(Protocol):
    """Calls of the object API.

    Every call may raise `ObjectApiUnavailableError`. Every write may raise
    `WriteOutcomeUnknownError` when its answer was lost.
    """

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object.

        Raises:
          ObjectNotFoundError: There is no such object.
        """

    async def get_metadata(self, kind: str, name: str) -> ObjectMetadata:
        """Returns the metadata of an object.

        Raises:
          ObjectNotFoundError: There is no such object.
        """

    async def list(self, kind: str) -> tuple[list[StoredObject], str]:
        """Returns all objects of a kind and the version of the list."""

    async def list_metadata(
        self, kind: str
    ) -> tuple[list[ObjectMetadata], str]:
        """Returns the metadata of all objects of a kind, and its version."""

    async def create(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Creates an object.

        Raises:
          ObjectConflictError: The object exists.
        """

    async def update(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        version: str,
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Replaces an object, annotations included, if it has this version.

        Raises:
          ObjectConflictError: The object has another version.
          ObjectNotFoundError: There is no such object.
        """

    async def delete(self, kind: str, name: str, version: str) -> None:
        """Deletes an object if it still has this version.

        Raises:
          ObjectConflictError: The object has another version.
          ObjectNotFoundError: There is no such object.
        """

    def watch(self, kind: str, version: str) -> AsyncIterator[ObjectEvent]:
        """Yields changes of a kind after a version until the server ends it.

        Raises:
          WatchGapError: The version is too old; list again.
        """

    def watch_metadata(
        self, kind: str, version: str
    ) -> AsyncIterator[MetadataEvent]:
        """Yields changes like `watch`, without the content of the objects."""


class PollableObjectApi(ObjectApi, Protocol):
    """Object API whose watches are single waits that the caller repeats."""

    async def poll(self, kind: str, version: str, wait_s: float) -> ObjectBatch:
        """Returns changes of a kind after a version, as soon as there are any.

        Args:
          kind: Kind.
          version: Version of the last list or batch.
          wait_s: Longest wait in seconds.

        Raises:
          WatchGapError: The version is too old; list again.
        """


class StatusApi(PollableObjectApi, Protocol):
    """Object API that keeps a status beside the content of each object."""

    async def update_status(
        self, kind: str, name: str, status: dict[str, Any], version: str
    ) -> StoredObject:
        """Replaces the status of an object if it has this version.

        Raises:
          ObjectConflictError: The object has another version.
          ObjectNotFoundError: There is no such object.
        """
