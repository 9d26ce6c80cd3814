"""Moves of services to other versions, as one node follows them."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import attrs

from guavalane_core.forwarding.endpoint import Endpoint
from guavalane_core.forwarding.version_move import MovePhase, VersionMove
from guavalane_core.moves.trial import VersionTrial

# Part of the operators' limit on the exposure of an unproved version that is
# used. Each node draws at random, and repeated requests count as well.
USED_EXPOSURE = 0.6
# Parts of a move's time at which a proved version is completed, and at which
# one without enough evidence is rolled back. A fault may show late, so the
# evidence is collected for as long as the time allows.
COMPLETE_PART = 0.7
ROLL_BACK_PART = 0.85


@attrs.define(eq=False)
class TrackedMove:
    """A move with what this node knows of it.

    Attributes:
      move: Order and stored phase.
      seen_s: When this node first saw the order, on the monotonic clock.
      trial: Comparison of the versions.
      fault: What condemned the new version; empty if nothing did.
    """

    move: VersionMove
    seen_s: float
    trial: VersionTrial = attrs.field(factory=VersionTrial)
    fault: str = ""

    @property
    def is_stopped(self) -> bool:
        """Whether the new version gets nothing any more."""
        return bool(self.fault) or self.move.phase is MovePhase.ROLLED_BACK

    def next_phase(self, now_s: float) -> MovePhase | None:
        """Returns the phase that is due; None if none is."""
        phase = self.move.phase
        if phase is MovePhase.ORDERED:
            return MovePhase.RUNNING
        if phase is not MovePhase.RUNNING:
            return None
        if self.fault:
            return MovePhase.ROLLED_BACK
        part = (now_s - self.seen_s) / max(1e-3, self.move.time_limit_s)
        if part >= COMPLETE_PART and self.trial.is_cleared():
            return MovePhase.COMPLETED
        return MovePhase.ROLLED_BACK if part >= ROLL_BACK_PART else None


class MoveTable:
    """Decides which endpoints of a service may take a request.

    Args:
      exposure: Largest part of a service's requests that an unproved version
          may get.
    """

    def __init__(self, exposure: float) -> None:
        self._exposure = exposure * USED_EXPOSURE
        self._moves: dict[str, TrackedMove] = {}

    @property
    def moves(self) -> Mapping[str, TrackedMove]:
        """Moves by service."""
        return self._moves

    def offer(
        self, move: VersionMove, now_s: float, *, may_be_old: bool = False
    ) -> None:
        """Takes an order or its new phase.

        An order for a version whose move has ended starts a new trial: what
        condemned the version may have been repaired since.

        Args:
          move: Order.
          now_s: Monotonic time in seconds.
          may_be_old: Whether a newer state of the order may be known, as with
              the copy of another node. A phase then never goes back.
        """
        known = self._moves.get(move.service)
        if known is None or known.move.target != move.target:
            self._moves[move.service] = TrackedMove(move, now_s)
        elif may_be_old and move.phase.rank < known.move.phase.rank:
            return
        elif known.move.phase.has_ended and not move.phase.has_ended:
            self._moves[move.service] = TrackedMove(move, now_s)
        else:
            known.move = move

    def withdraw(self, service: str) -> None:
        """Forgets the move of a service."""
        self._moves.pop(service, None)

    def is_new(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is of the version on trial."""
        known = self._moves.get(endpoint.service)
        return known is not None and endpoint.version == known.move.target

    def running(self, service: str) -> TrackedMove | None:
        """Returns the move of a service while versions are compared."""
        known = self._moves.get(service)
        if known is None or known.move.phase is not MovePhase.RUNNING:
            return None
        return known

    def allowed(
        self,
        service: str,
        usable: Sequence[Endpoint],
        draw: float,
        *,
        first: bool,
    ) -> list[Endpoint]:
        """Returns the endpoints that may take an attempt.

        Args:
          service: Service.
          usable: Its endpoints that take new requests.
          draw: Random number from 0 to 1 that decides for the new version.
          first: Whether it is the first attempt at the request. Further ones
              go to the old version.
        """
        known = self._moves.get(service)
        if known is None:
            return list(usable)
        new = [endpoint for endpoint in usable if self.is_new(endpoint)]
        old = [endpoint for endpoint in usable if not self.is_new(endpoint)]
        if known.is_stopped:
            return old
        if known.move.phase is MovePhase.COMPLETED:
            return new or old
        if known.move.phase is MovePhase.ORDERED:
            return old
        if new and first and draw < self._exposure:
            return self._on_trial(new, len(old))
        # Endpoints of the version on trial are better than a refusal.
        return old or new

    def judge(self) -> list[TrackedMove]:
        """Judges all moves under way; returns those that were condemned now."""
        condemned = []
        for known in self._moves.values():
            if known.move.phase is MovePhase.RUNNING and not known.fault:
                known.fault = known.trial.judge()
                if known.fault:
                    condemned.append(known)
        return condemned

    def _on_trial(
        self, new: Sequence[Endpoint], old_count: int
    ) -> list[Endpoint]:
        """Returns as many endpoints as get the load of an old one each.

        Faults that show only under load would not show if the few requests
        were spread over all endpoints of the version.
        """
        count = max(1, math.floor(self._exposure * old_count))
        return sorted(new, key=lambda endpoint: endpoint.endpoint_id)[:count]
