"""Tests of the quarantine of prompt parts over many nodes."""

from __future__ import annotations

import functools
import random

import pytest

from guavalane_core.exceptions import ObjectApiUnavailableError
from guavalane_core.messages import decode
from guavalane_core.objects import MemoryObjectApi
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.quarantine import QuarantineService
from guavalane_entry.gateway.quarantine_store import (
    DIGEST_KEY_NAME,
    QUARANTINE_KIND,
)
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.forwarding_samples import make_endpoint, make_parts
from guavalane_standins.gateway_rig import make_settings

# The operators allow three requests later than this after the third crash, in
# seconds.
CONTACT_S = 3.0
FREE_CRASHES = 3
MAX_LATE_REQUESTS = 3
# Time in which a crash is detected, in seconds.
DETECTION_S = 0.01
DELIVERY_S = 0.002
CRASHING = make_parts("crashing")
PLAIN = make_parts(body=b"crashing")


class Fleet:
    """Nodes that exchange quarantine reports over a lossy network.

    Attributes:
      timers: Manual timers.
      api: Object API.
      nodes: Quarantine services by node name.
      cut: Names of nodes that hear nobody and are heard by nobody.
      crashes_s: Times of the crashes.
      crashing: Request that crashes endpoints.

    Args:
      size: Number of nodes.
      seed: Seed of the network and of the nodes.
      loss: Fraction of datagrams that are lost.
    """

    def __init__(self, size, seed=1, loss=0.0, crashing=CRASHING):
        self.timers = ManualTimers()
        self.api = MemoryObjectApi()
        self.nodes = {}
        self.cut = set()
        self.crashes_s = []
        self.crashing = crashing
        self._rng = random.Random(seed)
        self._loss = loss
        self._names = [f"n{number}" for number in range(size)]
        for name in self._names:
            self.start(name)

    def start(self, name):
        """Starts a node with empty memory, or restarts it."""
        view = NodeView(
            make_settings(name), self.timers, random.Random(self._rng.random())
        )
        view.peers.update((n, "127.0.0.1:1") for n in self._names if n != name)
        log = DecisionLog(name, self.timers.wall)
        send = functools.partial(self._send, name)
        node = QuarantineService(view, self.api, self.timers, log, send)
        node.view = view
        self.nodes[name] = node

    def _send(self, sender, frame):
        if sender in self.cut:
            return
        report = decode(frame)
        for name in self.nodes:
            is_lost = self._rng.random() < self._loss
            if name == sender or name in self.cut or is_lost:
                continue
            self.timers.call_later(
                DELIVERY_S,
                lambda name=name: self.nodes[name].receive(report),
            )

    async def stored(self):
        """Returns the stored quarantines."""
        objects, _ = await self.api.list(QUARANTINE_KIND)
        return [stored for stored in objects if stored.name != DIGEST_KEY_NAME]

    async def follow_store(self):
        """Lets all nodes read the stored quarantines."""
        objects, _ = await self.api.list(QUARANTINE_KIND)
        for node in self.nodes.values():
            node.sink.replace_all(objects)

    def crash(self, name, *prompts):
        """Crashes a new endpoint while a node has requests there."""
        self.crashes_s.append(self.timers.now())
        endpoint = make_endpoint(f"e-{len(self.crashes_s)}", started_ms=1)
        parts = {
            part: position
            for prompt in prompts
            for position, part in enumerate(prompt.shared or prompt.all)
        }
        self.timers.call_later(
            DETECTION_S,
            lambda: self.nodes[name].on_crash(endpoint, parts),
        )

    def request(self, prompt=None):
        """Sends a request to a random node; returns whether it is forwarded.

        Args:
          prompt: Request; the crashing one by default.
        """
        prompt = prompt or self.crashing
        name = self._rng.choice(self._names)
        node = self.nodes[name]
        quarantine = node.view.quarantines.find(prompt)
        if quarantine is not None and not node.take_trial(quarantine):
            return False
        if prompt is self.crashing:
            self.crash(name, prompt)
        else:
            node.on_served(prompt, self.timers.now())
        return True

    async def play(self, duration_s, rate_per_s):
        """Sends crashing requests at random times.

        Returns:
          Times of those that were forwarded, in seconds.
        """
        forwarded_s = []
        end_s = self.timers.now() + duration_s
        while self.timers.now() < end_s:
            await self.timers.run_for(self._rng.expovariate(rate_per_s))
            if self.request():
                forwarded_s.append(self.timers.now())
        return forwarded_s

    def late(self, forwarded_s):
        """Returns the requests later than allowed after the third crash."""
        if len(self.crashes_s) < FREE_CRASHES:
            return []
        third_s = self.crashes_s[FREE_CRASHES - 1]
        return [at_s for at_s in forwarded_s if at_s > third_s + CONTACT_S]


class TestReturnOfAnOlderStore:
    """Guards against a quarantine that ends because the store has lost it."""

    async def test_a_lost_quarantine_stays_and_is_stored_again(self):
        fleet = Fleet(3)
        earlier = fleet.api.take_copy()
        for _ in range(FREE_CRASHES):
            fleet.crash("n0", CRASHING)
            await fleet.timers.run_for(1.0)
        await fleet.follow_store()
        fleet.api.restore(earlier)
        for node in fleet.nodes.values():
            node.sink.on_restored()
        await fleet.follow_store()
        for node in fleet.nodes.values():
            assert node.view.quarantines.find(CRASHING) is not None
        await fleet.timers.run_for(2.0)
        assert len(await fleet.stored()) == 1

    async def test_a_deleted_quarantine_ends_without_a_return(self):
        fleet = Fleet(3)
        for _ in range(FREE_CRASHES):
            fleet.crash("n0", CRASHING)
            await fleet.timers.run_for(1.0)
        await fleet.follow_store()
        for node in fleet.nodes.values():
            node.sink.replace_all([])
            assert node.view.quarantines.find(CRASHING) is None


class TestDigestKey:
    """Guards against nodes that do not recognise a request of another node."""

    async def settle(self, fleet):
        """Lets the nodes store a key and read it."""
        await fleet.follow_store()
        await fleet.timers.run_for(3.0)
        await fleet.follow_store()

    async def test_all_nodes_use_the_key_that_is_stored_first(self):
        fleet = Fleet(8)
        await self.settle(fleet)
        assert len({n.view.digest_key for n in fleet.nodes.values()}) == 1

    async def test_the_key_outlasts_all_nodes(self):
        fleet = Fleet(3)
        await self.settle(fleet)
        key = fleet.nodes["n0"].view.digest_key
        for name in fleet.nodes:
            fleet.start(name)
        await fleet.follow_store()
        assert {n.view.digest_key for n in fleet.nodes.values()} == {key}

    async def test_a_store_that_has_lost_the_key_gets_the_same_again(self):
        fleet = Fleet(3)
        earlier = fleet.api.take_copy()
        await self.settle(fleet)
        key = fleet.nodes["n0"].view.digest_key
        fleet.api.restore(earlier)
        await self.settle(fleet)
        fleet.start("n1")
        await fleet.follow_store()
        assert fleet.nodes["n1"].view.digest_key == key

    async def test_an_object_that_is_no_key_is_ignored(self):
        fleet = Fleet(1)
        key = fleet.nodes["n0"].view.digest_key
        body = {"digest_key": "zz"}
        await fleet.api.create(QUARANTINE_KIND, DIGEST_KEY_NAME, body)
        await self.settle(fleet)
        assert fleet.nodes["n0"].view.digest_key == key


class TestFleet:
    """Guards against crashing requests that reach endpoints on every node."""

    @pytest.mark.parametrize("size", [2, 8, 74])
    @pytest.mark.parametrize("rate_per_s", [0.5, 2.0, 10.0])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize(
        "crashing", [CRASHING, PLAIN], ids=["prompt", "plain"]
    )
    async def test_few_requests_are_forwarded_after_three_crashes(
        self, size, rate_per_s, seed, crashing
    ):
        fleet = Fleet(size, seed, loss=0.05, crashing=crashing)
        forwarded_s = await fleet.play(20.0, rate_per_s)
        assert len(fleet.late(forwarded_s)) <= MAX_LATE_REQUESTS

    @pytest.mark.parametrize("size", [2, 8, 74])
    @pytest.mark.parametrize("rate_per_s", [0.5, 2.0, 10.0])
    async def test_a_part_that_was_served_is_quarantined_as_well(
        self, size, rate_per_s
    ):
        """Guards against a part that starts to crash endpoints."""
        fleet = Fleet(size, loss=0.05)
        for _ in range(20):
            for node in fleet.nodes.values():
                node.on_served(CRASHING, fleet.timers.now())
            await fleet.timers.run_for(0.1)
        forwarded_s = await fleet.play(20.0, rate_per_s)
        assert len(fleet.late(forwarded_s)) <= MAX_LATE_REQUESTS

    @pytest.mark.parametrize(
        "crashing", [CRASHING, PLAIN], ids=["prompt", "plain"]
    )
    async def test_a_burst_of_crashes_is_followed_by_few(self, crashing):
        """Guards against crashes at the same time that count once."""
        fleet = Fleet(8, crashing=crashing)
        for _ in range(FREE_CRASHES):
            fleet.request()
        await fleet.timers.run_for(CONTACT_S)
        forwarded_s = await fleet.play(30.0, 1.0)
        assert len(fleet.late(forwarded_s)) <= MAX_LATE_REQUESTS

    async def test_the_quarantine_outlasts_all_nodes(self):
        fleet = Fleet(8)
        await fleet.play(10.0, 2.0)
        await fleet.timers.run_for(2.0)
        for name in fleet.nodes:
            fleet.start(name)
        await fleet.follow_store()
        assert await fleet.play(10.0, 2.0) == []

    async def test_a_node_that_starts_is_told_without_the_object_api(self):
        fleet = Fleet(8)
        fleet.api.faults.down = True
        await fleet.play(10.0, 2.0)
        fleet.start("n3")
        await fleet.timers.run_for(CONTACT_S)
        assert fleet.nodes["n3"].view.quarantines.find(CRASHING) is not None

    async def test_a_node_that_was_cut_off_is_told_what_it_missed(self):
        fleet = Fleet(8)
        fleet.cut = {"n3"}
        await fleet.play(10.0, 2.0)
        fleet.cut = set()
        await fleet.timers.run_for(CONTACT_S)
        assert fleet.nodes["n3"].view.quarantines.find(CRASHING) is not None

    async def test_the_evidence_of_a_lost_node_still_counts(self):
        fleet = Fleet(8)
        for name in ("n1", "n2", "n3"):
            fleet.crash(name, CRASHING)
            await fleet.timers.run_for(0.6)
            fleet.start(name)
        assert fleet.nodes["n5"].view.quarantines.find(CRASHING) is not None


class TestSoundParts:
    """Guards against sound requests that are rejected by mistake."""

    @pytest.mark.parametrize("size", [8, 74])
    async def test_a_part_that_other_nodes_serve_is_not_quarantined(self, size):
        fleet = Fleet(size)
        for round_number in range(40):
            prompt = make_parts(f"other-{round_number}")
            fleet.request(prompt)
            fleet.request()
            await fleet.timers.run_for(0.6)
        for node in fleet.nodes.values():
            assert set(node.view.quarantines.quarantines) == {"crashing"}

    async def test_few_nodes_tell_of_the_same_success(self):
        """Guards against a burst of reports in a large fleet."""
        fleet = Fleet(74)
        sound = make_parts("sound")
        sent = []
        for name, node in fleet.nodes.items():
            node._send = functools.partial(
                lambda name, send, frame: (sent.append(name), send(frame)),
                name,
                node._send,
            )
        fleet.crash("n0", sound)
        await fleet.timers.run_for(0.1)
        for name, node in fleet.nodes.items():
            # The node that sees the crash knows of no success.
            if name != "n0":
                node.on_served(sound, fleet.timers.now())
        await fleet.timers.run_for(1.0)
        assert len(sent) <= 12
        evidence = fleet.nodes["n0"].view.quarantines.evidence
        assert not evidence.has_open_crash("sound")

    async def test_the_loss_of_a_zone_quarantines_nothing(self):
        fleet = Fleet(8)
        rare = make_parts("rare")
        for number in range(100):
            fleet.crash(f"n{number % 8}", rare)
        await fleet.timers.run_for(5.0)
        assert not fleet.nodes["n0"].view.quarantines.quarantines

    async def test_successes_on_one_node_end_the_quarantine_on_all(self):
        fleet = Fleet(8)
        await fleet.play(10.0, 2.0)
        await fleet.timers.run_for(2.0)
        for _ in fleet.crashes_s:
            fleet.nodes["n2"].on_served(CRASHING, fleet.timers.now())
        await fleet.timers.run_for(0.1)
        for node in fleet.nodes.values():
            assert not node.view.quarantines.quarantines
        assert await fleet.stored() == []

    async def test_operators_end_a_quarantine_by_deleting_its_object(self):
        fleet = Fleet(8)
        await fleet.play(10.0, 2.0)
        await fleet.timers.run_for(2.0)
        await fleet.follow_store()
        (stored,) = await fleet.stored()
        await fleet.api.delete(QUARANTINE_KIND, stored.name, stored.version)
        await fleet.follow_store()
        for node in fleet.nodes.values():
            assert node.view.quarantines.find(CRASHING) is None


class TestTrials:
    """Guards against a quarantine without end and against too many trials."""

    async def test_one_node_of_all_sends_the_trial(self):
        fleet = Fleet(8)
        await fleet.play(10.0, 2.0)
        crashes = len(fleet.crashes_s)
        await fleet.timers.run_for(60.0, step_s=0.05)
        for _ in range(40):
            fleet.request()
            await fleet.timers.run_for(0.2)
            await fleet.follow_store()
        assert len(fleet.crashes_s) == crashes + 1

    async def test_no_trial_is_sent_without_the_object_api(self):
        fleet = Fleet(8)
        await fleet.play(10.0, 2.0)
        fleet.api.faults.down = True
        with pytest.raises(ObjectApiUnavailableError):
            await fleet.api.list(QUARANTINE_KIND)
        await fleet.timers.run_for(60.0, step_s=0.05)
        assert await fleet.play(20.0, 2.0) == []
