"""Membership in the manner of SWIM, as a pure state machine.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002. Here, a node probes a few fixed
neighbours on two hashed rings instead of all members in turn, so that probes
use standing connections and their number stays bounded. Every node is probed
by as many others as it probes.
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
PERIOD_S = 1.0
# Time after which other members are asked to probe, in seconds; several round
# trips between zones of one region.
DIRECT_TIMEOUT_S = 0.5
# A probe that was asked for indirectly may need a new connection.
PROBE_TIMEOUT_S = 1.5
SUSPICION_S = 5.0
# The prober of a suspect probes it again at this interval, directly and through
# others, so that the suspect hears of the suspicion and can refute it in time
# even if connections with it had to be made anew.
CONFIRM_PERIOD_S = SUSPICION_S / 4
INDIRECT_PROBES = 3
# Members that repeat a probe of a suspect; each is another one, and after the
# loss of a zone most probes are of this kind.
CONFIRM_PROBES = 1
RINGS = 2
RING_SIZE = 1 << 64
SUCCESSORS_PER_RING = 3
# Bounds a frame to about 300 bytes and a node to about 1,000 bytes/s.
MAX_UPDATES = 4
# Each update is sent this many times the logarithm of the member count.
RETRANSMIT_FACTOR = 3
CLOCK_JUMP_S = 2.0
# A member that said goodbye is gone after this time, in seconds.
GOODBYE_S = 2.0
# Dead members are probed at times, so that the two sides of a healed partition
# find each other.
DEAD_PROBE_S = 5.0
DEAD_KEPT_S = 900.0
LEFT_KEPT_S = 60.0
# Dead members that still count towards the shared rate of the object API,
# because a partition may hide them, in seconds.
COUNTED_DEAD_S = 60.0
# A new node that knows nobody yet must not take the whole rate, as after a zone
# is replaced; a node that stays alone may.
ASSUMED_NODES = 30
SETTLE_S = 10.0
# A list from a random member repairs updates that were lost.
LIST_PERIOD_S = 300.0
# A list that does not arrive is asked for again, in seconds.
JOIN_RETRY_S = 2.0
# A first contact tells a sample of its members. When all nodes of a fleet start
# at once, whole lists for all in the same second would be 41 KB per node at 550
# nodes. The whole list is asked for at a random time of a window that grows
# with the fleet, in seconds per member: 27.5 s at 550 nodes.
SAMPLE_MEMBERS = 32
SPREAD_S_PER_MEMBER = 0.05
# A node whose contacts know of more members than they can name takes part
# with what it knows after this time, in seconds.
JOIN_LIMIT_S = 60.0


@attrs.define
class _Probe:
    """A probe that waits for an ack."""

    target: str
    incarnation: int
    sent_at: float
    indirect_at: float
    deadline: float
    asked: bool = False


@attrs.define
class _Relayed:
    """A probe made for another member."""

    origin: str
    sequence: int
    deadline: float


class Membership:
    """Knows which nodes live and detects failures.

    The driver calls `on_timer` every `TICK_S` and passes on messages. Each call
    returns commands.

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
        # Times that the update of a member was sent already.
        self._queue: dict[str, int] = {}
        self._probes: dict[int, _Probe] = {}
        self._relayed: dict[int, _Relayed] = {}
        self._sequence = 0
        self._targets: list[str] = []
        self._neighbours: list[str] | None = None
        self._joined = False
        # Members of the whole list that this node waits for, and its sender.
        self._expected = 0
        self._list_from = ""
        self._next_probe = now + PERIOD_S * rng.random()
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
        """Whether a member has told this node of the others."""
        return self._joined

    @property
    def members(self) -> dict[str, Member]:
        """Other members by name, dead ones included; not to be changed."""
        return self._members

    @property
    def live_members(self) -> list[Member]:
        """Members taken to run, this node included, by name."""
        live = [m for m in self._members.values() if m.live]
        return sorted([self.own, *live], key=lambda m: m.name)

    @property
    def neighbours(self) -> list[str]:
        """Members that this node probes: its successors on each ring."""
        if self._neighbours is None:
            self._neighbours = self._find_neighbours()
        return self._neighbours

    def is_live(self, name: str, incarnation: int) -> bool:
        """Returns whether this very process is known and taken to run."""
        member = self._find(name)
        return (
            member is not None
            and member.incarnation == incarnation
            and member.live
        )

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Returns whether this very process is known to have ended.

        A process that this node never heard of is neither live nor gone.
        """
        member = self._find(name)
        if member is None:
            return False
        if member.incarnation == incarnation:
            return not member.live
        return member.incarnation > incarnation

    def count_api_clients(self, now: float) -> int:
        """Returns how many nodes share the object API's rate."""
        count = max(self._count_known(now), self._expected)
        if not self._joined and now - self._own.since < SETTLE_S:
            return max(count, ASSUMED_NODES)
        return count

    def _count_known(self, now: float) -> int:
        return 1 + sum(
            member.live
            or (not member.said_goodbye and now - member.since < COUNTED_DEAD_S)
            for member in self._members.values()
        )

    def leave(self) -> None:
        """Tells others that this node takes no new work."""
        self._own.state = State.LEAVING
        self._queue[self._own.name] = 0

    def on_connection(
        self,
        name: str,
        incarnation: int,
        address: str,
        zone: str,
        generation: int,
        now: float,
    ) -> list[Command]:
        """Takes a new connection with a node that proved the secret."""
        update = MemberUpdate(
            name=name,
            incarnation=incarnation,
            state="alive",
            address=address,
            zone=zone,
        )
        commands = self._apply(update, now)
        self._note_generation(name, incarnation, generation)
        waits = self._joined or self._expected > 0
        if not waits and now >= self._next_list:
            self._next_list = now + JOIN_RETRY_S
            commands.append(Send(name, address, self._make_list_request()))
        return commands

    def on_timer(self, now: float, wall: float) -> list[Command]:
        """Probes, suspects and declares members dead."""
        commands = self._check_clock(now, wall)
        commands += self._expire_members(now)
        commands += self._expire_probes(now)
        if now >= self._next_probe:
            self._next_probe = now + PERIOD_S
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
        """Takes a message from a member."""
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
                return self._take_list(sender, message, now)
        return []

    def _make_list(self, whole: bool) -> CompressedMemberList:
        members = [self._own, *self._members.values()]
        total = max(len(members), self._expected)
        if not whole and len(members) > SAMPLE_MEMBERS:
            others = self._rng.sample(members[1:], SAMPLE_MEMBERS - 1)
            members = [self._own, *others]
        return compress_list(members, total)

    def _take_list(
        self, sender: str, message: CompressedMemberList, now: float
    ) -> list[Command]:
        updates = decompress_list(message).updates
        if self._joined or len(updates) >= message.total:
            self._join(now)
        else:
            if not self._expected:
                # Two nodes that lack the same members must not ask each other
                # again and again, so later lists come from others.
                self._list_from = sender
            self._expected = message.total
            spread_s = SPREAD_S_PER_MEMBER * message.total
            self._next_list = now + spread_s * self._rng.random()
        # What a list tells is old news elsewhere. A new node that passed it
        # on would send updates of the whole fleet for minutes.
        queued = set(self._queue)
        commands = self._apply_all(updates, now)
        for name in self._queue.keys() - queued - {self._own.name}:
            del self._queue[name]
        # The same holds for what probes told before the list came.
        for update in updates:
            member = self._members.get(update.name)
            if (
                member is not None
                and member.state is State.ALIVE
                and update_key(member) == update_key(update)
            ):
                self._queue.pop(update.name, None)
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
            # The ring starts behind this node.
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
            # Answers that arrived during a pause have not been read yet.
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
                kept = LEFT_KEPT_S if member.said_goodbye else DEAD_KEPT_S
                if now - member.since > kept:
                    forgotten.append(member.name)
        for name in forgotten:
            del self._members[name]
            self._queue.pop(name, None)
        return commands

    def _expire_probes(self, now: float) -> list[Command]:
        commands: list[Command] = []
        for sequence, probe in list(self._probes.items()):
            if now >= probe.deadline:
                del self._probes[sequence]
                commands += self._on_probe_failed(probe, now)
            elif now >= probe.indirect_at and not probe.asked:
                probe.asked = True
                commands += self._ask_others(sequence, probe)
                commands += self._repeat_probe(sequence, probe)
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
            # It is gone soon; a suspicion would only take longer.
            or member.said_goodbye
        ):
            return commands
        if member.state is not State.SUSPECT:
            commands += self._set_state(member, State.SUSPECT, now)
        return commands + self._confirm(member, now)

    def _confirm(self, member: Member, now: float) -> list[Command]:
        """Probes a suspect again; pings to it carry the suspicion."""
        if any(
            probe.target == member.name and probe.deadline > now
            for probe in self._probes.values()
        ):
            return []
        ping = self._start_probe(
            member, now, timeout_s=CONFIRM_PERIOD_S, asked=True
        )
        commands = self._send(member.name, ping)
        probe = self._probes[ping.sequence]
        return commands + self._ask_others(ping.sequence, probe, CONFIRM_PROBES)

    def _ask_others(
        self, sequence: int, probe: _Probe, count: int = INDIRECT_PROBES
    ) -> list[Command]:
        others = [m for m in self._members.values() if m.name != probe.target]
        alive = [m.name for m in others if m.state is State.ALIVE]
        names = self._rng.sample(alive, min(count, len(alive)))
        if len(names) < count:
            # A suspect may still reach the target.
            names += [m.name for m in others if m.state is State.SUSPECT]
        commands: list[Command] = []
        for name in names[:count]:
            commands += self._send(
                name,
                PingRequest(
                    sequence=sequence,
                    target=probe.target,
                    updates=self._take_updates(name, probe.target),
                ),
            )
        return commands

    def _repeat_probe(self, sequence: int, probe: _Probe) -> list[Command]:
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
        # Others are not asked to probe a dead member.
        ping = self._start_probe(
            member, now, timeout_s=PROBE_TIMEOUT_S, asked=not member.live
        )
        return self._send(member.name, ping)

    def _start_probe(
        self, member: Member, now: float, *, timeout_s: float, asked: bool
    ) -> Ping:
        self._sequence += 1
        self._probes[self._sequence] = _Probe(
            member.name,
            member.incarnation,
            sent_at=now,
            indirect_at=now + DIRECT_TIMEOUT_S,
            deadline=now + timeout_s,
            asked=asked,
        )
        return self._make_ping(member.name, self._sequence)

    def _make_ping(self, target: str, sequence: int) -> Ping:
        return Ping(
            sequence=sequence,
            generation=self._generation(),
            updates=self._take_updates(target),
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
        # The sender of the sample knows more than others that just started.
        first = not self._joined and self._list_from in live
        name = self._list_from if first else self._rng.choice(live)
        if first:
            # Another member is asked if this one does not answer.
            self._list_from = ""
        return self._send(name, self._make_list_request())

    def _on_ping(self, sender: str, ping: Ping, now: float) -> list[Command]:
        commands = self._apply_all(ping.updates, now)
        member = self._members.get(sender)
        if member is not None:
            member.generation = max(member.generation, ping.generation)
        own = self._own.name
        # An earlier refutation may have been lost on its way to the sender.
        suspected = any(update.name == own for update in ping.updates)
        return commands + self._send(
            sender,
            Ack(
                sequence=ping.sequence,
                target=own,
                incarnation=self._own.incarnation,
                generation=self._generation(),
                updates=self._take_updates(sender, own if suspected else ""),
            ),
        )

    def _on_ping_request(
        self, sender: str, request: PingRequest, now: float
    ) -> list[Command]:
        commands = self._apply_all(request.updates, now)
        if request.target not in self._members:
            return commands
        self._sequence += 1
        self._relayed[self._sequence] = _Relayed(
            sender, request.sequence, now + PROBE_TIMEOUT_S
        )
        return commands + self._send(
            request.target, self._make_ping(request.target, self._sequence)
        )

    def _on_ack(self, ack: Ack, now: float) -> list[Command]:
        commands = self._apply_all(ack.updates, now)
        self._note_generation(ack.target, ack.incarnation, ack.generation)
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
                updates=self._take_updates(relayed.origin, ack.target),
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
        member.deadline = now + GOODBYE_S
        return commands

    def _note_generation(
        self, name: str, incarnation: int, generation: int
    ) -> None:
        member = self._members.get(name)
        if member is not None and member.incarnation == incarnation:
            member.generation = max(member.generation, generation)

    def _apply_all(
        self, updates: Iterable[MemberUpdate], now: float
    ) -> list[Command]:
        commands: list[Command] = []
        for update in updates:
            commands += self._apply(update, now)
        return commands

    def _apply(self, update: MemberUpdate, now: float) -> list[Command]:
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
            log.error("membership: another process has the name {}", own.name)
            return
        if (
            update.incarnation == own.incarnation
            and update.state in (State.SUSPECT, State.DEAD)
            and update.refutation >= own.refutation
        ):
            own.refutation = update.refutation + 1
            self._queue[own.name] = 0

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
            member.deadline = now + SUSPICION_S
        self._queue[member.name] = 0
        was_live = before is not None and before is not State.DEAD
        if was_live != member.live:
            self._neighbours = None
        log.debug("membership: {} is {}", member.name, state)
        return [Changed(attrs.evolve(member), before, restarted)]

    def _take_updates(
        self, receiver: str, target: str = ""
    ) -> tuple[MemberUpdate, ...]:
        """Returns the updates that were sent least, in a bounded number.

        The update of the target, which the message is about, comes first; the
        queue may have dropped it after sends that were lost.
        """
        updates = []
        about = self._find(target)
        if about is not None:
            updates.append(about.to_update())
        member = self._members.get(receiver)
        if member is not None and member.state in (State.SUSPECT, State.DEAD):
            # The receiver has to learn of it before it can refute.
            updates.append(member.to_update())
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 2))
        for name in sorted(self._queue, key=self._queue.__getitem__):
            if len(updates) >= MAX_UPDATES:
                break
            known = self._find(name)
            if name not in (receiver, target) and known is not None:
                updates.append(known.to_update())
            self._queue[name] += 1
            if self._queue[name] >= limit:
                del self._queue[name]
        return tuple(updates)

    def _send(self, name: str, message: object) -> list[Command]:
        member = self._members.get(name)
        if member is None:
            return []
        return [Send(name, member.address, message)]
