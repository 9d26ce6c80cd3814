"""Commands of the membership state machine to its driver."""

from __future__ import annotations

from typing import Any

import attrs

from guavalane_core.membership.member import Member, State


@attrs.frozen
class Send:
    """Send a message to a member, over a new connection if needed.

    Attributes:
      name: Name of the member.
      address: Peer address, `IP:PORT`.
      message: Message.
      fresh: Whether to open a new connection, because the current one may
          have failed in one direction.
    """

    name: str
    address: str
    message: Any
    fresh: bool = False


@attrs.frozen
class CloseLink:
    """Close the connections to a member that did not answer a probe.

    Attributes:
      name: Name of the member.
      since: Monotonic time of the probe, in seconds.
    """

    name: str
    since: float


@attrs.frozen
class Changed:
    """Notify subscribers of a new member or a state change.

    Attributes:
      member: Member after the change.
      before: State before the change; None for a new member.
      restarted: Whether a new process uses the member's name.
    """

    member: Member
    before: State | None
    restarted: bool = False


@attrs.frozen
class ClockJumped:
    """Check configuration, leases and claims again before acting on them.

    Attributes:
      seconds: Size of the jump, in seconds.
    """

    seconds: float


Command = Send | CloseLink | Changed | ClockJumped
