"""Copies of objects that nodes read from each other.

A node that the object API does not serve follows it through another node.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping

import aiohttp
import cbor2

from guavalane_core.objects import StoredObject
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.reports import PeerReports
from guavalane_entry.gateway.watch import KindWatch
from guavalane_entry.http_session import make_keepalive_socket, make_session

PATH = "/copies/"
# Time between two looks at what is behind, in seconds.
PERIOD_S = 0.4
# A kind without an answer of the object API is read from another node after
# this time, in seconds.
LOST_S = 0.8
# Time for one call, in seconds.
CALL_TIMEOUT_S = 0.8


def encode_copy(watch: KindWatch) -> tuple[int, bytes]:
    """Returns the answer to a node that asks for a copy."""
    if not watch.listed or watch.lost:
        return 503, b""
    objects = [
        [stored.name, stored.version, stored.body, dict(stored.status)]
        for stored in watch.objects.values()
    ]
    return 200, cbor2.dumps(objects)


def decode_copy(kind: str, data: bytes) -> list[StoredObject]:
    """Returns the objects of a copy.

    Raises:
      ValueError: The bytes are no copy.
    """
    try:
        return [
            StoredObject(
                kind, str(name), str(version), dict(body), status=dict(status)
            )
            for name, version, body, status in cbor2.loads(data)
        ]
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ValueError(f"not a copy: {error}") from error


class CopyReader:
    """Reads kinds from another node while the object API does not serve.

    Args:
      watches: Watches by name; `configuration` is also read when another node
          reports a newer version.
      reports: Reports of the other nodes.
      own_version: Function that returns the configuration version in force.
      timers: Timer service.
      log: Log of decisions.
      rng: Source of random choices.
    """

    def __init__(
        self,
        watches: Mapping[str, KindWatch],
        reports: PeerReports,
        own_version: Callable[[], int],
        timers: Timers,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._watches = watches
        self._reports = reports
        self._own_version = own_version
        self._timers = timers
        self._log = log
        self._rng = rng
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to look for what is behind."""
        self._session = make_session(
            connector=aiohttp.TCPConnector(
                socket_factory=make_keepalive_socket
            ),
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        )
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops reading."""
        await cancel_tasks(self._task)
        if self._session is not None:
            await self._session.close()

    async def _run(self) -> None:
        was_behind = False
        while True:
            await self._timers.sleep(PERIOD_S)
            version, node = self._reports.newest_configuration()
            behind = version > self._own_version()
            # A change reaches nodes at slightly different times.
            if behind and was_behind:
                await self._read("configuration", [node])
            was_behind = behind
            for name, watch in self._watches.items():
                if watch.lost_for_s > LOST_S:
                    await self._read(name, self._reports.live_peers())

    async def _read(self, name: str, nodes: list[str]) -> None:
        """Takes the copy of one of the nodes, the first that has one."""
        nodes = list(nodes)
        self._rng.shuffle(nodes)
        for node in nodes:
            objects = await self._fetch(name, node)
            if objects is not None:
                self._watches[name].take_copy(objects)
                self._log.event(
                    "copy.read", kind=name, peer=node, objects=len(objects)
                )
                return

    async def _fetch(self, name: str, node: str) -> list[StoredObject] | None:
        address = self._reports.address_of(node)
        if address is None:
            return None
        url = f"http://{address}{PATH}{name}"
        try:
            async with self._session.get(url) as response:
                if response.status != 200:
                    return None
                data = await response.read()
            return decode_copy(self._watches[name].kind, data)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as e:
            self._log.event("copy.failed", kind=name, peer=node, reason=repr(e))
            return None
