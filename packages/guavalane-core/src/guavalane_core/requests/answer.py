"""Responses stored in the object API."""

from __future__ import annotations

import base64
import hashlib
import zlib
from typing import Any

import attrs


def pack_bytes(data: bytes) -> str:
    """Returns data compressed and Base64-encoded for a stored object."""
    return base64.b64encode(zlib.compress(data, 1)).decode()


def unpack_bytes(text: str) -> bytes:
    """Reverses `pack_bytes`."""
    return zlib.decompress(base64.b64decode(text))


def digest_request(method: str, path: str, body: bytes) -> str:
    """Returns the digest that identifies a repeated request."""
    head = f"{method} {path}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


@attrs.frozen
class StoredAnswer:
    """Response to a request, with all data needed to replay it.

    Attributes:
      status: HTTP status code.
      headers: Headers for the caller.
      body: Body; for a streamed response, its packed events.
      endpoint: Name of the endpoint that responded; empty for none.
      streamed: Whether the body contains the events of a stream.
      dropped: Whether the body was too large to be stored.
    """

    status: int
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    endpoint: str = ""
    streamed: bool = False
    dropped: bool = False

    def without_body(self) -> StoredAnswer:
        """Returns a copy without the body."""
        return attrs.evolve(self, body=b"", dropped=True)

    def to_plain(self) -> dict[str, Any]:
        """Returns the response as JSON-compatible data."""
        return {
            "status": self.status,
            "headers": self.headers,
            "body": pack_bytes(self.body),
            "endpoint": self.endpoint,
            "streamed": self.streamed,
            "dropped": self.dropped,
        }

    @classmethod
    def from_plain(cls, data: dict[str, Any]) -> StoredAnswer:
        """Returns the response from the output of `to_plain`."""
        return cls(**{**data, "body": unpack_bytes(data["body"])})
