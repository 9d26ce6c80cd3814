"""Tests of the store client while the store comes back from a copy."""

from __future__ import annotations

import asyncio

import pytest

from guavalane_core.exceptions import (
    ObjectApiUnavailableError,
    ObjectConflictError,
    ObjectNotFoundError,
    WatchGapError,
    WriteOutcomeUnknownError,
)
from guavalane_core.objects import era_of


class TestWatch:
    """Guards against a watch that goes on in another history."""

    async def test_a_revision_that_was_given_out_again_is_a_gap(self, store):
        server, client = store
        earlier = server.take_copy()
        server.put("things", "lost", {})
        _, version = await client.list("things")
        server.restore(earlier)
        server.put("things", "unseen", {})
        with pytest.raises(WatchGapError):
            await client.poll("things", version, 0.05)
        objects, version = await client.list("things")
        assert [stored.name for stored in objects] == ["unseen"]
        assert (await client.poll("things", version, 0.05)).events == ()

    async def test_a_poll_that_waits_during_the_return_is_a_gap(self, store):
        server, client = store
        earlier = server.take_copy()
        server.put("things", "lost", {})
        _, version = await client.list("things")
        waiting = asyncio.create_task(client.poll("things", version, 5.0))
        await asyncio.sleep(0.05)
        server.restore(earlier)
        server.put("things", "unseen", {})
        server.put("things", "seen", {})
        with pytest.raises(WatchGapError):
            await waiting

    async def test_pages_of_two_eras_do_not_form_one_list(self, store):
        server, client = store
        server.faults.page_size = 1
        earlier = server.take_copy()
        for name in "abc":
            server.put("things", name, {"era": 1})
        read, pages = client._read, []

        async def read_and_restore(path, query, *timeout):
            pages.append(query)
            if len(pages) == 2:
                server.restore(earlier)
                for name in "bcd":
                    server.put("things", name, {"era": 2})
            return await read(path, query, *timeout)

        client._read = read_and_restore
        objects, version = await client.list("things")
        assert [stored.name for stored in objects] == ["b", "c", "d"]
        assert {era_of(stored.version) for stored in objects} == {2}
        assert era_of(version) == 2


class TestWrites:
    """Guards against writes that are based on another history."""

    async def test_a_revision_of_an_earlier_era_is_no_condition(self, store):
        server, client = store
        earlier = server.take_copy()
        created = await client.create("things", "a", {"n": 1})
        server.restore(earlier)
        other = server.put("things", "a", {"n": 2})
        assert created.version.endswith(f".{other['Metadata']['Revision']}")
        with pytest.raises(ObjectNotFoundError):
            await client.get("things", "none")
        with pytest.raises(ObjectConflictError):
            await client.update("things", "a", {"n": 3}, created.version)
        with pytest.raises(ObjectConflictError):
            await client.update_status("things", "a", {}, created.version)
        with pytest.raises(ObjectConflictError):
            await client.delete("things", "a", created.version)
        assert server.spec("things", "a") == {"n": 2}

    async def test_a_write_that_meets_the_return_has_no_known_outcome(
        self, store
    ):
        server, client = store
        earlier = server.take_copy()
        created = await client.create("things", "a", {"n": 1})
        server.restore(earlier)
        server.put("things", "a", {"n": 2})
        with pytest.raises(WriteOutcomeUnknownError):
            await client.update("things", "a", {"n": 3}, created.version)


class TestResponses:
    """Guards against responses of an era that has passed."""

    async def test_a_late_response_is_not_used(self, store):
        server, client = store
        server.era = 3
        created = await client.create("things", "a", {"n": 1})
        server.era = 2
        with pytest.raises(ObjectApiUnavailableError):
            await client.get("things", "a")
        with pytest.raises(ObjectApiUnavailableError):
            await client.list("things")
        with pytest.raises(WriteOutcomeUnknownError):
            await client.update("things", "a", {"n": 2}, created.version)

    async def test_an_absent_object_tells_the_era(self, store):
        server, client = store
        server.era = 4
        with pytest.raises(ObjectNotFoundError) as raised:
            await client.get("things", "a")
        assert raised.value.era == 4

    async def test_a_store_without_eras_is_served_as_before(self, store):
        server, client = store
        server.era = None
        created = await client.create("things", "a", {"n": 1})
        assert created.version.isdecimal()
        updated = await client.update("things", "a", {"n": 2}, created.version)
        batch = await client.poll("things", created.version, 1.0)
        assert [event.object for event in batch.events] == [updated]

    @pytest.mark.parametrize("text", ["", "x", "1.5"])
    async def test_an_era_that_cannot_be_read_is_ignored(self, store, text):
        server, client = store
        created = await client.create("things", "a", {"n": 1})
        server.era = text
        await client.update("things", "a", {"n": 2}, created.version)
