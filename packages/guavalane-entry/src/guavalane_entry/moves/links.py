"""Connections to peers as version moves use them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from guavalane_entry.peers.connections import PeerLinks
from guavalane_entry.peers.membership import MembershipKeeper


class Links(Protocol):
    """What moves need of the connections to peers."""

    @property
    def peers(self) -> dict[str, Any]:
        """Other live nodes by name."""

    def send(self, name: str, message: Any) -> bool:
        """Sends a message; returns whether the node is connected."""

    def broadcast(self, message: Any) -> None:
        """Sends a message to every connected node."""

    def on_message(self, cls: type, handler: Callable) -> None:
        """Passes messages of a class to a handler."""

    def on_connect(self, handler: Callable) -> None:
        """Calls a handler for each new connection."""


class MemberLinks:
    """Connections to all live members, made when they are needed.

    Args:
      node: Name of this node.
      links: Connections to peers.
      membership: Members and their addresses.
    """

    def __init__(
        self, node: str, links: PeerLinks, membership: MembershipKeeper
    ) -> None:
        self._node = node
        self._links = links
        self._membership = membership

    @property
    def peers(self) -> dict[str, Any]:
        """Other live members by name."""
        return {
            member.name: member
            for member in self._membership.live_members
            if member.name != self._node
        }

    def send(self, name: str, message: Any) -> bool:
        """Sends a message; returns whether the node was connected."""
        member = self.peers.get(name)
        address = member.address if member else ""
        return self._links.send(name, message, address)

    def broadcast(self, message: Any) -> None:
        """Sends a message to every live member."""
        for name, member in self.peers.items():
            self._links.send(name, message, member.address)

    def on_message(self, cls: type, handler: Callable) -> None:
        """Passes messages of a class to a handler."""
        self._links.on_message(cls, handler)

    def on_connect(self, handler: Callable) -> None:
        """Calls a handler for each new connection."""
        self._links.on_connect(handler)
