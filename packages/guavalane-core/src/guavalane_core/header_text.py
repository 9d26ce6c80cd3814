"""Conversion of header fields between bytes and text without a loss.

HTTP allows any bytes from 0x80 on in a header value. Text of valid UTF-8 can be
compared with names from configurations; each other byte is a lone surrogate.
"""

from __future__ import annotations

_ERRORS = "surrogateescape"


def decode_header(data: bytes) -> str:
    """Returns the text of a received header name or value."""
    return data.decode("utf-8", _ERRORS)


def encode_header(text: str) -> bytes:
    """Returns the bytes that `decode_header` was given.

    Raises:
      UnicodeEncodeError: The text has a surrogate that is not from there.
    """
    return text.encode("utf-8", _ERRORS)


def printable_header(text: str) -> str:
    """Returns the text of a header in which lone surrogates are escaped.

    It can be encoded in any message between nodes.
    """
    if text.isascii():
        return text
    return encode_header(text).decode("utf-8", "backslashreplace")
