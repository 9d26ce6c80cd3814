"""Tests that each check of the soak detects a violated invariant."""

from __future__ import annotations

import os
import types

import pytest

from guavalane_platform_standins.cloud import CloudCall, CloudServer
from guavalane_platform_standins.endpoint import Execution
from soak.checks import (
    APPLY_LIMIT_S,
    BUDGET_SLACK,
    CHECKS,
    DRAIN_LIMIT_S,
    MIN_TIMED_OUT,
    RECOVERY_TIME_S,
    SETTLING_TIME_S,
)
from soak.deployment import (
    ConfigurationChange,
    EndpointDrain,
    FaultInterval,
    SoakDeployment,
)
from soak.load import STREAM_BODY, Call, ConfigurationProbe


def make_call(number=1, **changes):
    """Returns a complete call of an at-most-once route, with changes."""
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


def make_execution(request_id="q-1", path="/once/x", at_s=100.0):
    """Returns an execution."""
    return Execution(request_id, {}, path, b"", at_s)


class Scenario:
    """Deployment and callers with records that a test sets."""

    def __init__(self):
        self.deployment = SoakDeployment(1, 1)
        self.callers = types.SimpleNamespace(calls=[], probes=[])
        endpoint = types.SimpleNamespace(executions=[])
        self.executions = endpoint.executions
        self.deployment.endpoints["i-1"] = ("app", endpoint)
        self.deployment.cloud = CloudServer()

    def check(self, name):
        """Returns the violations that a check finds."""
        return list(CHECKS.get(name)(self.deployment, self.callers))

    def add_fault(self, fault, target=""):
        """Adds a fault that never ends."""
        self.deployment.fault_intervals.append(
            FaultInterval(fault, target, 0.0)
        )


@pytest.fixture
def scenario():
    """Returns a scenario without calls, executions or faults."""
    return Scenario()


class TestChecks:
    """Guards against checks that cannot fail or fail without a violation."""

    def test_at_most_once(self, scenario):
        scenario.executions.append(make_execution())
        scenario.executions += [
            make_execution("q-2", "/look/x"),
            make_execution("q-2", "/look/x"),
        ]
        assert scenario.check("at_most_once") == []
        scenario.executions.append(make_execution())
        assert scenario.check("at_most_once")

    def test_true_refusals(self, scenario):
        scenario.callers.calls.append(make_call(status=503))
        assert scenario.check("true_refusals") == []
        scenario.executions.append(make_execution())
        assert scenario.check("true_refusals")

    @pytest.mark.parametrize(
        "changes",
        [
            {"body": b"done:q-2"},
            {"body": b"done:"},
            {"kind": "talk", "body": STREAM_BODY[:-9]},
            {"kind": "talk", "body": STREAM_BODY[9:], "broken": True},
        ],
    )
    def test_whole_answers(self, scenario, changes):
        scenario.callers.calls += [
            make_call(),
            make_call(kind="talk", body=STREAM_BODY),
            make_call(kind="talk", body=STREAM_BODY[:30], broken=True),
        ]
        assert scenario.check("whole_answers") == []
        scenario.callers.calls.append(make_call(**changes))
        assert scenario.check("whole_answers")

    def test_answers_in_time(self, scenario):
        late = [make_call(n, ended_s=102.8) for n in range(MIN_TIMED_OUT)]
        scenario.callers.calls += late
        assert scenario.check("answers_in_time")
        scenario.add_fault("node", "edge-1")
        assert scenario.check("answers_in_time") == []

    def test_drained_endpoints(self, scenario):
        scenario.deployment.drains.append(EndpointDrain("i-1", 100.0))
        scenario.executions.append(
            make_execution(at_s=100.0 + DRAIN_LIMIT_S - 0.1)
        )
        assert scenario.check("drained_endpoints") == []
        scenario.executions.append(
            make_execution(at_s=100.0 + DRAIN_LIMIT_S + 0.1)
        )
        assert scenario.check("drained_endpoints")
        scenario.add_fault("store")
        assert scenario.check("drained_endpoints") == []

    def test_configuration_in_time(self, scenario):
        scenario.deployment.changes.append(ConfigurationChange(2, 100.0))
        early = ConfigurationProbe(
            "edge-1", 1, 100.0 + APPLY_LIMIT_S - 0.1, 2, False
        )
        scenario.callers.probes.append(early)
        assert scenario.check("configuration_in_time") == []
        late = ConfigurationProbe(
            "edge-1", 1, 100.0 + APPLY_LIMIT_S + 0.1, 2, False
        )
        scenario.callers.probes.append(late)
        assert scenario.check("configuration_in_time")
        # The next version has removed the route.
        scenario.deployment.changes.append(ConfigurationChange(3, late.sent_s))
        assert scenario.check("configuration_in_time") == []

    def test_configuration_never_back(self, scenario):
        scenario.callers.probes += [
            ConfigurationProbe("edge-1", 1, 100.0, 5, True),
            ConfigurationProbe("edge-1", 2, 101.0, 3, True),
            ConfigurationProbe("edge-2", 1, 102.0, 3, True),
        ]
        assert scenario.check("configuration_never_back") == []
        scenario.callers.probes.append(
            ConfigurationProbe("edge-1", 1, 103.0, 3, True)
        )
        assert scenario.check("configuration_never_back")

    def test_retry_budget(self, scenario):
        scenario.callers.calls.append(make_call())
        for _ in range(BUDGET_SLACK + 1):
            scenario.executions.append(make_execution("q-1", "/look/x"))
        assert scenario.check("retry_budget") == []
        scenario.executions.append(make_execution("q-1", "/look/x"))
        assert scenario.check("retry_budget")

    @pytest.mark.parametrize(
        ("holder", "body"),
        [
            ("b", {"WindowSeq": 2, "Counts": {}}),
            ("a", {"WindowSeq": 1, "Counts": {"org": 2}}),
        ],
    )
    def test_one_holder(self, scenario, holder, body):
        first = CloudCall("/usage", "a", 7, {"WindowSeq": 1, "Counts": {}})
        scenario.deployment.cloud.calls += [first, first]
        assert scenario.check("one_holder") == []
        scenario.deployment.cloud.calls.append(
            CloudCall("/usage", holder, 7, body)
        )
        assert scenario.check("one_holder")

    def test_planned_stops(self, scenario):
        scenario.callers.calls.append(make_call(status=None, broken=True))
        scenario.executions.append(make_execution())
        scenario.deployment.fault_intervals.append(
            FaultInterval("stop", "edge-2", 99.0, 107.0)
        )
        assert scenario.check("planned_stops") == []
        scenario.deployment.fault_intervals.append(
            FaultInterval("stop", "edge-1", 99.0, 107.0)
        )
        assert scenario.check("planned_stops")
        scenario.deployment.fault_intervals.append(
            FaultInterval("endpoint", "i-1", 99.0, 99.5)
        )
        assert scenario.check("planned_stops") == []
        assert SETTLING_TIME_S > 0

    def test_processes(self, scenario):
        process = types.SimpleNamespace(
            poll=lambda: None, pid=os.getpid(), returncode=1
        )
        node = types.SimpleNamespace(name="edge-1", process=process)
        scenario.deployment.nodes.append(node)
        process.poll = lambda: 1
        assert scenario.check("processes")

    def test_recovery(self, scenario):
        scenario.deployment.fault_intervals.append(
            FaultInterval("store", "", 10.0, 20.0)
        )
        assert scenario.check("recovery")
        at_s = 20.0 + RECOVERY_TIME_S + 1
        scenario.callers.calls.append(make_call(sent_s=at_s))
        assert scenario.check("recovery") == []
        scenario.callers.calls.append(make_call(sent_s=at_s, status=503))
        assert scenario.check("recovery")
