"""Tests of the reports between nodes."""

from __future__ import annotations

import math
import random

import pytest

from guavalane_core.allotments import SharedAllotment
from guavalane_core.forwarding import MovePhase, Organisation, VersionMove
from guavalane_core.messages import Ping, encode
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.reports import (
    PEER_TIMEOUT_S,
    REPORT_PERIOD_S,
    SHARE_TIMEOUT_S,
    PeerReports,
    report_period_s,
)
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_prompt,
    make_route,
)
from guavalane_standins.gateway_rig import make_settings

# Largest datagram payload that is not fragmented on common links, in bytes.
UNFRAGMENTED_BYTES = 1400
SENDER = "127.0.0.1:7600"


def make_node(timers, name, incarnation=1, duties=0):
    """Returns the view and the peer reports of a node."""
    # All nodes start for the first time.
    view = NodeView(make_settings(name), timers, random.Random(1), -math.inf)
    organisation = Organisation(
        "org", frozenset({"k"}), rate_per_s=10.0, burst=100.0
    )
    view.update_configuration(
        make_configuration(make_route(), organisations=(organisation,))
    )
    log = DecisionLog(name, timers.wall)
    return view, PeerReports(view, timers, log, incarnation, lambda: duties)


def record_sends(reports, timers):
    """Returns a list that records the time and port of each sent frame."""
    sent = []

    class Transport:
        """Records sent frames."""

        def sendto(self, frame, address):
            sent.append((timers.now(), address[1]))

    reports._transport = Transport()
    return sent


class TestPeerReports:
    """Guards against nodes with an outdated view of their peers."""

    @pytest.fixture
    def timers(self):
        """Manual timers that both nodes share."""
        return ManualTimers()

    def test_a_report_transfers_the_state_of_a_node(self, timers):
        view, reports = make_node(timers, "n1", duties=7)
        other, receiver = make_node(timers, "n2")
        view.work.start("e-1", 500)
        view.allotments.try_draw("org", 60, 0.0)
        view.usage.add("org", 1000.0)
        view.prefixes.record("e-1", make_prompt(1000), 0.0)
        view.record_sent("app", 500)
        receiver.receive(encode(reports.make_report()), SENDER)
        load = other.work.total("e-1", 0.0)
        assert (load.requests, load.prefill_tokens) == (1, 500)
        assert other.allotments.try_draw("org", 50, 0.0) > 0
        assert other.usage.total(200) == {"org": 1}
        assert other.prefixes.cached_tokens("e-1", make_prompt(), 0.0) == 1000
        assert receiver.live_holder() == "n1"
        assert receiver.newest_configuration() == (1, "n1")
        assert receiver.address_of("n1") == SENDER

    def test_a_restarted_node_adopts_the_allotment_level(self, timers):
        """Guards against rejections below the limit after a restart."""
        view, reports = make_node(timers, "n1")
        for _ in range(10):
            view.allotments.try_draw("org", 100, timers.now())
            timers.advance(10.0)
        view.allotments.try_draw("org", 40, timers.now())
        restarted, receiver = make_node(timers, "n2", incarnation=90_001)
        receiver.receive(encode(reports.make_report()), SENDER)
        assert restarted.allotments.try_draw("org", 61, timers.now()) > 0
        assert restarted.allotments.try_draw("org", 60, timers.now()) == 0
        timers.advance(1.0)
        view.allotments.try_draw("org", 10, timers.now())
        receiver.receive(encode(reports.make_report()), SENDER)
        assert restarted.allotments.try_draw("org", 1, timers.now()) > 0

    def test_draws_of_a_newer_process_are_counted(self, timers):
        """Guards against missing the first draws of a restarted node."""
        view, reports = make_node(timers, "n1", incarnation=2)
        view.allotments.try_draw("org", 70, 0.0)
        old, receiver = make_node(timers, "n2", incarnation=1)
        receiver.receive(encode(reports.make_report()), SENDER)
        assert old.allotments.try_draw("org", 31, 0.0) > 0
        assert old.allotments.try_draw("org", 30, 0.0) == 0

    def test_nodes_that_start_together_agree_on_the_allotment_level(
        self, timers
    ):
        """Guards against draws counted twice after a simultaneous start.

        A node that adopted the level of one that started just before it also
        counted the draws of the others, which that level already included.
        """
        nodes = [
            make_node(timers, f"n{number}", incarnation=1000 + 10 * number)
            for number in range(7)
        ]
        expected = SharedAllotment(10.0, 100.0, timers.now())

        # Nodes that do not know the limits yet ignore reports.
        lost = {(4, 3), (5, 3), (6, 3)}

        def send(sender):
            frame = encode(nodes[sender][1].make_report())
            for receiver, (_, others) in enumerate(nodes):
                if (sender, receiver) in lost:
                    lost.remove((sender, receiver))
                elif sender != receiver:
                    others.receive(frame, SENDER)

        # All nodes draw before the first report, and the node that started
        # first reports last.
        for step in range(42):
            view, _ = nodes[step % 7]
            assert view.allotments.try_draw("org", 2, timers.now()) == 0
            assert expected.try_draw(2, timers.now()) == 0
            timers.advance(0.05)
            if step >= 7:
                send(6 - step % 7)
        for sender in range(7):
            send(sender)
        expected_level = expected.level_at(timers.now())
        for view, _ in nodes:
            level = view.allotments.levels(timers.now())["org"]
            # Until the first report, after 0.35 s, a node considers its bucket
            # full and so loses the inflow of 10/s.
            assert abs(level - expected_level) <= 3.5

    def test_nodes_stop_a_bad_version_by_combined_attempts(self, timers):
        nodes = [make_node(timers, name) for name in ("n1", "n2")]
        move = VersionMove("app", "v2", 12.0, MovePhase.RUNNING)
        for view, _ in nodes:
            view.moves.offer(move, 0.0)
        for _ in range(6):
            for view, _ in nodes:
                trial = view.moves.running("app").trial
                for number in range(25):
                    is_new = number < 2
                    sample = trial.begin("r", is_new=is_new, now_s=0.0)
                    sample.finish(0.1, failed=is_new)
            timers.advance(1.0)
            for (_, sender), (_, receiver) in (nodes, reversed(nodes)):
                receiver.receive(encode(sender.make_report()), SENDER)
        for view, _ in nodes:
            assert view.moves.moves["app"].is_stopped

    def test_outcomes_of_an_earlier_move_are_ignored(self, timers):
        view, sender = make_node(timers, "n1")
        other, receiver = make_node(timers, "n2")
        for target, node_view in (("v2", view), ("v3", other)):
            move = VersionMove("app", target, 12.0, MovePhase.RUNNING)
            node_view.moves.offer(move, 0.0)
        trial = view.moves.running("app").trial
        trial.begin("r", is_new=True, now_s=0.0).finish(0.1, failed=True)
        receiver.receive(encode(sender.make_report()), SENDER)
        assert other.moves.running("app").trial.attempts() == 0

    def test_an_outdated_report_is_ignored(self, timers):
        view, reports = make_node(timers, "n1")
        other, receiver = make_node(timers, "n2")
        first = encode(reports.make_report())
        view.work.start("e-1")
        second = encode(reports.make_report())
        for frame in (second, first, second):
            receiver.receive(frame, SENDER)
        assert other.work.total("e-1", 0.0).requests == 1

    def test_a_late_report_of_an_old_process_is_ignored(self, timers):
        old_view, old = make_node(timers, "n1", incarnation=1)
        old_view.work.start("e-1")
        _, new = make_node(timers, "n1", incarnation=2)
        other, receiver = make_node(timers, "n2")
        receiver.receive(encode(new.make_report()), SENDER)
        receiver.receive(encode(old.make_report()), SENDER)
        assert other.work.total("e-1", 0.0).requests == 0

    def test_a_silent_node_is_not_live(self, timers):
        view, reports = make_node(timers, "n1", duties=7)
        view.work.start("e-1")
        other, receiver = make_node(timers, "n2")
        receiver.receive(encode(reports.make_report()), SENDER)
        timers.advance(PEER_TIMEOUT_S + 0.1)
        assert receiver.live_peers() == []
        assert receiver.live_holder() is None
        assert other.work.total("e-1", timers.now()).requests == 0

    def test_the_share_of_a_silent_node_is_not_used(self, timers):
        _, reports = make_node(timers, "n1")
        other, receiver = make_node(timers, "n2")
        other.peers["n1"] = SENDER
        receiver.receive(encode(reports.make_report()), SENDER)
        receiver._update_allotment_share()
        assert other.allotments.try_draw("org", 100, timers.now()) == 0
        other.allotments.refund("org", 100, timers.now())
        timers.advance(SHARE_TIMEOUT_S + 0.1)
        receiver._update_allotment_share()
        # Half of the bucket of 100 is this node's share; the other node may
        # draw half of the rest.
        assert other.allotments.try_draw("org", 30, timers.now()) == 0
        assert other.allotments.try_draw("org", 30, timers.now()) > 0

    @pytest.mark.parametrize("frame", [b"", b"\xff\x00", b"\x80"])
    def test_invalid_datagrams_are_ignored(self, timers, frame):
        _, receiver = make_node(timers, "n2")
        receiver.receive(frame, SENDER)
        assert receiver.live_peers() == []

    def test_other_messages_are_ignored(self, timers):
        _, receiver = make_node(timers, "n2")
        frame = encode(Ping(sequence=1, generation=1, updates=()))
        receiver.receive(frame, SENDER)
        assert receiver.live_peers() == []

    def test_a_typical_report_fits_a_datagram(self, timers):
        view, reports = make_node(timers, "n1")
        for i in range(10):
            for _ in range(5):
                view.work.start(f"i-{i:010x}", 5000)
        for window in range(8):
            for i in range(5):
                view.usage.add(f"org-{i}", 1000.0 + 5 * window)
        for i in range(10):
            view.prefixes.record(
                f"i-{i:010x}", make_prompt(1000, f"{i:08x}"), 0.0
            )
        view.record_sent("app", 500)
        assert len(encode(reports.make_report())) <= UNFRAGMENTED_BYTES

    def test_reports_of_a_large_fleet_do_not_burst(self, timers):
        view, reports = make_node(timers, "n1")
        sent = record_sends(reports, timers)
        for number in range(79):
            view.peers[f"p{number}"] = f"127.0.0.1:{7600 + number}"
        reports.send()
        timers.advance(report_period_s(80))
        assert {port for _, port in sent} == set(range(7600, 7679))
        assert len(sent) == 79
        # A slow link of 5 Mbit/s carries 31 KB in 50 ms.
        for start_s, _ in sent:
            burst = [t for t, _ in sent if 0 <= t - start_s < 0.05]
            assert len(burst) * UNFRAGMENTED_BYTES <= 31_000

    async def test_a_started_node_reports_to_a_large_fleet_quickly(
        self, timers
    ):
        """Guards against long periods of rejections after a simultaneous start.

        Until it hears from peers, a node may draw only its own share of each
        allotment.
        """
        view, reports = make_node(timers, "n1")
        sent = record_sends(reports, timers)
        reports.start_sending()
        timers.advance(0.12)
        assert not sent
        # The list of nodes arrives.
        for number in range(79):
            view.peers[f"p{number}"] = f"127.0.0.1:{7600 + number}"
        timers.advance(0.4)
        assert {port for _, port in sent} == set(range(7600, 7679))
        # A slow link of 5 Mbit/s carries 15 KB in 25 ms.
        for start_s, _ in sent:
            burst = [t for t, _ in sent if 0 <= t - start_s < 0.0249]
            assert len(burst) * UNFRAGMENTED_BYTES <= 15_600

    def test_the_report_rate_per_node_is_bounded(self):
        assert report_period_s(8) == REPORT_PERIOD_S
        for nodes in (8, 16, 80, 550):
            assert (nodes - 1) / report_period_s(nodes) <= 64
