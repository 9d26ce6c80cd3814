"""Claims and the outcomes of requesting one."""

from __future__ import annotations

import enum

import attrs

from guavalane_core.objects import StoredObject
from guavalane_core.requests import StoredAnswer


class Phase(enum.Enum):
    """Phase of a claim in the process that owns it."""

    CLAIMING = "claiming"
    HELD = "held"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    ENDED = "ended"


@attrs.define(eq=False)
class Claim:
    """Owner-side state of a claim.

    Attributes:
      name: Name of the claim object.
      fingerprint: Digest of the request.
      request_id: Request that the claim was made for.
      confirmed_s: Monotonic time at which the last successful write of the
          claim was sent, in seconds.
      phase: Phase.
      stored: Claim object as last read or written.
      answer: Answer that is stored or still to be stored.
    """

    name: str
    fingerprint: str
    request_id: str
    confirmed_s: float
    phase: Phase = Phase.CLAIMING
    stored: StoredObject | None = None
    answer: StoredAnswer | None = None


@attrs.frozen
class Granted:
    """This node created the claim and may dispatch the call."""

    claim: Claim


@attrs.frozen
class Answered:
    """The call was executed before, with a known answer."""

    answer: StoredAnswer


@attrs.frozen
class InProgress:
    """A live owner is executing the call."""

    owner: str


@attrs.frozen
class Unresolved:
    """It cannot be determined whether the call was executed."""


@attrs.frozen
class KeyReused:
    """The idempotency key was used with another request."""


@attrs.frozen
class Unavailable:
    """The claim could not be written.

    Attributes:
      reason: Human-readable reason.
      not_run: Whether it is certain that no claim of another request with
          this key was found.
    """

    reason: str
    not_run: bool = True


ClaimOutcome = (
    Granted | Answered | InProgress | Unresolved | KeyReused | Unavailable
)
