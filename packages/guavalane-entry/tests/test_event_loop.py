"""Tests of the event loop of the programs."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket

from guavalane_entry.event_loop import EventLoop

TRIALS = 100
# Time in which a descriptor is closed that nobody uses any more, in seconds.
CLOSE_DELAY_S = 0.004


def is_open(descriptor):
    """Returns whether a descriptor is open."""
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


class Connecting:
    """Connection that is cancelled as the loop takes its socket over.

    Args:
      address: Address of the server.
    """

    def __init__(self, address):
        self._address = address
        self.has_begun = False
        self.lost = 0

    async def run(self):
        """Connects a socket and gives it to the loop."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, self._address)
        self.has_begun = True
        await loop.create_connection(asyncio.Protocol, sock=sock)

    async def cancel(self, steps):
        """Cancels after a number of steps of the loop."""
        task = asyncio.create_task(self.run())
        while not self.has_begun:  # noqa: ASYNC110
            await asyncio.sleep(0)
        for _ in range(steps):
            await asyncio.sleep(0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def count_foreign_closes():
    """Returns how many descriptors were closed that others had opened."""
    server = await asyncio.start_server(
        lambda reader, writer: writer.close(), "127.0.0.1", 0
    )
    address = server.sockets[0].getsockname()
    closed = 0
    for trial in range(TRIALS):
        await Connecting(address).cancel(trial % 3)
        opened = [number for _ in range(2) for number in os.pipe()]
        await asyncio.sleep(CLOSE_DELAY_S)
        closed += sum(not is_open(number) for number in opened)
        for number in opened:
            with contextlib.suppress(OSError):
                os.close(number)
    server.close()
    return closed


async def count_open_connections():
    """Returns the connections that are left after cancellations."""
    accepted = []

    def accept(reader, writer):
        accepted.append((reader, writer))

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    for trial in range(TRIALS):
        await Connecting(address).cancel(trial % 3)
    await asyncio.sleep(0.1)
    left = sum(not reader.at_eof() for reader, _ in accepted)
    for _, writer in accepted:
        writer.close()
    server.close()
    return left


class TestCancelledConnections:
    """Guards against a descriptor that is closed twice."""

    def run(self, work):
        """Runs a coroutine on the loop of the programs."""
        with asyncio.Runner(loop_factory=EventLoop) as runner:
            return runner.run(work)

    def test_no_descriptor_of_another_connection_is_closed(self):
        """Guards against responses that reach another caller."""
        assert self.run(count_foreign_closes()) == 0

    def test_no_connection_is_left_open(self):
        assert self.run(count_open_connections()) == 0
