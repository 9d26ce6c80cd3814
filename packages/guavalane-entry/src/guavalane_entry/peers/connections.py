"""WebSocket connections to other entry nodes."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import secrets
from collections.abc import Callable
from typing import Any

from loguru import logger as log
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.protocol import State

from guavalane_core import messages
from guavalane_core.exceptions import MessageError
from guavalane_core.messages.codec import MAX_FRAME_BYTES
from guavalane_core.settings import NodeSettings
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 2.0
# Time without traffic after which a connection is closed.
IDLE_TIMEOUT_S = 30.0
# Limits the memory used by connections. In a system of 550 nodes, a relay has
# about 75.
MAX_CONNECTIONS = 256
MAX_PENDING_FRAMES = 64
WILDCARD_HOSTS = ("0.0.0.0", "::")
CLOSE_TRY_AGAIN_LATER = 1013
CLOSE_INVALID_MESSAGE = 1007
CLOSE_INVALID_PROOF = 1008

Handler = Callable[["Peer", Any], None]


class Peer:
    """Connection whose other side has proved that it knows the shared secret.

    Args:
      connection: Open WebSocket connection.
      name: Name of the remote node.
      incarnation: Incarnation of the remote node.
      generation: Configuration generation of the remote node at the handshake.
      zone: Availability zone of the remote node.
      address: Peer address of the remote node.
      now: Current monotonic time in seconds.
    """

    def __init__(
        self,
        connection: Connection,
        name: str,
        incarnation: int,
        generation: int,
        zone: str,
        address: str,
        now: float,
    ) -> None:
        self._connection = connection
        self._outbox: asyncio.Queue[bytes] = asyncio.Queue(maxsize=1000)
        self.name = name
        self.incarnation = incarnation
        self.generation = generation
        self.zone = zone
        self.address = address
        self.received_at = now
        self.used_at = now
        self.created_at = now
        self.sent_at = now
        self.bytes_sent = 0

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._connection.state is State.CLOSED

    def send(self, message: Any) -> None:
        """Queues a message, or drops it if the queue is full."""
        self.send_frame(messages.encode(message))

    def send_frame(self, frame: bytes) -> None:
        """Queues an encoded message, or drops it if the queue is full."""
        try:
            self._outbox.put_nowait(frame)
        except asyncio.QueueFull:
            log.warning(
                "peers: send queue of {} is full; message dropped", self.name
            )

    async def write_queued(self) -> None:
        """Writes queued messages until the connection is closed."""
        while True:
            frame = await self._outbox.get()
            self.bytes_sent += len(frame)
            await self._connection.send(frame)

    def abort(self) -> None:
        """Closes the connection without a handshake.

        The other side may be unresponsive.
        """
        self._connection.transport.abort()


class PeerLinks:
    """Manages the connections to other nodes and dispatches their messages.

    Args:
      settings: Settings of this node.
      incarnation: Incarnation of this process.
      generation: Returns the configuration generation in force.
      timers: Timer service.
    """

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        generation: Callable[[], int],
        timers: Timers,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._generation = generation
        self._timers = timers
        self._secret = settings.node_secret.encode()
        listen = settings.peers
        self._address = (
            settings.advertised_peers or f"{listen.host}:{listen.port}"
        )
        # Connects from the address that this node listens on.
        self._local_address = (
            None if listen.host in WILDCARD_HOSTS else (listen.host, 0)
        )
        self._connections: dict[str, list[Peer]] = {}
        self._handlers: dict[type, Handler] = {}
        self._on_connect: list[Callable[[Peer], None]] = []
        self._server: Server | None = None
        # Frames to be sent once a connection is established, by address.
        self._queued_frames: dict[str, list[bytes]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._last_encoded: tuple[Any, bytes] = (None, b"")
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def address(self) -> str:
        """Address at which other nodes reach this node."""
        return self._address

    @property
    def peers(self) -> dict[str, Peer]:
        """Connected nodes, by name."""
        return {name: self.find(name) for name in self._connections}

    def find(self, name: str) -> Peer | None:
        """Returns the connection to a node that received a message last."""
        found = self._connections.get(name)
        return max(found, key=lambda peer: peer.received_at) if found else None

    def on_message(self, cls: type, handler: Handler) -> None:
        """Sets the handler for messages of a class."""
        self._handlers[cls] = handler

    def on_connect(self, handler: Callable[[Peer], None]) -> None:
        """Adds a handler that is called for each new connection."""
        self._on_connect.append(handler)

    async def start(self) -> None:
        """Starts listening."""
        self._server = await serve(
            self._accept,
            self._settings.peers.host,
            self._settings.peers.port,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=None,
        )

    async def stop(self) -> None:
        """Closes all connections."""
        await cancel_tasks(*self._tasks)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def dial(self, address: str) -> None:
        """Starts one attempt to connect to an address."""
        if address != self._address and address not in self._queued_frames:
            self._queued_frames[address] = []
            task = asyncio.create_task(self._connect(address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def send(self, name: str, message: Any, address: str = "") -> bool:
        """Sends a message.

        If the node is not connected and an address is given, the message is
        sent over a new connection.

        Returns:
          Whether the node is connected.

        Raises:
          MessageError: The message is too large; nothing was sent.
        """
        peer = self.find(name)
        if peer is not None:
            self._send_frame(peer, self._encode(message))
        elif address:
            self.send_over_new(message, address)
        return peer is not None

    def send_over_new(self, message: Any, address: str) -> None:
        """Sends a message over a new connection.

        Raises:
          MessageError: The message is too large; nothing was sent.
        """
        if address == self._address:
            return
        frame = self._encode(message)
        self.dial(address)
        queued = self._queued_frames[address]
        if len(queued) < MAX_PENDING_FRAMES:
            queued.append(frame)
        else:
            log.warning(
                "peers: no connection to {} yet; message dropped", address
            )

    def broadcast(self, message: Any) -> None:
        """Sends a message to every connected node."""
        for peer in self.peers.values():
            self._send_frame(peer, self._encode(message))

    def close_stale(self, name: str, since: float) -> None:
        """Closes connections on which a node may not receive messages.

        These were opened before `since` and used for sending since then. As a
        connection may fail in one direction only, they may still receive
        messages.
        """
        for peer in self._connections.get(name, []):
            if peer.created_at < since <= peer.sent_at:
                peer.abort()

    def close_idle(self, keep: set[str]) -> None:
        """Closes idle connections, except one to each node in `keep`."""
        now = self._timers.now()
        for name, found in self._connections.items():
            kept = self.find(name) if name in keep else None
            for peer in found:
                if now - peer.used_at > IDLE_TIMEOUT_S and peer is not kept:
                    log.debug("peers: closing idle connection to {}", name)
                    peer.abort()

    def _encode(self, message: Any) -> bytes:
        # The same message is often sent to many peers.
        if self._last_encoded[0] is not message:
            self._last_encoded = (message, messages.encode(message))
        return self._last_encoded[1]

    def _send_frame(self, peer: Peer, frame: bytes) -> None:
        peer.used_at = peer.sent_at = self._timers.now()
        self.bytes_sent += len(frame)
        peer.send_frame(frame)

    async def _connect(self, address: str) -> None:
        queued = self._queued_frames[address]
        try:
            async with connect(
                f"ws://{address}",
                max_size=MAX_FRAME_BYTES,
                compression=None,
                ping_interval=None,
                open_timeout=HANDSHAKE_TIMEOUT_S,
                proxy=None,
                local_addr=self._local_address,
            ) as connection:
                await self._serve_connection(connection, address)
        except (OSError, TimeoutError, WebSocketException) as error:
            log.debug("peers: {} unreachable: {}", address, error)
        finally:
            # After the handshake, another attempt may use the address.
            if self._queued_frames.get(address) is queued:
                del self._queued_frames[address]

    async def _accept(self, connection: Connection) -> None:
        if sum(map(len, self._connections.values())) >= MAX_CONNECTIONS:
            await connection.close(
                CLOSE_TRY_AGAIN_LATER, "too many connections"
            )
            return
        await self._serve_connection(connection, "")

    async def _serve_connection(
        self, connection: Connection, address: str
    ) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                handshake = (
                    self._initiate_handshake
                    if address
                    else self._accept_handshake
                )
                peer = await handshake(connection)
            if peer is None:
                return
            queued = self._queued_frames.pop(address, [])
            await self._handle_messages(connection, peer, queued)
        except MessageError as error:
            log.warning("peers: closing a connection: {}", error)
            await connection.close(CLOSE_INVALID_MESSAGE, error.code)
        except (ConnectionClosed, TimeoutError):
            pass

    async def _handle_messages(
        self, connection: Connection, peer: Peer, queued: list[bytes]
    ) -> None:
        # Two nodes may connect to each other at the same time, so there may be
        # several connections.
        self._connections.setdefault(peer.name, []).append(peer)
        log.info("peers: connected to {}", peer.name)
        writer = asyncio.create_task(peer.write_queued())
        try:
            for handler in self._on_connect:
                handler(peer)
            for frame in queued:
                self._send_frame(peer, frame)
            async for frame in connection:
                peer.received_at = peer.used_at = self._timers.now()
                self.bytes_received += len(frame)
                message = messages.decode(frame)
                handler = self._handlers.get(type(message))
                if handler is not None:
                    handler(peer, message)
        finally:
            await cancel_tasks(writer)
            self._connections[peer.name].remove(peer)
            if not self._connections[peer.name]:
                del self._connections[peer.name]
                log.info("peers: disconnected from {}", peer.name)

    def _sign(self, role: bytes, nonce: bytes) -> bytes:
        return hmac.digest(self._secret, role + nonce, hashlib.sha256)

    async def _initiate_handshake(self, connection: Connection) -> Peer | None:
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = messages.Hello(
            node=self._settings.name,
            incarnation=self._incarnation,
            zone=self._settings.zone,
            address=self._address,
            nonce=nonce,
            generation=self._generation(),
        )
        await connection.send(messages.encode(hello))
        ack = await self._receive(connection, messages.HelloAck)
        expected = self._sign(b"server", nonce)
        if not await self._check_proof(connection, ack.proof, expected):
            return None
        proof = self._sign(b"client", ack.nonce)
        await connection.send(messages.encode(messages.HelloProof(proof=proof)))
        return self._make_peer(connection, ack)

    async def _accept_handshake(self, connection: Connection) -> Peer | None:
        hello = await self._receive(connection, messages.Hello)
        nonce = secrets.token_bytes(NONCE_BYTES)
        ack = messages.HelloAck(
            node=self._settings.name,
            incarnation=self._incarnation,
            zone=self._settings.zone,
            address=self._address,
            nonce=nonce,
            proof=self._sign(b"server", hello.nonce),
            generation=self._generation(),
        )
        await connection.send(messages.encode(ack))
        proof = await self._receive(connection, messages.HelloProof)
        expected = self._sign(b"client", nonce)
        if not await self._check_proof(connection, proof.proof, expected):
            return None
        return self._make_peer(connection, hello)

    def _make_peer(self, connection: Connection, hello: messages.Hello) -> Peer:
        return Peer(
            connection,
            hello.node,
            hello.incarnation,
            hello.generation,
            hello.zone,
            hello.address,
            self._timers.now(),
        )

    async def _receive(self, connection: Connection, cls: type) -> Any:
        message = messages.decode(await connection.recv())
        if not isinstance(message, cls):
            raise MessageError(
                f"expected {cls.__name__}, got {type(message).__name__}"
            )
        return message

    async def _check_proof(
        self, connection: Connection, proof: bytes, expected: bytes
    ) -> bool:
        if hmac.compare_digest(proof, expected):
            return True
        log.warning("peers: refused a node with another secret")
        await connection.close(CLOSE_INVALID_PROOF, "wrong secret")
        return False
