"""Tests of what follows a failed attempt."""

from __future__ import annotations

import itertools

import pytest

from guavalane_core.forwarding import AttemptOutcome, Decision, decide_next

FAILURES = [o for o in AttemptOutcome if o is not AttemptOutcome.ANSWERED]


def decide(outcome, **changes):
    """Returns the decision with everything allowed but for the changes."""
    values = {
        "repeatable": False,
        "possibly_run": False,
        "runs_left": True,
        "retry_budget_left": True,
        "time_left": True,
    }
    return decide_next(outcome, **{**values, **changes})


class TestDecideNext:
    """Guards against doubled runs and refusals that are not true."""

    @pytest.mark.parametrize("outcome", FAILURES)
    def test_a_possible_run_is_never_repeated_or_denied(self, outcome):
        for flags in itertools.product([True, False], repeat=3):
            runs_left, retry_budget_left, time_left = flags
            decision = decide(
                outcome,
                possibly_run=True,
                runs_left=runs_left,
                retry_budget_left=retry_budget_left,
                time_left=time_left,
            )
            assert decision is Decision.REPORT_UNKNOWN

    @pytest.mark.parametrize("outcome", FAILURES)
    def test_a_repeatable_request_is_never_denied_after_a_run(self, outcome):
        decision = decide(
            outcome, repeatable=True, possibly_run=True, runs_left=False
        )
        assert decision is Decision.REPORT_UNKNOWN

    def test_a_rejected_request_goes_to_another_endpoint(self):
        decision = decide(AttemptOutcome.REJECTED, runs_left=False)
        assert decision is Decision.TRY_ANOTHER

    def test_the_budget_ends_repeats_that_arrive(self):
        decision = decide(AttemptOutcome.REJECTED, retry_budget_left=False)
        assert decision is Decision.REFUSE

    def test_the_budget_allows_what_never_arrived(self):
        decision = decide(AttemptOutcome.NOT_SENT, retry_budget_left=False)
        assert decision is Decision.TRY_ANOTHER

    def test_no_attempt_starts_without_time(self):
        decision = decide(AttemptOutcome.NOT_SENT, time_left=False)
        assert decision is Decision.REFUSE
