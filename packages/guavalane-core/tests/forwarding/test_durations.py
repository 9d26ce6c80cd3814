"""Tests of the durations of requests by route."""

from __future__ import annotations

import pytest

from guavalane_core.forwarding.durations import (
    MAX_ROUTES,
    MAX_SAMPLES,
    RouteDurations,
)


class TestRouteDurations:
    """Guards against estimates that most requests exceed."""

    def test_an_unmeasured_route_has_no_estimate(self):
        assert RouteDurations().estimate_s("r") is None

    def test_one_slow_request_in_many_is_no_estimate(self):
        durations = RouteDurations()
        for _ in range(20):
            durations.record("r", 0.1)
        durations.record("r", 9.0)
        assert durations.estimate_s("r") == pytest.approx(0.1)

    def test_slow_requests_raise_the_estimate(self):
        durations = RouteDurations()
        for _ in range(8):
            durations.record("r", 0.1)
        for _ in range(2):
            durations.record("r", 2.0)
        assert durations.estimate_s("r") == pytest.approx(2.0)

    def test_old_requests_are_forgotten(self):
        durations = RouteDurations()
        for seconds in (9.0, 0.1):
            for _ in range(MAX_SAMPLES):
                durations.record("r", seconds)
        assert durations.estimate_s("r") == pytest.approx(0.1)

    def test_a_stream_takes_longer_with_more_tokens(self):
        durations = RouteDurations()
        durations.record("r", 2.5, first_event_s=0.5, expected_tokens=100)
        assert durations.estimate_s("r", 100) == pytest.approx(2.5)
        assert durations.estimate_s("r", 300) == pytest.approx(6.5)

    def test_routes_are_bounded(self):
        durations = RouteDurations()
        for number in range(MAX_ROUTES + 1):
            durations.record(f"r-{number}", 1.0)
        assert durations.estimate_s("r-0") is None
        assert durations.estimate_s("r-1") == pytest.approx(1.0)
