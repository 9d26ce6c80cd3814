"""Tests of the retry decision after a failed attempt."""

from __future__ import annotations

import itertools

import pytest

from guavalane_core.forwarding import AttemptOutcome, Decision, decide_next

FAILURES = [o for o in AttemptOutcome if o is not AttemptOutcome.ANSWERED]


def decide(outcome, **changes):
    """Returns the decision for the given changes to permissive arguments."""
    values = {
        "repeatable": False,
        "possibly_run": False,
        "runs_left": True,
        "retry_budget_left": True,
        "time_left": True,
    }
    return decide_next(outcome, **{**values, **changes})


class TestDecideNext:
    """Guards against duplicate runs and false refusals."""

    @pytest.mark.parametrize("outcome", FAILURES)
    def test_possibly_run_request_is_reported_as_unknown(self, outcome):
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
    def test_repeatable_request_is_not_refused_after_a_run(self, outcome):
        decision = decide(
            outcome, repeatable=True, possibly_run=True, runs_left=False
        )
        assert decision is Decision.REPORT_UNKNOWN

    def test_rejected_request_goes_to_another_endpoint(self):
        decision = decide(AttemptOutcome.REJECTED, runs_left=False)
        assert decision is Decision.TRY_ANOTHER

    def test_budget_limits_attempts_that_reach_an_endpoint(self):
        decision = decide(AttemptOutcome.REJECTED, retry_budget_left=False)
        assert decision is Decision.REFUSE

    def test_budget_does_not_limit_unsent_attempts(self):
        decision = decide(AttemptOutcome.NOT_SENT, retry_budget_left=False)
        assert decision is Decision.TRY_ANOTHER

    def test_no_attempt_after_the_deadline(self):
        decision = decide(AttemptOutcome.NOT_SENT, time_left=False)
        assert decision is Decision.REFUSE
