"""Encoding of changes that a relay sends to its followers."""

from __future__ import annotations

from typing import Any

import cbor2

from guavalane_core.exceptions import MessageError
from guavalane_core.messages import (
    CompressedFrame,
    RelayedBatch,
    RelayedObject,
    decode,
    encode,
)
from guavalane_core.messages.compression import (
    compress_frame,
    decompress_frame,
)
from guavalane_core.objects import ObjectBatch, ObjectEvent, StoredObject

# Frames of this size or more are compressed, in bytes. A configuration of some
# ten KB to each follower would take the link of a small VM for seconds.
MIN_COMPRESSED_BYTES = 2048


def pack(frame: bytes) -> bytes:
    """Returns a frame in the form in which a relay sends it."""
    if len(frame) < MIN_COMPRESSED_BYTES:
        return frame
    return encode(CompressedFrame(data=compress_frame(frame)))


def unpack(frame: bytes) -> Any:
    """Decodes what a relay has sent.

    Raises:
      MessageError: The frame is invalid.
    """
    message = decode(frame)
    if isinstance(message, CompressedFrame):
        return decode(decompress_frame(message.data))
    return message


def encode_batch(kind: str, since: str, batch: ObjectBatch) -> bytes:
    """Encodes changes as a frame."""
    return encode(
        RelayedBatch(
            kind=kind,
            since=since,
            version=batch.version,
            objects=tuple(
                RelayedObject(
                    name=event.object.name,
                    version=event.object.version,
                    body=cbor2.dumps(event.object.body),
                    status=cbor2.dumps(dict(event.object.status)),
                    deleted=event.deleted,
                )
                for event in batch.events
            ),
        )
    )


def decode_batch(message: RelayedBatch) -> ObjectBatch:
    """Decodes the changes of a message.

    Raises:
      MessageError: The content of an object is not a CBOR map.
    """
    try:
        events = tuple(
            ObjectEvent(
                StoredObject(
                    message.kind,
                    item.name,
                    item.version,
                    dict(cbor2.loads(item.body)),
                    status=dict(cbor2.loads(item.status)),
                ),
                item.deleted,
            )
            for item in message.objects
        )
    except (
        cbor2.CBORDecodeError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise MessageError(f"invalid object: {error}") from None
    return ObjectBatch(events, message.version)
