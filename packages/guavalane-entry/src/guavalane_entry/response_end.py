"""What ends the body of a response, and whether its server still listens."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable

import aiohttp

from guavalane_core.timers import Timers

# Time after the end of a body at which its server is probed, in seconds. The
# kernel closes the listening socket of a killed process after its connections:
# of those with 100 and more, 2 of 50 still accepted one after 5 ms.
PROBE_DELAY_S = 0.02
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


class Reachability(enum.Enum):
    """What an attempt to connect to a server has shown."""

    ACCEPTS = "accepts"
    # Nothing listens on its port.
    REFUSES = "refuses"
    # Nothing is known: it did not respond in time, or this process has no
    # descriptor left.
    SILENT = "silent"


def is_chunked(response: aiohttp.ClientResponse) -> bool:
    """Returns whether a last chunk ends the body of a response."""
    codings = response.headers.getall("Transfer-Encoding", [])
    last = ",".join(codings).rpartition(",")[2]
    return last.strip().lower() == "chunked"


def end_of(response: aiohttp.ClientResponse) -> ResponseEnd:
    """Returns what ends the body of a response."""
    if response.content is aiohttp.streams.EMPTY_PAYLOAD:
        return ResponseEnd.HEAD
    if is_chunked(response):
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
    timers: Timers,
    probe_server: Callable[[], Awaitable[Reachability]],
    limit_s: float,
) -> Reachability:
    """Returns what connections show after the end of a body.

    Args:
      timers: Timer service.
      probe_server: Returns what one connection to the server shows.
      limit_s: Time that this may take, in seconds.
    """
    reachability = Reachability.SILENT
    try:
        async with asyncio.timeout(max(0.0, limit_s)):
            await timers.sleep(PROBE_DELAY_S)
            for _ in range(MAX_PROBES):
                reachability = await probe_server()
                if reachability is not Reachability.SILENT:
                    break
    except TimeoutError:
        return Reachability.SILENT
    return reachability
