"""Directory of the discovered endpoints."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Set

import attrs

from guavalane_core.forwarding.endpoint import Endpoint

# Endpoints whose entries expired during an outage of the discovery service
# register again within about 2 s after it. An endpoint that does not has been
# removed, and no request may reach it more than 2 s after the node could have
# detected that. The margin covers the delivery of the last request. In seconds.
REREGISTRATION_GRACE_S = 1.8
# Entries do not expire in shorter outages. In seconds.
MIN_EXPIRY_OUTAGE_S = 2.0
MAX_REMEMBERED_REMOVALS = 4096


class EndpointDirectory:
    """Endpoints by identifier, retained across discovery outages.

    An entry that disappears during or shortly after an outage of the discovery
    service may have expired only because its endpoint could not renew it. Such
    an endpoint remains usable for a grace period.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}
        self._grace_end_s: dict[str, float] = {}
        self._restored_s = -REREGISTRATION_GRACE_S
        self._outage_start_s: float | None = None
        # Start times of the processes that were removed, by identifier.
        self._removed: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._endpoints)

    @property
    def recently_removed(self) -> Set[str]:
        """Identifiers of the endpoints that were removed most recently."""
        return self._removed.keys()

    @property
    def next_expiry_s(self) -> float | None:
        """Monotonic time at which the next grace period ends, if any."""
        return min(self._grace_end_s.values(), default=None)

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Returns an endpoint; None if it is unknown."""
        return self._endpoints.get(endpoint_id)

    def usable(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that accept new requests."""
        known = self._by_service.get(service, {})
        return [endpoint for endpoint in known.values() if not endpoint.leaving]

    def all_endpoints(self, service: str) -> list[Endpoint]:
        """Returns all endpoints of a service, including draining ones."""
        return list(self._by_service.get(service, {}).values())

    def on_discovery_lost(self, now_s: float) -> None:
        """Records that the discovery service is unavailable."""
        self._outage_start_s = now_s

    def on_discovery_restored(self, now_s: float) -> None:
        """Records that the discovery service is available again."""
        since_s, self._outage_start_s = self._outage_start_s, None
        if since_s is not None and now_s - since_s >= MIN_EXPIRY_OUTAGE_S:
            self._restored_s = now_s

    def on_discovery_restored_from_copy(self, now_s: float) -> None:
        """Records that the discovery service has come back from a copy.

        Entries of later endpoints are missing until they are written again.
        """
        self._outage_start_s = None
        self._restored_s = now_s

    def was_removed(self, endpoint: Endpoint) -> bool:
        """Returns whether this process of an endpoint was seen to leave."""
        name = endpoint.endpoint_id
        return (
            name in self._removed and self._removed[name] == endpoint.started_ms
        )

    def replace_all(self, endpoints: Iterable[Endpoint], now_s: float) -> None:
        """Replaces the directory with a complete list from discovery."""
        listed = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        for endpoint_id in list(self._endpoints):
            if endpoint_id not in listed:
                self.remove(endpoint_id, now_s)
        for endpoint in listed.values():
            self.put(endpoint)

    def merge(self, endpoints: Iterable[Endpoint], now_s: float) -> None:
        """Applies the list of another node while discovery is unavailable.

        Discovery then works through the other node, so endpoints that leave
        afterwards have not expired in an outage. The list itself can date from
        shortly after an outage, so missing endpoints get a grace period.
        """
        listed = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        for endpoint_id, known in list(self._endpoints.items()):
            if endpoint_id in listed:
                continue
            if known.leaving:
                self._discard(endpoint_id)
            else:
                grace_end_s = now_s + REREGISTRATION_GRACE_S
                self._grace_end_s.setdefault(endpoint_id, grace_end_s)
        for endpoint in listed.values():
            self.put(endpoint)
        if self._outage_start_s is not None:
            self._outage_start_s = now_s

    def put(self, endpoint: Endpoint) -> None:
        """Adds or replaces an endpoint."""
        known = self._endpoints.get(endpoint.endpoint_id)
        if (
            known is not None
            and known.leaving
            and known.started_ms == endpoint.started_ms
        ):
            # An older copy of the entry must not revert the draining state.
            endpoint = attrs.evolve(endpoint, leaving=True)
        self._discard(endpoint.endpoint_id)
        self._grace_end_s.pop(endpoint.endpoint_id, None)
        self._removed.pop(endpoint.endpoint_id, None)
        self._endpoints[endpoint.endpoint_id] = endpoint
        of_service = self._by_service.setdefault(endpoint.service, {})
        of_service[endpoint.endpoint_id] = endpoint

    def remove(self, endpoint_id: str, now_s: float) -> None:
        """Removes an endpoint.

        If its entry may have expired in an outage, it is removed after a grace
        period. A draining endpoint is removed immediately.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        grace_end_s = self._grace_end_s.get(
            endpoint_id, self._restored_s + REREGISTRATION_GRACE_S
        )
        if not endpoint.leaving and now_s < grace_end_s:
            self._grace_end_s.setdefault(endpoint_id, grace_end_s)
            return
        self._grace_end_s.pop(endpoint_id, None)
        self._discard(endpoint_id)

    def expire(self, now_s: float) -> list[str]:
        """Removes and returns endpoints whose grace period has ended."""
        ended = [
            name for name, end_s in self._grace_end_s.items() if end_s <= now_s
        ]
        for name in ended:
            del self._grace_end_s[name]
            self._discard(name)
        return ended

    def _discard(self, endpoint_id: str) -> None:
        endpoint = self._endpoints.pop(endpoint_id, None)
        if endpoint is None:
            return
        del self._by_service[endpoint.service][endpoint_id]
        self._removed[endpoint_id] = endpoint.started_ms
        if len(self._removed) > MAX_REMEMBERED_REMOVALS:
            self._removed.popitem(last=False)
