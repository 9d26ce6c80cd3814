"""Copies of objects that nodes read from each other.

A node that cannot reach the object API reads the objects from a peer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping

import aiohttp
import cbor2

from guavalane_core.objects import StoredObject
from guavalane_core.tasks import cancel_tasks, start_supervised
from guavalane_core.timers import Timers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.reports import PeerReports
from guavalane_entry.gateway.watch import KindWatch, latest_era
from guavalane_entry.http_connection import BoundedConnector, read_bounded
from guavalane_entry.http_session import make_keepalive_socket, make_session

PATH = "/copies/"
# Interval between checks for outdated kinds, in seconds.
CHECK_PERIOD_S = 0.4
# Outage of the object API after which a kind is read from a peer, in seconds.
FALLBACK_DELAY_S = 0.8
# Timeout of one call, in seconds.
CALL_TIMEOUT_S = 0.8


def encode_copy(watch: KindWatch) -> tuple[int, bytes]:
    """Returns the status and body for a peer that requests a copy."""
    if not watch.listed or watch.lost:
        return 503, b""
    objects = [
        [stored.name, stored.version, stored.body, dict(stored.status)]
        for stored in watch.copy()
    ]
    return 200, cbor2.dumps(objects)


def decode_copy(kind: str, data: bytes) -> list[StoredObject]:
    """Decodes the objects of a copy.

    Raises:
      ValueError: The bytes are not a valid copy.
    """
    try:
        return [
            StoredObject(
                kind, str(name), str(version), dict(body), status=dict(status)
            )
            for name, version, body, status in cbor2.loads(data)
        ]
    except (
        cbor2.CBORDecodeError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise ValueError(f"not a copy: {error}") from error


class CopyReader:
    """Reads kinds from peers while the object API is unavailable.

    Args:
      watches: Watches by name; `configuration` is also read when a peer
          reports a newer version.
      reports: Peer reports.
      own_version: Function that returns the active configuration version.
      timers: Timer service.
      log: Decision log.
      rng: Random number generator.
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
        """Starts the checks for outdated kinds."""
        self._session = make_session(
            # Copies are rare, and an idle connection may have gone silent.
            connector=BoundedConnector(
                force_close=True, socket_factory=make_keepalive_socket
            ),
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        )
        self._task = start_supervised("copies", self._run)

    async def stop(self) -> None:
        """Stops the checks and closes the HTTP session."""
        await cancel_tasks(self._task)
        if self._session is not None:
            await self._session.close()

    async def _run(self) -> None:
        was_behind = False
        while True:
            await self._timers.sleep(CHECK_PERIOD_S)
            version, node = self._reports.newest_configuration()
            behind = version > self._own_version()
            # A change reaches nodes at slightly different times, so the copy is
            # read only if the version is outdated at two checks in a row.
            if behind and was_behind:
                await self._read_newer(version, node)
            was_behind = behind
            for name, watch in self._watches.items():
                if watch.lost_for_s > FALLBACK_DELAY_S:
                    await self._read_lost(name)

    async def _read_newer(self, version: int, node: str) -> None:
        """Reads a newer configuration from the node that has it."""
        await self._read(
            "configuration", [node], lambda: version > self._own_version()
        )

    async def _read_lost(self, name: str) -> None:
        """Reads a kind that the object API does not provide."""
        watch = self._watches[name]
        await self._read(name, self._reports.live_peers(), lambda: watch.lost)

    async def _read(
        self, name: str, nodes: list[str], is_needed: Callable[[], bool]
    ) -> None:
        """Merges the copy of the first node that provides one.

        Args:
          name: Name of the watch.
          nodes: Nodes.
          is_needed: Whether a copy that has arrived is still needed. The object
              API may have answered in the meantime, with newer objects.
        """
        nodes = list(nodes)
        self._rng.shuffle(nodes)
        for node in nodes:
            objects = await self._fetch(name, node)
            if objects is not None and not is_needed():
                return
            if objects is not None and not self._is_outdated(
                name, node, objects
            ):
                self._watches[name].merge_copy(objects)
                self._log.event(
                    "copy.read", kind=name, peer=node, objects=len(objects)
                )
                return

    def _is_outdated(
        self, name: str, node: str, objects: list[StoredObject]
    ) -> bool:
        """Returns whether a copy is of an earlier era than the own objects."""
        era, known = latest_era(objects), self._watches[name].era
        if not objects or era >= known:
            return False
        self._log.event(
            "copy.outdated", kind=name, peer=node, era=era, known=known
        )
        return True

    async def _fetch(self, name: str, node: str) -> list[StoredObject] | None:
        address = self._reports.address_of(node)
        if address is None:
            return None
        url = f"http://{address}{PATH}{name}"
        try:
            async with self._session.get(url) as response:
                if response.status != 200:
                    return None
                data = await read_bounded(response)
            return decode_copy(self._watches[name].kind, data)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as e:
            self._log.event("copy.failed", kind=name, peer=node, reason=repr(e))
            return None
