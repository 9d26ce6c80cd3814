"""Stand-in for the weight store: rate-limited HTTP range requests."""

from __future__ import annotations

import re
import time
from collections.abc import Callable

import fire
from aiohttp import web

from guavalane_standins import web as standin_web

DEFAULT_SIZE_BYTES = 1 << 20
DEFAULT_BYTES_PER_S = 10 << 20
# Burst of the rate limiter, in seconds at the full rate.
BURST_S = 0.1
RANGE_PATTERN = re.compile(r"^bytes=(\d+)-(\d+)$")


class WeightStore:
    """Serves models of a fixed size and rejects reads above the rate limit.

    Args:
      size_bytes: Size of each model.
      bytes_per_s: Rate limit shared by all clients, in bytes per second.
      clock: Returns monotonic time, in seconds.
    """

    def __init__(
        self,
        size_bytes: int = DEFAULT_SIZE_BYTES,
        bytes_per_s: float = DEFAULT_BYTES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._size_bytes = size_bytes
        self._bytes_per_s = bytes_per_s
        self._balance_bytes = bytes_per_s * BURST_S
        self._refilled_at_s = self._clock()
        self.served_bytes = 0
        self.refused = 0

    def application(self) -> web.Application:
        """Returns the aiohttp application of the stand-in."""
        app = standin_web.make_application()
        app.add_routes(
            [
                web.get("/weights/{model}", self._read_range),
                web.get("/standin/seen", self._get_seen),
            ]
        )
        return app

    async def _read_range(self, request: web.Request) -> web.Response:
        match = RANGE_PATTERN.match(request.headers.get("Range", ""))
        if match is None:
            return web.Response(status=400, text="expected a range")
        start = int(match[1])
        end = min(int(match[2]) + 1, self._size_bytes)
        if start >= self._size_bytes:
            return web.Response(
                status=416,
                headers={"Content-Range": f"bytes */{self._size_bytes}"},
            )
        # A read is accepted while the balance is positive and may make it
        # negative.
        self._refill()
        if self._balance_bytes <= 0:
            self.refused += 1
            return web.Response(status=429, headers={"Retry-After": "1"})
        self._balance_bytes -= end - start
        self.served_bytes += end - start
        content_range = f"bytes {start}-{end - 1}/{self._size_bytes}"
        return web.Response(
            status=206,
            body=bytes(end - start),
            headers={"Content-Range": content_range},
        )

    def _refill(self) -> None:
        now = self._clock()
        refill_bytes = (now - self._refilled_at_s) * self._bytes_per_s
        self._balance_bytes = min(
            self._bytes_per_s * BURST_S, self._balance_bytes + refill_bytes
        )
        self._refilled_at_s = now

    async def _get_seen(self, _: web.Request) -> web.Response:
        return web.json_response(
            {"served_bytes": self.served_bytes, "refused": self.refused}
        )


def main(
    port: int,
    size_bytes: int = DEFAULT_SIZE_BYTES,
    bytes_per_s: float = DEFAULT_BYTES_PER_S,
) -> None:
    """Runs the weight store.

    Args:
      port: TCP port on loopback.
      size_bytes: Size of each model.
      bytes_per_s: Rate limit shared by all clients, in bytes per second.
    """
    store = WeightStore(size_bytes, bytes_per_s)
    standin_web.serve(store.application(), port)


if __name__ == "__main__":
    fire.Fire(main)
