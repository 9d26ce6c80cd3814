"""Stand-in for the object API, which follows Kubernetes API conventions."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

import attrs
import fire
from aiohttp import web

from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectApiUnavailableError,
    ObjectConflictError,
    ObjectNotFoundError,
    WatchGapError,
    WriteOutcomeUnknownError,
)
from guavalane_core.objects import (
    MemoryObjectApi,
    ObjectMetadata,
    StoredObject,
)
from guavalane_standins import web as standin_web

API_VERSION = "guavalane.dev/v1"
BASE_PATH = f"/apis/{API_VERSION}/namespaces/default"


def _to_metadata(metadata: ObjectMetadata) -> dict:
    result = {
        "name": metadata.name,
        "resourceVersion": metadata.version,
        "generation": metadata.sequence,
    }
    if metadata.annotations:
        result["annotations"] = dict(metadata.annotations)
    return result


def to_resource(stored: StoredObject) -> dict:
    """Returns an object as a resource of the API."""
    return {
        "apiVersion": API_VERSION,
        "kind": stored.kind,
        "metadata": _to_metadata(stored.metadata),
        "spec": stored.body,
    }


def to_partial(metadata: ObjectMetadata) -> dict:
    """Returns the metadata of an object as a PartialObjectMetadata resource."""
    return {
        "apiVersion": "meta.k8s.io/v1",
        "kind": "PartialObjectMetadata",
        "metadata": _to_metadata(metadata),
    }


def _wants_partial(request: web.Request) -> bool:
    """Returns whether the client prefers PartialObjectMetadata responses."""
    accepted = request.headers.get("Accept", "").split(",")
    parameters = [part.strip() for part in accepted[0].split(";")]
    return {"g=meta.k8s.io", "v=v1"} <= set(parameters) and any(
        part in ("as=PartialObjectMetadata", "as=PartialObjectMetadataList")
        for part in parameters
    )


def to_event(resource: dict, deleted: bool = False) -> dict:
    """Returns a watch event of the API."""
    return {"type": "DELETED" if deleted else "MODIFIED", "object": resource}


def _status(code: int, reason: str, message: str) -> web.Response:
    body = {"kind": "Status", "code": code, "reason": reason}
    return web.json_response({**body, "message": message}, status=code)


class ObjectServer:
    """Serves a `MemoryObjectApi` over HTTP."""

    def __init__(self, api: MemoryObjectApi | None = None) -> None:
        self._api = api or MemoryObjectApi()

    @property
    def api(self) -> MemoryObjectApi:
        """Object API that the server exposes."""
        return self._api

    def application(self) -> web.Application:
        """Returns the aiohttp application of the stand-in."""
        app = standin_web.make_application()
        app.middlewares.append(self._translate_errors)
        item = BASE_PATH + "/{kind}/{name}"
        app.add_routes(
            [
                web.get(BASE_PATH + "/{kind}", self._list_or_watch),
                web.post(BASE_PATH + "/{kind}", self._create),
                web.get(item, self._get),
                web.put(item, self._update),
                web.delete(item, self._delete),
                web.post("/standin/faults", self._set_faults),
                web.get("/standin/calls", self._get_calls),
            ]
        )
        return app

    @web.middleware
    async def _translate_errors(
        self, request: web.Request, handler: web.Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except ObjectNotFoundError as error:
            return _status(404, "NotFound", str(error))
        except ObjectConflictError as error:
            return _status(409, "Conflict", str(error))
        except WatchGapError as error:
            return _status(410, "Expired", str(error))
        except ObjectApiUnavailableError as error:
            return _status(503, "ServiceUnavailable", str(error))
        except WriteOutcomeUnknownError:
            # Simulates a lost response: closes the connection without one.
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError from None
        except ObjectApiError as error:
            return _status(413, "RequestEntityTooLarge", str(error))

    async def _get(self, request: web.Request) -> web.Response:
        if _wants_partial(request):
            metadata = await self._api.get_metadata(**request.match_info)
            return web.json_response(to_partial(metadata))
        stored = await self._api.get(**request.match_info)
        return web.json_response(to_resource(stored))

    async def _list_or_watch(self, request: web.Request) -> web.StreamResponse:
        kind = request.match_info["kind"]
        if request.query.get("watch"):
            return await self._watch(request, kind)
        if _wants_partial(request):
            parts, version = await self._api.list_metadata(kind)
            items = [to_partial(metadata) for metadata in parts]
        else:
            found, version = await self._api.list(kind)
            items = [to_resource(stored) for stored in found]
        return web.json_response(
            {
                "kind": "List",
                "metadata": {"resourceVersion": version},
                "items": items,
            }
        )

    async def _watch(
        self, request: web.Request, kind: str
    ) -> web.StreamResponse:
        version = request.query["resourceVersion"]
        timeout_s = float(request.query.get("timeoutSeconds", 300))
        response = web.StreamResponse()
        response.content_type = "application/json"
        await response.prepare(request)
        # Sends the headers immediately, so that the client knows that the
        # watch is established.
        await response.write(b"\n")
        try:
            async with asyncio.timeout(timeout_s):
                async for line in self._watch_lines(request, kind, version):
                    await response.write(json.dumps(line).encode() + b"\n")
        except TimeoutError:
            pass
        except ObjectApiError as error:
            status = {"kind": "Status", "code": error.status}
            line = {"type": "ERROR", "object": status}
            await response.write(json.dumps(line).encode() + b"\n")
        return response

    async def _watch_lines(
        self, request: web.Request, kind: str, version: str
    ) -> AsyncIterator[dict]:
        if _wants_partial(request):
            async for event in self._api.watch_metadata(kind, version):
                yield to_event(to_partial(event.metadata), event.deleted)
        else:
            async for event in self._api.watch(kind, version):
                yield to_event(to_resource(event.object), event.deleted)

    async def _create(self, request: web.Request) -> web.Response:
        resource = await standin_web.read_json(request)
        stored = await self._api.create(
            request.match_info["kind"],
            resource["metadata"]["name"],
            resource["spec"],
            resource["metadata"].get("annotations"),
        )
        return web.json_response(to_resource(stored), status=201)

    async def _update(self, request: web.Request) -> web.Response:
        resource = await standin_web.read_json(request)
        stored = await self._api.update(
            request.match_info["kind"],
            request.match_info["name"],
            resource["spec"],
            resource["metadata"]["resourceVersion"],
            resource["metadata"].get("annotations"),
        )
        return web.json_response(to_resource(stored))

    async def _delete(self, request: web.Request) -> web.Response:
        options = await standin_web.read_json(request)
        version = options["preconditions"]["resourceVersion"]
        await self._api.delete(**request.match_info, version=version)
        return web.json_response({"kind": "Status", "status": "Success"})

    async def _set_faults(self, request: web.Request) -> web.Response:
        data = await standin_web.read_json(request)
        standin_web.update_fields(self._api.faults, data)
        self._api.set_down(self._api.faults.down)
        return web.json_response(attrs.asdict(self._api.faults))

    async def _get_calls(self, _: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(self._api.calls))


def main(port: int) -> None:
    """Runs an empty object API.

    Args:
      port: TCP port on loopback.
    """
    standin_web.serve(ObjectServer().application(), port)


if __name__ == "__main__":
    fire.Fire(main)
