"""Tests of broken statuses and reset responses of the platform."""

from __future__ import annotations

import asyncio

import pytest

from guavalane_core.exceptions import (
    ObjectApiUnavailableError,
    WriteOutcomeUnknownError,
)
from guavalane_entry.gateway.cloud import CloudError
from guavalane_platform import cloud, objects
from guavalane_platform.cloud import PlatformCloud
from guavalane_platform.objects import StoreObjectApi
from guavalane_standins.broken_server import (
    BROKEN_STATUSES,
    LOOP_POLICIES,
    UPLOAD,
    End,
    listen,
    listen_at_once,
    reset_server,
    status_server,
)

# Time that a call may take, in seconds. Its own timeout must not be what ends
# a broken response.
LIMIT_S = 30.0
OBJECT = b'{"Metadata": {"Name": "n", "Revision": 1}, "Spec": {}}'
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
LIST = b'{"Items": [], "CurrentRev": 1}'


# pytest-asyncio has no other way yet to choose the loop of a test.
pytestmark = pytest.mark.filterwarnings(
    "ignore:Overriding the .event_loop_policy. fixture"
)


@pytest.fixture(params=LOOP_POLICIES)
def event_loop_policy(request):
    """Runs each test on the loop of asyncio and on that of the programs."""
    return LOOP_POLICIES[request.param]()


@pytest.fixture(autouse=True)
def long_timeouts(monkeypatch):
    """Keeps the timeouts of calls from ending a broken response."""
    monkeypatch.setattr(objects, "CALL_TIMEOUT_S", LIMIT_S)
    monkeypatch.setattr(cloud, "CALL_TIMEOUT_S", LIMIT_S)


async def create(address, text=""):
    """Creates an object in the store at an address."""
    api = StoreObjectApi(address)
    try:
        async with asyncio.timeout(LIMIT_S):
            return await api.create("nodes", "n", {"text": text})
    finally:
        await api.close()


async def list_objects(address):
    """Lists objects of the store at an address."""
    api = StoreObjectApi(address)
    try:
        async with asyncio.timeout(LIMIT_S):
            return await api.list("nodes")
    finally:
        await api.close()


class TestStore:
    """Guards against broken responses of the store that look like answers."""

    @pytest.mark.parametrize("status", BROKEN_STATUSES)
    async def test_a_status_outside_100_to_599_is_no_answer(self, status):
        async with listen(status_server(status)) as address:
            with pytest.raises(ObjectApiUnavailableError):
                await list_objects(address)
            with pytest.raises(WriteOutcomeUnknownError):
                await create(address)

    async def test_a_reset_list_is_incomplete(self):
        async with listen(reset_server(LIST)) as address:
            with pytest.raises(ObjectApiUnavailableError):
                await list_objects(address)

    async def test_a_list_reset_beside_its_last_bytes_is_incomplete(self):
        async with listen_at_once(lambda _: HEAD + LIST, End.RESET) as address:
            with pytest.raises(ObjectApiUnavailableError):
                await list_objects(address)

    async def test_a_list_without_a_length_is_read(self):
        async with listen_at_once(lambda _: HEAD + LIST, End.CLOSE) as address:
            assert await list_objects(address) == ([], "1")

    async def test_the_outcome_is_unknown_after_a_reset_beside_the_last_bytes(
        self,
    ):
        async with listen_at_once(
            lambda _: HEAD + OBJECT, End.RESET
        ) as address:
            with pytest.raises(WriteOutcomeUnknownError):
                await create(address)

    async def test_the_outcome_is_unknown_after_a_reset_during_the_upload(self):
        async with listen(reset_server(OBJECT)) as address:
            with pytest.raises(WriteOutcomeUnknownError):
                await create(address, UPLOAD.decode())


async def report_usage(address, text="a"):
    """Reports usage to the platform API at an address."""
    platform = PlatformCloud(address, "n")
    try:
        async with asyncio.timeout(LIMIT_S):
            await platform.report_usage(1, 1, {text: 1})
    finally:
        await platform.close()


class TestCloud:
    """Guards against broken responses of the platform API."""

    async def test_a_response_reset_beside_its_head_is_incomplete(self):
        async with listen_at_once(lambda _: HEAD, End.RESET) as address:
            with pytest.raises(CloudError):
                await report_usage(address)

    @pytest.mark.parametrize("status", BROKEN_STATUSES)
    async def test_a_status_outside_100_to_599_is_no_answer(self, status):
        async with listen(status_server(status)) as address:
            with pytest.raises(CloudError):
                await report_usage(address)

    async def test_a_response_reset_during_the_upload_is_incomplete(self):
        async with listen(reset_server(b"")) as address:
            with pytest.raises(CloudError):
                await report_usage(address, UPLOAD.decode())
