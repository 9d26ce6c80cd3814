"""Version moves of services, as tracked by one node."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import attrs

from guavalane_core.forwarding.endpoint import Endpoint
from guavalane_core.forwarding.version_move import MovePhase, VersionMove
from guavalane_core.moves.evidence import AttemptCounts
from guavalane_core.moves.samples import AttemptSample
from guavalane_core.moves.trial import VersionTrial

# Fraction of the operators' exposure limit that is used. The margin covers
# repeated requests, which count as well, requests that do not reach the
# service, and nodes that restart and count their requests anew.
EXPOSURE_FRACTION = 0.75
# Largest fraction of requests that a version under trial receives while it uses
# up the slack, as a multiple of the used exposure limit.
MAX_DRAW_FACTOR = 3
# Fractions of a move's time limit at which a move to an accepted version is
# completed, and at which one without enough evidence is rolled back. Evidence
# is collected for as long as possible, because a fault may appear late.
COMPLETE_FRACTION = 0.7
ROLLBACK_FRACTION = 0.85
# Samples of the old version per route above which the baseline is halved, so
# that it adapts to the load.
MAX_BASELINE_SAMPLES = 400
# Routes per service that have a baseline; configurations come and go.
MAX_BASELINE_ROUTES = 64


@attrs.define(eq=False)
class TrackedMove:
    """A move and its evaluation on this node.

    Attributes:
      move: Order and stored phase.
      seen_s: Monotonic time at which this node first saw the order, in
          seconds.
      trial: Comparison of the versions.
      fault: Why the new version was rejected; empty if it was not.
      requests: Requests of this node since the move is running.
      exposed: Requests among them that were sent to the new version.
    """

    move: VersionMove
    seen_s: float
    trial: VersionTrial = attrs.field(factory=VersionTrial)
    fault: str = ""
    requests: int = 0
    exposed: int = 0

    @property
    def unmet(self) -> str:
        """What an acceptance of the new version lacks; empty if nothing."""
        return self.trial.unmet_requirement()

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
        if elapsed_fraction >= COMPLETE_FRACTION and not self.unmet:
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
      slack: Number of requests that it may receive in addition.
    """

    def __init__(self, exposure: float, slack: float = 0.0) -> None:
        self._exposure = exposure * EXPOSURE_FRACTION
        self._slack = slack * EXPOSURE_FRACTION
        self._moves: dict[str, TrackedMove] = {}
        self._baselines: dict[str, dict[str, AttemptCounts]] = {}

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
            self._moves[move.service] = self._track(move, now_s)
        elif may_be_old and move.phase.rank < tracked.move.phase.rank:
            return
        elif tracked.move.phase.has_ended and not move.phase.has_ended:
            self._moves[move.service] = self._track(move, now_s)
        else:
            tracked.move = move

    def _track(self, move: VersionMove, now_s: float) -> TrackedMove:
        baseline = self._baselines.get(move.service)
        return TrackedMove(move, now_s, VersionTrial(baseline))

    def begin_attempt(
        self, endpoint: Endpoint, route: str, now_s: float
    ) -> AttemptSample:
        """Starts the measurement of an attempt of this node.

        Args:
          endpoint: Endpoint to which the attempt is sent.
          route: Name of the route.
          now_s: Monotonic time in seconds.
        """
        tracked = self.running(endpoint.service)
        if tracked is not None:
            is_new = self.is_new(endpoint)
            return tracked.trial.begin(route, is_new=is_new, now_s=now_s)
        counts = self._baseline(endpoint.service, route)
        return AttemptSample(counts, now_s)

    def _baseline(self, service: str, route: str) -> AttemptCounts:
        """Returns the counts of a route before a move."""
        routes = self._baselines.setdefault(service, {})
        # The route that was used last comes last.
        counts = routes[route] = routes.pop(route, None) or AttemptCounts()
        if len(routes) > MAX_BASELINE_ROUTES:
            del routes[next(iter(routes))]
        if sum(counts.latency) >= MAX_BASELINE_SAMPLES:
            counts.latency[:] = [count // 2 for count in counts.latency]
            counts.gaps[:] = [count // 2 for count in counts.gaps]
        return counts

    def end_attempt(
        self, endpoint: Endpoint, sample: AttemptSample, now_s: float
    ) -> None:
        """Ends the measurement of an attempt."""
        tracked = self._moves.get(endpoint.service)
        if tracked is not None:
            tracked.trial.end(sample, now_s)

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
        nodes: int = 1,
    ) -> list[Endpoint]:
        """Returns the endpoints that may receive an attempt.

        Args:
          service: Service.
          usable: Endpoints of the service that accept new requests.
          draw: Random number from 0 to 1 that selects the version.
          first: Whether it is the first attempt of the request. Retries go to
              the old version.
          nodes: Number of nodes, which share the slack.
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
        if new and first and self._may_expose(tracked, draw, nodes):
            return self._trial_endpoints(new, len(old))
        # Without endpoints of the old version, the version under trial is used
        # rather than rejecting the request.
        return old or new

    def _may_expose(
        self, tracked: TrackedMove, draw: float, nodes: int
    ) -> bool:
        """Returns whether a request goes to the version under trial.

        The number of requests that it has received is bounded rather than only
        their expectation. The slack is used over time, as a fault may appear
        late.
        """
        tracked.requests += 1
        allowed = self._exposure * tracked.requests + self._slack / nodes
        if (
            draw >= MAX_DRAW_FACTOR * self._exposure
            or tracked.exposed + 1 > allowed
        ):
            return False
        tracked.exposed += 1
        return True

    def judge(self, now_s: float) -> list[TrackedMove]:
        """Evaluates running moves and returns those rejected by this call."""
        rejected = []
        for tracked in self._moves.values():
            if tracked.move.phase is MovePhase.RUNNING and not tracked.fault:
                tracked.fault = tracked.trial.judge(now_s)
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
