"""Compression of frames."""

from __future__ import annotations

import zlib

from guavalane_core.exceptions import MessageError
from guavalane_core.messages.codec import MAX_FRAME_BYTES


def compress_frame(frame: bytes) -> bytes:
    """Returns a compressed frame."""
    return zlib.compress(frame)


def decompress_frame(data: bytes) -> bytes:
    """Returns the frame that was compressed.

    Raises:
      MessageError: The data is invalid or the frame exceeds the maximum size.
    """
    unpacker = zlib.decompressobj()
    try:
        frame = unpacker.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise MessageError(f"compressed frame: {error}") from None
    if not unpacker.eof:
        raise MessageError("compressed frame: truncated or too large")
    return frame
