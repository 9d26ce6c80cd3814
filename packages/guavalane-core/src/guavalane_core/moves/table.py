"""Version moves of services, as tracked by one node."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import attrs

from guavalane_core.forwarding.endpoint import Endpoint
from guavalane_core.forwarding.version_move import MovePhase, VersionMove
from guavalane_core.moves.trial import VersionTrial

# Fraction of the operators' exposure limit that is used. The margin covers the
# random sampling on each node and repeated requests, which count as well.
EXPOSURE_FRACTION = 0.6
# Fractions of a move's time limit at which a move to an accepted version is
# completed, and at which one without enough evidence is rolled back. Evidence
# is collected for as long as possible, because a fault may appear late.
COMPLETE_FRACTION = 0.7
ROLLBACK_FRACTION = 0.85


@attrs.define(eq=False)
class TrackedMove:
    """A move and its evaluation on this node.

    Attributes:
      move: Order and stored phase.
      seen_s: Monotonic time at which this node first saw the order, in
          seconds.
      trial: Comparison of the versions.
      fault: Why the new version was rejected; empty if it was not.
    """

    move: VersionMove
    seen_s: float
    trial: VersionTrial = attrs.field(factory=VersionTrial)
    fault: str = ""

    @property
    def is_stopped(self) -> bool:
        """Whether the new version receives no more requests."""
        return bool(self.fault) or self.move.phase is MovePhase.ROLLED_BACK

    def next_phase(self, now_s: float) -> MovePhase | None:
        """Returns the next phase if a transition is due."""
        phase = self.move.phase
        if phase is MovePhase.ORDERED:
            return MovePhase.RUNNING
        if phase is not MovePhase.RUNNING:
            return None
        if self.fault:
            return MovePhase.ROLLED_BACK
        elapsed_fraction = (now_s - self.seen_s) / max(
            1e-3, self.move.time_limit_s
        )
        if elapsed_fraction >= COMPLETE_FRACTION and self.trial.is_cleared():
            return MovePhase.COMPLETED
        return (
            MovePhase.ROLLED_BACK
            if elapsed_fraction >= ROLLBACK_FRACTION
            else None
        )


class MoveTable:
    """Selects the endpoints of a service that may receive a request.

    Args:
      exposure: Maximum fraction of a service's requests that a version under
          trial may receive.
    """

    def __init__(self, exposure: float) -> None:
        self._exposure = exposure * EXPOSURE_FRACTION
        self._moves: dict[str, TrackedMove] = {}

    @property
    def moves(self) -> Mapping[str, TrackedMove]:
        """Moves by service."""
        return self._moves

    def offer(
        self, move: VersionMove, now_s: float, *, may_be_old: bool = False
    ) -> None:
        """Applies an order or its new phase.

        An order for a version whose move has ended starts a new trial, because
        the fault that caused a rejection may have been fixed.

        Args:
          move: Order.
          now_s: Monotonic time in seconds.
          may_be_old: Whether the order may be outdated, such as a copy from
              another node. An earlier phase is then ignored.
        """
        tracked = self._moves.get(move.service)
        if tracked is None or tracked.move.target != move.target:
            self._moves[move.service] = TrackedMove(move, now_s)
        elif may_be_old and move.phase.rank < tracked.move.phase.rank:
            return
        elif tracked.move.phase.has_ended and not move.phase.has_ended:
            self._moves[move.service] = TrackedMove(move, now_s)
        else:
            tracked.move = move

    def withdraw(self, service: str) -> None:
        """Removes the move of a service."""
        self._moves.pop(service, None)

    def is_new(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint runs the version under trial."""
        tracked = self._moves.get(endpoint.service)
        return tracked is not None and endpoint.version == tracked.move.target

    def running(self, service: str) -> TrackedMove | None:
        """Returns the running move of a service, if any."""
        tracked = self._moves.get(service)
        if tracked is None or tracked.move.phase is not MovePhase.RUNNING:
            return None
        return tracked

    def allowed(
        self,
        service: str,
        usable: Sequence[Endpoint],
        draw: float,
        *,
        first: bool,
    ) -> list[Endpoint]:
        """Returns the endpoints that may receive an attempt.

        Args:
          service: Service.
          usable: Endpoints of the service that accept new requests.
          draw: Random number from 0 to 1 that selects the version.
          first: Whether it is the first attempt of the request. Retries go to
              the old version.
        """
        tracked = self._moves.get(service)
        if tracked is None:
            return list(usable)
        new = [endpoint for endpoint in usable if self.is_new(endpoint)]
        old = [endpoint for endpoint in usable if not self.is_new(endpoint)]
        if tracked.is_stopped:
            return old
        if tracked.move.phase is MovePhase.COMPLETED:
            return new or old
        if tracked.move.phase is MovePhase.ORDERED:
            return old
        if new and first and draw < self._exposure:
            return self._trial_endpoints(new, len(old))
        # Without endpoints of the old version, the version under trial is used
        # rather than rejecting the request.
        return old or new

    def judge(self) -> list[TrackedMove]:
        """Evaluates running moves and returns those rejected by this call."""
        rejected = []
        for tracked in self._moves.values():
            if tracked.move.phase is MovePhase.RUNNING and not tracked.fault:
                tracked.fault = tracked.trial.judge()
                if tracked.fault:
                    rejected.append(tracked)
        return rejected

    def _trial_endpoints(
        self, new: Sequence[Endpoint], old_count: int
    ) -> list[Endpoint]:
        """Selects so few endpoints that each has the load of an old one.

        Faults that only occur under load would not be detected if the few
        trial requests were spread over all endpoints of the version.
        """
        count = max(1, math.floor(self._exposure * old_count))
        return sorted(new, key=lambda endpoint: endpoint.endpoint_id)[:count]
