"""Stand-in for the cloud API and the VM metadata server.

Instances use the resource format of the Compute Engine REST API. The reclaim
notice of a VM is the metadata key `instance/preempted`; the path is prefixed
with the VM name, because one server answers for all VMs.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import attrs
import fire
from aiohttp import web

from guavalane_standins import web as standin_web

INSTANCES = "/compute/v1/projects/{project}/zones/{zone}/instances"
PREEMPTED = "/vm/{name}/computeMetadata/v1/instance/preempted"


@attrs.define
class Faults:
    """Injected faults of the cloud API.

    Attributes:
      refuse_spot_zones: Availability zones without capacity for reclaimable
          VMs.
      refuse_zones: Availability zones without capacity for any VM.
      hold_inserts: Whether insert requests are delayed until this is reset.
          They are then executed even if the client has disconnected.
      delay_s: Latency of list requests, in seconds.
      notice_s: Time from the reclaim notice to the termination of a VM, in
          seconds.
    """

    refuse_spot_zones: list[str] = attrs.field(factory=list)
    refuse_zones: list[str] = attrs.field(factory=list)
    hold_inserts: bool = False
    delay_s: float = 0.0
    notice_s: float = 25.0


@attrs.define
class Call:
    """A mutating request that the cloud API received.

    Attributes:
      action: `insert`, `delete` or `set_labels`.
      name: Name of the VM.
      zone: Availability zone.
      fencing: Value of the label `fencing`; empty if it is not set.
      at_s: Monotonic time of arrival, in seconds.
      status: HTTP status of the response; 0 while the request is pending.
    """

    action: str
    name: str
    zone: str
    fencing: str
    at_s: float
    status: int = 0


class Cloud:
    """Keeps instances in memory and serves the cloud and metadata APIs."""

    def __init__(self) -> None:
        self._instances: dict[str, dict[str, Any]] = {}
        self._preempted: set[str] = set()
        self._changed = asyncio.Event()
        self._inserts_released = asyncio.Event()
        self._inserts_released.set()
        self._calls: list[Call] = []
        self._insert_tasks: set[asyncio.Task] = set()
        self.faults = Faults()

    def application(self) -> web.Application:
        """Returns the aiohttp application of the stand-in."""
        app = standin_web.make_application()
        app.add_routes(
            [
                web.get(INSTANCES, self._list),
                web.post(INSTANCES, self._insert),
                web.delete(INSTANCES + "/{name}", self._delete),
                web.post(INSTANCES + "/{name}/setLabels", self._set_labels),
                web.get(PREEMPTED, self._get_preempted),
                web.get("/standin/calls", self._get_calls),
                web.post("/standin/end", self._terminate_vms),
                web.post("/standin/reclaim", self._reclaim),
                web.post("/standin/faults", self._set_faults),
            ]
        )
        return app

    async def _list(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.faults.delay_s)
        zone = request.match_info["zone"]
        items = [i for i in self._instances.values() if i["zone"] == zone]
        return web.json_response(
            {"kind": "compute#instanceList", "items": items}
        )

    def _record_call(
        self, action: str, request: web.Request, name: str, body: dict
    ) -> Call:
        call = Call(
            action,
            name,
            request.match_info["zone"],
            body.get("labels", {}).get("fencing", ""),
            time.monotonic(),
        )
        self._calls.append(call)
        return call

    async def _insert(self, request: web.Request) -> web.Response:
        body = await standin_web.read_json(request)
        call = self._record_call("insert", request, body["name"], body)
        # The insert completes even if the client disconnects.
        task = asyncio.create_task(self._run_insert(call, body))
        self._insert_tasks.add(task)
        task.add_done_callback(self._insert_tasks.discard)
        return await asyncio.shield(task)

    async def _run_insert(
        self, call: Call, body: dict[str, Any]
    ) -> web.Response:
        await self._inserts_released.wait()
        status, error = self._create_instance(call.zone, body)
        call.status = status
        if error:
            data = {"code": status, "status": error}
            return web.json_response({"error": data}, status=status)
        return web.json_response(
            {"kind": "compute#operation", "status": "DONE"}
        )

    def _create_instance(
        self, zone: str, body: dict[str, Any]
    ) -> tuple[int, str]:
        model = body.get("scheduling", {}).get("provisioningModel", "STANDARD")
        if zone in self.faults.refuse_zones or (
            model == "SPOT" and zone in self.faults.refuse_spot_zones
        ):
            return 503, "ZONE_RESOURCE_POOL_EXHAUSTED"
        if body["name"] in self._instances:
            return 409, "ALREADY_EXISTS"
        self._instances[body["name"]] = {
            "name": body["name"],
            "zone": zone,
            "machineType": body.get("machineType", ""),
            "status": "RUNNING",
            "labels": body.get("labels", {}),
            "labelFingerprint": "0",
            "scheduling": {"provisioningModel": model},
        }
        return 200, ""

    async def _delete(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        call = self._record_call("delete", request, name, {})
        call.status = 200 if self._instances.pop(name, None) else 404
        return web.json_response(
            {"kind": "compute#operation", "status": "DONE"}, status=call.status
        )

    async def _set_labels(self, request: web.Request) -> web.Response:
        body = await standin_web.read_json(request)
        name = request.match_info["name"]
        call = self._record_call("set_labels", request, name, body)
        instance = self._instances.get(name)
        call.status = 404
        if instance is not None:
            fingerprint = instance["labelFingerprint"]
            call.status = (
                200 if body["labelFingerprint"] == fingerprint else 412
            )
        if call.status == 200:
            instance["labels"] = body["labels"]
            instance["labelFingerprint"] = str(int(fingerprint) + 1)
        return web.json_response(
            {"kind": "compute#operation"}, status=call.status
        )

    async def _get_calls(self, _: web.Request) -> web.Response:
        return web.json_response([attrs.asdict(call) for call in self._calls])

    async def _terminate_vms(self, request: web.Request) -> web.Response:
        for name in (await standin_web.read_json(request))["names"]:
            self._terminate(name)
        return web.json_response({})

    async def _get_preempted(self, request: web.Request) -> web.Response:
        if request.headers.get("Metadata-Flavor") != "Google":
            raise web.HTTPForbidden
        name = request.match_info["name"]
        wait = request.query.get("wait_for_change") == "true"
        while wait and name not in self._preempted:
            await self._changed.wait()
        text = "TRUE" if name in self._preempted else "FALSE"
        return web.Response(text=text)

    async def _reclaim(self, request: web.Request) -> web.Response:
        body = await standin_web.read_json(request)
        self._preempted.update(body["names"])
        for name in body["names"]:
            if name in self._instances:
                self._instances[name]["status"] = "STOPPING"
                asyncio.get_running_loop().call_later(
                    self.faults.notice_s, self._terminate, name
                )
        self._changed.set()
        self._changed = asyncio.Event()
        return web.json_response({})

    def _terminate(self, name: str) -> None:
        self._instances.pop(name, None)
        self._preempted.discard(name)

    async def _set_faults(self, request: web.Request) -> web.Response:
        data = await standin_web.read_json(request)
        standin_web.update_fields(self.faults, data)
        if self.faults.hold_inserts:
            self._inserts_released.clear()
        else:
            self._inserts_released.set()
        return web.json_response(attrs.asdict(self.faults))


def main(port: int) -> None:
    """Runs a cloud API without instances.

    Args:
      port: TCP port on loopback.
    """
    standin_web.serve(Cloud().application(), port)


if __name__ == "__main__":
    fire.Fire(main)
