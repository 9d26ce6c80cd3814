"""Tests of the evaluation of a stage of a planned move."""

from __future__ import annotations

from guavalane_core.moves.evidence import AttemptCounts, latency_bucket
from guavalane_core.moves.judge import Judge

OLD, NEW = "v1", "v2"
TOLERANCE = 0.2


def make_counts(requests, errors=0):
    """Returns the counts of attempts that take 0.1 s."""
    counts = AttemptCounts(requests, errors)
    counts.latency[latency_bucket(0.1)] = requests - errors
    return counts


class TestStage:
    """Guards against a stage that a version passes that is bad on one route."""

    def unmet(self, rare_errors):
        """Returns what a stage lacks with errors on the rarer route."""
        judge = Judge(OLD, NEW, ("busy", "rare"))
        judge.observe(
            {
                (OLD, "busy"): make_counts(900),
                (NEW, "busy"): make_counts(300),
                (OLD, "rare"): make_counts(60, 8),
                (NEW, "rare"): make_counts(20, rare_errors),
            }
        )
        return judge.unmet_requirement(100, TOLERANCE, last=True)

    def test_errors_on_a_rare_route_hold_the_stage(self):
        assert "on rare" in self.unmet(8)

    def test_the_old_version_s_errors_do_not(self):
        assert self.unmet(3) == ""
