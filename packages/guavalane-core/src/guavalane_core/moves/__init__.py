"""Version moves that complete by a deadline or are rolled back."""

from __future__ import annotations

from guavalane_core.lazy_exports import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "evidence": (
            "WINDOW_S",
            "AttemptCounts",
            "EvidenceAggregator",
            "EvidenceWindows",
            "latency_bucket",
            "to_message",
            "window_index",
        ),
        "judge": (
            "Finding",
            "Judge",
        ),
        "leader": ("MoveLeader",),
        "plan": (
            "MovePlan",
            "MoveRequest",
            "Stage",
            "plan_move",
        ),
        "record": (
            "MoveEvent",
            "MoveRecord",
        ),
        "rules": (
            "RULES",
            "Rule",
            "ContingencyTable",
        ),
        "sequential": (
            "SequentialTest",
            "pass_evidence",
        ),
        "shares": (
            "DeadlineClock",
            "effective_shares",
            "rollback_shares",
            "stage_shares",
        ),
        "state": (
            "Command",
            "EndMove",
            "MoveState",
            "RaiseVeto",
            "ReportProgress",
            "StepShares",
            "make_veto",
        ),
        "vetoes": ("VetoSet",),
    },
)
