"""Ejection of endpoints that fail more often than others."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

# Failures in a row that eject an endpoint.
FAILURES_TO_EJECT = 5
# First and longest time of an ejection, in seconds.
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
# A half-open endpoint gets one request in this time, in seconds.
TRIAL_INTERVAL_S = 1.0
# Answers in a row that end the half-open state.
SUCCESSES_TO_RETURN = 3
# Part of a route's endpoints that may be ejected at a time.
LARGEST_EJECTED_PART = 0.5
# Time without connection attempts after one failed, in seconds.
UNREACHABLE_S = 2.0


@attrs.define
class _Record:
    failures: int = 0
    successes: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    half_open: bool = False
    next_trial_s: float = float("-inf")
    unreachable_until_s: float = float("-inf")

    def excluded_until_s(self) -> float:
        until = max(self.ejected_until_s, self.unreachable_until_s)
        return max(until, self.next_trial_s) if self.half_open else until


class OutlierEjector:
    """Tells which endpoints get no work because their attempts fail.

    An ejected endpoint returns half-open: it gets single requests until a few
    in a row are answered. Each further ejection lasts twice as long.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def on_success(self, endpoint: str) -> None:
        """Takes note of an answered attempt."""
        record = self._records.get(endpoint)
        if record is None:
            return
        record.failures = 0
        record.unreachable_until_s = float("-inf")
        if not record.half_open:
            return
        record.successes += 1
        if record.successes >= SUCCESSES_TO_RETURN:
            del self._records[endpoint]

    def on_failure(self, endpoint: str, now_s: float) -> None:
        """Takes note of a failed attempt."""
        record = self._records.setdefault(endpoint, _Record())
        # Attempts that were under way at the ejection say nothing new.
        if record.ejected_until_s > now_s:
            return
        record.failures += 1
        record.successes = 0
        if record.half_open or record.failures >= FAILURES_TO_EJECT:
            length_s = FIRST_EJECTION_S * 2**record.ejections
            record.ejected_until_s = now_s + min(length_s, LONGEST_EJECTION_S)
            record.ejections = min(record.ejections + 1, 16)
            record.failures = 0
            record.half_open = True

    def on_unreachable(self, endpoint: str, now_s: float) -> None:
        """Holds back an endpoint that took no connection for a short time."""
        record = self._records.setdefault(endpoint, _Record())
        record.unreachable_until_s = now_s + UNREACHABLE_S

    def on_dispatch(self, endpoint: str, now_s: float) -> None:
        """Takes note that a request goes to the endpoint."""
        record = self._records.get(endpoint)
        if record is not None and record.half_open:
            record.next_trial_s = now_s + TRIAL_INTERVAL_S

    def forget(self, endpoint: str) -> None:
        """Drops the record of an endpoint that left or was replaced."""
        self._records.pop(endpoint, None)

    def state(self, endpoint: str, now_s: float) -> str:
        """Returns `closed`, `ejected` or `half_open`."""
        record = self._records.get(endpoint)
        if record is None:
            return "closed"
        if record.ejected_until_s > now_s:
            return "ejected"
        return "half_open" if record.half_open else "closed"

    def held(self, endpoints: Sequence[str], now_s: float) -> set[str]:
        """Returns the endpoints that get no work now.

        Never more than half of the endpoints are held back. A fault that all
        share, such as a bad request or a cut network, must not empty the
        fleet; those whose time ends first are then used all the same.

        Args:
          endpoints: Endpoints of one route that are not leaving.
          now_s: Monotonic time in seconds.
        """
        if not self._records:
            return set()
        held = [
            (record.excluded_until_s(), name)
            for name in endpoints
            if (record := self._records.get(name)) is not None
            and record.excluded_until_s() > now_s
        ]
        most = int(len(endpoints) * LARGEST_EJECTED_PART)
        held.sort(reverse=True)
        return {name for _, name in held[:most]}
