"""Object API client over HTTP, in the conventions of the Kubernetes API."""

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
# The server ends a watch after this time, in seconds; the client re-arms it.
WATCH_S = 300
# Largest line of a watch: a value and its envelope, in bytes.
MAX_LINE_BYTES = 1 << 21
# A server that cannot leave out the content sends whole objects.
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
    """Returns whether a write that failed may have taken effect.

    The API's own 503 comes before the write; one without its `Status` body is
    from a gateway, which may have lost the API's answer.
    """
    if status == 503:
        return b'"Status"' not in data
    return status >= 500


class HttpObjectApi:
    """Calls the object API; see `guavalane_core.objects.ObjectApi`.

    Args:
      url: Base URL.
      timeout_s: Time limit of one call, in seconds.
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
        """Replaces an object if it still has this version."""
        resource = _to_resource(kind, name, body, annotations, version)
        path = f"/{kind}/{name}"
        return _from_resource(await self._call("PUT", path, resource))

    async def delete(self, kind: str, name: str, version: str) -> None:
        """Deletes an object if it still has this version."""
        options = {
            "kind": "DeleteOptions",
            "preconditions": {"resourceVersion": version},
        }
        await self._call("DELETE", f"/{kind}/{name}", options)

    async def watch(
        self, kind: str, version: str
    ) -> AsyncIterator[ObjectEvent]:
        """Yields changes of a kind after a version."""
        async for event in self._follow(kind, version, {}):
            resource = event["object"]
            yield ObjectEvent(
                _from_resource(resource), event["type"] == "DELETED"
            )

    async def watch_metadata(
        self, kind: str, version: str
    ) -> AsyncIterator[MetadataEvent]:
        """Yields changes of a kind, without the content of the objects."""
        async for event in self._follow(kind, version, _METADATA):
            metadata = _metadata_of(kind, event["object"])
            yield MetadataEvent(metadata, event["type"] == "DELETED")

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def _follow(
        self, kind: str, version: str, headers: Mapping[str, str]
    ) -> AsyncIterator[dict[str, Any]]:
        query = {
            "watch": "1",
            "resourceVersion": version,
            "timeoutSeconds": str(WATCH_S),
        }
        # A silent watch that outlives the server's limit is a dead connection.
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=2.0, sock_read=WATCH_S + 10
        )
        try:
            async with self._open_session().get(
                f"{self._url}/{kind}",
                params=query,
                headers=headers,
                timeout=timeout,
            ) as answer:
                self._check_status(answer.status, "watch")
                async for line in answer.content:
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

    def _check_status(self, status: int, what: str) -> None:
        if status < 400:
            return
        if status in _ERRORS:
            raise _ERRORS[status](what)
        if status in (429, 503):
            raise ObjectApiUnavailableError(f"{what}: status {status}")
        raise ObjectApiError(f"{what}: status {status}")

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Any:
        what = f"{method} {path}"
        try:
            async with self._open_session().request(
                method,
                self._url + path,
                json=body,
                headers=headers,
                timeout=self._timeout,
            ) as answer:
                data = await answer.read()
                if method != "GET" and _may_have_taken_effect(
                    answer.status, data
                ):
                    raise WriteOutcomeUnknownError(what)
                self._check_status(answer.status, what)
                return json.loads(data)
        except aiohttp.ClientConnectorError as error:
            raise ObjectApiUnavailableError(f"{what}: {error}") from None
        except (aiohttp.ClientError, TimeoutError) as error:
            if method == "GET":
                raise ObjectApiUnavailableError(f"{what}: {error!r}") from None
            raise WriteOutcomeUnknownError(what) from None
