"""Messages exchanged between entry nodes."""

from __future__ import annotations

from guavalane_core.messages.codec import PROTOCOL_VERSION, decode, encode
from guavalane_core.messages.generated import *  # noqa: F403

__all__ = ["PROTOCOL_VERSION", "decode", "encode"]
