"""Exchange of the outcomes of version moves between nodes."""

from __future__ import annotations

from collections.abc import Iterator

from guavalane_core.messages import MoveOutcomes, NodeReport
from guavalane_core.moves.evidence import (
    AttemptCounts,
    pack_buckets,
    unpack_buckets,
)
from guavalane_core.moves.table import MoveTable
from guavalane_core.moves.trial import VersionCount

# Target of outcomes before the move, which are not those of any version.
BEFORE_MOVE = ""


def make_outcomes(moves: MoveTable) -> Iterator[MoveOutcomes]:
    """Yields the outcomes that a node has counted for its running moves."""
    for service, tracked in moves.moves.items():
        if moves.running(service) is None:
            continue
        for count in tracked.trial.counts:
            yield _encode_count(service, tracked.move.target, count)
        for count in tracked.trial.baseline:
            yield _encode_count(service, BEFORE_MOVE, count)


def apply_outcomes(moves: MoveTable, report: NodeReport) -> None:
    """Applies the outcomes of another node to the running moves."""
    counts: dict[tuple[str, str], list[VersionCount]] = {}
    for outcomes in report.moves:
        key = (outcomes.service, outcomes.target)
        counts.setdefault(key, []).append(_decode_count(outcomes))
    process = (report.node, report.incarnation)
    for (service, target), move_counts in counts.items():
        tracked = moves.running(service)
        if tracked is None:
            continue
        if target == tracked.move.target:
            tracked.trial.report(*process, move_counts)
        elif target == BEFORE_MOVE:
            tracked.trial.report_baseline(*process, move_counts)


def _encode_count(
    service: str, target: str, count: VersionCount
) -> MoveOutcomes:
    return MoveOutcomes(
        service=service,
        target=target,
        route=count.route,
        is_new=count.is_new,
        requests=count.counts.requests,
        errors=count.counts.errors,
        rejected=count.counts.rejected,
        latency_buckets=pack_buckets(count.counts.latency),
        gap_buckets=pack_buckets(count.counts.gaps),
    )


def _decode_count(outcomes: MoveOutcomes) -> VersionCount:
    return VersionCount(
        outcomes.route,
        outcomes.is_new,
        AttemptCounts(
            outcomes.requests,
            outcomes.errors,
            outcomes.rejected,
            unpack_buckets(outcomes.latency_buckets),
            unpack_buckets(outcomes.gap_buckets),
        ),
    )
