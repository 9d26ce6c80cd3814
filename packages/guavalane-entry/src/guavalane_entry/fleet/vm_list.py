"""Watcher of the platform's VM list, shared by all components of a node."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
from loguru import logger as log

from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.http_session import make_session

READ_PERIOD_S = 2.0
JITTER = 0.25
READ_TIMEOUT_S = 5.0
# Mean rate limit of reads: a changed list of n bytes is read again after
# n / MAX_BYTES_PER_S seconds at the earliest, so that the traffic does not grow
# with the fleet.
MAX_BYTES_PER_S = 1000


@attrs.frozen
class ListedVm:
    """VM in the platform's list.

    Attributes:
      name: Name of the VM.
      address: Address of its server, `IP:PORT`.
      zone: Availability zone; empty if the list does not contain it.
      leaving: Whether the VM is terminating.
    """

    name: str
    address: str
    zone: str
    leaving: bool


Listener = Callable[[list[ListedVm]], None]


def parse_vm_list(data: Any) -> list[ListedVm]:
    """Returns the VMs of an EndpointSlice list.

    Args:
      data: List of EndpointSlice objects; endpoints without an address or a
          port are ignored.

    Raises:
      ValueError: The data is not an EndpointSlice list.
    """
    found = []
    try:
        for item in data["items"]:
            ports = [port["port"] for port in item.get("ports") or ()]
            for endpoint in item.get("endpoints") or ():
                conditions = endpoint.get("conditions") or {}
                name = (endpoint.get("targetRef") or {}).get("name", "")
                found += [
                    ListedVm(
                        name=name,
                        address=f"{address}:{port}",
                        zone=endpoint.get("zone") or "",
                        leaving=bool(conditions.get("terminating")),
                    )
                    for address in endpoint.get("addresses") or ()
                    for port in ports
                ]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not an EndpointSlice list: {error!r}") from None
    return found


class VmListWatcher:
    """Polls the VM list and passes it to listeners.

    The list may be outdated, so listeners use it only as a hint for new
    candidates and for VMs that are terminating. Direct contact with a VM takes
    precedence.

    Args:
      url: URL of the list.
      timers: Timer service.
      rng: Source of jitter.
    """

    def __init__(
        self, url: str, timers: Timers, rng: random.Random | None = None
    ) -> None:
        self._url = url
        self._timers = timers
        self._rng = rng or random.Random()
        self._listeners: list[Listener] = []
        self._etag = ""
        self._vms: list[ListedVm] = []
        self._task: asyncio.Task | None = None

    def subscribe(self, listener: Listener) -> None:
        """Adds a listener that is called after each read, even if unchanged."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Starts polling."""
        if self._url:
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops polling."""
        await cancel_tasks(self._task)

    async def _run(self) -> None:
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        async with make_session(timeout=timeout) as session:
            while True:
                size = 0
                try:
                    size = await self._read(session)
                except (aiohttp.ClientError, TimeoutError, ValueError) as error:
                    log.debug("vm list: {!r}", error)
                period = max(READ_PERIOD_S, size / MAX_BYTES_PER_S)
                factor = 1 + JITTER * (2 * self._rng.random() - 1)
                await self._timers.sleep(period * factor)

    async def _read(self, session: aiohttp.ClientSession) -> int:
        headers = {"If-None-Match": self._etag} if self._etag else {}
        async with session.get(self._url, headers=headers) as response:
            response.raise_for_status()
            size = 0
            if response.status != 304:
                size = len(await response.read())
                self._vms = parse_vm_list(
                    await response.json(content_type=None)
                )
                self._etag = response.headers.get("ETag", "")
        # Listeners also retry candidates of an unchanged list.
        for listener in self._listeners:
            listener(self._vms)
        return size
