"""Interface of an answer that is being sent to a caller."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class Reply(Protocol):
    """Answer to one request of a caller."""

    @property
    def begun(self) -> bool:
        """Whether the caller has got the status."""

    async def send_whole(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a whole answer."""

    async def begin(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        *,
        framed: bool = True,
    ) -> None:
        """Sends the status and headers of an answer in pieces.

        Args:
          status: HTTP status.
          headers: Headers in order.
          framed: Whether the end of the body is marked. Otherwise it ends with
              the connection, as the endpoint's own did, and claims no more
              than the endpoint did.
        """

    async def write(self, data: bytes) -> None:
        """Sends a piece of the body."""

    async def finish(self) -> None:
        """Ends the body, so that the caller sees it as complete."""

    def abort(self) -> None:
        """Closes the connection, so that the answer is seen as broken."""
