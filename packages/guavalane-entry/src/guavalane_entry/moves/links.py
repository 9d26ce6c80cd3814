"""Interface to peers for version moves."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from guavalane_entry.peers.connections import PeerLinks
from guavalane_entry.peers.membership import MembershipRunner


class Links(Protocol):
    """Connections to peers, as required by version moves."""

    @property
    def peers(self) -> dict[str, Any]:
        """Other live nodes, by name."""

    def send(self, name: str, message: Any) -> bool:
        """Sends a message and returns whether the node is connected."""

    def broadcast(self, message: Any) -> None:
        """Sends a message to every connected node."""

    def on_message(self, cls: type, handler: Callable) -> None:
        """Sets the handler for messages of a class."""

    def on_connect(self, handler: Callable) -> None:
        """Adds a handler that is called for each new connection."""


class MemberLinks:
    """Connections to all live members, opened on demand.

    Args:
      node: Name of this node.
      links: Connections to peers.
      membership: Members and their addresses.
    """

    def __init__(
        self, node: str, links: PeerLinks, membership: MembershipRunner
    ) -> None:
        self._node = node
        self._links = links
        self._membership = membership

    @property
    def peers(self) -> dict[str, Any]:
        """Other live members, by name."""
        return {
            member.name: member
            for member in self._membership.live_members
            if member.name != self._node
        }

    def send(self, name: str, message: Any) -> bool:
        """Sends a message and returns whether the node was connected."""
        member = self.peers.get(name)
        address = member.address if member else ""
        return self._links.send(name, message, address)

    def broadcast(self, message: Any) -> None:
        """Sends a message to every live member."""
        for name, member in self.peers.items():
            self._links.send(name, message, member.address)

    def on_message(self, cls: type, handler: Callable) -> None:
        """Sets the handler for messages of a class."""
        self._links.on_message(cls, handler)

    def on_connect(self, handler: Callable) -> None:
        """Adds a handler that is called for each new connection."""
        self._links.on_connect(handler)
