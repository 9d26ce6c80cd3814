"""Sinks that apply watched objects to the state of a node."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Generic, TypeVar

import attrs

from guavalane_core.exceptions import ConfigurationError
from guavalane_core.forwarding import (
    Endpoint,
    ForwardingConfiguration,
    VersionMove,
)
from guavalane_core.objects import ObjectEvent, StoredObject
from guavalane_core.objects.relays import RelayCandidate
from guavalane_core.timers import Subscription
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.restore_period import RestorePeriod
from guavalane_entry.gateway.settings import Address
from guavalane_entry.gateway.view import NodeView
from guavalane_entry.gateway.watch import KindSink

ConfigurationDecoder = Callable[[StoredObject], ForwardingConfiguration]
T = TypeVar("T")
# Longest logged reason for ignoring an object, in characters.
MAX_REASON_LENGTH = 500
MS_PER_S = 1000
# Larger sizes of a VM are taken for unknown.
MAX_SIZE = 1e9
EndpointDecoder = Callable[[StoredObject], Endpoint]
MoveDecoder = Callable[[StoredObject], VersionMove]


class _DecodingSink(KindSink, Generic[T]):
    """Sink for objects that are decoded by a platform function.

    Args:
      view: Shared state, which is updated.
      decode: Function that decodes a stored object; raises
          `ConfigurationError` if the object is invalid.
      log: Decision log.
    """

    def __init__(
        self,
        view: NodeView,
        decode: Callable[[StoredObject], T],
        log: DecisionLog,
    ) -> None:
        self._view = view
        self._decode = decode
        self._log = log

    def _log_ignored(self, name: str, reason: str) -> None:
        """Logs that an invalid object is ignored."""
        raise NotImplementedError

    def _decode_or_none(self, stored: StoredObject) -> T | None:
        """Decodes an object; returns None and logs it if it is invalid."""
        try:
            return self._decode(stored)
        except ConfigurationError as error:
            reason = str(error)
        except Exception as error:
            # A defect of the decoder must not hide the other objects.
            reason = repr(error)
        self._log_ignored(stored.name, reason[:MAX_REASON_LENGTH])
        return None


class ConfigurationSink(_DecodingSink[ForwardingConfiguration]):
    """Applies each newer configuration.

    Peers get the object in force: an object API that comes back from a copy
    may show an older one for a while.

    Args:
      view: Shared state, which is updated.
      decode: Function that decodes a stored configuration.
      log: Decision log.
    """

    def __init__(
        self,
        view: NodeView,
        decode: ConfigurationDecoder,
        log: DecisionLog,
    ) -> None:
        super().__init__(view, decode, log)
        self._in_force: StoredObject | None = None

    def to_copy(
        self, objects: Mapping[str, StoredObject]
    ) -> Iterable[StoredObject]:
        """Returns the objects that a peer gets; see `KindSink`."""
        kept = self._in_force
        if kept is None:
            return objects.values()
        read = objects.get(kept.name, kept)
        return {
            **objects,
            kept.name: attrs.evolve(kept, version=read.version),
        }.values()

    def replace_all(self, objects: list[StoredObject]) -> None:
        """Replaces all objects with a complete list."""
        for stored in objects:
            self._apply_object(stored)

    def apply(self, event: ObjectEvent) -> None:
        """Applies one change; a deleted configuration stays active."""
        if not event.deleted:
            self._apply_object(event.object)

    def _log_ignored(self, name: str, reason: str) -> None:
        self._log.event("configuration.ignored", name=name, reason=reason)

    def _apply_object(self, stored: StoredObject) -> None:
        configuration = self._decode_or_none(stored)
        if configuration is None:
            return
        in_force = self._view.update_configuration(configuration)
        if in_force:
            self._in_force = stored
        self._log.event(
            "configuration.offered",
            version=configuration.version,
            in_force=in_force,
            routes=len(configuration.routes),
            behind_peers_s=round(self._view.configuration_delays.last_s, 3),
        )


class EndpointSink(_DecodingSink[Endpoint]):
    """Keeps the endpoint directory current.

    Args:
      view: Shared state, which is updated.
      decode: Function that decodes a stored endpoint; raises
          `ConfigurationError` if the object is invalid.
      log: Decision log.
      on_new_version: Called when an endpoint has a version that no other
          endpoint of its service has.
    """

    def __init__(
        self,
        view: NodeView,
        decode: EndpointDecoder,
        log: DecisionLog,
        on_new_version: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__(view, decode, log)
        self._on_new_version = on_new_version
        self._expiry: Subscription | None = None
        self._is_restored = False
        # Versions of the entries of endpoints that have left, by name.
        self._outdated: dict[str, str] = {}

    def on_restored(self) -> None:
        """Starts the grace period for entries that are written again."""
        self._is_restored = True
        self._view.directory.on_discovery_restored_from_copy(self._now())

    def replace_all(self, objects: list[StoredObject]) -> None:
        """Replaces all objects with a complete list.

        After a return of the object API from a copy, an endpoint that has left
        is listed again. It is not used unless its entry is written again.
        """
        may_be_old = False
        if self._is_restored:
            self._is_restored = False
            may_be_old = True
            self._outdated = {
                stored.name: stored.version
                for stored in objects
                if self._has_left(stored)
            }
        current = [
            stored
            for stored in objects
            if self._outdated.get(stored.name) != stored.version
        ]
        endpoints = self._decode_all(current, may_be_old=may_be_old)
        self._view.directory.replace_all(endpoints, self._now())
        self._schedule_expiry()
        self._view.serving.on_serving(self._now_ms())

    def _has_left(self, stored: StoredObject) -> bool:
        """Returns whether a listed endpoint was seen to leave."""
        endpoint = self._decode_or_none(stored)
        if endpoint is None or not self._view.directory.was_removed(endpoint):
            return False
        self._log_ignored(stored.name, "it has left before")
        return True

    def merge(self, objects: list[StoredObject]) -> None:
        """Merges the list of a peer.

        Endpoints that this node has seen removed are not added again.
        """
        gone = self._view.directory.recently_removed
        kept = [stored for stored in objects if stored.name not in gone]
        endpoints = self._decode_all(kept, may_be_old=True)
        self._view.directory.merge(endpoints, self._now())
        self._schedule_expiry()
        self._view.serving.on_serving(self._now_ms())

    def apply(self, event: ObjectEvent) -> None:
        """Applies one change."""
        name = event.object.name
        endpoint = None if event.deleted else self._decode_or_none(event.object)
        if event.deleted:
            self._log.event("endpoint.removed", endpoint=name)
        if endpoint is None:
            self._view.directory.remove(name, self._now())
            self._schedule_expiry()
        else:
            self._on_listed(endpoint, event.object.version)
            self._view.directory.put(endpoint)

    def on_api_lost(self) -> None:
        """Keeps endpoints whose entries may expire during the outage."""
        self._view.directory.on_discovery_lost(self._now())

    def on_api_recovered(self) -> None:
        """Starts the grace period in which entries may be restored."""
        self._view.directory.on_discovery_restored(self._now())

    def _now(self) -> float:
        return self._view.timers.now()

    def _now_ms(self) -> float:
        return self._view.clock.now() * MS_PER_S

    def _decode_all(
        self, objects: list[StoredObject], *, may_be_old: bool
    ) -> list[Endpoint]:
        endpoints = []
        for stored in objects:
            endpoint = self._decode_or_none(stored)
            if endpoint is not None:
                endpoints.append(endpoint)
                self._on_listed(endpoint, stored.version, may_be_old=may_be_old)
        return endpoints

    def _schedule_expiry(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
        end_s = self._view.directory.next_expiry_s
        if end_s is not None:
            left_s = max(0.0, end_s - self._now())
            self._expiry = self._view.timers.call_later(left_s, self._expire)

    def _expire(self) -> None:
        for name in self._view.directory.expire(self._now()):
            self._log.event("endpoint.expired", endpoint=name)
        self._schedule_expiry()

    def _log_ignored(self, name: str, reason: str) -> None:
        self._log.event("endpoint.ignored", endpoint=name, reason=reason)

    def _observe_cold(
        self, endpoint: Endpoint, version: str, *, may_be_old: bool
    ) -> None:
        """Notes for how long an endpoint is cold and logs if it becomes so."""
        view = self._view
        table = view.table
        service = table and table.configuration.services.get(endpoint.service)
        before_s = view.cold_left_s(service, endpoint) if service else 0.0
        view.cold_endpoints.observe(
            endpoint,
            version,
            self._now(),
            self._now_ms(),
            may_be_old=may_be_old,
            is_new=view.serving.is_serving,
        )
        left_s = view.cold_left_s(service, endpoint) if service else 0.0
        if left_s > 0 and before_s <= 0 and service.cold_rate_per_s:
            self._log.event(
                "endpoint.cold",
                endpoint=endpoint.endpoint_id,
                cold_s=round(left_s, 3),
                stated_s=round(endpoint.cold_s, 3),
                rate_per_s=service.cold_rate_per_s,
            )

    def _on_listed(
        self, endpoint: Endpoint, version: str, *, may_be_old: bool = False
    ) -> None:
        name = endpoint.endpoint_id
        known = self._view.directory.get(name)
        self._observe_cold(endpoint, version, may_be_old=may_be_old)
        if known is not None and known.started_ms != endpoint.started_ms:
            # Cached prefixes and failures of the process before a restart no
            # longer apply.
            self._view.prefixes.forget(name)
            self._view.ejector.forget(name)
            self._view.endpoint_rates.forget(name)
            self._view.server_loads.forget(name)
        if known is None and self._has_new_version(endpoint):
            # Its share depends on an order that may not have arrived.
            self._on_new_version()
        if known is None or known.leaving != endpoint.leaving:
            self._log.event(
                "endpoint.listed",
                endpoint=name,
                service=endpoint.service,
                zone=endpoint.zone,
                address=endpoint.address,
                version=endpoint.version,
                leaving=endpoint.leaving,
            )

    def _has_new_version(self, endpoint: Endpoint) -> bool:
        others = self._view.directory.all_endpoints(endpoint.service)
        versions = {other.version for other in others}
        return bool(versions) and endpoint.version not in versions


class PeerSink(KindSink):
    """Keeps the addresses of the other nodes current.

    After a return of the object API from a copy, nodes that had registered
    since are missing until they register again. They keep their share of the
    limits that nodes divide.

    Args:
      view: Shared state, which is updated.
      on_unlisted: Called when this node is missing from the list.
      log: Decision log.
    """

    def __init__(
        self,
        view: NodeView,
        on_unlisted: Callable[[], None],
        log: DecisionLog,
    ) -> None:
        self._view = view
        self._on_unlisted = on_unlisted
        self._log = log
        self._listed: set[str] = set()
        self._restore_period = RestorePeriod(view.timers, self._drop_missing)

    def on_restored(self) -> None:
        """Starts the time in which nodes register again."""
        self._restore_period.begin()

    def replace_all(self, objects: list[StoredObject]) -> None:
        """Replaces all objects with a complete list."""
        self._replace(objects)
        if self._view.settings.name not in self._listed:
            self._on_unlisted()

    def merge(self, objects: list[StoredObject]) -> None:
        """Merges the list of a peer, which may be outdated."""
        self._replace(objects)

    def apply(self, event: ObjectEvent) -> None:
        """Applies one change."""
        name = event.object.name
        if not event.deleted:
            self._listed.add(name)
            self._put(event.object)
            return
        self._listed.discard(name)
        if name == self._view.settings.name:
            self._on_unlisted()
        else:
            self._drop(name)

    def _replace(self, objects: list[StoredObject]) -> None:
        self._listed = {stored.name for stored in objects}
        if not self._restore_period.is_active:
            self._drop_missing()
        for stored in objects:
            self._put(stored)
        self._view.on_peers_listed()

    def _drop_missing(self) -> None:
        for name in set(self._view.peers) - self._listed:
            self._drop(name)

    def _drop(self, name: str) -> None:
        self._view.peers.pop(name, None)
        self._view.relay_candidates.pop(name, None)
        self._view.serving.on_removed(name)

    def _put(self, stored: StoredObject) -> None:
        self._view.serving.on_listed(
            stored.name,
            _positive_or_zero(stored.body.get("incarnation"), math.inf),
        )
        if stored.name == self._view.settings.name:
            return
        address = stored.body.get("address")
        try:
            self._view.peers[stored.name] = str(Address.parse(str(address)))
        except ValueError as error:
            self._drop(stored.name)
            self._log.event("peer.ignored", peer=stored.name, reason=str(error))
            return
        self._view.relay_candidates[stored.name] = RelayCandidate(
            stored.name,
            str(stored.body.get("zone", "")),
            _positive_or_zero(stored.body.get("link_mbps"), MAX_SIZE),
            _positive_or_zero(stored.body.get("cores"), MAX_SIZE),
        )


class MoveSink(_DecodingSink[VersionMove]):
    """Keeps the moves of services to other versions current.

    After a return of the object API from a copy, orders and phases may be
    missing or older. For some time, a move that is not listed and a phase that
    was reached are kept, and an order of another version that is only listed,
    not written, is not taken for the latest one.

    Args:
      view: Shared state, which is updated.
      decode: Function that decodes a stored order.
      log: Decision log.
    """

    def __init__(
        self, view: NodeView, decode: MoveDecoder, log: DecisionLog
    ) -> None:
        super().__init__(view, decode, log)
        # Services that have an order, and the orders that are valid.
        self._listed: set[str] = set()
        self._orders: dict[str, VersionMove] = {}
        self._restore_period = RestorePeriod(view.timers, self._settle)

    def on_restored(self) -> None:
        """Starts the time in which orders are written again."""
        self._restore_period.begin()

    def replace_all(self, objects: list[StoredObject]) -> None:
        """Replaces all objects with a complete list."""
        self._listed.clear()
        self._orders.clear()
        for stored in objects:
            self._read(stored)
        is_settled = not self._restore_period.is_active
        if is_settled:
            self._withdraw_missing()
        for move in self._orders.values():
            if is_settled or not self._has_other_target(move):
                self._offer(move)

    def merge(self, objects: list[StoredObject]) -> None:
        """Merges the list of a peer; orders missing from it are kept."""
        for stored in objects:
            move = self._decode_or_none(stored)
            if move is not None:
                self._offer(move, may_be_old=True)

    def apply(self, event: ObjectEvent) -> None:
        """Applies one change."""
        if event.deleted:
            self._listed.discard(event.object.name)
            self._orders.pop(event.object.name, None)
            self._view.moves.withdraw(event.object.name)
            return
        move = self._read(event.object)
        if move is not None:
            self._offer(move)

    def _read(self, stored: StoredObject) -> VersionMove | None:
        self._listed.add(stored.name)
        move = self._decode_or_none(stored)
        if move is not None:
            self._orders[move.service] = move
        return move

    def _has_other_target(self, move: VersionMove) -> bool:
        """Returns whether another order of the service is followed."""
        tracked = self._view.moves.moves.get(move.service)
        return tracked is not None and tracked.move.target != move.target

    def _withdraw_missing(self) -> None:
        for service in set(self._view.moves.moves) - self._listed:
            self._view.moves.withdraw(service)

    def _settle(self) -> None:
        """Follows the stored orders once no lost ones are expected."""
        self._withdraw_missing()
        for move in self._orders.values():
            if self._has_other_target(move):
                self._offer(move)

    def _offer(self, move: VersionMove, *, may_be_old: bool = False) -> None:
        may_be_lost = self._restore_period.is_active and not may_be_old
        self._view.moves.offer(
            move,
            self._view.timers.now(),
            may_be_old=may_be_old or may_be_lost,
        )
        if may_be_lost:
            self._view.moves.on_phase_lost(move.service, move.phase)
        self._log.event(
            "move.offered",
            service=move.service,
            target=move.target,
            phase=move.phase.value,
        )

    def _log_ignored(self, name: str, reason: str) -> None:
        self._log.event("move.ignored", name=name, reason=reason)


def _positive_or_zero(value: Any, limit: float) -> float:
    """Returns a number in the entry of a node; 0 if it is not valid.

    Args:
      value: Value of the field.
      limit: Lowest number that is not valid.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number and 0 <= value < limit else 0.0
