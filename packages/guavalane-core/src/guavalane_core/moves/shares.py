"""Traffic shares of the versions of a deployment."""

from __future__ import annotations

from collections.abc import Collection

from guavalane_core.configuration import Deployment, MoveRule


def rollback_shares(
    shares: dict[str, float], old: str, new: str
) -> dict[str, float]:
    """Returns the shares after a rollback to the old version."""
    result = dict(shares)
    result[old] = shares.get(old, 0.0) + shares.get(new, 0.0)
    result[new] = 0.0
    return result


def stage_shares(
    shares: dict[str, float], old: str, new: str, share: float
) -> dict[str, float]:
    """Returns the shares of a stage.

    Args:
      shares: Shares in force.
      old: Version that traffic leaves.
      new: Version that traffic moves to.
      share: Fraction of both versions' traffic that the new one receives.
    """
    both = shares.get(old, 0.0) + shares.get(new, 0.0)
    return {**shares, old: both * (1 - share), new: both * share}


def effective_shares(
    deployment: Deployment, vetoed: Collection[str], deadline_passed: bool
) -> dict[str, float]:
    """Returns the shares that a node applies.

    Args:
      deployment: Deployment as configured.
      vetoed: Versions vetoed in the current move.
      deadline_passed: Whether the move's deadline has passed.
    """
    shares = {name: v.share for name, v in deployment.versions.items()}
    rule = deployment.move
    if rule is None:
        return shares
    undone = deadline_passed and rule.at_deadline == "undo"
    # Vetoes of the old version are ignored, because it is the version that a
    # rollback returns to.
    if undone or rule.new in vetoed:
        return rollback_shares(shares, rule.old, rule.new)
    return shares


class DeadlineClock:
    """Tracks the deadlines of moves on the monotonic clock.

    The wall time of a deadline is converted when a rule is first seen. Later
    steps of the wall clock therefore neither roll back a move early nor restore
    the share of a version after the deadline.
    """

    def __init__(self) -> None:
        self._due: dict[tuple[str, float], float] = {}

    def follow(
        self, rules: Collection[MoveRule], now_s: float, wall_s: float
    ) -> None:
        """Sets the rules to track and drops all others."""
        self._due = {
            (rule.name, rule.deadline_s): self._due.get(
                (rule.name, rule.deadline_s),
                now_s + rule.deadline_s - wall_s,
            )
            for rule in rules
        }

    def remaining_s(self, rule: MoveRule, now_s: float) -> float:
        """Returns the remaining time in seconds; negative if it has passed."""
        return self._due[rule.name, rule.deadline_s] - now_s

    def passed(self, rule: MoveRule, now_s: float) -> bool:
        """Returns whether the deadline of a tracked rule has passed."""
        return self.remaining_s(rule, now_s) <= 0
