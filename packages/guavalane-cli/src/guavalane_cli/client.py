"""Client of a node's operator API."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from guavalane_core.exceptions import GuavalaneError
from guavalane_entry.http_session import make_session

REQUEST_TIMEOUT_S = 10.0


class OperatorApiError(GuavalaneError):
    """The node rejected the request or was unreachable.

    Args:
      message: Human-readable description.
      code: Error code in the node's response.
      status: HTTP status; 0 if the node could not be reached.
      maybe_sent: Whether the node may have received the request although
          there was no response.
    """

    def __init__(
        self, message: str, code: str, status: int, maybe_sent: bool = False
    ) -> None:
        super().__init__(message)
        self.code = code
        self.status = status
        self.maybe_sent = maybe_sent


class OperatorClient:
    """Sends requests to the operator API of one node.

    Args:
      url: Base URL of the node's operator server.
      token: Operator token.
    """

    def __init__(self, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}

    def get(self, path: str) -> Any:
        """Returns the response to a GET request.

        Raises:
          OperatorApiError: The node rejected the request or was unreachable.
        """
        return asyncio.run(self._call("GET", path, None))

    def post(self, path: str, body: Any) -> Any:
        """Returns the response to a POST request.

        Raises:
          OperatorApiError: The node rejected the request or was unreachable.
        """
        return asyncio.run(self._call("POST", path, body))

    async def _call(self, method: str, path: str, body: Any) -> Any:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with (
                make_session(timeout=timeout) as session,
                session.request(
                    method, self._url + path, json=body, headers=self._headers
                ) as response,
            ):
                data = await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            # A timeout has no text of its own.
            reason = str(error) or f"no response in {REQUEST_TIMEOUT_S:g} s"
            raise OperatorApiError(
                f"{self._url}: {reason}",
                "unreachable",
                0,
                not isinstance(error, aiohttp.ClientConnectorError),
            ) from None
        if response.status >= 400:
            raise OperatorApiError(
                data.get("detail", ""), data.get("code", ""), response.status
            )
        return data
