"""Compression of member lists.

A list of 550 members takes 28 KB. Because names, zones and addresses repeat,
zlib reduces it to 8 to 10 KB.
"""

from __future__ import annotations

from collections.abc import Sequence

from guavalane_core import messages
from guavalane_core.exceptions import MessageError
from guavalane_core.membership.member import Member
from guavalane_core.messages import CompressedMemberList, MemberList
from guavalane_core.messages.compression import (
    compress_frame,
    decompress_frame,
)


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
    return CompressedMemberList(total=total, data=compress_frame(frame))


def decompress_list(message: CompressedMemberList) -> MemberList:
    """Decodes a compressed list.

    Raises:
      MessageError: The message is invalid or exceeds the maximum size.
    """
    members = messages.decode(decompress_frame(message.data))
    if not isinstance(members, MemberList):
        raise MessageError("member list: unexpected message type")
    return members
