"""Leader-side control of all moves in progress."""

from __future__ import annotations

from collections.abc import Mapping

from guavalane_core.configuration import Configuration
from guavalane_core.messages import Evidence
from guavalane_core.moves.record import MoveRecord
from guavalane_core.moves.state import Command, MoveState
from guavalane_core.moves.vetoes import VetoSet


class MoveLeader:
    """Runs a `MoveState` for each move in the configuration."""

    def __init__(self) -> None:
        self._states: dict[str, MoveState] = {}

    @property
    def states(self) -> dict[str, MoveState]:
        """States of the moves in progress, by name."""
        return self._states

    def unknown(self, configuration: Configuration) -> set[str]:
        """Returns the names of moves in progress that have no state yet."""
        return {
            deployment.move.name
            for deployment in configuration.deployments.values()
            if deployment.move is not None
        } - self._states.keys()

    def follow(
        self,
        configuration: Configuration,
        records: Mapping[str, MoveRecord],
        now_s: float,
        wall_s: float,
    ) -> None:
        """Applies the configuration in force and drops moves that ended.

        Args:
          configuration: Configuration in force.
          records: Records of moves without a state, by name.
          now_s: Monotonic time in seconds.
          wall_s: Wall time in seconds.
        """
        states = {}
        for name, deployment in configuration.deployments.items():
            rule = deployment.move
            if rule is None:
                continue
            state = self._states.get(rule.name)
            if state is None:
                record = records.get(rule.name)
                state = MoveState(
                    name,
                    rule,
                    record.plan if record else None,
                    record.confirmed_s if record else wall_s,
                )
            state.follow(deployment, now_s, wall_s)
            states[rule.name] = state
        self._states = states

    def on_evidence(
        self, origin: str, evidence: Evidence, wall_s: float
    ) -> None:
        """Handles evidence of a node; unknown moves are ignored."""
        state = self._states.get(evidence.move)
        if state is not None:
            state.on_evidence(origin, evidence, wall_s)

    def on_timer(
        self, now_s: float, wall_s: float, vetoes: VetoSet
    ) -> list[Command]:
        """Returns the commands of all moves that are due.

        Args:
          now_s: Monotonic time in seconds.
          wall_s: Wall time in seconds.
          vetoes: Known vetoes.
        """
        return [
            command
            for state in self._states.values()
            for command in state.on_timer(now_s, wall_s, vetoes)
        ]
