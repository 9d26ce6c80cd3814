"""Tests of outlier ejection."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from guavalane_core.routing import OutlierEjector

NAMES = [f"e{i}" for i in range(5)]


def fail(ejector: OutlierEjector, name: str, now_s: float, count: int = 5):
    """Records failed attempts."""
    for _ in range(count):
        ejector.on_failure(name, now_s)


class TestOutlierEjector:
    """Guards against failing endpoints that stay in or never return to use."""

    def test_ejects_and_returns_half_open(self):
        ejector = OutlierEjector()
        fail(ejector, "e0", 0.0, count=4)
        ejector.on_success("e0")
        fail(ejector, "e0", 0.0, count=4)
        assert ejector.held(NAMES, 0.0) == set()
        fail(ejector, "e0", 0.0, count=1)
        assert ejector.held(NAMES, 4.9) == {"e0"}
        assert ejector.state("e0", 5.0) == "half_open"
        # One request at a time while half-open.
        assert ejector.held(NAMES, 5.0) == set()
        ejector.on_dispatch("e0", 5.0)
        assert ejector.held(NAMES, 5.5) == {"e0"}
        for _ in range(3):
            ejector.on_success("e0")
        assert ejector.state("e0", 5.5) == "closed"
        assert ejector.held(NAMES, 5.5) == set()

    def test_failure_while_half_open_doubles_the_ejection(self):
        ejector = OutlierEjector()
        fail(ejector, "e0", 0.0)
        fail(ejector, "e0", 5.0, count=1)
        assert ejector.state("e0", 14.9) == "ejected"
        assert ejector.state("e0", 15.0) == "half_open"

    def test_common_fault_excludes_at_most_half(self):
        ejector = OutlierEjector()
        for name in NAMES:
            fail(ejector, name, 0.0)
            ejector.on_unreachable(name, 0.0)
        assert len(ejector.held(NAMES, 1.0)) == 2
        assert ejector.held(NAMES[:1], 1.0) == set()


class EjectionMachine(RuleBasedStateMachine):
    """Checks the exclusion limit and recovery under any order of events."""

    def __init__(self) -> None:
        super().__init__()
        self.ejector = OutlierEjector()
        self.now = 0.0

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 6))
    def fails(self, name, count):
        fail(self.ejector, name, self.now, count)

    @rule(name=st.sampled_from(NAMES))
    def answers(self, name):
        self.ejector.on_success(name)

    @rule(name=st.sampled_from(NAMES))
    def is_dispatched(self, name):
        self.ejector.on_dispatch(name, self.now)

    @rule(name=st.sampled_from(NAMES))
    def is_unreachable(self, name):
        self.ejector.on_unreachable(name, self.now)

    @rule(seconds=st.floats(0.1, 20))
    def time_passes(self, seconds):
        self.now += seconds

    @invariant()
    def at_most_half_are_excluded(self):
        for count in range(1, len(NAMES) + 1):
            held = self.ejector.held(NAMES[:count], self.now)
            assert len(held) <= count / 2

    @invariant()
    def all_endpoints_return(self):
        # The longest ejection ends, and no half-open endpoint stays excluded.
        assert self.ejector.held(NAMES, self.now + 61.0) == set()


TestEjectionMachine = EjectionMachine.TestCase
TestEjectionMachine.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=30, deadline=None
)
