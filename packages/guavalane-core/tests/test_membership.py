"""Tests of the membership state machine over a simulated network."""

from __future__ import annotations

import random
import zlib

import pytest

from guavalane_core import messages
from guavalane_core.exceptions import MessageError
from guavalane_core.membership import (
    TICK_S,
    Changed,
    ClockJumped,
    Member,
    Membership,
    Send,
    State,
    rank_relays,
)
from guavalane_core.membership.lists import decompress_list
from guavalane_core.membership.machine import (
    ASSUMED_NODES,
    DIRECT_TIMEOUT_S,
    JOIN_GRACE_S,
    JOIN_LIMIT_S,
    LIST_SPREAD_S_PER_MEMBER,
    MAX_UPDATES,
    PROBE_PERIOD_S,
    PROBE_TIMEOUT_S,
    RINGS,
    SAMPLE_MEMBERS,
    SUCCESSORS_PER_RING,
    SUSPICION_TIMEOUT_S,
)
from guavalane_core.messages.codec import MAX_FRAME_BYTES

DELAY_S = 0.01
START_S = 100.0
PROBE_ROUND_S = RINGS * SUCCESSORS_PER_RING * PROBE_PERIOD_S
SPREAD_S = 3.0
# Maximum interval between probes of one of two neighbours, plus the time after
# which an unanswered probe is repeated over a new connection, plus one second
# for the handshake.
CONNECTION_REPLACED_S = 3 * PROBE_PERIOD_S + DIRECT_TIMEOUT_S + 1.0


class Network:
    """Machines that exchange encoded messages with a fixed delay."""

    def __init__(self, count):
        self.now = START_S
        self.wall_steps = {}
        self.paused = set()
        self.cut = set()
        self.queue = []
        self.changes = {}
        self.jumps = []
        self.nodes = {}
        self.linked = set()
        self.lists = []
        for index in range(count):
            self.add(f"n{index}", index % 3)

    def add(self, name, zone=0, incarnation=1):
        machine = Membership(
            name,
            incarnation,
            f"{name}:1",
            f"zone-{zone}",
            lambda: 7,
            self.now,
            random.Random(f"{name}/{incarnation}"),
        )
        self.nodes[name] = machine
        self.changes[name] = []
        self.linked = {pair for pair in self.linked if name not in pair}
        for seed in ("n0", "n1"):
            if name != seed and seed in self.nodes:
                self.connect(name, seed)

    def connect(self, name, other):
        self.linked.add(frozenset((name, other)))
        for a, b in ((name, other), (other, name)):
            own = self.nodes[b].own
            self.execute(
                a,
                self.nodes[a].on_connection(
                    b, own.incarnation, own.address, own.zone, 7, self.now
                ),
            )

    def execute(self, name, commands):
        for command in commands:
            if isinstance(command, Changed):
                self.changes[name].append(command)
            elif isinstance(command, ClockJumped):
                self.jumps.append((name, command.seconds))
            elif isinstance(command, Send):
                if isinstance(command.message, messages.CompressedMemberList):
                    self.lists.append(command.message)
                # A message opens a connection, which starts with a handshake.
                pair = frozenset((name, command.name))
                stopped = self.paused | (pair - self.nodes.keys())
                if not (pair & stopped or pair in self.linked):
                    self.connect(name, command.name)
                frame = messages.encode(command.message)
                self.queue.append((name, command.name, frame))

    def tick(self):
        self.now += TICK_S
        for _ in range(6):
            batch, self.queue = self.queue, []
            for sender, receiver, frame in batch:
                if receiver in self.paused:
                    self.queue.append((sender, receiver, frame))
                elif (sender, receiver) not in self.cut:
                    machine = self.nodes[receiver]
                    message = messages.decode(frame)
                    self.execute(
                        receiver, machine.on_message(sender, message, self.now)
                    )
        for name in sorted(self.nodes.keys() - self.paused):
            wall = self.now + self.wall_steps.get(name, 0)
            self.execute(name, self.nodes[name].on_timer(self.now, wall))

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def states(self, name):
        return {
            viewer: machine.members[name].state
            for viewer, machine in self.nodes.items()
            if name in machine.members and viewer not in self.paused
        }

    def stop(self, name):
        self.cut |= {(a, name) for a in self.nodes}
        self.cut |= {(name, a) for a in self.nodes}
        self.paused.add(name)


@pytest.fixture
def network():
    """Returns a network of twelve nodes that know each other."""
    network = Network(12)
    network.run(5)
    assert all(len(m.live_members) == 12 for m in network.nodes.values())
    return network


class TestMembership:
    """Guards against incorrect views of which nodes are live."""

    def test_dead_after_suspicion(self, network):
        network.stop("n5")
        network.run(SUSPICION_TIMEOUT_S - 1)
        assert State.DEAD not in network.states("n5").values()
        # Worst case: the only reachable prober has just probed the node.
        network.run(PROBE_ROUND_S + PROBE_TIMEOUT_S + SPREAD_S)
        assert set(network.states("n5").values()) == {State.DEAD}
        assert not network.nodes["n0"].is_live("n5", 1)
        assert network.nodes["n0"].is_gone("n5", 1)

    def test_paused_node_refutes_its_death_and_suspects_nobody(self, network):
        network.paused.add("n5")
        network.run(20)
        assert set(network.states("n5").values()) == {State.DEAD}
        network.paused.clear()
        network.run(15)
        assert set(network.states("n5").values()) == {State.ALIVE}
        member = network.nodes["n0"].members["n5"]
        assert (member.incarnation, member.returns) == (1, 1)
        assert member.refutation > 0
        assert [name for name, _ in network.jumps] == ["n5"]
        assert not [
            change
            for change in network.changes["n5"]
            if change.member.state in (State.SUSPECT, State.DEAD)
        ]

    def test_restarted_node_has_a_new_incarnation(self, network):
        network.stop("n5")
        network.run(2)
        network.paused.clear()
        network.cut.clear()
        network.add("n5", incarnation=2)
        network.run(6)
        member = network.nodes["n9"].members["n5"]
        assert (member.state, member.incarnation) == (State.ALIVE, 2)
        assert member.restarts == 1
        assert not network.nodes["n9"].is_live("n5", 1)
        assert network.nodes["n9"].is_gone("n5", 1)

    def test_goodbye_needs_no_suspicion(self, network):
        network.nodes["n5"].leave()
        network.run(3)
        assert set(network.states("n5").values()) == {State.LEAVING}
        assert network.nodes["n0"].is_live("n5", 1)
        goodbye = messages.Goodbye(node="n5", incarnation=1)
        for name in ("n0", "n1"):
            commands = network.nodes[name].on_message(
                "n5", goodbye, network.now
            )
            network.execute(name, commands)
        network.stop("n5")
        network.run(4)
        assert set(network.states("n5").values()) == {State.DEAD}
        assert network.nodes["n0"].members["n5"].said_goodbye

    def test_cut_in_one_direction_between_two_nodes_kills_neither(
        self, network
    ):
        for viewer, machine in network.nodes.items():
            target = machine.neighbours[0]
            network.cut = {(viewer, target)}
            network.run(12)
            assert network.states(target)[viewer] is State.ALIVE
            assert network.states(viewer)[target] is State.ALIVE

    def test_unanswered_probe_is_repeated_over_a_new_connection(self, network):
        machine = network.nodes["n0"]
        target = machine.neighbours[0]
        network.stop(target)
        sent = []
        for _ in range(round((PROBE_ROUND_S + DIRECT_TIMEOUT_S) / TICK_S) + 1):
            network.now += TICK_S
            sent += machine.on_timer(network.now, network.now)
        first, fresh = [
            command.message
            for command in sent
            if isinstance(command, Send)
            and command.name == target
            and isinstance(command.message, messages.Ping)
        ][:2]
        assert first.sequence == fresh.sequence
        assert any(
            command.fresh for command in sent if isinstance(command, Send)
        )

    def test_suspect_reached_late_by_one_other_refutes_in_time(self):
        # It takes time to replace connections that failed in one direction.
        both_ways = {("n0", "n1"), ("n1", "n0")}
        for phase in range(40):
            network = Network(3)
            network.run(5 + phase * TICK_S)
            network.cut = both_ways | {("n1", "n2"), ("n2", "n1")}
            network.run(CONNECTION_REPLACED_S)
            network.cut = both_ways
            network.run(12)
            for changes in network.changes.values():
                assert State.DEAD not in {c.member.state for c in changes}

    def test_two_sides_find_each_other_after_a_partition(self, network):
        left = {f"n{i}" for i in range(6)}
        right = network.nodes.keys() - left
        network.cut = {(a, b) for a in left for b in right}
        network.cut |= {(b, a) for a, b in network.cut}
        network.run(60)
        assert len(network.nodes["n0"].live_members) == 6
        assert network.nodes["n0"].count_api_clients(network.now) == 12
        network.cut.clear()
        network.run(40)
        for machine in network.nodes.values():
            assert len(machine.live_members) == 12

    def test_wall_clock_step_is_reported(self, network):
        network.wall_steps["n3"] = -3600.0
        network.run(1)
        assert [name for name, _ in network.jumps] == ["n3"]
        network.run(10)
        assert len(network.nodes["n3"].live_members) == 12

    def test_new_node_does_not_take_the_whole_rate(self, network):
        network.add("n99")
        network.queue.clear()
        machine = network.nodes["n99"]
        assert machine.count_api_clients(network.now) == ASSUMED_NODES
        network.run(4)
        assert machine.joined
        assert machine.count_api_clients(network.now) == 13
        alone = Network(1)
        assert alone.nodes["n0"].count_api_clients(alone.now) == ASSUMED_NODES
        alone.run(JOIN_GRACE_S)
        assert alone.nodes["n0"].count_api_clients(alone.now) == 1

    def test_late_updates_change_nothing(self, network):
        machine = network.nodes["n0"]
        old = machine.members["n5"].to_update()
        network.paused.add("n5")
        network.run(15)
        network.paused.clear()
        network.run(15)
        before = machine.members["n5"].to_plain()
        ping = messages.Ping(sequence=1, generation=0, updates=(old,))
        machine.on_message("n1", ping, network.now)
        assert machine.members["n5"].to_plain() == before


class TestBounds:
    """Guards against a cost per node that grows with the size of the fleet."""

    def test_neighbours_and_updates_are_bounded(self):
        network = Network(60)
        network.run(8)
        bound = RINGS * SUCCESSORS_PER_RING
        probed_by = dict.fromkeys(network.nodes, 0)
        for machine in network.nodes.values():
            assert len(machine.live_members) == 60
            assert len(machine.neighbours) <= bound
            for name in machine.neighbours:
                probed_by[name] += 1
        assert min(probed_by.values()) >= SUCCESSORS_PER_RING
        assert max(probed_by.values()) <= bound
        for i in range(20):
            network.stop(f"n{i + 10}")
        for _ in range(20):
            network.tick()
            for _, _, frame in network.queue:
                message = messages.decode(frame)
                assert len(getattr(message, "updates", ())) <= MAX_UPDATES

    def test_common_start_spreads_the_whole_lists(self):
        network = Network(200)
        window_s = LIST_SPREAD_S_PER_MEMBER * 200
        lists = []
        for _ in range(round((window_s + PROBE_PERIOD_S) / TICK_S)):
            network.lists.clear()
            network.tick()
            found = map(decompress_list, network.lists)
            lists.append([len(members.updates) for members in found])
        for machine in network.nodes.values():
            assert machine.joined
            assert len(machine.live_members) == 200
        whole = [sum(n > SAMPLE_MEMBERS for n in found) for found in lists]
        # Each node except the two seeds requests one complete list, and no tick
        # has more than three times the mean number of the window.
        assert 198 <= sum(whole) <= 200
        assert max(whole) <= 3 * 200 * TICK_S / window_s

    def test_node_joins_when_the_sender_of_its_sample_dies(self):
        network = Network(60)
        network.tick()
        network.stop("n0")
        network.stop("n1")
        network.run(JOIN_LIMIT_S)
        for name in network.nodes.keys() - network.paused:
            machine = network.nodes[name]
            assert machine.joined
            assert len(machine.live_members) == 58

    def test_oversized_list_is_refused(self):
        data = zlib.compress(bytes(MAX_FRAME_BYTES + 1))
        for broken in (data, data[:-1], b"nonsense"):
            with pytest.raises(MessageError):
                decompress_list(
                    messages.CompressedMemberList(total=1, data=broken)
                )


class TestRelays:
    """Guards against relays that are all replaced when one node fails."""

    def test_only_the_lost_relay_is_replaced(self):
        members = [
            Member(f"n{i}", 1, f"n{i}:1", f"zone-{i % 3}") for i in range(30)
        ]
        before = rank_relays(members, "zone-1")
        lost = before[0]
        after = rank_relays([m for m in members if m.name != lost], "zone-1")
        assert len(before) == len(after) == 6
        assert after[0] == before[1]
        assert after[2:] == before[2:]
