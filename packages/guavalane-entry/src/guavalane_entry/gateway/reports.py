"""Reports between nodes over UDP.

All figures of a report are totals, so a lost or doubled datagram does no harm,
and no connection can be cut or go silent.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Iterator

from guavalane_core.exceptions import MessageError
from guavalane_core.fleet.replica_demand import DemandTotals
from guavalane_core.messages import (
    AllotmentUse,
    MoveOutcomes,
    NodeReport,
    PrefixUse,
    ServiceDemand,
    WindowUsage,
    WorkReport,
    decode,
    encode,
)
from guavalane_core.moves.trial import VersionCount
from guavalane_core.timers import Timers
from guavalane_core.usage.counts import WindowCount
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.settings import Address
from guavalane_entry.gateway.view import NodeView
from guavalane_entry.gateway.work_reports import from_messages, to_messages

# Time between two reports of a node among few, in seconds.
REPORT_PERIOD_S = 0.25
# Nodes up to which that period holds. With more it grows in proportion, so
# that a node takes 64 reports a second at most.
NODES_AT_PERIOD = 16
JITTER = 0.2
# Datagrams that are sent at once, and the time until the next ones, in seconds.
# A burst to all nodes of a large fleet fills the queue of a thin link, which
# then drops its tail.
SLICE = 8
SLICE_PERIOD_S = 0.05
# Time from the start to the first report, in seconds, and between its slices.
# Until others are heard, a node may draw its part of each allotment only.
FIRST_REPORT_S = 0.1
FIRST_SLICE_PERIOD_S = 0.025
# In a large fleet usage, the longest part of a report, goes with every second
# one: its figures are fixed after four.
USAGE_REPORTS = 2
# A node is taken as silent after this time, in seconds, or after this many
# periods if they take longer.
SILENT_S = 2.0
SILENT_PERIODS = 4
# A node that is silent for this time, in seconds, or for as many periods, may
# use its part of each allotment unseen. What others use meanwhile counts twice.
UNSEEN_S = 1.0
# Processes whose starts are at most this far apart, in milliseconds, started
# together. What one of them has drawn since counts for the others.
COMMON_START_MS = 1000


def report_period_s(nodes: int) -> float:
    """Returns the time between two reports among a number of nodes."""
    return REPORT_PERIOD_S * max(1.0, nodes / NODES_AT_PERIOD)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, reports: PeerReports) -> None:
        self._reports = reports

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._reports.receive(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: OSError) -> None:
        # A peer that is down refuses datagrams; its silence is noticed.
        pass


class PeerReports:
    """Sends this node's report to all others and takes theirs.

    Args:
      view: State to report and to change.
      timers: Timer service.
      log: Log of decisions.
      incarnation: Start of this process, as an ordered number.
      duties: Function that returns the fencing number while this node holds
          the duties, else 0.
      on_work: Called with the work of another node that takes this one for a
          relay.
    """

    def __init__(
        self,
        view: NodeView,
        timers: Timers,
        log: DecisionLog,
        incarnation: int,
        duties: Callable[[], int],
        on_work: Callable[[WorkReport], None] = lambda report: None,
    ) -> None:
        self._view = view
        self._timers = timers
        self._log = log
        self._incarnation = incarnation
        self._sequence = 0
        self._duties = duties
        self._on_work = on_work
        # Newest incarnation and sequence, time heard and fencing number of
        # each node.
        self._newest: dict[str, tuple[int, int]] = {}
        self._heard: dict[str, float] = {}
        self._holders: dict[str, int] = {}
        self._addresses: dict[str, str] = {}
        self._configurations: dict[str, int] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Starts to receive and send."""
        address = self._view.settings.peers
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self), (address.host, address.port)
        )
        self.begin()

    def begin(self) -> None:
        """Starts to send reports over a socket that is open."""
        latest_s = self._timers.now() + REPORT_PERIOD_S
        self._timers.call_later(
            FIRST_REPORT_S, lambda: self._send_first(latest_s)
        )

    def _send_first(self, latest_s: float) -> None:
        """Reports once other nodes are known, then each period."""
        if self._transport is None:
            return
        if self._view.peers or self._timers.now() >= latest_s:
            self._schedule()
            self.send(FIRST_SLICE_PERIOD_S)
        else:
            self._timers.call_later(
                FIRST_REPORT_S / 2, lambda: self._send_first(latest_s)
            )

    def _schedule(self) -> None:
        spread = 1 + JITTER * (2 * self._view.rng.random() - 1)
        period_s = report_period_s(self._view.node_count)
        self._timers.call_later(period_s * spread, self._send_and_schedule)

    def _send_and_schedule(self) -> None:
        if self._transport is None:
            return
        # Scheduled first, so that a failing report keeps its timer.
        self._schedule()
        self._judge_moves()
        self.send()

    def stop(self) -> None:
        """Sends a last report to all at once and closes the socket."""
        if self._transport is not None:
            frame = encode(self.make())
            for peer in self._view.peers:
                self.send_to(peer, frame)
            self._transport.close()
            self._transport = None

    def live_peers(self) -> list[str]:
        """Returns the nodes that were heard lately."""
        return self._heard_within(self._silent_s())

    def _heard_within(self, seconds: float) -> list[str]:
        now_s = self._timers.now()
        return [
            node
            for node, heard_s in self._heard.items()
            if now_s - heard_s <= seconds
        ]

    def _silent_s(self) -> float:
        return max(SILENT_S, self._unseen_s())

    def _unseen_s(self) -> float:
        period_s = report_period_s(self._view.node_count)
        return max(UNSEEN_S, SILENT_PERIODS * period_s)

    def heard_holder(self) -> str | None:
        """Returns the live node that says that it holds the duties."""
        for node in self.live_peers():
            if self._holders.get(node):
                return node
        return None

    def address_of(self, node: str) -> str | None:
        """Returns where a node's last report came from."""
        return self._addresses.get(node)

    def newest_configuration(self) -> tuple[int, str]:
        """Returns the newest version that a live node has, and the node."""
        return max(
            ((self._configurations[node], node) for node in self.live_peers()),
            default=(0, ""),
        )

    def send(self, slice_period_s: float = SLICE_PERIOD_S) -> None:
        """Sends one report to every other node.

        Args:
          slice_period_s: Time between slices in a large fleet, in seconds.
        """
        if self._transport is None:
            return
        frame = encode(self.make())
        peers = list(self._view.peers)
        if len(peers) > NODES_AT_PERIOD:
            self._view.rng.shuffle(peers)
            self._send_slices(frame, peers, slice_period_s)
        else:
            for peer in peers:
                self.send_to(peer, frame)
        self._share_allotments()

    def _send_slices(
        self, frame: bytes, peers: list[str], period_s: float
    ) -> None:
        for peer in peers[:SLICE]:
            self.send_to(peer, frame)
        rest = peers[SLICE:]
        if rest:
            self._timers.call_later(
                period_s, lambda: self._send_slices(frame, rest, period_s)
            )

    def send_to(self, node: str, frame: bytes) -> None:
        """Sends a frame to one node, if it is known."""
        address = self._view.peers.get(node)
        if self._transport is not None and address is not None:
            parsed = Address.parse(address)
            self._transport.sendto(frame, (parsed.host, parsed.port))

    def make(self) -> NodeReport:
        """Returns the next report."""
        view = self._view
        self._sequence += 1
        table = view.table
        return NodeReport(
            node=view.settings.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            wall_ms=int(self._timers.wall() * 1000),
            configuration=table.configuration.version if table else 0,
            duties=self._duties(),
            work=to_messages(view.work.own_loads()),
            allotments=tuple(self._allotment_uses()),
            usage=tuple(
                WindowUsage(
                    window=count.window,
                    organisation=count.organisation,
                    requests=count.requests,
                )
                for count in self._recent_usage()
            ),
            demand=tuple(
                ServiceDemand(
                    service=service,
                    requests=totals.requests,
                    read_tokens=totals.read_tokens,
                )
                for service, totals in view.sent.items()
            ),
            prefixes=tuple(
                PrefixUse(endpoint=endpoint_id, part=part_id)
                for endpoint_id, part_id in view.prefixes.take_unreported()
            ),
            moves=tuple(self._move_outcomes()),
        )

    def _allotment_uses(self) -> Iterator[AllotmentUse]:
        allotments = self._view.allotments
        levels = allotments.levels(self._timers.now())
        for name, units in allotments.drawn.items():
            yield AllotmentUse(
                organisation=name,
                units=max(0, units),
                level=int(levels.get(name, 0)),
            )

    def _recent_usage(self) -> Iterable[WindowCount]:
        large = len(self._view.peers) > NODES_AT_PERIOD
        if large and self._sequence % USAGE_REPORTS:
            return ()
        return self._view.usage.recent()

    def _move_outcomes(self) -> Iterator[MoveOutcomes]:
        moves = self._view.moves
        for service, followed in moves.moves.items():
            if moves.running(service) is None:
                continue
            for count in followed.trial.counts:
                yield MoveOutcomes(
                    service=service,
                    target=followed.move.target,
                    route=count.route,
                    is_new=count.is_new,
                    attempts=count.attempts,
                    failed=count.failed,
                    slow=count.slow,
                )

    def receive(self, data: bytes, address: str) -> None:
        """Takes the report of another node.

        Args:
          data: Datagram.
          address: Address that it came from, `IP:PORT`.
        """
        try:
            report = decode(data)
        except MessageError as error:
            self._log.event("peer.invalid", reason=str(error))
            return
        if isinstance(report, WorkReport):
            self._on_work(report)
            return
        if not isinstance(report, NodeReport):
            self._log.event("peer.invalid", reason="not a report")
            return
        order = (report.incarnation, report.sequence)
        if order <= self._newest.get(report.node, (0, 0)):
            return
        self._newest[report.node] = order
        self._addresses[report.node] = address
        self._configurations[report.node] = report.configuration
        self._apply(report)

    def _apply(self, report: NodeReport) -> None:
        view = self._view
        now_s = self._timers.now()
        node = report.node
        if now_s - self._heard.get(node, -math.inf) > self._silent_s():
            self._log.event("peer.heard", peer=node)
        self._heard[node] = now_s
        self._holders[node] = report.duties
        view.clock.observe(node, report.wall_ms / 1000)
        loads = from_messages(report.work)
        view.work.report(node, loads, now_s + self._silent_s())
        self._apply_allotments(report, now_s)
        view.usage.report(
            node,
            report.incarnation,
            [
                WindowCount(u.window, u.organisation, u.requests)
                for u in report.usage
            ],
        )
        for sent in report.demand:
            view.demand(sent.service).report(
                node,
                report.incarnation,
                DemandTotals(sent.requests, sent.read_tokens),
            )
        for use in report.prefixes:
            view.prefixes.record_part(use.endpoint, use.part, now_s)
        self._apply_moves(report)

    def _apply_allotments(self, report: NodeReport, now_s: float) -> None:
        allotments = self._view.allotments
        node, incarnation = report.node, report.incarnation
        totals = {use.organisation: use.units for use in report.allotments}
        is_older = self._incarnation - incarnation > COMMON_START_MS
        if is_older and not allotments.has_report(node, incarnation):
            levels = {use.organisation: use.level for use in report.allotments}
            allotments.set_baseline(node, incarnation, totals, levels, now_s)
        else:
            allotments.report(node, incarnation, totals, now_s)

    def _apply_moves(self, report: NodeReport) -> None:
        counts: dict[tuple[str, str], list[VersionCount]] = {}
        for told in report.moves:
            counts.setdefault((told.service, told.target), []).append(
                VersionCount(
                    told.route,
                    told.is_new,
                    told.attempts,
                    told.failed,
                    told.slow,
                )
            )
        moves = self._view.moves
        for (service, target), of_move in counts.items():
            followed = moves.running(service)
            if followed is not None and followed.move.target == target:
                followed.trial.report(report.node, report.incarnation, of_move)
        self._judge_moves()

    def _judge_moves(self) -> None:
        for condemned in self._view.moves.judge():
            self._log.event(
                "move.condemned",
                service=condemned.move.service,
                target=condemned.move.target,
                fault=condemned.fault,
                attempts=condemned.trial.attempts(),
            )

    def _share_allotments(self) -> None:
        known = self._view.node_count
        heard = len(
            set(self._heard_within(self._unseen_s())) & set(self._view.peers)
        )
        self._view.allotments.set_share((heard + 1) / known, self._timers.now())
