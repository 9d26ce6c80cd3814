"""Tests that callers of plays tell complete responses from broken ones."""

from __future__ import annotations

import pytest

from guavalane_entry.http_connection import BoundedConnector
from guavalane_entry.http_session import make_session
from guavalane_standins.broken_server import listen, reset_server
from soak.callers import HTTP10, HTTP11, Call, ReceivedResponse, call_node

VERSIONS = (HTTP10, HTTP11)
WAIT_S = 5.0
SHORT_WAIT_S = 0.2
WHOLE = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    "close": b"HTTP/1.1 200 OK\r\n\r\ndone",
    "close of HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\ndone",
}
BROKEN = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone",
    "head": b"HTTP/1.1 200 OK\r\nContent-",
    "nothing": b"",
}


def respond_with(data, requests=None):
    """Returns a connection handler that sends bytes and closes in order."""

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if requests is not None:
            requests.append(head)
        writer.write(data)
        writer.close()

    return serve


async def call(version, serve):
    """Returns what a caller receives from a server."""
    headers = {"Host": "app.example"}
    async with (
        listen(serve) as address,
        make_session(connector=BoundedConnector()) as session,
    ):
        request = Call(address, "GET", "/x", headers, version=version)
        return await call_node(session, request, WAIT_S)


@pytest.mark.parametrize("version", VERSIONS)
class TestCallers:
    """Guards against callers that take a broken response for a whole one."""

    @pytest.mark.parametrize("data", WHOLE.values(), ids=WHOLE.keys())
    async def test_a_whole_response(self, version, data):
        response = await call(version, respond_with(data))
        assert response == ReceivedResponse(200, bytearray(b"done"), True)

    @pytest.mark.parametrize("data", BROKEN.values(), ids=BROKEN.keys())
    async def test_a_response_that_ends_early(self, version, data):
        response = await call(version, respond_with(data))
        assert not response.is_whole

    async def test_a_reset_response_keeps_what_has_arrived(self, version):
        response = await call(version, reset_server(b"done"))
        assert response == ReceivedResponse(200, bytearray(b"done"), False)

    async def test_the_version_of_the_request(self, version):
        requests = []
        await call(version, respond_with(WHOLE["length"], requests))
        assert requests[0].startswith(f"GET /x HTTP/{version}\r\n".encode())


class TestTimeLimit:
    """Guards against a response that is complete because a caller left."""

    async def test_a_caller_leaves_at_its_limit(self):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(WHOLE["close"])
            await reader.read()
            writer.close()

        async with listen(serve) as address, make_session() as session:
            request = Call(address, "GET", "/x", {}, version=HTTP10)
            response = await call_node(session, request, SHORT_WAIT_S)
        assert response == ReceivedResponse(200, bytearray(b"done"), False)


class TestChunks:
    """Guards against streams that are complete without their last chunk."""

    @pytest.mark.parametrize("is_whole", [True, False])
    async def test_the_last_chunk_completes_a_body(self, is_whole):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        data = head + b"4\r\ndone\r\n" + (b"0\r\n\r\n" if is_whole else b"")
        response = await call(HTTP11, respond_with(data))
        expected = ReceivedResponse(200, bytearray(b"done"), is_whole)
        assert response == expected
