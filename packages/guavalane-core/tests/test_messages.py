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


class TestReaders:
    """Guards against values that the fast way to read a message lets pass."""

    REPORT = messages.NodeReport(
        node="n1",
        incarnation=1,
        sequence=2,
        wall_ms=3,
        configuration=4,
        duties=0,
        work=(
            messages.EndpointWork(endpoint="e", requests=1, prefill_tokens=2),
        ),
        allotments=(),
        usage=(),
        demand=(),
        prefixes=(),
        moves=(),
    )

    def test_nested_messages_round_trip(self):
        assert messages.decode(messages.encode(self.REPORT)) == self.REPORT

    @pytest.mark.parametrize(
        ("place", "value"),
        [
            (2, 7),
            (3, -1),
            (3, True),
            (3, 1.0),
            (3, None),
            (8, "e"),
            (8, [["e", 1]]),
            (8, [["e", -1, 2]]),
            (8, [[None, 1, 2]]),
            (8, [{"endpoint": "e"}]),
        ],
    )
    def test_a_wrong_value_is_refused(self, place, value):
        fields = cbor2.loads(messages.encode(self.REPORT))
        fields[place] = value
        with pytest.raises(MessageError):
            messages.decode(cbor2.dumps(fields))
