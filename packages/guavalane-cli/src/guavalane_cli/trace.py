"""Recorded traces of version moves and their replay.

A trace is a plain list of outcomes with events and a stated result. Its replay
runs the production classes of a few entry nodes under manual timers; the
object API and the connections between nodes are in memory.
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
# Time that a replay goes on after the move has ended at every node, so that a
# share that came back would show, in seconds.
AFTER_END_S = 30.0
DEPLOYMENT = "assistant"
OLD, NEW = "v1", "v2"
MOVE = "move-1"
SECOND_MOVE = "move-2"
ORGANISATION_KEY_SHA256 = "0" * 64


@attrs.frozen(kw_only=True)
class Traffic:
    """Requests of one route over a time.

    Outcomes are lists of `[status, latency_ms, gap_ms]`; status 0 stands for a
    failed attempt, and the gap may be left out. Each request draws one outcome
    of its version with a generator of fixed seed: used in turn, a list would
    keep step with the nodes, and one node would get all its failures.

    Attributes:
      route: Route.
      from_s: Start in seconds after the start of the trace.
      to_s: End in seconds.
      every_ms: Time between two requests of all nodes together.
      old: Outcomes of the old version.
      new: Outcomes of the new version.
      above_share: Share of the new version above which it is under load.
      new_above: Outcomes of the new version under load.
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
    """Something that happens at a time or at a stage.

    Attributes:
      do: Name of a method of `Replay` after `do_`.
      at_s: Time in seconds after the start of the trace.
      at_share: Configured share of the new version, instead of a time.
    """

    do: str
    at_s: float | None = None
    at_share: float | None = None


@attrs.frozen(kw_only=True)
class Expected:
    """Stated outcome of a trace.

    Attributes:
      state: State of the move at the end.
      reason: Text that the time line contains.
      by_s: Time by which every live node has ended the move, in seconds.
      bad_requests_at_most: Requests that the new version served from
          `fault_s` on.
      bad_percent_at_most: The same as a percentage of all requests from
          `fault_s` until no node sends any to the new version.
      refused_confirms: Confirms that were refused.
      leaders: Number of nodes that led.
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
      title: What it shows.
      seconds: Longest time of the replay in seconds.
      nodes: Number of entry nodes.
      propagation_s: Time until nodes follow a stored configuration.
      within_s: Time from the start of the trace to the deadline.
      at_deadline: Rule of the plan for the deadline.
      fault_s: Time at which the new version becomes bad.
      traffic: Requests.
      events: What happens besides.
      expected: Stated outcome.
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
    """Returns a trace from plain data.

    Raises:
      ConfigurationError: The data are no trace.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        trace = converter.structure(data, Trace)
    except Exception as error:
        mistakes = cattrs.transform_error(error)
        raise ConfigurationError(mistakes) from None
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
    """Connections between the nodes of a replay.

    Args:
      name: Name of the node.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._others: dict[str, MemoryLinks] = {}
        self._handlers: dict[type, Callable] = {}
        self._greet: list[Callable] = []

    @property
    def peers(self) -> dict[str, Any]:
        """Connected nodes by name."""
        return self._others

    def on_message(self, cls: type, handler: Callable) -> None:
        """Passes messages of a class to a handler."""
        self._handlers[cls] = handler

    def on_connect(self, handler: Callable) -> None:
        """Calls a handler for each new connection."""
        self._greet.append(handler)

    def connect(self, other: MemoryLinks) -> None:
        """Connects two nodes."""
        for one, two in ((self, other), (other, self)):
            one._others[two._name] = two
        for one, two in ((self, other), (other, self)):
            for handler in one._greet:
                handler(_Peer(two._name, one))

    def disconnect(self) -> None:
        """Ends all connections of this node."""
        for other in self._others.values():
            other._others.pop(self._name, None)
        self._others.clear()

    def send(self, name: str, message: Any) -> bool:
        """Sends a message; returns whether the node is connected."""
        other = self._others.get(name)
        if other is not None:
            handler = other._handlers.get(type(message))
            if handler is not None:
                handler(_Peer(self._name, other), message)
        return other is not None

    def broadcast(self, message: Any) -> None:
        """Sends a message to every connected node."""
        for name in list(self._others):
            self.send(name, message)


class _NodeObjectApi:
    """The object API as one node reaches it."""

    def __init__(self, api: MemoryObjectApi) -> None:
        self._api = api
        self.cut = False

    def _check(self) -> None:
        if self.cut:
            raise ObjectApiUnavailableError("the node is cut off")

    async def get(self, kind: str, name: str) -> StoredObject:
        self._check()
        return await self._api.get(kind, name)

    async def get_metadata(self, kind: str, name: str) -> ObjectMetadata:
        self._check()
        return await self._api.get_metadata(kind, name)

    async def list(self, kind: str) -> tuple[list[StoredObject], str]:
        self._check()
        return await self._api.list(kind)

    async def create(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        self._check()
        return await self._api.create(kind, name, body, annotations)

    async def update(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        version: str,
        annotations: Mapping[str, str] | None = None,
    ) -> StoredObject:
        self._check()
        return await self._api.update(kind, name, body, version, annotations)

    async def delete(self, kind: str, name: str, version: str) -> None:
        self._check()
        await self._api.delete(kind, name, version)

    async def list_metadata(
        self, kind: str
    ) -> tuple[list[ObjectMetadata], str]:
        self._check()
        return await self._api.list_metadata(kind)

    def watch(self, kind: str, version: str) -> AsyncIterator[ObjectEvent]:
        self._check()
        return self._api.watch(kind, version)

    def watch_metadata(
        self, kind: str, version: str
    ) -> AsyncIterator[MetadataEvent]:
        self._check()
        return self._api.watch_metadata(kind, version)


class _Node:
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
class Verdict:
    """What a replay showed.

    Attributes:
      state: State of the move at the end.
      ended_s: Time at which no node had the move any more; -1 if never.
      requests: Requests served.
      new_requests: Requests that the new version served.
      bad_requests: Those among them from the time of the fault on.
      requests_since_fault: Requests from the fault until no node sends any to
          the new version.
      stopped_s: Time from the fault until no node sent any to the new
          version; -1 if never.
      refused_confirms: Confirms that were refused.
      leaders: Nodes that led, in order.
      time_line: Time line without times, one line per event.
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
      trace: Trace.
    """

    def __init__(self, trace: Trace) -> None:
        self._trace = trace
        self._timers = ManualTimers()
        self._api = MemoryObjectApi()
        self._nodes = [
            _Node(f"entry-{n}", self._api, self._timers)
            for n in range(trace.nodes)
        ]
        self._live = list(self._nodes)
        self._verdict = Verdict()
        self._events = list(trace.events)
        self._delivered = ""
        self._writes_seen = -1
        self._cut: _Node | None = None
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
            for version in (OLD, NEW)
        }
        self._rng = random.Random(SEED)
        self._due_s = [part.from_s for part in trace.traffic]
        # Shares of the new version per live node, taken once per step.
        self._shares: list[tuple[_Node, float]] = []

    def _configuration(self) -> dict[str, Any]:
        routes = {part.route for part in self._trace.traffic}
        return {
            "organisations": {
                "north": {"key_sha256": [ORGANISATION_KEY_SHA256]}
            },
            "deployments": {
                DEPLOYMENT: {
                    "versions": {OLD: {"share": 1.0}, NEW: {"share": 0.0}}
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
                for version in (OLD, NEW)
            },
        }

    async def run(self) -> Verdict:
        """Replays the trace and returns what it showed."""
        first = self._nodes[0]
        configuration_store = ConfigurationStore(
            self._api, first.state, self._timers
        )
        await configuration_store.store_initial(self._configuration())
        for index, node in enumerate(self._nodes):
            for other in self._nodes[:index]:
                node.links.connect(other.links)
            node.runner.start()
        await self._deliver()
        rate = sum(1000 / part.every_ms for part in self._trace.traffic)
        for name, who in ((MOVE, "anna"), (SECOND_MOVE, "ben")):
            await first.commands.plan(
                {
                    "name": name,
                    "deployment": DEPLOYMENT,
                    "new": NEW,
                    "within_s": self._trace.within_s,
                    "at_deadline": self._trace.at_deadline,
                    "requests_per_s": rate,
                },
                who,
            )
        while self._timers.now() < self._trace.seconds and not self._over():
            await self._step()
        await self._finish()
        return self._verdict

    def _over(self) -> bool:
        ended_s = self._verdict.ended_s
        return (
            not self._events
            and ended_s >= 0
            and self._timers.now() > ended_s + AFTER_END_S
        )

    async def _step(self) -> None:
        await self._run_events()
        self._serve(self._timers.now() + STEP_S)
        await self._timers.run_for(STEP_S, STEP_S)
        self._note_leaders()
        await self._deliver()
        moving = any(
            n.state.current.deployments[DEPLOYMENT].move for n in self._live
        )
        began = bool(self._verdict.leaders)
        if began and not moving and self._verdict.ended_s < 0:
            self._verdict.ended_s = self._timers.now()

    async def _deliver(self) -> None:
        """Gives nodes the stored configuration after the propagation time."""
        if self._api.calls.writes == self._writes_seen:
            return
        try:
            stored = await self._api.get(KIND, NAME)
        except ObjectApiUnavailableError:
            return
        self._writes_seen = self._api.calls.writes
        if stored.version == self._delivered:
            return
        self._delivered = stored.version
        body = {k: v for k, v in stored.body.items() if k != "write_token"}
        for node in self._live:

            def offer(node: _Node = node) -> None:
                if not node.api.cut:
                    node.state.offer(body, "object API")

            if self._verdict.requests:
                self._timers.call_later(self._trace.propagation_s, offer)
            else:
                offer()

    def _serve(self, until_s: float) -> None:
        self._shares = [
            (node, node.runner.shares(DEPLOYMENT).get(NEW, 0.0))
            for node in self._live
            if node.serving
        ]
        verdict = self._verdict
        since_s = self._timers.now() - self._trace.fault_s
        if (
            since_s >= 0
            and verdict.stopped_s < 0
            and verdict.bad_requests
            and not any(share for _, share in self._shares)
        ):
            verdict.stopped_s = since_s
        for index, part in enumerate(self._trace.traffic):
            due_s = self._due_s[index]
            while due_s < min(until_s, part.to_s):
                version = self._serve_one(part)
                self._count(version, since_s >= 0)
                due_s += part.every_ms / 1000
            self._due_s[index] = due_s

    def _serve_one(self, part: Traffic) -> str:
        node, share = self._rng.choice(self._shares)
        version, outcomes = OLD, part.old
        if self._rng.random() < share:
            version, outcomes = NEW, part.new
            if share > part.above_share:
                outcomes = part.new_above
        status, latency_ms, *gap_ms = self._rng.choice(outcomes)
        view = self._views[version]
        if 0 < status < 500:
            node.runner.record_latency(view, part.route, latency_ms / 1000)
            if gap_ms:
                node.runner.record_gap(view, part.route, gap_ms[0] / 1000)
        node.runner.record_outcome(view, part.route, int(status))
        return version

    def _count(self, version: str, faulty: bool) -> None:
        verdict = self._verdict
        verdict.requests += 1
        if version == NEW:
            verdict.new_requests += 1
        if not faulty:
            return
        if version == NEW:
            verdict.bad_requests += 1
        if verdict.stopped_s < 0:
            verdict.requests_since_fault += 1

    async def _run_events(self) -> None:
        deployment = self._live[0].state.current.deployments[DEPLOYMENT]
        share = deployment.versions[NEW].share
        for event in list(self._events):
            due = (
                event.at_s is not None and self._timers.now() >= event.at_s
            ) or (event.at_share is not None and share >= event.at_share)
            if due:
                self._events.remove(event)
                await getattr(self, f"do_{event.do}")()
                return

    def _note_leaders(self) -> None:
        for node in self._live:
            if node.runner.leading and node.name not in self._verdict.leaders:
                self._verdict.leaders.append(node.name)

    def _leader(self) -> _Node | None:
        leaders = [n for n in self._live if n.runner.leading]
        return leaders[0] if leaders else None

    async def _freeze(self, node: _Node) -> None:
        # Neither the lease is given up nor anything said to peers.
        node.runner.freeze()
        node.links.disconnect()

    async def do_confirm(self) -> None:
        """Confirms the first plan at the first node."""
        await self._confirm(self._live[0], MOVE, "anna")

    async def do_confirm_both(self) -> None:
        """Confirms two plans at two nodes at once."""
        await asyncio.gather(
            self._confirm(self._live[0], MOVE, "anna"),
            self._confirm(self._live[1], SECOND_MOVE, "ben"),
        )

    async def _confirm(self, node: _Node, name: str, who: str) -> None:
        task = asyncio.create_task(node.commands.confirm(name, who))
        # A conflict waits for the other change, which time has to bring.
        while not task.done():
            await self._timers.run_for(STEP_S, STEP_S)
            await self._deliver()
        try:
            task.result()
        except GuavalaneError as error:
            self._verdict.refused_confirms += 1
            self._verdict.time_line.append(f"refused: {error}")

    async def do_cancel(self) -> None:
        """Cancels the move at the last node."""
        await self._live[-1].commands.cancel(MOVE, "ben")

    async def do_kill_leader(self) -> None:
        """Ends the leader's process without notice."""
        node = self._leader()
        if node is not None:
            await self._freeze(node)
            self._live.remove(node)

    async def do_pause_leader(self) -> None:
        """Stops the leader's process; it keeps its memory."""
        self._cut = self._leader()
        if self._cut is not None:
            await self._freeze(self._cut)
            self._cut.serving = False
            self._cut.api.cut = True

    async def do_resume(self) -> None:
        """Continues the process that was paused."""
        node = self._cut
        if node is not None:
            node.serving = True
            node.api.cut = False
            for other in self._live:
                if other is not node:
                    node.links.connect(other.links)
            node.runner.start()
            self._deliver_again()

    async def do_cut_leader(self) -> None:
        """Cuts the leader off from peers and object API; it still serves."""
        self._cut = self._leader()
        if self._cut is not None:
            self._cut.links.disconnect()
            self._cut.api.cut = True

    async def do_object_api_down(self) -> None:
        """Starts an outage of the object API."""
        self._api.set_down(True)

    async def do_object_api_up(self) -> None:
        """Ends the outage."""
        self._api.set_down(False)
        self._deliver_again()

    def _deliver_again(self) -> None:
        self._delivered = ""
        self._writes_seen = -1

    async def _finish(self) -> None:
        node = next(n for n in self._live if not n.api.cut)
        explained = await node.commands.explain(MOVE)
        second = await node.commands.status(SECOND_MOVE)
        self._verdict.state = explained["state"]
        if second["state"] in ("running", "done", "undone"):
            self._verdict.state = f"two moves: {self._verdict.state}"
        self._verdict.time_line += [
            f"{event['who']} {event['kind']}: {event['text']}"
            for event in explained["events"]
        ]
        for each in self._nodes:
            each.runner.freeze()


def differences(verdict: Verdict, expected: Expected) -> list[str]:
    """Returns how a verdict differs from the stated outcome, one per line."""
    found = []
    if verdict.state != expected.state:
        found.append(f"the move is {verdict.state}, not {expected.state}")
    if expected.reason and not any(
        expected.reason in line for line in verdict.time_line
    ):
        found.append(f"the time line does not contain {expected.reason!r}")
    if expected.by_s is not None and not 0 <= verdict.ended_s <= expected.by_s:
        found.append(
            f"the move ended at {verdict.ended_s:g} s, not by"
            f" {expected.by_s:g} s"
        )
    limit = expected.bad_requests_at_most
    if limit is not None and verdict.bad_requests > limit:
        found.append(
            f"the bad version served {verdict.bad_requests} requests, at most"
            f" {limit} are allowed"
        )
    percent = expected.bad_percent_at_most
    part = 100 * verdict.bad_requests / max(1, verdict.requests_since_fault)
    if percent is not None and part > percent:
        found.append(
            f"the bad version served {part:.3g} % of the requests, at most"
            f" {percent:g} % are allowed"
        )
    if verdict.refused_confirms != expected.refused_confirms:
        found.append(
            f"{verdict.refused_confirms} confirms were refused, not"
            f" {expected.refused_confirms}"
        )
    if (
        expected.leaders is not None
        and len(verdict.leaders) != expected.leaders
    ):
        found.append(
            f"{len(verdict.leaders)} nodes led, not {expected.leaders}"
        )
    return found
