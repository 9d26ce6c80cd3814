"""CBOR encoding of messages.

A frame is the array `[protocol_version, type_id, field, ...]` with the fields
in the order of the schema. Nested messages are arrays of their fields.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any

import attrs
import cbor2

from guavalane_core.exceptions import (
    ConfigurationError,
    MessageError,
    ProtocolVersionError,
)
from guavalane_core.messages import generated
from guavalane_core.schema import options

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 1 << 20

_TYPES = {
    cls.TYPE_ID: cls
    for name in generated.__all__
    if hasattr(cls := getattr(generated, name), "TYPE_ID")
}


def _to_fields(message: Any) -> list[Any]:
    fields = []
    for key in type(message).OPTIONS:
        value = getattr(message, key)
        if isinstance(value, tuple):
            value = [
                _to_fields(item) if attrs.has(type(item)) else item
                for item in value
            ]
        fields.append(value)
    return fields


@functools.cache
def _reader_of(cls: type) -> Callable[[Any], Any]:
    """Returns a function that builds a message from its fields.

    It raises `MismatchError` for fields that are not those of a message,
    without telling which.
    """
    keys = tuple(cls.OPTIONS)
    readers = tuple(map(_field_reader, cls.OPTIONS.values()))

    def read(fields: Any) -> Any:
        if type(fields) is not list or len(fields) != len(keys):
            raise options.MismatchError
        values = [r(v) for r, v in zip(readers, fields, strict=True)]
        return cls(**dict(zip(keys, values, strict=True)))

    return read


def _field_reader(option: options.Option) -> Callable[[Any], Any]:
    item = getattr(option, "item", None)
    if not isinstance(option, options.ListOf) or not isinstance(
        item, options.Section
    ):
        return option.reader()
    read_item = _reader_of(item.cls)

    def read(value: Any) -> Any:
        if type(value) is not list:
            raise options.MismatchError
        return tuple([read_item(entry) for entry in value])

    return read


def _to_map(cls: type, fields: list[Any]) -> dict[str, Any]:
    if not isinstance(fields, list) or len(fields) != len(cls.OPTIONS):
        raise MessageError(f"{cls.__name__}: wrong number of fields")
    data = {}
    for (key, option), value in zip(cls.OPTIONS.items(), fields, strict=True):
        item = getattr(option, "item", None)
        if isinstance(item, options.Section) and isinstance(value, list):
            value = [_to_map(item.cls, entry) for entry in value]
        data[key] = value
    return data


def encode(message: Any) -> bytes:
    """Returns the frame of a message.

    Raises:
      MessageError: The frame would be larger than `MAX_FRAME_BYTES`.
    """
    frame = cbor2.dumps(
        [PROTOCOL_VERSION, type(message).TYPE_ID, *_to_fields(message)]
    )
    if len(frame) > MAX_FRAME_BYTES:
        raise MessageError(f"{type(message).__name__}: frame too large")
    return frame


def decode(frame: bytes | str) -> Any:
    """Returns the message of a frame.

    Raises:
      MessageError: The frame is not a known message.
      ProtocolVersionError: The frame has a foreign protocol version.
    """
    if not isinstance(frame, bytes) or len(frame) > MAX_FRAME_BYTES:
        raise MessageError("frame is not bytes or is too large")
    try:
        values = cbor2.loads(frame)
    except Exception as error:
        raise MessageError(f"broken CBOR: {error}") from None
    if not isinstance(values, list) or len(values) < 2:
        raise MessageError("frame is not an array of version and type")
    version, type_id, *fields = values
    if version != PROTOCOL_VERSION:
        raise ProtocolVersionError(
            f"protocol version {version!r}, expected {PROTOCOL_VERSION}"
        )
    cls = _TYPES.get(type_id) if isinstance(type_id, int) else None
    if cls is None:
        raise MessageError(f"unknown message type {type_id!r}")
    try:
        return _reader_of(cls)(fields)
    except options.MismatchError:
        # Read once more for a list of all mistakes.
        pass
    try:
        return options.build(cls, _to_map(cls, fields))
    except ConfigurationError as error:
        raise MessageError(f"{cls.__name__}: {error}") from None
