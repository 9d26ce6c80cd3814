"""Work that all nodes have at each endpoint."""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class Load:
    """Work at one endpoint.

    Attributes:
      requests: Requests that have not ended.
      prefill_tokens: Prompt tokens that are not known to be read.
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
    """One attempt of this node at an endpoint.

    Attributes:
      endpoint_id: Endpoint.
      prefill_tokens: Prompt tokens that the endpoint has to read; 0 once its
          answer has begun.
    """

    endpoint_id: str
    prefill_tokens: int = 0


@attrs.frozen
class _Report:
    valid_until_s: float
    loads: dict[str, Load]


class WorkTable:
    """Sums the work of this node and the reports of the others."""

    def __init__(self) -> None:
        self._own: dict[str, set[Work]] = {}
        self._reports: dict[str, _Report] = {}
        # Sum of the reports by endpoint. Among many nodes, a sum for each
        # endpoint and request would cost more than the request.
        self._reported: dict[str, Load] = {}
        self._expired_s = -math.inf
        # Work of the other nodes as a relay told it, and until when it holds.
        self._relayed: dict[str, Load] = {}
        self._relayed_until_s = -math.inf

    def start(self, endpoint_id: str, prefill_tokens: int = 0) -> Work:
        """Adds an attempt of this node and returns its entry."""
        work = Work(endpoint_id, prefill_tokens)
        self._own.setdefault(endpoint_id, set()).add(work)
        return work

    def finish(self, work: Work) -> None:
        """Removes an attempt of this node; it is safe to call twice."""
        entries = self._own.get(work.endpoint_id)
        if entries is None:
            return
        entries.discard(work)
        if not entries:
            del self._own[work.endpoint_id]

    def own(self, endpoint_id: str) -> Load:
        """Returns the work of this node at an endpoint."""
        entries = self._own.get(endpoint_id, ())
        return Load(
            len(entries), sum(entry.prefill_tokens for entry in entries)
        )

    def own_loads(self) -> dict[str, Load]:
        """Returns the work of this node by endpoint."""
        return {endpoint_id: self.own(endpoint_id) for endpoint_id in self._own}

    def report(
        self, node: str, loads: dict[str, Load], valid_until_s: float
    ) -> None:
        """Replaces the reported work of another node.

        Args:
          node: Name of the node.
          loads: Its work by endpoint.
          valid_until_s: Time after which the work is taken as ended.
        """
        self._drop(node)
        self._reports[node] = _Report(valid_until_s, loads)
        for endpoint_id, load in loads.items():
            known = self._reported.get(endpoint_id, NO_LOAD)
            self._reported[endpoint_id] = known + load

    def relay(self, loads: dict[str, Load], valid_until_s: float) -> None:
        """Takes the work of all other nodes; it goes before their reports.

        Args:
          loads: Work by endpoint.
          valid_until_s: Time after which reports count again.
        """
        self._relayed = loads
        self._relayed_until_s = valid_until_s

    def totals(self, now_s: float) -> dict[str, Load]:
        """Returns the work of all nodes by endpoint."""
        names = self._own.keys() | self._reported.keys()
        return {name: self.total(name, now_s) for name in names}

    def total(self, endpoint_id: str, now_s: float) -> Load:
        """Returns the work of all nodes at an endpoint."""
        if now_s <= self._relayed_until_s:
            others = self._relayed.get(endpoint_id, NO_LOAD)
            return self.own(endpoint_id) + others
        if now_s != self._expired_s:
            self._expired_s = now_s
            self._expire(now_s)
        return self.own(endpoint_id) + self._reported.get(endpoint_id, NO_LOAD)

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
