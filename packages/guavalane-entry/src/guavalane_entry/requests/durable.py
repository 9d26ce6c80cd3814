"""Durable requests: recorded, finished by a peer if their node dies."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from loguru import logger as log

from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectNotFoundError,
    RecordingUnavailableError,
    RequestError,
)
from guavalane_core.membership import Changed
from guavalane_core.records import (
    Accepted,
    Adopted,
    DurableRequest,
    Finished,
    NotRecorded,
    Record,
    RecordStore,
)
from guavalane_core.requests import (
    OwnerWatch,
    RequestContext,
    RouteTable,
    StoredAnswer,
    digest_key,
)
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.callers.admission import Admission
from guavalane_entry.callers.chat import parse_chat
from guavalane_entry.peers.membership import MembershipRunner
from guavalane_entry.requests.executions import Executions
from guavalane_entry.requests.runs import Run, RunTable, problem_answer

# The caller waits this long for its answer to be stored, in seconds; after
# that it gets the answer while storing goes on.
STORE_WAIT_S = 0.5
FIRST_RETRY_S = 0.1
LAST_RETRY_S = 5.0
# Records of nodes that this node never heard of are found by a scan in this
# period, in seconds; one read per node and period.
SCAN_PERIOD_S = 30.0
# So many live nodes scan when a node is lost, chosen by its name; each scan
# reads all records, and adopters race for them.
SCANNERS = 3
SCAN_SPREAD_S = 0.5
SEED_BITS = 31
# Looks for a record that may have been written, in case the write comes late.
# Longest wait before an adopted request that was shed queues again, in seconds.
QUEUE_AGAIN_S = 2.0
DISCARD_LOOKS = 5
DISCARD_PERIOD_S = 1.0


class DurableRunner:
    """Records durable requests, runs them and adopts those of dead nodes.

    Args:
      records: Records of durable requests.
      owners: Tells which owners are gone.
      runs: Runs on this node.
      executions: Work in flight.
      membership: Tells when a node is gone.
      timers: Timer service.
      table: Returns the routes in force.
      admission: Order and bounds of requests.
    """

    def __init__(
        self,
        records: RecordStore,
        owners: OwnerWatch,
        runs: RunTable,
        executions: Executions,
        membership: MembershipRunner,
        timers: Timers,
        table: Callable[[], RouteTable],
        admission: Admission,
    ) -> None:
        self._records = records
        self._owners = owners
        self._runs = runs
        self._executions = executions
        self._membership = membership
        self._timers = timers
        self._table = table
        self._admission = admission
        self._rng = random.Random()
        self._tasks: list[asyncio.Task] = []
        # Scans after the loss of a node, and adopted requests.
        self._background: set[asyncio.Task] = set()
        self._adopting = True
        runs.on_durable_answer(self._store)
        membership.subscribe(self._on_change)

    def start(self) -> None:
        """Starts to look for requests of dead nodes."""
        self._tasks = [asyncio.create_task(self._scan_regularly())]

    def stop_adopting(self) -> None:
        """Takes over no further requests."""
        self._adopting = False

    async def stop(self) -> None:
        """Stops to look for requests of dead nodes."""
        await cancel_tasks(*self._tasks, *self._background)

    async def accept(
        self, context: RequestContext, chat: dict[str, Any] | None
    ) -> Run:
        """Records a request and starts to run it; must not be cancelled.

        Raises:
          RecordingUnavailableError: It could not be recorded.
        """
        remaining = context.remaining_s(self._timers.now())
        request = DurableRequest(
            request_id=context.request_id,
            organisation=context.organisation,
            route_name=context.route_name,
            kind=context.route.kind,
            method=context.method,
            path=context.path,
            content_type=context.content_type,
            body=context.body,
            idempotency_key=context.idempotency_key,
            deadline_s=self._timers.wall() + remaining,
        )
        outcome = await self._records.accept(request)
        if isinstance(outcome, NotRecorded):
            if not outcome.certain:
                self._executions.spawn(self._discard(request.request_id))
            # A record that exists after all may be run by a peer, should this
            # node die before it has deleted it.
            raise RecordingUnavailableError(
                f"the request cannot be recorded: {outcome.reason}",
                not_run=outcome.certain,
            )
        assert isinstance(outcome, Accepted)
        return self._start(context, chat, outcome.record)

    async def _discard(self, request_id: str) -> None:
        for _ in range(DISCARD_LOOKS):
            try:
                if await self._records.discard(request_id):
                    return
            except ObjectApiError as error:
                log.debug("durable: {} not discarded: {}", request_id, error)
            await self._timers.sleep(DISCARD_PERIOD_S)

    def _start(
        self,
        context: RequestContext,
        chat: dict[str, Any] | None,
        record: Record | None,
        **progress: Any,
    ) -> Run:
        if chat is not None:
            # A second run after a crash should say the same as the first.
            seed = random.Random(context.request_id).getrandbits(SEED_BITS)
            chat = {"seed": seed, **chat}
        return self._runs.start(
            context, chat, detached=True, record=record, **progress
        )

    async def _store(self, run: Run, answer: StoredAnswer) -> StoredAnswer:
        task = self._executions.spawn(self._store_until_done(run, answer))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STORE_WAIT_S):
                return await asyncio.shield(task)
        return answer

    async def _store_until_done(
        self, run: Run, answer: StoredAnswer
    ) -> StoredAnswer:
        delay_s = FIRST_RETRY_S
        while True:
            try:
                if run.record is None:
                    run.record = await self._records.get(run.request_id)
                outcome = await self._records.finish(run.record, answer)
                if isinstance(outcome, Finished):
                    return outcome.answer
                reason: object = outcome.reason
            except ObjectNotFoundError:
                return answer
            except ObjectApiError as error:
                reason = error
            log.warning("durable: {} not stored: {}", run.request_id, reason)
            await self._timers.sleep(delay_s * self._rng.random())
            delay_s = min(LAST_RETRY_S, 2 * delay_s)

    async def get(self, request_id: str) -> Record:
        """Returns a record; see `RecordStore.get`."""
        return await self._records.get(request_id)

    async def take_over(
        self,
        context: RequestContext,
        chat: dict[str, Any] | None,
        **progress: Any,
    ) -> None:
        """Runs a request that another node hands over.

        A chat completion runs at once and its record is adopted meanwhile:
        the sender has no time left, and the first stored answer wins anyway.

        Raises:
          ObjectApiError: The record of a service call cannot be adopted.
        """
        if chat is not None:
            run = self._start(context, chat, None, **progress)
            self._executions.spawn(self._adopt_running(run))
            return
        found = await self._records.get(context.request_id)
        outcome = await self._records.adopt(found)
        if isinstance(outcome, Adopted):
            # The message does not carry these fields.
            request = outcome.record.request
            context.method, context.path = request.method, request.path
            context.content_type = request.content_type
            context.idempotency_key = request.idempotency_key
            self._start(context, None, outcome.record)

    async def _adopt_running(self, run: Run) -> None:
        delay_s = FIRST_RETRY_S
        while run.record is None and not run.answer.done():
            try:
                found = await self._records.get(run.request_id)
                outcome = await self._records.adopt(found)
            except ObjectApiError as error:
                log.warning(
                    "durable: {} not adopted yet: {}", run.request_id, error
                )
                await self._timers.sleep(delay_s * self._rng.random())
                delay_s = min(LAST_RETRY_S, 2 * delay_s)
                continue
            if isinstance(outcome, Adopted):
                run.record = outcome.record
            return

    def _on_change(self, change: Changed) -> None:
        name = change.member.name
        if change.member.live and not change.restarted:
            return
        live = [member.name for member in self._membership.live_members]
        live.sort(key=lambda node: digest_key(f"{name} {node}"))
        if self._owners.owner in live[:SCANNERS]:
            self._run_in_background(self._scan_soon())

    def _run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _scan_soon(self) -> None:
        await self._timers.sleep(SCAN_SPREAD_S * self._rng.random())
        await self._scan()

    async def _scan_regularly(self) -> None:
        while True:
            # The first scan starts the grace time of owners that were gone
            # before this node started.
            await self._scan()
            await self._timers.sleep(SCAN_PERIOD_S * (0.5 + self._rng.random()))

    async def _scan(self) -> None:
        if not self._adopting:
            return
        try:
            records = await self._records.scan()
            self._rng.shuffle(records)
            for record in records:
                await self._adopt(record)
        except ObjectApiError as error:
            log.debug("durable: no scan: {}", error)

    async def adopt_if_gone(self, record: Record) -> None:
        """Takes over a request that a caller asks for and nobody runs."""
        if self._adopting and self._owners.is_gone(
            record.owner, record.incarnation
        ):
            with contextlib.suppress(ObjectApiError):
                await self._adopt(record)

    async def _adopt(self, record: Record) -> None:
        outcome = await self._records.adopt(record)
        if isinstance(outcome, Adopted) and self._adopting:
            self._adopted(outcome.record)

    def _adopted(self, record: Record) -> None:
        request = record.request
        log.info(
            "durable: adopted {}, epoch {}", request.request_id, record.epoch
        )
        try:
            route = self._table().named_route(request.route_name)
            chat = parse_chat(request.body) if request.kind == "model" else None
        except RequestError as error:
            self._executions.spawn(self._finish_unrun(record, error))
            return
        remaining = max(0.0, request.deadline_s - self._timers.wall())
        fields = attrs.asdict(request)
        del fields["kind"]
        fields["deadline_s"] = self._timers.now() + remaining
        context = RequestContext(route=route, **fields)
        self._run_in_background(self._run_adopted(context, chat, record))

    async def _run_adopted(
        self,
        context: RequestContext,
        chat: dict[str, Any] | None,
        record: Record,
    ) -> None:
        """Runs an adopted request in its turn.

        The loss of a zone leaves many at once, which must not crowd out
        callers that wait. An accepted request is never shed: it queues again
        until its deadline.
        """
        while True:
            try:
                await self._admission.enter(context)
                break
            except RequestError as error:
                if context.remaining_s(self._timers.now()) <= 0:
                    await self._finish_unrun(record, error)
                    return
            await self._timers.sleep(QUEUE_AGAIN_S * self._rng.random())
        try:
            # A node that stops leaves it to a peer.
            if self._adopting:
                await asyncio.wait([self._start(context, chat, record).answer])
        finally:
            self._admission.leave(context)

    async def _finish_unrun(self, record: Record, error: Exception) -> None:
        with contextlib.suppress(ObjectApiError):
            await self._records.finish(record, problem_answer(error))
