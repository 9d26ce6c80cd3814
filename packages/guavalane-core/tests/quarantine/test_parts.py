"""Tests of the parts of requests and of their digests."""

from __future__ import annotations

import pytest

from guavalane_core.quarantine import RequestParts
from guavalane_core.quarantine.parts import (
    DIGEST_LENGTH,
    RequestHeads,
    is_request,
)
from guavalane_standins.forwarding_samples import (
    make_caller_request,
    make_prompt,
)

KEY = b"k" * 16


def digest(caller="org", key=KEY, **changes):
    """Returns the digest of a request."""
    return RequestParts(key, make_caller_request(**changes), caller).digest


class TestRequestParts:
    """Guards against a request that is not recognised or mistaken."""

    def test_a_request_that_comes_again_has_the_same_digest(self):
        again = digest(request_id="q-2", headers=(("X-Extra", "1"),))
        assert digest(request_id="q-1") == again

    @pytest.mark.parametrize(
        "changes",
        [
            {"method": "PUT"},
            {"host": "other.example"},
            {"target": "/a/y"},
            {"target": "/a/x?page=2"},
            {"body": b"other"},
            {"caller": "other"},
            {"key": b"o" * 16},
        ],
    )
    def test_another_request_has_another_digest(self, changes):
        assert digest() != digest(**changes)

    def test_the_limits_of_fields_count(self):
        """Guards against two requests with the same fields run together."""
        assert digest(target="/a/xb", caller="c") != digest(
            target="/a/x", caller="bc"
        )

    def test_the_request_is_the_last_part(self):
        prompt = make_prompt(context="context")
        request = make_caller_request(prompt=prompt)
        parts = RequestParts(KEY, request)
        assert parts.all == (*prompt.shared_parts, parts.digest)
        assert is_request(parts.digest)
        assert parts.head in parts.digest
        assert len(parts.digest) == DIGEST_LENGTH

    def test_neither_body_nor_caller_is_readable(self):
        text = digest(caller="secret-org", body=b"secret-body")
        assert "secret" not in text


class TestRequestHeads:
    """Guards against digests that are computed for every body, or for none."""

    def test_requests_with_the_same_head_are_counted(self):
        heads = RequestHeads()
        requests = [
            RequestParts(KEY, make_caller_request(body=body))
            for body in (b"1", b"2")
        ]
        assert not heads
        for request in requests:
            heads.add(request.digest)
        heads.remove(requests[0].digest)
        assert requests[0].head in heads
        heads.remove(requests[1].digest)
        assert not heads

    def test_prompt_parts_are_ignored(self):
        heads = RequestHeads()
        heads.add("common")
        heads.remove("common")
        assert not heads
