"""SWIM-style membership as a state machine without I/O.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002. Unlike in the paper, a node probes
a few fixed neighbours on two hash rings instead of all members in turn, so that
probes use a bounded number of persistent connections. Every node is probed by
as many others as it probes.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterable

import attrs
from loguru import logger as log

from guavalane_core.membership.commands import (
    Changed,
    ClockJumped,
    CloseLink,
    Command,
    Send,
)
from guavalane_core.membership.lists import compress_list, decompress_list
from guavalane_core.membership.member import (
    Member,
    State,
    ring_position,
    update_key,
)
from guavalane_core.messages import (
    Ack,
    CompressedMemberList,
    Goodbye,
    MemberListRequest,
    MemberUpdate,
    Ping,
    PingRequest,
)

TICK_S = 0.25
PROBE_PERIOD_S = 1.0
# Time after which indirect probes are requested, in seconds. It covers several
# round trips between zones of a region.
DIRECT_TIMEOUT_S = 0.5
# Allows for an indirect probe that opens a new connection, in seconds.
PROBE_TIMEOUT_S = 1.5
SUSPICION_TIMEOUT_S = 5.0
# Interval at which the prober of a suspect probes it again, directly and
# through others, in seconds. The suspect then learns of the suspicion and can
# refute it in time even if connections to it had to be reopened.
SUSPECT_PROBE_TIMEOUT_S = SUSPICION_TIMEOUT_S / 4
INDIRECT_PROBES = 3
# Indirect probes per repeated probe of a suspect. Each one adds load, and after
# the loss of a zone most probes are of this kind.
SUSPECT_INDIRECT_PROBES = 1
RINGS = 2
RING_SIZE = 1 << 64
SUCCESSORS_PER_RING = 3
# Limits a frame to about 300 bytes and a node to about 1,000 bytes/s.
MAX_UPDATES = 4
# Each update is sent this many times the logarithm of the member count.
RETRANSMIT_FACTOR = 3
CLOCK_JUMP_S = 2.0
# Time after its goodbye at which a member is declared dead, in seconds.
GOODBYE_TIMEOUT_S = 2.0
# Interval between probes of dead members, which let the two sides of a healed
# partition find each other, in seconds.
DEAD_PROBE_S = 5.0
DEAD_RETENTION_S = 900.0
LEFT_RETENTION_S = 60.0
# Time for which dead members still count as clients of the object API, because
# they may be alive behind a partition, in seconds.
DEAD_COUNT_S = 60.0
# Minimum fleet size assumed by a node that has not joined yet. Otherwise, after
# the replacement of a zone, each new node would use the whole rate of the
# object API. A node that is still alone after the grace time may use it.
ASSUMED_NODES = 30
JOIN_GRACE_S = 10.0
# Mean interval between member lists, which repair lost updates, in seconds.
LIST_PERIOD_S = 300.0
# Time after which a missing member list is requested again, in seconds.
JOIN_RETRY_S = 2.0
# The first contact sends a sample of its members. If all nodes of a fleet start
# at once, complete lists in the same second would take 41 KB per node at 550
# nodes. The complete list is requested at a random time within a window that
# grows with the fleet, in seconds per member: 27.5 s at 550 nodes.
SAMPLE_MEMBERS = 32
LIST_SPREAD_S_PER_MEMBER = 0.05
# Time after which a node joins without a complete list, in seconds, because its
# contacts report more members than they can list.
JOIN_LIMIT_S = 60.0


@attrs.define
class _Probe:
    """An outstanding probe."""

    target: str
    incarnation: int
    sent_at: float
    indirect_at: float
    deadline: float
    indirect_sent: bool = False


@attrs.define
class _RelayedProbe:
    """An indirect probe on behalf of another member."""

    origin: str
    sequence: int
    deadline: float


class Membership:
    """Tracks the live nodes and detects failures.

    The driver calls `on_timer` every `TICK_S` and passes in messages. Each call
    returns the commands to execute.

    Args:
      name: Name of this node.
      incarnation: Incarnation of this process.
      address: Peer address of this node.
      zone: Availability zone of this node.
      generation: Returns the configuration generation in force.
      now: Monotonic time, in seconds.
      rng: Source of randomness.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: str,
        zone: str,
        generation: Callable[[], int],
        now: float,
        rng: random.Random,
    ) -> None:
        self._own = Member(name, incarnation, address, zone, since=now)
        self._members: dict[str, Member] = {}
        self._generation = generation
        self._rng = rng
        # Number of times that the latest update of each member was sent.
        self._send_counts: dict[str, int] = {}
        self._probes: dict[int, _Probe] = {}
        self._relayed: dict[int, _RelayedProbe] = {}
        self._sequence = 0
        self._targets: list[str] = []
        self._neighbours: list[str] | None = None
        self._joined = False
        # Size of the complete list that this node waits for, and the member to
        # request it from.
        self._expected = 0
        self._list_from = ""
        self._next_probe = now + PROBE_PERIOD_S * rng.random()
        self._next_dead_probe = now + DEAD_PROBE_S * (1 + rng.random())
        self._next_list = now
        self._last_timer = now
        self._last_wall: float | None = None

    @property
    def own(self) -> Member:
        """This node."""
        self._own.generation = self._generation()
        return self._own

    @property
    def joined(self) -> bool:
        """Whether this node has, or no longer waits for, a member list."""
        return self._joined

    @property
    def members(self) -> dict[str, Member]:
        """Other members by name, including dead ones; must not be modified."""
        return self._members

    @property
    def live_members(self) -> list[Member]:
        """Live members and this node, sorted by name."""
        live = [m for m in self._members.values() if m.live]
        return sorted([self.own, *live], key=lambda m: m.name)

    @property
    def neighbours(self) -> list[str]:
        """Names of the probed members, the successors on each ring."""
        if self._neighbours is None:
            self._neighbours = self._find_neighbours()
        return self._neighbours

    def is_live(self, name: str, incarnation: int) -> bool:
        """Returns whether this incarnation is known and live."""
        member = self._find(name)
        return (
            member is not None
            and member.incarnation == incarnation
            and member.live
        )

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Returns whether this incarnation is known to have ended.

        An unknown process is neither live nor gone.
        """
        member = self._find(name)
        if member is None:
            return False
        if member.incarnation == incarnation:
            return not member.live
        return member.incarnation > incarnation

    def count_api_clients(self, now: float) -> int:
        """Returns how many nodes share the rate limit of the object API."""
        count = max(self._count_members(now), self._expected)
        if not self._joined and now - self._own.since < JOIN_GRACE_S:
            return max(count, ASSUMED_NODES)
        return count

    def _count_members(self, now: float) -> int:
        return 1 + sum(
            member.live
            or (not member.said_goodbye and now - member.since < DEAD_COUNT_S)
            for member in self._members.values()
        )

    def leave(self) -> None:
        """Announces that this node accepts no new work."""
        self._own.state = State.LEAVING
        self._send_counts[self._own.name] = 0

    def on_connection(
        self,
        name: str,
        incarnation: int,
        address: str,
        zone: str,
        generation: int,
        now: float,
    ) -> list[Command]:
        """Handles a new connection with an authenticated node."""
        update = MemberUpdate(
            name=name,
            incarnation=incarnation,
            state="alive",
            address=address,
            zone=zone,
        )
        commands = self._apply_update(update, now)
        self._update_generation(name, incarnation, generation)
        waits = self._joined or self._expected > 0
        if not waits and now >= self._next_list:
            self._next_list = now + JOIN_RETRY_S
            commands.append(Send(name, address, self._make_list_request()))
        return commands

    def on_timer(self, now: float, wall: float) -> list[Command]:
        """Sends due probes and updates the states of members."""
        commands = self._check_clock(now, wall)
        commands += self._expire_members(now)
        commands += self._expire_probes(now)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_PERIOD_S
            commands += self._probe_next(now)
        if now >= self._next_dead_probe:
            self._next_dead_probe = now + DEAD_PROBE_S
            commands += self._probe_dead(now)
        if self._expected and now - self._own.since >= JOIN_LIMIT_S:
            self._join(now)
        if now >= self._next_list:
            commands += self._request_list(now)
        return commands

    def on_message(
        self, sender: str, message: object, now: float
    ) -> list[Command]:
        """Handles a message from a member."""
        match message:
            case Ping():
                return self._on_ping(sender, message, now)
            case PingRequest():
                return self._on_ping_request(sender, message, now)
            case Ack():
                return self._on_ack(message, now)
            case Goodbye():
                return self._on_goodbye(message, now)
            case MemberListRequest():
                return self._send(sender, self._make_list(message.whole))
            case CompressedMemberList():
                return self._on_member_list(sender, message, now)
        return []

    def _make_list(self, whole: bool) -> CompressedMemberList:
        members = [self._own, *self._members.values()]
        total = max(len(members), self._expected)
        if not whole and len(members) > SAMPLE_MEMBERS:
            others = self._rng.sample(members[1:], SAMPLE_MEMBERS - 1)
            members = [self._own, *others]
        return compress_list(members, total)

    def _on_member_list(
        self, sender: str, message: CompressedMemberList, now: float
    ) -> list[Command]:
        updates = decompress_list(message).updates
        if self._joined or len(updates) >= message.total:
            self._join(now)
        else:
            if not self._expected:
                # Later lists are requested from other members, so that two
                # nodes that lack the same members do not ask only each other.
                self._list_from = sender
            self._expected = message.total
            spread_s = LIST_SPREAD_S_PER_MEMBER * message.total
            self._next_list = now + spread_s * self._rng.random()
        # Updates of a list are not forwarded, because other members know them
        # and a new node would send updates of the whole fleet for minutes.
        queued = set(self._send_counts)
        commands = self._apply_updates(updates, now)
        for name in self._send_counts.keys() - queued - {self._own.name}:
            del self._send_counts[name]
        # The same applies to updates that arrived with probes before the list.
        for update in updates:
            member = self._members.get(update.name)
            if (
                member is not None
                and member.state is State.ALIVE
                and update_key(member) == update_key(update)
            ):
                self._send_counts.pop(update.name, None)
        return commands

    def _join(self, now: float) -> None:
        self._joined = True
        self._expected = 0
        self._next_list = now + LIST_PERIOD_S * (0.5 + self._rng.random())

    def _find(self, name: str) -> Member | None:
        if name == self._own.name:
            return self._own
        return self._members.get(name)

    def _find_neighbours(self) -> list[str]:
        names = [m.name for m in self._members.values() if m.live]
        found: list[str] = []
        for ring in range(RINGS):
            own = ring_position(ring, self._own.name)
            # Distances are measured from this node's position.
            distances = [
                ((ring_position(ring, name) - own) % RING_SIZE, name)
                for name in names
            ]
            nearest = heapq.nsmallest(SUCCESSORS_PER_RING, distances)
            found += [name for _, name in nearest]
        return list(dict.fromkeys(found))

    def _check_clock(self, now: float, wall: float) -> list[Command]:
        gap = now - self._last_timer
        jump = gap - TICK_S
        if self._last_wall is not None:
            wall_jump = wall - self._last_wall - gap
            jump = max(jump, abs(wall_jump))
        self._last_timer, self._last_wall = now, wall
        late = gap - 2 * TICK_S
        if late > 0:
            # Acks that arrived during a pause have not been processed yet.
            for probe in self._probes.values():
                probe.indirect_at += late
                probe.deadline += late
            for member in self._members.values():
                if member.deadline is not None:
                    member.deadline += late
        if jump <= CLOCK_JUMP_S:
            return []
        log.warning("membership: the clock jumped by {:.1f} s", jump)
        self._next_list = now
        return [ClockJumped(jump)]

    def _expire_members(self, now: float) -> list[Command]:
        commands: list[Command] = []
        forgotten = []
        for member in self._members.values():
            if member.deadline is not None and now >= member.deadline:
                commands += self._set_state(member, State.DEAD, now)
            elif member.state is State.DEAD:
                kept = (
                    LEFT_RETENTION_S
                    if member.said_goodbye
                    else DEAD_RETENTION_S
                )
                if now - member.since > kept:
                    forgotten.append(member.name)
        for name in forgotten:
            del self._members[name]
            self._send_counts.pop(name, None)
        return commands

    def _expire_probes(self, now: float) -> list[Command]:
        commands: list[Command] = []
        for sequence, probe in list(self._probes.items()):
            if now >= probe.deadline:
                del self._probes[sequence]
                commands += self._on_probe_failed(probe, now)
            elif now >= probe.indirect_at and not probe.indirect_sent:
                probe.indirect_sent = True
                commands += self._request_probes(sequence, probe)
                commands += self._retry_probe(sequence, probe)
        for sequence, relayed in list(self._relayed.items()):
            if now >= relayed.deadline:
                del self._relayed[sequence]
        return commands

    def _on_probe_failed(self, probe: _Probe, now: float) -> list[Command]:
        member = self._members.get(probe.target)
        commands: list[Command] = [CloseLink(probe.target, probe.sent_at)]
        if (
            member is None
            or member.incarnation != probe.incarnation
            or member.state is State.DEAD
            # It is declared dead soon; a suspicion would take longer.
            or member.said_goodbye
        ):
            return commands
        if member.state is not State.SUSPECT:
            commands += self._set_state(member, State.SUSPECT, now)
        return commands + self._probe_suspect(member, now)

    def _probe_suspect(self, member: Member, now: float) -> list[Command]:
        """Probes a suspect again and thereby informs it of the suspicion."""
        if any(
            probe.target == member.name and probe.deadline > now
            for probe in self._probes.values()
        ):
            return []
        ping = self._start_probe(
            member, now, timeout_s=SUSPECT_PROBE_TIMEOUT_S, indirect_sent=True
        )
        commands = self._send(member.name, ping)
        probe = self._probes[ping.sequence]
        return commands + self._request_probes(
            ping.sequence, probe, SUSPECT_INDIRECT_PROBES
        )

    def _request_probes(
        self, sequence: int, probe: _Probe, count: int = INDIRECT_PROBES
    ) -> list[Command]:
        others = [m for m in self._members.values() if m.name != probe.target]
        alive = [m.name for m in others if m.state is State.ALIVE]
        names = self._rng.sample(alive, min(count, len(alive)))
        if len(names) < count:
            # A suspect may still be able to reach the target.
            names += [m.name for m in others if m.state is State.SUSPECT]
        commands: list[Command] = []
        for name in names[:count]:
            commands += self._send(
                name,
                PingRequest(
                    sequence=sequence,
                    target=probe.target,
                    updates=self._select_updates(name, probe.target),
                ),
            )
        return commands

    def _retry_probe(self, sequence: int, probe: _Probe) -> list[Command]:
        member = self._members.get(probe.target)
        if member is None:
            return []
        ping = self._make_ping(member.name, sequence)
        return [Send(member.name, member.address, ping, fresh=True)]

    def _probe_next(self, now: float) -> list[Command]:
        if not self._targets:
            self._targets = list(self.neighbours)
            self._rng.shuffle(self._targets)
        while self._targets:
            member = self._members.get(self._targets.pop())
            if member is not None and member.live:
                return self._probe(member, now)
        return []

    def _probe_dead(self, now: float) -> list[Command]:
        dead = [
            member
            for member in self._members.values()
            if not member.live and not member.said_goodbye
        ]
        return self._probe(self._rng.choice(dead), now) if dead else []

    def _probe(self, member: Member, now: float) -> list[Command]:
        # No indirect probes are requested for a dead member.
        ping = self._start_probe(
            member,
            now,
            timeout_s=PROBE_TIMEOUT_S,
            indirect_sent=not member.live,
        )
        return self._send(member.name, ping)

    def _start_probe(
        self,
        member: Member,
        now: float,
        *,
        timeout_s: float,
        indirect_sent: bool,
    ) -> Ping:
        self._sequence += 1
        self._probes[self._sequence] = _Probe(
            member.name,
            member.incarnation,
            sent_at=now,
            indirect_at=now + DIRECT_TIMEOUT_S,
            deadline=now + timeout_s,
            indirect_sent=indirect_sent,
        )
        return self._make_ping(member.name, self._sequence)

    def _make_ping(self, target: str, sequence: int) -> Ping:
        return Ping(
            sequence=sequence,
            generation=self._generation(),
            updates=self._select_updates(target),
        )

    def _make_list_request(self) -> MemberListRequest:
        whole = self._joined or self._expected > 0
        return MemberListRequest(known=len(self._members), whole=whole)

    def _request_list(self, now: float) -> list[Command]:
        retry_s = LIST_PERIOD_S if self._joined else JOIN_RETRY_S
        self._next_list = now + retry_s * (0.5 + self._rng.random())
        live = [m.name for m in self._members.values() if m.live]
        if not live:
            return []
        # The sender of the sample knows more members than nodes that have just
        # started.
        first = not self._joined and self._list_from in live
        name = self._list_from if first else self._rng.choice(live)
        if first:
            # If this member does not answer, another one is asked.
            self._list_from = ""
        return self._send(name, self._make_list_request())

    def _on_ping(self, sender: str, ping: Ping, now: float) -> list[Command]:
        commands = self._apply_updates(ping.updates, now)
        member = self._members.get(sender)
        if member is not None:
            member.generation = max(member.generation, ping.generation)
        own = self._own.name
        # An earlier refutation may not have reached the sender.
        suspected = any(update.name == own for update in ping.updates)
        return commands + self._send(
            sender,
            Ack(
                sequence=ping.sequence,
                target=own,
                incarnation=self._own.incarnation,
                generation=self._generation(),
                updates=self._select_updates(sender, own if suspected else ""),
            ),
        )

    def _on_ping_request(
        self, sender: str, request: PingRequest, now: float
    ) -> list[Command]:
        commands = self._apply_updates(request.updates, now)
        if request.target not in self._members:
            return commands
        self._sequence += 1
        self._relayed[self._sequence] = _RelayedProbe(
            sender, request.sequence, now + PROBE_TIMEOUT_S
        )
        return commands + self._send(
            request.target, self._make_ping(request.target, self._sequence)
        )

    def _on_ack(self, ack: Ack, now: float) -> list[Command]:
        commands = self._apply_updates(ack.updates, now)
        self._update_generation(ack.target, ack.incarnation, ack.generation)
        probe = self._probes.get(ack.sequence)
        relayed = self._relayed.pop(ack.sequence, None)
        if probe is not None and probe.target == ack.target:
            del self._probes[ack.sequence]
        elif relayed is not None:
            answer = Ack(
                sequence=relayed.sequence,
                target=ack.target,
                incarnation=ack.incarnation,
                generation=ack.generation,
                updates=self._select_updates(relayed.origin, ack.target),
            )
            commands += self._send(relayed.origin, answer)
        return commands

    def _on_goodbye(self, message: Goodbye, now: float) -> list[Command]:
        member = self._members.get(message.node)
        if (
            member is None
            or member.incarnation != message.incarnation
            or not member.live
        ):
            return []
        member.said_goodbye = True
        commands = self._set_state(member, State.LEAVING, now)
        member.deadline = now + GOODBYE_TIMEOUT_S
        return commands

    def _update_generation(
        self, name: str, incarnation: int, generation: int
    ) -> None:
        member = self._members.get(name)
        if member is not None and member.incarnation == incarnation:
            member.generation = max(member.generation, generation)

    def _apply_updates(
        self, updates: Iterable[MemberUpdate], now: float
    ) -> list[Command]:
        commands: list[Command] = []
        for update in updates:
            commands += self._apply_update(update, now)
        return commands

    def _apply_update(self, update: MemberUpdate, now: float) -> list[Command]:
        if update.name == self._own.name:
            self._refute(update)
            return []
        state = State(update.state)
        member = self._members.get(update.name)
        if member is None:
            if state is State.DEAD:
                return []
            member = Member(
                update.name,
                update.incarnation,
                update.address,
                update.zone,
                refutation=update.refutation,
            )
            self._members[update.name] = member
            return self._enter_state(member, state, None, now)
        if update_key(update) <= update_key(member):
            return []
        restarted = update.incarnation > member.incarnation
        if restarted:
            member.generation = 0
            member.restarts += 1
            member.said_goodbye = False
        elif not member.live and state is not State.DEAD:
            member.returns += 1
            member.said_goodbye = False
        member.incarnation = update.incarnation
        member.refutation = update.refutation
        member.address = update.address
        member.zone = update.zone
        return self._set_state(member, state, now, restarted=restarted)

    def _refute(self, update: MemberUpdate) -> None:
        own = self._own
        if update.incarnation > own.incarnation:
            log.error("membership: another process uses the name {}", own.name)
            return
        if (
            update.incarnation == own.incarnation
            and update.state in (State.SUSPECT, State.DEAD)
            and update.refutation >= own.refutation
        ):
            own.refutation = update.refutation + 1
            self._send_counts[own.name] = 0

    def _set_state(
        self,
        member: Member,
        state: State,
        now: float,
        restarted: bool = False,
    ) -> list[Command]:
        return self._enter_state(member, state, member.state, now, restarted)

    def _enter_state(
        self,
        member: Member,
        state: State,
        before: State | None,
        now: float,
        restarted: bool = False,
    ) -> list[Command]:
        member.state = state
        member.since = now
        member.deadline = None
        if state is State.SUSPECT:
            member.deadline = now + SUSPICION_TIMEOUT_S
        self._send_counts[member.name] = 0
        was_live = before is not None and before is not State.DEAD
        if was_live != member.live:
            self._neighbours = None
        log.debug("membership: {} is {}", member.name, state)
        return [Changed(attrs.evolve(member), before, restarted)]

    def _select_updates(
        self, receiver: str, target: str = ""
    ) -> tuple[MemberUpdate, ...]:
        """Selects a bounded number of updates, least-sent first.

        The update of the target of the message comes first, because it may
        no longer be queued although earlier messages were lost.
        """
        updates = []
        target_member = self._find(target)
        if target_member is not None:
            updates.append(target_member.to_update())
        member = self._members.get(receiver)
        if member is not None and member.state in (State.SUSPECT, State.DEAD):
            # The receiver must know of the suspicion to refute it.
            updates.append(member.to_update())
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 2))
        for name in sorted(
            self._send_counts, key=self._send_counts.__getitem__
        ):
            if len(updates) >= MAX_UPDATES:
                break
            known = self._find(name)
            if name not in (receiver, target) and known is not None:
                updates.append(known.to_update())
            self._send_counts[name] += 1
            if self._send_counts[name] >= limit:
                del self._send_counts[name]
        return tuple(updates)

    def _send(self, name: str, message: object) -> list[Command]:
        member = self._members.get(name)
        if member is None:
            return []
        return [Send(name, member.address, message)]
