"""Interface for sending a response to a caller."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class Reply(Protocol):
    """Response to one caller request."""

    @property
    def started(self) -> bool:
        """Whether the status line was sent."""

    async def send_response(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes | bytearray,
    ) -> None:
        """Sends a complete response."""

    async def start(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        *,
        framed: bool = True,
    ) -> None:
        """Sends the status and headers of a streamed response.

        Args:
          status: HTTP status.
          headers: Headers in order.
          framed: Whether the end of the body is marked. Otherwise the end of
              the connection delimits it, as in the endpoint response, since
              the gateway cannot tell whether that body was complete.
        """

    async def write(self, data: bytes) -> None:
        """Sends part of the body."""

    async def finish(self) -> None:
        """Marks the body as complete."""

    def abort(self) -> None:
        """Closes the connection, so that the response is seen as truncated."""
