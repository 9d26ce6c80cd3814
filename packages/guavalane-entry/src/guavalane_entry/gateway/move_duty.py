"""Completion and rollback of moves to other service versions."""

from __future__ import annotations

from guavalane_core.forwarding import MovePhase
from guavalane_core.leases import LeaseHolder
from guavalane_core.moves.table import TrackedMove
from guavalane_entry.gateway.duties import DUTIES, DutyContext


@DUTIES.register("moves")
class MoveDuty:
    """Writes the phase of each move once it is due.

    A holder measures the age of a move from when it first saw the order. All
    nodes watch the orders, so a new holder has seen it for as long, unless the
    node has started since.

    Args:
      context: Dependencies of duties.
    """

    def __init__(self, context: DutyContext) -> None:
        self._view = context.view
        self._api = context.api
        self._orders = context.move_orders
        self._log = context.log

    async def step(self, lease: LeaseHolder) -> None:
        """Writes the phases that are due."""
        now_s = self._view.timers.now()
        for service, followed in list(self._view.moves.moves.items()):
            phase = followed.next_phase(now_s)
            if phase is not None:
                lease.require()
                await self._write(service, followed, phase)

    async def _write(
        self, service: str, followed: TrackedMove, phase: MovePhase
    ) -> None:
        stored = self._orders.objects.get(service)
        if stored is None:
            return
        status = self._orders.encode_status(followed.move, phase)
        await self._api.update_status(
            stored.kind, stored.name, status, stored.version
        )
        self._log.event(
            "move.phase",
            service=service,
            target=followed.move.target,
            phase=phase.value,
            fault=followed.fault,
            unmet=followed.unmet,
            attempts=followed.trial.attempts(),
            age_s=round(self._view.timers.now() - followed.seen_s, 2),
        )
