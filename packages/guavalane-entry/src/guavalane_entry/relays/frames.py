"""Frames of changes between a relay and its followers."""

from __future__ import annotations

import cbor2

from guavalane_core.exceptions import MessageError
from guavalane_core.messages import RelayedBatch, RelayedObject, encode
from guavalane_core.objects import ObjectBatch, ObjectEvent, StoredObject


def encode_batch(kind: str, since: str, batch: ObjectBatch) -> bytes:
    """Returns the frame of changes."""
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
    """Returns the changes of a message.

    Raises:
      MessageError: An object's content is no CBOR map.
    """
    try:
        events = tuple(
            ObjectEvent(
                StoredObject(
                    message.kind,
                    told.name,
                    told.version,
                    dict(cbor2.loads(told.body)),
                    status=dict(cbor2.loads(told.status)),
                ),
                told.deleted,
            )
            for told in message.objects
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MessageError(f"broken object: {error}") from None
    return ObjectBatch(events, message.version)
