"""Crashes of endpoints and the prompt parts that were present at them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterator, Mapping

import attrs

# Crashes closer together count as one, in seconds: the loss of an availability
# zone crashes many endpoints at once and says nothing about a prompt.
MIN_CRASH_INTERVAL_S = 0.5
# A crash does not count against a part that was served within this time before
# it, or at any time after it. In seconds.
SOUND_PERIOD_S = 60.0
# Time after which a crash no longer counts, in seconds.
CRASH_LIFETIME_S = 3600.0
# Maximum number of remembered crashes, and of parts of one crash.
MAX_CRASHES = 128
MAX_PARTS_PER_CRASH = 64
# Longer identifiers are ignored, as callers choose them. In characters.
MAX_PART_ID_LENGTH = 128
# Maximum number of parts whose last success is remembered.
MAX_SUCCESSES = 8192
# Maximum number of parts that are remembered as cleared.
MAX_CLEARED = 256
NEVER_S = float("-inf")


@attrs.define
class Crash:
    """Crash of one endpoint process.

    Attributes:
      process: Endpoint process, which differs between its restarts.
      at_s: Monotonic time of the crash, in seconds.
      parts: Shared prompt parts of the requests that the endpoint was about to
          answer, with their positions in the prompts. One of them may have
          caused the crash.
    """

    process: str
    at_s: float
    parts: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class CrashCount:
    """Separate crashes that count against a part.

    Attributes:
      total: Number of crashes.
      unexplained: Number of those without a part that is in quarantine.
      position: Largest position of the part in a prompt. Parts further back are
          more specific.
    """

    total: int = 0
    unexplained: int = 0
    position: int = 0


class CrashEvidence:
    """Crashes and successes that all nodes have seen.

    Merging is idempotent and independent of the order, so that nodes may repeat
    what they tell each other.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, Crash] = OrderedDict()
        self._successes: OrderedDict[str, float] = OrderedDict()
        self._cleared: OrderedDict[str, float] = OrderedDict()

    @property
    def crashes(self) -> Collection[Crash]:
        """Remembered crashes, in the order in which they became known."""
        return self._crashes.values()

    def add_crash(
        self, process: str, parts: Mapping[str, int], at_s: float
    ) -> bool:
        """Merges a crash.

        Args:
          process: Endpoint process.
          parts: Shared prompt parts that were present, with their positions.
          at_s: Monotonic time of the crash, in seconds.

        Returns:
          Whether the crash or one of its parts is new.
        """
        crash = self._crashes.get(process)
        is_new = crash is None
        if crash is None:
            crash = self._crashes[process] = Crash(process, at_s)
            if len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        crash.at_s = min(crash.at_s, at_s)
        for part, position in parts.items():
            if len(crash.parts) >= MAX_PARTS_PER_CRASH:
                break
            if part not in crash.parts and len(part) <= MAX_PART_ID_LENGTH:
                crash.parts[part] = position
                is_new = True
        return is_new

    def add_success(self, part: str, at_s: float) -> None:
        """Records that an endpoint served a request with a part."""
        self._successes[part] = max(at_s, self._successes.get(part, NEVER_S))
        self._successes.move_to_end(part)
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)

    def parts_at(self, process: str) -> Collection[str]:
        """Returns the parts that were present when a process crashed."""
        crash = self._crashes.get(process)
        return () if crash is None else crash.parts.keys()

    def last_success_s(self, part: str) -> float:
        """Returns the monotonic time of a part's last success."""
        return self._successes.get(part, NEVER_S)

    def last_cleared_s(self, part: str) -> float:
        """Returns the monotonic time at which a part was last cleared."""
        return self._cleared.get(part, NEVER_S)

    def recent_crashes(self, since_s: float) -> Iterator[Crash]:
        """Yields the crashes since a time, the latest to be known first."""
        for crash in reversed(self._crashes.values()):
            if crash.at_s >= since_s:
                yield crash

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
        """Returns the time up to which no crash counts against a part."""
        return max(
            self.last_success_s(part) + SOUND_PERIOD_S,
            self.last_cleared_s(part),
        )

    def count_crashes(
        self, now_s: float, quarantined: Collection[str]
    ) -> dict[str, CrashCount]:
        """Counts the separate crashes against each part.

        Args:
          now_s: Monotonic time in seconds.
          quarantined: Parts in quarantine, which explain the crashes at which
              they were present.
        """
        counts: dict[str, CrashCount] = {}
        last_counted_s: dict[str, float] = {}
        for crash in sorted(self._crashes.values(), key=lambda c: c.at_s):
            if crash.at_s < now_s - CRASH_LIFETIME_S:
                continue
            is_explained = any(part in quarantined for part in crash.parts)
            for part, position in crash.parts.items():
                if crash.at_s <= self.sound_until_s(part):
                    continue
                last_s = last_counted_s.get(part, NEVER_S)
                if crash.at_s - last_s < MIN_CRASH_INTERVAL_S:
                    continue
                last_counted_s[part] = crash.at_s
                count = counts.setdefault(part, CrashCount())
                count.total += 1
                count.unexplained += not is_explained
                count.position = max(count.position, position)
        return counts
