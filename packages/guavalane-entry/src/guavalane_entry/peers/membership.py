"""Runs the membership protocol over peer connections."""

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

# Mean interval between attempts to connect to the seeds, before and after
# another node is known.
SEED_PERIOD_ALONE_S = 1.0
SEED_PERIOD_JOINED_S = 30.0
IDLE_CHECK_PERIOD_S = 5.0
# Maximum number of connection attempts per read of the VM list.
MAX_VM_LIST_DIALS = 3


class MembershipRunner:
    """Runs the membership state machine and discovers other nodes.

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
        self._persistent_peers: Callable[[], set[str]] = set
        self._next_seed_dial = 0.0
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
        """Members that are considered live, including this node."""
        return self._machine.live_members

    @property
    def sharers(self) -> int:
        """Number of nodes that share the rate limit of the object API."""
        return self._machine.count_api_clients(self._timers.now())

    def is_live(self, name: str, incarnation: int) -> bool:
        """Returns whether this incarnation is known and considered live."""
        return self._machine.is_live(name, incarnation)

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Returns whether this incarnation is known to have ended.

        An unknown incarnation is neither live nor gone.
        """
        return self._machine.is_gone(name, incarnation)

    def subscribe(self, listener: Callable[[Changed], None]) -> None:
        """Adds a listener for new members and changes of their state."""
        self._listeners.append(listener)

    def on_clock_jump(self, listener: Callable[[float], None]) -> None:
        """Adds a listener for clock jumps, called before any probe.

        The listener receives the jump in seconds.
        """
        self._jump_listeners.append(listener)

    def on_generation(self, listener: Callable[[str, int], None]) -> None:
        """Adds a listener for generations in probes and acknowledgements.

        The listener receives the node name and the generation.
        """
        self._generation_listeners.append(listener)

    def set_persistent_peers(self, names: Callable[[], set[str]]) -> None:
        """Sets the function that returns nodes to stay connected to."""
        self._persistent_peers = names

    def report(self) -> list[dict[str, Any]]:
        """Returns all members, including dead ones, for operators."""
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
        """Starts probing and discovery."""
        self._subscription = self._timers.call_every(TICK_S, self._tick)

    def stop(self) -> None:
        """Stops probing and discovery."""
        if self._subscription is not None:
            self._subscription.cancel()

    def leave(self) -> None:
        """Announces that this node accepts no new work."""
        self._machine.leave()

    def _tick(self) -> None:
        now = self._timers.now()
        self._execute(self._machine.on_timer(now, self._timers.wall()))
        if now >= self._next_seed_dial:
            self._dial_seeds(now)
        if now >= self._next_idle_check:
            self._next_idle_check = now + IDLE_CHECK_PERIOD_S
            self._links.close_idle(self._persistent_peers())

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
        self._report_generation(peer.name, peer.generation)

    def _on_message(self, peer: Peer, message: Any) -> None:
        self._execute(
            self._machine.on_message(peer.name, message, self._timers.now())
        )
        if isinstance(message, Ping):
            self._report_generation(peer.name, message.generation)
        elif isinstance(message, Ack):
            self._report_generation(message.target, message.generation)

    def _report_generation(self, name: str, generation: int) -> None:
        for listener in self._generation_listeners:
            listener(name, generation)

    def _execute(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case Send():
                    self._send(command)
                case CloseLink():
                    self._links.close_stale(command.name, command.since)
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
        period_s = SEED_PERIOD_ALONE_S if alone else SEED_PERIOD_JOINED_S
        self._next_seed_dial = now + period_s * (0.5 + self._rng.random())
        for address in self._settings.seeds:
            if address not in known:
                self._links.dial(address)

    def _live_addresses(self) -> set[str]:
        return {member.address for member in self._machine.live_members}

    def on_vm_list(self, vms: Collection[ListedVm]) -> None:
        """Connects to VMs of the list that are not known as live members."""
        self._leaving_vms = {vm.name for vm in vms if vm.leaving}
        known = self._live_addresses()
        # The list may be outdated, so it only provides candidates. A member is
        # added once a connection succeeds.
        candidates = sorted(
            vm.address
            for vm in vms
            if not vm.leaving and vm.address not in known
        )
        count = min(MAX_VM_LIST_DIALS, len(candidates))
        for address in self._rng.sample(candidates, count):
            self._links.dial(address)
