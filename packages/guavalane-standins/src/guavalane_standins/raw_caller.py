"""Caller that sends and receives raw bytes, with random legal messages."""

from __future__ import annotations

import asyncio
import contextlib
import random
import string
from collections.abc import AsyncIterator, Iterator, Sequence

from guavalane_standins.scripted_endpoint import split_fields

# Name and value of a header field.
Field = tuple[bytes, bytes]

MAX_VALUE_BYTES = 24
MAX_NAME_CHARACTERS = 12
# Random fields of a message with names that no program knows, repetitions of
# these names, and fields with known names.
RANDOM_FIELDS = 4
REPEATED_FIELDS = 2
KNOWN_FIELDS = 2

# Field content of RFC 9110, section 5.5.
VISIBLE = bytes([*range(0x21, 0x7F), *range(0x80, 0x100)])
SPACES = b" \t"
CONTROLS = bytes([*range(0x09), *range(0x0A, 0x20), 0x7F])
# Characters of a path and of a query by RFC 9112, section 3.2, without the
# percent sign.
PATH_CHARACTERS = (
    string.ascii_letters + string.digits + "-._~" + "!$&'()*+,;=" + ":@" + "/"
)
QUERY_CHARACTERS = PATH_CHARACTERS + "?"
# Further characters that the HTTP libraries accept.
LENIENT_CHARACTERS = '"<>[]\\^`{|}%#'
MAX_TARGET_PIECES = 12
# Targets that URL libraries are known to change.
KNOWN_TARGETS = (
    b"",
    b"?",
    b"??",
    b"?a=1&",
    b"?#",
    b"#",
    b"?a#b",
    b"/",
    b"//",
    b"//b//c?/",
    b"b/../c/./d/..",
    b"%2f%2F%c3%A8%C3%a8%41%7e",
    b"b;c=1;d?e;f=%3b",
    b"b%20c?d+e=%20",
    b":80@b",
    b"%?%zz",
    b"http://b/c",
)
TOKEN_CHARACTERS = string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~"


def make_value(rng: random.Random) -> bytes:
    """Returns a random field value, which may be empty."""
    size = rng.randrange(MAX_VALUE_BYTES)
    return bytes(rng.choices(VISIBLE + SPACES * 8, k=size)).strip(SPACES)


def make_word(rng: random.Random) -> bytes:
    """Returns a random field value of at least one byte and no spaces."""
    size = rng.randrange(1, MAX_VALUE_BYTES)
    return bytes(rng.choices(VISIBLE, k=size))


def make_name(rng: random.Random) -> str:
    """Returns a random field name."""
    size = rng.randrange(1, MAX_NAME_CHARACTERS)
    return "X-" + "".join(rng.choices(TOKEN_CHARACTERS, k=size))


def make_fields(
    rng: random.Random, known_names: Sequence[str] = ()
) -> list[Field]:
    """Returns random fields in random order.

    Names that occur repeatedly differ in the case of their letters.

    Args:
      rng: Source of randomness.
      known_names: Names of which some fields have one.
    """
    names = [make_name(rng) for _ in range(RANDOM_FIELDS)]
    names += [
        rng.choice([name.upper(), name.lower(), name])
        for name in rng.choices(names, k=REPEATED_FIELDS)
    ]
    names += rng.sample(known_names, k=min(KNOWN_FIELDS, len(known_names)))
    rng.shuffle(names)
    return [(name.encode(), make_value(rng)) for name in names]


def make_target(rng: random.Random, prefix: bytes) -> bytes:
    """Returns a random target that begins with a prefix."""
    path = _join_pieces(rng, PATH_CHARACTERS)
    query = rng.choice(["", "?", "?" + _join_pieces(rng, QUERY_CHARACTERS)])
    return prefix + (path + query).encode()


def make_targets(
    rng: random.Random, prefix: bytes, count: int
) -> Iterator[bytes]:
    """Yields the known targets and random ones, which begin with a prefix."""
    for target in KNOWN_TARGETS:
        yield prefix + target
    for _ in range(count):
        yield make_target(rng, prefix)
        yield make_target(rng, prefix) + rng.choice(LENIENT_CHARACTERS).encode()


def _join_pieces(rng: random.Random, characters: str) -> str:
    pieces = [*characters]
    for digits in ("%02x", "%02X"):
        pieces += ["%" + digits % rng.randrange(256) for _ in range(10)]
    return "".join(rng.choices(pieces, k=rng.randrange(MAX_TARGET_PIECES)))


def lower_names(fields: Sequence[Field]) -> list[Field]:
    """Returns fields with their names in lower case."""
    return [(name.lower(), value) for name, value in fields]


def encode_fields(fields: Sequence[Field], rng: random.Random) -> bytes:
    """Returns the lines of fields, with random spaces around the values."""
    lines = []
    for name, value in fields:
        before, after = (rng.choice([b"", b" ", b" \t"]) for _ in range(2))
        lines.append(name + b":" + before + value + after + b"\r\n")
    return b"".join(lines)


def make_request(
    host: str, target: bytes, fields: Sequence[Field], rng: random.Random
) -> bytes:
    """Returns the bytes of a request without a body."""
    head = b"POST %b HTTP/1.1\r\nHost: %b\r\n" % (target, host.encode())
    return head + encode_fields(fields, rng) + b"Content-Length: 0\r\n\r\n"


class RawCaller:
    """Sends the bytes of requests on one connection.

    Args:
      reader: Reader of the connection.
      writer: Writer of the connection.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def call(self, request: bytes) -> bytes:
        """Sends a request and returns the head of its response."""
        self._writer.write(request)
        head = await self._reader.readuntil(b"\r\n\r\n")
        length = int(dict(split_fields(head))[b"content-length"])
        await self._reader.readexactly(length)
        return head


@contextlib.asynccontextmanager
async def connect(address: str) -> AsyncIterator[RawCaller]:
    """Opens a connection.

    Args:
      address: Address to connect to, `IP:PORT`.
    """
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield RawCaller(reader, writer)
    finally:
        writer.close()


def status_of(head: bytes) -> int:
    """Returns the status of a response."""
    return int(head.split()[1])
