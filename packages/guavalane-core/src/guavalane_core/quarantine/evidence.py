"""Crashes of endpoints and the parts of requests that were present at them."""

from __future__ import annotations

import bisect
from collections import OrderedDict
from collections.abc import Collection, Iterator, Mapping

import attrs

from guavalane_core.quarantine.crash import Crash, CrashGroup, group_crashes
from guavalane_core.quarantine.parts import RequestHeads, is_request

# Interval between crashes that count as separate, in seconds. A part that is
# sound is usually served in the meantime.
MIN_CRASH_INTERVAL_S = 0.3
# Time after which a crash no longer counts, in seconds.
CRASH_LIFETIME_S = 3600.0
# Maximum number of remembered crashes, and of parts of one crash.
MAX_CRASHES = 128
MAX_PARTS_PER_CRASH = 64
# Longer identifiers are ignored, as callers choose them. In characters.
MAX_PART_ID_LENGTH = 128
# Maximum number of parts whose last success, and whose last crash, is
# remembered.
MAX_SUCCESSES = 8192
MAX_CRASHED_PARTS = 8192
# Maximum number of parts that are remembered as cleared.
MAX_CLEARED = 256
NEVER_S = float("-inf")


@attrs.define
class CrashCount:
    """Crashes that count against a part, since the first of them.

    Attributes:
      first_s: Monotonic time of the first one, in seconds.
      separate: Number of those that are separated from the one before.
      unexplained: Number of separate ones without a part in quarantine.
      moments: Number of different times of these crashes.
      processes: Number of endpoint processes that crashed with the part.
      others: Number of different times of crashes that do not count against the
          part.
      position: Largest position of the part in a request. Parts further back
          are more specific.
      requests: Requests present at these crashes that are or were in
          quarantine. All crashes with one of them count once, as it may have
          caused them.
      left_out: Number of different times of crashes that do not count for that
          reason.
    """

    first_s: float
    separate: int = 0
    unexplained: int = 0
    moments: int = 0
    processes: int = 0
    others: int = 0
    position: int = 0
    requests: set[str] = attrs.field(factory=set)
    left_out: int = 0
    _last_s: float = NEVER_S

    def add(
        self,
        at_s: float,
        position: int,
        processes: int,
        *,
        is_explained: bool,
    ) -> None:
        """Counts a crash.

        Args:
          at_s: Monotonic time in seconds.
          position: Position of the part in a request.
          processes: Number of endpoint processes that crashed at that time.
          is_explained: Whether a part in quarantine was present as well.
        """
        self.position = max(self.position, position)
        self.moments += 1
        self.processes += processes
        if at_s - self._last_s < MIN_CRASH_INTERVAL_S:
            return
        self._last_s = at_s
        self.separate += 1
        self.unexplained += not is_explained


class CrashEvidence:
    """Crashes and successes that all nodes have seen.

    Merging is idempotent and independent of the order, so that nodes may repeat
    what they tell each other.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, Crash] = OrderedDict()
        self._last_crashes_s: OrderedDict[str, float] = OrderedDict()
        # Heads of the requests among these parts.
        self._heads = RequestHeads()
        # Requests that were present at one crash, which are most of those at
        # any: they are no suspects, and left out of the evaluation.
        self._seen_once: set[str] = set()
        self._successes: OrderedDict[str, float] = OrderedDict()
        # Successes by node since the last crash with a part.
        self._success_counts: dict[str, dict[str, int]] = {}
        self._cleared: OrderedDict[str, float] = OrderedDict()

    @property
    def crashes(self) -> Collection[Crash]:
        """Remembered crashes, in the order in which they became known."""
        return self._crashes.values()

    @property
    def heads(self) -> RequestHeads:
        """Heads of the requests that were present at crashes."""
        return self._heads

    def add_crash(
        self, process: str, parts: Mapping[str, int], at_s: float
    ) -> bool:
        """Merges a crash.

        Args:
          process: Endpoint process.
          parts: Parts of requests that were present, with their positions.
          at_s: Monotonic time of the crash, in seconds.

        Returns:
          Whether the crash or one of its parts is new.
        """
        crash = self._crashes.get(process)
        is_new = crash is None
        if crash is None:
            crash = self._crashes[process] = Crash(process, at_s)
            if len(self._crashes) > MAX_CRASHES:
                _, forgotten = self._crashes.popitem(last=False)
                self._seen_once -= forgotten.parts.keys()
        crash.at_s = min(crash.at_s, at_s)
        for part, position in parts.items():
            if len(crash.parts) >= MAX_PARTS_PER_CRASH:
                break
            if part not in crash.parts and len(part) <= MAX_PART_ID_LENGTH:
                crash.parts[part] = position
                self._record_presence(part)
                self._record_last_crash(part, crash.at_s)
                is_new = True
        return is_new

    def _record_presence(self, part: str) -> None:
        if not is_request(part):
            return
        if part in self._last_crashes_s:
            self._seen_once.discard(part)
        else:
            self._seen_once.add(part)

    def _record_last_crash(self, part: str, at_s: float) -> None:
        if part not in self._last_crashes_s:
            self._heads.add(part)
        if at_s > self._last_crashes_s.get(part, NEVER_S):
            self._last_crashes_s[part] = at_s
            self._success_counts.pop(part, None)
        self._last_crashes_s.move_to_end(part)
        if len(self._last_crashes_s) > MAX_CRASHED_PARTS:
            forgotten, _ = self._last_crashes_s.popitem(last=False)
            self._success_counts.pop(forgotten, None)
            self._heads.remove(forgotten)

    def add_success(
        self,
        part: str,
        at_s: float,
        source: str = "",
        count: int | None = None,
    ) -> None:
        """Records that an endpoint served a request with a part.

        Args:
          part: Part.
          at_s: Monotonic time at which the output began, in seconds.
          source: Node that served it.
          count: Successes of that node since the last crash with the part; None
              for one more.
        """
        self._successes[part] = max(at_s, self.last_success_s(part))
        self._successes.move_to_end(part)
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)
        last_crash_s = self._last_crashes_s.get(part)
        if last_crash_s is None or at_s <= last_crash_s:
            return
        counts = self._success_counts.setdefault(part, {})
        known = counts.get(source, 0)
        counts[source] = known + 1 if count is None else max(known, count)

    def own_successes(self, part: str, source: str) -> int:
        """Returns a node's successes since the last crash with a part."""
        return self._success_counts.get(part, {}).get(source, 0)

    def successes_in_a_row(self, part: str) -> int:
        """Returns all nodes' successes since the last crash with a part."""
        return sum(self._success_counts.get(part, {}).values())

    def parts_at(self, process: str) -> Collection[str]:
        """Returns the parts that were present when a process crashed."""
        crash = self._crashes.get(process)
        return () if crash is None else crash.parts.keys()

    def last_crash_s(self, part: str) -> float | None:
        """Returns the time of the last crash with a part; None without one."""
        return self._last_crashes_s.get(part)

    def has_open_crash(self, part: str) -> bool:
        """Returns whether a crash counts against a part."""
        last_s = self._last_crashes_s.get(part, NEVER_S)
        return last_s > self.sound_until_s(part)

    def last_success_s(self, part: str) -> float:
        """Returns when the output of a part's last success began."""
        return self._successes.get(part, NEVER_S)

    def last_cleared_s(self, part: str) -> float:
        """Returns the monotonic time at which a part was last cleared."""
        return self._cleared.get(part, NEVER_S)

    def recent_crashes(
        self, now_s: float, max_age_s: float = CRASH_LIFETIME_S
    ) -> Iterator[Crash]:
        """Yields the crashes up to an age, the latest to be known first.

        Args:
          now_s: Monotonic time in seconds.
          max_age_s: Maximum age in seconds.
        """
        for crash in reversed(self._crashes.values()):
            if crash.at_s >= now_s - max_age_s:
                yield crash

    def _recent_groups(self, now_s: float) -> Iterator[CrashGroup]:
        return group_crashes(self.recent_crashes(now_s), self._seen_once)

    def clear_part(self, part: str, at_s: float) -> None:
        """Clears a part of all crashes up to a time.

        Args:
          part: Part.
          at_s: Monotonic time in seconds.
        """
        self._cleared[part] = at_s
        self._cleared.move_to_end(part)
        if len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)

    def sound_until_s(self, part: str) -> float:
        """Returns the time up to which no crash counts against a part.

        A success says nothing of later crashes: a part can turn out to crash
        endpoints after it has been served for long.
        """
        return max(self.last_success_s(part), self.last_cleared_s(part))

    def count_crashes(
        self, now_s: float, quarantined: Collection[str]
    ) -> dict[str, CrashCount]:
        """Counts the crashes against each part.

        Args:
          now_s: Monotonic time in seconds.
          quarantined: Parts in quarantine, which explain the crashes at which
              they were present.
        """
        counts: dict[str, CrashCount] = {}
        moments_s: list[float] = []
        for group in self._recent_groups(now_s):
            moments_s.append(group.at_s)
            requests = {
                part
                for part in group.requests()
                if part in quarantined or part in self._cleared
            }
            for part in group.common_parts():
                if group.at_s <= self.sound_until_s(part):
                    continue
                count = counts.setdefault(part, CrashCount(group.at_s))
                if is_request(part):
                    # A common part is present at most crashes by chance.
                    is_explained = not requests.isdisjoint(quarantined)
                elif requests.isdisjoint(count.requests):
                    count.requests |= requests
                    is_explained = group.has_any(quarantined)
                else:
                    count.left_out += 1
                    continue
                count.add(
                    group.at_s,
                    group.positions[part],
                    group.presence[part],
                    is_explained=is_explained,
                )
        for count in counts.values():
            start = bisect.bisect_left(moments_s, count.first_s)
            counted = count.moments + count.left_out
            count.others = len(moments_s) - start - counted
        return counts

    def count_shared(
        self, now_s: float, quarantined: Collection[str]
    ) -> dict[str, int]:
        """Returns the quarantined parts that are the only one at no crash.

        For a request, only other requests count: a shared part says less.

        Args:
          now_s: Monotonic time in seconds.
          quarantined: Parts in quarantine.

        Returns:
          Number of the times of crashes by part, of those with any.
        """
        counts: dict[str, int] = {}
        sole: set[str] = set()
        for group in self._recent_groups(now_s):
            present = [
                part
                for part in group.common_parts()
                if part in quarantined and group.at_s > self.sound_until_s(part)
            ]
            requests = [part for part in present if is_request(part)]
            if len(requests) == 1:
                sole.add(requests[0])
            elif len(present) == 1:
                sole.add(present[0])
            for part in present:
                counts[part] = counts.get(part, 0) + 1
        return {part: n for part, n in counts.items() if part not in sole}
