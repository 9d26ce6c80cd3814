"""Plans of version moves."""

from __future__ import annotations

import datetime
import math

import attrs

from guavalane_core.configuration import Configuration, Deployment, MoveRule
from guavalane_core.exceptions import MoveRefusedError
from guavalane_core.moves.judge import (
    FALSE_PASS_TARGET,
    FALSE_ROLLBACK_TARGET,
)
from guavalane_core.moves.rules import RULES

# Maximum time until all nodes apply a stored step, in seconds (I8).
PROPAGATION_S = 8.0
# Minimum duration of a stage, in seconds, so that faults have time to appear.
MIN_STAGE_S = 20.0
# Maximum duration of a stage, in seconds, however late the deadline is.
MAX_STAGE_S = 3600.0
# Time reserved for one leader failover, in seconds; it includes the expiry of
# the old leader's lease.
FAILOVER_RESERVE_S = 30.0
# Time after confirmation in which latency is not compared, in seconds.
WARM_UP_S = 20.0
# Fraction of the spare time by which stages are extended; the rest covers
# traffic below the expected rate.
SOAK_FRACTION = 0.5
# Requests planned per request required. An error rate of 0.5 % in both versions
# nearly doubles the requirement, and random variation adds to it. With a margin
# of 1.5, good versions were still in their first stage at the deadline.
REQUEST_MARGIN = 3.0
# Share and error tolerance of each stage, most gradual sequence first. The last
# stage keeps enough traffic on the old version for a comparison: at a share of
# 0.9, an error of the new version is hardly evidence.
SHARE_SEQUENCES: dict[str, tuple[tuple[float, float], ...]] = {
    "careful": (
        (0.02, 0.02),
        (0.1, 0.02),
        (0.3, 0.01),
        (0.5, 0.01),
        (0.8, 0.01),
    ),
    "standard": ((0.05, 0.02), (0.2, 0.02), (0.5, 0.01), (0.8, 0.01)),
    "quick": ((0.1, 0.03), (0.4, 0.02), (0.8, 0.02)),
}


@attrs.frozen(kw_only=True)
class Stage:
    """One stage of a move.

    Attributes:
      share: Fraction of the traffic that the new version receives.
      requests: Attempts of the new version that are required as evidence.
      tolerance: Tolerated increase of the error rate over the old version's.
      hold_s: Minimum duration in seconds.
      expected_s: Expected duration in seconds.
    """

    share: float
    requests: int
    tolerance: float
    hold_s: float
    expected_s: float


@attrs.frozen(kw_only=True)
class MovePlan:
    """Stages, deadline and cost of a version move.

    Attributes:
      name: Name of the move.
      deployment: Deployment.
      old: Version that traffic leaves.
      new: Version that traffic moves to.
      generation: Configuration generation that the plan is based on.
      routes: Routes that the deployment serves.
      sequence: Name of the share sequence.
      stages: Stages in order; the move is complete after the last.
      warm_up_s: Time in which latency is not compared, in seconds.
      deadline_s: Wall time of the deadline, in seconds since the epoch.
      at_deadline: What nodes do at the deadline: `undo` or `keep`.
      expected_s: Expected time from confirmation to the end, in seconds.
      requests_per_s: Expected request rate.
      old_endpoints: Endpoints of the old version.
      new_endpoints: Endpoints of the new version.
      cost_endpoint_hours: Endpoint-hours for which the new version's endpoints
          run alongside the old ones.
      load_factor: Load per endpoint of the new version after the move, as a
          multiple of the load per endpoint of the old version now.
      rollback: Human-readable rollback conditions.
      made_by: Operator who created the plan.
      made_s: Wall time of creation, in seconds since the epoch.
    """

    name: str
    deployment: str
    old: str
    new: str
    generation: int
    routes: tuple[str, ...]
    sequence: str
    stages: tuple[Stage, ...]
    warm_up_s: float
    deadline_s: float
    at_deadline: str
    expected_s: float
    requests_per_s: float
    old_endpoints: int
    new_endpoints: int
    cost_endpoint_hours: float
    load_factor: float
    rollback: tuple[str, ...]
    made_by: str
    made_s: float

    def rule(self) -> MoveRule:
        """Returns the rule that is published in the configuration."""
        return MoveRule(
            name=self.name,
            old=self.old,
            new=self.new,
            deadline_s=self.deadline_s,
            at_deadline=self.at_deadline,
        )


@attrs.frozen(kw_only=True)
class MoveRequest:
    """An operator's request to move traffic to another version.

    Attributes:
      name: Name of the move.
      deployment: Deployment.
      new: Version to move traffic to.
      old: Version to move traffic from; defaults to the version with the
          largest share.
      deadline_s: Wall time of the deadline, in seconds since the epoch.
      at_deadline: What nodes do at the deadline: `undo` or `keep`.
      requests_per_s: Request rate of the deployment that evidence covers.
      made_by: Operator who makes the request.
    """

    name: str
    deployment: str
    new: str
    old: str = ""
    deadline_s: float
    at_deadline: str = "undo"
    requests_per_s: float
    made_by: str = ""


def iso_time(wall_s: float) -> str:
    """Formats a wall time as ISO 8601 in UTC."""
    moment = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def requests_needed(tolerance: float) -> int:
    """Returns how many attempts without an error let a stage pass."""
    return math.ceil(math.log(1 / FALSE_PASS_TARGET) / -math.log1p(-tolerance))


def _stages(
    sequence: str, requests_per_s: float, available_s: float
) -> tuple[Stage, ...] | None:
    steps = []
    for share, tolerance in SHARE_SEQUENCES[sequence]:
        requests = requests_needed(tolerance)
        traffic_s = REQUEST_MARGIN * requests / (requests_per_s * share)
        steps.append((share, tolerance, requests, traffic_s))
    shortest = [max(MIN_STAGE_S, step[3]) for step in steps]
    spare_s = available_s - sum(shortest)
    if spare_s < 0:
        return None
    soak_s = SOAK_FRACTION * spare_s / len(steps)
    stages = []
    for (share, tolerance, requests, traffic_s), shortest_s in zip(
        steps, shortest, strict=True
    ):
        hold_s = min(max(MIN_STAGE_S, shortest_s + soak_s), MAX_STAGE_S)
        stages.append(
            Stage(
                share=share,
                requests=requests,
                tolerance=tolerance,
                hold_s=round(hold_s, 1),
                expected_s=round(max(hold_s, traffic_s), 1),
            )
        )
    return tuple(stages)


def _overhead_s(sequence: str) -> float:
    # One step per stage, and one that completes the move.
    return (
        WARM_UP_S
        + FAILOVER_RESERVE_S
        + PROPAGATION_S * (len(SHARE_SEQUENCES[sequence]) + 1)
    )


def shortest_time_s(requests_per_s: float) -> float:
    """Returns the minimum duration of a move at a request rate, in seconds."""
    return min(
        _overhead_s(sequence)
        + sum(
            max(
                MIN_STAGE_S,
                REQUEST_MARGIN
                * requests_needed(tolerance)
                / (requests_per_s * share),
            )
            for share, tolerance in steps
        )
        for sequence, steps in SHARE_SEQUENCES.items()
    )


def _choose_old(request: MoveRequest, deployment: Deployment) -> str:
    if request.old:
        return request.old
    return max(
        deployment.versions, key=lambda name: deployment.versions[name].share
    )


def _check_versions(
    request: MoveRequest, configuration: Configuration
) -> tuple[Deployment, str]:
    deployment = configuration.deployments.get(request.deployment)
    if deployment is None:
        known = ", ".join(sorted(configuration.deployments))
        raise MoveRefusedError(
            f"unknown deployment {request.deployment!r}; known: {known}"
        )
    if deployment.move is not None:
        raise MoveRefusedError(
            f"move {deployment.move.name} of {request.deployment} is under way"
        )
    old = _choose_old(request, deployment)
    for version in (old, request.new):
        if version not in deployment.versions:
            known = ", ".join(sorted(deployment.versions))
            raise MoveRefusedError(
                f"unknown version {version!r} of {request.deployment};"
                f" known: {known}"
            )
    if old == request.new:
        raise MoveRefusedError(f"{old} is the version that traffic would leave")
    if deployment.versions[old].share <= 0:
        raise MoveRefusedError(f"version {old} has no share to move")
    if deployment.versions[request.new].share > 0:
        raise MoveRefusedError(
            f"version {request.new} has a share already; set it to 0 first"
        )
    return deployment, old


def _rollback_conditions(
    request: MoveRequest, old: str, routes: tuple[str, ...]
) -> tuple[str, ...]:
    texts = [
        f"clearly more {RULES.get(rule).text} than with {old} in the same"
        f" windows, on any of the routes {', '.join(routes)}"
        for rule in RULES
    ]
    texts.append("a veto of any node")
    texts.append("cancellation by an operator")
    if request.at_deadline == "undo":
        texts.append("the deadline passes before the move is done")
    texts.append(
        "chance that a good version is rolled back:"
        f" {FALSE_ROLLBACK_TARGET:.1%}"
    )
    return tuple(texts)


def plan_move(
    request: MoveRequest, configuration: Configuration, wall_s: float
) -> MovePlan:
    """Plans a move.

    Uses the most gradual sequence whose expected duration meets the deadline.

    Args:
      request: Request of the operator.
      configuration: Configuration in force.
      wall_s: Wall time in seconds since the epoch.

    Raises:
      MoveRefusedError: The request is invalid or cannot meet the deadline.
    """
    _, old = _check_versions(request, configuration)
    if request.at_deadline not in ("undo", "keep"):
        raise MoveRefusedError("at_deadline must be undo or keep")
    counts = {
        version: sum(
            e.deployment == request.deployment and e.version == version
            for e in configuration.endpoints.values()
        )
        for version in (old, request.new)
    }
    if not counts[request.new]:
        raise MoveRefusedError(f"version {request.new} has no endpoint")
    routes = tuple(
        sorted(
            name
            for name, route in configuration.routes.items()
            if route.deployment == request.deployment
        )
    )
    if not routes:
        raise MoveRefusedError(f"no route leads to {request.deployment}")
    if not request.requests_per_s > 0:
        raise MoveRefusedError(
            "no requests were seen, so evidence cannot be planned;"
            " state the expected request rate"
        )
    allowed_s = request.deadline_s - wall_s
    for sequence in SHARE_SEQUENCES:
        stages = _stages(
            sequence, request.requests_per_s, allowed_s - _overhead_s(sequence)
        )
        if stages is not None:
            break
    else:
        earliest_s = wall_s + shortest_time_s(request.requests_per_s)
        raise MoveRefusedError(
            f"the deadline {iso_time(request.deadline_s)} cannot be met at"
            f" {request.requests_per_s:.3g} requests/s; the earliest that can"
            f" is {iso_time(math.ceil(earliest_s))}",
            math.ceil(earliest_s),
        )
    expected_s = (
        WARM_UP_S
        + PROPAGATION_S * (len(stages) + 1)
        + sum(stage.expected_s for stage in stages)
    )
    return MovePlan(
        name=request.name,
        deployment=request.deployment,
        old=old,
        new=request.new,
        generation=configuration.generation,
        routes=routes,
        sequence=sequence,
        stages=stages,
        warm_up_s=WARM_UP_S,
        deadline_s=request.deadline_s,
        at_deadline=request.at_deadline,
        expected_s=round(expected_s, 1),
        requests_per_s=request.requests_per_s,
        old_endpoints=counts[old],
        new_endpoints=counts[request.new],
        cost_endpoint_hours=round(counts[request.new] * expected_s / 3600, 3),
        load_factor=round(counts[old] / counts[request.new], 3),
        rollback=_rollback_conditions(request, old, routes),
        made_by=request.made_by,
        made_s=wall_s,
    )
