"""Tests that each check of the soak fails where its promise is broken."""

from __future__ import annotations

import os
import types

import pytest

from guavalane_platform_standins.cloud import CloudCall, CloudServer
from guavalane_platform_standins.endpoint import Run
from soak.callers import EVENTS, Call, Probe
from soak.checks import (
    APPLY_S,
    BUDGET_SLACK,
    CHECKS,
    CONTACT_S,
    DRAIN_S,
    MIN_LATE,
    RECOVERY_S,
)
from soak.world import Change, Drain, Span, World


def make_call(number=1, **changes):
    """Returns a whole answer to an at-most-once call, with changes."""
    values = {
        "request_id": f"q-{number}",
        "kind": "once",
        "node": "edge-1",
        "sent_s": 100.0,
        "ended_s": 100.1,
        "status": 200,
        "body": f"done:q-{number}".encode(),
        "broken": False,
    }
    return Call(**{**values, **changes})


def make_run(request_id="q-1", path="/once/x", at_s=100.0):
    """Returns a run."""
    return Run(request_id, {}, path, b"", at_s)


class Scene:
    """A world and its callers as a test makes them up."""

    def __init__(self):
        self.world = World(1, 1)
        self.callers = types.SimpleNamespace(calls=[], probes=[])
        endpoint = types.SimpleNamespace(runs=[])
        self.runs = endpoint.runs
        self.world.endpoints["i-1"] = ("app", endpoint)
        self.world.cloud = CloudServer()

    def check(self, name):
        """Returns what a check finds."""
        return list(CHECKS.get(name)(self.world, self.callers))

    def disturb(self, fault, target=""):
        """Adds a fault that lasts for the whole scene."""
        self.world.spans.append(Span(fault, target, 0.0))


@pytest.fixture
def scene():
    """Returns a scene in which nothing has happened."""
    return Scene()


class TestChecks:
    """Guards against checks that cannot fail, or fail without a cause."""

    def test_at_most_once(self, scene):
        scene.runs.append(make_run())
        scene.runs += [make_run("q-2", "/look/x"), make_run("q-2", "/look/x")]
        assert scene.check("at_most_once") == []
        scene.runs.append(make_run())
        assert scene.check("at_most_once")

    def test_true_refusals(self, scene):
        scene.callers.calls.append(make_call(status=503))
        assert scene.check("true_refusals") == []
        scene.runs.append(make_run())
        assert scene.check("true_refusals")

    @pytest.mark.parametrize(
        "changes",
        [
            {"body": b"done:q-2"},
            {"body": b"done:"},
            {"kind": "talk", "body": EVENTS[:-9]},
            {"kind": "talk", "body": EVENTS[9:], "broken": True},
        ],
    )
    def test_whole_answers(self, scene, changes):
        scene.callers.calls += [
            make_call(),
            make_call(kind="talk", body=EVENTS),
            make_call(kind="talk", body=EVENTS[:30], broken=True),
        ]
        assert scene.check("whole_answers") == []
        scene.callers.calls.append(make_call(**changes))
        assert scene.check("whole_answers")

    def test_answers_in_time(self, scene):
        late = [make_call(n, ended_s=102.8) for n in range(MIN_LATE)]
        scene.callers.calls += late
        assert scene.check("answers_in_time")
        scene.disturb("node", "edge-1")
        assert scene.check("answers_in_time") == []

    def test_drained_endpoints(self, scene):
        scene.world.drains.append(Drain("i-1", 100.0))
        scene.runs.append(make_run(at_s=100.0 + DRAIN_S - 0.1))
        assert scene.check("drained_endpoints") == []
        scene.runs.append(make_run(at_s=100.0 + DRAIN_S + 0.1))
        assert scene.check("drained_endpoints")
        scene.disturb("store")
        assert scene.check("drained_endpoints") == []

    def test_configuration_in_time(self, scene):
        scene.world.changes.append(Change(2, 100.0))
        early = Probe("edge-1", 1, 100.0 + APPLY_S - 0.1, 2, False)
        scene.callers.probes.append(early)
        assert scene.check("configuration_in_time") == []
        late = Probe("edge-1", 1, 100.0 + APPLY_S + 0.1, 2, False)
        scene.callers.probes.append(late)
        assert scene.check("configuration_in_time")
        # The next version has taken the route away.
        scene.world.changes.append(Change(3, late.sent_s))
        assert scene.check("configuration_in_time") == []

    def test_configuration_never_back(self, scene):
        scene.callers.probes += [
            Probe("edge-1", 1, 100.0, 5, True),
            Probe("edge-1", 2, 101.0, 3, True),
            Probe("edge-2", 1, 102.0, 3, True),
        ]
        assert scene.check("configuration_never_back") == []
        scene.callers.probes.append(Probe("edge-1", 1, 103.0, 3, True))
        assert scene.check("configuration_never_back")

    def test_retry_budget(self, scene):
        scene.callers.calls.append(make_call())
        for _ in range(BUDGET_SLACK + 1):
            scene.runs.append(make_run("q-1", "/look/x"))
        assert scene.check("retry_budget") == []
        scene.runs.append(make_run("q-1", "/look/x"))
        assert scene.check("retry_budget")

    @pytest.mark.parametrize(
        ("holder", "body"),
        [
            ("b", {"WindowSeq": 2, "Counts": {}}),
            ("a", {"WindowSeq": 1, "Counts": {"org": 2}}),
        ],
    )
    def test_one_holder(self, scene, holder, body):
        first = CloudCall("/usage", "a", 7, {"WindowSeq": 1, "Counts": {}})
        scene.world.cloud.calls += [first, first]
        assert scene.check("one_holder") == []
        scene.world.cloud.calls.append(CloudCall("/usage", holder, 7, body))
        assert scene.check("one_holder")

    def test_planned_stops(self, scene):
        scene.callers.calls.append(make_call(status=None, broken=True))
        scene.runs.append(make_run())
        scene.world.spans.append(Span("stop", "edge-2", 99.0, 107.0))
        assert scene.check("planned_stops") == []
        scene.world.spans.append(Span("stop", "edge-1", 99.0, 107.0))
        assert scene.check("planned_stops")
        scene.world.spans.append(Span("endpoint", "i-1", 99.0, 99.5))
        assert scene.check("planned_stops") == []
        assert CONTACT_S > 0

    def test_processes(self, scene):
        process = types.SimpleNamespace(
            poll=lambda: None, pid=os.getpid(), returncode=1
        )
        node = types.SimpleNamespace(name="edge-1", process=process)
        scene.world.nodes.append(node)
        process.poll = lambda: 1
        assert scene.check("processes")

    def test_recovery(self, scene):
        scene.world.spans.append(Span("store", "", 10.0, 20.0))
        assert scene.check("recovery")
        at_s = 20.0 + RECOVERY_S + 1
        scene.callers.calls.append(make_call(sent_s=at_s))
        assert scene.check("recovery") == []
        scene.callers.calls.append(make_call(sent_s=at_s, status=503))
        assert scene.check("recovery")
