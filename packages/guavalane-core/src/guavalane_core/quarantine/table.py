"""Parts of requests in quarantine, as known to one node."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import attrs

from guavalane_core.quarantine.evidence import CrashCount, CrashEvidence
from guavalane_core.quarantine.parts import (
    RequestHeads,
    RequestParts,
    is_request,
)

# Separate crashes without a success in between after which a part is
# quarantined.
CRASHES_TO_QUARANTINE = 3
# The same for a part that was absent from a third, or from half, of the
# crashes of that time: chance explains those of a popular part.
CRASHES_IF_OFTEN_ABSENT = 4
CRASHES_IF_MOSTLY_ABSENT = 6
# Number of crashes that suffices if they follow each other more quickly.
QUICK_CRASHES_TO_QUARANTINE = 5
# Crashes at which a request was present, without a success in between, after
# which it is quarantined, and least number of their times: a request that many
# callers send runs at several endpoints when a zone is lost. Crashes without it
# do not matter: unlike a shared part, it is seldom present by chance.
REQUEST_CRASHES_TO_QUARANTINE = 3
MIN_REQUEST_CRASH_TIMES = 2
# Minimum share of the crashes of the time at which a part has to be present.
MIN_PRESENCE = 0.15
# Successes since the last crash that end a quarantine without a trial.
SUCCESSES_TO_RELEASE = 3
# Crashes from which on a part is a suspect: its requests are not repeated.
# Crashes of a request count also if they follow each other at once.
CRASHES_TO_SUSPECT = 2
# Delay before each trial of a quarantined part, in seconds; the last one
# applies to all further trials. A trial may cost an endpoint.
TRIAL_DELAYS_S = (60.0, 1800.0, 86_400.0)
MAX_QUARANTINES = 256
MS_PER_S = 1000


@attrs.frozen
class Quarantine:
    """Part of requests that crashed endpoints and is not sent to any for now.

    Attributes:
      part_id: Identifier of the part.
      since_ms: Start of the quarantine, in milliseconds since the epoch.
      crashes: Separate crashes of endpoints that led to it.
      trials: Requests with the part that were sent since then on purpose.
      next_trial_ms: Time from which on another one may be sent, in
          milliseconds since the epoch.
    """

    part_id: str
    since_ms: int
    crashes: int
    trials: int
    next_trial_ms: int

    def begin_trial(self, now_ms: int) -> Quarantine:
        """Returns the quarantine after one more trial."""
        trials = self.trials + 1
        delay_s = TRIAL_DELAYS_S[min(trials, len(TRIAL_DELAYS_S) - 1)]
        return attrs.evolve(
            self,
            trials=trials,
            next_trial_ms=now_ms + int(delay_s * MS_PER_S),
        )


class QuarantineTable:
    """Decides which parts are in quarantine.

    Every node decides by itself from the evidence of all nodes, so that a
    decision takes no agreement.
    """

    def __init__(self) -> None:
        self._evidence = CrashEvidence()
        self._quarantines: dict[str, Quarantine] = {}
        # Monotonic start of each quarantine, in seconds.
        self._since_s: dict[str, float] = {}
        self._heads = RequestHeads()
        self._suspects: set[str] = set()

    @property
    def evidence(self) -> CrashEvidence:
        """Crashes and successes."""
        return self._evidence

    @property
    def quarantines(self) -> Mapping[str, Quarantine]:
        """Quarantines by part."""
        return self._quarantines

    def known_parts(self, parts: RequestParts) -> tuple[str, ...]:
        """Returns the parts of a request of which anything may be known.

        The digest of a body is computed only if a request with the same head
        was present at a crash or is in quarantine.
        """
        known = (self._evidence.heads, self._heads)
        is_known = any(heads and parts.head in heads for heads in known)
        return parts.all if is_known else parts.shared

    def find(self, parts: RequestParts) -> Quarantine | None:
        """Returns the quarantine that applies to a request, if any."""
        if not self._quarantines:
            return None
        for part_id in self.known_parts(parts):
            if part_id in self._quarantines:
                return self._quarantines[part_id]
        return None

    def is_suspect(self, parts: RequestParts) -> bool:
        """Returns whether a request has a suspect or quarantined part."""
        if not self._suspects and not self._quarantines:
            return False
        return self.has_suspect(self.known_parts(parts))

    def has_open_crash(self, parts: RequestParts) -> bool:
        """Returns whether a crash counts against a part of a request."""
        return any(map(self._evidence.has_open_crash, self.known_parts(parts)))

    def has_suspect(self, parts: Collection[str]) -> bool:
        """Returns whether one of the parts is a suspect or quarantined."""
        return any(
            part in self._suspects or part in self._quarantines
            for part in parts
        )

    def update(self, now_s: float, now_ms: int) -> list[Quarantine]:
        """Evaluates the evidence and returns the new quarantines.

        Args:
          now_s: Monotonic time in seconds.
          now_ms: Time of day in milliseconds since the epoch.
        """
        added = []
        counts = self._evidence.count_crashes(now_s, self._quarantines)
        while len(self._quarantines) < MAX_QUARANTINES:
            part = _choose_cause(counts)
            if part is None:
                break
            first_trial_ms = now_ms + int(TRIAL_DELAYS_S[0] * MS_PER_S)
            crashes = counts[part].separate
            quarantine = Quarantine(part, now_ms, crashes, 0, first_trial_ms)
            self._add(quarantine, now_s)
            added.append(quarantine)
            counts = self._evidence.count_crashes(now_s, self._quarantines)
        self._suspects = {
            part
            for part, count in counts.items()
            if count.unexplained and _is_suspect(part, count)
        }
        return added

    def _add(self, quarantine: Quarantine, since_s: float) -> None:
        part = quarantine.part_id
        self._quarantines[part] = quarantine
        self._since_s[part] = since_s
        self._heads.add(part)

    def release_superseded(self, now_s: float) -> list[Quarantine]:
        """Ends the quarantines of parts that another one explains.

        A part that occurs together with the cause can be quarantined before it.

        Args:
          now_s: Monotonic time in seconds.
        """
        released = []
        while True:
            shared = self._evidence.count_shared(now_s, self._quarantines)
            if not shared:
                return released
            part = min(shared, key=lambda p: (is_request(p), shared[p], p))
            released.append(self._quarantines[part])
            self.release(part, now_s)

    def adopt(self, quarantine: Quarantine, now_s: float, now_ms: int) -> bool:
        """Applies a quarantine of another node or of the object API.

        Args:
          quarantine: Quarantine.
          now_s: Monotonic time in seconds.
          now_ms: Time of day in milliseconds since the epoch.

        Returns:
          Whether it was not in force before.
        """
        part = quarantine.part_id
        since_s = now_s - (now_ms - quarantine.since_ms) / MS_PER_S
        if self._evidence.last_cleared_s(part) > since_s:
            return False
        known = self._quarantines.get(part)
        if known is not None:
            if quarantine.trials > known.trials:
                self._quarantines[part] = quarantine
            return False
        if len(self._quarantines) >= MAX_QUARANTINES:
            return False
        self._add(quarantine, since_s)
        return True

    def on_success(
        self,
        part: str,
        at_s: float,
        source: str = "",
        count: int | None = None,
    ) -> Quarantine | None:
        """Records a success of a part and returns the quarantine it ends.

        The success of a trial ends it, and so do several since the last crash:
        one of them can be a sound request with a crashing part.

        Args:
          part: Part.
          at_s: Monotonic time at which the output began, in seconds.
          source: Node that served it.
          count: Successes of that node since the last crash with the part; None
              for one more.
        """
        evidence = self._evidence
        evidence.add_success(part, at_s, source, count)
        self._suspects.discard(part)
        quarantine = self._quarantines.get(part)
        if quarantine is None or at_s <= self._proven_until_s(part):
            return None
        successes = evidence.successes_in_a_row(part)
        if successes < SUCCESSES_TO_RELEASE and not quarantine.trials:
            return None
        return self.release(part, at_s)

    def _proven_until_s(self, part: str) -> float:
        """Returns the time up to which no success ends a quarantine.

        Output that began after the last crash can end it, also if the
        quarantine started between the two.
        """
        since_s = self._since_s.get(part, math.inf)
        last_crash_s = self._evidence.last_crash_s(part)
        return since_s if last_crash_s is None else min(since_s, last_crash_s)

    def release(self, part: str, at_s: float) -> Quarantine | None:
        """Ends a quarantine; only crashes after the time count from then on.

        Args:
          part: Part.
          at_s: Monotonic time in seconds.
        """
        self._evidence.clear_part(part, at_s)
        self._since_s.pop(part, None)
        ended = self._quarantines.pop(part, None)
        if ended is not None:
            self._heads.remove(part)
        return ended


def _is_suspect(part: str, count: CrashCount) -> bool:
    """Returns whether the crashes against a part make it a suspect."""
    crashes = count.processes if is_request(part) else count.separate
    return crashes >= CRASHES_TO_SUSPECT


def _choose_cause(counts: Mapping[str, CrashCount]) -> str | None:
    """Returns the next part to quarantine, if any.

    A single request comes first, as its quarantine affects no other one. Of the
    shared parts it is the one that explains the most crashes. Parts that occur
    in the same prompts are equally suspect. The one at the last position
    belongs to the fewest prompts. If it is the wrong one, the first crash
    without it decides, as the earlier ones still count.
    """
    due = [
        (is_request(part), count.moments, count.processes, count.position, part)
        for part, count in counts.items()
        if _is_due(part, count)
    ]
    return max(due)[-1] if due else None


def _is_due(part: str, count: CrashCount) -> bool:
    """Returns whether the crashes against a part suffice for a quarantine."""
    if not count.unexplained:
        return False
    if is_request(part):
        return (
            count.processes >= REQUEST_CRASHES_TO_QUARANTINE
            and count.moments >= MIN_REQUEST_CRASH_TIMES
        )
    if count.moments < MIN_PRESENCE * (count.moments + count.others):
        return False
    if count.moments >= QUICK_CRASHES_TO_QUARANTINE > count.others:
        return True
    if count.moments >= 2 * count.others:
        return count.separate >= CRASHES_TO_QUARANTINE
    if count.moments >= count.others:
        return count.separate >= CRASHES_IF_OFTEN_ABSENT
    return count.separate >= CRASHES_IF_MOSTLY_ABSENT
