"""Tests of the sinks for watched objects."""

from __future__ import annotations

import random

import attrs
import pytest

from guavalane_core.exceptions import ConfigurationError
from guavalane_core.objects import ObjectEvent, StoredObject
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.restore_period import RESTORE_PERIOD_S
from guavalane_entry.gateway.sinks import (
    ConfigurationSink,
    EndpointSink,
    PeerSink,
)
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.forwarding_samples import (
    make_configuration,
    make_endpoint,
    make_route,
)
from guavalane_standins.gateway_rig import make_settings

# Time within which a node must stop sending requests to a removed endpoint, in
# seconds (the operators' bound `DrainMs`).
DRAIN_S = 2.0
# Allowance for the transit of a request to its endpoint, in seconds.
TRANSIT_S = 0.1


def decode(stored):
    """Decodes an endpoint; an empty body is invalid."""
    if not stored.body:
        raise ConfigurationError("the entry is empty")
    return make_endpoint(stored.name, **stored.body)


def make_stored(name, **body):
    """Returns the stored entry of an endpoint."""
    return StoredObject("endpoints", name, "1", body or {"zone": "zone-a"})


class SinkHarness:
    """Endpoint sink with its node view and manual timers."""

    def __init__(self):
        self.timers = ManualTimers()
        self.view = NodeView(make_settings(), self.timers, random.Random(1))
        log = DecisionLog("n1", self.timers.wall)
        self.new_versions = 0
        self.sink = EndpointSink(
            self.view, decode, log, self._count_new_version
        )

    def _count_new_version(self):
        self.new_versions += 1

    def is_used(self, name="e-1"):
        """Returns whether an endpoint receives new requests."""
        usable = self.view.directory.usable("app")
        return name in {endpoint.endpoint_id for endpoint in usable}


@pytest.fixture
def harness():
    """Sink that has listed two endpoints."""
    harness = SinkHarness()
    harness.sink.replace_all([make_stored("e-1"), make_stored("e-2")])
    return harness


class TestGraceAfterOutage:
    """Guards against requests to endpoints missing after an outage."""

    @pytest.mark.parametrize("phase_s", [n * 0.01 for n in range(30)])
    @pytest.mark.parametrize("delay_s", [0.0, 0.5, 1.0])
    def test_an_expired_endpoint_is_dropped_within_the_bound(
        self, harness, phase_s, delay_s
    ):
        harness.timers.advance(5.0 + phase_s)
        harness.sink.on_api_lost()
        harness.timers.advance(10.0)
        harness.sink.on_api_recovered()
        harness.timers.advance(delay_s)
        harness.sink.apply(ObjectEvent(make_stored("e-1"), deleted=True))
        assert harness.is_used()
        harness.timers.advance(DRAIN_S - TRANSIT_S)
        assert not harness.is_used()
        assert harness.is_used("e-2")

    def test_an_endpoint_restored_in_time_stays_in_use(self, harness):
        harness.sink.on_api_lost()
        harness.timers.advance(10.0)
        harness.sink.on_api_recovered()
        harness.sink.replace_all([make_stored("e-2")])
        for _ in range(15):
            harness.timers.advance(0.1)
            assert harness.is_used()
        harness.sink.apply(ObjectEvent(make_stored("e-1"), deleted=False))
        harness.timers.advance(10.0)
        assert harness.is_used()

    def test_an_endpoint_missing_from_a_copy_is_dropped_in_time(self, harness):
        harness.sink.on_api_lost()
        harness.timers.advance(10.0)
        harness.sink.merge([make_stored("e-2")])
        assert harness.is_used()
        harness.timers.advance(DRAIN_S - TRANSIT_S)
        assert not harness.is_used()


class TestInvalidEntries:
    """Guards against use of endpoints with invalid entries."""

    def test_a_decoder_that_fails_does_not_hide_other_entries(self, harness):
        def fail_on_odd(stored):
            if stored.name == "odd":
                raise RecursionError("too deep")
            return decode(stored)

        harness.sink._decode = fail_on_odd
        harness.sink.replace_all([make_stored("odd"), make_stored("e-5")])
        assert harness.is_used("e-5")
        assert not harness.is_used("odd")

    def test_an_invalid_entry_is_not_used(self, harness):
        broken = StoredObject("endpoints", "e-1", "2", {})
        harness.sink.apply(ObjectEvent(broken, deleted=False))
        assert not harness.is_used()
        assert harness.is_used("e-2")


class TestNewVersion:
    """Guards against a version that is used before its order is known."""

    def test_the_first_list_is_not_new(self, harness):
        assert harness.new_versions == 0

    def test_an_endpoint_of_a_known_version_is_not_new(self, harness):
        harness.sink.apply(ObjectEvent(make_stored("e-3")))
        assert harness.new_versions == 0

    def test_another_version_is_new_once(self, harness):
        for _ in range(2):
            stored = make_stored("e-3", version="v2")
            harness.sink.apply(ObjectEvent(stored))
        harness.sink.apply(ObjectEvent(make_stored("e-4", version="v2")))
        assert harness.new_versions == 1


class TestEndpointsAfterAReturn:
    """Guards against requests to endpoints that left in the lost seconds."""

    @pytest.fixture
    def restored(self, harness):
        """Sink that saw `e-1` leave, which is in the list after a return."""
        harness.sink.apply(ObjectEvent(make_stored("e-1"), deleted=True))
        harness.sink.on_restored()
        harness.sink.replace_all([make_stored("e-1"), make_stored("e-2")])
        return harness

    def test_an_entry_that_is_back_is_not_used(self, restored):
        assert not restored.is_used()
        assert restored.is_used("e-2")
        # The kind is listed again for another reason.
        restored.sink.replace_all([make_stored("e-1"), make_stored("e-2")])
        assert not restored.is_used()

    def test_it_is_used_once_it_is_written_again(self, restored):
        written = attrs.evolve(make_stored("e-1"), version="2")
        restored.sink.apply(ObjectEvent(written))
        assert restored.is_used()
        restored.sink.replace_all([written, make_stored("e-2")])
        assert restored.is_used()

    def test_another_process_of_the_endpoint_is_used(self, harness):
        harness.sink.apply(ObjectEvent(make_stored("e-1"), deleted=True))
        harness.sink.on_restored()
        harness.sink.replace_all([make_stored("e-1", started_ms=7)])
        assert harness.is_used()

    def test_a_draining_endpoint_stays_unused(self, harness):
        draining = make_stored("e-1", leaving=True)
        harness.sink.apply(ObjectEvent(draining))
        harness.sink.on_restored()
        harness.sink.replace_all([make_stored("e-1"), make_stored("e-2")])
        assert not harness.is_used()

    def test_a_missing_entry_has_time_to_be_written_again(self, harness):
        harness.sink.on_restored()
        harness.sink.replace_all([make_stored("e-2")])
        assert harness.is_used()
        harness.timers.advance(DRAIN_S - TRANSIT_S)
        assert not harness.is_used()


class TestNodesAfterAReturn:
    """Guards against nodes that take the shares of others for their own."""

    @pytest.fixture
    def node(self):
        """Sink of node `n1`, which has listed four nodes."""
        timers = ManualTimers()
        view = NodeView(make_settings("n1"), timers, random.Random(1))
        self.renewals = 0
        sink = PeerSink(view, self._renew, DecisionLog("n1", timers.wall))
        sink.view, sink.timers = view, timers
        sink.replace_all([self._store(f"n{n}") for n in range(1, 5)])
        return sink

    def _renew(self):
        self.renewals += 1

    def _store(self, name):
        body = {"address": f"127.0.0.{name[1:]}:7600"}
        return StoredObject("nodes", name, "1", body)

    def test_a_missing_node_has_time_to_register_again(self, node):
        node.on_restored()
        node.replace_all([self._store("n2")])
        assert node.view.node_count == 4
        assert self.renewals == 1
        node.apply(ObjectEvent(self._store("n3")))
        node.timers.advance(RESTORE_PERIOD_S)
        assert sorted(node.view.peers) == ["n2", "n3"]

    def test_a_missing_node_is_dropped_without_a_return(self, node):
        node.replace_all([self._store("n1"), self._store("n2")])
        assert sorted(node.view.peers) == ["n2"]


class TestConfigurationAfterAReturn:
    """Guards against a configuration in force that is lost or goes back."""

    @pytest.fixture
    def sink(self):
        """Sink that has version 9 in force; its view is `sink.view`."""
        timers = ManualTimers()
        view = NodeView(make_settings(), timers, random.Random(1))
        sink = ConfigurationSink(
            view,
            lambda stored: attrs.evolve(
                make_configuration(make_route()), version=stored.body["version"]
            ),
            DecisionLog("n1", timers.wall),
        )
        sink.view = view
        sink.replace_all([self._store("1.20", 9)])
        return sink

    def _store(self, position, version):
        return StoredObject("config", "main", position, {"version": version})

    def test_an_older_one_in_the_store_changes_nothing(self, sink):
        sink.on_restored()
        sink.replace_all([self._store("2.11", 8)])
        assert sink.view.table.configuration.version == 9

    @pytest.mark.parametrize("listed", [True, False])
    def test_peers_get_the_one_in_force(self, sink, listed):
        older = self._store("2.11", 8)
        sink.on_restored()
        sink.replace_all([older] if listed else [])
        (copy,) = sink.to_copy({"main": older} if listed else {})
        assert copy.body == {"version": 9}
        # A peer that knows of the return takes no copy of an earlier era.
        assert copy.version == ("2.11" if listed else "1.20")
