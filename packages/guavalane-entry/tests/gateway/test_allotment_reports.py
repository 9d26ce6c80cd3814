"""Tests of the exchange of draws from allotments between nodes."""

from __future__ import annotations

import math
import random

import pytest

from guavalane_core.allotments import AllotmentLedger, DrawClass
from guavalane_core.forwarding import Organisation
from guavalane_core.messages import decode, encode
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.reports import (
    PeerReports,
    allotment_period_s,
    report_period_s,
)
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_route,
)
from guavalane_standins.gateway_rig import make_settings

SENDER = "127.0.0.1:7600"
LARGE_FLEET = 74
RATE = 36_000.0
# Other organisations use their allotments as well.
ORGANISATIONS = tuple(
    Organisation(name, frozenset({name}), rate_per_s=RATE, burst=RATE)
    for name in ("org", "other")
)


def make_node(timers, name, incarnation=1, nodes=LARGE_FLEET):
    """Returns the view and the peer reports of a node in a large fleet."""
    # All nodes start for the first time.
    view = NodeView(make_settings(name), timers, random.Random(1), -math.inf)
    view.update_configuration(
        make_configuration(make_route(), organisations=ORGANISATIONS)
    )
    for number in range(nodes - 1):
        view.peers[f"p{number}"] = f"127.0.0.1:{7600 + number}"
    log = DecisionLog(name, timers.wall)
    return view, PeerReports(view, timers, log, incarnation, lambda: 0)


class FrameRecorder:
    """Transport that records the frames to one port.

    Args:
      timers: Timer service.
    """

    def __init__(self, timers):
        self._timers = timers
        self.frames = []

    def sendto(self, frame, address):
        """Records a frame."""
        if address[1] == 7600:
            self.frames.append((self._timers.now(), frame))

    def allotment_reports(self):
        """Returns the allotment reports with their times."""
        decoded = [(at_s, decode(frame)) for at_s, frame in self.frames]
        return [
            (at_s, report)
            for at_s, report in decoded
            if type(report).__name__ == "AllotmentReport"
        ]


class TestAllotmentReports:
    """Guards against a large fleet that learns of an overload too late."""

    @pytest.fixture
    def timers(self):
        """Manual timers."""
        return ManualTimers()

    @pytest.fixture
    def sender(self, timers):
        """Returns the view, the reports and the sent frames of a node."""
        view, reports = make_node(timers, "n1")
        recorder = FrameRecorder(timers)
        reports._transport = recorder
        reports.start_sending()
        timers.advance(2.0)
        recorder.frames.clear()
        return view, reports, recorder

    def exhaust(self, view, timers):
        """Reports draws of others that leave a tenth of the bucket."""
        view.allotments.set_share(1.0, timers.now())
        level = view.allotments.levels(timers.now())["org"]
        units = int(level - 0.1 * RATE)
        view.allotments.report("p1", 1, {"org": units}, timers.now())

    def test_draws_from_a_nearly_exhausted_bucket_are_reported_at_once(
        self, timers, sender
    ):
        view, _, recorder = sender
        self.exhaust(view, timers)
        began_s = timers.now()
        assert view.allotments.try_draw("org", 1000, began_s) == 0
        timers.advance(0.4)
        ((sent_s, report),) = recorder.allotment_reports()
        assert sent_s - began_s <= 0.3 < report_period_s(LARGE_FLEET)
        (use,) = report.allotments
        assert (use.organisation, use.units) == ("org", 1000)

    def test_nothing_is_sent_while_the_bucket_is_mostly_full(
        self, timers, sender
    ):
        view, _, recorder = sender
        view.allotments.set_share(1.0, timers.now())
        assert view.allotments.try_draw("org", 1000, timers.now()) == 0
        timers.advance(5.0)
        assert recorder.frames
        assert not recorder.allotment_reports()

    def test_nothing_is_sent_without_new_draws(self, timers, sender):
        view, _, recorder = sender
        self.exhaust(view, timers)
        timers.advance(0.5)
        assert not recorder.allotment_reports()

    def test_reports_of_both_kinds_count_a_draw_once(self, timers, sender):
        """Guards against draws that a partial report hides or repeats."""
        view, reports, recorder = sender
        other, receiver = make_node(timers, "n2")
        now_s = timers.now()
        full = other.allotments.levels(now_s)["org"]
        view.allotments.set_share(1.0, now_s)
        assert view.allotments.try_draw("other", 3000, now_s) == 0
        first = encode(reports.make_report())
        self.exhaust(view, timers)
        assert view.allotments.try_draw("org", 1000, now_s) == 0
        reports._allotments.send(reports._sequence)
        timers.advance(0.03)
        ((_, frame),) = recorder.frames
        last = encode(reports.make_report())
        for data in (first, frame, first, last, frame, last):
            receiver.receive(data, SENDER)
        levels = other.allotments.levels(now_s)
        assert levels["org"] == full - 1000
        assert levels["other"] == full - 3000

    def test_a_partial_report_is_no_baseline_of_a_restarted_node(
        self, timers, sender
    ):
        """Guards against the deduction of all draws of an old process."""
        view, reports, recorder = sender
        view.allotments.set_share(1.0, timers.now())
        assert view.allotments.try_draw("other", 30_000, timers.now()) == 0
        timers.advance(5.0)
        recorder.frames.clear()
        self.exhaust(view, timers)
        assert view.allotments.try_draw("org", 1000, timers.now()) == 0
        reports._allotments.send(reports._sequence)
        timers.advance(0.03)
        ((_, frame),) = recorder.frames
        restarted, receiver = make_node(timers, "n2", incarnation=90_001)
        receiver.receive(frame, SENDER)
        receiver.receive(encode(reports.make_report()), SENDER)
        level = restarted.allotments.levels(timers.now())["other"]
        assert level == view.allotments.levels(timers.now())["other"]

    def test_the_rate_of_received_reports_is_bounded(self):
        for nodes in (8, LARGE_FLEET, 300, 550):
            assert (nodes - 1) / allotment_period_s(nodes) <= 300


class TestOverloadOfLargeFleet:
    """Guards against an organisation that exceeds its limit on many nodes."""

    WINDOW_S = 8.0
    RATE = 364_000.0
    SIZES = (300, 900, 1830, 1830, 7400, 7400, 20_000)

    def admit(self, load, seed, cut_s=(math.inf, math.inf), isolated=0):
        """Returns times and units that the nodes of a large fleet admit.

        The organisation sends 0.6 of its limit, and `load` times its limit
        from second 6.5 to 12.2.

        Args:
          load: Requested units, as a multiple of the limit.
          seed: Seed of the load.
          cut_s: Start and end of a partition, in seconds.
          isolated: Number of nodes that each hear no other one in that time.
        """
        timers = ManualTimers()
        rng = random.Random(seed)
        organisation = Organisation(
            "org", frozenset({"k"}), rate_per_s=self.RATE, burst=self.RATE
        )
        names = [f"n{number}" for number in range(LARGE_FLEET)]
        views, receivers = {}, {}
        for number, name in enumerate(names):
            view = NodeView(
                make_settings(name), timers, random.Random(number), -math.inf
            )
            # Half of the tolerance of the operators is used deliberately.
            view.allotments.set_tolerance(0.05, 70_000)
            view.update_configuration(
                make_configuration(make_route(), organisations=(organisation,))
            )
            for peer, other in enumerate(names):
                if other != name:
                    view.peers[other] = f"127.0.0.1:{7600 + peer}"
            log = DecisionLog(name, timers.wall)
            reports = PeerReports(view, timers, log, 1, lambda: 0)
            views[name], receivers[7600 + number] = view, reports

        class Transport:
            """Delivers decoded allotments to the receiver of a port."""

            frames = {}

            def sendto(self, frame, address):
                report = self.frames.get(frame)
                if report is None:
                    self.frames.clear()
                    report = self.frames[frame] = decode(frame)
                receiver = receivers[address[1]]
                cut = set(names[:isolated])
                ends = {report.node, names[address[1] - 7600]}
                if cut_s[0] <= timers.now() < cut_s[1] and ends & cut:
                    return
                receiver._last_report_s[report.node] = timers.now()
                if type(report).__name__ == "AllotmentReport":
                    receiver._allotments.receive(report)
                else:
                    receiver._allotments.receive_node_report(report)

        for reports in receivers.values():
            reports._transport = Transport()
            timers.call_later(
                rng.random() * report_period_s(LARGE_FLEET),
                reports.start_sending,
            )
        mean = sum(self.SIZES) / len(self.SIZES)
        admitted = []
        for step in range(1500):
            now_s = step * 0.01
            factor = load if 6.5 <= now_s < 12.2 else 0.6
            left = factor * self.RATE * 0.01 / mean
            while rng.random() < left:
                units = rng.choice(self.SIZES)
                view = views[rng.choice(names)]
                if view.allotments.try_draw("org", units, timers.now()) == 0:
                    admitted.append((now_s, units))
                left -= 1
            timers.advance(0.01)
        return admitted

    @pytest.mark.parametrize("load", [3.0, 5.5, 8.0])
    def test_a_large_fleet_keeps_the_allotment(self, load):
        bound = 1.1 * (self.RATE * self.WINDOW_S + self.RATE) + 140_000
        admitted = self.admit(load, seed=1)
        for start in range(0, 28):
            begin_s = start * 0.25
            end_s = begin_s + self.WINDOW_S
            units = sum(u for t, u in admitted if begin_s <= t < end_s)
            assert units <= bound, (begin_s, units / bound)

    def test_a_partitioned_fleet_keeps_the_allotment(self):
        """Guards against isolated nodes that draw as if all were heard."""
        bound = 1.1 * (self.RATE * self.WINDOW_S + self.RATE) + 140_000
        admitted = self.admit(3.6, seed=3, cut_s=(7.0, 15.0), isolated=26)
        for start in range(0, 28):
            begin_s = start * 0.25
            end_s = begin_s + self.WINDOW_S
            units = sum(u for t, u in admitted if begin_s <= t < end_s)
            assert units <= bound, (begin_s, units / bound)

    def test_nothing_is_refused_below_the_limit(self):
        admitted = self.admit(0.9, seed=2)
        asked = sum(units for _, units in admitted)
        expected = self.RATE * (0.6 * 9.3 + 0.9 * 5.7)
        assert abs(asked - expected) <= 0.1 * expected


class TestOverloadByClass(TestOverloadOfLargeFleet):
    """Guards against urgency that lets a fleet draw beyond the allotment."""

    @pytest.fixture(autouse=True)
    def draw_by_class(self, monkeypatch):
        """Makes each size a class; the largest requests are most urgent."""
        draw = AllotmentLedger.draw

        def try_draw(ledger, name, units, now_s):
            draw_class = DrawClass(0, 12_000 / units)
            result = draw(ledger, name, units, draw_class, now_s, 0.05)
            return 0.0 if result.is_drawn else max(result.wait_s, 1e-3)

        monkeypatch.setattr(AllotmentLedger, "try_draw", try_draw)
