"""Reports between nodes over UDP.

All counters in a report are totals, so lost or duplicated datagrams do no harm,
and without connections none can break or stall.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from guavalane_core.exceptions import MessageError
from guavalane_core.fleet.replica_demand import DemandTotals
from guavalane_core.messages import (
    AllotmentReport,
    NodeReport,
    PrefixUse,
    ServiceDemand,
    WindowUsage,
    decode,
    encode,
)
from guavalane_core.timers import Timers
from guavalane_core.usage.counts import WindowCount
from guavalane_entry.gateway.allotment_reports import AllotmentReports
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.move_reports import apply_outcomes, make_outcomes
from guavalane_entry.gateway.settings import Address
from guavalane_entry.gateway.view import NodeView
from guavalane_entry.gateway.work_reports import (
    loads_from_messages,
    loads_to_messages,
)

# Report interval of a node in a small fleet, in seconds.
REPORT_PERIOD_S = 0.25
# Largest fleet to which that interval applies. In larger fleets it grows in
# proportion, so that a node receives at most 64 reports a second.
MAX_NODES_AT_BASE_PERIOD = 16
JITTER = 0.2
# Number of datagrams per batch, and interval between batches, in seconds. A
# burst to all nodes of a large fleet overflows the queue of a slow link, which
# then drops the last datagrams.
BATCH_SIZE = 8
BATCH_PERIOD_S = 0.05
# Allotment reports that a node receives per second at most. They are small and
# sent only while an allotment is nearly exhausted.
MAX_ALLOTMENT_REPORTS_PER_S = 300
# Number of datagrams per batch of allotment or quarantine reports, which are
# small and rare.
SMALL_BATCH_SIZE = 64
# Delay of the first report after the start, and interval between its batches,
# in seconds. Until it hears from peers, a node may draw only its own share of
# each allotment.
FIRST_REPORT_DELAY_S = 0.1
FIRST_BATCH_PERIOD_S = 0.025
# In a large fleet, only every second report contains usage, its largest
# section. That suffices, as a window is finalized only after four report
# periods.
USAGE_REPORT_INTERVAL = 2
# A node counts as failed after this time without a report, in seconds, or after
# this number of report periods if that is longer.
PEER_TIMEOUT_S = 2.0
PEER_TIMEOUT_PERIODS = 4
# A node without a report for this time, in seconds, or for this number of
# report periods if that is longer, may draw its share of each allotment unseen.
# Until then, both sides of a partition draw that share. A lost datagram only
# costs the share of one node.
SHARE_TIMEOUT_S = 1.0
SHARE_TIMEOUT_PERIODS = 2
# If fewer reports than this fraction of the expected ones arrive within
# SHARE_TIMEOUT_S, the fleet is partitioned, and the share is taken from them.
PARTITION_FRACTION = 0.7


def report_period_s(nodes: int) -> float:
    """Returns the report interval for a number of nodes, in seconds."""
    return REPORT_PERIOD_S * max(1.0, nodes / MAX_NODES_AT_BASE_PERIOD)


def allotment_period_s(nodes: int) -> float:
    """Returns the interval of allotment reports, in seconds."""
    return max(REPORT_PERIOD_S, nodes / MAX_ALLOTMENT_REPORTS_PER_S)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, reports: PeerReports) -> None:
        self._reports = reports

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._reports.receive(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: OSError) -> None:
        # A peer that is down refuses datagrams; its missing reports show this.
        pass


class PeerReports:
    """Exchanges reports with all other nodes.

    Args:
      view: Shared state, which is reported and updated.
      timers: Timer service.
      log: Decision log.
      incarnation: Incarnation of this process, which increases with each start.
      duties: Function that returns the fencing number while this node holds
          the duties, else 0.
      handlers: Functions that receive the other kinds of reports, by the class
          of the message.
    """

    def __init__(
        self,
        view: NodeView,
        timers: Timers,
        log: DecisionLog,
        incarnation: int,
        duties: Callable[[], int],
        handlers: Mapping[type, Callable[[Any], None]] | None = None,
    ) -> None:
        self._view = view
        self._timers = timers
        self._log = log
        self._incarnation = incarnation
        self._sequence = 0
        self._duties = duties
        self._handlers = handlers or {}
        # By node: latest incarnation and sequence, time of the last report, and
        # fencing number while it holds the duties.
        self._latest_sequences: dict[str, tuple[int, int]] = {}
        self._last_report_s: dict[str, float] = {}
        self._fencing_numbers: dict[str, int] = {}
        self._addresses: dict[str, str] = {}
        self._configurations: dict[str, int] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._allotments = AllotmentReports(
            view, timers, incarnation, self.send_to_all
        )

    async def start(self) -> None:
        """Starts receiving and sending reports."""
        address = self._view.settings.peers
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self), (address.host, address.port)
        )
        self.start_sending()

    def start_sending(self) -> None:
        """Starts sending reports over the open socket."""
        latest_s = self._timers.now() + REPORT_PERIOD_S
        self._timers.call_later(
            FIRST_REPORT_DELAY_S, lambda: self._send_first(latest_s)
        )

    def _send_first(self, latest_s: float) -> None:
        """Sends the first report once peers are known, then periodically."""
        if self._transport is None:
            return
        if self._view.peers or self._timers.now() >= latest_s:
            self._schedule()
            self._schedule_allotments()
            self.send(FIRST_BATCH_PERIOD_S)
        else:
            self._timers.call_later(
                FIRST_REPORT_DELAY_S / 2, lambda: self._send_first(latest_s)
            )

    def _schedule(self) -> None:
        spread = 1 + JITTER * (2 * self._view.rng.random() - 1)
        period_s = report_period_s(self._view.node_count)
        self._timers.call_later(period_s * spread, self._send_and_schedule)

    def _send_and_schedule(self) -> None:
        if self._transport is None:
            return
        # Scheduled first, so that an error in a report does not stop the timer.
        self._schedule()
        self._evaluate_moves()
        self.send()

    def _schedule_allotments(self) -> None:
        spread = 1 + JITTER * (2 * self._view.rng.random() - 1)
        period_s = allotment_period_s(self._view.node_count)
        self._timers.call_later(period_s * spread, self._on_allotment_timer)

    def _on_allotment_timer(self) -> None:
        if self._transport is None:
            return
        self._schedule_allotments()
        self._update_allotment_share()
        nodes = self._view.node_count
        if allotment_period_s(nodes) < report_period_s(nodes):
            self._allotments.send(self._sequence)

    def send_to_all(self, frame: bytes) -> None:
        """Sends a small frame to all other nodes within a short time."""
        peers = list(self._view.peers)
        self._view.rng.shuffle(peers)
        self._send_batches(frame, peers, FIRST_BATCH_PERIOD_S, SMALL_BATCH_SIZE)

    def stop(self) -> None:
        """Sends a final report to all peers and closes the socket."""
        if self._transport is not None:
            frame = encode(self.make_report())
            for peer in self._view.peers:
                self.send_to(peer, frame)
            self._transport.close()
            self._transport = None

    def live_peers(self) -> list[str]:
        """Returns the peers that sent a report recently."""
        return self._peers_heard_within(self._peer_timeout_s())

    def _peers_heard_within(self, seconds: float) -> list[str]:
        now_s = self._timers.now()
        return [
            node
            for node, last_report_s in self._last_report_s.items()
            if now_s - last_report_s <= seconds
        ]

    def _peer_timeout_s(self) -> float:
        period_s = report_period_s(self._view.node_count)
        return max(PEER_TIMEOUT_S, PEER_TIMEOUT_PERIODS * period_s)

    def live_holder(self) -> str | None:
        """Returns the live peer that reports holding the duties, if any."""
        for node in self.live_peers():
            if self._fencing_numbers.get(node):
                return node
        return None

    def address_of(self, node: str) -> str | None:
        """Returns the source address of the last report of a node."""
        return self._addresses.get(node)

    def newest_configuration(self) -> tuple[int, str]:
        """Returns the newest version that a live peer has, and that peer."""
        return max(
            ((self._configurations[node], node) for node in self.live_peers()),
            default=(0, ""),
        )

    def send(self, batch_period_s: float = BATCH_PERIOD_S) -> None:
        """Sends a report to every other node.

        Args:
          batch_period_s: Interval between batches in a large fleet, in seconds.
        """
        if self._transport is None:
            return
        frame = encode(self.make_report())
        peers = list(self._view.peers)
        if len(peers) > MAX_NODES_AT_BASE_PERIOD:
            self._view.rng.shuffle(peers)
            self._send_batches(frame, peers, batch_period_s)
        else:
            for peer in peers:
                self.send_to(peer, frame)
        self._update_allotment_share()

    def _send_batches(
        self,
        frame: bytes,
        peers: list[str],
        period_s: float,
        size: int = BATCH_SIZE,
    ) -> None:
        for peer in peers[:size]:
            self.send_to(peer, frame)
        rest = peers[size:]
        if rest:
            self._timers.call_later(
                period_s,
                lambda: self._send_batches(frame, rest, period_s, size),
            )

    def send_to(self, node: str, frame: bytes) -> None:
        """Sends a frame to a node if its address is known."""
        address = self._view.peers.get(node)
        if self._transport is not None and address is not None:
            parsed = Address.parse(address)
            self._transport.sendto(frame, (parsed.host, parsed.port))

    def make_report(self) -> NodeReport:
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
            work=loads_to_messages(view.work.own_loads()),
            allotments=self._allotments.uses(),
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
            moves=tuple(make_outcomes(view.moves)),
        )

    def _recent_usage(self) -> Iterable[WindowCount]:
        large = len(self._view.peers) > MAX_NODES_AT_BASE_PERIOD
        if large and self._sequence % USAGE_REPORT_INTERVAL:
            return ()
        return self._view.usage.recent()

    def receive(self, data: bytes, address: str) -> None:
        """Processes a datagram from another node.

        Args:
          data: Contents of the datagram.
          address: Source address as `IP:PORT`.
        """
        try:
            report = decode(data)
        except MessageError as error:
            self._log.event("peer.invalid", reason=str(error))
            return
        handle = self._handlers.get(type(report))
        if handle is not None:
            handle(report)
            return
        if isinstance(report, AllotmentReport):
            self._allotments.receive(report)
            return
        if not isinstance(report, NodeReport):
            self._log.event("peer.invalid", reason="not a report")
            return
        order = (report.incarnation, report.sequence)
        if order <= self._latest_sequences.get(report.node, (0, 0)):
            return
        self._latest_sequences[report.node] = order
        self._addresses[report.node] = address
        self._configurations[report.node] = report.configuration
        self._apply(report)

    def _apply(self, report: NodeReport) -> None:
        view = self._view
        now_s = self._timers.now()
        node = report.node
        if (
            now_s - self._last_report_s.get(node, -math.inf)
            > self._peer_timeout_s()
        ):
            self._log.event("peer.heard", peer=node)
        self._last_report_s[node] = now_s
        self._fencing_numbers[node] = report.duties
        view.configuration_delays.on_reported(report.configuration, now_s)
        view.clock.observe(node, report.wall_ms / 1000)
        loads = loads_from_messages(report.work)
        view.work.report(node, loads, now_s + self._peer_timeout_s())
        self._allotments.receive_node_report(report)
        view.usage.report(node, report.incarnation, report.usage)
        for sent in report.demand:
            view.demand(sent.service).report(
                node,
                report.incarnation,
                DemandTotals(sent.requests, sent.read_tokens),
            )
        for use in report.prefixes:
            view.prefixes.record_part(use.endpoint, use.part, now_s)
        apply_outcomes(view.moves, report)
        self._evaluate_moves()

    def _evaluate_moves(self) -> None:
        for condemned in self._view.moves.judge(self._timers.now()):
            self._log.event(
                "move.condemned",
                service=condemned.move.service,
                target=condemned.move.target,
                fault=condemned.fault,
                attempts=condemned.trial.attempts(),
            )

    def _update_allotment_share(self) -> None:
        """Sets the share of the allotments that the reachable nodes have."""
        peers = len(self._view.peers)
        period_s = report_period_s(self._view.node_count)
        live = self._count_heard(
            max(SHARE_TIMEOUT_S, SHARE_TIMEOUT_PERIODS * period_s)
        )
        expected = peers * min(1.0, SHARE_TIMEOUT_S / period_s)
        recent = self._count_heard(SHARE_TIMEOUT_S)
        if recent < PARTITION_FRACTION * expected:
            live = min(live, peers * recent / expected)
        self._allotments.set_share((live + 1) / (peers + 1))

    def _count_heard(self, seconds: float) -> int:
        """Returns how many peers have sent a report within a time."""
        return len(
            set(self._peers_heard_within(seconds)) & set(self._view.peers)
        )
