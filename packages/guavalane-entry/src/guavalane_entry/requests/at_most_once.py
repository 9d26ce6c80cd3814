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

# The caller waits this long for its answer to be stored, in seconds; after
# that it gets the answer while storing goes on.
STORE_WAIT_S = 0.5
CLEAN_PERIOD_S = 1.0
FIRST_RETRY_S = 0.1
LAST_RETRY_S = 5.0


class _ClaimGuard:
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
    """Claims a key, runs its call and stores the answer.

    Args:
      claims: Claims of this process.
      calls: Runs calls to plain services.
      executions: Work in flight.
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
        """Starts to delete claims that were never dispatched."""
        self._cleaner = asyncio.create_task(self._clean())

    async def stop(self) -> None:
        """Deletes what can be deleted now and stops."""
        await cancel_tasks(self._cleaner)
        await self._claims.clean()

    async def _clean(self) -> None:
        while True:
            await self._timers.sleep(CLEAN_PERIOD_S)
            await self._claims.clean()

    async def call(self, request: RequestContext) -> ServiceAnswer:
        """Returns the answer to a call; must not be cancelled by a caller.

        Raises:
          RequestError: The call was refused or its outcome is unknown.
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
                    "this key was used with another request", not_run=True
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
            # Only the end of a reclaim cancels a call.
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
            async with asyncio.timeout(STORE_WAIT_S):
                await asyncio.shield(task)

    async def _store_until_done(
        self, claim: Claim, answer: StoredAnswer | None
    ) -> None:
        delay_s = FIRST_RETRY_S
        while True:
            if answer is None:
                done = await self._claims.mark_unknown(claim)
            else:
                done = await self._claims.complete(claim, answer)
            if done:
                return
            log.warning("claims: {} is not stored yet", claim.request_id)
            await self._timers.sleep(delay_s * self._rng.random())
            delay_s = min(LAST_RETRY_S, 2 * delay_s)

    async def release_undispatched(self) -> None:
        """Releases every claim whose call was not sent."""
        await asyncio.gather(
            *(
                self._claims.release(claim)
                for claim in self._claims.held
                if claim.phase in (Phase.CLAIMING, Phase.HELD)
            )
        )

    async def cut(self) -> None:
        """Ends every call at the end of a reclaim; outcomes stay unknown."""
        await cancel_tasks(*self._running)
