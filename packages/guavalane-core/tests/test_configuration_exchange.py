"""Tests of the distribution of configuration changes."""

from __future__ import annotations

import random

import pytest

from guavalane_core import messages
from guavalane_core.configuration import ConfigurationState
from guavalane_core.configuration.exchange import (
    FETCH_PERIOD_S,
    RELAY_TIMEOUT_S,
    REQUEST_INTERVAL_S,
    ConfigurationExchange,
    Fetch,
)
from guavalane_core.membership import Member, read_rank

ZONE = "zone-a"
IN_FORCE_S = 8


def plain(generation):
    """Returns a configuration whose organisations name its generation."""
    return {
        "generation": generation,
        "organisations": {f"o{generation}": {"key_sha256": []}},
    }


class Nodes:
    """Nodes whose exchanges pass messages to each other in memory."""

    def __init__(self, count=5, zones=1):
        self.now = 10.0
        self.lost = set()
        self.fetches = []
        self.sent = []
        self.stored = None
        self.members = [
            Member(
                f"n{i}", 1, f"n{i}:1", ZONE if zones == 1 else f"z{i % zones}"
            )
            for i in range(count)
        ]
        self.states = {m.name: ConfigurationState() for m in self.members}
        self.exchanges = {
            m.name: ConfigurationExchange(
                m.name,
                m.zone,
                self.states[m.name],
                lambda: self.members,
                random.Random(m.name),
            )
            for m in self.members
        }
        for exchange in self.exchanges.values():
            exchange.on_members_changed()
        self.relays = [n for n, e in self.exchanges.items() if e.is_relay]
        self.readers = sorted(self.exchanges.keys() - set(self.relays))

    def flush(self):
        for _ in range(5):
            for name, exchange in self.exchanges.items():
                for command in exchange.take_commands():
                    if isinstance(command, Fetch):
                        self.fetch(name)
                        continue
                    self.sent.append((name, command.name, command.message))
                    if {name, command.name} & self.lost:
                        continue
                    self.exchanges[command.name].on_message(
                        name, f"{name}:1", command.message, self.now
                    )

    def fetch(self, name):
        """Reads the whole object, as the driver of an exchange does."""
        self.fetches.append(name)
        if (
            name not in self.lost
            and self.stored
            and self.states[name].offer(self.stored, "object API")
        ):
            self.exchanges[name].push_to_relays()

    def announce(self, stored, storer=None):
        """Stores an object; the watch reports only its generation.

        Without `storer`, the storing node fails before it pushes the change.
        """
        self.stored = stored
        if storer:
            self.states[storer].offer(stored, "operator")
            self.exchanges[storer].push_to_relays()
        for relay in self.relays:
            if relay not in self.lost:
                self.exchanges[relay].note_stored(
                    stored["generation"], self.now
                )
        self.flush()

    def run(self, seconds):
        for _ in range(int(seconds)):
            self.now += 1.0
            for exchange in self.exchanges.values():
                exchange.on_timer(self.now)
            self.flush()

    def store(self, generation):
        """Applies a change on the relays, as their watch does."""
        for relay in self.relays:
            if relay not in self.lost:
                self.states[relay].offer(plain(generation), "object API")
        self.flush()

    def generations(self):
        return {s.generation for s in self.states.values()}


@pytest.fixture
def nodes():
    """Returns nodes whose readers are subscribed and have generation 1."""
    nodes = Nodes()
    nodes.run(3)
    nodes.store(1)
    assert nodes.generations() == {1}
    nodes.sent.clear()
    return nodes


class TestExchange:
    """Guards against nodes that miss a change or revert to an old one."""

    def test_change_is_sent_as_a_delta_without_a_read(self, nodes):
        nodes.store(2)
        assert nodes.generations() == {2}
        assert not nodes.fetches
        bodies = [m for _, _, m in nodes.sent]
        assert not [m for m in bodies if isinstance(m, messages.ConfigFull)]

    def test_late_and_repeated_messages_never_revert(self, nodes):
        nodes.store(2)
        late = [m for m in nodes.sent if m[1] == nodes.readers[0]]
        nodes.store(3)
        for sender, receiver, message in late:
            nodes.exchanges[receiver].on_message(sender, "", message, nodes.now)
        full = messages.ConfigFull(generation=1, body=plain(1))
        nodes.exchanges[nodes.readers[0]].on_message(
            nodes.relays[0], "", full, nodes.now
        )
        nodes.states[nodes.relays[0]].offer(plain(2), "stale read")
        assert nodes.generations() == {3}

    def test_missed_push_is_found_by_a_probe(self, nodes):
        reader = nodes.readers[0]
        nodes.lost = {reader}
        nodes.store(2)
        nodes.store(3)
        assert nodes.states[reader].generation == 1
        nodes.lost = set()
        nodes.now += REQUEST_INTERVAL_S
        nodes.exchanges[reader].note_generation(nodes.readers[1], 3, nodes.now)
        nodes.flush()
        assert nodes.generations() == {3}

    def test_one_unresponsive_relay_delays_no_change(self, nodes):
        nodes.lost = {nodes.relays[0]}
        nodes.store(2)
        assert nodes.generations() == {1, 2}
        assert nodes.states[nodes.relays[0]].generation == 1
        assert not nodes.fetches

    def test_readers_use_the_object_api_when_no_relay_responds(self, nodes):
        nodes.lost = set(nodes.relays)
        nodes.run(20 + RELAY_TIMEOUT_S + 2 * FETCH_PERIOD_S)
        assert set(nodes.fetches) >= set(nodes.readers)
        nodes.lost = set()
        nodes.run(15)
        nodes.fetches.clear()
        nodes.run(30)
        assert not nodes.fetches

    def test_invalid_configuration_is_not_applied_or_pushed(self, nodes):
        broken = {"generation": 2, "routes": {"r": {"kind": "nonsense"}}}
        nodes.states[nodes.relays[0]].offer(broken, "object API")
        nodes.flush()
        assert nodes.generations() == {1}
        assert nodes.states[nodes.relays[0]].rejected[0] == 2

    def test_query_names_the_node_that_lags(self, nodes):
        reader = nodes.readers[0]
        nodes.lost = {reader}
        nodes.store(2)
        asker = nodes.exchanges[nodes.readers[1]]
        sequence = asker.start_query(2)
        nodes.flush()
        assert asker.query_is_complete(sequence)
        assert asker.finish_query(sequence) == [reader]


class TestStoredGenerations:
    """Guards against stored changes that relays never receive."""

    @pytest.fixture
    def nodes(self):
        """Returns nodes of three zones with generation 1 in force."""
        nodes = Nodes(15, zones=3)
        nodes.run(3)
        nodes.store(1)
        assert nodes.generations() == {1}
        nodes.sent.clear()
        return nodes

    def test_storing_node_serves_the_relays_of_all_zones(self, nodes):
        nodes.announce(plain(2), storer=nodes.readers[0])
        assert nodes.generations() == {2}
        nodes.run(IN_FORCE_S)
        assert not nodes.fetches
        kinds = {type(message) for _, _, message in nodes.sent}
        assert messages.ConfigFull not in kinds

    def test_failure_of_the_storing_node_costs_one_read(self, nodes):
        nodes.announce(plain(2))
        assert nodes.generations() == {1}
        nodes.run(IN_FORCE_S)
        assert nodes.generations() == {2}
        assert len(nodes.fetches) == 1
        kinds = {type(message) for _, _, message in nodes.sent}
        assert messages.ConfigFull not in kinds

    def test_other_relays_read_if_two_relays_fail(self, nodes):
        order = sorted(nodes.relays, key=lambda name: read_rank(2, name))
        nodes.lost = set(order[:2])
        nodes.announce(plain(2))
        nodes.run(IN_FORCE_S)
        live = nodes.states.keys() - nodes.lost
        assert {nodes.states[name].generation for name in live} == {2}
        assert len(nodes.fetches) <= len(nodes.relays) - 2

    def test_relay_that_missed_the_push_asks_a_peer(self, nodes):
        late = nodes.relays[0]
        nodes.lost = {late}
        nodes.announce(plain(2), storer=nodes.readers[0])
        nodes.lost = set()
        nodes.exchanges[late].note_stored(2, nodes.now)
        nodes.run(2)
        assert nodes.generations() == {2}
        assert not nodes.fetches

    def test_invalid_object_is_read_but_never_in_force(self, nodes):
        broken = {"generation": 2, "routes": {"r": {"kind": "nonsense"}}}
        nodes.announce(broken)
        nodes.run(60)
        assert nodes.generations() == {1}
        assert sorted(nodes.fetches) == sorted(nodes.relays)
        assert nodes.states[nodes.relays[0]].rejected[0] == 2
        nodes.announce(plain(3))
        nodes.run(IN_FORCE_S)
        assert nodes.generations() == {3}

    def test_invalid_delta_does_not_replace_the_stored_object(self, nodes):
        bad = messages.ConfigDelta(
            base=1, generation=2, body={"routes": {"r": {"kind": "nonsense"}}}
        )
        for relay in nodes.relays:
            nodes.exchanges[relay].on_message("n0", "", bad, nodes.now)
        nodes.announce(plain(2))
        nodes.run(IN_FORCE_S)
        assert nodes.generations() == {2}

    def test_former_subscriber_does_not_get_the_whole_object(self, nodes):
        relay, former = nodes.exchanges[nodes.relays[0]], nodes.readers[0]
        # The node subscribed before it had a configuration, and subscribed to
        # another relay later.
        subscribe = messages.ConfigSubscribe(generation=0)
        relay.on_message(former, f"{former}:1", subscribe, nodes.now)
        relay.take_commands()
        nodes.announce(plain(2), storer=nodes.readers[1])
        assert nodes.generations() == {2}
        kinds = {type(message) for _, _, message in nodes.sent}
        assert messages.ConfigFull not in kinds

    def test_late_delta_after_a_read_never_reverts(self, nodes):
        nodes.announce(plain(2))
        nodes.run(IN_FORCE_S)
        nodes.announce(plain(3), storer=nodes.readers[0])
        late = messages.ConfigDelta(base=1, generation=2, body={})
        for exchange in nodes.exchanges.values():
            exchange.on_message(nodes.relays[0], "", late, nodes.now)
            exchange.note_stored(2, nodes.now)
        nodes.run(IN_FORCE_S)
        assert nodes.generations() == {3}
        assert len(nodes.fetches) == 1
