"""Prompt parts in quarantine, as known to one node."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import attrs

from guavalane_core.forwarding.request import Prompt
from guavalane_core.quarantine.evidence import CrashCount, CrashEvidence

# Separate crashes without any success after which a part is quarantined.
CRASHES_TO_QUARANTINE = 3
# Crashes from which on a part is a suspect: its requests are not repeated.
CRASHES_TO_SUSPECT = 2
# Delay before each trial of a quarantined part, in seconds; the last one
# applies to all further trials. A trial may cost an endpoint.
TRIAL_DELAYS_S = (60.0, 1800.0, 86_400.0)
MAX_QUARANTINES = 256
MS_PER_S = 1000


@attrs.frozen
class Quarantine:
    """Prompt part that crashed endpoints and is not sent to any for now.

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
        self._suspects: set[str] = set()

    @property
    def evidence(self) -> CrashEvidence:
        """Crashes and successes."""
        return self._evidence

    @property
    def quarantines(self) -> Mapping[str, Quarantine]:
        """Quarantines by part."""
        return self._quarantines

    def find(self, prompt: Prompt | None) -> Quarantine | None:
        """Returns the quarantine that applies to a prompt, if any."""
        if prompt is None or not self._quarantines:
            return None
        for part_id in prompt.shared_parts:
            if part_id in self._quarantines:
                return self._quarantines[part_id]
        return None

    def is_suspect(self, prompt: Prompt | None) -> bool:
        """Returns whether a prompt contains a suspect or quarantined part."""
        return prompt is not None and self.has_suspect(prompt.shared_parts)

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
            part = _most_specific(counts)
            if part is None:
                break
            first_trial_ms = now_ms + int(TRIAL_DELAYS_S[0] * MS_PER_S)
            crashes = counts[part].total
            quarantine = Quarantine(part, now_ms, crashes, 0, first_trial_ms)
            self._quarantines[part] = quarantine
            self._since_s[part] = now_s
            added.append(quarantine)
            counts = self._evidence.count_crashes(now_s, self._quarantines)
        self._suspects = {
            part
            for part, count in counts.items()
            if count.unexplained and count.total >= CRASHES_TO_SUSPECT
        }
        return added

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
        ended_s = max(
            self._evidence.last_success_s(part),
            self._evidence.last_cleared_s(part),
        )
        if ended_s > since_s:
            return False
        known = self._quarantines.get(part)
        if known is not None:
            if quarantine.trials > known.trials:
                self._quarantines[part] = quarantine
            return False
        if len(self._quarantines) >= MAX_QUARANTINES:
            return False
        self._quarantines[part] = quarantine
        self._since_s[part] = since_s
        return True

    def on_success(self, part: str, at_s: float) -> Quarantine | None:
        """Records a success of a part and returns the quarantine it ends.

        A success from before the quarantine does not end it.
        """
        self._evidence.add_success(part, at_s)
        self._suspects.discard(part)
        if at_s < self._since_s.get(part, math.inf):
            return None
        return self.release(part, at_s)

    def release(self, part: str, at_s: float) -> Quarantine | None:
        """Ends a quarantine; only crashes after the time count from then on.

        Args:
          part: Part.
          at_s: Monotonic time in seconds.
        """
        self._evidence.clear_part(part, at_s)
        self._since_s.pop(part, None)
        return self._quarantines.pop(part, None)


def _most_specific(counts: Mapping[str, CrashCount]) -> str | None:
    """Returns the next part to quarantine, if any.

    Parts that occur in the same prompts are equally suspect. The one at the
    last position belongs to the fewest prompts. If it is the wrong one, the
    first crash without it decides, as the earlier ones still count.
    """
    due = [
        (count.position, count.total, part)
        for part, count in counts.items()
        if count.unexplained and count.total >= CRASHES_TO_QUARANTINE
    ]
    return max(due)[2] if due else None
