"""CBOR encoding of messages.

A frame is the array `[protocol_version, type_id, field, ...]` with the fields
in the order of the schema. Nested messages are arrays of their fields.
"""

from __future__ import annotations

import functools
import importlib
from collections.abc import Callable
from types import ModuleType
from typing import Any

import attrs
import cbor2

from guavalane_core.exceptions import (
    ConfigurationError,
    MessageError,
    ProtocolVersionError,
)
from guavalane_core.messages import generated_gateway
from guavalane_core.schema import options

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 1 << 20


def _classes_by_type_id(module: ModuleType) -> dict[int, type]:
    return {
        cls.TYPE_ID: cls
        for name in module.__all__
        if hasattr(cls := getattr(module, name), "TYPE_ID")
    }


_GATEWAY_CLASSES = _classes_by_type_id(generated_gateway)


@functools.cache
def _other_classes() -> dict[int, type]:
    """Returns the classes that gateway nodes do not use, by type ID."""
    return _classes_by_type_id(
        importlib.import_module("guavalane_core.messages.generated")
    )


def _class_of(type_id: Any) -> type | None:
    """Returns the class of a type ID, or None if it is unknown."""
    if not isinstance(type_id, int):
        return None
    return _GATEWAY_CLASSES.get(type_id) or _other_classes().get(type_id)


def _encode_fields(message: Any) -> list[Any]:
    fields = []
    for key in type(message).OPTIONS:
        value = getattr(message, key)
        if isinstance(value, tuple):
            value = [
                _encode_fields(item) if attrs.has(type(item)) else item
                for item in value
            ]
        fields.append(value)
    return fields


@functools.cache
def _message_decoder(cls: type) -> Callable[[Any], Any]:
    """Returns a function that decodes a message from its list of fields.

    The function raises `MismatchError` for invalid fields, without reporting
    which of them are invalid.
    """
    keys = tuple(cls.OPTIONS)
    decoders = tuple(map(_field_decoder, cls.OPTIONS.values()))

    def decode_fields(fields: Any) -> Any:
        if type(fields) is not list or len(fields) != len(keys):
            raise options.MismatchError
        values = [
            decoder(v) for decoder, v in zip(decoders, fields, strict=True)
        ]
        return cls(**dict(zip(keys, values, strict=True)))

    return decode_fields


def _field_decoder(option: options.Option) -> Callable[[Any], Any]:
    item = getattr(option, "item", None)
    if not isinstance(option, options.ListOf) or not isinstance(
        item, options.Section
    ):
        return option.converter()
    if all(field.plain_type for field in item.cls.OPTIONS.values()):
        return _plain_items_decoder(item.cls)
    decode_item = _message_decoder(item.cls)

    def decode_items(value: Any) -> Any:
        if type(value) is not list:
            raise options.MismatchError
        return tuple([decode_item(entry) for entry in value])

    return decode_items


def _plain_items_decoder(cls: type) -> Callable[[Any], Any]:
    """Returns the decoder of a list of messages whose fields are all plain.

    Reports consist mostly of such lists. Checking them by column takes a third
    of the time of a call per field.
    """
    checks = [
        ({option.plain_type}, option.accepts_negative)
        for option in cls.OPTIONS.values()
    ]
    build = _positional(cls)

    def decode_items(value: Any) -> Any:
        if type(value) is not list:
            raise options.MismatchError
        if not value:
            return ()
        if {*map(type, value)} != {list}:
            raise options.MismatchError
        try:
            columns = list(zip(*value, strict=True))
        except ValueError:
            raise options.MismatchError from None
        if len(columns) != len(checks):
            raise options.MismatchError
        for (types, accepts_negative), column in zip(
            checks, columns, strict=True
        ):
            if {*map(type, column)} != types:
                raise options.MismatchError
            if not accepts_negative and min(column) < 0:
                raise options.MismatchError
        return tuple(map(build, *columns))

    return decode_items


def _positional(cls: type) -> Callable[..., Any]:
    """Returns a function that makes a message from its fields in order."""
    names = ", ".join(cls.OPTIONS)
    arguments = ", ".join(f"{name}={name}" for name in cls.OPTIONS)
    # The names are those of the schema. A map of them for each message would
    # take as long as the rest of the decoding.
    return eval(f"lambda {names}: cls({arguments})", {"cls": cls})


def _fields_to_map(cls: type, fields: list[Any]) -> dict[str, Any]:
    if not isinstance(fields, list) or len(fields) != len(cls.OPTIONS):
        raise MessageError(
            f"{cls.__name__}: expected a list of {len(cls.OPTIONS)} fields"
        )
    data = {}
    for (key, option), value in zip(cls.OPTIONS.items(), fields, strict=True):
        item = getattr(option, "item", None)
        if isinstance(item, options.Section) and isinstance(value, list):
            value = [_fields_to_map(item.cls, entry) for entry in value]
        data[key] = value
    return data


def encode(message: Any) -> bytes:
    """Encodes a message as a frame.

    Raises:
      MessageError: The frame exceeds `MAX_FRAME_BYTES`.
    """
    frame = cbor2.dumps(
        [PROTOCOL_VERSION, type(message).TYPE_ID, *_encode_fields(message)]
    )
    if len(frame) > MAX_FRAME_BYTES:
        raise MessageError(
            f"{type(message).__name__}: frame of {len(frame)} bytes exceeds the"
            f" limit of {MAX_FRAME_BYTES} bytes"
        )
    return frame


def decode(frame: bytes | str) -> Any:
    """Decodes a frame into a message.

    Raises:
      MessageError: The frame is not a valid message.
      ProtocolVersionError: The frame has an unsupported protocol version.
    """
    if not isinstance(frame, bytes) or len(frame) > MAX_FRAME_BYTES:
        raise MessageError(
            f"frame is not bytes or exceeds {MAX_FRAME_BYTES} bytes"
        )
    try:
        values = cbor2.loads(frame)
    except Exception as error:
        raise MessageError(f"invalid CBOR: {error}") from None
    if not isinstance(values, list) or len(values) < 2:
        raise MessageError(
            "frame is not an array that starts with version and type"
        )
    version, type_id, *fields = values
    if version != PROTOCOL_VERSION:
        raise ProtocolVersionError(
            f"protocol version {version!r}, expected {PROTOCOL_VERSION}"
        )
    cls = _class_of(type_id)
    if cls is None:
        raise MessageError(f"unknown message type {type_id!r}")
    try:
        return _message_decoder(cls)(fields)
    except options.MismatchError:
        # Validated again below to report every error with its path.
        pass
    try:
        return options.build(cls, _fields_to_map(cls, fields))
    except ConfigurationError as error:
        raise MessageError(f"{cls.__name__}: {error}") from None
