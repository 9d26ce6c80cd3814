"""Version moves on one node: evidence, vetoes, traffic shares, leadership."""

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
from guavalane_entry.store.configuration import ConfigurationStore

LEASE = "move-leader"
TICK_S = 1.0
# Number of nodes that report evidence. More reporters add load on the leader
# and do not make it faster; every node still evaluates its own traffic.
MAX_REPORTERS = 8
SPARE_REPORTERS = 4
# Number of nodes that try to acquire the lease. More candidates would only add
# reads of the lease.
MAX_CANDIDATES = 3
LEASE_RENEW_PERIOD_S = 2.0
# Interval between notices of the leader, and between exchanges of vetoes with a
# random peer.
LEADER_NOTICE_PERIOD_S = 10.0
GOSSIP_PERIOD_S = 5.0
FAILED_STATUS = 0
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500


def changed_shares(
    plain: dict[str, Any],
    deployment: str,
    shares: dict[str, float],
    ended: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Returns a configuration with changed shares of one deployment.

    Args:
      plain: Configuration as plain data; not modified.
      deployment: Deployment.
      shares: Share of each version.
      ended: Outcome of the move as plain data if the move ends.
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
    """Returns the configured share of each version."""
    return {name: v.share for name, v in deployment.versions.items()}


class _LocalMoveState:
    """Evaluation of a move from the traffic of this node."""

    def __init__(
        self, deployment: str, rule: MoveRule, routes: tuple[str, ...], now: int
    ) -> None:
        self.deployment = deployment
        self.rule = rule
        self.routes = routes
        self.judge: Judge | None = None
        self.first_window = now
        self.last_evaluated = now - 1
        # Last window whose evidence was sent to the leader.
        self.last_reported = now - 1


class MoveRunner:
    """Evaluates version moves on this node, and leads them if elected.

    Args:
      node: Name of this node.
      state: Configuration in force.
      configuration_store: Stores configuration changes.
      api: Object API.
      links: Connections to peers.
      timers: Timer service.
      lease: Lease of the move leader.
    """

    def __init__(
        self,
        node: str,
        state: ConfigurationState,
        configuration_store: ConfigurationStore,
        api: ObjectApi,
        links: Links,
        timers: Timers,
        lease: LeaseHolder,
    ) -> None:
        self._node = node
        self._state = state
        self._configuration_store = configuration_store
        self._records = MoveRecordStore(api)
        self._links = links
        self._timers = timers
        self._lease = lease
        self._rng = random.Random(node)
        self._windows = EvidenceWindows()
        self._vetoes = VetoSet()
        self._deadline_clock = DeadlineClock()
        self._local_moves: dict[str, _LocalMoveState] = {}
        self._leader: MoveLeader | None = None
        self._leader_name = ""
        self._leader_fencing_number = 0
        self._followed_generation = -1
        self._renewed_s = float("-inf")
        self._leader_notice_s = float("-inf")
        self._gossiped_s = float("-inf")
        # Events that are not stored yet, and outcomes of ended moves, by move.
        self._pending_events: dict[str, list[MoveEvent]] = {}
        self._outcomes: dict[str, str] = {}
        self._task: asyncio.Task | None = None
        self._tick_subscription: Any = None
        state.subscribe(self.apply)
        links.on_message(Veto, self._on_veto)
        links.on_message(Evidence, self._on_evidence)
        links.on_message(LeaderNotice, self._on_leader_notice)
        links.on_connect(self._on_connect)

    @property
    def leading(self) -> bool:
        """Whether this node leads the moves."""
        return self._leader is not None

    @property
    def leader(self) -> str:
        """Last known leader; empty if none is known."""
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
        """Starts the evaluation and the election of the leader."""
        self._tick_subscription = self._timers.call_every(TICK_S, self.on_tick)
        self._task = asyncio.create_task(self._run())

    def freeze(self) -> None:
        """Stops without releasing the lease, like a killed process."""
        if self._tick_subscription is not None:
            self._tick_subscription.cancel()
        if self._task is not None:
            self._task.cancel()

    async def stop(self) -> None:
        """Stops and releases the lease."""
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
        """Returns the shares that this node applies, after vetoes."""
        found = self._state.current.deployments.get(deployment)
        if found is None:
            return {}
        rule = found.move
        if rule is None:
            return configured_shares(found)
        passed = self._deadline_clock.passed(rule, self._timers.now())
        return effective_shares(found, self._vetoes.versions(rule.name), passed)

    def request_rate(self, deployment: str) -> float:
        """Returns the rate of attempts covered by evidence, per second."""
        window = window_index(self._timers.wall())
        reporters = min(MAX_REPORTERS, 1 + len(self._links.peers))
        return self._windows.request_rate(deployment, window) * reporters

    def dump(self) -> dict[str, Any]:
        """Returns the moves known to this node, for the state dump."""
        return {
            "leader": self._leader_name,
            "leading": self.leading,
            "fencing_number": self._leader_fencing_number,
            "moves": sorted(self._local_moves),
            "vetoes": [
                {"move": v.move, "version": v.version, "origin": v.origin}
                for v in self._vetoes.all
            ],
            "events_not_stored": sum(map(len, self._pending_events.values())),
        }

    def progress(self, name: str) -> str:
        """Returns what a move waits for; empty unless this node leads it."""
        state = self._leader.states.get(name) if self._leader else None
        return state.progress(self._timers.now()) if state else ""

    def apply(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        now, wall = self._timers.now(), self._timers.wall()
        moves = {
            name: deployment.move
            for name, deployment in configuration.deployments.items()
            if deployment.move is not None
        }
        self._deadline_clock.follow(list(moves.values()), now, wall)
        names = {rule.name for rule in moves.values()}
        self._vetoes.keep(names)
        self._local_moves = {
            name: local
            for name, local in self._local_moves.items()
            if name in names
        }
        for deployment, rule in moves.items():
            routes = tuple(
                sorted(
                    name
                    for name, route in configuration.routes.items()
                    if route.deployment == deployment
                )
            )
            local = self._local_moves.get(rule.name)
            if local is None:
                self._local_moves[rule.name] = _LocalMoveState(
                    deployment, rule, routes, window_index(wall)
                )
            else:
                local.rule = rule

    def record_latency(
        self, view: EndpointView, route: str, seconds: float
    ) -> None:
        """Records the time to the first token or to the response."""
        self._window_figures(view, route).latency[latency_bucket(seconds)] += 1

    def record_gap(
        self, view: EndpointView, route: str, seconds: float
    ) -> None:
        """Records the mean interval between the events of a stream."""
        self._window_figures(view, route).gaps[latency_bucket(seconds)] += 1

    def record_outcome(
        self, view: EndpointView, route: str, status: int
    ) -> None:
        """Records the status of an attempt; 0 means that it failed."""
        figures = self._window_figures(view, route)
        figures.requests += 1
        if status == FAILED_STATUS or status >= FIRST_SERVER_ERROR:
            figures.errors += 1
        elif status >= FIRST_CLIENT_ERROR:
            figures.rejected += 1

    def _window_figures(self, view: EndpointView, route: str) -> Any:
        return self._windows.counts(
            window_index(self._timers.wall()),
            view.endpoint.deployment,
            view.endpoint.version,
            route,
        )

    def on_tick(self) -> None:
        """Evaluates and reports the windows that have ended."""
        now = self._timers.now()
        window = window_index(self._timers.wall())
        for local in list(self._local_moves.values()):
            self._evaluate_windows(local, window)
            self._report_evidence(local, window)
        if now - self._gossiped_s >= GOSSIP_PERIOD_S and self._links.peers:
            self._gossiped_s = now
            peer = self._rng.choice(sorted(self._links.peers))
            for veto in self._vetoes.all:
                self._links.send(peer, veto)

    def _evaluate_windows(self, local: _LocalMoveState, window: int) -> None:
        rule = local.rule
        # The clock may have been set back.
        local.last_evaluated = min(local.last_evaluated, window - 1)
        if local.judge is None:
            local.judge = Judge(
                rule.old,
                rule.new,
                local.routes,
                parties=1 + len(self._links.peers),
            )
        for number, figures in self._windows.closed(
            local.deployment, window, local.last_evaluated
        ).items():
            since_s = (number - local.first_window) * WINDOW_S
            local.judge.observe(figures, warm_up=since_s < WARM_UP_S)
            local.last_evaluated = number
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

    def _report_evidence(self, local: _LocalMoveState, window: int) -> None:
        local.last_reported = min(local.last_reported, window - 1)
        if not self._leader_name or not self._is_selected(
            f"{EVIDENCE}/{local.rule.name}", MAX_REPORTERS
        ):
            return
        versions = (local.rule.old, local.rule.new)
        for number, by_version in self._windows.closed(
            local.deployment, window, local.last_reported
        ).items():
            local.last_reported = number
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

    def _is_selected(self, purpose: str, limit: int) -> bool:
        """Returns whether this node is selected for a purpose."""
        return self._node in self._select_nodes(purpose, limit)

    def _select_nodes(self, purpose: str, limit: int) -> list[str]:
        def rank(name: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{purpose}/{name}".encode())

        return sorted([self._node, *self._links.peers], key=rank)[:limit]

    def _on_veto(self, _: Any, veto: Veto) -> None:
        if self._vetoes.offer(veto):
            log.warning(
                "moves: {} vetoed version {} in {}: {}",
                veto.origin,
                veto.version,
                veto.move,
                veto.reason,
            )

    def _on_evidence(self, peer: Any, evidence: Evidence) -> None:
        if self._leader is not None:
            self._leader.on_evidence(peer.name, evidence, self._timers.wall())

    def _on_leader_notice(self, _: Any, notice: LeaderNotice) -> None:
        if notice.fencing_number < self._leader_fencing_number:
            return
        if notice.fencing_number > self._leader_fencing_number:
            # The new leader needs all windows that the old one received.
            for local in self._local_moves.values():
                local.last_reported = local.first_window - 1
        self._leader_name = notice.node
        self._leader_fencing_number = notice.fencing_number

    def _on_connect(self, peer: Any) -> None:
        for veto in self._vetoes.all:
            peer.send(veto)
        if self._leader is not None:
            peer.send(self._make_leader_notice())

    def _make_leader_notice(self) -> LeaderNotice:
        return LeaderNotice(
            node=self._node, fencing_number=self._lease.fencing_number
        )

    def _send_leader_notices(self) -> None:
        # Nodes may have different lists of live members, so some additional
        # nodes are notified.
        for name in self._local_moves:
            purpose = f"{EVIDENCE}/{name}"
            for node in self._select_nodes(
                purpose, MAX_REPORTERS + SPARE_REPORTERS
            ):
                if node != self._node:
                    self._links.send(node, self._make_leader_notice())

    async def _run(self) -> None:
        while True:
            try:
                await self.lead_once()
                await self._store_events()
            except ObjectApiError as error:
                log.debug("moves: object API unreachable: {}", error)
            except Exception as error:
                # An unexpected error must not end the task permanently.
                log.opt(exception=error).error("moves: leading failed")
            await self._timers.sleep(TICK_S)

    async def lead_once(self) -> None:
        """Takes part in the election, and runs one step of leading if elected.

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
        if now - self._leader_notice_s >= LEADER_NOTICE_PERIOD_S:
            self._leader_notice_s = now
            self._send_leader_notices()
        for command in self._leader.on_timer(now, wall, self._vetoes):
            if not self._lease.check():
                return
            await self._execute(command)

    async def _hold_lease(self) -> bool:
        busy = bool(self._local_moves)
        if self._leader is None:
            if not busy or not self._is_selected(LEASE, MAX_CANDIDATES):
                return False
            return await self._lease.acquire()
        if not busy:
            await self._lease.release()
            log.info("moves: {} released the leadership", self._node)
            return False
        now = self._timers.now()
        if now - self._renewed_s >= LEASE_RENEW_PERIOD_S:
            self._renewed_s = now
            try:
                return await self._lease.renew()
            except ObjectApiError as error:
                # The lease stays valid until its last renewal expires.
                log.debug("moves: lease not renewed: {}", error)
        return self._lease.check()

    def _become_leader(self) -> None:
        self._leader = MoveLeader()
        self._followed_generation = -1
        number = self._lease.fencing_number
        self._on_leader_notice(None, self._make_leader_notice())
        self._renewed_s = self._timers.now()
        self._leader_notice_s = float("-inf")
        log.info("moves: {} leads with fencing number {}", self._node, number)
        for name in self._local_moves:
            self._add_event(name, "lead", f"leads with fencing number {number}")

    async def _follow_configuration(self) -> None:
        configuration = self._state.current
        unknown = self._leader.unknown(configuration)
        if (
            not unknown
            and configuration.generation == self._followed_generation
        ):
            return
        records = {}
        for name in sorted(unknown):
            try:
                _, records[name] = await self._records.get(name)
            except ObjectNotFoundError:
                log.error("moves: record of {} not found", name)
        self._leader.follow(
            configuration, records, self._timers.now(), self._timers.wall()
        )
        self._followed_generation = configuration.generation

    async def _execute(self, command: Command) -> None:
        if isinstance(command, RaiseVeto):
            self._raise_veto(command)
        elif isinstance(command, ReportProgress):
            self._add_event(command.move, EVIDENCE, command.text)
        elif isinstance(command, StepShares):
            await self._apply_step(command)
        elif isinstance(command, EndMove):
            await self._conclude(command)

    async def _apply_step(self, command: StepShares) -> None:
        deployment = self._state.current.deployments[command.deployment]
        rule = deployment.move
        shares = stage_shares(
            configured_shares(deployment), rule.old, rule.new, command.share
        )
        data = changed_shares(self._state.plain, command.deployment, shares)
        if await self._store_configuration(data):
            text = f"share of {rule.new} is {command.share:g}: {command.reason}"
            self._add_event(command.move, "step", text)

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
        if not await self._store_configuration(data):
            return
        for veto in vetoes:
            self._add_event(
                command.move,
                "veto",
                f"vetoed {veto.version}: {veto.reason}",
                who=veto.origin,
                at_s=veto.observed_s,
            )
        self._outcomes[command.move] = command.outcome
        self._add_event(
            command.move, "end", f"{command.outcome}: {command.reason}"
        )
        log.info(
            "moves: {} is {}: {}",
            command.move,
            command.outcome,
            command.reason,
        )

    async def _store_configuration(self, data: dict[str, Any]) -> bool:
        try:
            await self._configuration_store.change(data, self._state.generation)
        except GenerationConflictError as error:
            # The watch delivers the other change, and the leader then decides
            # again.
            log.info("moves: {}", error)
            return False
        except ObjectApiError as error:
            log.warning("moves: configuration not stored: {}", error)
            return False
        return True

    def _add_event(
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
        self._pending_events.setdefault(move, []).append(event)

    async def _store_events(self) -> None:
        for name, events in list(self._pending_events.items()):
            try:
                stored, record = await self._records.get(name)
            except ObjectNotFoundError:
                del self._pending_events[name]
                continue
            # Events are also stored after the lease is lost, as they remain
            # valid. The state follows from the configuration.
            changes: dict[str, Any] = {}
            if name in self._outcomes:
                changes["state"] = self._outcomes[name]
            if self._lease.fencing_number >= record.fencing_number:
                changes["leader"] = self._node
                changes["fencing_number"] = self._lease.fencing_number
            await self._records.update(
                stored, record.with_events(*events, **changes)
            )
            del self._pending_events[name]
            self._outcomes.pop(name, None)
