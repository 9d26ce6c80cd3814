"""Tests of usage reports under faults of the API, platform and holders."""

from __future__ import annotations

import asyncio
import random

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from guavalane_core.exceptions import GuavalaneError
from guavalane_core.objects import MemoryObjectApi
from guavalane_core.timers import ManualTimers
from guavalane_entry.gateway.cloud import CloudError
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.duties import DutyContext, MoveOrders
from guavalane_entry.gateway.usage_duty import UsageDuty
from guavalane_entry.gateway.view import NodeView
from guavalane_standins.gateway_rig import make_settings

WINDOW_S = 5.0


class FakeLease:
    """Lease that is always held."""

    def require(self):
        return 1


class FakeCloud:
    """Platform that records reports and may lose calls or responses."""

    def __init__(self):
        self.figures = {}
        self.down = False
        self.answers_to_lose = 0

    async def report_usage(self, number, window, counts):
        if self.down:
            raise CloudError("down")
        self.figures.setdefault(window, []).append(dict(counts))
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise CloudError("the response was lost")


@attrs.define
class Deployment:
    """Nodes that may hold the duties, and their shared services."""

    timers: ManualTimers = attrs.field(factory=ManualTimers)
    api: MemoryObjectApi = attrs.field(factory=MemoryObjectApi)
    cloud: FakeCloud = attrs.field(factory=FakeCloud)
    views: list[NodeView] = attrs.field(factory=list)

    def add_node(self):
        """Adds a node."""
        name = f"n{len(self.views)}"
        configured = make_settings(name, usage_window_s=WINDOW_S)
        self.views.append(NodeView(configured, self.timers, random.Random(1)))

    def make_duty(self, node):
        """Returns a duty in the state of a new holder."""
        orders = MoveOrders({}, lambda move, phase: {})
        log = DecisionLog(f"n{node}", self.timers.wall)
        view = self.views[node]
        context = DutyContext(view, self.api, self.cloud, log, orders, list)
        return UsageDuty(context)

    async def step(self, duty):
        """Runs a step as `DutyRunner` does."""
        try:
            await duty.step(FakeLease())
        except GuavalaneError:
            # `DutyRunner` retries the step 0.5 s later.
            return


class TestUsageDuty:
    """Guards against usage that is not reported or reported differently."""

    @pytest.fixture
    def deployment(self):
        """Deployment of one node with a request in each of six windows."""
        deployment = Deployment()
        deployment.add_node()
        for _ in range(6):
            deployment.views[0].usage.add("org", deployment.timers.wall())
            deployment.timers.advance(WINDOW_S)
        return deployment

    async def test_each_window_is_reported(self, deployment):
        duty = deployment.make_duty(0)
        for _ in range(10):
            await deployment.step(duty)
        assert len(deployment.cloud.figures) >= 4

    async def test_a_write_of_unknown_outcome_does_not_stop_reporting(
        self, deployment
    ):
        duty = deployment.make_duty(0)
        await deployment.step(duty)
        before = len(deployment.cloud.figures)
        # The write takes effect, and the API fails before it is read back.
        finish = deployment.api._finish_write

        def finish_and_fail(*arguments):
            deployment.api.faults.down = True
            return finish(*arguments)

        deployment.api.faults.lose_answers = 1
        deployment.api._finish_write = finish_and_fail
        await deployment.step(duty)
        deployment.api._finish_write = finish
        deployment.api.faults.down = False
        for _ in range(10):
            await deployment.step(duty)
        assert len(deployment.cloud.figures) >= before + 2


class TestReturnOfAnOlderStore:
    """Guards against usage that is lost, or reported twice, after a return."""

    @pytest.fixture
    def deployment(self):
        """Deployment of two nodes with a request in each of four windows."""
        deployment = Deployment()
        for _ in range(2):
            deployment.add_node()
        self._pass_windows(deployment, 4)
        return deployment

    def _pass_windows(self, deployment, count):
        for _ in range(count):
            for view in deployment.views:
                view.usage.add("org", deployment.timers.wall())
            deployment.timers.advance(WINDOW_S)

    async def _steps(self, deployment, duty):
        for _ in range(10):
            await deployment.step(duty)

    def _count_reports(self, deployment):
        return {w: len(f) for w, f in deployment.cloud.figures.items()}

    @pytest.mark.parametrize("is_created", [True, False])
    async def test_the_holder_goes_on(self, deployment, is_created):
        duty = deployment.make_duty(0)
        if not is_created:
            await self._steps(deployment, duty)
        earlier = deployment.api.take_copy()
        self._pass_windows(deployment, 2)
        await self._steps(deployment, duty)
        before = set(deployment.cloud.figures)
        deployment.api.restore(earlier)
        self._pass_windows(deployment, 2)
        await self._steps(deployment, duty)
        assert len(set(deployment.cloud.figures) - before) == 2
        assert set(self._count_reports(deployment).values()) == {1}

    @pytest.mark.parametrize("is_created", [True, False])
    async def test_the_next_holder_repeats_no_window_with_other_counts(
        self, deployment, is_created
    ):
        duty = deployment.make_duty(0)
        if not is_created:
            await self._steps(deployment, duty)
        earlier = deployment.api.take_copy()
        self._pass_windows(deployment, 2)
        await self._steps(deployment, duty)
        before = set(deployment.cloud.figures)
        deployment.api.restore(earlier)
        # The next holder counts a late request, and has heard of the return.
        late_s = deployment.timers.wall() - 2 * WINDOW_S
        deployment.views[1].usage.add("org", late_s)
        deployment.views[1].store_era.observe(1)
        self._pass_windows(deployment, 3)
        await self._steps(deployment, deployment.make_duty(1))
        for figures in deployment.cloud.figures.values():
            assert all(other == figures[0] for other in figures)
        assert len(set(deployment.cloud.figures) - before) >= 2

    async def test_a_holder_reports_from_the_start_without_a_return(
        self, deployment
    ):
        await self._steps(deployment, deployment.make_duty(0))
        assert len(deployment.cloud.figures) >= 2


class UsageMachine(RuleBasedStateMachine):
    """Holders that change, overlap and fail; each window has one figure."""

    NODES = 3

    def __init__(self):
        super().__init__()
        self.deployment = Deployment()
        for _ in range(self.NODES):
            self.deployment.add_node()
        self.duties = {0: self.deployment.make_duty(0)}
        self.loop = asyncio.new_event_loop()

    def teardown(self):
        self.loop.close()

    @rule(node=st.integers(0, NODES - 1), count=st.integers(1, 5))
    def serve(self, node, count):
        """Requests start that are not reported to all nodes yet."""
        for _ in range(count):
            usage = self.deployment.views[node].usage
            usage.add("org", self.deployment.timers.wall())

    @rule(seconds=st.sampled_from([0.5, 2.0, WINDOW_S]))
    def wait(self, seconds):
        """Time passes."""
        self.deployment.timers.advance(seconds)

    @rule(node=st.integers(0, NODES - 1))
    def take_over(self, node):
        """A node becomes the holder; the previous one may still act."""
        self.duties[node] = self.deployment.make_duty(node)

    @rule(node=st.integers(0, NODES - 1))
    def resign(self, node):
        """A holder fails or releases the lease."""
        self.duties.pop(node, None)

    @rule(node=st.integers(0, NODES - 1), times=st.integers(1, 3))
    def act(self, node, times):
        """A holder, possibly a paused one, runs its steps."""
        duty = self.duties.get(node)
        for _ in range(times if duty else 0):
            self.loop.run_until_complete(self.deployment.step(duty))

    @rule(down=st.booleans())
    def fail_api(self, down):
        """The object API fails or recovers."""
        self.deployment.api.faults.down = down

    @rule(count=st.integers(0, 3))
    def lose_answers_of_api(self, count):
        """Writes take effect, but their responses are lost."""
        self.deployment.api.faults.lose_answers = count

    @rule(down=st.booleans(), lost=st.integers(0, 2))
    def fail_cloud(self, down, lost):
        """The platform is unavailable, or its responses are lost."""
        self.deployment.cloud.down = down
        self.deployment.cloud.answers_to_lose = lost

    @invariant()
    def one_figure_per_window(self):
        """All reports of a window are equal."""
        for window, figures in self.deployment.cloud.figures.items():
            assert all(f == figures[0] for f in figures), (window, figures)


TestUsageMachine = UsageMachine.TestCase
TestUsageMachine.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
