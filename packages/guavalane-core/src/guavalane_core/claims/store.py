"""At-most-once claims, stored in the object API."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from guavalane_core.claims.outcomes import (
    Answered,
    Claim,
    ClaimOutcome,
    Granted,
    InProgress,
    KeyReused,
    Phase,
    Unavailable,
    Unresolved,
)
from guavalane_core.exceptions import (
    ObjectApiError,
    ObjectConflictError,
    ObjectNotFoundError,
    WriteOutcomeUnknownError,
)
from guavalane_core.objects import ConditionalWriter, ObjectApi, StoredObject
from guavalane_core.objects.api import MAX_VALUE_BYTES
from guavalane_core.requests import OwnerWatch, StoredAnswer
from guavalane_core.timers import Timers

KIND = "claims"
RUNNING = "running"
ANSWERED = "answered"
UNKNOWN = "unknown"
# Age at which a claim must be confirmed again before dispatch, in seconds. If
# its owner was paused for longer, peers may have declared the owner dead.
CONFIRMATION_TTL_S = 2.0
# Attempts at a write that conflicts with others.
MAX_ATTEMPTS = 5
# Checks for an abandoned claim whose creation may still take effect.
MAX_CLEANUP_CHECKS = 5
# Space reserved for other fields and the envelope of a stored object, in bytes.
RESERVED_BYTES = 4096


def claim_name(organisation: str, key: str) -> str:
    """Returns the name of the claim object of a key."""
    return hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()


class ClaimStore:
    """Creates, completes, releases and resolves claims.

    Only the process that created a claim dispatches its call, and only while
    this store tracks the claim in memory. A stored claim of this process that
    is not tracked was therefore never dispatched.

    Args:
      api: Object API.
      timers: Timer service.
      owners: Reports which owners are gone.
    """

    def __init__(
        self, api: ObjectApi, timers: Timers, owners: OwnerWatch
    ) -> None:
        self._api = api
        self._timers = timers
        self._owners = owners
        self._writer = ConditionalWriter(api)
        self._claims: dict[str, Claim] = {}
        # Number of checks so far per claim to be deleted, by name and request.
        self._abandoned: dict[tuple[str, str], int] = {}

    @property
    def held(self) -> list[Claim]:
        """Claims of this process that have not ended."""
        return list(self._claims.values())

    @property
    def abandoned(self) -> int:
        """Number of claims that `clean` still has to delete."""
        return len(self._abandoned)

    async def claim(
        self, organisation: str, key: str, fingerprint: str, request_id: str
    ) -> ClaimOutcome:
        """Claims a key for one request.

        Args:
          organisation: Organisation of the caller.
          key: Idempotency key.
          fingerprint: Digest of the request.
          request_id: Request to be dispatched.
        """
        name = claim_name(organisation, key)
        known = self._claims.get(name)
        if known is not None:
            return self._outcome_of_known(known, fingerprint)
        claim = Claim(name, fingerprint, request_id, self._timers.now())
        self._claims[name] = claim
        try:
            outcome = await self._create(claim)
        except BaseException:
            self._abandon(claim)
            raise
        if not isinstance(outcome, Granted):
            self._forget(claim)
        return outcome

    def _outcome_of_known(self, known: Claim, fingerprint: str) -> ClaimOutcome:
        if known.fingerprint != fingerprint:
            return KeyReused()
        if known.answer is not None:
            return Answered(known.answer)
        if known.phase is Phase.UNKNOWN:
            return Unresolved()
        return InProgress(self._owners.owner)

    async def _create(self, claim: Claim) -> ClaimOutcome:
        not_run = True
        try:
            for _ in range(MAX_ATTEMPTS):
                claim.confirmed_s = self._timers.now()
                try:
                    stored = await self._writer.create(
                        KIND, claim.name, self._running_body(claim)
                    )
                except ObjectConflictError:
                    # The call of another claim may have been executed under
                    # this key.
                    not_run = False
                    outcome = await self._inspect_existing(claim)
                    if outcome is not None:
                        return outcome
                    not_run = True
                    continue
                return self._grant(claim, stored)
        except WriteOutcomeUnknownError as error:
            self._abandon(claim)
            return Unavailable(str(error), not_run)
        except ObjectApiError as error:
            return Unavailable(str(error), not_run)
        return Unavailable(f"{claim.name} keeps changing", not_run)

    def _running_body(self, claim: Claim) -> dict[str, Any]:
        return {
            "state": RUNNING,
            "fingerprint": claim.fingerprint,
            "request_id": claim.request_id,
            "owner": self._owners.owner,
            "incarnation": self._owners.incarnation,
            "claimed_s": self._timers.wall(),
        }

    def _grant(
        self, claim: Claim, stored: StoredObject
    ) -> Granted | Unavailable:
        if claim.phase is Phase.ENDED:
            return Unavailable("the claim was released")
        claim.stored = stored
        claim.phase = Phase.HELD
        return Granted(claim)

    async def _inspect_existing(self, claim: Claim) -> ClaimOutcome | None:
        """Evaluates the existing claim; None if it was deleted or changed."""
        try:
            found = await self._api.get(KIND, claim.name)
        except ObjectNotFoundError:
            return None
        body = found.body
        if body["fingerprint"] != claim.fingerprint:
            return KeyReused()
        if body["state"] == ANSWERED:
            return Answered(StoredAnswer.from_plain(body["answer"]))
        if body["state"] == UNKNOWN:
            return Unresolved()
        owner, incarnation = body["owner"], body["incarnation"]
        if self._owners.is_self(owner, incarnation):
            return await self._reclaim(claim, found)
        if not self._owners.is_gone(owner, incarnation):
            return InProgress(owner)
        return await self._resolve_orphan(found)

    async def _reclaim(
        self, claim: Claim, found: StoredObject
    ) -> Granted | Unavailable | None:
        claim.confirmed_s = self._timers.now()
        try:
            stored = await self._writer.update(found, self._running_body(claim))
        except (ObjectConflictError, ObjectNotFoundError):
            return None
        return self._grant(claim, stored)

    async def _resolve_orphan(self, found: StoredObject) -> Unresolved | None:
        try:
            await self._writer.update(found, {**found.body, "state": UNKNOWN})
        except (ObjectConflictError, ObjectNotFoundError):
            return None
        except ObjectApiError:
            # The next request with this key writes it, with the same outcome.
            pass
        return Unresolved()

    async def before_dispatch(self, claim: Claim) -> bool:
        """Confirms that the claim is valid right before its call is sent.

        Returns:
          Whether the call may be sent. If not, it must never be sent later.
        """
        if claim.phase not in (Phase.HELD, Phase.DISPATCHED):
            return False
        for _ in range(MAX_ATTEMPTS):
            if self._timers.now() - claim.confirmed_s <= CONFIRMATION_TTL_S:
                claim.phase = Phase.DISPATCHED
                return True
            if claim.phase is Phase.DISPATCHED:
                # The call is retried on an endpoint that deduplicates calls.
                return True
            sent_s = self._timers.now()
            try:
                claim.stored = await self._writer.update(
                    claim.stored, self._running_body(claim)
                )
            except ObjectApiError:
                break
            if claim.phase is not Phase.HELD:
                return False
            claim.confirmed_s = sent_s
        self._abandon(claim)
        return False

    def not_sent(self, claim: Claim) -> None:
        """Reports that no byte was sent since `before_dispatch`."""
        if claim.phase is Phase.DISPATCHED:
            claim.phase = Phase.HELD

    async def complete(self, claim: Claim, answer: StoredAnswer) -> bool:
        """Stores the answer, replacing an unknown outcome written by a peer.

        Returns:
          Whether it is stored. If not, call again later; until then the store
          answers repeated requests from memory.
        """
        claim.answer = answer
        claim.phase = Phase.ANSWERED
        plain = answer.to_plain()
        if len(json.dumps(plain)) > MAX_VALUE_BYTES - RESERVED_BYTES:
            plain = answer.without_body().to_plain()
        return await self._store_outcome(claim, ANSWERED, plain)

    async def mark_unknown(self, claim: Claim) -> bool:
        """Stores that the outcome of the call is unknown.

        Returns:
          Whether it is stored. If not, call again later.
        """
        claim.phase = Phase.UNKNOWN
        return await self._store_outcome(claim, UNKNOWN, None)

    async def _store_outcome(
        self, claim: Claim, state: str, answer: dict[str, Any] | None
    ) -> bool:
        for _ in range(MAX_ATTEMPTS):
            body = {**self._running_body(claim), "state": state}
            if answer is not None:
                body["answer"] = answer
            try:
                claim.stored = await self._writer.update(claim.stored, body)
            except ObjectConflictError:
                if await self._is_final(claim, state):
                    break
                continue
            except ObjectApiError:
                return False
            break
        else:
            return False
        self._forget(claim)
        return True

    async def _is_final(self, claim: Claim, state: str) -> bool:
        try:
            found = await self._api.get(KIND, claim.name)
        except ObjectApiError:
            return False
        claim.stored = found
        return found.body["state"] in (state, ANSWERED)

    async def release(self, claim: Claim) -> bool:
        """Releases a claim whose call was not dispatched.

        Returns:
          Whether the call will never be dispatched; False if it was.
        """
        if claim.phase not in (Phase.CLAIMING, Phase.HELD):
            return False
        held = claim.phase is Phase.HELD
        self._abandon(claim)
        if held:
            await self.clean()
        return True

    async def clean(self) -> None:
        """Deletes claims that were never dispatched."""
        for (name, request_id), checks in list(self._abandoned.items()):
            try:
                found = await self._api.get(KIND, name)
                if found.body["request_id"] == request_id:
                    await self._api.delete(KIND, name, found.version)
            except ObjectNotFoundError:
                # A creation without a response may still take effect.
                if checks + 1 < MAX_CLEANUP_CHECKS:
                    self._abandoned[name, request_id] = checks + 1
                    continue
            except ObjectApiError:
                continue
            self._abandoned.pop((name, request_id), None)

    def _abandon(self, claim: Claim) -> None:
        self._abandoned[claim.name, claim.request_id] = 0
        self._forget(claim)

    def _forget(self, claim: Claim) -> None:
        claim.phase = Phase.ENDED
        if self._claims.get(claim.name) is claim:
            del self._claims[claim.name]
