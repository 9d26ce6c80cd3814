"""State machine test of the endpoint directory under combined faults."""

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
    """A discovery service with outages, and a node that follows it.

    The model tracks the registered entries, the updates sent to the node, and
    the departures that the node has been notified of.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.directory = EndpointDirectory()
        # Registered entries: boot number and whether the endpoint is leaving.
        self.entries = {}
        self.boots = dict.fromkeys(NAMES, 0)
        # Boots whose departure or removal the node was notified of.
        self.announced = set()
        self.unavailable = False
        self.outage_start_s = 0.0
        # End of the grace period after an outage.
        self.grace_end_s = 0.0
        # When the node was notified that an entry is missing.
        self.missing_since_s = {}

    def _endpoint(self, name):
        boot, leaving = self.entries[name]
        return make_endpoint(name, leaving=leaving, started_ms=boot)

    def _notify(self, name):
        """Notifies the node of an entry unless discovery is unavailable."""
        if self.unavailable:
            return
        if name in self.entries:
            boot, leaving = self.entries[name]
            self.directory.put(self._endpoint(name))
            self.missing_since_s.pop(name, None)
            if leaving:
                self.announced.add((name, boot))
        else:
            self._notify_missing(name)
            self.directory.remove(name, self.now_s)

    def _notify_missing(self, name):
        known = self.directory.get(name)
        if known is not None:
            self.missing_since_s.setdefault(name, self.now_s)
            if self.now_s >= self.grace_end_s:
                self.announced.add((name, known.started_ms))

    @rule(name=names)
    def start(self, name):
        """An endpoint starts, possibly with a reused identifier."""
        if name not in self.entries:
            self.boots[name] += 1
            self.entries[name] = (self.boots[name], False)
            self._notify(name)

    @rule(name=names)
    def announce(self, name):
        """An endpoint announces its departure."""
        if name in self.entries:
            self.entries[name] = (self.entries[name][0], True)
            self._notify(name)

    @rule(name=names)
    def leave(self, name):
        """An entry is removed, with or without an announcement."""
        if name in self.entries:
            del self.entries[name]
            self._notify(name)

    @rule()
    def lose(self):
        """Discovery becomes unavailable."""
        if not self.unavailable:
            self.unavailable = True
            self.outage_start_s = self.now_s
            self.directory.on_discovery_lost(self.now_s)

    @rule()
    def regain(self):
        """Discovery becomes available; the node lists all entries."""
        if not self.unavailable:
            return
        self.unavailable = False
        self.directory.on_discovery_restored(self.now_s)
        if self.now_s - self.outage_start_s >= MIN_EXPIRY_OUTAGE_S:
            self.grace_end_s = self.now_s + REREGISTRATION_GRACE_S
        for name in NAMES:
            if name not in self.entries:
                self._notify_missing(name)
            elif self.entries[name][1]:
                self.announced.add((name, self.entries[name][0]))
            if name in self.entries:
                self.missing_since_s.pop(name, None)
        listed = [self._endpoint(name) for name in self.entries]
        self.directory.replace_all(listed, self.now_s)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.0, 5.0]))
    def wait(self, seconds):
        """Time passes; the node expires grace periods."""
        self.now_s += seconds
        self.directory.expire(self.now_s)

    @invariant()
    def no_leaving_endpoint_is_used(self):
        """An endpoint whose departure is known is not used in that boot."""
        for endpoint in self.directory.usable("app"):
            boot = (endpoint.endpoint_id, endpoint.started_ms)
            assert boot not in self.announced

    @invariant()
    def missing_endpoints_are_removed_after_the_grace_period(self):
        """An entry that does not return after an outage is removed."""
        for endpoint in self.directory.usable("app"):
            since_s = self.missing_since_s.get(endpoint.endpoint_id)
            if since_s is not None:
                assert self.now_s < since_s + REREGISTRATION_GRACE_S

    @invariant()
    def registered_endpoints_are_used(self):
        """A serving endpoint that the node was notified of is used."""
        if self.unavailable:
            return
        usable = {e.endpoint_id for e in self.directory.usable("app")}
        for name, (_, leaving) in self.entries.items():
            assert leaving or name in usable


TestDirectoryMachine = DirectoryMachine.TestCase
TestDirectoryMachine.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
