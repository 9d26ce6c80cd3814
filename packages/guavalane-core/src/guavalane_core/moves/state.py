"""Leader-side state machine of one move."""

from __future__ import annotations

import attrs

from guavalane_core.configuration import Deployment, MoveRule
from guavalane_core.messages import Evidence, Veto
from guavalane_core.moves.evidence import (
    WINDOW_S,
    EvidenceAggregator,
    window_index,
)
from guavalane_core.moves.judge import Judge
from guavalane_core.moves.plan import WARM_UP_S, MovePlan
from guavalane_core.moves.shares import DeadlineClock
from guavalane_core.moves.vetoes import VetoSet

# Time to wait for evidence after the end of a window, in seconds: 1 s until the
# reporter's next tick, and the rest for clock skew.
EVIDENCE_GRACE_S = 2.5
# Interval between attempts to store the same decision, in seconds.
RETRY_S = 2.0
# A move is not completed in the last seconds before its deadline, because nodes
# might apply the deadline action before they receive the result (I8).
DONE_MARGIN_S = 8.0
# Interval between evidence entries in the time line, in seconds.
PROGRESS_INTERVAL_S = 30.0
SHARE_TOLERANCE = 1e-6

DONE = "done"
UNDONE = "undone"
KEPT = "kept"


@attrs.frozen
class StepShares:
    """Command to set the new version's share to that of a stage.

    Attributes:
      move: Name of the move.
      deployment: Deployment.
      stage: Index of the stage.
      share: Fraction of both versions' traffic that the new one receives.
      reason: Human-readable reason.
    """

    move: str
    deployment: str
    stage: int
    share: float
    reason: str


@attrs.frozen
class EndMove:
    """Command to end a move.

    Attributes:
      move: Name of the move.
      deployment: Deployment.
      outcome: `done`, `undone` or `kept`.
      reason: Human-readable reason.
    """

    move: str
    deployment: str
    outcome: str
    reason: str


@attrs.frozen
class RaiseVeto:
    """Command to veto the new version on all nodes.

    Attributes:
      move: Name of the move.
      deployment: Deployment.
      version: Version.
      reason: Human-readable reason.
    """

    move: str
    deployment: str
    version: str
    reason: str


@attrs.frozen
class ReportProgress:
    """Command to add a progress report to the time line.

    Attributes:
      move: Name of the move.
      text: Human-readable progress.
    """

    move: str
    text: str


Command = StepShares | EndMove | RaiseVeto | ReportProgress


class MoveState:
    """Evaluates one move and decides on its next step.

    The configuration in force is the source of truth for the stage: a step
    takes effect when `follow` receives it. A new leader therefore continues in
    the same stage, and collects the evidence of that stage again.

    Args:
      deployment: Name of the deployment.
      rule: Rule in the configuration.
      plan: Plan; None if its record is lost, in which case only a veto or the
          deadline ends the move.
      confirmed_s: Wall time of the confirmation in seconds.
    """

    def __init__(
        self,
        deployment: str,
        rule: MoveRule,
        plan: MovePlan | None,
        confirmed_s: float,
    ) -> None:
        self._deployment = deployment
        self._rule = rule
        self._plan = plan
        self._warm_up_end_s = confirmed_s + (
            plan.warm_up_s if plan else WARM_UP_S
        )
        self._evidence = EvidenceAggregator()
        self._judge = Judge(rule.old, rule.new, plan.routes if plan else ())
        self._clock = DeadlineClock()
        self._stage = -1
        self._stage_since_s = 0.0
        self._stage_window = 0
        self._retry_at_s = float("-inf")
        self._reported_at_s = float("-inf")
        self._veto_raised = False

    @property
    def stage(self) -> int:
        """Index of the current stage; -1 before the first."""
        return self._stage

    def follow(
        self, deployment: Deployment, now_s: float, wall_s: float
    ) -> None:
        """Applies the configuration in force.

        Args:
          deployment: Deployment as configured, with this move in progress.
          now_s: Monotonic time in seconds.
          wall_s: Wall time in seconds.
        """
        self._rule = deployment.move
        self._clock.follow([self._rule], now_s, wall_s)
        stage = self._stage_of(deployment)
        if stage != self._stage:
            self._stage = stage
            self._stage_since_s = now_s
            self._stage_window = window_index(wall_s)
            self._judge.begin_stage()
            self._retry_at_s = float("-inf")
            self._reported_at_s = now_s

    def on_evidence(
        self, origin: str, evidence: Evidence, wall_s: float
    ) -> None:
        """Handles evidence of a node."""
        self._evidence.add(origin, evidence, window_index(wall_s))

    def on_timer(
        self, now_s: float, wall_s: float, vetoes: VetoSet
    ) -> list[Command]:
        """Evaluates complete windows and returns the commands that are due.

        Args:
          now_s: Monotonic time in seconds.
          wall_s: Wall time in seconds.
          vetoes: Known vetoes.
        """
        commands: list[Command] = []
        self._evaluate_windows(wall_s)
        finding = self._judge.finding()
        if finding is not None and not self._veto_raised:
            self._veto_raised = True
            commands.append(
                RaiseVeto(
                    self._rule.name,
                    self._deployment,
                    self._rule.new,
                    finding.text,
                )
            )
        if now_s < self._retry_at_s:
            return commands
        reason = finding.text if finding else ""
        decision = self._decide(now_s, vetoes, reason)
        if decision is not None:
            self._retry_at_s = now_s + RETRY_S
            commands.append(decision)
        elif now_s - self._reported_at_s >= PROGRESS_INTERVAL_S:
            self._reported_at_s = now_s
            commands.append(
                ReportProgress(self._rule.name, self.progress(now_s))
            )
        return commands

    def progress(self, now_s: float) -> str:
        """Describes the progress of the stage and its unmet requirement."""
        if self._plan is None or self._stage < 0:
            return "no plan is known; only vetoes and the deadline count"
        stage = self._plan.stages[self._stage]
        unmet = self._unmet_requirement(now_s)
        return (
            f"stage {self._stage + 1} of {len(self._plan.stages)},"
            f" share {stage.share:g}:"
            f" {self._judge.stage_requests} requests with {self._rule.new};"
            f" waits for: {unmet or 'nothing'}"
        )

    def _stage_of(self, deployment: Deployment) -> int:
        if self._plan is None:
            return -1
        old = deployment.versions[self._rule.old].share
        new = deployment.versions[self._rule.new].share
        share = new / (old + new) if old + new else 0.0
        # A share that an operator set manually maps to the next lower stage.
        return max(
            (
                index
                for index, stage in enumerate(self._plan.stages)
                if stage.share <= share + SHARE_TOLERANCE
            ),
            default=-1,
        )

    def _evaluate_windows(self, wall_s: float) -> None:
        before = window_index(wall_s - EVIDENCE_GRACE_S)
        for window, counts in self._evidence.take_before(before):
            self._judge.observe(
                counts,
                warm_up=window * WINDOW_S < self._warm_up_end_s,
                in_stage=window > self._stage_window,
            )

    def _unmet_requirement(self, now_s: float) -> str:
        stage = self._plan.stages[self._stage]
        left_s = self._stage_since_s + stage.hold_s - now_s
        if left_s > 0:
            return f"{left_s:.0f} s of the stage's time"
        last = self._stage + 1 == len(self._plan.stages)
        return self._judge.unmet_requirement(
            stage.requests, stage.tolerance, last
        )

    def _decide(
        self, now_s: float, vetoes: VetoSet, finding: str
    ) -> Command | None:
        rule = self._rule
        name, deployment = rule.name, self._deployment
        vetoed = vetoes.of(name, rule.new)
        if vetoed:
            first = vetoed[0]
            reason = f"veto of {first.origin}: {first.reason}"
            return EndMove(name, deployment, UNDONE, reason)
        if finding:
            return EndMove(name, deployment, UNDONE, finding)
        remaining_s = self._clock.remaining_s(rule, now_s)
        if remaining_s <= 0:
            outcome = KEPT if rule.at_deadline == "keep" else UNDONE
            reason = "the deadline passed before the move was done"
            return EndMove(name, deployment, outcome, reason)
        if self._plan is None:
            return None
        if self._stage < 0:
            first_stage = self._plan.stages[0]
            return StepShares(
                name, deployment, 0, first_stage.share, "the move begins"
            )
        if remaining_s < DONE_MARGIN_S or self._unmet_requirement(now_s):
            return None
        reason = (
            f"stage {self._stage + 1} passed with"
            f" {self._judge.stage_requests} requests with {rule.new}"
        )
        following = self._stage + 1
        if following == len(self._plan.stages):
            return EndMove(name, deployment, DONE, reason)
        share = self._plan.stages[following].share
        return StepShares(name, deployment, following, share, reason)


def make_veto(command: RaiseVeto, origin: str, wall_s: float) -> Veto:
    """Returns the message that announces a veto."""
    return Veto(
        move=command.move,
        deployment=command.deployment,
        version=command.version,
        origin=origin,
        reason=command.reason,
        observed_s=wall_s,
    )
