"""Tests of the client of the operator API."""

from __future__ import annotations

import socket

import pytest

from guavalane_cli import client


class TestOperatorClient:
    """Guards against an error without a reason."""

    def test_a_node_that_accepts_and_does_not_respond(self, monkeypatch):
        monkeypatch.setattr(client, "REQUEST_TIMEOUT_S", 0.2)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            url = f"http://127.0.0.1:{listener.getsockname()[1]}"
            with pytest.raises(client.OperatorApiError) as raised:
                client.OperatorClient(url, "").get("/where")
        assert raised.value.code == "unreachable"
        assert str(raised.value) == f"{url}: no response in 0.2 s"
