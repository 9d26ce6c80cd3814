"""Spread of configuration changes from relays to readers, without sockets.

Two relays per availability zone watch the object API and push deltas. The other
nodes subscribe to them and use the object API only when no relay answers. The
generation on every probe lets a node that missed a push ask for it.

The watch tells relays only the generation of the stored object. The node that
stored a change pushes the delta to all relays. A relay that lacks it asks the
others, and if none has it, one relay reads the whole object and pushes it on.
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

# A subscription is repeated after this time, in seconds; it also shows that the
# relay still answers.
SUBSCRIBE_S = 15.0
SUBSCRIPTION_KEPT_S = 3 * SUBSCRIBE_S
# A relay that does not answer in this time is passed over, in seconds.
ANSWER_S = 2.0
PASSED_OVER_S = 10.0
RELAYS_IN_USE = 2
# Shortest time between two requests for one generation, in seconds; the push of
# a relay usually arrives first.
REQUEST_S = 1.0
# Mean time between reads of the object API while no relay answers, in seconds.
FETCH_S = 5.0
# A push usually arrives before the watch tells of the change. A relay that
# lacks it asks a peer at the next timer after this time, in seconds.
ASK_S = 0.25
# A relay reads the whole object when no peer had the change for this time, in
# seconds. The relays read one after the other, so that one read usually serves
# all: the next follows after `READ_STEP_S`, and the third and all others
# together. With a timer of 1 s all have read after 4.5 s of the allowed 8 s.
READ_S = 1.5
READ_STEP_S = 1.0
MAX_READ_STEPS = 2
# A read whose result is not in force is repeated after this time, in seconds.
REPEAT_READ_S = 3.0
# Time that a query of generations waits for a relay, in seconds.
QUERY_TIMEOUT_S = 1.0


@attrs.frozen
class Fetch:
    """Read the configuration from the object API once."""


@attrs.define
class _Subscriber:
    generation: int
    address: str
    heard_at: float


@attrs.define
class _Relay:
    asked_at: float | None = None
    answered_at: float | None = None
    next_at: float = 0.0
    passed_over_until: float = 0.0


@attrs.define
class Query:
    """A question to the relays for nodes that lack a generation.

    Attributes:
      generation: Generation that should be in force.
      reports: Nodes that lack it, by zone that has answered.
    """

    generation: int
    reports: dict[str, tuple[str, ...]] = attrs.field(factory=dict)


class ConfigurationExchange:
    """Decides what this node sends to whom about the configuration.

    The driver calls `on_timer` about once a second, passes on messages, and
    carries out what `take_commands` returns after each call.

    Args:
      name: Name of this node.
      zone: Availability zone of this node.
      state: Configuration in force on this node.
      members: Returns the live members, this node included.
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
        self._own_relays: list[str] = []
        self._ranked: list[str] = []
        self._addresses: dict[str, str] = {}
        self._next_request = 0.0
        self._next_fetch = 0.0
        self._queries: dict[int, Query] = {}
        self._sequence = 0
        self._members_changed = False
        # Monotonic time at which a stored generation was noted, by generation,
        # for those that this node lacks.
        self._lacking: dict[int, float] = {}
        self._next_read = 0.0
        # Highest generation that this node has read or tried to read.
        self._read_generation = 0
        state.subscribe(self._on_change)

    @property
    def is_relay(self) -> bool:
        """Whether this node watches the object API for its zone."""
        self._update_members()
        return self._name in self._own_relays

    @property
    def relays_in_use(self) -> list[str]:
        """Relays that this node subscribes to."""
        self._update_members()
        return [name for name in self._relays if name in self._addresses]

    @property
    def subscribers(self) -> list[str]:
        """Nodes that this node pushes changes to."""
        return list(self._subscribers)

    def take_commands(self) -> list[Send | Fetch]:
        """Returns and forgets what has to be done."""
        commands, self._commands = self._commands, []
        return commands

    def on_members_changed(self) -> None:
        """Chooses relays anew before the next step."""
        # A list of 550 members changes 550 of them at once.
        self._members_changed = True

    def on_timer(self, now: float) -> None:
        """Subscribes to relays and falls back to the object API."""
        self._update_members()
        for name, subscriber in list(self._subscribers.items()):
            if now - subscriber.heard_at > SUBSCRIPTION_KEPT_S:
                del self._subscribers[name]
        self._pass_over_silent_relays(now)
        wanted = self._choose_relays(now)
        for name in list(self._relays):
            relay = self._relays[name]
            if name not in wanted and now >= relay.passed_over_until:
                del self._relays[name]
        for name in wanted:
            relay = self._relays.setdefault(name, _Relay())
            if now >= relay.next_at:
                self._subscribe(name, relay, now)
        self._fetch_if_unanswered(now)
        self._catch_up(now)

    def note_stored(self, generation: int, now: float) -> None:
        """Takes a generation that the object API holds and this node lacks."""
        self._update_members()
        self._lacking.setdefault(generation, now)
        if not self._ranked:
            # Nobody else can have it.
            self._catch_up(now)

    def note_generation(self, name: str, generation: int, now: float) -> None:
        """Asks a node for its configuration if it is newer."""
        subscriber = self._subscribers.get(name)
        if subscriber is not None:
            subscriber.generation = max(subscriber.generation, generation)
        if generation > self._state.generation and now >= self._next_request:
            self._next_request = now + REQUEST_S
            self._send(name, ConfigRequest(generation=self._state.generation))

    def on_message(
        self, sender: str, address: str, message: object, now: float
    ) -> None:
        """Takes a message of the exchange."""
        match message:
            case ConfigSubscribe():
                self._subscribers[sender] = _Subscriber(
                    message.generation, address, now
                )
                self._send_newer(sender, message.generation, always=True)
            case ConfigRequest():
                self._send_newer(sender, message.generation)
            case ConfigFull():
                self._note_answer(sender, now)
                self._state.offer(message.body, sender)
            case ConfigDelta():
                self._note_answer(sender, now)
                self._take_delta(sender, message)
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
        """Asks one relay per zone which nodes lack a generation.

        Returns:
          Number to pass to `finish_query` after `QUERY_TIMEOUT_S` at the latest.
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
                # Either relay may be frozen or gone; the later report holds.
                for name in relays:
                    self._send(name, message)
        return self._sequence

    def query_is_complete(self, sequence: int) -> bool:
        """Returns whether every zone has answered."""
        zones = {member.zone for member in self._members()}
        return zones <= self._queries[sequence].reports.keys()

    def finish_query(self, sequence: int) -> list[str]:
        """Returns the live nodes not known to have the generation."""
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
        # Without a delta, the whole object would go to each relay; one read
        # costs less.
        if base <= 0 or delta is None:
            return
        message = ConfigDelta(base=base, generation=generation, body=delta)
        for name in self._ranked:
            # Subscribers got it when it came into force.
            if name not in self._subscribers:
                self._send(name, message)

    def _update_members(self) -> None:
        if not self._members_changed:
            return
        self._members_changed = False
        live = [m for m in self._members() if m.state is not State.LEAVING]
        self._addresses = {member.name: member.address for member in live}
        self._own_relays = choose_relays(live, self._zone)
        self._ranked = [
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
            for name in self._ranked
            if name not in self._relays
            or now >= self._relays[name].passed_over_until
        ]
        if self.is_relay:
            # The other relay of the zone is enough: this one watches itself.
            return [name for name in usable if name in self._own_relays]
        return usable[:RELAYS_IN_USE]

    def _pass_over_silent_relays(self, now: float) -> None:
        for relay in self._relays.values():
            if relay.asked_at is not None and now - relay.asked_at > ANSWER_S:
                relay.asked_at = relay.answered_at = None
                relay.passed_over_until = now + PASSED_OVER_S
                relay.next_at = 0.0

    def _subscribe(self, name: str, relay: _Relay, now: float) -> None:
        relay.asked_at = now
        relay.next_at = now + SUBSCRIBE_S * (0.75 + 0.5 * self._rng.random())
        self._send(name, ConfigSubscribe(generation=self._state.generation))

    def _fetch_if_unanswered(self, now: float) -> None:
        answered = any(r.answered_at is not None for r in self._relays.values())
        if self._next_fetch > 0 and not answered and not self.is_relay:
            if now < self._next_fetch:
                return
            self._commands.append(Fetch())
        # A relay has time to answer first.
        self._next_fetch = now + ANSWER_S + FETCH_S * 2 * self._rng.random()

    def _catch_up(self, now: float) -> None:
        """Gets a change that is stored from peers, or reads the object."""
        rejected = self._state.rejected
        for generation in list(self._lacking):
            # An invalid configuration stays out of force, but one that a peer
            # sent must not keep this node from the stored one.
            was_read = generation <= self._read_generation
            is_invalid = rejected is not None and generation <= rejected[0]
            if generation <= self._state.generation or (
                was_read and is_invalid
            ):
                del self._lacking[generation]
        if not self._lacking:
            return
        waited = now - min(self._lacking.values())
        if self._ranked and waited >= ASK_S:
            name = self._choose_holder(max(self._lacking))
            self._send(name, ConfigRequest(generation=self._state.generation))
        if waited >= self._read_delay() and now >= self._next_read:
            self._next_read = now + REPEAT_READ_S
            self._read_generation = max(self._lacking)
            self._commands.append(Fetch())

    def _choose_holder(self, generation: int) -> str:
        holders = [
            member.name
            for member in self._members()
            if member.generation >= generation and member.name in self._ranked
        ]
        return self._rng.choice(holders or self._ranked)

    def _read_delay(self) -> float:
        """Returns how long peers have time to send a change, in seconds."""
        if not self._ranked:
            return 0.0
        generation = max(self._lacking)
        own = read_rank(generation, self._name)
        before = sum(read_rank(generation, n) < own for n in self._ranked)
        steps = min(MAX_READ_STEPS, before if self.is_relay else MAX_READ_STEPS)
        return READ_S + READ_STEP_S * steps

    def _note_answer(self, sender: str, now: float) -> None:
        relay = self._relays.get(sender)
        if relay is not None:
            relay.asked_at = None
            relay.answered_at = now

    def _take_delta(self, sender: str, message: ConfigDelta) -> None:
        if not self._state.offer_delta(
            message.base, message.generation, message.body, sender
        ):
            self._send(sender, ConfigRequest(generation=self._state.generation))

    def _on_change(self, configuration: Configuration) -> None:
        # Subscribers mostly share one base; one message serves all of them.
        made: dict[int, ConfigDelta | ConfigFull] = {}
        for name, subscriber in self._subscribers.items():
            base = subscriber.generation
            if base < configuration.generation:
                if base not in made:
                    made[base] = self._make_push(base)
                self._send(name, made[base], subscriber.address)
        for name, relay in self._relays.items():
            # Tells the relay that this node no longer lags.
            if relay.answered_at is not None:
                self._send(
                    name, ConfigSubscribe(generation=configuration.generation)
                )

    def _make_push(self, base: int) -> ConfigDelta | ConfigFull:
        update = self._make_update(base)
        last = self._state.generation - 1
        delta = self._state.delta_since(last) if last > 0 else None
        if isinstance(update, ConfigDelta) or delta is None:
            return update
        # What is known of the subscriber may be old: it may have the last
        # generation from another relay. If not, it asks for the whole.
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
