"""Stand-in for the eventually consistent VM list of the platform.

Each VM is listed as one EndpointSlice.
"""

from __future__ import annotations

import asyncio
from typing import Any

import fire
import xxhash
from aiohttp import web

from guavalane_standins import web as standin_web


class VmList:
    """Lists running and terminating VMs; changes become visible with a delay.

    Args:
      lag_s: Delay until a change becomes visible, in seconds.
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self._lag_s = lag_s
        self._visible: dict[str, dict[str, Any]] = {}
        self._pending: set[asyncio.Task] = set()

    def application(self) -> web.Application:
        """Returns the aiohttp application of the stand-in."""
        app = standin_web.make_application()
        app.add_routes(
            [
                web.get("/endpointslices", self._get_list),
                web.post("/standin/vms", self._set_vm),
            ]
        )
        return app

    async def _get_list(self, request: web.Request) -> web.Response:
        slices = [
            {
                "apiVersion": "discovery.k8s.io/v1",
                "kind": "EndpointSlice",
                "addressType": "IPv4",
                "ports": [{"port": int(vm["address"].rsplit(":", 1)[1])}],
                "endpoints": [
                    {
                        "addresses": [vm["address"].rsplit(":", 1)[0]],
                        "targetRef": {"kind": "VM", "name": name},
                        "zone": vm["zone"],
                        "conditions": {
                            "ready": not vm["leaving"],
                            "serving": True,
                            "terminating": vm["leaving"],
                        },
                    }
                ],
            }
            for name, vm in sorted(self._visible.items())
        ]
        response = web.json_response(
            {"kind": "EndpointSliceList", "items": slices}
        )
        response.etag = xxhash.xxh3_64_hexdigest(response.body)
        if response.etag in (request.if_none_match or ()):
            return web.Response(
                status=304, headers={"ETag": f'"{response.etag.value}"'}
            )
        return response

    async def _set_vm(self, request: web.Request) -> web.Response:
        data = await standin_web.read_json(request)
        task = asyncio.create_task(self._apply_after_lag(data))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        return web.json_response({})

    async def _apply_after_lag(self, data: dict[str, Any]) -> None:
        await asyncio.sleep(self._lag_s)
        if data.get("gone"):
            self._visible.pop(data["name"], None)
            return
        self._visible[data["name"]] = {
            "address": data["address"],
            "zone": data["zone"],
            "leaving": data.get("leaving", False),
        }


def main(port: int, lag_s: float = 0.0) -> None:
    """Runs the stand-in with an empty VM list.

    Args:
      port: TCP port on loopback.
      lag_s: Delay until a change becomes visible, in seconds.
    """
    standin_web.serve(VmList(lag_s).application(), port)


if __name__ == "__main__":
    fire.Fire(main)
