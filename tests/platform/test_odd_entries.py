"""Tests of objects that another program wrote among those of the platform."""

from __future__ import annotations

import json

import pytest
from aiohttp import web

from guavalane_platform.json_values import MAX_DEPTH, decode_json
from guavalane_platform.objects import BASE_PATH, StoreObjectApi
from guavalane_standins.processes import free_port

SOUND = {"Metadata": {"Name": "i-1", "Revision": 3}, "Spec": {"Slots": 4}}
DEEP = b"[" * 100_000 + b"]" * 100_000
DEEP_OBJECT = b'{"a":' * 50_000 + b"1" + b"}" * 50_000
LONG_NUMBER = b"9" * 5_000
ODD_VALUES = [DEEP, DEEP_OBJECT, LONG_NUMBER, b"1e999", b"-1e999", b"NaN"]


def odd_object(value):
    """Returns the encoding of an object with an odd value in its body."""
    head = b'{"Metadata": {"Name": "odd", "Revision": 2}, "Spec": {"Slots": '
    return head + value + b"}}"


@pytest.fixture
async def serve():
    """Returns a function that serves fixed bytes and returns a client."""
    running = []

    async def start(body):
        async def answer(request):
            return web.Response(body=body, content_type="application/json")

        app = web.Application()
        app.router.add_get(BASE_PATH + "/{kind}", answer)
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
        sound = json.dumps(SOUND).encode()
        items = odd_object(value) + b", " + sound
        body = b'{"Items": [' + items + b'], "CurrentRev": 7}'
        client = await serve(body)
        objects, version = await client.list("servers")
        assert [stored.name for stored in objects] == ["odd", "i-1"]
        assert objects[1].body == {"Slots": 4}
        assert version == "7"

    @pytest.mark.parametrize("value", ODD_VALUES, ids=lambda v: v[:6].decode())
    async def test_a_poll_still_has_the_other_changes(self, serve, value):
        sound = json.dumps({"Object": SOUND, "Removed": False}).encode()
        odd = b'{"Object": ' + odd_object(value) + b', "Removed": false}'
        body = b'{"events": [' + odd + b", " + sound + b'], "CurrentRev": 7}'
        client = await serve(body)
        batch = await client.poll("servers", "1", 0.1)
        names = [event.object.name for event in batch.events]
        assert names == ["odd", "i-1"]


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
