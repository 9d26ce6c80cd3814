"""Tests of the reports between nodes."""

from __future__ import annotations

import random

import pytest

from guavalane_core.allotments import SharedAllotment
from guavalane_core.forwarding import MovePhase, Organisation, VersionMove
from guavalane_core.messages import Ping, encode
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.reports import (
    REPORT_PERIOD_S,
    SILENT_S,
    UNSEEN_S,
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

# Largest payload of a datagram that needs no fragments on usual links.
UNFRAGMENTED_BYTES = 1400
SENDER = "127.0.0.1:7600"


def make_node(timers, name, incarnation=1, duties=0):
    """Returns the state and the reports of a node."""
    view = NodeView(make_settings(name), timers, random.Random(1))
    organisation = Organisation(
        "org", frozenset({"k"}), rate_per_s=10.0, burst=100.0
    )
    view.offer(make_configuration(make_route(), organisations=(organisation,)))
    log = DecisionLog(name, timers.wall)
    return view, PeerReports(view, timers, log, incarnation, lambda: duties)


def record_sends(reports, timers):
    """Returns a list that gets the time and port of each frame sent."""
    sent = []

    class Transport:
        """Keeps what is sent."""

        def sendto(self, frame, address):
            sent.append((timers.now(), address[1]))

    reports._transport = Transport()
    return sent


class TestPeerReports:
    """Guards against nodes that miss what the others do."""

    @pytest.fixture
    def timers(self):
        """Manual timers that both nodes share."""
        return ManualTimers()

    def test_what_one_node_does_the_other_knows(self, timers):
        view, reports = make_node(timers, "n1", duties=7)
        other, receiver = make_node(timers, "n2")
        view.work.start("e-1", 500)
        view.allotments.try_draw("org", 60, 0.0)
        view.usage.add("org", 1000.0)
        view.prefixes.record("e-1", make_prompt(1000), 0.0)
        view.add_sent("app", 500)
        receiver.receive(encode(reports.make()), SENDER)
        load = other.work.total("e-1", 0.0)
        assert (load.requests, load.prefill_tokens) == (1, 500)
        assert other.allotments.try_draw("org", 50, 0.0) > 0
        assert other.usage.total(200) == {"org": 1}
        assert other.prefixes.cached_tokens("e-1", make_prompt(), 0.0) == 1000
        assert receiver.heard_holder() == "n1"
        assert receiver.newest_configuration() == (1, "n1")
        assert receiver.address_of("n1") == SENDER

    def test_a_restarted_node_takes_over_what_is_left_of_an_allotment(
        self, timers
    ):
        """Guards against refusals below the limit after each restart."""
        view, reports = make_node(timers, "n1")
        for _ in range(10):
            view.allotments.try_draw("org", 100, timers.now())
            timers.advance(10.0)
        view.allotments.try_draw("org", 40, timers.now())
        fresh, receiver = make_node(timers, "n2", incarnation=90_001)
        receiver.receive(encode(reports.make()), SENDER)
        assert fresh.allotments.try_draw("org", 61, timers.now()) > 0
        assert fresh.allotments.try_draw("org", 60, timers.now()) == 0
        timers.advance(1.0)
        view.allotments.try_draw("org", 10, timers.now())
        receiver.receive(encode(reports.make()), SENDER)
        assert fresh.allotments.try_draw("org", 1, timers.now()) > 0

    def test_a_process_that_starts_later_counts_from_its_start(self, timers):
        """Guards against a restarted node whose first draws are not seen."""
        view, reports = make_node(timers, "n1", incarnation=2)
        view.allotments.try_draw("org", 70, 0.0)
        old, receiver = make_node(timers, "n2", incarnation=1)
        receiver.receive(encode(reports.make()), SENDER)
        assert old.allotments.try_draw("org", 31, 0.0) > 0
        assert old.allotments.try_draw("org", 30, 0.0) == 0

    def test_nodes_that_start_together_agree_on_what_is_left(self, timers):
        """Guards against draws that count twice after a common start.

        A node that took the level of one that started just before it also
        counted the draws of the others in that level once more.
        """
        nodes = [
            make_node(timers, f"n{number}", incarnation=1000 + 10 * number)
            for number in range(7)
        ]
        whole = SharedAllotment(10.0, 100.0, timers.now())

        # Reports to a node that does not know the limits yet are not taken.
        lost = {(4, 3), (5, 3), (6, 3)}

        def send(sender):
            frame = encode(nodes[sender][1].make())
            for receiver, (_, others) in enumerate(nodes):
                if (sender, receiver) in lost:
                    lost.remove((sender, receiver))
                elif sender != receiver:
                    others.receive(frame, SENDER)

        # All have drawn before the first report, and the node that started
        # first reports last.
        for step in range(42):
            view, _ = nodes[step % 7]
            assert view.allotments.try_draw("org", 2, timers.now()) == 0
            assert whole.try_draw(2, timers.now()) == 0
            timers.advance(0.05)
            if step >= 7:
                send(6 - step % 7)
        for sender in range(7):
            send(sender)
        left = whole.level_at(timers.now())
        for view, _ in nodes:
            level = view.allotments.levels(timers.now())["org"]
            # Until the first reports, 0.35 s, a node took its bucket for full
            # and inflow of 10/s was lost to it.
            assert abs(level - left) <= 3.5

    def test_nodes_stop_a_bad_version_by_the_sum_of_their_attempts(
        self, timers
    ):
        nodes = [make_node(timers, name) for name in ("n1", "n2")]
        move = VersionMove("app", "v2", 12.0, MovePhase.RUNNING)
        for view, _ in nodes:
            view.moves.offer(move, 0.0)
        for _ in range(6):
            for view, _ in nodes:
                trial = view.moves.running("app").trial
                for number in range(25):
                    is_new = number < 2
                    trial.record(
                        "r", is_new=is_new, failed=is_new, elapsed_s=0.1
                    )
            for (_, sender), (_, receiver) in (nodes, reversed(nodes)):
                receiver.receive(encode(sender.make()), SENDER)
        for view, _ in nodes:
            assert view.moves.moves["app"].is_stopped

    def test_outcomes_of_an_earlier_move_are_passed_over(self, timers):
        view, sender = make_node(timers, "n1")
        other, receiver = make_node(timers, "n2")
        for target, of_view in (("v2", view), ("v3", other)):
            move = VersionMove("app", target, 12.0, MovePhase.RUNNING)
            of_view.moves.offer(move, 0.0)
        view.moves.running("app").trial.record(
            "r", is_new=True, failed=True, elapsed_s=0.1
        )
        receiver.receive(encode(sender.make()), SENDER)
        assert other.moves.running("app").trial.attempts() == 0

    def test_an_older_report_changes_nothing(self, timers):
        view, reports = make_node(timers, "n1")
        other, receiver = make_node(timers, "n2")
        first = encode(reports.make())
        view.work.start("e-1")
        second = encode(reports.make())
        for frame in (second, first, second):
            receiver.receive(frame, SENDER)
        assert other.work.total("e-1", 0.0).requests == 1

    def test_a_late_report_of_an_old_process_changes_nothing(self, timers):
        old_view, old = make_node(timers, "n1", incarnation=1)
        old_view.work.start("e-1")
        _, new = make_node(timers, "n1", incarnation=2)
        other, receiver = make_node(timers, "n2")
        receiver.receive(encode(new.make()), SENDER)
        receiver.receive(encode(old.make()), SENDER)
        assert other.work.total("e-1", 0.0).requests == 0

    def test_a_silent_node_is_not_live(self, timers):
        view, reports = make_node(timers, "n1", duties=7)
        view.work.start("e-1")
        other, receiver = make_node(timers, "n2")
        receiver.receive(encode(reports.make()), SENDER)
        timers.advance(SILENT_S + 0.1)
        assert receiver.live_peers() == []
        assert receiver.heard_holder() is None
        assert other.work.total("e-1", timers.now()).requests == 0

    def test_the_part_of_a_silent_node_is_not_used(self, timers):
        _, reports = make_node(timers, "n1")
        other, receiver = make_node(timers, "n2")
        other.peers["n1"] = SENDER
        receiver.receive(encode(reports.make()), SENDER)
        receiver._share_allotments()
        assert other.allotments.try_draw("org", 100, timers.now()) == 0
        other.allotments.refund("org", 100, timers.now())
        timers.advance(UNSEEN_S + 0.1)
        receiver._share_allotments()
        # Half of the bucket of 100 is this node's; half of the rest may be
        # drawn by the other.
        assert other.allotments.try_draw("org", 30, timers.now()) == 0
        assert other.allotments.try_draw("org", 30, timers.now()) > 0

    @pytest.mark.parametrize("frame", [b"", b"\xff\x00", b"\x80"])
    def test_other_datagrams_are_passed_over(self, timers, frame):
        _, receiver = make_node(timers, "n2")
        receiver.receive(frame, SENDER)
        assert receiver.live_peers() == []

    def test_another_message_is_passed_over(self, timers):
        _, receiver = make_node(timers, "n2")
        frame = encode(Ping(sequence=1, generation=1, updates=()))
        receiver.receive(frame, SENDER)
        assert receiver.live_peers() == []

    def test_a_report_of_today_fits_a_datagram(self, timers):
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
        view.add_sent("app", 500)
        assert len(encode(reports.make())) <= UNFRAGMENTED_BYTES

    def test_reports_of_a_large_fleet_do_not_burst(self, timers):
        view, reports = make_node(timers, "n1")
        sent = record_sends(reports, timers)
        for number in range(79):
            view.peers[f"p{number}"] = f"127.0.0.1:{7600 + number}"
        reports.send()
        timers.advance(report_period_s(80))
        assert {port for _, port in sent} == set(range(7600, 7679))
        assert len(sent) == 79
        # A thin link of 5 Mbit/s carries 31 KB in 50 ms.
        for start_s, _ in sent:
            at_once = [t for t, _ in sent if 0 <= t - start_s < 0.05]
            assert len(at_once) * UNFRAGMENTED_BYTES <= 31_000

    async def test_a_started_node_is_soon_heard_by_a_large_fleet(self, timers):
        """Guards against long refusals after a common start.

        Until it hears the others, a node may draw its part of each allotment
        only.
        """
        view, reports = make_node(timers, "n1")
        sent = record_sends(reports, timers)
        reports.begin()
        timers.advance(0.12)
        assert not sent
        # The list of nodes has come.
        for number in range(79):
            view.peers[f"p{number}"] = f"127.0.0.1:{7600 + number}"
        timers.advance(0.4)
        assert {port for _, port in sent} == set(range(7600, 7679))
        # A thin link of 5 Mbit/s carries 15 KB in 25 ms.
        for start_s, _ in sent:
            at_once = [t for t, _ in sent if 0 <= t - start_s < 0.0249]
            assert len(at_once) * UNFRAGMENTED_BYTES <= 15_600

    def test_a_node_takes_a_bounded_number_of_reports(self):
        assert report_period_s(8) == REPORT_PERIOD_S
        for nodes in (8, 16, 80, 550):
            assert (nodes - 1) / report_period_s(nodes) <= 64
