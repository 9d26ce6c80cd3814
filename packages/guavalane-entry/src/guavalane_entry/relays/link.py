"""Connection of a node to the relay that it follows."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

import aiohttp

from guavalane_core.exceptions import MessageError
from guavalane_core.messages import (
    EndpointWork,
    RelayAge,
    RelayedBatch,
    RelayHeartbeat,
    decode,
)
from guavalane_core.objects import ObjectBatch
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.http_session import make_probed_socket, make_session
from guavalane_entry.relays.choice import choose_relays
from guavalane_entry.relays.followed_kind import FollowedKind
from guavalane_entry.relays.frames import decode_batch
from guavalane_entry.relays.server import PATH

# A relay that was not heard for this time, in seconds, is given up. Together
# with the age below it stays within the operators' shortest bound on changes.
SILENT_S = 1.2
# Age, in seconds, from which a relay's knowledge is not used.
LONGEST_AGE_S = 1.6
# Time for which a relay that failed is not tried again, in seconds.
AVOIDED_S = 3.0
# Time between two looks at which relay to follow, in seconds.
PERIOD_S = 0.5
CONNECT_TIMEOUT_S = 0.5


class RelayLink:
    """Connection of this node to the relay that it follows.

    Args:
      name: Name of this node.
      live: Function that returns the live nodes, without this one.
      address_of: Function that returns where a node is reached.
      on_loads: Called with the work of all nodes.
      timers: Timer service.
      log: Log of decisions.
      rng: Source of random choices.
    """

    def __init__(
        self,
        name: str,
        live: Callable[[], Sequence[str]],
        address_of: Callable[[str], str | None],
        on_loads: Callable[[Iterable[EndpointWork]], None],
        timers: Timers,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._live = live
        self._address_of = address_of
        self._on_loads = on_loads
        self._timers = timers
        self._log = log
        self._rng = rng
        self._kinds: dict[str, FollowedKind] = {}
        self._relay: str | None = None
        self._heard_s = 0.0
        self._avoided: dict[str, float] = {}
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task | None = None

    @property
    def relay(self) -> str | None:
        """Relay that this node follows; None while it follows none."""
        return self._relay

    def start(self) -> None:
        """Starts to look for a relay."""
        self._session = make_session(
            connector=aiohttp.TCPConnector(socket_factory=make_probed_socket)
        )
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Ends the connection."""
        await cancel_tasks(self._task)
        if self._session is not None:
            await self._session.close()

    def is_relay(self) -> bool:
        """Returns whether other nodes may follow this one."""
        return self._name in self._relays()

    def other_relays(self) -> list[str]:
        """Returns the relays of the fleet without this node."""
        return [name for name in self._relays() if name != self._name]

    def covers(self, kind: str, version: str, *, urgent: bool) -> bool:
        """Returns whether the relay tells all changes after a version.

        Args:
          kind: Kind of the objects.
          version: Version.
          urgent: Whether the relay's own knowledge has to be fresh.
        """
        known = self._kinds.get(kind)
        now_s = self._timers.now()
        if self._relay is None or known is None or known.answered_s is None:
            return False
        if now_s - self._heard_s > SILENT_S:
            return False
        if urgent and now_s - known.answered_s > LONGEST_AGE_S:
            return False
        return known.start <= int(version)

    def is_ahead(self, kind: str, version: str, *, urgent: bool) -> bool:
        """Returns whether the relay tells of changes, but of later ones only.

        The changes in between are to be read from the object API.
        """
        known = self._kinds.get(kind)
        return (
            known is not None
            and known.start > int(version)
            and self.covers(kind, str(known.start), urgent=urgent)
        )

    def changes(self, kind: str, version: str) -> ObjectBatch:
        """Returns the known changes after a version that is covered."""
        return self._kinds[kind].after(int(version))

    async def wait(self, kind: str, timeout_s: float) -> None:
        """Waits until the relay tells of a change, or is not to be trusted.

        Args:
          kind: Kind of the objects; the relay tells about it.
          timeout_s: Longest wait in seconds.
        """
        changed = self._kinds[kind].changed
        changed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    def _relays(self) -> list[str]:
        return choose_relays([self._name, *self._live()])

    def _candidates(self) -> list[str]:
        now_s = self._timers.now()
        return [
            name
            for name in self._relays()
            if name != self._name
            and now_s >= self._avoided.get(name, 0.0)
            and self._address_of(name) is not None
        ]

    async def _run(self) -> None:
        while True:
            candidates = [] if self.is_relay() else self._candidates()
            if candidates:
                await self._follow(self._rng.choice(candidates))
            else:
                await self._timers.sleep(PERIOD_S)

    async def _follow(self, relay: str) -> None:
        reason = "closed"
        url = f"http://{self._address_of(relay)}{PATH}"
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await self._session.ws_connect(url)
            async with socket:
                self._relay = relay
                self._log.event("relay.followed", relay=relay)
                await self._read(relay, socket)
        except (
            aiohttp.ClientError,
            MessageError,
            OSError,
            TimeoutError,
            TypeError,
            ValueError,
        ) as error:
            reason = repr(error)
        finally:
            followed, self._relay = self._relay, None
            kinds, self._kinds = self._kinds, {}
            for known in kinds.values():
                known.changed.set()
        self._avoided[relay] = self._timers.now() + AVOIDED_S
        if followed is not None:
            self._log.event("relay.lost", relay=relay, reason=reason)

    async def _read(
        self, relay: str, socket: aiohttp.ClientWebSocketResponse
    ) -> None:
        """Takes what a relay tells, until it is silent or no relay."""
        while relay in self._relays():
            frame = await socket.receive_bytes(timeout=SILENT_S)
            self._heard_s = self._timers.now()
            message = decode(frame)
            if isinstance(message, RelayedBatch):
                self._take_batch(message)
            elif isinstance(message, RelayHeartbeat):
                self._take_ages(message.ages)
                self._on_loads(message.loads)

    def _take_batch(self, message: RelayedBatch) -> None:
        since = int(message.since)
        known = self._kinds.get(message.kind)
        if known is None:
            known = FollowedKind(since, since)
            self._kinds[message.kind] = known
        known.add(since, decode_batch(message))
        known.answered_s = self._heard_s
        known.changed.set()

    def _take_ages(self, ages: Iterable[RelayAge]) -> None:
        told = {age.kind: age.age_ms / 1000 for age in ages}
        for kind, known in self._kinds.items():
            age_s = told.get(kind)
            known.answered_s = None if age_s is None else self._heard_s - age_s
            if age_s is None or age_s > LONGEST_AGE_S:
                known.changed.set()
