"""State machine of the endpoints that a node knows, under faults in pairs."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from guavalane_core.forwarding import EndpointDirectory
from guavalane_core.forwarding.directory import (
    MIN_EXPIRY_OUTAGE_S,
    REREGISTRATION_GRACE_S,
)
from guavalane_standins.forwarding_samples import make_endpoint

NAMES = ("e-1", "e-2", "e-3")
names = st.sampled_from(NAMES)


class DirectoryMachine(RuleBasedStateMachine):
    """A discovery with outages, and a node that follows it.

    The model keeps what the discovery holds, what it has told the node, and
    the announcements that the node has taken.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.directory = EndpointDirectory()
        # Entries of the discovery: boot and whether it leaves.
        self.entries = {}
        self.boots = dict.fromkeys(NAMES, 0)
        # Boots whose leaving or removal the node was told.
        self.announced = set()
        self.away = False
        self.away_since_s = 0.0
        # End of the time in which entries may come back after an outage.
        self.grace_end_s = 0.0
        # When the node was told that an entry is missing.
        self.missing_since_s = {}

    def _endpoint(self, name):
        boot, leaving = self.entries[name]
        return make_endpoint(name, leaving=leaving, started_ms=boot)

    def _tell(self, name):
        """Tells the node of an entry, unless the discovery is away."""
        if self.away:
            return
        if name in self.entries:
            boot, leaving = self.entries[name]
            self.directory.put(self._endpoint(name))
            self.missing_since_s.pop(name, None)
            if leaving:
                self.announced.add((name, boot))
        else:
            self._tell_missing(name)
            self.directory.remove(name, self.now_s)

    def _tell_missing(self, name):
        known = self.directory.get(name)
        if known is not None:
            self.missing_since_s.setdefault(name, self.now_s)
            if self.now_s >= self.grace_end_s:
                self.announced.add((name, known.started_ms))

    @rule(name=names)
    def start(self, name):
        """An endpoint starts, perhaps under the identifier of an old one."""
        if name not in self.entries:
            self.boots[name] += 1
            self.entries[name] = (self.boots[name], False)
            self._tell(name)

    @rule(name=names)
    def announce(self, name):
        """An endpoint announces that it leaves."""
        if name in self.entries:
            self.entries[name] = (self.entries[name][0], True)
            self._tell(name)

    @rule(name=names)
    def leave(self, name):
        """An entry is removed, announced or not."""
        if name in self.entries:
            del self.entries[name]
            self._tell(name)

    @rule()
    def lose(self):
        """The discovery goes away."""
        if not self.away:
            self.away = True
            self.away_since_s = self.now_s
            self.directory.on_discovery_lost(self.now_s)

    @rule()
    def regain(self):
        """The discovery is back; the node lists all entries."""
        if not self.away:
            return
        self.away = False
        self.directory.on_discovery_restored(self.now_s)
        if self.now_s - self.away_since_s >= MIN_EXPIRY_OUTAGE_S:
            self.grace_end_s = self.now_s + REREGISTRATION_GRACE_S
        for name in NAMES:
            if name not in self.entries:
                self._tell_missing(name)
            elif self.entries[name][1]:
                self.announced.add((name, self.entries[name][0]))
            if name in self.entries:
                self.missing_since_s.pop(name, None)
        listed = [self._endpoint(name) for name in self.entries]
        self.directory.replace_all(listed, self.now_s)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.0, 5.0]))
    def wait(self, seconds):
        """Time passes; the node looks for ended graces."""
        self.now_s += seconds
        self.directory.expire(self.now_s)

    @invariant()
    def nothing_that_leaves_is_used(self):
        """An endpoint that was told to leave is not used in that boot."""
        for endpoint in self.directory.usable("app"):
            told = (endpoint.endpoint_id, endpoint.started_ms)
            assert told not in self.announced

    @invariant()
    def nothing_that_is_missing_is_used_for_long(self):
        """An entry that does not come back after an outage is given up."""
        for endpoint in self.directory.usable("app"):
            since_s = self.missing_since_s.get(endpoint.endpoint_id)
            if since_s is not None:
                assert self.now_s < since_s + REREGISTRATION_GRACE_S

    @invariant()
    def what_the_discovery_holds_is_used(self):
        """A serving endpoint of which the node was told is used."""
        if self.away:
            return
        usable = {e.endpoint_id for e in self.directory.usable("app")}
        for name, (_, leaving) in self.entries.items():
            assert leaving or name in usable


TestDirectoryMachine = DirectoryMachine.TestCase
TestDirectoryMachine.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
