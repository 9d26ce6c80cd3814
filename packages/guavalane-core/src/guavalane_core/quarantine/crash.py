"""Crashes of endpoint processes, and those that happen at the same time."""

from __future__ import annotations

from collections.abc import Collection, Container, Iterable, Iterator

import attrs

from guavalane_core.quarantine.parts import is_request

# Crashes within this time of the first one have a common cause, in seconds: the
# loss of an availability zone crashes many endpoints at once.
SIMULTANEOUS_S = 0.1
# Crashes at the same time that may have different causes.
MAX_COINCIDENT_CRASHES = 2


@attrs.define
class Crash:
    """Crash of one endpoint process.

    Attributes:
      process: Endpoint process, which differs between its restarts.
      at_s: Monotonic time of the crash, in seconds.
      parts: Parts of the requests that the endpoint was about to answer, with
          their positions in the requests. One of them may have caused the
          crash.
    """

    process: str
    at_s: float
    parts: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class CrashGroup:
    """Crashes that happen at the same time.

    Attributes:
      at_s: Monotonic time of the first one, in seconds.
      processes: Number of crashed endpoint processes.
      presence: Number of these at which each part was present.
      positions: Largest position of each part in a request.
    """

    at_s: float
    processes: int = 0
    presence: dict[str, int] = attrs.field(factory=dict)
    positions: dict[str, int] = attrs.field(factory=dict)

    def add(self, crash: Crash, ignored: Container[str] = ()) -> None:
        """Adds a crash to the group, without the parts that are ignored."""
        self.processes += 1
        for part, position in crash.parts.items():
            if part in ignored:
                continue
            self.presence[part] = self.presence.get(part, 0) + 1
            self.positions[part] = max(position, self.positions.get(part, 0))

    def has_any(self, parts: Collection[str]) -> bool:
        """Returns whether one of the parts was present."""
        return any(part in parts for part in self.presence)

    def requests(self) -> Iterator[str]:
        """Yields the requests that were present."""
        return filter(is_request, self.presence)

    def common_parts(self) -> Iterator[str]:
        """Yields the parts that may have caused the crashes.

        A part that causes a crash is present at it. The other one of two
        crashes may have another cause by chance. More at a time have one cause,
        such as the loss of a zone, and popular parts are present at most. A
        single request is seldom present by chance.
        """
        has_one_cause = self.processes > MAX_COINCIDENT_CRASHES
        for part, present in self.presence.items():
            is_at_all = present == self.processes
            if is_at_all or not has_one_cause or is_request(part):
                yield part


def group_crashes(
    crashes: Iterable[Crash], ignored: Container[str] = ()
) -> Iterator[CrashGroup]:
    """Yields the crashes by the time at which they happened, in order.

    Args:
      crashes: Crashes.
      ignored: Parts that are left out.
    """
    group: CrashGroup | None = None
    for crash in sorted(crashes, key=lambda crash: crash.at_s):
        if group is None or crash.at_s - group.at_s > SIMULTANEOUS_S:
            if group is not None:
                yield group
            group = CrashGroup(crash.at_s)
        group.add(crash, ignored)
    if group is not None:
        yield group
