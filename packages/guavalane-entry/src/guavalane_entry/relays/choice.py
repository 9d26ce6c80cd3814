"""Choice of the relays of a fleet."""

from __future__ import annotations

from collections.abc import Collection

import xxhash

# Nodes that follow the object API for the others. With three, one may restart
# while another fails.
RELAYS = 3
# In smaller fleets each node follows the object API itself.
SMALLEST_FLEET = 24


def choose_relays(names: Collection[str]) -> list[str]:
    """Returns the relays of a fleet; none for a small one.

    All nodes that know the same names agree without a message.
    """
    if len(names) < SMALLEST_FLEET:
        return []
    return sorted(names, key=lambda n: xxhash.xxh3_64_intdigest(n.encode()))[
        :RELAYS
    ]
