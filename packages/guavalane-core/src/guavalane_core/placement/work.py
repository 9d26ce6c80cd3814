"""Load of all nodes by endpoint."""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class Load:
    """Load of one endpoint.

    Attributes:
      requests: Requests in flight.
      prefill_tokens: Prompt tokens whose prefill has not been confirmed.
    """

    requests: int = 0
    prefill_tokens: int = 0

    def __add__(self, other: Load) -> Load:
        return Load(
            self.requests + other.requests,
            self.prefill_tokens + other.prefill_tokens,
        )

    def __sub__(self, other: Load) -> Load:
        return Load(
            self.requests - other.requests,
            self.prefill_tokens - other.prefill_tokens,
        )


NO_LOAD = Load()


@attrs.define(eq=False)
class Work:
    """One attempt that this node has in flight.

    Attributes:
      endpoint_id: Identifier of the endpoint.
      prefill_tokens: Prompt tokens that the endpoint has to process; 0 once
          the response has started.
    """

    endpoint_id: str
    prefill_tokens: int = 0


@attrs.frozen
class _Report:
    valid_until_s: float
    loads: dict[str, Load]


class WorkTable:
    """Sums the load of this node and the reported load of other nodes."""

    def __init__(self) -> None:
        self._own: dict[str, set[Work]] = {}
        self._reports: dict[str, _Report] = {}
        # Sum of the reports by endpoint. It is maintained incrementally,
        # because with many nodes, computing it for each endpoint and request
        # would cost more than the request itself.
        self._reported: dict[str, Load] = {}
        self._last_expiry_s = -math.inf
        # Load of the other nodes as reported by a relay, and its expiry time.
        self._relayed: dict[str, Load] = {}
        self._relayed_until_s = -math.inf

    def start(self, endpoint_id: str, prefill_tokens: int = 0) -> Work:
        """Adds an attempt of this node and returns its entry."""
        work = Work(endpoint_id, prefill_tokens)
        self._own.setdefault(endpoint_id, set()).add(work)
        return work

    def finish(self, work: Work) -> None:
        """Removes an attempt of this node. Repeated calls have no effect."""
        entries = self._own.get(work.endpoint_id)
        if entries is None:
            return
        entries.discard(work)
        if not entries:
            del self._own[work.endpoint_id]

    def own(self, endpoint_id: str) -> Load:
        """Returns the load of this node at an endpoint."""
        entries = self._own.get(endpoint_id)
        if entries is None:
            return NO_LOAD
        return Load(
            len(entries), sum(entry.prefill_tokens for entry in entries)
        )

    def own_requests(self, endpoint_id: str) -> int:
        """Returns the number of requests of this node at an endpoint."""
        return len(self._own.get(endpoint_id, ()))

    def own_loads(self) -> dict[str, Load]:
        """Returns the load of this node by endpoint."""
        return {endpoint_id: self.own(endpoint_id) for endpoint_id in self._own}

    def report(
        self, node: str, loads: dict[str, Load], valid_until_s: float
    ) -> None:
        """Replaces the reported load of another node.

        Args:
          node: Name of the node.
          loads: Load of the node by endpoint.
          valid_until_s: Monotonic time at which the report expires, in seconds.
        """
        report = _Report(valid_until_s, loads)
        last = self._reports.get(node)
        if last is not None and last.loads == loads:
            self._reports[node] = report
            return
        self._drop(node)
        self._reports[node] = report
        for endpoint_id, load in loads.items():
            known = self._reported.get(endpoint_id, NO_LOAD)
            self._reported[endpoint_id] = known + load

    def relay(self, loads: dict[str, Load], valid_until_s: float) -> None:
        """Sets the load of all other nodes as aggregated by a relay.

        Until it expires, it takes precedence over the reports of single nodes.

        Args:
          loads: Load by endpoint.
          valid_until_s: Monotonic time at which it expires, in seconds.
        """
        self._relayed = loads
        self._relayed_until_s = valid_until_s

    def totals(self, now_s: float) -> dict[str, Load]:
        """Returns the load of all nodes by endpoint."""
        names = self._own.keys() | self._reported.keys()
        return {name: self.total(name, now_s) for name in names}

    def total(self, endpoint_id: str, now_s: float) -> Load:
        """Returns the load of all nodes at an endpoint."""
        others = self._load_of_others(now_s).get(endpoint_id, NO_LOAD)
        # A node has no request at most endpoints of a large fleet.
        own = self.own(endpoint_id)
        return others if own is NO_LOAD else own + others

    def _load_of_others(self, now_s: float) -> dict[str, Load]:
        """Returns the load of all other nodes by endpoint."""
        if now_s <= self._relayed_until_s:
            return self._relayed
        if now_s != self._last_expiry_s:
            self._last_expiry_s = now_s
            self._expire(now_s)
        return self._reported

    def _expire(self, now_s: float) -> None:
        expired = [
            node
            for node, report in self._reports.items()
            if now_s > report.valid_until_s
        ]
        for node in expired:
            self._drop(node)

    def _drop(self, node: str) -> None:
        report = self._reports.pop(node, None)
        if report is None:
            return
        for endpoint_id, load in report.loads.items():
            left = self._reported[endpoint_id] - load
            if left == NO_LOAD:
                del self._reported[endpoint_id]
            else:
                self._reported[endpoint_id] = left
