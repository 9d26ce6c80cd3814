"""Interface of the object API."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from typing import Any, Protocol

import attrs

# Maximum size of an object's content.
MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class ObjectMetadata:
    """Metadata of an object, without its content.

    Attributes:
      kind: Kind, in plural and lower case.
      name: Name, unique within the kind.
      version: Version for conditional updates.
      sequence: Sequence number (`metadata.generation`) that the object API
          increments with each change of the content; 1 for a new object, 0 if
          the object API does not provide it.
      annotations: Key-value pairs stored with the content.
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
      version: Version for conditional updates.
      body: Content as plain data.
      sequence: See `ObjectMetadata`.
      annotations: See `ObjectMetadata`.
      status: Status stored with the content; empty if none was written or if
          the object API does not support it.
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
        """Metadata of the object."""
        return ObjectMetadata(
            self.kind,
            self.name,
            self.version,
            self.sequence,
            self.annotations,
        )


@attrs.frozen
class ObjectEvent:
    """Event of a watch.

    Attributes:
      object: Object after the change, or its last state if it was deleted.
      deleted: Whether the object was deleted.
    """

    object: StoredObject
    deleted: bool = False


@attrs.frozen
class MetadataEvent:
    """Event of a metadata watch.

    Attributes:
      metadata: Metadata after the change, or the last metadata if the object
          was deleted.
      deleted: Whether the object was deleted.
    """

    metadata: ObjectMetadata
    deleted: bool = False


@attrs.frozen
class ObjectBatch:
    """Result of one poll for changes.

    Attributes:
      events: Changes in order; empty if the poll timed out.
      version: Version for the next poll.
    """

    events: tuple[ObjectEvent, ...]
    version: str


class ObjectApi(Protocol):
    """Interface of the object API.

    Every call may raise `ObjectApiUnavailableError`. Every write may raise
    `WriteOutcomeUnknownError` if its response was lost.
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
        """Replaces an object and its annotations if it has this version.

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
        """Yields changes of a kind after a version until the watch ends.

        Raises:
          WatchGapError: The version is too old; list the objects again.
        """

    def watch_metadata(
        self, kind: str, version: str
    ) -> AsyncIterator[MetadataEvent]:
        """Yields the same changes as `watch`, without the objects' content."""


class PollableObjectApi(ObjectApi, Protocol):
    """Object API with long polling for changes."""

    async def poll(self, kind: str, version: str, wait_s: float) -> ObjectBatch:
        """Waits for changes of a kind after a version and returns them.

        Args:
          kind: Kind.
          version: Version of the last list or batch.
          wait_s: Maximum wait in seconds.

        Raises:
          WatchGapError: The version is too old; list the objects again.
        """


class StatusApi(PollableObjectApi, Protocol):
    """Object API that stores a status with the content of each object."""

    async def update_status(
        self, kind: str, name: str, status: dict[str, Any], version: str
    ) -> StoredObject:
        """Replaces the status of an object if it has this version.

        Raises:
          ObjectConflictError: The object has another version.
          ObjectNotFoundError: There is no such object.
        """
