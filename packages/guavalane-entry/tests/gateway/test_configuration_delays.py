"""Tests of the delay with which configurations come into force."""

from __future__ import annotations

from guavalane_entry.gateway.configuration_delays import (
    MAX_REPORTED_VERSIONS,
    ConfigurationDelays,
)


class TestConfigurationDelays:
    """Guards against a node that is late without showing it."""

    def test_the_delay_runs_from_the_first_report(self):
        delays = ConfigurationDelays()
        delays.on_applied(3, 0.0)
        delays.on_reported(5, 1.0)
        delays.on_reported(5, 1.4)
        assert delays.behind_s(1.5) == 0.5
        delays.on_applied(5, 2.0)
        assert delays.last_s == 1.0
        assert delays.behind_s(9.0) == 0.0

    def test_a_skipped_version_counts(self):
        delays = ConfigurationDelays()
        delays.on_applied(3, 0.0)
        delays.on_reported(5, 1.0)
        delays.on_reported(7, 2.0)
        delays.on_applied(7, 2.5)
        assert delays.last_s == 1.5

    def test_a_newer_version_of_a_peer_stays_open(self):
        delays = ConfigurationDelays()
        delays.on_applied(3, 0.0)
        delays.on_reported(5, 1.0)
        delays.on_reported(7, 2.0)
        delays.on_applied(5, 2.5)
        assert delays.last_s == 1.5
        assert delays.behind_s(3.0) == 1.0

    def test_the_first_node_is_not_late(self):
        delays = ConfigurationDelays()
        delays.on_applied(5, 1.0)
        delays.on_reported(5, 1.2)
        assert delays.summary(4.0) == {
            "current": 0.0,
            "last": 0.0,
            "longest": 0.0,
        }

    def test_the_start_of_a_node_is_not_a_delay(self):
        delays = ConfigurationDelays()
        delays.on_reported(5, 1.0)
        delays.on_applied(5, 3.0)
        assert delays.longest_s == 0.0

    def test_the_longest_delay_is_kept(self):
        delays = ConfigurationDelays()
        delays.on_applied(3, 0.0)
        delays.on_reported(5, 1.0)
        delays.on_applied(5, 3.0)
        delays.on_applied(6, 4.0)
        assert (delays.last_s, delays.longest_s) == (0.0, 2.0)

    def test_the_oldest_reports_are_kept_if_there_are_many(self):
        delays = ConfigurationDelays()
        for version in range(1, 2 * MAX_REPORTED_VERSIONS):
            delays.on_reported(version, float(version))
        assert delays.behind_s(1001.0) == 1000.0
