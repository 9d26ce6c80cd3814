"""Version moves that finish in time or are rolled back."""

from __future__ import annotations

from guavalane_core.lazy_exports import lazy_exports

__getattr__, __all__ = lazy_exports(
    __name__,
    {
        "evidence": (
            "WINDOW_S",
            "EvidenceBook",
            "EvidenceWindows",
            "Figures",
            "bucket_of",
            "to_message",
            "window_of",
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
            "Table",
        ),
        "sequential": (
            "SequentialTest",
            "pass_evidence",
        ),
        "shares": (
            "DeadlineClock",
            "effective_shares",
            "stage_shares",
            "undone_shares",
        ),
        "state": (
            "Command",
            "Conclude",
            "MoveState",
            "Note",
            "RaiseVeto",
            "StepShares",
            "make_veto",
        ),
        "vetoes": ("VetoSet",),
    },
)
