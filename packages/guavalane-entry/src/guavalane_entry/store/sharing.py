"""Configuration exchange over peer connections."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from guavalane_core.configuration import ConfigurationState
from guavalane_core.configuration.exchange import (
    QUERY_TIMEOUT_S,
    ConfigurationExchange,
    Fetch,
)
from guavalane_core.membership import Changed
from guavalane_core.messages import (
    ConfigDelta,
    ConfigFull,
    ConfigRequest,
    ConfigSubscribe,
    GenerationQuery,
    GenerationReport,
)
from guavalane_core.settings import NodeSettings
from guavalane_core.timers import Timers
from guavalane_entry.peers.connections import Peer, PeerLinks
from guavalane_entry.peers.membership import MembershipRunner
from guavalane_entry.store.configuration import ConfigurationStore

TICK_S = 1.0


class ConfigurationSharing:
    """Runs the configuration exchange over peer connections.

    Args:
      settings: Settings of this node.
      state: Configuration in force on this node.
      links: Connections to peers.
      membership: Membership of the system.
      configuration_store: Reads and stores the configuration in the object API.
      timers: Timer service.
    """

    def __init__(
        self,
        settings: NodeSettings,
        state: ConfigurationState,
        links: PeerLinks,
        membership: MembershipRunner,
        configuration_store: ConfigurationStore,
        timers: Timers,
    ) -> None:
        self._links = links
        self._configuration_store = configuration_store
        self._timers = timers
        self._subscription = None
        self._reported = asyncio.Event()
        self._exchange = ConfigurationExchange(
            settings.name,
            settings.zone,
            state,
            lambda: membership.live_members,
            configuration_store.rng,
        )
        # Must run after the listener of the exchange, which adds the commands.
        state.subscribe(lambda _: self._flush())
        membership.subscribe(self._on_member)
        membership.on_generation(self._on_generation)
        membership.on_clock_jump(lambda _: configuration_store.refresh())
        membership.set_persistent_peers(self._find_persistent_peers)
        for cls in (
            ConfigSubscribe,
            ConfigRequest,
            ConfigFull,
            ConfigDelta,
            GenerationQuery,
            GenerationReport,
        ):
            links.on_message(cls, self._on_message)

    @property
    def is_relay(self) -> bool:
        """Whether this node watches the object API for its zone."""
        return self._exchange.is_relay

    @property
    def relays(self) -> list[str]:
        """Relays to which this node subscribes."""
        return self._exchange.relays_in_use

    @property
    def subscribers(self) -> list[str]:
        """Nodes to which this node pushes changes."""
        return self._exchange.subscribers

    def start(self) -> None:
        """Starts the configuration exchange."""
        self._configuration_store.on_newer(self._on_newer)
        self._configuration_store.on_stored(self._on_stored)
        self._exchange.on_members_changed()
        self._subscription = self._timers.call_every(TICK_S, self._tick)

    def stop(self) -> None:
        """Stops the configuration exchange."""
        if self._subscription is not None:
            self._subscription.cancel()

    async def find_lagging(self, generation: int) -> list[str]:
        """Returns the live nodes that are not known to have a generation."""
        sequence = self._exchange.start_query(generation)
        self._flush()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                while not self._exchange.query_is_complete(sequence):
                    self._reported.clear()
                    await self._reported.wait()
        return self._exchange.finish_query(sequence)

    def _tick(self) -> None:
        self._exchange.on_timer(self._timers.now())
        self._configuration_store.set_watching(self._exchange.is_relay)
        self._flush()

    def _find_persistent_peers(self) -> set[str]:
        return {*self.relays, *self.subscribers}

    def _on_member(self, _: Changed) -> None:
        self._exchange.on_members_changed()

    def _on_generation(self, name: str, generation: int) -> None:
        self._exchange.note_generation(name, generation, self._timers.now())
        self._flush()

    def _on_message(self, peer: Peer, message: Any) -> None:
        self._exchange.on_message(
            peer.name, peer.address, message, self._timers.now()
        )
        if isinstance(message, GenerationReport):
            self._reported.set()
        self._flush()

    def _on_newer(self, generation: int) -> None:
        self._exchange.note_stored(generation, self._timers.now())
        self._flush()

    def _on_stored(self) -> None:
        self._exchange.push_to_relays()
        self._flush()

    def _flush(self) -> None:
        for command in self._exchange.take_commands():
            if isinstance(command, Fetch):
                self._configuration_store.refresh()
            else:
                self._links.send(command.name, command.message, command.address)
