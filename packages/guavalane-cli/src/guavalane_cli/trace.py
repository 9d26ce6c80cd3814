"""Replay of recorded traces of version moves.

A trace lists request outcomes, events and the expected result. The replay runs
the production classes of several entry nodes with manual timers; the object API
and the connections between nodes are in memory.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any

import attrs
import cattrs

from guavalane_core.configuration import ConfigurationState, Endpoint
from guavalane_core.exceptions import (
    ConfigurationError,
    GuavalaneError,
    ObjectApiUnavailableError,
)
from guavalane_core.leases import LeaseHolder
from guavalane_core.objects import (
    MemoryObjectApi,
    MetadataEvent,
    ObjectEvent,
    ObjectMetadata,
    StoredObject,
)
from guavalane_core.routing import EndpointView
from guavalane_core.timers import ManualTimers
from guavalane_entry.moves.commands import MoveCommands
from guavalane_entry.moves.mover import LEASE, MoveRunner
from guavalane_entry.store.configuration import KIND, NAME, ConfigurationStore

STEP_S = 0.5
SEED = 1
# Time that a replay continues after the move has ended on every node, to detect
# traffic that returns to the new version, in seconds.
SETTLE_TIME_S = 30.0
DEPLOYMENT = "assistant"
OLD_VERSION, NEW_VERSION = "v1", "v2"
MOVE = "move-1"
SECOND_MOVE = "move-2"
ORGANISATION_KEY_SHA256 = "0" * 64


@attrs.frozen(kw_only=True)
class Traffic:
    """Requests of one route over a period of time.

    Outcomes are lists of `[status, latency_ms, gap_ms]`; status 0 denotes a
    failed attempt, and the gap is optional. Each request draws a random outcome
    of its version, with a fixed seed. Cycling through the list could align
    with the order of nodes, so that one node would get all failures.

    Attributes:
      route: Name of the route.
      from_s: Start, in seconds after the start of the trace.
      to_s: End, in seconds after the start of the trace.
      every_ms: Time between two requests, over all nodes, in milliseconds.
      old: Outcomes of the old version.
      new: Outcomes of the new version.
      above_share: Traffic share above which the new version counts as loaded.
      new_above: Outcomes of the new version when it is loaded.
    """

    route: str
    from_s: float = 0.0
    to_s: float = float("inf")
    every_ms: float
    old: list[list[float]]
    new: list[list[float]]
    above_share: float = 1.0
    new_above: list[list[float]] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Event:
    """Event that is triggered at a time or at a traffic share.

    Attributes:
      do: Name of a `Replay` method, without its prefix `do_`.
      at_s: Time, in seconds after the start of the trace.
      at_share: Configured share of the new version, as an alternative to
          `at_s`.
    """

    do: str
    at_s: float | None = None
    at_share: float | None = None


@attrs.frozen(kw_only=True)
class Expected:
    """Expected result of a trace.

    Attributes:
      state: Final state of the move.
      reason: Text that the time line must contain.
      by_s: Time by which the move has ended on every live node, in seconds.
      bad_requests_at_most: Maximum number of requests that the new version
          serves from `fault_s` on.
      bad_percent_at_most: The same limit as a percentage of all requests from
          `fault_s` until no node sends any to the new version.
      refused_confirms: Number of rejected confirmations.
      leaders: Number of nodes that led the move.
    """

    state: str
    reason: str = ""
    by_s: float | None = None
    bad_requests_at_most: int | None = None
    bad_percent_at_most: float | None = None
    refused_confirms: int = 0
    leaders: int | None = None


@attrs.frozen(kw_only=True)
class Trace:
    """A recorded move.

    Attributes:
      title: Scenario that the trace covers.
      seconds: Maximum duration of the replay, in seconds.
      nodes: Number of entry nodes.
      propagation_s: Time until nodes apply a stored configuration, in seconds.
      within_s: Time from the start of the trace to the deadline, in seconds.
      at_deadline: Action of the plan at the deadline, `undo` or `keep`.
      fault_s: Time at which the new version becomes faulty, in seconds.
      traffic: Requests by route.
      events: Events during the replay.
      expected: Expected result.
    """

    title: str
    seconds: float
    nodes: int = 3
    propagation_s: float = 1.0
    within_s: float
    at_deadline: str = "undo"
    fault_s: float = 0.0
    traffic: list[Traffic]
    events: list[Event]
    expected: Expected


def parse_trace(data: Any) -> Trace:
    """Parses a trace from plain data.

    Raises:
      ConfigurationError: The data are not a valid trace.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        trace = converter.structure(data, Trace)
    except Exception as error:
        errors = cattrs.transform_error(error)
        raise ConfigurationError(errors) from None
    unknown = [
        f"events: unknown event {event.do!r}"
        for event in trace.events
        if not hasattr(Replay, f"do_{event.do}")
    ]
    if unknown:
        raise ConfigurationError(unknown)
    return trace


class _Peer:
    def __init__(self, name: str, links: MemoryLinks) -> None:
        self.name = name
        self._links = links

    def send(self, message: Any) -> None:
        self._links.send(self.name, message)


class MemoryLinks:
    """In-memory connections of one node to the other nodes of a replay.

    Args:
      name: Name of the node.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._others: dict[str, MemoryLinks] = {}
        self._handlers: dict[type, Callable] = {}
        self._connect_handlers: list[Callable] = []

    @property
    def peers(self) -> dict[str, Any]:
        """Connected nodes by name."""
        return self._others

    def on_message(self, cls: type, handler: Callable) -> None:
        """Registers a handler for messages of a class."""
        self._handlers[cls] = handler

    def on_connect(self, handler: Callable) -> None:
        """Registers a handler that is called for each new connection."""
        self._connect_handlers.append(handler)

    def connect(self, other: MemoryLinks) -> None:
        """Connects two nodes."""
        for node, peer in ((self, other), (other, self)):
            node._others[peer._name] = peer
        for node, peer in ((self, other), (other, self)):
            for handler in node._connect_handlers:
                handler(_Peer(peer._name, node))

    def disconnect(self) -> None:
        """Closes all connections of this node."""
        for other in self._others.values():
            other._others.pop(self._name, None)
        self._others.clear()

    def send(self, name: str, message: Any) -> bool:
        """Sends a message to a node; returns whether it is connected."""
        other = self._others.get(name)
        if other is not None:
            handler = other._handlers.get(type(message))
            if handler is not None:
                handler(_Peer(self._name, other), message)
        return other is not None

    def broadcast(self, message: Any) -> None:
        """Sends a message to all connected nodes."""
        for name in list(self._others):
            self.send(name, message)


class _NodeObjectApi:
    """Connection of one node to the object API, which can be interrupted."""

    def __init__(self, api: MemoryObjectApi) -> None:
        self._api = api
        self.isolated = False

    def _require_reachable(self) -> None:
        if self.isolated:
            raise ObjectApiUnavailableError(
                "the node cannot reach the object API"
            )

    async def get(self, kind: str, name: str) -> StoredObject:
        self._require_reachable()
        return await self._api.get(kind, name)

    async def get_metadata(self, kind: str, name: str) -> ObjectMetadata:
        self._require_reachable()
        return await self._api.get_metadata(kind, name)

    async def list(self, kind: str) -> tuple[list[StoredObject], str]:
        self._require_reachable()
        return await self._api.list(kind)

    async def create(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        self._require_reachable()
        return await self._api.create(kind, name, body, annotations)

    async def update(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        version: str,
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        self._require_reachable()
        return await self._api.update(kind, name, body, version, annotations)

    async def delete(self, kind: str, name: str, version: str) -> None:
        self._require_reachable()
        await self._api.delete(kind, name, version)

    async def list_metadata(
        self, kind: str
    ) -> tuple[list[ObjectMetadata], str]:
        self._require_reachable()
        return await self._api.list_metadata(kind)

    def watch(self, kind: str, version: str) -> AsyncIterator[ObjectEvent]:
        self._require_reachable()
        return self._api.watch(kind, version)

    def watch_metadata(
        self, kind: str, version: str
    ) -> AsyncIterator[MetadataEvent]:
        self._require_reachable()
        return self._api.watch_metadata(kind, version)


class _ReplayNode:
    def __init__(
        self, name: str, api: MemoryObjectApi, timers: ManualTimers
    ) -> None:
        self.name = name
        self.api = _NodeObjectApi(api)
        self.links = MemoryLinks(name)
        self.state = ConfigurationState()
        configuration_store = ConfigurationStore(self.api, self.state, timers)
        self.runner = MoveRunner(
            name,
            self.state,
            configuration_store,
            self.api,
            self.links,
            timers,
            LeaseHolder(self.api, timers, LEASE, name, 1),
        )
        self.commands = MoveCommands(
            self.runner, self.state, configuration_store, timers
        )
        self.serving = True


@attrs.define
class ReplayResult:
    """Result of a replay.

    Attributes:
      state: Final state of the move.
      ended_s: Time at which the move had ended on all live nodes, in seconds;
          -1 if never.
      requests: Number of requests served.
      new_requests: Number of requests served by the new version.
      bad_requests: Number of requests served by the new version since the
          fault.
      requests_since_fault: Number of requests from the fault until no node
          sent any to the new version.
      stopped_s: Time from the fault until no node sent requests to the new
          version, in seconds; -1 if never.
      refused_confirms: Number of rejected confirmations.
      leaders: Names of the nodes that led the move, in order.
      time_line: Events of the move without their times, one line per event.
    """

    state: str = ""
    ended_s: float = -1.0
    requests: int = 0
    new_requests: int = 0
    bad_requests: int = 0
    requests_since_fault: int = 0
    stopped_s: float = -1.0
    refused_confirms: int = 0
    leaders: list[str] = attrs.field(factory=list)
    time_line: list[str] = attrs.field(factory=list)


class Replay:
    """Replays one trace.

    Args:
      trace: Trace to replay.
    """

    def __init__(self, trace: Trace) -> None:
        self._trace = trace
        self._timers = ManualTimers()
        self._api = MemoryObjectApi()
        self._nodes = [
            _ReplayNode(f"entry-{n}", self._api, self._timers)
            for n in range(trace.nodes)
        ]
        self._live = list(self._nodes)
        self._result = ReplayResult()
        self._pending_events = list(trace.events)
        self._delivered_version = ""
        self._writes_seen = -1
        self._unreachable_node: _ReplayNode | None = None
        self._views = {
            version: EndpointView(
                version,
                Endpoint(
                    url="http://127.0.0.1:1",
                    zone="zone-a",
                    deployment=DEPLOYMENT,
                    version=version,
                ),
            )
            for version in (OLD_VERSION, NEW_VERSION)
        }
        self._rng = random.Random(SEED)
        self._next_request_s = [traffic.from_s for traffic in trace.traffic]
        # Shares of the new version by serving node, updated once per step.
        self._shares: list[tuple[_ReplayNode, float]] = []

    def _configuration(self) -> dict[str, Any]:
        routes = {traffic.route for traffic in self._trace.traffic}
        return {
            "organisations": {
                "north": {"key_sha256": [ORGANISATION_KEY_SHA256]}
            },
            "deployments": {
                DEPLOYMENT: {
                    "versions": {
                        OLD_VERSION: {"share": 1.0},
                        NEW_VERSION: {"share": 0.0},
                    }
                }
            },
            "routes": {
                name: {
                    "kind": "model",
                    "model": name,
                    "request_class": "interactive",
                    "deployment": DEPLOYMENT,
                }
                for name in sorted(routes)
            },
            "endpoints": {
                f"engine-{version}": {
                    "url": "http://127.0.0.1:1",
                    "zone": "zone-a",
                    "deployment": DEPLOYMENT,
                    "version": version,
                }
                for version in (OLD_VERSION, NEW_VERSION)
            },
        }

    async def run(self) -> ReplayResult:
        """Replays the trace and returns the result."""
        first = self._nodes[0]
        configuration_store = ConfigurationStore(
            self._api, first.state, self._timers
        )
        await configuration_store.store_initial(self._configuration())
        for index, node in enumerate(self._nodes):
            for other in self._nodes[:index]:
                node.links.connect(other.links)
            node.runner.start()
        await self._deliver_configuration()
        rate = sum(1000 / traffic.every_ms for traffic in self._trace.traffic)
        for name, who in ((MOVE, "anna"), (SECOND_MOVE, "ben")):
            await first.commands.plan(
                {
                    "name": name,
                    "deployment": DEPLOYMENT,
                    "new": NEW_VERSION,
                    "within_s": self._trace.within_s,
                    "at_deadline": self._trace.at_deadline,
                    "requests_per_s": rate,
                },
                who,
            )
        while (
            self._timers.now() < self._trace.seconds and not self._is_finished()
        ):
            await self._step()
        await self._finish()
        return self._result

    def _is_finished(self) -> bool:
        ended_s = self._result.ended_s
        return (
            not self._pending_events
            and ended_s >= 0
            and self._timers.now() > ended_s + SETTLE_TIME_S
        )

    async def _step(self) -> None:
        await self._run_events()
        self._serve(self._timers.now() + STEP_S)
        await self._timers.run_for(STEP_S, STEP_S)
        self._record_leaders()
        await self._deliver_configuration()
        moving = any(
            n.state.current.deployments[DEPLOYMENT].move for n in self._live
        )
        started = bool(self._result.leaders)
        if started and not moving and self._result.ended_s < 0:
            self._result.ended_s = self._timers.now()

    async def _deliver_configuration(self) -> None:
        """Offers a new configuration to nodes after the propagation time."""
        if self._api.calls.writes == self._writes_seen:
            return
        try:
            stored = await self._api.get(KIND, NAME)
        except ObjectApiUnavailableError:
            return
        self._writes_seen = self._api.calls.writes
        if stored.version == self._delivered_version:
            return
        self._delivered_version = stored.version
        body = {k: v for k, v in stored.body.items() if k != "write_token"}
        for node in self._live:

            def offer(node: _ReplayNode = node) -> None:
                if not node.api.isolated:
                    node.state.offer(body, "object API")

            if self._result.requests:
                self._timers.call_later(self._trace.propagation_s, offer)
            else:
                offer()

    def _serve(self, until_s: float) -> None:
        self._shares = [
            (node, node.runner.shares(DEPLOYMENT).get(NEW_VERSION, 0.0))
            for node in self._live
            if node.serving
        ]
        result = self._result
        since_s = self._timers.now() - self._trace.fault_s
        if (
            since_s >= 0
            and result.stopped_s < 0
            and result.bad_requests
            and not any(share for _, share in self._shares)
        ):
            result.stopped_s = since_s
        for index, traffic in enumerate(self._trace.traffic):
            next_s = self._next_request_s[index]
            while next_s < min(until_s, traffic.to_s):
                version = self._serve_one(traffic)
                self._count_request(version, since_s >= 0)
                next_s += traffic.every_ms / 1000
            self._next_request_s[index] = next_s

    def _serve_one(self, traffic: Traffic) -> str:
        node, share = self._rng.choice(self._shares)
        version, outcomes = OLD_VERSION, traffic.old
        if self._rng.random() < share:
            version, outcomes = NEW_VERSION, traffic.new
            if share > traffic.above_share:
                outcomes = traffic.new_above
        status, latency_ms, *gap_ms = self._rng.choice(outcomes)
        view = self._views[version]
        if 0 < status < 500:
            node.runner.record_latency(view, traffic.route, latency_ms / 1000)
            if gap_ms:
                node.runner.record_gap(view, traffic.route, gap_ms[0] / 1000)
        node.runner.record_outcome(view, traffic.route, int(status))
        return version

    def _count_request(self, version: str, after_fault: bool) -> None:
        result = self._result
        result.requests += 1
        if version == NEW_VERSION:
            result.new_requests += 1
        if not after_fault:
            return
        if version == NEW_VERSION:
            result.bad_requests += 1
        if result.stopped_s < 0:
            result.requests_since_fault += 1

    async def _run_events(self) -> None:
        deployment = self._live[0].state.current.deployments[DEPLOYMENT]
        share = deployment.versions[NEW_VERSION].share
        for event in list(self._pending_events):
            due = (
                event.at_s is not None and self._timers.now() >= event.at_s
            ) or (event.at_share is not None and share >= event.at_share)
            if due:
                self._pending_events.remove(event)
                await getattr(self, f"do_{event.do}")()
                return

    def _record_leaders(self) -> None:
        for node in self._live:
            if node.runner.leading and node.name not in self._result.leaders:
                self._result.leaders.append(node.name)

    def _leader(self) -> _ReplayNode | None:
        leaders = [n for n in self._live if n.runner.leading]
        return leaders[0] if leaders else None

    async def _suspend(self, node: _ReplayNode) -> None:
        # Neither releases the lease nor notifies peers.
        node.runner.freeze()
        node.links.disconnect()

    async def do_confirm(self) -> None:
        """Confirms the first plan on the first node."""
        await self._confirm(self._live[0], MOVE, "anna")

    async def do_confirm_both(self) -> None:
        """Confirms two plans on two nodes concurrently."""
        await asyncio.gather(
            self._confirm(self._live[0], MOVE, "anna"),
            self._confirm(self._live[1], SECOND_MOVE, "ben"),
        )

    async def _confirm(self, node: _ReplayNode, name: str, who: str) -> None:
        task = asyncio.create_task(node.commands.confirm(name, who))
        # After a conflict, the confirmation waits for the other change, so the
        # timers have to advance.
        while not task.done():
            await self._timers.run_for(STEP_S, STEP_S)
            await self._deliver_configuration()
        try:
            task.result()
        except GuavalaneError as error:
            self._result.refused_confirms += 1
            self._result.time_line.append(f"refused: {error}")

    async def do_cancel(self) -> None:
        """Cancels the move on the last node."""
        await self._live[-1].commands.cancel(MOVE, "ben")

    async def do_kill_leader(self) -> None:
        """Kills the leader's process."""
        node = self._leader()
        if node is not None:
            await self._suspend(node)
            self._live.remove(node)

    async def do_pause_leader(self) -> None:
        """Pauses the leader's process; its state in memory is kept."""
        self._unreachable_node = self._leader()
        if self._unreachable_node is not None:
            await self._suspend(self._unreachable_node)
            self._unreachable_node.serving = False
            self._unreachable_node.api.isolated = True

    async def do_resume(self) -> None:
        """Resumes the paused process."""
        node = self._unreachable_node
        if node is not None:
            node.serving = True
            node.api.isolated = False
            for other in self._live:
                if other is not node:
                    node.links.connect(other.links)
            node.runner.start()
            self._force_delivery()

    async def do_cut_leader(self) -> None:
        """Disconnects the leader from peers and object API; it still serves."""
        self._unreachable_node = self._leader()
        if self._unreachable_node is not None:
            self._unreachable_node.links.disconnect()
            self._unreachable_node.api.isolated = True

    async def do_object_api_down(self) -> None:
        """Starts an outage of the object API."""
        self._api.set_down(True)

    async def do_object_api_up(self) -> None:
        """Ends the outage of the object API."""
        self._api.set_down(False)
        self._force_delivery()

    def _force_delivery(self) -> None:
        self._delivered_version = ""
        self._writes_seen = -1

    async def _finish(self) -> None:
        node = next(n for n in self._live if not n.api.isolated)
        explained = await node.commands.explain(MOVE)
        second = await node.commands.status(SECOND_MOVE)
        self._result.state = explained["state"]
        if second["state"] in ("running", "done", "undone"):
            self._result.state = f"two moves: {self._result.state}"
        self._result.time_line += [
            f"{event['who']} {event['kind']}: {event['text']}"
            for event in explained["events"]
        ]
        for each in self._nodes:
            each.runner.freeze()


def differences(result: ReplayResult, expected: Expected) -> list[str]:
    """Returns the differences between a result and the expected one."""
    mismatches = []
    if result.state != expected.state:
        mismatches.append(f"the move is {result.state}, not {expected.state}")
    if expected.reason and not any(
        expected.reason in line for line in result.time_line
    ):
        mismatches.append(f"the time line does not contain {expected.reason!r}")
    if expected.by_s is not None and not 0 <= result.ended_s <= expected.by_s:
        mismatches.append(
            f"the move ended at {result.ended_s:g} s, not by"
            f" {expected.by_s:g} s"
        )
    limit = expected.bad_requests_at_most
    if limit is not None and result.bad_requests > limit:
        mismatches.append(
            f"the bad version served {result.bad_requests} requests,"
            f" at most {limit} are allowed"
        )
    percent = expected.bad_percent_at_most
    bad_percent = (
        100 * result.bad_requests / max(1, result.requests_since_fault)
    )
    if percent is not None and bad_percent > percent:
        mismatches.append(
            f"the bad version served {bad_percent:.3g} % of the requests,"
            f" at most {percent:g} % are allowed"
        )
    if result.refused_confirms != expected.refused_confirms:
        mismatches.append(
            f"{result.refused_confirms} confirms were refused, not"
            f" {expected.refused_confirms}"
        )
    if expected.leaders is not None and len(result.leaders) != expected.leaders:
        mismatches.append(
            f"{len(result.leaders)} nodes led, not {expected.leaders}"
        )
    return mismatches
