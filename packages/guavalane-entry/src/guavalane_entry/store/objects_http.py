"""HTTP client of the object API, which follows Kubernetes conventions."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp

from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectApiUnavailableError,
    ObjectConflictError,
    ObjectNotFoundError,
    WatchGapError,
    WriteOutcomeUnknownError,
)
from guavalane_core.objects import (
    MetadataEvent,
    ObjectEvent,
    ObjectMetadata,
    StoredObject,
)
from guavalane_entry.http_session import make_session

API_VERSION = "guavalane.dev/v1"
BASE_PATH = f"/apis/{API_VERSION}/namespaces/default"
# The server ends a watch after this time; the client then starts another one.
WATCH_TIMEOUT_S = 300
# Maximum length of a line of a watch: the object and its envelope, in bytes.
MAX_LINE_BYTES = 1 << 21
# Requests metadata only; a server without support for it sends whole objects.
_PARTIAL = "application/json;as={};g=meta.k8s.io;v=v1,application/json"
_METADATA = {"Accept": _PARTIAL.format("PartialObjectMetadata")}
_METADATA_LIST = {"Accept": _PARTIAL.format("PartialObjectMetadataList")}

_ERRORS = {
    404: ObjectNotFoundError,
    409: ObjectConflictError,
    410: WatchGapError,
}


def _metadata_of(kind: str, resource: dict[str, Any]) -> ObjectMetadata:
    metadata = resource["metadata"]
    return ObjectMetadata(
        kind=kind,
        name=metadata["name"],
        version=metadata["resourceVersion"],
        sequence=metadata.get("generation", 0),
        annotations=metadata.get("annotations") or {},
    )


def _from_resource(resource: dict[str, Any]) -> StoredObject:
    metadata = _metadata_of(resource["kind"], resource)
    return StoredObject(
        kind=metadata.kind,
        name=metadata.name,
        version=metadata.version,
        body=resource["spec"],
        sequence=metadata.sequence,
        annotations=metadata.annotations,
    )


def _to_resource(
    kind: str,
    name: str,
    body: dict[str, Any],
    annotations: Mapping[str, str] | None,
    version: str | None = None,
) -> dict[str, Any]:
    metadata: dict[str, Any] = {"name": name}
    if annotations:
        metadata["annotations"] = dict(annotations)
    if version is not None:
        metadata["resourceVersion"] = version
    return {
        "apiVersion": API_VERSION,
        "kind": kind,
        "metadata": metadata,
        "spec": body,
    }


def _may_have_taken_effect(status: int, data: bytes) -> bool:
    """Returns whether a failed write may have taken effect.

    The object API sends status 503 before it writes. A 503 without a `Status`
    body is from a gateway, which may have lost the response of the object API.
    """
    if status == 503:
        return b'"Status"' not in data
    return status >= 500


class HttpObjectApi:
    """HTTP client of the object API; see `guavalane_core.objects.ObjectApi`.

    Args:
      url: Base URL.
      timeout_s: Timeout of a call in seconds.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/") + BASE_PATH
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object."""
        return _from_resource(await self._call("GET", f"/{kind}/{name}"))

    async def get_metadata(self, kind: str, name: str) -> ObjectMetadata:
        """Returns the metadata of an object."""
        path = f"/{kind}/{name}"
        return _metadata_of(
            kind, await self._call("GET", path, headers=_METADATA)
        )

    async def list(self, kind: str) -> tuple[list[StoredObject], str]:
        """Returns all objects of a kind and the version of the list."""
        data = await self._call("GET", f"/{kind}")
        found = [_from_resource(item) for item in data["items"]]
        return found, data["metadata"]["resourceVersion"]

    async def list_metadata(
        self, kind: str
    ) -> tuple[list[ObjectMetadata], str]:
        """Returns the metadata of all objects of a kind, and its version."""
        data = await self._call("GET", f"/{kind}", headers=_METADATA_LIST)
        found = [_metadata_of(kind, item) for item in data["items"]]
        return found, data["metadata"]["resourceVersion"]

    async def create(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Creates an object."""
        resource = _to_resource(kind, name, body, annotations)
        return _from_resource(await self._call("POST", f"/{kind}", resource))

    async def update(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        version: str,
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        """Replaces an object if its version has not changed."""
        resource = _to_resource(kind, name, body, annotations, version)
        path = f"/{kind}/{name}"
        return _from_resource(await self._call("PUT", path, resource))

    async def delete(self, kind: str, name: str, version: str) -> None:
        """Deletes an object if its version has not changed."""
        options = {
            "kind": "DeleteOptions",
            "preconditions": {"resourceVersion": version},
        }
        await self._call("DELETE", f"/{kind}/{name}", options)

    async def watch(
        self, kind: str, version: str
    ) -> AsyncIterator[ObjectEvent]:
        """Yields the changes of a kind after a version."""
        async for event in self._stream_events(kind, version, {}):
            resource = event["object"]
            yield ObjectEvent(
                _from_resource(resource), event["type"] == "DELETED"
            )

    async def watch_metadata(
        self, kind: str, version: str
    ) -> AsyncIterator[MetadataEvent]:
        """Yields metadata changes of a kind after a version."""
        async for event in self._stream_events(kind, version, _METADATA):
            metadata = _metadata_of(kind, event["object"])
            yield MetadataEvent(metadata, event["type"] == "DELETED")

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def _stream_events(
        self, kind: str, version: str, headers: Mapping[str, str]
    ) -> AsyncIterator[dict[str, Any]]:
        query = {
            "watch": "1",
            "resourceVersion": version,
            "timeoutSeconds": str(WATCH_TIMEOUT_S),
        }
        # A connection without data for longer than the server's watch timeout
        # is dead.
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=2.0, sock_read=WATCH_TIMEOUT_S + 10
        )
        try:
            async with self._open_session().get(
                f"{self._url}/{kind}",
                params=query,
                headers=headers,
                timeout=timeout,
            ) as response:
                self._check_status(response.status, "watch")
                async for line in response.content:
                    if line.strip():
                        event = json.loads(line)
                        self._check_event(event)
                        yield event
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise ObjectApiUnavailableError(f"watch: {error!r}") from None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = make_session(read_bufsize=MAX_LINE_BYTES)
        return self._session

    def _check_event(self, event: dict[str, Any]) -> None:
        if event["type"] == "ERROR":
            self._check_status(event["object"].get("code", 500), "watch")

    def _check_status(self, status: int, operation: str) -> None:
        if status < 400:
            return
        if status in _ERRORS:
            raise _ERRORS[status](operation)
        if status in (429, 503):
            raise ObjectApiUnavailableError(f"{operation}: status {status}")
        raise ObjectApiError(f"{operation}: status {status}")

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Any:
        operation = f"{method} {path}"
        try:
            async with self._open_session().request(
                method,
                self._url + path,
                json=body,
                headers=headers,
                timeout=self._timeout,
            ) as response:
                data = await response.read()
                if method != "GET" and _may_have_taken_effect(
                    response.status, data
                ):
                    raise WriteOutcomeUnknownError(operation)
                self._check_status(response.status, operation)
                return json.loads(data)
        except aiohttp.ClientConnectorError as error:
            raise ObjectApiUnavailableError(f"{operation}: {error}") from None
        except (aiohttp.ClientError, TimeoutError) as error:
            if method == "GET":
                raise ObjectApiUnavailableError(
                    f"{operation}: {error!r}"
                ) from None
            raise WriteOutcomeUnknownError(operation) from None
