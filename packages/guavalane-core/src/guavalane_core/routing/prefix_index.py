"""Index of the prompt prefixes that endpoints are expected to have cached."""

from __future__ import annotations

import enum
import math
from collections import OrderedDict
from collections.abc import Collection, Sequence

import attrs

# Maximum number of (block, endpoint) entries, about 500 bytes each. The control
# plane's memory budget is 64 MB per node.
MAX_ENTRIES = 16_384
# Only the most recent endpoints of a block are kept, because lookup time grows
# with their number and the policy compares only a few.
MAX_ENDPOINTS_PER_BLOCK = 6
# Half-life of the confidence in an entry, in seconds. The engine may have
# evicted the block, and the removal event may have been lost.
HALF_LIFE_S = 300.0
# Older stored events are ignored, because the cache may have changed since. In
# seconds.
MAX_EVENT_AGE_S = 2.0
# Multiplied into the confidence for each gap in an endpoint's event sequence.
GAP_CONFIDENCE_FACTOR = 0.5
NEVER_S = -math.inf


class CacheChange(enum.Enum):
    """Type of a prefix cache event."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@attrs.frozen
class CacheEvent:
    """Event of an engine's prefix cache.

    Attributes:
      endpoint: Name of the endpoint.
      sequence: Sequence number, incremented for each event of the endpoint.
      change: Type of the event.
      blocks: Digests of the affected blocks; empty for `CLEARED`.
      at_s: Monotonic time of the change, in seconds.
    """

    endpoint: str
    sequence: int
    change: CacheChange
    blocks: tuple[int, ...]
    at_s: float


@attrs.define
class _EndpointState:
    sequence: int = -1
    gaps: int = 0
    # Whether any response reported cached tokens. An engine that never does may
    # not support the field.
    reports_cached_tokens: bool = False
    # Last known use of a block that the engine has since evicted. Engines evict
    # the least recently used block first, and a restart clears the cache, so
    # blocks last used at or before this time are evicted as well.
    evicted_until_s: float = NEVER_S


@attrs.frozen(eq=False)
class _CacheEntry:
    """Evidence that an endpoint has cached a block.

    Attributes:
      recorded_s: Time of the dispatch, event or response.
      gaps: Number of event gaps of the endpoint at that time.
      confirmed_at_s: Time at which a response last confirmed that the block was
          cached.
    """

    recorded_s: float
    gaps: int
    confirmed_at_s: float = NEVER_S


class PrefixIndex:
    """Estimates how much of a prompt each endpoint has cached.

    Entries are added for this node's dispatches, for the cached tokens that
    responses report, and for stored events that arrive in order and in time.
    Late events and gaps can only lower the estimate.

    Args:
      max_entries: Maximum number of (block, endpoint) entries.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        # Entries by block and endpoint, in order of last use.
        self._blocks: OrderedDict[int, dict[str, _CacheEntry]] = OrderedDict()
        self._states: dict[str, _EndpointState] = {}
        self._entry_count = 0

    @property
    def entry_count(self) -> int:
        """Current number of (block, endpoint) entries."""
        return self._entry_count

    def record(
        self, endpoint: str, blocks: Collection[int], now_s: float
    ) -> None:
        """Records that an endpoint computes blocks."""
        self._record(endpoint, blocks, now_s, NEVER_S)

    def _record(
        self,
        endpoint: str,
        blocks: Collection[int],
        now_s: float,
        confirmed_at_s: float,
    ) -> None:
        state = self._states.setdefault(endpoint, _EndpointState())
        new_entry = _CacheEntry(now_s, state.gaps, confirmed_at_s)
        for block in blocks:
            entries = self._blocks.get(block)
            if entries is None:
                entries = self._blocks[block] = {}
            else:
                self._blocks.move_to_end(block)
            entry = entries.get(endpoint)
            if entry is None:
                if len(entries) >= MAX_ENDPOINTS_PER_BLOCK:
                    del entries[_least_recent(entries)]
                else:
                    self._entry_count += 1
            # Blocks of one call share an entry object where possible, which
            # saves memory and speeds up lookups.
            latest_s = max(
                confirmed_at_s,
                NEVER_S if entry is None else entry.confirmed_at_s,
            )
            if new_entry.confirmed_at_s != latest_s:
                new_entry = _CacheEntry(now_s, state.gaps, latest_s)
            entries[endpoint] = new_entry
        while self._entry_count > self._max_entries:
            _, entries = self._blocks.popitem(last=False)
            self._entry_count -= len(entries)

    def on_answer(
        self,
        endpoint: str,
        blocks: Sequence[int],
        max_cached_blocks: int,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Applies the number of cached tokens that a response reports.

        The engine has computed the whole prompt, so all of its blocks are
        recorded. A block that was confirmed earlier but was not cached for
        this request shows that the engine has evicted blocks of that age.

        Args:
          endpoint: Name of the endpoint.
          blocks: Digests of the prompt's blocks, from the start.
          max_cached_blocks: Upper bound on the number of leading blocks that
              were cached.
          sent_s: Monotonic time at which the request was sent.
          now_s: Monotonic time in seconds.
        """
        state = self._states.get(endpoint)
        if state is None:
            # The endpoint was removed meanwhile, so the response comes from a
            # previous engine process.
            return
        state.reports_cached_tokens |= max_cached_blocks > 0
        if state.reports_cached_tokens and max_cached_blocks < len(blocks):
            entries = self._blocks.get(blocks[max_cached_blocks], {})
            entry = entries.get(endpoint)
            # A block confirmed after this request was sent may have been
            # computed by a concurrent request.
            if entry is not None and entry.confirmed_at_s < sent_s:
                state.evicted_until_s = max(
                    state.evicted_until_s, entry.confirmed_at_s
                )
        self._record(endpoint, blocks, now_s, now_s)

    def drop(self, endpoint: str, blocks: Collection[int]) -> None:
        """Removes the entries of an endpoint for blocks."""
        for block in blocks:
            entries = self._blocks.get(block)
            if entries is None or endpoint not in entries:
                continue
            del entries[endpoint]
            self._entry_count -= 1
            if not entries:
                del self._blocks[block]

    def forget(self, endpoint: str) -> None:
        """Removes all entries and the event state of an endpoint."""
        self._clear(endpoint)
        self._states.pop(endpoint, None)

    def _clear(self, endpoint: str) -> None:
        blocks = [b for b, h in self._blocks.items() if endpoint in h]
        self.drop(endpoint, blocks)

    def on_event(self, event: CacheEvent, now_s: float) -> None:
        """Applies a cache event, which may arrive late or out of order."""
        state = self._states.setdefault(event.endpoint, _EndpointState())
        in_order = event.sequence > state.sequence
        if in_order:
            # There is no gap before the first event of an endpoint.
            missed_events = event.sequence - state.sequence - 1
            if missed_events and state.sequence >= 0:
                state.gaps += 1
            state.sequence = event.sequence
        if event.change is CacheChange.CLEARED:
            self._clear(event.endpoint)
        elif event.change is CacheChange.REMOVED:
            self.drop(event.endpoint, event.blocks)
        elif in_order and now_s - event.at_s <= MAX_EVENT_AGE_S:
            self.record(event.endpoint, event.blocks, event.at_s)

    def cached_blocks(
        self, blocks: Sequence[int], now_s: float
    ) -> dict[str, float]:
        """Returns the expected number of leading blocks that are cached.

        Args:
          blocks: Digests of the prompt's blocks, from the start.
          now_s: Monotonic time in seconds.

        Returns:
          Expected number of blocks by endpoint. Endpoints without entries are
          omitted.
        """
        expected: dict[str, float] = {}
        # A block is usable only if all preceding blocks are cached, so the
        # confidence never increases along the prompt.
        confidence: dict[str, tuple[float, _CacheEntry | None]] | None = None
        for block in blocks:
            entries = self._blocks.get(block)
            if entries is None:
                break
            if confidence is None:
                confidence = dict.fromkeys(entries, (1.0, None))
            remaining = {}
            for endpoint, (value, last) in confidence.items():
                entry = entries.get(endpoint)
                if entry is None:
                    continue
                # Blocks of one dispatch share an entry and its confidence.
                if entry is not last:
                    value = min(value, self._confidence(endpoint, entry, now_s))
                remaining[endpoint] = (value, entry)
                expected[endpoint] = expected.get(endpoint, 0.0) + value
            if not remaining:
                break
            confidence = remaining
        return expected

    def _confidence(
        self, endpoint: str, entry: _CacheEntry, now_s: float
    ) -> float:
        state = self._states[endpoint]
        missed_events = state.gaps - entry.gaps
        if entry.recorded_s <= state.evicted_until_s:
            return 0.0
        age_factor = 0.5 ** (max(0.0, now_s - entry.recorded_s) / HALF_LIFE_S)
        return age_factor * GAP_CONFIDENCE_FACTOR**missed_events


def _least_recent(entries: dict[str, _CacheEntry]) -> str:
    return min(entries, key=lambda endpoint: entries[endpoint].recorded_s)
