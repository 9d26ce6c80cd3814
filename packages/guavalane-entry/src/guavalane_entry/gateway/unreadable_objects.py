"""Record of stored objects that cannot be read."""

from __future__ import annotations

import collections

from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.metrics import Metrics

# Objects that are remembered as logged. Further ones replace the oldest.
MAX_LOGGED_OBJECTS = 1000


class UnreadableObjects:
    """Logs each object that cannot be read once, and counts all reads of it.

    Args:
      log: Decision log.
      metrics: Metrics of the node.
    """

    def __init__(self, log: DecisionLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._logged: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

    def record(self, kind: str, name: str) -> None:
        """Records a read of an object that cannot be read."""
        self._metrics.count("unreadable_objects", kind)
        if (kind, name) in self._logged:
            return
        self._logged[kind, name] = None
        if len(self._logged) > MAX_LOGGED_OBJECTS:
            self._logged.popitem(last=False)
        self._log.event("object.unreadable", kind=kind, name=name)
