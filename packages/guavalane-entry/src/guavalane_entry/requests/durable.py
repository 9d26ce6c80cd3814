"""Durable requests, which a peer adopts and finishes if their node fails."""

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

# Longest time that an answer is held back until it is stored, in seconds. After
# that the caller gets the answer while storing is retried in the background.
MAX_STORE_WAIT_S = 0.5
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 5.0
# Mean interval between scans for records of failed nodes, in seconds. Scans
# find the records of nodes that this node never saw as members. They cost one
# read per node and interval.
SCAN_INTERVAL_S = 30.0
# Live nodes that scan when a node fails, chosen by a hash of its name. Each of
# them reads all records, and they compete to adopt the same ones.
SCANNING_NODES = 3
SCAN_JITTER_S = 0.5
SEED_BITS = 31
# Longest delay before an adopted request that was shed is queued again, in
# seconds.
MAX_REQUEUE_DELAY_S = 2.0
# Attempts to delete a record whose write has an unknown outcome. The write may
# still arrive late, so one attempt is not enough.
DISCARD_ATTEMPTS = 5
DISCARD_INTERVAL_S = 1.0


class DurableRunner:
    """Records and runs durable requests and adopts those of failed nodes.

    Args:
      records: Store of durable requests and their answers.
      owners: Detects owners that have failed.
      runs: Runs on this node.
      executions: Tracks the work in flight.
      membership: Reports changes of cluster membership.
      timers: Timer service.
      table: Returns the current route table.
      admission: Admission control, which adopted requests pass as well.
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
        # Scans triggered by membership changes, and adopted requests.
        self._background: set[asyncio.Task] = set()
        self._adopting = True
        runs.on_durable_answer(self._store)
        membership.subscribe(self._on_change)

    def start(self) -> None:
        """Starts the periodic scan for requests of failed nodes."""
        self._tasks = [asyncio.create_task(self._scan_periodically())]

    def stop_adopting(self) -> None:
        """Stops adopting requests; those already running go on."""
        self._adopting = False

    async def stop(self) -> None:
        """Cancels the scans and the tasks of adopted requests."""
        await cancel_tasks(*self._tasks, *self._background)

    async def accept(
        self, context: RequestContext, chat: dict[str, Any] | None
    ) -> Run:
        """Records a request and starts its run.

        A disconnect of the caller must not cancel it.

        Raises:
          RecordingUnavailableError: The request could not be recorded.
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
            # If the write succeeded after all and this node fails before it
            # deletes the record, a peer may run the request.
            raise RecordingUnavailableError(
                f"the request cannot be recorded: {outcome.reason}",
                not_run=outcome.certain,
            )
        assert isinstance(outcome, Accepted)
        return self._start(context, chat, outcome.record)

    async def _discard(self, request_id: str) -> None:
        for _ in range(DISCARD_ATTEMPTS):
            try:
                if await self._records.discard(request_id):
                    return
            except ObjectApiError as error:
                log.debug(
                    "durable: cannot delete record {}: {}", request_id, error
                )
            await self._timers.sleep(DISCARD_INTERVAL_S)

    def _start(
        self,
        context: RequestContext,
        chat: dict[str, Any] | None,
        record: Record | None,
        **progress: Any,
    ) -> Run:
        if chat is not None:
            # A rerun after a crash should generate the same text.
            seed = random.Random(context.request_id).getrandbits(SEED_BITS)
            chat = {"seed": seed, **chat}
        return self._runs.start(
            context, chat, detached=True, record=record, **progress
        )

    async def _store(self, run: Run, answer: StoredAnswer) -> StoredAnswer:
        task = self._executions.spawn(self._store_until_done(run, answer))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_STORE_WAIT_S):
                return await asyncio.shield(task)
        return answer

    async def _store_until_done(
        self, run: Run, answer: StoredAnswer
    ) -> StoredAnswer:
        delay_s = MIN_RETRY_DELAY_S
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
            log.warning(
                "durable: storing the answer of {} failed, retrying: {}",
                run.request_id,
                reason,
            )
            await self._timers.sleep(delay_s * self._rng.random())
            delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)

    async def get(self, request_id: str) -> Record:
        """Returns the record of a request; see `RecordStore.get`."""
        return await self._records.get(request_id)

    async def take_over(
        self,
        context: RequestContext,
        chat: dict[str, Any] | None,
        **progress: Any,
    ) -> None:
        """Continues a request that another node handed over.

        A chat completion starts before its record is adopted, because the
        sender is about to stop. Duplicate runs are harmless: the first stored
        answer wins.

        Raises:
          ObjectApiError: The record of a service call cannot be adopted.
        """
        if chat is not None:
            run = self._start(context, chat, None, **progress)
            self._executions.spawn(self._adopt_record_of(run))
            return
        found = await self._records.get(context.request_id)
        outcome = await self._records.adopt(found)
        if isinstance(outcome, Adopted):
            # The handover message does not carry these fields.
            request = outcome.record.request
            context.method, context.path = request.method, request.path
            context.content_type = request.content_type
            context.idempotency_key = request.idempotency_key
            self._start(context, None, outcome.record)

    async def _adopt_record_of(self, run: Run) -> None:
        delay_s = MIN_RETRY_DELAY_S
        while run.record is None and not run.answer.done():
            try:
                found = await self._records.get(run.request_id)
                outcome = await self._records.adopt(found)
            except ObjectApiError as error:
                log.warning(
                    "durable: adopting {} failed, retrying: {}",
                    run.request_id,
                    error,
                )
                await self._timers.sleep(delay_s * self._rng.random())
                delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
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
        if self._owners.owner in live[:SCANNING_NODES]:
            self._run_in_background(self._scan_after_jitter())

    def _run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _scan_after_jitter(self) -> None:
        await self._timers.sleep(SCAN_JITTER_S * self._rng.random())
        await self._scan()

    async def _scan_periodically(self) -> None:
        while True:
            # The first scan runs at once, because it starts the grace period
            # of owners that failed before this node started.
            await self._scan()
            await self._timers.sleep(
                SCAN_INTERVAL_S * (0.5 + self._rng.random())
            )

    async def _scan(self) -> None:
        if not self._adopting:
            return
        try:
            records = await self._records.scan()
            self._rng.shuffle(records)
            for record in records:
                await self._adopt(record)
        except ObjectApiError as error:
            log.debug("durable: scan for orphaned records failed: {}", error)

    async def adopt_if_owner_gone(self, record: Record) -> None:
        """Adopts a request that a caller looked up if its owner has failed."""
        if self._adopting and self._owners.is_gone(
            record.owner, record.incarnation
        ):
            with contextlib.suppress(ObjectApiError):
                await self._adopt(record)

    async def _adopt(self, record: Record) -> None:
        outcome = await self._records.adopt(record)
        if isinstance(outcome, Adopted) and self._adopting:
            self._start_adopted(outcome.record)

    def _start_adopted(self, record: Record) -> None:
        request = record.request
        log.info(
            "durable: adopted {}, epoch {}", request.request_id, record.epoch
        )
        try:
            route = self._table().named_route(request.route_name)
            chat = parse_chat(request.body) if request.kind == "model" else None
        except RequestError as error:
            self._executions.spawn(self._store_failure(record, error))
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
        """Runs an adopted request once admission control lets it start.

        The loss of an availability zone orphans many requests at once, which
        must not displace waiting callers. A request that is shed is queued
        again until its deadline, since it was already accepted.
        """
        while True:
            try:
                await self._admission.acquire(context)
                break
            except RequestError as error:
                if context.remaining_s(self._timers.now()) <= 0:
                    await self._store_failure(record, error)
                    return
            await self._timers.sleep(MAX_REQUEUE_DELAY_S * self._rng.random())
        try:
            # A stopping node leaves the request to a peer.
            if self._adopting:
                await asyncio.wait([self._start(context, chat, record).answer])
        finally:
            self._admission.release(context)

    async def _store_failure(self, record: Record, error: Exception) -> None:
        with contextlib.suppress(ObjectApiError):
            await self._records.finish(record, problem_answer(error))
