"""Keeps the member list of this node over websockets."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from typing import Any

from loguru import logger as log

from guavalane_core.membership import (
    TICK_S,
    Changed,
    ClockJumped,
    CloseLink,
    Member,
    Membership,
    Send,
)
from guavalane_core.membership.commands import Command
from guavalane_core.messages import (
    Ack,
    CompressedMemberList,
    Goodbye,
    MemberListRequest,
    Ping,
    PingRequest,
)
from guavalane_core.settings import NodeSettings
from guavalane_core.timers import Timers
from guavalane_entry.fleet.vm_list import ListedVm
from guavalane_entry.peers.connections import Peer, PeerLinks

# Seeds are dialled this often before and after the first contact, in seconds.
SEED_ALONE_S = 1.0
SEED_JOINED_S = 30.0
IDLE_CHECK_S = 5.0
# Candidates of the VM list that are dialled in one round.
MAX_CANDIDATES = 3


class MembershipKeeper:
    """Drives the membership machine and finds first contacts.

    Args:
      settings: Settings of this node.
      incarnation: Incarnation of this process.
      links: Connections to peers.
      timers: Timer service.
      generation: Returns the configuration generation in force.
      rng: Source of jitter.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        links: PeerLinks,
        timers: Timers,
        generation: Callable[[], int],
        rng: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._links = links
        self._timers = timers
        self._rng = rng or random.Random()
        self._machine = Membership(
            settings.name,
            incarnation,
            links.address,
            settings.zone,
            generation,
            timers.now(),
            self._rng,
        )
        self._listeners: list[Callable[[Changed], None]] = []
        self._jump_listeners: list[Callable[[float], None]] = []
        self._generation_listeners: list[Callable[[str, int], None]] = []
        self._keep: Callable[[], set[str]] = set
        self._next_seed = 0.0
        self._next_idle_check = 0.0
        self._leaving_vms: set[str] = set()
        self._subscription = None
        for cls in (Ping, PingRequest, Ack, MemberListRequest):
            links.on_message(cls, self._on_message)
        links.on_message(CompressedMemberList, self._on_message)
        links.on_message(Goodbye, self._on_message)
        links.on_connect(self._on_connect)

    @property
    def live_members(self) -> list[Member]:
        """Members taken to run, with their zone; this node included."""
        return self._machine.live_members

    @property
    def sharers(self) -> int:
        """Nodes that share the object API's rate."""
        return self._machine.count_api_clients(self._timers.now())

    def is_live(self, name: str, incarnation: int) -> bool:
        """Returns whether this very process is known and taken to run."""
        return self._machine.is_live(name, incarnation)

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Returns whether this very process is known to have ended.

        A process that this node never heard of is neither live nor gone.
        """
        return self._machine.is_gone(name, incarnation)

    def subscribe(self, listener: Callable[[Changed], None]) -> None:
        """Calls a listener when a member is new or changes its state."""
        self._listeners.append(listener)

    def on_clock_jump(self, listener: Callable[[float], None]) -> None:
        """Calls a listener with the jump in seconds, before any probe."""
        self._jump_listeners.append(listener)

    def on_generation(self, listener: Callable[[str, int], None]) -> None:
        """Calls a listener with node and generation of probes and acks."""
        self._generation_listeners.append(listener)

    def keep_links(self, names: Callable[[], set[str]]) -> None:
        """Sets the function that names nodes whose links stay open."""
        self._keep = names

    def report(self) -> list[dict[str, Any]]:
        """Returns all members, dead ones included, for operators."""
        members = [self._machine.own, *self._machine.members.values()]
        now = self._timers.now()
        return [
            {
                **member.to_plain(),
                "since_s": round(now - member.since, 1),
                "vm_leaving": member.name in self._leaving_vms,
            }
            for member in sorted(members, key=lambda m: m.name)
        ]

    def start(self) -> None:
        """Starts to probe and to look for first contacts."""
        self._subscription = self._timers.call_every(TICK_S, self._tick)

    def stop(self) -> None:
        """Stops to probe."""
        if self._subscription is not None:
            self._subscription.cancel()

    def leave(self) -> None:
        """Tells others that this node takes no new work."""
        self._machine.leave()

    def _tick(self) -> None:
        now = self._timers.now()
        self._execute(self._machine.on_timer(now, self._timers.wall()))
        if now >= self._next_seed:
            self._dial_seeds(now)
        if now >= self._next_idle_check:
            self._next_idle_check = now + IDLE_CHECK_S
            self._links.close_idle(self._keep())

    def _on_connect(self, peer: Peer) -> None:
        commands = self._machine.on_connection(
            peer.name,
            peer.incarnation,
            peer.address,
            peer.zone,
            peer.generation,
            self._timers.now(),
        )
        self._execute(commands)
        self._note_generation(peer.name, peer.generation)

    def _on_message(self, peer: Peer, message: Any) -> None:
        self._execute(
            self._machine.on_message(peer.name, message, self._timers.now())
        )
        if isinstance(message, Ping):
            self._note_generation(peer.name, message.generation)
        elif isinstance(message, Ack):
            self._note_generation(message.target, message.generation)

    def _note_generation(self, name: str, generation: int) -> None:
        for listener in self._generation_listeners:
            listener(name, generation)

    def _execute(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case Send():
                    self._send(command)
                case CloseLink():
                    self._links.close_used(command.name, command.since)
                case Changed():
                    self._log_change(command)
                    for listener in self._listeners:
                        listener(command)
                case ClockJumped():
                    for listener in self._jump_listeners:
                        listener(command.seconds)

    def _send(self, command: Send) -> None:
        if command.fresh:
            self._links.send_over_new(command.message, command.address)
        else:
            self._links.send(command.name, command.message, command.address)

    def _log_change(self, change: Changed) -> None:
        log.info(
            "membership: {} is {}{}",
            change.member.name,
            change.member.state,
            " after a restart" if change.restarted else "",
        )

    def _dial_seeds(self, now: float) -> None:
        known = self._live_addresses()
        alone = len(known) == 1
        period_s = SEED_ALONE_S if alone else SEED_JOINED_S
        self._next_seed = now + period_s * (0.5 + self._rng.random())
        for address in self._settings.seeds:
            if address not in known:
                self._links.dial(address)

    def _live_addresses(self) -> set[str]:
        return {member.address for member in self._machine.live_members}

    def on_vm_list(self, vms: Collection[ListedVm]) -> None:
        """Dials VMs of the list that are not known as members."""
        self._leaving_vms = {vm.name for vm in vms if vm.leaving}
        known = self._live_addresses()
        # The list lags: it only adds candidates, and contact decides.
        candidates = sorted(
            vm.address
            for vm in vms
            if not vm.leaving and vm.address not in known
        )
        count = min(MAX_CANDIDATES, len(candidates))
        for address in self._rng.sample(candidates, count):
            self._links.dial(address)
