"""Records of durable requests and the outcomes of writing them."""

from __future__ import annotations

from typing import Any

import attrs

from guavalane_core.objects import StoredObject
from guavalane_core.requests import StoredAnswer, pack_bytes, unpack_bytes


@attrs.frozen(kw_only=True)
class DurableRequest:
    """A request of a caller, independent of the node that runs it.

    Attributes:
      request_id: Globally unique identifier.
      organisation: Name of the organisation.
      route_name: Name of the route.
      kind: Kind of the route, `model` or `service`.
      method: HTTP method.
      path: HTTP path with query.
      content_type: Content type of the body.
      body: Request body as received.
      idempotency_key: Idempotency key of the caller; empty if there is none.
      deadline_s: Wall time by which it must be answered, in seconds.
    """

    request_id: str
    organisation: str
    route_name: str
    kind: str
    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str
    deadline_s: float

    def to_plain(self) -> dict[str, Any]:
        """Converts the request to plain data."""
        return {**attrs.asdict(self), "body": pack_bytes(self.body)}

    @classmethod
    def from_plain(cls, data: dict[str, Any]) -> DurableRequest:
        """Converts plain data from `to_plain` to a request."""
        return cls(**{**data, "body": unpack_bytes(data["body"])})


@attrs.frozen
class Record:
    """A durable request as stored.

    Attributes:
      request: Request of the caller.
      owner: Node that runs it.
      incarnation: Incarnation of that node.
      epoch: Counter that is incremented at each adoption.
      answer: Stored answer, if there is one.
      stored: Record object as last read or written.
    """

    request: DurableRequest
    owner: str
    incarnation: int
    epoch: int
    answer: StoredAnswer | None
    stored: StoredObject

    @classmethod
    def from_stored(cls, stored: StoredObject) -> Record:
        """Parses a stored object."""
        body = stored.body
        answer = body.get("answer")
        return cls(
            DurableRequest.from_plain(body["request"]),
            body["owner"],
            body["incarnation"],
            body["epoch"],
            StoredAnswer.from_plain(answer) if answer else None,
            stored,
        )


@attrs.frozen
class Accepted:
    """The request is stored and will be answered."""

    record: Record


@attrs.frozen
class NotRecorded:
    """The request is not accepted.

    Attributes:
      reason: Human-readable reason.
      certain: Whether it is certain that no record exists. If not, a peer
          may still find a record and run the request.
    """

    reason: str
    certain: bool


@attrs.frozen
class Finished:
    """An answer is stored.

    Attributes:
      answer: Stored answer, which is that of another run if it was stored
          first.
    """

    answer: StoredAnswer


@attrs.frozen
class NotFinished:
    """The answer could not be stored; call again later."""

    reason: str


@attrs.frozen
class Adopted:
    """This node now owns the record and runs the request."""

    record: Record


@attrs.frozen
class AdoptionLost:
    """Another node adopted or answered the request first."""
