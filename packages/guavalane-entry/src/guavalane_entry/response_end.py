"""What ends the body of a response, and whether its server still listens."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable

import aiohttp

from guavalane_core.forwarding.body_end import Reachability
from guavalane_core.timers import Timers

# Time after the end of a body at which its server is probed, in seconds. The
# kernel closes the listening socket of a killed process after its connections.
PROBE_DELAY_S = 0.005
# Connections that are tried until one shows whether the server still listens. A
# lost packet delays one by more than the timeout.
MAX_PROBES = 2


class ResponseEnd(enum.StrEnum):
    """What ends the body of a response."""

    LENGTH = "length"
    LAST_CHUNK = "last_chunk"
    CONNECTION = "connection"
    # Responses to HEAD, and statuses that have no body.
    HEAD = "head"


def end_of(response: aiohttp.ClientResponse) -> ResponseEnd:
    """Returns what ends the body of a response."""
    if response.content is aiohttp.streams.EMPTY_PAYLOAD:
        return ResponseEnd.HEAD
    if "Transfer-Encoding" in response.headers:
        return ResponseEnd.LAST_CHUNK
    if "Content-Length" in response.headers:
        return ResponseEnd.LENGTH
    return ResponseEnd.CONNECTION


async def probe(host: str, port: int, timeout_s: float) -> Reachability:
    """Returns what a new connection to a server shows.

    Args:
      host: Host.
      port: Port.
      timeout_s: Time after which the server counts as silent, in seconds.
    """
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return Reachability.REFUSES
    except (OSError, TimeoutError):
        return Reachability.SILENT
    writer.close()
    return Reachability.ACCEPTS


async def probe_after_end(
    timers: Timers, probe_server: Callable[[], Awaitable[Reachability]]
) -> Reachability:
    """Returns what connections show after the end of a body.

    Args:
      timers: Timer service.
      probe_server: Returns what one connection to the server shows.
    """
    await timers.sleep(PROBE_DELAY_S)
    for _ in range(MAX_PROBES):
        reachability = await probe_server()
        if reachability is not Reachability.SILENT:
            break
    return reachability
