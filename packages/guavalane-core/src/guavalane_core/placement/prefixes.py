"""Prompt parts that endpoints are expected to have cached."""

from __future__ import annotations

from collections import OrderedDict

from guavalane_core.forwarding.request import Prompt

# Maximum number of (endpoint, part) entries, about 200 bytes each.
MAX_ENTRIES = 20_000
# How long an endpoint is expected to cache a part after its last use, in
# seconds.
ENTRY_TTL_S = 30.0
# Maximum number of new parts per report, so that a report fits in one datagram.
MAX_REPORTED_PARTS = 24


class PrefixDirectory:
    """Records which endpoints processed which prompt parts recently.

    Entries come from this node's dispatches and from the reports of other
    nodes.
    """

    def __init__(self) -> None:
        self._used: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._unreported: list[tuple[str, str]] = []
        self._reported_once: list[tuple[str, str]] = []

    def __len__(self) -> int:
        return len(self._used)

    def record(self, endpoint_id: str, prompt: Prompt, now_s: float) -> None:
        """Records that a prompt is dispatched to an endpoint."""
        for part in prompt.parts:
            self.record_part(endpoint_id, part.part_id, now_s)
            if len(self._unreported) < MAX_REPORTED_PARTS:
                self._unreported.append((endpoint_id, part.part_id))

    def take_unreported(self) -> list[tuple[str, str]]:
        """Returns the (endpoint, part) pairs to report to other nodes.

        Each pair is returned by two consecutive calls, because a report can be
        lost.
        """
        recent = self._reported_once + self._unreported
        self._reported_once, self._unreported = self._unreported, []
        return recent

    def record_part(self, endpoint_id: str, part_id: str, now_s: float) -> None:
        """Records that an endpoint processed a part."""
        key = (endpoint_id, part_id)
        self._used[key] = now_s
        self._used.move_to_end(key)
        if len(self._used) > MAX_ENTRIES:
            self._used.popitem(last=False)

    def cached_tokens(
        self, endpoint_id: str, prompt: Prompt, now_s: float
    ) -> int:
        """Returns the number of prompt tokens that an endpoint has cached.

        A part counts only if all preceding parts are cached as well.
        """
        tokens = 0
        for part in prompt.parts:
            used_s = self._used.get((endpoint_id, part.part_id))
            if used_s is None or now_s - used_s > ENTRY_TTL_S:
                break
            tokens += part.tokens
        return min(tokens, prompt.input_tokens)

    def forget(self, endpoint_id: str) -> None:
        """Removes the entries of an endpoint that was removed or restarted."""
        for key in [key for key in self._used if key[0] == endpoint_id]:
            del self._used[key]
