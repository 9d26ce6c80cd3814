"""Trial of one step of the libraries: a cancelled create_connection of uvloop.

Run with PYTHONPATH=target/deps. It prints how often the loop closed a
descriptor that somebody else had opened in the meantime.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket

import uvloop

TRIALS = 300


async def _connect(address: tuple[str, int], numbers: list[int]) -> None:
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, address)
    numbers.append(sock.fileno())
    await loop.create_connection(asyncio.Protocol, sock=sock)


def _is_open(number: int) -> bool:
    try:
        os.fstat(number)
    except OSError:
        return False
    return True


async def main() -> None:
    """Cancels the step right after it has begun."""
    server = await asyncio.start_server(
        lambda reader, writer: asyncio.sleep(1), "127.0.0.1", 0
    )
    address = server.sockets[0].getsockname()
    closed = 0
    for _ in range(TRIALS):
        numbers: list[int] = []
        task = asyncio.create_task(_connect(address, numbers))
        # One step of the loop at a time, to cancel right after the connect.
        while not numbers:  # noqa: ASYNC110
            await asyncio.sleep(0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        del task
        opened = [number for _ in range(2) for number in os.pipe()]
        await asyncio.sleep(0.004)
        closed += sum(not _is_open(number) for number in opened)
        for number in opened:
            with contextlib.suppress(OSError):
                os.close(number)
    print(f"closed by the loop although owned by another: {closed}")


uvloop.run(main())
