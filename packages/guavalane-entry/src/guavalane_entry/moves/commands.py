"""Operator commands for version moves."""

from __future__ import annotations

import secrets
from typing import Any

import attrs
from sanic import Request, Sanic
from sanic.response import HTTPResponse
from sanic.response import json as json_response

from guavalane_core.configuration import ConfigurationState
from guavalane_core.exceptions import (
    GenerationConflictError,
    InvalidRequestError,
    MoveRefusedError,
    ObjectConflictError,
    ObjectNotFoundError,
    UnknownMoveError,
)
from guavalane_core.moves import (
    MoveEvent,
    MoveRecord,
    MoveRequest,
    plan_move,
    rollback_shares,
)
from guavalane_core.moves.plan import iso_time
from guavalane_core.moves.record import to_plain
from guavalane_core.objects import StoredObject
from guavalane_core.schema import options
from guavalane_core.timers import Timers
from guavalane_entry.moves.mover import (
    MoveRunner,
    changed_shares,
    configured_shares,
)
from guavalane_entry.store.configuration import ConfigurationStore

NAME_SUFFIX_BYTES = 3
# Maximum wait for a configuration that another node has stored.
CATCH_UP_TIMEOUT_S = 3.0
POLL_PERIOD_S = 0.1
# Maximum attempts at a write that may conflict with writes of the leader.
MAX_WRITE_ATTEMPTS = 5


class MoveCommands:
    """Plans, confirms, cancels and explains moves.

    Args:
      runner: Version moves on this node.
      state: Configuration in force.
      configuration_store: Stores configuration changes.
      timers: Timer service.
    """

    def __init__(
        self,
        runner: MoveRunner,
        state: ConfigurationState,
        configuration_store: ConfigurationStore,
        timers: Timers,
    ) -> None:
        self._runner = runner
        self._records = runner.records
        self._state = state
        self._configuration_store = configuration_store
        self._timers = timers

    async def plan(self, fields: dict[str, Any], who: str) -> dict[str, Any]:
        """Creates and stores a plan.

        Args:
          fields: `deployment`, `new` and `within_s` or `deadline_s`, and
              optionally `old`, `at_deadline`, `requests_per_s` and `name`.
          who: Name of the operator.

        Returns:
          The plan as plain data.

        Raises:
          MoveRefusedError: The move is not possible, or not by the deadline.
          ObjectApiError: The plan could not be stored.
        """
        now = self._timers.wall()
        deployment = str(fields.get("deployment", ""))
        new = str(fields.get("new", ""))
        rate = fields.get("requests_per_s")
        request = MoveRequest(
            name=str(fields.get("name") or "")
            or f"{deployment}-{new}-{secrets.token_hex(NAME_SUFFIX_BYTES)}",
            deployment=deployment,
            new=new,
            old=str(fields.get("old") or ""),
            deadline_s=_parse_deadline(fields, now),
            at_deadline=fields.get("at_deadline") or "undo",
            requests_per_s=self._runner.request_rate(deployment)
            if rate is None
            else _parse_number(rate, "requests_per_s"),
            made_by=who,
        )
        plan = plan_move(request, self._state.current, now)
        text = (
            f"planned the move of {plan.deployment} from {plan.old} to"
            f" {plan.new} by {iso_time(plan.deadline_s)} on generation"
            f" {plan.generation}"
        )
        record = MoveRecord(plan=plan).with_events(
            self._make_event(who, "plan", text)
        )
        await self._records.create(record)
        return to_plain(record)["plan"]

    async def confirm(self, name: str, who: str) -> dict[str, Any]:
        """Starts a planned move.

        Raises:
          GenerationConflictError: The configuration has changed since the
              plan was created.
          MoveRefusedError: The move is not in the planned state, or can no
              longer finish by its deadline.
          UnknownMoveError: There is no such plan.
        """
        stored, record = await self._load(name)
        plan = record.plan
        await self._wait_for_generation(plan.generation)
        # A record may have the state `running` although the configuration was
        # never changed; the plan can then be confirmed again.
        state = self._effective_state(record)
        if state != "planned":
            raise MoveRefusedError(f"move {name} is {state} already")
        if self._state.generation != plan.generation:
            raise GenerationConflictError(self._changes_since(plan.generation))
        now = self._timers.wall()
        if now + plan.expected_s > plan.deadline_s:
            raise MoveRefusedError(
                f"move {name} needs {plan.expected_s:.0f} s and its deadline"
                f" is in {plan.deadline_s - now:.0f} s; make a new plan"
            )
        await self._complete_last_record(plan.deployment)
        running = record.with_events(
            self._make_event(who, "confirm", "confirmed the plan"),
            state="running",
            confirmed_s=now,
        )
        try:
            await self._records.update(stored, running)
        except ObjectConflictError:
            raise GenerationConflictError(
                f"move {name} was changed by another operator at the same time"
            ) from None
        entry = {
            **self._state.plain["deployments"][plan.deployment],
            "move": options.to_plain(plan.rule()),
        }
        data = {
            **self._state.plain,
            "deployments": {
                **self._state.plain["deployments"],
                plan.deployment: entry,
            },
        }
        try:
            generation = await self._configuration_store.change(
                data, plan.generation
            )
        except GenerationConflictError:
            await self._wait_for_generation(plan.generation + 1)
            text = self._changes_since(plan.generation)
            move = self._state.current.deployments[plan.deployment].move
            if move is not None and move.name == name:
                # Another operator has confirmed the same plan, so its record
                # must stay `running`.
                raise GenerationConflictError(text) from None
            await self._append_event(
                name,
                self._make_event(who, "end", f"refused: {text}"),
                "refused",
            )
            raise GenerationConflictError(text) from None
        return {"name": name, "state": "running", "generation": generation}

    async def cancel(self, name: str, who: str) -> dict[str, Any]:
        """Cancels a planned move, or undoes a running one.

        Raises:
          MoveRefusedError: The move is not in progress.
          UnknownMoveError: There is no such move.
        """
        _, record = await self._load(name)
        if self._effective_state(record) == "planned":
            event = self._make_event(who, "end", "cancelled before it began")
            await self._append_event(name, event, "undone")
            return {"name": name, "state": "undone"}
        deployment = record.plan.deployment
        for attempt in range(MAX_WRITE_ATTEMPTS):
            found = self._state.current.deployments.get(deployment)
            if found is None or found.move is None or found.move.name != name:
                raise MoveRefusedError(
                    f"move {name} is not under way; it is"
                    f" {self._effective_state(record)}"
                )
            shares = rollback_shares(
                configured_shares(found), found.move.old, found.move.new
            )
            ended = {"name": name, "outcome": "undone", "by": who}
            data = changed_shares(self._state.plain, deployment, shares, ended)
            base = self._state.generation
            try:
                await self._configuration_store.change(data, base)
                break
            except GenerationConflictError:
                if attempt == MAX_WRITE_ATTEMPTS - 1:
                    raise
                await self._wait_for_generation(base + 1)
        event = self._make_event(who, "end", "undone: cancelled by an operator")
        await self._append_event(name, event, "undone")
        return {"name": name, "state": "undone"}

    async def list(self) -> list[dict[str, Any]]:
        """Returns a summary of all moves."""
        return [
            {
                "name": record.plan.name,
                "state": self._effective_state(record),
                "deployment": record.plan.deployment,
                "old": record.plan.old,
                "new": record.plan.new,
                "deadline": iso_time(record.plan.deadline_s),
                "made_by": record.plan.made_by,
            }
            for record in await self._records.list()
        ]

    async def status(self, name: str) -> dict[str, Any]:
        """Returns the state of a move.

        Raises:
          UnknownMoveError: There is no such move.
        """
        _, record = await self._load(name)
        plan = record.plan
        configured = self._state.current.deployments.get(plan.deployment)
        state = self._effective_state(record)
        result = {
            "name": name,
            "state": state,
            "deployment": plan.deployment,
            "old": plan.old,
            "new": plan.new,
            "deadline": iso_time(plan.deadline_s),
            "at_deadline": plan.at_deadline,
            "leader": self._runner.leader if state == "running" else "",
            "progress": self._runner.progress(name),
            "vetoes": len(self._runner.vetoes.of(name, plan.new)),
        }
        if configured is not None:
            configured_share = configured_shares(configured).get(plan.new, 0.0)
            local_share = self._runner.shares(plan.deployment).get(
                plan.new, 0.0
            )
            result["configured_share"] = configured_share
            result["share_on_this_node"] = local_share
        return result

    async def explain(self, name: str) -> dict[str, Any]:
        """Returns the plan of a move and its events in order of time.

        Raises:
          UnknownMoveError: There is no such move.
        """
        _, record = await self._load(name)
        events = list(record.events)
        # Vetoes are written to the record only when the move ends.
        if record.state == "running":
            events += [
                MoveEvent(
                    at_s=veto.observed_s,
                    who=veto.origin,
                    kind="veto",
                    text=f"vetoed {veto.version}: {veto.reason}",
                )
                for veto in self._runner.vetoes.of(name, record.plan.new)
            ]
        state = self._effective_state(record)
        if state != record.state:
            last = self._state.current.deployments[record.plan.deployment]
            events.append(
                MoveEvent(
                    at_s=self._timers.wall(),
                    who=last.last_move.by if last.last_move else "",
                    kind="end",
                    text=f"{state}, as the configuration records",
                )
            )
        events.sort(key=lambda event: event.at_s)
        return {
            "name": name,
            "state": state,
            "plan": to_plain(record)["plan"],
            "events": [
                {**attrs.asdict(event), "at": iso_time(event.at_s)}
                for event in events
            ],
        }

    def _make_event(self, who: str, kind: str, text: str) -> MoveEvent:
        return MoveEvent(
            at_s=self._timers.wall(), who=who, kind=kind, text=text
        )

    async def _load(self, name: str) -> tuple[StoredObject, MoveRecord]:
        try:
            return await self._records.get(name)
        except ObjectNotFoundError:
            raise UnknownMoveError(f"no move is named {name!r}") from None

    async def _append_event(
        self, name: str, event: MoveEvent, state: str
    ) -> None:
        # The leader may update the record at the same time.
        for attempt in range(MAX_WRITE_ATTEMPTS):
            stored, record = await self._records.get(name)
            try:
                await self._records.update(
                    stored, record.with_events(event, state=state)
                )
                return
            except ObjectConflictError:
                if attempt == MAX_WRITE_ATTEMPTS - 1:
                    raise

    def _effective_state(self, record: MoveRecord) -> str:
        """Returns the state of a move according to the configuration.

        A record stays `running` if its leader failed before it stored the end
        of the move.
        """
        if record.state != "running":
            return record.state
        found = self._state.current.deployments.get(record.plan.deployment)
        name = record.plan.name
        if found is not None:
            if found.move is not None and found.move.name == name:
                return "running"
            if found.last_move is not None and found.last_move.name == name:
                return found.last_move.outcome
        if self._state.generation <= record.plan.generation:
            return "planned"
        return "superseded"

    async def _complete_last_record(self, deployment: str) -> None:
        """Completes the record of the last move of a deployment.

        The configuration keeps the outcome of the last move only until the next
        one ends.
        """
        last = self._state.current.deployments[deployment].last_move
        if last is None:
            return
        try:
            _, record = await self._records.get(last.name)
        except ObjectNotFoundError:
            return
        if record.state == "running":
            event = self._make_event(last.by, "end", last.outcome)
            await self._append_event(last.name, event, last.outcome)

    async def _wait_for_generation(self, generation: int) -> None:
        end_s = self._timers.now() + CATCH_UP_TIMEOUT_S
        while (
            self._state.generation < generation and self._timers.now() < end_s
        ):
            await self._timers.sleep(POLL_PERIOD_S)

    def _changes_since(self, base: int) -> str:
        generation = self._state.generation
        prefix = (
            f"the plan was made on generation {base}, and generation"
            f" {generation} is in force"
        )
        delta = self._state.delta_since(base) if generation > base else None
        if not delta:
            return f"{prefix}; what changed is not known on this node"
        names = []
        for section, entries in sorted(delta.items()):
            for name, entry in sorted(entries.items()):
                text = f"{section}.{name}"
                move = (entry or {}).get("move")
                if move:
                    text += f" (move {move['name']} began)"
                names.append(text)
        return f"{prefix}; changed: {', '.join(names)}"


def _parse_number(value: Any, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidRequestError(f"{name} must be a number", not_run=True)
    return float(value)


def _parse_deadline(fields: dict[str, Any], now_s: float) -> float:
    if fields.get("deadline_s") is not None:
        return _parse_number(fields["deadline_s"], "deadline_s")
    if fields.get("within_s") is not None:
        return now_s + _parse_number(fields["within_s"], "within_s")
    raise InvalidRequestError(
        "a deadline is needed: within_s or deadline_s", not_run=True
    )


def add_routes(app: Sanic, commands: MoveCommands) -> None:
    """Adds the operator routes of moves to an application."""

    def body_of(request: Request) -> dict[str, Any]:
        if not isinstance(request.json, dict):
            raise InvalidRequestError("expected a JSON object", not_run=True)
        return request.json

    def who(body: dict[str, Any]) -> str:
        return str(body.get("who") or "operator")

    async def list_moves(_: Request) -> HTTPResponse:
        return json_response(await commands.list())

    async def plan(request: Request) -> HTTPResponse:
        body = body_of(request)
        return json_response(await commands.plan(body, who(body)))

    async def get(_: Request, name: str) -> HTTPResponse:
        return json_response(await commands.status(name))

    async def explain(_: Request, name: str) -> HTTPResponse:
        return json_response(await commands.explain(name))

    async def act(request: Request, name: str, action: str) -> HTTPResponse:
        function = {
            "confirm": commands.confirm,
            "cancel": commands.cancel,
        }.get(action)
        if function is None:
            raise InvalidRequestError(
                f"unknown action {action!r}; allowed: cancel, confirm",
                not_run=True,
            )
        return json_response(await function(name, who(body_of(request))))

    base = "/operator/moves"
    app.add_route(list_moves, base, methods=["GET"])
    app.add_route(plan, base, methods=["POST"], name="plan_move")
    app.add_route(get, f"{base}/<name:str>", methods=["GET"], name="move")
    app.add_route(
        explain,
        f"{base}/<name:str>/explain",
        methods=["GET"],
        name="explain_move",
    )
    app.add_route(
        act,
        f"{base}/<name:str>/<action:str>",
        methods=["POST"],
        name="act_on_move",
    )
