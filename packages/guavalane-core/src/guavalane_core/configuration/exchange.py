"""Distribution of configuration changes by relays, without I/O.

Two relays per availability zone watch the object API and push deltas. The other
nodes subscribe to them and read the object API only when no relay responds.
Every probe carries the sender's generation, so that a node that missed a push
can request it.

The watch reports only the generation of the stored object. The node that stored
a change pushes the delta to all relays. A relay that misses it asks the others;
if none has it, one relay reads the whole object and pushes it to the others.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import attrs

from guavalane_core.configuration.generated import Configuration
from guavalane_core.configuration.state import ConfigurationState
from guavalane_core.membership import (
    Member,
    Send,
    State,
    choose_relays,
    rank_relays,
    read_rank,
)
from guavalane_core.messages import (
    ConfigDelta,
    ConfigFull,
    ConfigRequest,
    ConfigSubscribe,
    GenerationQuery,
    GenerationReport,
)

# Mean interval between renewals of a subscription, which also show that the
# relay still responds.
SUBSCRIBE_PERIOD_S = 15.0
SUBSCRIPTION_TTL_S = 3 * SUBSCRIBE_PERIOD_S
# A relay that does not respond within the timeout is excluded for a time.
RELAY_TIMEOUT_S = 2.0
RELAY_EXCLUSION_S = 10.0
SUBSCRIBED_RELAYS = 2
# Minimum interval between requests for a newer configuration; the push of a
# relay usually arrives first.
REQUEST_INTERVAL_S = 1.0
# Mean interval between reads of the object API while no relay responds.
FETCH_PERIOD_S = 5.0
# A push usually arrives before the watch reports the change. A relay that
# misses it asks a peer at the next timer after this delay.
PEER_REQUEST_DELAY_S = 0.25
# A relay reads the whole object if no peer has sent the change within this
# delay. The reads are staggered so that one usually serves all: the second
# relay follows after `READ_STAGGER_S`, and all others one step later. With a
# timer of 1 s, all have read after 4.5 s of the 8 s that a change may take.
READ_DELAY_S = 1.5
READ_STAGGER_S = 1.0
MAX_READ_STEPS = 2
# A read whose result did not come into force is repeated after this time.
READ_RETRY_S = 3.0
# Time that a query of generations waits for relays.
QUERY_TIMEOUT_S = 1.0


@attrs.frozen
class Fetch:
    """Command to read the configuration from the object API once."""


@attrs.define
class _Subscriber:
    generation: int
    address: str
    received_at: float


@attrs.define
class _Relay:
    requested_at: float | None = None
    responded_at: float | None = None
    next_at: float = 0.0
    excluded_until: float = 0.0


@attrs.define
class Query:
    """Query to the relays for nodes that do not have a generation yet.

    Attributes:
      generation: Generation that should be in force.
      reports: Nodes that do not have it, by zone that has replied.
    """

    generation: int
    reports: dict[str, tuple[str, ...]] = attrs.field(factory=dict)


class ConfigurationExchange:
    """State machine of the configuration protocol on one node.

    The driver calls `on_timer` about once per second, passes received messages
    to `on_message`, and runs the commands from `take_commands` after each call.

    Args:
      name: Name of this node.
      zone: Availability zone of this node.
      state: Configuration in force on this node.
      members: Returns the live members, including this node.
      rng: Source of jitter.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        state: ConfigurationState,
        members: Callable[[], Iterable[Member]],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._zone = zone
        self._state = state
        self._members = members
        self._rng = rng
        self._commands: list[Send | Fetch] = []
        self._subscribers: dict[str, _Subscriber] = {}
        self._relays: dict[str, _Relay] = {}
        self._zone_relays: list[str] = []
        self._ranked_relays: list[str] = []
        self._addresses: dict[str, str] = {}
        self._next_request = 0.0
        self._next_fetch = 0.0
        self._queries: dict[int, Query] = {}
        self._sequence = 0
        self._members_changed = False
        # Stored generations that this node does not have, with the monotonic
        # time at which each was first reported.
        self._missing_generations: dict[int, float] = {}
        self._next_read = 0.0
        # Highest generation that this node has tried to read.
        self._read_generation = 0
        state.subscribe(self._on_change)

    @property
    def is_relay(self) -> bool:
        """Whether this node watches the object API for its zone."""
        self._update_members()
        return self._name in self._zone_relays

    @property
    def relays_in_use(self) -> list[str]:
        """Relays that this node subscribes to."""
        self._update_members()
        return [name for name in self._relays if name in self._addresses]

    @property
    def subscribers(self) -> list[str]:
        """Nodes to which this node pushes changes."""
        return list(self._subscribers)

    def take_commands(self) -> list[Send | Fetch]:
        """Returns and clears the pending commands."""
        commands, self._commands = self._commands, []
        return commands

    def on_members_changed(self) -> None:
        """Schedules a new choice of relays before the next step."""
        # Deferred, as one member list can change 550 members at once.
        self._members_changed = True

    def on_timer(self, now: float) -> None:
        """Subscribes to relays and falls back to the object API."""
        self._update_members()
        for name, subscriber in list(self._subscribers.items()):
            if now - subscriber.received_at > SUBSCRIPTION_TTL_S:
                del self._subscribers[name]
        self._exclude_unresponsive_relays(now)
        wanted = self._choose_relays(now)
        for name in list(self._relays):
            relay = self._relays[name]
            if name not in wanted and now >= relay.excluded_until:
                del self._relays[name]
        for name in wanted:
            relay = self._relays.setdefault(name, _Relay())
            if now >= relay.next_at:
                self._subscribe(name, relay, now)
        self._fetch_without_relays(now)
        self._request_missing(now)

    def note_stored(self, generation: int, now: float) -> None:
        """Records a stored generation that this node does not have."""
        self._update_members()
        self._missing_generations.setdefault(generation, now)
        if not self._ranked_relays:
            # There is no other relay to ask.
            self._request_missing(now)

    def note_generation(self, name: str, generation: int, now: float) -> None:
        """Requests a node's configuration if its generation is newer."""
        subscriber = self._subscribers.get(name)
        if subscriber is not None:
            subscriber.generation = max(subscriber.generation, generation)
        if generation > self._state.generation and now >= self._next_request:
            self._next_request = now + REQUEST_INTERVAL_S
            self._send(name, ConfigRequest(generation=self._state.generation))

    def on_message(
        self, sender: str, address: str, message: object, now: float
    ) -> None:
        """Handles a message of the configuration protocol."""
        match message:
            case ConfigSubscribe():
                self._subscribers[sender] = _Subscriber(
                    message.generation, address, now
                )
                self._send_newer(sender, message.generation, always=True)
            case ConfigRequest():
                self._send_newer(sender, message.generation)
            case ConfigFull():
                self._record_response(sender, now)
                self._state.offer(message.body, sender)
            case ConfigDelta():
                self._record_response(sender, now)
                self._apply_delta(sender, message)
            case GenerationQuery():
                lagging = self._lagging_in_zone(message.generation)
                report = GenerationReport(
                    sequence=message.sequence, zone=self._zone, lagging=lagging
                )
                self._send(sender, report, address)
            case GenerationReport():
                query = self._queries.get(message.sequence)
                if query is not None:
                    query.reports[message.zone] = message.lagging

    def start_query(self, generation: int) -> int:
        """Asks the relays of each zone which nodes do not have a generation.

        Returns:
          Number of the query, to be passed to `finish_query` within
          `QUERY_TIMEOUT_S`.
        """
        self._sequence += 1
        query = Query(generation)
        self._queries[self._sequence] = query
        live = list(self._members())
        message = GenerationQuery(
            sequence=self._sequence, generation=generation
        )
        for zone in {member.zone for member in live}:
            relays = choose_relays(
                (m for m in live if m.state is not State.LEAVING), zone
            )
            if self._name in relays:
                query.reports[zone] = self._lagging_in_zone(generation)
            else:
                # Asks all relays of the zone, as one may be unresponsive. The
                # last report wins.
                for name in relays:
                    self._send(name, message)
        return self._sequence

    def query_is_complete(self, sequence: int) -> bool:
        """Returns whether every zone has replied."""
        zones = {member.zone for member in self._members()}
        return zones <= self._queries[sequence].reports.keys()

    def finish_query(self, sequence: int) -> list[str]:
        """Returns the live nodes that are not known to have the generation."""
        query = self._queries.pop(sequence)
        lagging = {name for names in query.reports.values() for name in names}
        for member in self._members():
            if (
                member.zone not in query.reports
                and member.generation < query.generation
            ):
                lagging.add(member.name)
        live = {member.name for member in self._members()}
        return sorted(lagging & live)

    def push_to_relays(self) -> None:
        """Sends the last change to the relays of all zones."""
        self._update_members()
        generation = self._state.generation
        base = generation - 1
        delta = self._state.delta_since(base)
        # Without a delta, the whole object would be sent to each relay; reading
        # it once costs less.
        if base <= 0 or delta is None:
            return
        message = ConfigDelta(base=base, generation=generation, body=delta)
        for name in self._ranked_relays:
            # Subscribers received it when it came into force.
            if name not in self._subscribers:
                self._send(name, message)

    def _update_members(self) -> None:
        if not self._members_changed:
            return
        self._members_changed = False
        live = [m for m in self._members() if m.state is not State.LEAVING]
        self._addresses = {member.name: member.address for member in live}
        self._zone_relays = choose_relays(live, self._zone)
        self._ranked_relays = [
            name for name in rank_relays(live, self._zone) if name != self._name
        ]

    def _lagging_in_zone(self, generation: int) -> tuple[str, ...]:
        lagging = []
        for member in self._members():
            if member.zone != self._zone:
                continue
            known = member.generation
            subscriber = self._subscribers.get(member.name)
            if subscriber is not None:
                known = max(known, subscriber.generation)
            if member.name == self._name:
                known = self._state.generation
            if known < generation:
                lagging.append(member.name)
        return tuple(lagging)

    def _choose_relays(self, now: float) -> list[str]:
        usable = [
            name
            for name in self._ranked_relays
            if name not in self._relays
            or now >= self._relays[name].excluded_until
        ]
        if self.is_relay:
            # A relay subscribes only to the other relay of its zone, as it also
            # watches the object API.
            return [name for name in usable if name in self._zone_relays]
        return usable[:SUBSCRIBED_RELAYS]

    def _exclude_unresponsive_relays(self, now: float) -> None:
        for relay in self._relays.values():
            if (
                relay.requested_at is not None
                and now - relay.requested_at > RELAY_TIMEOUT_S
            ):
                relay.requested_at = relay.responded_at = None
                relay.excluded_until = now + RELAY_EXCLUSION_S
                relay.next_at = 0.0

    def _subscribe(self, name: str, relay: _Relay, now: float) -> None:
        relay.requested_at = now
        relay.next_at = now + SUBSCRIBE_PERIOD_S * (
            0.75 + 0.5 * self._rng.random()
        )
        self._send(name, ConfigSubscribe(generation=self._state.generation))

    def _fetch_without_relays(self, now: float) -> None:
        has_response = any(
            r.responded_at is not None for r in self._relays.values()
        )
        if self._next_fetch > 0 and not has_response and not self.is_relay:
            if now < self._next_fetch:
                return
            self._commands.append(Fetch())
        # Gives relays time to respond before the object API is read.
        self._next_fetch = (
            now + RELAY_TIMEOUT_S + FETCH_PERIOD_S * 2 * self._rng.random()
        )

    def _request_missing(self, now: float) -> None:
        """Requests a stored change from peers, or reads the object."""
        rejected = self._state.rejected
        for generation in list(self._missing_generations):
            # A rejected generation is dropped only after this node has read the
            # object: an invalid version from a peer must not keep the node from
            # reading the stored one.
            was_read = generation <= self._read_generation
            is_invalid = rejected is not None and generation <= rejected[0]
            if generation <= self._state.generation or (
                was_read and is_invalid
            ):
                del self._missing_generations[generation]
        if not self._missing_generations:
            return
        waited = now - min(self._missing_generations.values())
        if self._ranked_relays and waited >= PEER_REQUEST_DELAY_S:
            name = self._choose_peer(max(self._missing_generations))
            self._send(name, ConfigRequest(generation=self._state.generation))
        if waited >= self._read_delay() and now >= self._next_read:
            self._next_read = now + READ_RETRY_S
            self._read_generation = max(self._missing_generations)
            self._commands.append(Fetch())

    def _choose_peer(self, generation: int) -> str:
        holders = [
            member.name
            for member in self._members()
            if member.generation >= generation
            and member.name in self._ranked_relays
        ]
        return self._rng.choice(holders or self._ranked_relays)

    def _read_delay(self) -> float:
        """Returns the time peers have to send a change before a read."""
        if not self._ranked_relays:
            return 0.0
        generation = max(self._missing_generations)
        own = read_rank(generation, self._name)
        before = sum(
            read_rank(generation, n) < own for n in self._ranked_relays
        )
        steps = min(MAX_READ_STEPS, before if self.is_relay else MAX_READ_STEPS)
        return READ_DELAY_S + READ_STAGGER_S * steps

    def _record_response(self, sender: str, now: float) -> None:
        relay = self._relays.get(sender)
        if relay is not None:
            relay.requested_at = None
            relay.responded_at = now

    def _apply_delta(self, sender: str, message: ConfigDelta) -> None:
        if not self._state.offer_delta(
            message.base, message.generation, message.body, sender
        ):
            self._send(sender, ConfigRequest(generation=self._state.generation))

    def _on_change(self, configuration: Configuration) -> None:
        # Most subscribers have the same base and can share one message.
        pushes: dict[int, ConfigDelta | ConfigFull] = {}
        for name, subscriber in self._subscribers.items():
            base = subscriber.generation
            if base < configuration.generation:
                if base not in pushes:
                    pushes[base] = self._make_push(base)
                self._send(name, pushes[base], subscriber.address)
        for name, relay in self._relays.items():
            # Reports the new generation to the relay.
            if relay.responded_at is not None:
                self._send(
                    name, ConfigSubscribe(generation=configuration.generation)
                )

    def _make_push(self, base: int) -> ConfigDelta | ConfigFull:
        update = self._make_update(base)
        last = self._state.generation - 1
        delta = self._state.delta_since(last) if last > 0 else None
        if isinstance(update, ConfigDelta) or delta is None:
            return update
        # The known generation of the subscriber may be outdated: it may have
        # received the last one from another relay. If not, it requests the
        # whole configuration.
        return ConfigDelta(
            base=last, generation=self._state.generation, body=delta
        )

    def _make_update(self, base: int) -> ConfigDelta | ConfigFull:
        generation = self._state.generation
        delta = self._state.delta_since(base) if base > 0 else None
        if base == generation:
            delta = {}
        if delta is None:
            return ConfigFull(generation=generation, body=self._state.plain)
        return ConfigDelta(base=base, generation=generation, body=delta)

    def _send_newer(
        self, name: str, base: int, *, always: bool = False
    ) -> None:
        generation = self._state.generation
        if base < generation:
            self._send(name, self._make_update(base))
        elif always:
            self._send(name, ConfigDelta(base=base, generation=base, body={}))

    def _send(self, name: str, message: object, address: str = "") -> None:
        self._update_members()
        address = address or self._addresses.get(name, "")
        self._commands.append(Send(name, address, message))
