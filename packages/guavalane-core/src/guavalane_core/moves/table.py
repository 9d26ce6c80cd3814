"""Version moves of services, as tracked by one node."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence

import attrs

from guavalane_core.forwarding.endpoint import Endpoint
from guavalane_core.forwarding.version_move import MovePhase, VersionMove
from guavalane_core.moves.evidence import AttemptCounts
from guavalane_core.moves.exposure import ExposureBudget
from guavalane_core.moves.samples import AttemptSample
from guavalane_core.moves.trial import VersionTrial

# Fraction of the operators' exposure limit that is used. The margin covers
# repeated requests, which count as well, requests that do not reach the
# service, and nodes that restart and count their requests anew.
EXPOSURE_FRACTION = 0.85
# Fraction of a move's time limit from which on a move to a version that is
# clearly good is completed. Evidence is collected for as long as possible,
# because a fault may appear late.
COMPLETE_FRACTION = 0.7
# Fraction at which the move ends by the evidence there is. The rest of the time
# serves to write the phase.
DECISION_FRACTION = 0.9
# Log evidence that each route requires at these times.
CLEAR_EVIDENCE = 3.0
DECISION_EVIDENCE = 0.0
# Samples of the old version per route above which the baseline is halved, so
# that it adapts to the load.
MAX_BASELINE_SAMPLES = 400
# Routes per service that have a baseline; configurations come and go.
MAX_BASELINE_ROUTES = 64


@attrs.define(eq=False)
class TrackedMove:
    """A move and its evaluation on this node.

    Attributes:
      move: Order and its phase.
      seen_s: Monotonic time at which this node first saw the order, in
          seconds.
      trial: Comparison of the versions.
      budget: Requests of this node that the new version may receive.
      fault: Why the new version was rejected; empty if it was not.
      stored_phase: Phase that was read last. It is an earlier one if the object
          API has lost the phase.
    """

    move: VersionMove
    seen_s: float
    trial: VersionTrial
    budget: ExposureBudget
    fault: str = ""
    stored_phase: MovePhase = MovePhase.ORDERED

    @property
    def unmet(self) -> str:
        """What an acceptance of the new version lacks; empty if nothing."""
        return self.trial.unmet_requirement(DECISION_EVIDENCE)

    @property
    def is_stopped(self) -> bool:
        """Whether the new version receives no more requests."""
        return bool(self.fault) or self.move.phase is MovePhase.ROLLED_BACK

    def next_phase(self, now_s: float) -> MovePhase | None:
        """Returns the phase to be stored, if any.

        That is the next one if a transition is due, or the present one if the
        object API has lost it.
        """
        due = self._due_phase(now_s)
        if due is None and self.stored_phase.rank < self.move.phase.rank:
            return self.move.phase
        return due

    def _due_phase(self, now_s: float) -> MovePhase | None:
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
        if elapsed_fraction < COMPLETE_FRACTION:
            return None
        is_last = elapsed_fraction >= DECISION_FRACTION
        needed = DECISION_EVIDENCE if is_last else CLEAR_EVIDENCE
        if not self.trial.unmet_requirement(needed):
            return MovePhase.COMPLETED
        return MovePhase.ROLLED_BACK if is_last else None


class MoveTable:
    """Selects the endpoints of a service that may receive a request.

    Args:
      exposure: Maximum fraction of a service's requests that a version under
          trial may receive.
      slack: Number of requests that it may receive in addition.
      rng: Source of random numbers.
    """

    def __init__(
        self,
        exposure: float,
        slack: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random()
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
            tracked = self._moves[move.service] = self._track(move, now_s)
        elif may_be_old and move.phase.rank < tracked.move.phase.rank:
            return
        elif tracked.move.phase.has_ended and not move.phase.has_ended:
            tracked = self._moves[move.service] = self._track(move, now_s)
        else:
            tracked.move = move
        tracked.stored_phase = move.phase

    def on_phase_lost(self, service: str, stored_phase: MovePhase) -> None:
        """Records that the object API has an earlier phase than before."""
        tracked = self._moves.get(service)
        if tracked is not None:
            tracked.stored_phase = stored_phase

    def _track(self, move: VersionMove, now_s: float) -> TrackedMove:
        trial = VersionTrial(self._baselines.get(move.service))
        budget = ExposureBudget(
            self._exposure, self._slack, move.time_limit_s, self._rng
        )
        budget.divide(trial.traffic(), 0.0)
        return TrackedMove(move, now_s, trial, budget)

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
        samples = max(counts.requests, sum(counts.latency))
        if samples >= MAX_BASELINE_SAMPLES:
            counts.halve()
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
        route: str,
        now_s: float,
        first: bool,
        nodes: float = 1,
    ) -> list[Endpoint]:
        """Returns the endpoints that may receive an attempt.

        Args:
          service: Service.
          usable: Endpoints of the service that accept new requests.
          draw: Random number from 0 to 1 that selects the version.
          route: Name of the request's route.
          now_s: Monotonic time in seconds.
          first: Whether it is the first attempt of the request. Retries go to
              the old version.
          nodes: Number of nodes, which share the slack; infinite if it is not
              known.
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
        if new and first:
            elapsed_s = max(0.0, now_s - tracked.seen_s)
            if tracked.budget.take(route, draw, elapsed_s, nodes):
                return self._trial_endpoints(new, len(old))
        # Without endpoints of the old version, the version under trial is used
        # rather than rejecting the request.
        return old or new

    def judge(self, now_s: float) -> list[TrackedMove]:
        """Evaluates running moves and returns those rejected by this call."""
        rejected = []
        for tracked in self._moves.values():
            if tracked.move.phase is MovePhase.RUNNING and not tracked.fault:
                tracked.fault = tracked.trial.judge(now_s)
                if tracked.fault:
                    rejected.append(tracked)
                self._divide_exposure(tracked, now_s)
        return rejected

    def _divide_exposure(self, tracked: TrackedMove, now_s: float) -> None:
        elapsed_s = max(1e-3, now_s - tracked.seen_s)
        requests = tracked.trial.requests()
        if requests:
            tracked.budget.divide(tracked.trial.traffic(), requests / elapsed_s)

    def _trial_endpoints(
        self, new: Sequence[Endpoint], old_count: int
    ) -> list[Endpoint]:
        """Selects so few endpoints that each has the load of an old one.

        Faults that only occur under load would not be detected if the few
        trial requests were spread over all endpoints of the version.
        """
        count = max(1, math.floor(self._exposure * old_count))
        return sorted(new, key=lambda endpoint: endpoint.endpoint_id)[:count]
