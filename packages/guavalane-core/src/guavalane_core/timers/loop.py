"""Timers based on the running event loop."""

from __future__ import annotations

import asyncio
import time

from guavalane_core.timers.service import Callback, Timers


class LoopTimers(Timers):
    """Timer service that uses the system clocks and the event loop."""

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns wall time in seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Sleeps for a number of seconds."""
        await asyncio.sleep(seconds)

    def _schedule(self, delay_s: float, callback: Callback) -> None:
        asyncio.get_running_loop().call_later(delay_s, callback)


class BootTimers(LoopTimers):
    """Like `LoopTimers`, but monotonic time includes VM suspension."""

    def now(self) -> float:
        """Returns the time since the VM's boot in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
