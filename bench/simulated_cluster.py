"""Runs the control components of many nodes in one process.

The nodes use the production code on an in-memory transport. The transport
counts the bytes of encoded CBOR frames, including handshakes. It does not count
websocket and TCP framing, system calls, or the HTTP overhead of the object API
beyond its bodies.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs

from guavalane_core import messages
from guavalane_core.configuration import ConfigurationState
from guavalane_core.exceptions import ObjectNotFoundError
from guavalane_core.objects import (
    BudgetedObjectApi,
    MemoryObjectApi,
    MetadataEvent,
    ObjectMetadata,
    StoredObject,
)
from guavalane_core.settings import parse_settings
from guavalane_core.timers import ManualTimers
from guavalane_entry.node import RANDOM_BITS
from guavalane_entry.peers.membership import MembershipRunner
from guavalane_entry.store.configuration import ConfigurationStore
from guavalane_entry.store.sharing import ConfigurationSharing
from guavalane_standins.objects import to_event, to_partial, to_resource

ZONE_COUNT = 9
MESSAGE_DELAY_S = 0.005
STEP_S = 0.05
IDLE_TIMEOUT_S = 30.0
WRITES_PER_S = 300
READS_PER_S = 1500


class CountingObjectApi(MemoryObjectApi):
    """In-memory object API that counts response bytes and watch events."""

    def __init__(self) -> None:
        super().__init__()
        self._encoded: tuple[str, bytes] = ("", b"")
        self.body_bytes = 0
        self.deliveries = 0

    async def read(self, kind: str, name: str) -> tuple[StoredObject, bytes]:
        """Returns an object, which callers must not modify, and its JSON."""
        self.calls.reads += 1
        self._raise_if_down()
        stored = self._objects.get((kind, name))
        if stored is None:
            raise ObjectNotFoundError(f"{kind}/{name}")
        if self._encoded[0] != stored.version:
            data = json.dumps(to_resource(stored)).encode()
            self._encoded = (stored.version, data)
        return stored, self._encoded[1]


class NodeObjectApi:
    """Object API client of one node; parses responses from JSON."""

    def __init__(self, api: CountingObjectApi) -> None:
        self._api = api
        self.bytes_received = 0
        self.whole_reads = 0

    async def get(self, kind: str, name: str) -> StoredObject:
        """Returns an object; see `ObjectApi.get`."""
        stored, data = await self._api.read(kind, name)
        self._count(data)
        self.whole_reads += 1
        return attrs.evolve(stored, body=json.loads(data)["spec"])

    async def get_metadata(self, kind: str, name: str) -> ObjectMetadata:
        """Returns metadata; see `ObjectApi.get_metadata`."""
        metadata = await self._api.get_metadata(kind, name)
        self._count(json.dumps(to_partial(metadata)).encode())
        return metadata

    async def list_metadata(
        self, kind: str
    ) -> tuple[list[ObjectMetadata], str]:
        """Lists the metadata of a kind; see `ObjectApi.list_metadata`."""
        found, version = await self._api.list_metadata(kind)
        items = [to_partial(metadata) for metadata in found]
        self._count(json.dumps(items).encode())
        return found, version

    async def create(self, *arguments: Any) -> StoredObject:
        """Creates an object; see `ObjectApi.create`."""
        return await self._api.create(*arguments)

    async def update(self, *arguments: Any) -> StoredObject:
        """Replaces an object; see `ObjectApi.update`."""
        return await self._api.update(*arguments)

    async def watch_metadata(
        self, kind: str, version: str
    ) -> AsyncIterator[MetadataEvent]:
        """Yields changes; see `ObjectApi.watch_metadata`."""
        async for event in self._api.watch_metadata(kind, version):
            line = to_event(to_partial(event.metadata), event.deleted)
            self._count(json.dumps(line).encode())
            self._api.deliveries += 1
            yield event

    def _count(self, data: bytes) -> None:
        self.bytes_received += len(data)
        self._api.body_bytes += len(data)


@attrs.define
class MemoryPeer:
    """Remote side of a connection; see `peers.connections.Peer`."""

    name: str
    incarnation: int
    generation: int
    zone: str
    address: str
    used_at: float


class MemoryLinks:
    """In-memory replacement of `PeerLinks` that counts encoded bytes."""

    def __init__(self, cluster: SimulatedCluster, name: str, zone: str) -> None:
        self._cluster = cluster
        self._zone = zone
        self._handlers: dict[type, Callable] = {}
        self._on_connect: list[Callable] = []
        self._encoded: tuple[Any, bytes] = (None, b"")
        self.name = name
        self.address = f"{name}:1"
        self.incarnation = 0
        self.generation: Callable[[], int] = lambda: 0
        self.peers: dict[str, MemoryPeer] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self.handshakes = 0

    def on_message(self, cls: type, handler: Callable) -> None:
        """Registers the handler of a message class."""
        self._handlers[cls] = handler

    def on_connect(self, handler: Callable) -> None:
        """Registers a handler that is called for each new connection."""
        self._on_connect.append(handler)

    def dial(self, address: str) -> None:
        """Connects to a known address unless either node is frozen."""
        other = self._cluster.links.get(address)
        frozen = self._cluster.frozen
        if other is None or other is self or other.name in self.peers:
            return
        if {self.name, other.name} & frozen:
            return
        self._handshake(other)
        for one, two in ((self, other), (other, self)):
            peer = MemoryPeer(
                two.name,
                two.incarnation,
                two.generation(),
                two._zone,
                two.address,
                self._cluster.timers.now(),
            )
            one.peers[two.name] = peer
            for handler in one._on_connect:
                handler(peer)

    def send(self, name: str, message: Any, address: str = "") -> bool:
        """Sends a message, over a new connection if an address is given."""
        if name not in self.peers and address:
            self.dial(address)
        peer = self.peers.get(name)
        if peer is None:
            return False
        if self._encoded[0] is not message:
            self._encoded = (message, messages.encode(message))
        frame = self._encoded[1]
        self.bytes_sent += len(frame)
        peer.used_at = self._cluster.timers.now()
        self._cluster.timers.call_later(
            MESSAGE_DELAY_S,
            lambda: self._cluster.deliver(self.name, name, frame),
        )
        return True

    def receive(self, sender: str, frame: bytes) -> None:
        """Decodes a frame and passes the message to its handler."""
        peer = self.peers.get(sender)
        if peer is None:
            return
        peer.used_at = self._cluster.timers.now()
        self.bytes_received += len(frame)
        message = messages.decode(frame)
        self._handlers[type(message)](peer, message)

    def send_over_new(self, message: Any, address: str) -> None:
        """Sends a message and counts the handshake of a new connection.

        The existing connection is reused, because simulated connections only
        ever fail in both directions.
        """
        other = self._cluster.links[address]
        if not {self.name, other.name} & self._cluster.frozen:
            self._handshake(other)
        self.send(other.name, message, address)

    def close_stale(self, name: str, since: float) -> None:
        """Closes a connection on which a probe got no answer."""
        del since
        self._close(name)

    def _close(self, name: str) -> None:
        if self.peers.pop(name, None) is not None:
            self._cluster.links[f"{name}:1"].peers.pop(self.name, None)

    def close_idle(self, keep: set[str]) -> None:
        """Closes idle connections, except those to keep."""
        now = self._cluster.timers.now()
        for name, peer in list(self.peers.items()):
            if now - peer.used_at > IDLE_TIMEOUT_S and name not in keep:
                self._close(name)

    def _handshake(self, other: MemoryLinks) -> None:
        fields = {"incarnation": 1 << 56, "nonce": bytes(16), "generation": 1}
        hello = messages.Hello(
            node=self.name, zone=self._zone, address=self.address, **fields
        )
        answer = messages.HelloAck(
            node=other.name,
            zone=other._zone,
            address=other.address,
            proof=bytes(32),
            **fields,
        )
        proof = messages.HelloProof(proof=bytes(32))
        request_bytes = len(messages.encode(hello)) + len(
            messages.encode(proof)
        )
        response_bytes = len(messages.encode(answer))
        self.bytes_sent += request_bytes
        other.bytes_received += request_bytes
        other.bytes_sent += response_bytes
        self.bytes_received += response_bytes
        self.handshakes += 1


def new_incarnation(rng: random.Random) -> int:
    """Returns the incarnation of a node that starts within 10 s of others.

    The random bits are included because they determine the size of compressed
    member lists.
    """
    start_ms = (1 << 40) + rng.randrange(10_000)
    return (start_ms << RANDOM_BITS) | rng.getrandbits(RANDOM_BITS)


class ControlNode:
    """Control components of one entry node."""

    def __init__(self, cluster: SimulatedCluster, index: int) -> None:
        zone = f"zone-{index % ZONE_COUNT}"
        name = f"entry-{index}"
        settings = parse_settings(
            json.dumps(
                {
                    "name": name,
                    "zone": zone,
                    "callers": {"port": 1},
                    "operators": {"port": 2},
                    "peers": {"port": 3},
                    "node_secret": "x" * 16,
                    "operator_token": "x" * 16,
                }
            )
        )
        rng = random.Random(index)
        self.name = name
        self.state = ConfigurationState()
        self.links = MemoryLinks(cluster, name, zone)
        self.links.incarnation = new_incarnation(rng)
        self.links.generation = lambda: self.state.generation
        self.membership = MembershipRunner(
            settings,
            self.links.incarnation,
            self.links,
            cluster.timers,
            lambda: self.state.generation,
            rng,
        )
        self.api = NodeObjectApi(cluster.api)
        self.objects = BudgetedObjectApi(
            self.api,
            cluster.timers,
            lambda: self.membership.sharers,
            WRITES_PER_S,
            READS_PER_S,
            rng,
        )
        self.configuration_store = ConfigurationStore(
            self.objects, self.state, cluster.timers, rng
        )
        self.sharing = ConfigurationSharing(
            settings,
            self.state,
            self.links,
            self.membership,
            self.configuration_store,
            cluster.timers,
        )

    @property
    def traffic_bytes(self) -> int:
        """Bytes sent to and received from peers and the object API."""
        links = self.links
        return links.bytes_sent + links.bytes_received + self.api.bytes_received


class SimulatedCluster:
    """Simulated nodes that share an object API and manual timers.

    Args:
      count: Number of nodes.
      relays: Whether relays distribute configuration changes; otherwise every
          node watches the object API.
    """

    def __init__(self, count: int, relays: bool = True) -> None:
        self.timers = ManualTimers()
        self.api = CountingObjectApi()
        self.links: dict[str, MemoryLinks] = {}
        self.frozen: set[str] = set()
        self._relays = relays
        self.nodes = [ControlNode(self, index) for index in range(count)]
        for node in self.nodes:
            self.links[node.links.address] = node.links

    def start(self) -> None:
        """Starts all nodes, with the first two as seeds."""
        for node in self.nodes:
            node.membership.start()
            node.configuration_store.start()
            if self._relays:
                node.sharing.start()
            for seed in self.nodes[:2]:
                node.links.dial(seed.links.address)

    def deliver(self, sender: str, receiver: str, frame: bytes) -> None:
        """Delivers a frame unless its sender or receiver is frozen."""
        if not {sender, receiver} & self.frozen:
            self.links[f"{receiver}:1"].receive(sender, frame)

    async def run(self, seconds: float) -> float:
        """Advances simulated time; returns the CPU time used, in seconds."""
        start = time.process_time()
        await self.timers.run_for(seconds, STEP_S)
        return time.process_time() - start

    async def run_until(
        self, condition: Callable[[], bool], limit_s: float
    ) -> float:
        """Advances simulated time until a condition holds or a time limit.

        Returns:
          Simulated time that passed, in seconds.
        """
        start = self.timers.now()
        while not condition() and self.timers.now() - start < limit_s:
            await self.timers.run_for(STEP_S, STEP_S)
        return self.timers.now() - start

    def all_have_generation(self, generation: int) -> bool:
        """Returns whether all nodes that are not frozen have a generation."""
        return all(
            node.state.generation >= generation
            for node in self.nodes
            if node.name not in self.frozen
        )

    def is_membership_complete(self) -> bool:
        """Returns whether every node lists all nodes as live."""
        return all(
            len(node.membership.live_members) == len(self.nodes)
            for node in self.nodes
        )

    def traffic_bytes(self) -> tuple[int, int]:
        """Returns the bytes that all nodes sent to and received from peers."""
        return (
            sum(node.links.bytes_sent for node in self.nodes),
            sum(node.links.bytes_received for node in self.nodes),
        )

    async def stop(self) -> None:
        """Stops all tasks."""
        for node in self.nodes:
            await node.configuration_store.stop()
            await node.objects.close()
