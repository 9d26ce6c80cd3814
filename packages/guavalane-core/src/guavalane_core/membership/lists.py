"""Compression of member lists.

A list of 550 members takes 28 KB. Because names, zones and addresses repeat,
zlib reduces it to 8 to 10 KB.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

from guavalane_core import messages
from guavalane_core.exceptions import MessageError
from guavalane_core.membership.member import Member
from guavalane_core.messages import CompressedMemberList, MemberList
from guavalane_core.messages.codec import MAX_FRAME_BYTES


def compress_list(
    members: Sequence[Member], total: int
) -> CompressedMemberList:
    """Encodes members as a compressed list.

    Args:
      members: Members to include.
      total: Number of members in a complete list.
    """
    updates = tuple(member.to_update() for member in members)
    frame = messages.encode(MemberList(updates=updates))
    return CompressedMemberList(total=total, data=zlib.compress(frame))


def decompress_list(message: CompressedMemberList) -> MemberList:
    """Decodes a compressed list.

    Raises:
      MessageError: The message is invalid or exceeds the maximum size.
    """
    unpacker = zlib.decompressobj()
    try:
        frame = unpacker.decompress(message.data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise MessageError(f"member list: {error}") from None
    if not unpacker.eof:
        raise MessageError("member list: truncated or too large")
    members = messages.decode(frame)
    if not isinstance(members, MemberList):
        raise MessageError("member list: unexpected message type")
    return members
