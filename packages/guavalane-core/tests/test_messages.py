"""Tests of the message codec."""

from __future__ import annotations

import cbor2
import pytest

from guavalane_core import messages
from guavalane_core.exceptions import MessageError, ProtocolVersionError
from guavalane_core.messages import generated, generated_gateway

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
    """Guards against invalid frames that crash a node or are accepted."""

    def test_round_trip(self):
        assert messages.decode(messages.encode(PING)) == PING

    def test_unsupported_version(self):
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
    def test_invalid_frames(self, frame):
        with pytest.raises(MessageError):
            messages.decode(frame)


class TestTypeIds:
    """Guards against two message classes with the same type ID."""

    def test_type_ids_are_unique(self):
        messages = [
            cls
            for module in (generated, generated_gateway)
            for name in module.__all__
            if hasattr(cls := getattr(module, name), "TYPE_ID")
        ]
        ids = {cls.TYPE_ID for cls in messages}
        assert len(ids) == len(messages)


class TestMessageDecoder:
    """Guards against invalid values that the fast decoder accepts.

    Messages are first decoded without collecting error details, in a separate
    code path from `Option.validate`.
    """

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
        ("index", "value"),
        [
            (2, 7),
            (3, -1),
            (3, True),
            (3, 1.0),
            (3, None),
            (8, "e"),
            (8, [["e", 1]]),
            (8, [["e", -1, 2]]),
            (8, [["e", 1, 2], ["e", True, 2]]),
            (8, [["e", 1, 2], ["e", 1]]),
            (8, [["e", 1, 2, 3]]),
            (8, [["e", 1, 2], "e12"]),
            (8, [[]]),
            (8, [[None, 1, 2]]),
            (8, [{"endpoint": "e"}]),
        ],
    )
    def test_invalid_value_is_rejected(self, index, value):
        fields = cbor2.loads(messages.encode(self.REPORT))
        fields[index] = value
        with pytest.raises(MessageError):
            messages.decode(cbor2.dumps(fields))
