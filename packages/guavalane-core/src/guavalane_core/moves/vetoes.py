"""Vetoes of nodes that detected a faulty version."""

from __future__ import annotations

from collections.abc import Collection

from guavalane_core.messages import Veto

# Maximum number of vetoes per move and version. One is enough to remove the
# share; the others show operators which nodes detected the fault.
MAX_VETOES_PER_VERSION = 8


def _order(veto: Veto) -> tuple[float, str, str]:
    return (veto.observed_s, veto.origin, veto.reason)


class VetoSet:
    """Grow-only set of the vetoes known to a node.

    Vetoes are not removed while their move is in progress, and merging is
    commutative and idempotent. Nodes therefore converge without consensus.
    """

    def __init__(self) -> None:
        self._vetoes: dict[tuple[str, str], dict[str, Veto]] = {}

    @property
    def all(self) -> list[Veto]:
        """All vetoes, oldest first."""
        found = [v for group in self._vetoes.values() for v in group.values()]
        return sorted(found, key=_order)

    def offer(self, veto: Veto) -> bool:
        """Adds a veto and returns whether the set changed."""
        group = self._vetoes.setdefault((veto.move, veto.version), {})
        known = group.get(veto.origin)
        if known is not None and _order(known) <= _order(veto):
            return False
        group[veto.origin] = veto
        for surplus in sorted(group.values(), key=_order)[
            MAX_VETOES_PER_VERSION:
        ]:
            del group[surplus.origin]
        return group.get(veto.origin) is veto

    def versions(self, move: str) -> set[str]:
        """Returns the vetoed versions of a move."""
        return {version for name, version in self._vetoes if name == move}

    def of(self, move: str, version: str) -> list[Veto]:
        """Returns the vetoes of a version, oldest first."""
        return sorted(
            self._vetoes.get((move, version), {}).values(), key=_order
        )

    def keep(self, moves: Collection[str]) -> None:
        """Removes the vetoes of all other moves."""
        self._vetoes = {
            key: group for key, group in self._vetoes.items() if key[0] in moves
        }
