"""Prompt parts that endpoints are expected to hold."""

from __future__ import annotations

from collections import OrderedDict

from guavalane_core.forwarding.request import Prompt

# Pairs of part and endpoint that are kept, about 200 bytes each.
MAX_ENTRIES = 20_000
# An endpoint is expected to keep a part for this time after its last use, in
# seconds.
LIFE_S = 30.0
# Parts of one period that are told to other nodes; a report fits a datagram.
MAX_REPORTED_PARTS = 24


class PrefixDirectory:
    """Remembers which endpoint last read which prompt part.

    It is told of the dispatches of this node and of the reports of others.
    """

    def __init__(self) -> None:
        self._used: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._new: list[tuple[str, str]] = []
        self._told: list[tuple[str, str]] = []

    def __len__(self) -> int:
        return len(self._used)

    def record(self, endpoint_id: str, prompt: Prompt, now_s: float) -> None:
        """Notes that an endpoint reads a prompt."""
        for part in prompt.parts:
            self.record_part(endpoint_id, part.part_id, now_s)
            if len(self._new) < MAX_REPORTED_PARTS:
                self._new.append((endpoint_id, part.part_id))

    def take_unreported(self) -> list[tuple[str, str]]:
        """Returns the pairs of endpoint and part to tell other nodes.

        Each pair is returned by two calls, as a report may be lost.
        """
        recent = self._told + self._new
        self._told, self._new = self._new, []
        return recent

    def record_part(self, endpoint_id: str, part_id: str, now_s: float) -> None:
        """Notes that an endpoint has read a part."""
        key = (endpoint_id, part_id)
        self._used[key] = now_s
        self._used.move_to_end(key)
        if len(self._used) > MAX_ENTRIES:
            self._used.popitem(last=False)

    def cached_tokens(
        self, endpoint_id: str, prompt: Prompt, now_s: float
    ) -> int:
        """Returns the tokens of a prompt that an endpoint need not read.

        A part counts only if all parts before it count as well.
        """
        tokens = 0
        for part in prompt.parts:
            used_s = self._used.get((endpoint_id, part.part_id))
            if used_s is None or now_s - used_s > LIFE_S:
                break
            tokens += part.tokens
        return min(tokens, prompt.input_tokens)

    def forget(self, endpoint_id: str) -> None:
        """Drops what was known of an endpoint that left or restarted."""
        for key in [key for key in self._used if key[0] == endpoint_id]:
            del self._used[key]
