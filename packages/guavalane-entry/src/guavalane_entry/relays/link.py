"""Client connection of a node to its relay."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import aiohttp

from guavalane_core.exceptions import MessageError
from guavalane_core.messages import (
    EndpointWork,
    RelayAge,
    RelayedBatch,
    RelayHeartbeat,
)
from guavalane_core.objects import ObjectBatch, Position
from guavalane_core.objects.relays import RelayCandidate, choose_relays
from guavalane_core.tasks import cancel_tasks, start_supervised
from guavalane_core.timers import Timers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.http_connection import BoundedConnector
from guavalane_entry.http_session import make_keepalive_socket, make_session
from guavalane_entry.relays.followed_kind import FollowedKind
from guavalane_entry.relays.frames import decode_batch, unpack
from guavalane_entry.relays.server import PATH

# Time without a message after which a relay is abandoned.
RELAY_TIMEOUT_S = 1.2
# Delay of the check for outdated data after it has become so.
AGE_CHECK_MARGIN_S = 0.01
# Time for which a relay is not used after a failure.
EXCLUSION_S = 3.0
# Interval between attempts to select a relay.
SELECTION_PERIOD_S = 0.5
CONNECT_TIMEOUT_S = 0.5
MS_PER_S = 1000


class RelayLink:
    """Client connection of this node to its relay.

    Args:
      node: This node.
      live: Returns the live nodes, without this node.
      address_of: Returns the address of a node, or None if it is unknown.
      on_loads: Called with the endpoint work reported by all nodes.
      timers: Timer service.
      log: Decision log.
      rng: Source of random choices.
    """

    def __init__(
        self,
        node: RelayCandidate,
        live: Callable[[], Sequence[RelayCandidate]],
        address_of: Callable[[str], str | None],
        on_loads: Callable[[Iterable[EndpointWork]], None],
        timers: Timers,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._name = node.name
        self._live = live
        self._address_of = address_of
        self._on_loads = on_loads
        self._timers = timers
        self._log = log
        self._rng = rng
        self._kinds: dict[str, FollowedKind] = {}
        # Last candidates and the relays that were chosen among them.
        self._last_candidates: list[RelayCandidate] = []
        self._last_relays: list[str] = []
        self._relay: str | None = None
        self._received_s = 0.0
        # Time after which the last message was sent, and time of the ping that
        # has not been answered.
        self._sent_after_s = 0.0
        self._pinged_s: float | None = None
        self._excluded_until: dict[str, float] = {}
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task | None = None

    @property
    def relay(self) -> str | None:
        """Relay that this node follows, or None."""
        return self._relay

    def start(self) -> None:
        """Starts to select and follow a relay."""
        self._session = make_session(
            connector=BoundedConnector(socket_factory=make_keepalive_socket)
        )
        self._task = start_supervised("relay link", self._run)

    async def stop(self) -> None:
        """Closes the connection."""
        await cancel_tasks(self._task)
        if self._session is not None:
            await self._session.close()

    def is_relay(self) -> bool:
        """Returns whether other nodes may follow this one."""
        return self._name in self._relays()

    def other_relays(self) -> list[str]:
        """Returns the relays of the fleet, without this node."""
        return [name for name in self._relays() if name != self._name]

    def covers(self, kind: str, version: str, *, max_age_s: float) -> bool:
        """Returns whether the relay provides all changes after a version.

        Args:
          kind: Kind of the objects.
          version: Version.
          max_age_s: Maximum age of the data of the relay in seconds.
        """
        known = self._kinds.get(kind)
        now_s = self._timers.now()
        if self._relay is None or known is None or known.confirmed_s is None:
            return False
        if now_s - self._received_s > RELAY_TIMEOUT_S:
            return False
        if now_s - known.confirmed_s > max_age_s:
            return False
        return known.covers(Position.parse(version))

    def is_broken_since(self, kind: str, since_s: float) -> bool:
        """Returns whether the changes received since a time may be incomplete.

        That is the case after a failed call or a list of the relay, even if the
        versions match: a response of the object API without changes can be
        incomplete while it drops its history.
        """
        known = self._kinds.get(kind)
        return known is not None and since_s < max(
            known.listed_s, known.failed_s
        )

    def is_ahead(self, kind: str, version: str, *, max_age_s: float) -> bool:
        """Returns whether the relay provides changes, but only later ones.

        The changes in between have to be read from the object API.
        """
        known = self._kinds.get(kind)
        return (
            known is not None
            and known.start > Position.parse(version)
            and self.covers(kind, str(known.start), max_age_s=max_age_s)
        )

    def changes(self, kind: str, version: str) -> ObjectBatch:
        """Returns the changes after a version; see `covers`."""
        return self._kinds[kind].changes_after(Position.parse(version))

    async def wait(
        self, kind: str, timeout_s: float, *, max_age_s: float
    ) -> None:
        """Waits until the relay reports a change or its data is outdated.

        Args:
          kind: Kind of the objects, which the relay must provide.
          timeout_s: Maximum wait in seconds.
          max_age_s: Maximum age of the data of the relay in seconds.
        """
        known = self._kinds[kind]
        if known.confirmed_s is not None:
            # A silent relay is detected later than its data is outdated.
            fresh_s = known.confirmed_s + max_age_s - self._timers.now()
            timeout_s = min(timeout_s, max(0.0, fresh_s) + AGE_CHECK_MARGIN_S)
        changed = known.changed
        changed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    def _relays(self) -> list[str]:
        candidates = [self._node, *self._live()]
        # Asked ten times a second, while the nodes rarely change.
        if candidates != self._last_candidates:
            self._last_candidates = candidates
            self._last_relays = choose_relays(candidates)
        return self._last_relays

    def _candidates(self) -> list[str]:
        now_s = self._timers.now()
        return [
            name
            for name in self._relays()
            if name != self._name
            and now_s >= self._excluded_until.get(name, 0.0)
            and self._address_of(name) is not None
        ]

    async def _run(self) -> None:
        while True:
            candidates = [] if self.is_relay() else self._candidates()
            if candidates:
                await self._follow(self._rng.choice(candidates))
            else:
                await self._timers.sleep(SELECTION_PERIOD_S)

    async def _follow(self, relay: str) -> None:
        reason = "closed"
        url = f"http://{self._address_of(relay)}{PATH}"
        try:
            self._sent_after_s = self._timers.now()
            self._pinged_s = None
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await self._session.ws_connect(url, autoping=False)
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
        self._excluded_until[relay] = self._timers.now() + EXCLUSION_S
        if followed is not None:
            self._log.event("relay.lost", relay=relay, reason=reason)

    async def _read(
        self, relay: str, socket: aiohttp.ClientWebSocketResponse
    ) -> None:
        """Handles messages until the relay is unresponsive or not a relay."""
        while relay in self._relays():
            received = await socket.receive(timeout=RELAY_TIMEOUT_S)
            self._received_s = self._timers.now()
            if received.type is aiohttp.WSMsgType.PONG:
                self._on_pong()
            elif received.type is aiohttp.WSMsgType.PING:
                await socket.pong(received.data)
            elif received.type is aiohttp.WSMsgType.BINARY:
                await self._on_message(unpack(received.data), socket)
            else:
                raise ConnectionResetError(f"received {received.type.name}")

    async def _on_message(
        self, message: Any, socket: aiohttp.ClientWebSocketResponse
    ) -> None:
        if isinstance(message, RelayedBatch):
            self._on_batch(message)
        elif isinstance(message, RelayHeartbeat):
            self._on_ages(message.ages)
            self._on_loads(message.loads)
            if self._pinged_s is None:
                self._pinged_s = self._received_s
                await socket.ping()

    def _on_pong(self) -> None:
        """Records that messages from here on were sent after the ping.

        The time that a message spends in the send buffer of the relay or on a
        slow link would make its data look newer than it is.
        """
        if self._pinged_s is not None:
            self._sent_after_s = self._pinged_s
            self._pinged_s = None

    def _on_batch(self, message: RelayedBatch) -> None:
        since = Position.parse(message.since)
        known = self._kinds.get(message.kind)
        if known is None:
            known = FollowedKind(since, since)
            self._kinds[message.kind] = known
        known.append(since, decode_batch(message))
        known.confirmed_s = self._sent_after_s
        known.changed.set()

    def _on_ages(self, ages: Iterable[RelayAge]) -> None:
        by_kind = {age.kind: age for age in ages}
        for kind, known in self._kinds.items():
            age = by_kind.get(kind)
            if age is None:
                if known.confirmed_s is not None:
                    known.failed_s = self._received_s
                known.confirmed_s = None
                known.changed.set()
                continue
            age_s = age.age_ms / MS_PER_S
            confirmed_s = known.confirmed_s
            known.confirmed_s = self._sent_after_s - age_s
            is_older = (
                confirmed_s is not None
                and known.confirmed_s < confirmed_s - AGE_CHECK_MARGIN_S
            )
            lists = known.lists
            known.on_list(
                age.lists, self._received_s - age.listed_ms / MS_PER_S
            )
            # A wait ends at the time at which the data was expected to be
            # outdated, which has come closer if the data is older.
            if is_older or known.lists != lists:
                known.changed.set()
