"""Tests of the store client against the stand-in store."""

from __future__ import annotations

import asyncio
import json

import pytest

from guavalane_core.exceptions import (
    ObjectApiUnavailableError,
    ObjectConflictError,
    ObjectNotFoundError,
    WatchGapError,
    WriteOutcomeUnknownError,
)
from guavalane_core.objects import ConditionalWriter
from guavalane_platform.objects import MAX_IDLE_S, StoreObjectApi
from guavalane_standins.scripted_endpoint import ScriptedEndpoint


class TestStoreObjectApi:
    """Guards against misjudged write outcomes and missed changes."""

    async def test_create_get_update_delete(self, store):
        _, client = store
        created = await client.create("things", "a", {"n": 1})
        assert (await client.get("things", "a")).body == {"n": 1}
        updated = await client.update("things", "a", {"n": 2}, created.version)
        with pytest.raises(ObjectConflictError):
            await client.update("things", "a", {"n": 3}, created.version)
        with pytest.raises(ObjectConflictError):
            await client.create("things", "a", {})
        await client.delete("things", "a", updated.version)
        with pytest.raises(ObjectNotFoundError):
            await client.get("things", "a")

    async def test_a_status_is_stored_separately_from_the_body(self, store):
        _, client = store
        created = await client.create("things", "a", {"n": 1})
        written = await client.update_status(
            "things", "a", {"State": "running"}, created.version
        )
        found = await client.get("things", "a")
        assert found == written
        assert found.body == {"n": 1}
        assert found.status == {"State": "running"}
        with pytest.raises(ObjectConflictError):
            await client.update_status("things", "a", {}, created.version)

    async def test_a_list_spans_several_pages(self, store):
        server, client = store
        server.faults.page_size = 2
        for name in "abcde":
            server.put("things", name, {})
        objects, version = await client.list("things")
        assert [stored.name for stored in objects] == list("abcde")
        batch = await client.poll("things", version, 0.05)
        assert batch.events == ()

    async def test_a_poll_returns_on_the_first_change(self, store):
        server, client = store
        _, version = await client.list("things")
        waiting = asyncio.create_task(client.poll("things", version, 5.0))
        await asyncio.sleep(0.05)
        server.put("things", "a", {"n": 1})
        server.remove("things", "a")
        batch = await asyncio.wait_for(waiting, 1.0)
        assert batch.events[0].object.body == {"n": 1}
        server.put("other", "b", {})
        batch = await client.poll("things", batch.version, 0.05)
        assert all(event.deleted for event in batch.events)

    async def test_a_compacted_history_raises_a_gap_error(self, store):
        server, client = store
        _, version = await client.list("things")
        server.put("things", "a", {})
        server.compact_history()
        with pytest.raises(WatchGapError):
            await client.poll("things", version, 1.0)

    @pytest.mark.parametrize("status", [429, 503])
    async def test_a_refused_call_has_no_effect(self, store, status):
        server, client = store
        server.faults.status = status
        with pytest.raises(ObjectApiUnavailableError):
            await client.create("things", "a", {})
        assert server.spec("things", "a") is None

    async def test_a_lost_response_is_resolved_by_reading_back(self, store):
        server, client = store
        server.faults.lose_answers = 1
        with pytest.raises(WriteOutcomeUnknownError):
            await client.create("things", "a", {})
        server.faults.lose_answers = 1
        written = await ConditionalWriter(client).create("things", "b", {})
        assert server.spec("things", "b") == written.body

    async def test_a_call_to_an_unresponsive_store_times_out(self, store):
        server, client = store
        server.faults.silent = True
        with pytest.raises(ObjectApiUnavailableError):
            await client.get("things", "a")

    async def test_a_connection_that_went_silent_while_idle_is_not_reused(
        self, store
    ):
        server, client = store
        server.put("things", "a", {"n": 1})
        await client.get("things", "a")
        server.silence_connections()
        await asyncio.sleep(MAX_IDLE_S + 0.1)
        assert (await client.get("things", "a")).body == {"n": 1}

    async def test_an_invalid_body_does_not_hide_other_objects(self, store):
        server, client = store
        server.put("things", "a", "text")
        server.put("things", "b", {"n": 1})
        objects, _ = await client.list("things")
        assert [stored.body for stored in objects] == [{}, {"n": 1}]


class TestLateCopies:
    """Guards against a late copy of a response taken for another one."""

    @pytest.fixture
    async def calls(self):
        """Yields a client of a store that repeats its responses, and calls.

        The response to a call is sent again, before that to the next call on
        its connection.
        """
        before = {}

        async def repeat(exchange):
            connection = exchange.request.connection
            if connection in before:
                await exchange.answer(200, {}, before[connection])
            method, target, _ = exchange.request.line.split()
            name = target.partition("?")[0].rpartition("/")[2]
            if method == "POST":
                name = json.loads(exchange.request.body)["Metadata"]["Name"]
            stored = {"Metadata": {"Name": name, "Revision": 5}, "Spec": {}}
            body = stored
            if name == "things":
                body = {"Items": [stored], "CurrentRev": 5}
            if "Watch" in target:
                body = {"events": [], "CurrentRev": 6}
            before[connection] = json.dumps(body).encode()
            # The copy has been read by then, and nothing else has arrived.
            await asyncio.sleep(0.05)
            await exchange.answer(200, {}, before[connection])

        endpoint = ScriptedEndpoint(repeat)
        await endpoint.start()
        client = StoreObjectApi(endpoint.address)
        yield client
        await client.close()
        await endpoint.stop()

    async def test_another_object_is_not_returned(self, calls):
        assert (await calls.get("things", "a")).name == "a"
        with pytest.raises(ObjectApiUnavailableError):
            await calls.get("things", "b")

    async def test_a_write_is_not_taken_for_done(self, calls):
        await calls.get("things", "a")
        with pytest.raises(WriteOutcomeUnknownError):
            await calls.create("things", "b", {})

    async def test_a_list_is_not_taken_for_changes(self, calls):
        _, version = await calls.list("things")
        with pytest.raises(ObjectApiUnavailableError):
            await calls.poll("things", version, 0.1)

    async def test_a_kind_is_not_taken_for_another_one(self, calls):
        await calls.list("things")
        assert (await calls.get("others", "a")).name == "a"
