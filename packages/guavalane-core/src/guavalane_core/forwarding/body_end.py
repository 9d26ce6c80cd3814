"""Decision whether a body that ended with its connection is complete."""

from __future__ import annotations

import enum


class Reachability(enum.Enum):
    """What an attempt to connect to an endpoint has shown."""

    ACCEPTS = "accepts"
    # Nothing listens on its port.
    REFUSES = "refuses"
    # It did not respond in time.
    SILENT = "silent"


def is_cut_off(
    reachability: Reachability,
    *,
    restarted: bool,
    leaving: bool,
    can_repeat: bool,
) -> bool:
    """Returns whether a body that ended in order has to count as incomplete.

    The kernel ends the connections of a killed process in order, as the
    process does after a complete body. Only a killed process leaves a port on
    which nothing listens. One that leaves as planned may stop listening before
    its last response ends, and a silent one may have lost a packet: these
    bodies count as incomplete only if that costs no more than another attempt.

    Args:
      reachability: What a connection to the endpoint after the end has shown.
      restarted: Whether the process that sent the body is known to have ended,
          as another one has its identifier.
      leaving: Whether the endpoint leaves or has left as planned.
      can_repeat: Whether another endpoint may and can go on with the request.
    """
    if restarted or (reachability is Reachability.REFUSES and not leaving):
        return True
    return can_repeat and reachability is not Reachability.ACCEPTS
