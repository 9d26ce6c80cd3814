"""Delay with which configurations come into force on this node."""

from __future__ import annotations

from collections.abc import Mapping

# Number of reported versions that are kept while they are not in force.
MAX_REPORTED_VERSIONS = 256


class ConfigurationDelays:
    """Measures how long after its peers this node applies a configuration.

    A node that lags behind its peers has itself missed a change. If all nodes
    miss it, only the age of their watches shows that.
    """

    def __init__(self) -> None:
        # Time of the first report by version, for versions not in force here.
        self._reported_s: dict[int, float] = {}
        self._version = 0
        self._last_s = 0.0
        self._longest_s = 0.0

    @property
    def last_s(self) -> float:
        """Delay of the configuration in force, in seconds."""
        return self._last_s

    @property
    def longest_s(self) -> float:
        """Longest delay of any configuration, in seconds."""
        return self._longest_s

    def on_reported(self, version: int, now_s: float) -> None:
        """Records that a peer has a version in force."""
        if version <= self._version:
            return
        self._reported_s.setdefault(version, now_s)
        if len(self._reported_s) > MAX_REPORTED_VERSIONS:
            del self._reported_s[max(self._reported_s)]

    def on_applied(self, version: int, now_s: float) -> None:
        """Records that a version is in force here."""
        # Before its first configuration a node serves no requests.
        is_first = self._version == 0
        self._last_s = (
            0.0 if is_first else self._time_since_report(version, now_s)
        )
        self._longest_s = max(self._longest_s, self._last_s)
        self._version = version
        self._reported_s = {
            reported: first_s
            for reported, first_s in self._reported_s.items()
            if reported > version
        }

    def behind_s(self, now_s: float) -> float:
        """Returns for how long a peer has had a newer version, in seconds."""
        first_s = min(self._reported_s.values(), default=now_s)
        return now_s - first_s

    def summary(self, now_s: float) -> Mapping[str, float]:
        """Returns the current, last and longest delay in seconds."""
        return {
            "current": self.behind_s(now_s),
            "last": self._last_s,
            "longest": self._longest_s,
        }

    def _time_since_report(self, version: int, now_s: float) -> float:
        times_s = [
            first_s
            for reported, first_s in self._reported_s.items()
            if reported <= version
        ]
        return now_s - min(times_s, default=now_s)
