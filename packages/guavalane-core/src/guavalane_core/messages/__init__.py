"""Messages exchanged between entry nodes."""

from __future__ import annotations

import importlib
from typing import Any

from guavalane_core.messages.codec import PROTOCOL_VERSION, decode, encode
from guavalane_core.messages.generated_gateway import *  # noqa: F403

__all__ = ["PROTOCOL_VERSION", "decode", "encode"]


def __getattr__(name: str) -> Any:
    """Returns a message class that gateway nodes do not use.

    Its module is imported on first use, as defining its classes takes a
    twentieth of the startup time.
    """
    generated = importlib.import_module("guavalane_core.messages.generated")
    try:
        return getattr(generated, name)
    except AttributeError:
        raise AttributeError(
            f"module {__name__!r} has no name {name!r}"
        ) from None
