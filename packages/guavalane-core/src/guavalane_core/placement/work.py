"""Work that all nodes have at each endpoint."""

from __future__ import annotations

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
        self._reports[node] = _Report(valid_until_s, loads)

    def total(self, endpoint_id: str, now_s: float) -> Load:
        """Returns the work of all nodes at an endpoint."""
        load = self.own(endpoint_id)
        for report in self._reports.values():
            if now_s <= report.valid_until_s:
                load += report.loads.get(endpoint_id, Load())
        return load
