"""Version moves on one node: evidence, vetoes, shares and leadership."""

from __future__ import annotations

import asyncio
import copy
import random
from typing import Any

import xxhash
from loguru import logger as log

from guavalane_core.configuration import (
    Configuration,
    ConfigurationState,
    Deployment,
    MoveRule,
)
from guavalane_core.exceptions import (
    GenerationConflictError,
    ObjectApiError,
    ObjectNotFoundError,
)
from guavalane_core.leases import LeaseHolder
from guavalane_core.messages import Evidence, LeaderNotice, Veto
from guavalane_core.moves import (
    WINDOW_S,
    Command,
    DeadlineClock,
    EndMove,
    EvidenceWindows,
    Judge,
    MoveEvent,
    MoveLeader,
    RaiseVeto,
    ReportProgress,
    StepShares,
    VetoSet,
    effective_shares,
    latency_bucket,
    make_veto,
    rollback_shares,
    stage_shares,
    to_message,
    window_index,
)
from guavalane_core.moves.plan import WARM_UP_S
from guavalane_core.moves.record import EVIDENCE
from guavalane_core.objects import ObjectApi
from guavalane_core.routing import EndpointView
from guavalane_core.timers import Timers
from guavalane_entry.moves.links import Links
from guavalane_entry.moves.records import MoveRecordStore
from guavalane_entry.store.configuration import ConfigurationKeeper

LEASE = "move-leader"
TICK_S = 1.0
# Nodes that report evidence. More add cost at the leader and no speed; every
# node still judges its own traffic.
REPORTERS = 8
SPARE_REPORTERS = 4
# Nodes that try to lead; the others would only add reads of the lease.
CANDIDATES = 3
RENEW_S = 2.0
# Time between two notices of the leader and two exchanges of vetoes with a
# random peer, in seconds.
NOTICE_S = 10.0
GOSSIP_S = 5.0
FAILED = 0
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500


def changed_shares(
    plain: dict[str, Any],
    deployment: str,
    shares: dict[str, float],
    ended: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Returns a configuration with other shares in one deployment.

    Args:
      plain: Configuration as plain data; it is not changed.
      deployment: Deployment.
      shares: Share of each version.
      ended: Outcome of the move as plain data, if it ends.
    """
    data = {**plain, "deployments": copy.deepcopy(plain["deployments"])}
    entry = data["deployments"][deployment]
    for version, share in shares.items():
        entry["versions"].setdefault(version, {})["share"] = share
    if ended is not None:
        entry.pop("move", None)
        entry["last_move"] = ended
    return data


def configured_shares(deployment: Deployment) -> dict[str, float]:
    """Returns the share of each version as configured."""
    return {name: v.share for name, v in deployment.versions.items()}


class _LocalMove:
    """A move as this node judges it from its own traffic."""

    def __init__(
        self, deployment: str, rule: MoveRule, routes: tuple[str, ...], now: int
    ) -> None:
        self.deployment = deployment
        self.rule = rule
        self.routes = routes
        self.judge: Judge | None = None
        self.first_window = now
        self.judged = now - 1
        # Last window sent to the leader.
        self.sent = now - 1


class MoveRunner:
    """Takes part in version moves.

    Args:
      node: Name of this node.
      state: Configuration in force.
      keeper: Stores configuration changes.
      api: Object API.
      links: Connections to peers.
      timers: Timer service.
      lease: Lease of the move leader.
    """

    def __init__(
        self,
        node: str,
        state: ConfigurationState,
        keeper: ConfigurationKeeper,
        api: ObjectApi,
        links: Links,
        timers: Timers,
        lease: LeaseHolder,
    ) -> None:
        self._node = node
        self._state = state
        self._keeper = keeper
        self._records = MoveRecordStore(api)
        self._links = links
        self._timers = timers
        self._lease = lease
        self._rng = random.Random(node)
        self._windows = EvidenceWindows()
        self._vetoes = VetoSet()
        self._clock = DeadlineClock()
        self._local: dict[str, _LocalMove] = {}
        self._leader: MoveLeader | None = None
        self._leader_name = ""
        self._leader_number = 0
        self._led_generation = -1
        self._renewed_s = float("-inf")
        self._noticed_s = float("-inf")
        self._gossiped_s = float("-inf")
        # Events that could not be stored yet, by move, and end states.
        self._pending: dict[str, list[MoveEvent]] = {}
        self._ended: dict[str, str] = {}
        self._task: asyncio.Task | None = None
        self._ticks: Any = None
        state.subscribe(self.apply)
        links.on_message(Veto, self._take_veto)
        links.on_message(Evidence, self._take_evidence)
        links.on_message(LeaderNotice, self._take_notice)
        links.on_connect(self._greet)

    @property
    def leading(self) -> bool:
        """Whether this node leads the moves."""
        return self._leader is not None

    @property
    def leader(self) -> str:
        """Node that leads as far as this node knows; empty if none."""
        return self._leader_name

    @property
    def records(self) -> MoveRecordStore:
        """Records of moves in the object API."""
        return self._records

    @property
    def vetoes(self) -> VetoSet:
        """Vetoes that this node knows."""
        return self._vetoes

    def start(self) -> None:
        """Starts to judge and, if the lease is free, to lead."""
        self._ticks = self._timers.call_every(TICK_S, self.on_tick)
        self._task = asyncio.create_task(self._run())

    def freeze(self) -> None:
        """Stops at once, as a process that is killed or paused."""
        if self._ticks is not None:
            self._ticks.cancel()
        if self._task is not None:
            self._task.cancel()

    async def stop(self) -> None:
        """Stops and gives the lease up."""
        self.freeze()
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)
        if self._leader is not None:
            self._leader = None
            try:
                await self._lease.release()
            except ObjectApiError as error:
                log.warning("moves: lease not released: {}", error)

    def shares(self, deployment: str) -> dict[str, float]:
        """Returns the shares that this node follows."""
        found = self._state.current.deployments.get(deployment)
        if found is None:
            return {}
        rule = found.move
        if rule is None:
            return configured_shares(found)
        passed = self._clock.passed(rule, self._timers.now())
        return effective_shares(found, self._vetoes.versions(rule.name), passed)

    def request_rate(self, deployment: str) -> float:
        """Returns the attempts per second that evidence would cover."""
        window = window_index(self._timers.wall())
        reporters = min(REPORTERS, 1 + len(self._links.peers))
        return self._windows.request_rate(deployment, window) * reporters

    def dump(self) -> dict[str, Any]:
        """Returns the moves that this node knows, for a state dump."""
        return {
            "leader": self._leader_name,
            "leading": self.leading,
            "fencing_number": self._leader_number,
            "moves": sorted(self._local),
            "vetoes": [
                {"move": v.move, "version": v.version, "origin": v.origin}
                for v in self._vetoes.all
            ],
            "events_not_stored": sum(map(len, self._pending.values())),
        }

    def progress(self, name: str) -> str:
        """Returns what a move waits for, if this node leads it."""
        state = self._leader.states.get(name) if self._leader else None
        return state.progress(self._timers.now()) if state else ""

    def apply(self, configuration: Configuration) -> None:
        """Follows a new configuration."""
        now, wall = self._timers.now(), self._timers.wall()
        moves = {
            name: deployment.move
            for name, deployment in configuration.deployments.items()
            if deployment.move is not None
        }
        self._clock.follow(list(moves.values()), now, wall)
        names = {rule.name for rule in moves.values()}
        self._vetoes.keep(names)
        self._local = {
            name: local for name, local in self._local.items() if name in names
        }
        for deployment, rule in moves.items():
            routes = tuple(
                sorted(
                    name
                    for name, route in configuration.routes.items()
                    if route.deployment == deployment
                )
            )
            local = self._local.get(rule.name)
            if local is None:
                self._local[rule.name] = _LocalMove(
                    deployment, rule, routes, window_index(wall)
                )
            else:
                local.rule = rule

    def record_latency(
        self, view: EndpointView, route: str, seconds: float
    ) -> None:
        """Records the time to the first token or to the answer."""
        self._figures(view, route).latency[latency_bucket(seconds)] += 1

    def record_gap(
        self, view: EndpointView, route: str, seconds: float
    ) -> None:
        """Records the mean time between the events of a stream."""
        self._figures(view, route).gaps[latency_bucket(seconds)] += 1

    def record_outcome(
        self, view: EndpointView, route: str, status: int
    ) -> None:
        """Records the end of an attempt; status 0 stands for a failure."""
        figures = self._figures(view, route)
        figures.requests += 1
        if status == FAILED or status >= FIRST_SERVER_ERROR:
            figures.errors += 1
        elif status >= FIRST_CLIENT_ERROR:
            figures.rejected += 1

    def _figures(self, view: EndpointView, route: str) -> Any:
        return self._windows.counts(
            window_index(self._timers.wall()),
            view.endpoint.deployment,
            view.endpoint.version,
            route,
        )

    def on_tick(self) -> None:
        """Judges the windows that have ended and reports them."""
        now = self._timers.now()
        window = window_index(self._timers.wall())
        for local in list(self._local.values()):
            self._judge(local, window)
            self._report(local, window)
        if now - self._gossiped_s >= GOSSIP_S and self._links.peers:
            self._gossiped_s = now
            peer = self._rng.choice(sorted(self._links.peers))
            for veto in self._vetoes.all:
                self._links.send(peer, veto)

    def _judge(self, local: _LocalMove, window: int) -> None:
        rule = local.rule
        # Holds also after the clock was set back.
        local.judged = min(local.judged, window - 1)
        if local.judge is None:
            local.judge = Judge(
                rule.old,
                rule.new,
                local.routes,
                parties=1 + len(self._links.peers),
            )
        for number, figures in self._windows.closed(
            local.deployment, window, local.judged
        ).items():
            since_s = (number - local.first_window) * WINDOW_S
            local.judge.observe(figures, warm_up=since_s < WARM_UP_S)
            local.judged = number
        finding = local.judge.finding()
        if finding is not None:
            self._raise_veto(
                RaiseVeto(rule.name, local.deployment, rule.new, finding.text)
            )

    def _raise_veto(self, command: RaiseVeto) -> None:
        own = {v.origin for v in self._vetoes.of(command.move, command.version)}
        if self._node in own:
            return
        veto = make_veto(command, self._node, self._timers.wall())
        self._vetoes.offer(veto)
        log.warning(
            "moves: {} vetoes version {} in {}: {}",
            self._node,
            veto.version,
            veto.move,
            veto.reason,
        )
        self._links.broadcast(veto)

    def _report(self, local: _LocalMove, window: int) -> None:
        local.sent = min(local.sent, window - 1)
        if not self._leader_name or not self._ranks_below(
            f"{EVIDENCE}/{local.rule.name}", REPORTERS
        ):
            return
        versions = (local.rule.old, local.rule.new)
        for number, by_version in self._windows.closed(
            local.deployment, window, local.sent
        ).items():
            local.sent = number
            for (version, route), figures in by_version.items():
                if version not in versions:
                    continue
                message = to_message(
                    local.rule.name, version, route, number, figures
                )
                if self._leader is not None:
                    self._leader.on_evidence(
                        self._node, message, self._timers.wall()
                    )
                else:
                    self._links.send(self._leader_name, message)

    def _ranks_below(self, purpose: str, limit: int) -> bool:
        """Returns whether this node is among the first for a purpose."""
        return self._node in self._first(purpose, limit)

    def _first(self, purpose: str, limit: int) -> list[str]:
        def rank(name: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{purpose}/{name}".encode())

        return sorted([self._node, *self._links.peers], key=rank)[:limit]

    def _take_veto(self, _: Any, veto: Veto) -> None:
        if self._vetoes.offer(veto):
            log.warning(
                "moves: {} vetoed version {} in {}: {}",
                veto.origin,
                veto.version,
                veto.move,
                veto.reason,
            )

    def _take_evidence(self, peer: Any, evidence: Evidence) -> None:
        if self._leader is not None:
            self._leader.on_evidence(peer.name, evidence, self._timers.wall())

    def _take_notice(self, _: Any, notice: LeaderNotice) -> None:
        if notice.fencing_number < self._leader_number:
            return
        if notice.fencing_number > self._leader_number:
            # The new leader needs the windows that the old one had.
            for local in self._local.values():
                local.sent = local.first_window - 1
        self._leader_name = notice.node
        self._leader_number = notice.fencing_number

    def _greet(self, peer: Any) -> None:
        for veto in self._vetoes.all:
            peer.send(veto)
        if self._leader is not None:
            peer.send(self._notice())

    def _notice(self) -> LeaderNotice:
        return LeaderNotice(
            node=self._node, fencing_number=self._lease.fencing_number
        )

    def _notify_reporters(self) -> None:
        # Nodes may differ on who lives, so that a few more are told.
        for name in self._local:
            purpose = f"{EVIDENCE}/{name}"
            for node in self._first(purpose, REPORTERS + SPARE_REPORTERS):
                if node != self._node:
                    self._links.send(node, self._notice())

    async def _run(self) -> None:
        while True:
            try:
                await self.lead_once()
                await self._store_events()
            except ObjectApiError as error:
                log.debug("moves: object API unreachable: {}", error)
            except Exception as error:
                # A defect here must not end the leadership for good.
                log.opt(exception=error).error("moves: leading failed")
            await self._timers.sleep(TICK_S)

    async def lead_once(self) -> None:
        """Takes part in the election of the leader, and leads if elected.

        Raises:
          ObjectApiError: The object API cannot be reached.
        """
        if not await self._hold_lease():
            self._leader = None
            return
        if self._leader is None:
            self._become_leader()
        await self._follow_configuration()
        now, wall = self._timers.now(), self._timers.wall()
        if now - self._noticed_s >= NOTICE_S:
            self._noticed_s = now
            self._notify_reporters()
        for command in self._leader.on_timer(now, wall, self._vetoes):
            if not self._lease.check():
                return
            await self._execute(command)

    async def _hold_lease(self) -> bool:
        busy = bool(self._local)
        if self._leader is None:
            if not busy or not self._ranks_below(LEASE, CANDIDATES):
                return False
            return await self._lease.acquire()
        if not busy:
            await self._lease.release()
            log.info("moves: {} stops to lead", self._node)
            return False
        now = self._timers.now()
        if now - self._renewed_s >= RENEW_S:
            self._renewed_s = now
            try:
                return await self._lease.renew()
            except ObjectApiError as error:
                # The lease holds on until the end of its last renewal.
                log.debug("moves: lease not renewed: {}", error)
        return self._lease.check()

    def _become_leader(self) -> None:
        self._leader = MoveLeader()
        self._led_generation = -1
        number = self._lease.fencing_number
        self._take_notice(None, self._notice())
        self._renewed_s = self._timers.now()
        self._noticed_s = float("-inf")
        log.info("moves: {} leads with fencing number {}", self._node, number)
        for name in self._local:
            self._event(name, "lead", f"leads with fencing number {number}")

    async def _follow_configuration(self) -> None:
        configuration = self._state.current
        unknown = self._leader.unknown(configuration)
        if not unknown and configuration.generation == self._led_generation:
            return
        records = {}
        for name in sorted(unknown):
            try:
                _, records[name] = await self._records.get(name)
            except ObjectNotFoundError:
                log.error("moves: the plan of {} is lost", name)
        self._leader.follow(
            configuration, records, self._timers.now(), self._timers.wall()
        )
        self._led_generation = configuration.generation

    async def _execute(self, command: Command) -> None:
        if isinstance(command, RaiseVeto):
            self._raise_veto(command)
        elif isinstance(command, ReportProgress):
            self._event(command.move, EVIDENCE, command.text)
        elif isinstance(command, StepShares):
            await self._step(command)
        elif isinstance(command, EndMove):
            await self._conclude(command)

    async def _step(self, command: StepShares) -> None:
        deployment = self._state.current.deployments[command.deployment]
        rule = deployment.move
        shares = stage_shares(
            configured_shares(deployment), rule.old, rule.new, command.share
        )
        data = changed_shares(self._state.plain, command.deployment, shares)
        if await self._change(data):
            text = f"share of {rule.new} is {command.share:g}: {command.reason}"
            self._event(command.move, "step", text)

    async def _conclude(self, command: EndMove) -> None:
        deployment = self._state.current.deployments[command.deployment]
        rule = deployment.move
        shares = configured_shares(deployment)
        if command.outcome == "done":
            shares = stage_shares(shares, rule.old, rule.new, 1.0)
        elif command.outcome == "undone":
            shares = rollback_shares(shares, rule.old, rule.new)
        ended = {
            "name": command.move,
            "outcome": command.outcome,
            "by": self._node,
        }
        vetoes = self._vetoes.of(command.move, rule.new)
        data = changed_shares(
            self._state.plain, command.deployment, shares, ended
        )
        if not await self._change(data):
            return
        for veto in vetoes:
            self._event(
                command.move,
                "veto",
                f"vetoed {veto.version}: {veto.reason}",
                who=veto.origin,
                at_s=veto.observed_s,
            )
        self._ended[command.move] = command.outcome
        self._event(command.move, "end", f"{command.outcome}: {command.reason}")
        log.info(
            "moves: {} is {}: {}",
            command.move,
            command.outcome,
            command.reason,
        )

    async def _change(self, data: dict[str, Any]) -> bool:
        try:
            await self._keeper.change(data, self._state.generation)
        except GenerationConflictError as error:
            # The watch brings the other change, and the leader decides anew.
            log.info("moves: {}", error)
            return False
        except ObjectApiError as error:
            log.warning("moves: change not stored: {}", error)
            return False
        return True

    def _event(
        self,
        move: str,
        kind: str,
        text: str,
        *,
        who: str = "",
        at_s: float | None = None,
    ) -> None:
        event = MoveEvent(
            at_s=self._timers.wall() if at_s is None else at_s,
            who=who or self._node,
            kind=kind,
            text=text,
        )
        self._pending.setdefault(move, []).append(event)

    async def _store_events(self) -> None:
        for name, events in list(self._pending.items()):
            try:
                stored, record = await self._records.get(name)
            except ObjectNotFoundError:
                del self._pending[name]
                continue
            # Events stay true after the lease is lost, so they are stored then
            # as well; the state was decided by the configuration.
            changes: dict[str, Any] = {}
            if name in self._ended:
                changes["state"] = self._ended[name]
            if self._lease.fencing_number >= record.fencing_number:
                changes["leader"] = self._node
                changes["fencing_number"] = self._lease.fencing_number
            await self._records.update(
                stored, record.with_events(*events, **changes)
            )
            del self._pending[name]
            self._ended.pop(name, None)
