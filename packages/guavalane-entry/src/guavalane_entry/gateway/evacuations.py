"""Availability zones that the operators evacuate."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from guavalane_core.objects import ObjectEvent, StoredObject
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.restore_period import RestorePeriod
from guavalane_entry.gateway.view import NodeView
from guavalane_entry.gateway.watch import KindSink

# Time for which a copy of a peer does not end an evacuation that this node has
# learned of, in seconds. Peers may learn of it later than this node by about
# 2 s, and their copies are read in less than 1 s.
COPY_LAG_S = 4.0


class EvacuationSink(KindSink):
    """Applies the watched evacuations, which are named after zones.

    After a return of the object API from an older copy, evacuations that it
    has lost stay in force until the operators have written them again. One
    that it has again, though it had ended, is in force until it is removed.

    Args:
      view: Shared state, which is updated.
      log: Decision log.
    """

    def __init__(self, view: NodeView, log: DecisionLog) -> None:
        self._view = view
        self._log = log
        self._listed: set[str] = set()
        # Zones in force with the monotonic time since when, and their objects.
        self._since_s: dict[str, float] = {}
        self._objects: dict[str, StoredObject] = {}
        self._restore_period = RestorePeriod(view.timers, self._drop_missing)

    def to_copy(
        self, objects: Mapping[str, StoredObject]
    ) -> Iterable[StoredObject]:
        """Returns the objects that a peer gets, with those kept in force."""
        return {**self._objects, **objects}.values()

    def on_restored(self) -> None:
        """Starts the time in which evacuations are written again."""
        self._restore_period.begin()

    def replace_all(self, objects: list[StoredObject]) -> None:
        """Replaces all objects with a complete list."""
        self._list(objects)
        if not self._restore_period.is_active:
            self._drop_missing()

    def merge(self, objects: list[StoredObject]) -> None:
        """Merges the list of a peer, which may be outdated."""
        self._list(objects)
        if not self._restore_period.is_active:
            learned_s = self._view.timers.now() - COPY_LAG_S
            self._drop(
                zone
                for zone, since_s in self._since_s.items()
                if zone not in self._listed and since_s <= learned_s
            )

    def apply(self, event: ObjectEvent) -> None:
        """Applies one change."""
        zone = event.object.name
        if event.deleted:
            self._listed.discard(zone)
            self._drop([zone])
        else:
            self._listed.add(zone)
            self._put([event.object])

    def _list(self, objects: list[StoredObject]) -> None:
        self._listed = {stored.name for stored in objects}
        self._put(objects)

    def _drop_missing(self) -> None:
        self._drop(set(self._since_s) - self._listed)

    def _put(self, objects: Collection[StoredObject]) -> None:
        now_s = self._view.timers.now()
        for stored in objects:
            if stored.name not in self._since_s:
                self._log_change(stored.name, in_force=True)
            self._since_s.setdefault(stored.name, now_s)
            self._objects[stored.name] = stored
        self._view.update_evacuated(self._since_s.keys())

    def _drop(self, zones: Iterable[str]) -> None:
        for zone in list(zones):
            if self._since_s.pop(zone, None) is not None:
                self._log_change(zone, in_force=False)
            self._objects.pop(zone, None)
        self._view.update_evacuated(self._since_s.keys())

    def _log_change(self, zone: str, *, in_force: bool) -> None:
        self._log.event("zone.evacuated", zone=zone, in_force=in_force)
