"""Calls that run at most once per idempotency key."""

from __future__ import annotations

import asyncio
import contextlib
import random

from loguru import logger as log

from guavalane_core.claims import (
    Answered,
    Claim,
    ClaimStore,
    Granted,
    InProgress,
    KeyReused,
    Phase,
    Unavailable,
    Unresolved,
)
from guavalane_core.exceptions import (
    AnswerNotStoredError,
    ClaimUnavailableError,
    IdempotencyKeyReusedError,
    OutcomeUnknownError,
    RequestError,
    RequestInProgressError,
)
from guavalane_core.requests import (
    RequestContext,
    StoredAnswer,
    digest_request,
)
from guavalane_core.tasks import cancel_tasks
from guavalane_core.timers import Timers
from guavalane_entry.callers.calls import CallRunner
from guavalane_entry.endpoints.client import ServiceAnswer
from guavalane_entry.requests.executions import Executions

# Longest time that an answer is held back until it is stored, in seconds. After
# that the caller gets the answer while storing is retried in the background.
MAX_STORE_WAIT_S = 0.5
CLEAN_INTERVAL_S = 1.0
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 5.0


class _ClaimGuard:
    """Confirms before each attempt that the claim is still held."""

    def __init__(self, claims: ClaimStore, claim: Claim) -> None:
        self._claims = claims
        self._claim = claim

    async def before_attempt(self) -> None:
        if not await self._claims.before_dispatch(self._claim):
            raise ClaimUnavailableError(
                "the claim was lost before the call was sent", not_run=True
            )

    def not_sent(self) -> None:
        self._claims.not_sent(self._claim)


class AtMostOnceRunner:
    """Claims an idempotency key, runs the call and stores its answer.

    Args:
      claims: Store of the claims that this process holds.
      calls: Runs calls to plain services.
      executions: Tracks the work in flight.
      timers: Timer service.
    """

    def __init__(
        self,
        claims: ClaimStore,
        calls: CallRunner,
        executions: Executions,
        timers: Timers,
    ) -> None:
        self._claims = claims
        self._calls = calls
        self._executions = executions
        self._timers = timers
        self._rng = random.Random()
        self._running: dict[asyncio.Task, Claim] = {}
        self._cleaner: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the periodic deletion of claims that were never dispatched."""
        self._cleaner = asyncio.create_task(self._clean())

    async def stop(self) -> None:
        """Stops the periodic deletion after a final pass."""
        await cancel_tasks(self._cleaner)
        await self._claims.clean()

    async def _clean(self) -> None:
        while True:
            await self._timers.sleep(CLEAN_INTERVAL_S)
            await self._claims.clean()

    async def call(self, request: RequestContext) -> ServiceAnswer:
        """Runs a call, or returns the stored answer of an earlier one.

        A disconnect of the caller must not cancel it.

        Raises:
          RequestError: The call was rejected or its outcome is unknown.
        """
        outcome = await self._claims.claim(
            request.organisation,
            request.idempotency_key,
            digest_request(request.method, request.path, request.body),
            request.request_id,
        )
        if isinstance(outcome, Granted):
            return await self._dispatch(request, outcome.claim)
        return self._repeat(outcome)

    def _repeat(
        self,
        outcome: Answered | InProgress | KeyReused | Unavailable | Unresolved,
    ) -> ServiceAnswer:
        match outcome:
            case Answered(answer):
                return self._replay(answer)
            case InProgress(owner):
                raise RequestInProgressError(
                    f"a call with this key is being run by {owner}",
                    not_run=False,
                )
            case KeyReused():
                raise IdempotencyKeyReusedError(
                    "this key was used with another request",
                    not_run=True,
                )
            case Unavailable(reason, not_run):
                raise ClaimUnavailableError(
                    f"no claim can be written: {reason}", not_run=not_run
                )
            case Unresolved():
                raise OutcomeUnknownError(
                    "the node that ran the call is gone or got no answer",
                    not_run=False,
                )

    def _replay(self, answer: StoredAnswer) -> ServiceAnswer:
        if answer.dropped:
            raise AnswerNotStoredError(
                f"the call was answered with status {answer.status}; the"
                " answer is too large to be stored",
                not_run=False,
            )
        return ServiceAnswer(
            answer.status, answer.headers, answer.body, answer.endpoint
        )

    async def _dispatch(
        self, request: RequestContext, claim: Claim
    ) -> ServiceAnswer:
        task = asyncio.current_task()
        self._running[task] = claim
        guard = _ClaimGuard(self._claims, claim)
        try:
            answer = await self._calls.call(request, guard)
        except RequestError as error:
            if not request.sent and await self._claims.release(claim):
                raise
            await self._store(claim, None)
            if isinstance(error, OutcomeUnknownError):
                raise
            raise OutcomeUnknownError(str(error), not_run=False) from None
        except asyncio.CancelledError:
            # A call is cancelled only when the VM of the node is reclaimed.
            if await self._claims.release(claim):
                raise ClaimUnavailableError(
                    "the VM of the node is reclaimed", not_run=True
                ) from None
            await self._claims.mark_unknown(claim)
            raise OutcomeUnknownError(
                "the VM of the node is reclaimed before the call was answered",
                not_run=False,
            ) from None
        except Exception:
            await self._store(claim, None)
            raise
        finally:
            del self._running[task]
        stored = StoredAnswer(
            answer.status, answer.headers, answer.body, answer.endpoint
        )
        await self._store(claim, stored)
        return answer

    async def _store(self, claim: Claim, answer: StoredAnswer | None) -> None:
        task = self._executions.spawn(self._store_until_done(claim, answer))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_STORE_WAIT_S):
                await asyncio.shield(task)

    async def _store_until_done(
        self, claim: Claim, answer: StoredAnswer | None
    ) -> None:
        delay_s = MIN_RETRY_DELAY_S
        while True:
            if answer is None:
                done = await self._claims.mark_unknown(claim)
            else:
                done = await self._claims.complete(claim, answer)
            if done:
                return
            log.warning(
                "claims: storing the outcome of {} failed, retrying",
                claim.request_id,
            )
            await self._timers.sleep(delay_s * self._rng.random())
            delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)

    async def release_undispatched(self) -> None:
        """Releases every claim whose call has not been sent."""
        await asyncio.gather(
            *(
                self._claims.release(claim)
                for claim in self._claims.held
                if claim.phase in (Phase.CLAIMING, Phase.HELD)
            )
        )

    async def cancel_all(self) -> None:
        """Cancels every call before the VM goes away.

        The outcome of a call that was sent stays unknown.
        """
        await cancel_tasks(*self._running)
