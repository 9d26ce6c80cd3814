"""Tests of objects that another program wrote among those of the platform."""

from __future__ import annotations

import json

import pytest
from aiohttp import web

from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectApiUnavailableError,
)
from guavalane_platform.json_values import MAX_DEPTH, decode_json
from guavalane_platform.objects import BASE_PATH, StoreObjectApi
from guavalane_standins.processes import free_port

SOUND = {"Metadata": {"Name": "i-1", "Revision": 3}, "Spec": {"Slots": 4}}
DEEP = b"[" * 100_000 + b"]" * 100_000
DEEP_OBJECT = b'{"a":' * 50_000 + b"1" + b"}" * 50_000
LONG_NUMBER = b"9" * 5_000
# Encoded strings that cannot be read.
UNREADABLE = {
    "no UTF-8": b'"\xff\xfe\x9c\xc3"',
    "UTF-8 cut short": b'"\xe2\x82"',
    "encoded surrogate": b'"\xed\xa0\x80"',
    "escaped surrogate": rb'"\ud800"',
    "NUL": b'"a\x00b"',
    "control character": b'"a\nb"',
    "invalid escape": rb'"\q"',
    "escape cut short": rb'"\u12"',
}
ODD_VALUES = [DEEP, DEEP_OBJECT, LONG_NUMBER, b"1e999", b"-1e999", b"NaN"]


def odd_object(value):
    """Returns the encoding of an object with an odd value in its body."""
    head = b'{"Metadata": {"Name": "odd", "Revision": 2}, "Spec": {"Slots": '
    return head + value + b"}}"


def list_with(odd):
    """Returns the encoding of a list of an odd object and a sound one."""
    items = odd + b", " + json.dumps(SOUND).encode()
    return b'{"Items": [' + items + b'], "CurrentRev": 7}'


def events_with(odd):
    """Returns the encoding of changes to an odd object and a sound one."""
    sound = json.dumps({"Object": SOUND, "Removed": False}).encode()
    odd_event = b'{"Object": ' + odd + b', "Removed": false}'
    events = odd_event + b", " + sound
    return b'{"events": [' + events + b'], "CurrentRev": 7}'


@pytest.fixture
async def serve():
    """Returns a function that serves fixed bytes and returns a client."""
    running = []

    async def start(body):
        async def answer(request):
            return web.Response(body=body, content_type="application/json")

        app = web.Application()
        app.router.add_get(BASE_PATH + "/{path:.*}", answer)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        port = free_port()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        client = StoreObjectApi(f"127.0.0.1:{port}")
        running.append((client, runner))
        return client

    yield start
    for client, runner in running:
        await client.close()
        await runner.cleanup()


class TestOddEntries:
    """Guards against one odd entry that hides all the others of its kind."""

    @pytest.mark.parametrize("value", ODD_VALUES, ids=lambda v: v[:6].decode())
    async def test_a_list_still_has_the_other_objects(self, serve, value):
        client = await serve(list_with(odd_object(value)))
        objects, version = await client.list("servers")
        assert [stored.name for stored in objects] == ["odd", "i-1"]
        assert objects[1].body == {"Slots": 4}
        assert version == "7"

    @pytest.mark.parametrize("value", ODD_VALUES, ids=lambda v: v[:6].decode())
    async def test_a_poll_still_has_the_other_changes(self, serve, value):
        client = await serve(events_with(odd_object(value)))
        batch = await client.poll("servers", "1", 0.1)
        names = [event.object.name for event in batch.events]
        assert names == ["odd", "i-1"]


@pytest.mark.parametrize("text", UNREADABLE.values(), ids=UNREADABLE)
class TestUnreadableEntries:
    """Guards against an entry that cannot be read and stops discovery."""

    async def test_a_list_still_has_the_other_objects(self, serve, text):
        client = await serve(list_with(odd_object(text)))
        seen = []
        client.on_unreadable(lambda *key: seen.append(key))
        objects, version = await client.list("servers")
        assert [stored.name for stored in objects] == ["odd", "i-1"]
        assert [stored.body for stored in objects] == [{}, {"Slots": 4}]
        assert version == "7"
        assert seen == [("servers", "odd")]

    async def test_a_poll_still_has_the_other_changes(self, serve, text):
        client = await serve(events_with(odd_object(text)))
        batch = await client.poll("servers", "1", 0.1)
        bodies = [event.object.body for event in batch.events]
        assert bodies == [{}, {"Slots": 4}]

    async def test_a_single_read_fails_as_if_it_was_not_answered(
        self, serve, text
    ):
        client = await serve(odd_object(text))
        with pytest.raises(ObjectApiUnavailableError):
            await client.get("leases", "odd")

    async def test_an_unreadable_name_has_escapes(self, serve, text):
        odd = (
            b'{"Metadata": {"Name": ' + text + b', "Revision": 2}, "Spec": {}}'
        )
        client = await serve(list_with(odd))
        objects, _ = await client.list("servers")
        assert objects[0].name.isascii()
        assert "\\" in objects[0].name
        assert objects[1].name == "i-1"


class TestReadableText:
    """Guards against sound text that is taken for unreadable."""

    @pytest.mark.parametrize("text", ["Алматы", "\U0001f600", 'a"\\b\n\x7f'])
    @pytest.mark.parametrize("is_escaped", [False, True])
    async def test_a_list_has_the_text(self, serve, text, is_escaped):
        item = {**SOUND, "Spec": {"Zone": text}}
        body = json.dumps(
            {"Items": [item], "CurrentRev": 7}, ensure_ascii=is_escaped
        )
        client = await serve(body.encode())
        objects, _ = await client.list("servers")
        assert objects[0].body == {"Zone": text}


class TestPages:
    """Guards against a list that is read forever."""

    async def test_a_page_without_a_readable_name_ends_the_list(self, serve):
        odd = b'{"Metadata": {"Name": "\xff", "Revision": 2}, "Spec": {}}'
        body = b'{"Items": [' + odd + b'], "CurrentRev": 7, "Truncated": true}'
        client = await serve(body)
        with pytest.raises(ObjectApiError):
            await client.list("servers")


class TestDecodeJson:
    """Guards against values that are changed while odd ones are cut."""

    def nest(self, depth, value):
        """Returns a value within nested lists."""
        for _ in range(depth):
            value = [value]
        return value

    def test_values_up_to_the_depth_are_kept(self):
        kept = {"a": self.nest(MAX_DEPTH - 1, 'x]}"[{\\'), "b": [1.5, None]}
        data = json.dumps(kept).encode()
        odd = data[:-1] + b', "c": ' + DEEP + b"}"
        decoded = decode_json(odd)
        decoded.pop("c")
        assert decoded == kept

    @pytest.mark.parametrize("data", [b"", b"{", b"]", b"[1,", DEEP[:-1]])
    def test_what_is_no_json_is_an_error(self, data):
        with pytest.raises(ValueError):
            decode_json(data)
