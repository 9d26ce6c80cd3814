"""Process tests of invalid input from callers, operators and nodes."""

from __future__ import annotations

import json
import socket

import pytest
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from guavalane_core import messages
from guavalane_standins.cluster import Cluster, caller_headers
from guavalane_standins.processes import ProcessGroup, fetch

CHAT = {
    "model": "assistant",
    "messages": [{"role": "user", "content": "hello"}],
    "max_tokens": 4,
}


@pytest.fixture(scope="module")
def cluster():
    """Runs one node with an engine and a service."""
    with ProcessGroup() as group:
        cluster = Cluster(group)
        cluster.start_platform()
        cluster.start_engine("engine-a", "zone-a")
        cluster.start_service("service-a", "zone-a")
        cluster.start_node("entry-a", "zone-a")
        yield cluster


def post(cluster, path, body, **headers):
    """Sends a POST request; returns the status and the decoded answer."""
    url = f"{cluster.nodes['entry-a'].callers}{path}"
    status, text = fetch(url, body=body, headers=caller_headers(**headers))
    return status, json.loads(text)


def raw_exchange(cluster, request: bytes) -> bytes:
    """Sends raw bytes to the callers' port and returns the response."""
    address = cluster.nodes["entry-a"].callers.removeprefix("http://")
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(request)
        data = b""
        while b"\r\n\r\n" not in data or not data.rstrip().endswith(b"}"):
            part = sock.recv(65536)
            if not part:
                break
            data += part
        return data


def assert_serves(cluster):
    """Asserts that the node still serves requests."""
    status, answer = post(cluster, "/v1/chat/completions", CHAT)
    assert status == 200, answer


class TestCallers:
    """Guards against invalid requests that crash a node or are dispatched."""

    @pytest.mark.parametrize(
        ("body", "detail"),
        [
            ([], "body must be a JSON object"),
            ({}, "model must be a string"),
            ({"model": "assistant"}, "messages must be a list"),
            ({**CHAT, "messages": [{"role": 1}]}, "messages[0] needs text"),
            ({**CHAT, "max_tokens": 0}, "max_tokens must be from 1"),
            ({**CHAT, "max_tokens": True}, "max_tokens must be from 1"),
            ({**CHAT, "stream": "yes"}, "stream must be true or false"),
        ],
    )
    def test_malformed_chat(self, cluster, body, detail):
        before = len(cluster.endpoint_stats("engine-a")["requests"])
        status, answer = post(cluster, "/v1/chat/completions", body)
        assert status == 400
        assert answer["code"] == "invalid_request"
        assert answer["not_run"] is True
        assert detail in answer["detail"]
        assert len(cluster.endpoint_stats("engine-a")["requests"]) == before

    def test_unknown_model_path_and_key(self, cluster):
        status, answer = post(
            cluster, "/v1/chat/completions", {**CHAT, "model": "x"}
        )
        assert (status, answer["code"]) == (404, "unknown_route")
        status, answer = post(cluster, "/nowhere", {})
        assert (status, answer["code"]) == (404, "unknown_route")
        status, answer = post(
            cluster, "/records", {}, Authorization="Bearer wrong"
        )
        assert (status, answer["code"]) == (401, "unauthorized")

    def test_at_most_once_needs_a_key(self, cluster):
        status, answer = post(cluster, "/certificates", {})
        assert (status, answer["code"]) == (400, "invalid_request")
        assert "Idempotency-Key" in answer["detail"]

    def test_bad_timeout(self, cluster):
        status, answer = post(
            cluster, "/records", {}, **{"X-Request-Timeout-Ms": "-5"}
        )
        assert (status, answer["not_run"]) == (400, True)

    def test_oversized_body(self, cluster):
        status, answer = post(cluster, "/records", {"x": "y" * 1_100_000})
        assert (status, answer["code"]) == (413, "body_too_large")
        assert answer["not_run"] is True
        assert_serves(cluster)

    def test_oversized_header(self, cluster):
        head = b"GET /records HTTP/1.1\r\nHost: x\r\nX-Long: "
        answer = raw_exchange(cluster, head + b"y" * 70_000 + b"\r\n\r\n")
        status = int(answer.split()[1])
        assert status in (413, 431)
        assert b'"not_run":true' in answer
        assert_serves(cluster)

    def test_bytes_that_are_not_http(self, cluster):
        answer = raw_exchange(cluster, b"\x00\x01 nonsense\r\n\r\n")
        assert answer.split()[1] == b"400"
        assert_serves(cluster)

    def test_wrong_content_type(self, cluster):
        status, answer = post(
            cluster,
            "/v1/chat/completions",
            CHAT,
            **{"Content-Type": "text/plain"},
        )
        assert (status, answer["code"]) == (400, "invalid_request")


class TestOperators:
    """Guards against unauthorised or invalid operator calls."""

    def test_wrong_token(self, cluster):
        url = f"{cluster.nodes['entry-a'].operators}/operator/status"
        status, text = fetch(url, headers={"Authorization": "Bearer x"})
        assert (status, json.loads(text)["code"]) == (401, "unauthorized")

    def test_invalid_configuration_is_refused_before_it_is_stored(
        self, cluster
    ):
        generation = cluster.operator_get("entry-a", "status")["generation"]
        url = f"{cluster.nodes['entry-a'].operators}/operator/config"
        status, text = fetch(
            url,
            body={"base": generation, "configuration": {"rouets": {}}},
            headers=cluster.operator_headers,
        )
        assert (status, json.loads(text)["code"]) == (
            422,
            "invalid_configuration",
        )
        after = cluster.operator_get("entry-a", "status")["generation"]
        assert after == generation


class TestNodes:
    """Guards against invalid or unauthenticated frames on the peer port."""

    @pytest.mark.parametrize(
        "frame",
        [
            b"\xff\xff\xff",
            b"\x82\x18\x63\x01",
            "text",
            b"\x82\x01\x04",
        ],
    )
    def test_broken_or_foreign_first_frame(self, cluster, frame):
        uri = f"ws://{cluster.nodes['entry-a'].peers}"
        with (
            connect(uri, proxy=None) as link,
            pytest.raises(ConnectionClosed) as closed,
        ):
            link.send(frame)
            link.recv(timeout=5)
        assert closed.value.rcvd.code == 1007
        assert_serves(cluster)

    def test_node_with_another_secret(self, cluster):
        hello = messages.Hello(
            node="entry-x",
            incarnation=1,
            zone="zone-a",
            address="127.0.0.1:1",
            nonce=b"n" * 16,
            generation=99,
        )
        with (
            connect(
                f"ws://{cluster.nodes['entry-a'].peers}", proxy=None
            ) as link,
            pytest.raises(ConnectionClosed) as closed,
        ):
            link.send(messages.encode(hello))
            assert isinstance(messages.decode(link.recv()), messages.HelloAck)
            proof = messages.HelloProof(proof=b"p" * 32)
            link.send(messages.encode(proof))
            link.recv(timeout=5)
        assert closed.value.rcvd.code == 1008
        nodes = cluster.operator_get("entry-a", "nodes")
        assert [node["node"] for node in nodes] == ["entry-a"]

    def test_node_refuses_a_server_with_another_secret(self, cluster):
        cluster.start_node_with_other_secret("entry-x", "zone-a")
        cluster.wait_for_log("entry-x", "refused a node with another secret")
        nodes = cluster.operator_get("entry-a", "nodes")
        assert [node["node"] for node in nodes] == ["entry-a"]
