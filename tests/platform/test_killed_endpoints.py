"""Tests of streams that end with the connection to their endpoint."""

from __future__ import annotations

import contextlib
import itertools
import signal

import pytest

from guavalane_platform_standins.closing_endpoint import (
    END_HEADER,
    EVENT_COUNT,
    RESUMED_END_HEADER,
    Ending,
    StreamEnd,
    make_stream,
    run_endpoint,
)
from guavalane_platform_standins.deployment import Deployment, make_config
from guavalane_platform_standins.endpoint import EndpointServer

VERSIONS = ("1.0", "1.1")
TOKEN_COUNT = "1200,48"
LIMIT_MS = 60_000
# Paths of the route with `StreamResume` and of the one without.
RESUMABLE_PATH = "/talk/x"
FINAL_PATH = "/tell/x"
# Event after which a stream breaks off.
LAST_EVENT = 3


def make_configuration():
    """Returns a configuration with a stream that cannot be resumed.

    A pause on a busy machine neither ends a stream nor moves it elsewhere.
    """
    configuration = make_config(1)
    (talk,) = (r for r in configuration["Routes"] if r["Name"] == "talk")
    talk["TimeoutMs"] = talk["GapAimMs"] = LIMIT_MS
    tell = {**talk, "Name": "tell", "PathPrefix": "/tell/"}
    del tell["StreamResume"]
    configuration["Routes"].append(tell)
    return configuration


class ClosingDeployment(Deployment):
    """Deployment whose endpoints are processes of their own."""

    def __init__(self):
        super().__init__(1)
        self.configuration = make_configuration()
        self._numbers = itertools.count(1)

    @contextlib.asynccontextmanager
    async def run_endpoints(self, count, **arguments):
        """Runs endpoints, which the node knows; yields them."""
        names = [f"i-{next(self._numbers)}" for _ in range(count)]
        with contextlib.ExitStack() as stack:
            endpoints = [
                stack.enter_context(run_endpoint(**arguments)) for _ in names
            ]
            for name, endpoint in zip(names, endpoints, strict=True):
                entry = EndpointServer(name).entry("llm", endpoint.address)
                self.store.put("servers", name, entry)
            for name in names:
                await self.wait_listed(name)
            yield endpoints
            for name in names:
                self.store.remove("servers", name)

    async def receive(self, path, version, end=None, resumed_end=None):
        """Returns a stream whose endpoints end it as stated."""
        headers = {"Deadline-Ms": str(LIMIT_MS)}
        if end is not None:
            headers[END_HEADER] = str(end)
        if resumed_end is not None:
            headers[RESUMED_END_HEADER] = str(resumed_end)
        received = await self.call_stream(
            self.nodes[0],
            path,
            tokens=TOKEN_COUNT,
            version=version,
            headers=headers,
        )
        assert received.status == 200
        return received


@pytest.fixture
async def deployment():
    """Yields a deployment of one node without endpoints."""
    async with ClosingDeployment() as running:
        yield running


@pytest.mark.parametrize("version", VERSIONS)
class TestKilledEndpoint:
    """Guards against a stream that ends as complete as its endpoint dies."""

    async def test_a_stream_that_cannot_be_resumed_is_broken(
        self, deployment, version
    ):
        async with deployment.run_endpoints(1) as endpoints:
            received = await deployment.receive(
                FINAL_PATH, version, StreamEnd(Ending.KILLED, LAST_EVENT)
            )
            assert endpoints[0].process.wait() == -signal.SIGKILL
        assert not received.is_complete
        assert make_stream(LAST_EVENT).startswith(received.body)

    async def test_a_stream_that_can_be_resumed_is_whole_or_broken(
        self, deployment, version
    ):
        async with deployment.run_endpoints(2):
            received = await deployment.receive(
                RESUMABLE_PATH, version, StreamEnd(Ending.KILLED, LAST_EVENT)
            )
        assert received.body == make_stream() or not received.is_complete
        assert make_stream().startswith(received.body)


@pytest.mark.parametrize("version", VERSIONS)
class TestBrokenConnection:
    """Guards against a cut that passes for the end of a stream."""

    @pytest.mark.parametrize(
        "end",
        [
            StreamEnd(Ending.RESET, LAST_EVENT),
            StreamEnd(Ending.KILLED, LAST_EVENT, has_part=True),
        ],
        ids=str,
    )
    async def test_a_stream_that_cannot_be_resumed_is_broken(
        self, deployment, version, end
    ):
        async with deployment.run_endpoints(1):
            received = await deployment.receive(FINAL_PATH, version, end)
        assert not received.is_complete
        assert make_stream(LAST_EVENT).startswith(received.body)


class TestResumption:
    """Guards against a resumption that is wrongly taken for complete."""

    @pytest.mark.parametrize("events", [0, 2])
    async def test_a_stream_whose_resumption_is_killed_is_not_complete(
        self, deployment, events
    ):
        last = LAST_EVENT + events
        async with deployment.run_endpoints(2):
            received = await deployment.receive(
                RESUMABLE_PATH,
                "1.1",
                StreamEnd(Ending.RESET, LAST_EVENT),
                StreamEnd(Ending.KILLED, last),
            )
        assert not received.is_complete
        assert make_stream(last).startswith(received.body)

    async def test_a_stream_whose_begun_event_is_not_resumed_is_not_complete(
        self, deployment
    ):
        async with deployment.run_endpoints(2):
            received = await deployment.receive(
                RESUMABLE_PATH,
                "1.1",
                StreamEnd(Ending.RESET, LAST_EVENT, has_part=True),
                StreamEnd(Ending.CLOSED, LAST_EVENT),
            )
        assert not received.is_complete
        assert make_stream(LAST_EVENT).startswith(received.body)

    async def test_a_stream_that_is_reset_after_its_last_event_is_whole(
        self, deployment
    ):
        async with deployment.run_endpoints(2):
            received = await deployment.receive(
                RESUMABLE_PATH, "1.1", StreamEnd(Ending.RESET, EVENT_COUNT)
            )
        assert received.is_complete
        assert received.body == make_stream()


@pytest.mark.parametrize("path", [RESUMABLE_PATH, FINAL_PATH])
class TestLiveEndpoint:
    """Guards against a whole stream that is broken or repeated in part."""

    @pytest.mark.parametrize("splits_events", [False, True])
    async def test_a_whole_stream_is_complete(
        self, deployment, path, splits_events
    ):
        for endpoint_version, version in itertools.product(VERSIONS, VERSIONS):
            async with deployment.run_endpoints(
                2, http_version=endpoint_version, splits_events=splits_events
            ) as endpoints:
                received = await deployment.receive(path, version)
                assert all(e.process.poll() is None for e in endpoints)
            assert received.is_complete
            assert received.body == make_stream()
