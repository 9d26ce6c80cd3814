"""Tests of the message codec."""

from __future__ import annotations

import cbor2
import pytest

from guavalane_core import messages
from guavalane_core.exceptions import MessageError, ProtocolVersionError
from guavalane_core.messages import generated

PING = messages.Ping(
    sequence=7,
    generation=3,
    updates=(
        messages.MemberUpdate(
            name="a",
            incarnation=1,
            state="alive",
            address="127.0.0.1:1",
            zone="z",
        ),
    ),
)


class TestCodec:
    """Guards against frames that crash a node or pass unchecked."""

    def test_round_trip(self):
        assert messages.decode(messages.encode(PING)) == PING

    def test_foreign_version(self):
        frame = cbor2.dumps([99, 4, 0, 0, []])
        with pytest.raises(ProtocolVersionError):
            messages.decode(frame)

    @pytest.mark.parametrize(
        "frame",
        [
            b"\xff\xff",
            b"",
            "text",
            cbor2.dumps([1, 999]),
            cbor2.dumps([1, 4, -1, 0, []]),
            cbor2.dumps([1, 4, 0, 0, [["a", "b"]]]),
            cbor2.dumps([1, 4, 0]),
            cbor2.dumps({"a": 1}),
        ],
    )
    def test_broken_frames(self, frame):
        with pytest.raises(MessageError):
            messages.decode(frame)


class TestTypeIds:
    """Guards against two messages that are decoded as each other."""

    def test_each_message_has_its_own(self):
        messages = [
            cls
            for name in generated.__all__
            if hasattr(cls := getattr(generated, name), "TYPE_ID")
        ]
        ids = {cls.TYPE_ID for cls in messages}
        assert len(ids) == len(messages)
