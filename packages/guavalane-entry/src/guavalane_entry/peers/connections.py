"""Connections to other entry nodes, over websockets."""

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
HANDSHAKE_LIMIT_S = 2.0
# A connection without traffic is closed after this time, in seconds.
IDLE_S = 30.0
# Bounds the memory that connections take; a relay at 550 nodes has about 75.
MAX_CONNECTIONS = 256
MAX_PENDING_FRAMES = 64
ANY_HOST = ("0.0.0.0", "::")
CLOSE_TOO_MANY = 1013
CLOSE_BAD_MESSAGE = 1007
CLOSE_BAD_PROOF = 1008

Handler = Callable[["Peer", Any], None]


class Peer:
    """One connection whose other side has proved the shared secret.

    Args:
      connection: Open websocket.
      name: Name of the node on the other side.
      incarnation: Incarnation of that node.
      generation: Configuration generation it had at the handshake.
      zone: Availability zone of that node.
      address: Peer address of that node.
      now: Monotonic time, in seconds.
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
        self.heard_at = now
        self.used_at = now
        self.made_at = now
        self.sent_at = now
        self.bytes_sent = 0

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._connection.state is State.CLOSED

    def send(self, message: Any) -> None:
        """Queues a message; a peer that does not read loses it."""
        self.send_frame(messages.encode(message))

    def send_frame(self, frame: bytes) -> None:
        """Queues an encoded message; a peer that does not read loses it."""
        try:
            self._outbox.put_nowait(frame)
        except asyncio.QueueFull:
            log.warning("peers: {} does not read; message dropped", self.name)

    async def write_queued(self) -> None:
        """Writes queued messages until the connection ends."""
        while True:
            frame = await self._outbox.get()
            self.bytes_sent += len(frame)
            await self._connection.send(frame)

    def abort(self) -> None:
        """Ends the connection at once; the other side may be frozen."""
        self._connection.transport.abort()


class PeerLinks:
    """Owns the websockets to other nodes and passes on their messages.

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
        # Other nodes see the address that this one listens on.
        self._source = None if listen.host in ANY_HOST else (listen.host, 0)
        self._connections: dict[str, list[Peer]] = {}
        self._handlers: dict[type, Handler] = {}
        self._on_connect: list[Callable[[Peer], None]] = []
        self._server: Server | None = None
        # Frames that wait for a connection, by address.
        self._dialled: dict[str, list[bytes]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._encoded: tuple[Any, bytes] = (None, b"")
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def address(self) -> str:
        """Address under which other nodes reach this one."""
        return self._address

    @property
    def peers(self) -> dict[str, Peer]:
        """Connected nodes by name."""
        return {name: self.find(name) for name in self._connections}

    def find(self, name: str) -> Peer | None:
        """Returns the connection to a node that was heard last."""
        found = self._connections.get(name)
        return max(found, key=lambda peer: peer.heard_at) if found else None

    def on_message(self, cls: type, handler: Handler) -> None:
        """Passes messages of a class to a handler."""
        self._handlers[cls] = handler

    def on_connect(self, handler: Callable[[Peer], None]) -> None:
        """Calls a handler for each new connection."""
        self._on_connect.append(handler)

    async def start(self) -> None:
        """Starts to listen."""
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
        """Tries once to connect to an address."""
        if address != self._address and address not in self._dialled:
            self._dialled[address] = []
            task = asyncio.create_task(self._connect(address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def send(self, name: str, message: Any, address: str = "") -> bool:
        """Sends a message, over a new connection if an address is given.

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
        """Sends a message over a connection that is made for it.

        Raises:
          MessageError: The message is too large; nothing was sent.
        """
        if address == self._address:
            return
        frame = self._encode(message)
        self.dial(address)
        waiting = self._dialled[address]
        if len(waiting) < MAX_PENDING_FRAMES:
            waiting.append(frame)
        else:
            log.warning("peers: {} is not reached; message dropped", address)

    def broadcast(self, message: Any) -> None:
        """Sends a message to every connected node."""
        for peer in self.peers.values():
            self._send_frame(peer, self._encode(message))

    def close_used(self, name: str, since: float) -> None:
        """Ends older connections to a node that were sent on since a time.

        A connection may have failed in one direction only, so that the node is
        still heard on it.
        """
        for peer in self._connections.get(name, []):
            if peer.made_at < since <= peer.sent_at:
                peer.abort()

    def close_idle(self, keep: set[str]) -> None:
        """Ends idle connections, but for one to each node to keep."""
        now = self._timers.now()
        for name, found in self._connections.items():
            kept = self.find(name) if name in keep else None
            for peer in found:
                if now - peer.used_at > IDLE_S and peer is not kept:
                    log.debug("peers: closing an idle connection to {}", name)
                    peer.abort()

    def _encode(self, message: Any) -> bytes:
        # A change goes to many peers as one message.
        if self._encoded[0] is not message:
            self._encoded = (message, messages.encode(message))
        return self._encoded[1]

    def _send_frame(self, peer: Peer, frame: bytes) -> None:
        peer.used_at = peer.sent_at = self._timers.now()
        self.bytes_sent += len(frame)
        peer.send_frame(frame)

    async def _connect(self, address: str) -> None:
        waiting = self._dialled[address]
        try:
            async with connect(
                f"ws://{address}",
                max_size=MAX_FRAME_BYTES,
                compression=None,
                ping_interval=None,
                open_timeout=HANDSHAKE_LIMIT_S,
                proxy=None,
                local_addr=self._source,
            ) as connection:
                await self._serve_connection(connection, address)
        except (OSError, TimeoutError, WebSocketException) as error:
            log.debug("peers: {} unreachable: {}", address, error)
        finally:
            # After the handshake the address may be dialled anew.
            if self._dialled.get(address) is waiting:
                del self._dialled[address]

    async def _accept(self, connection: Connection) -> None:
        if sum(map(len, self._connections.values())) >= MAX_CONNECTIONS:
            await connection.close(CLOSE_TOO_MANY, "too many connections")
            return
        await self._serve_connection(connection, "")

    async def _serve_connection(
        self, connection: Connection, address: str
    ) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_LIMIT_S):
                greet = self._greet if address else self._answer_greeting
                peer = await greet(connection)
            if peer is None:
                return
            waiting = self._dialled.pop(address, [])
            await self._exchange(connection, peer, waiting)
        except MessageError as error:
            log.warning("peers: closing a connection: {}", error)
            await connection.close(CLOSE_BAD_MESSAGE, error.code)
        except (ConnectionClosed, TimeoutError):
            pass

    async def _exchange(
        self, connection: Connection, peer: Peer, waiting: list[bytes]
    ) -> None:
        # Two nodes may dial each other; the one heard last is used.
        self._connections.setdefault(peer.name, []).append(peer)
        log.info("peers: connected to {}", peer.name)
        writer = asyncio.create_task(peer.write_queued())
        try:
            for handler in self._on_connect:
                handler(peer)
            for frame in waiting:
                self._send_frame(peer, frame)
            async for frame in connection:
                peer.heard_at = peer.used_at = self._timers.now()
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
                log.info("peers: lost {}", peer.name)

    def _sign(self, role: bytes, nonce: bytes) -> bytes:
        return hmac.digest(self._secret, role + nonce, hashlib.sha256)

    async def _greet(self, connection: Connection) -> Peer | None:
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
        answer = await self._receive(connection, messages.HelloAck)
        expected = self._sign(b"server", nonce)
        if not await self._verify(connection, answer.proof, expected):
            return None
        proof = self._sign(b"client", answer.nonce)
        await connection.send(messages.encode(messages.HelloProof(proof=proof)))
        return self._make_peer(connection, answer)

    async def _answer_greeting(self, connection: Connection) -> Peer | None:
        hello = await self._receive(connection, messages.Hello)
        nonce = secrets.token_bytes(NONCE_BYTES)
        answer = messages.HelloAck(
            node=self._settings.name,
            incarnation=self._incarnation,
            zone=self._settings.zone,
            address=self._address,
            nonce=nonce,
            proof=self._sign(b"server", hello.nonce),
            generation=self._generation(),
        )
        await connection.send(messages.encode(answer))
        proof = await self._receive(connection, messages.HelloProof)
        expected = self._sign(b"client", nonce)
        if not await self._verify(connection, proof.proof, expected):
            return None
        return self._make_peer(connection, hello)

    def _make_peer(
        self, connection: Connection, greeting: messages.Hello
    ) -> Peer:
        return Peer(
            connection,
            greeting.node,
            greeting.incarnation,
            greeting.generation,
            greeting.zone,
            greeting.address,
            self._timers.now(),
        )

    async def _receive(self, connection: Connection, cls: type) -> Any:
        message = messages.decode(await connection.recv())
        if not isinstance(message, cls):
            raise MessageError(
                f"expected {cls.__name__}, got {type(message).__name__}"
            )
        return message

    async def _verify(
        self, connection: Connection, proof: bytes, expected: bytes
    ) -> bool:
        if hmac.compare_digest(proof, expected):
            return True
        log.warning("peers: refused a node with another secret")
        await connection.close(CLOSE_BAD_PROOF, "wrong secret")
        return False
