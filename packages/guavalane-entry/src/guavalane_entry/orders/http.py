"""HTTP client for orders to engines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import aiohttp

from guavalane_core.exceptions import OrderFailedError, StaleOrderError
from guavalane_core.orders import DesiredState, EngineStatus
from guavalane_entry.http_session import make_session

PATH = "/orders/state"
FENCING_HEADER = "X-Fencing-Number"
TIMEOUT_S = 2.0
STALE_STATUS = 409


class HttpEngineOrders:
    """Sends orders to engines; see `guavalane_core.orders.EngineOrders`.

    Args:
      find_url: Returns the base URL of an endpoint, or None if it is unknown.
    """

    def __init__(self, find_url: Callable[[str], str | None]) -> None:
        self._find_url = find_url
        self._session: aiohttp.ClientSession | None = None

    async def read(self, endpoint: str) -> EngineStatus:
        """Returns the status of an engine."""
        data = await self._call("GET", endpoint)
        try:
            return EngineStatus(
                DesiredState.from_plain(data["state"]),
                data["loading"],
                data["fencing_number"],
            )
        except (KeyError, TypeError) as error:
            raise OrderFailedError(f"{endpoint}: {error!r}") from None

    async def apply(
        self, endpoint: str, desired: DesiredState, fencing_number: int
    ) -> None:
        """Sends the desired state to an engine."""
        await self._call("PUT", endpoint, desired.to_plain(), fencing_number)

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        endpoint: str,
        body: dict[str, Any] | None = None,
        fencing_number: int = 0,
    ) -> Any:
        url = self._find_url(endpoint)
        if url is None:
            raise OrderFailedError(f"{endpoint} is not configured")
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
            self._session = make_session(timeout=timeout)
        headers = {FENCING_HEADER: str(fencing_number)} if body else None
        try:
            async with self._session.request(
                method, url.rstrip("/") + PATH, json=body, headers=headers
            ) as response:
                data = await response.json(content_type=None)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise OrderFailedError(f"{endpoint}: {error!r}") from None
        if response.status == STALE_STATUS:
            reason = data.get("error", "") if isinstance(data, dict) else data
            raise StaleOrderError(f"{endpoint}: {reason}")
        if response.status >= 400:
            raise OrderFailedError(f"{endpoint}: status {response.status}")
        return data
