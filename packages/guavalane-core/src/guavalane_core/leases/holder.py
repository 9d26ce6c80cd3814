"""Acquisition and renewal of a lease by one process."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger as log

from guavalane_core.exceptions import (
    LeaseLostError,
    ObjectApiError,
    ObjectConflictError,
    ObjectNotFoundError,
)
from guavalane_core.objects import (
    ConditionalWriter,
    ObjectApi,
    StoredObject,
    era_of,
)
from guavalane_core.tasks import cancel_tasks, start_supervised
from guavalane_core.timers import Timers

KIND = "leases"
# A third of the duration, 3 s, must exceed the largest undetected clock jump.
DEFAULT_DURATION_S = 9.0
# Fraction of the duration for which the lease is valid to its holder, starting
# before a renewal is sent. The rest covers clock drift between nodes.
VALIDITY_FRACTION = 2 / 3
# Renewals per duration; two may fail before the lease becomes invalid.
RENEWALS_PER_DURATION = 4
# Difference between wall and monotonic clock that indicates a suspended VM, in
# seconds.
CLOCK_JUMP_S = 2.0
IDENTITY_BYTES = 6
# Fencing numbers of one era of the object API. A new era begins with higher
# ones than any that were given out before it, as the last may be forgotten.
NUMBERS_PER_ERA = 1_000_000


@attrs.frozen
class Lease:
    """A lease as stored.

    Attributes:
      holder: Name of the node that holds it.
      incarnation: Incarnation of that node.
      identity: Random identifier of the `LeaseHolder` that holds it.
      fencing_number: Counter that is incremented at each change of holder.
      duration_s: Time without renewal after which it expires, in seconds.
      released: Whether the holder released it.
      era: Era of the object API in which it was written; 0 without one.
    """

    holder: str
    incarnation: int
    identity: str
    fencing_number: int
    duration_s: float
    released: bool = False
    era: int = 0

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> Lease:
        """Parses a stored body; those of earlier builds have no era."""
        return cls(
            **{
                field.name: body[field.name]
                for field in _FIELDS
                if field.name in body
            }
        )


_FIELDS = attrs.fields(Lease)


class LeaseHolder:
    """Acquires, renews and releases one lease.

    At most one holder has a valid lease: to its holder, the lease is valid for
    2/3 of the duration, starting before the last renewal was sent. An acquirer
    waits for the full duration on its own monotonic clock after it first read
    the stored version.

    An object API that comes back from an older copy, in a new era, may have
    forgotten the last acquisition, release or renewal. A lease written in an
    earlier era, or none, therefore says nothing of who may hold it: a holder
    whose lease is still valid writes it again, and all others wait for the full
    duration.

    Args:
      api: Object API.
      timers: Timer service.
      name: Name of the lease.
      holder: Name of this node.
      incarnation: Incarnation of this process.
      duration_s: Duration of the lease, in seconds.
      takeover_delay_s: Minimum time between the release of a lease and its
          next acquisition, in seconds, so that two holders do not act shortly
          after one another.
      restarts_take_over: Whether a later incarnation of the stored holder
          acquires the lease at once. Only safe if a node never runs two
          processes at the same time, so that the earlier one has ended.
    """

    def __init__(
        self,
        api: ObjectApi,
        timers: Timers,
        name: str,
        holder: str,
        incarnation: int,
        duration_s: float = DEFAULT_DURATION_S,
        takeover_delay_s: float = 0.0,
        restarts_take_over: bool = False,
    ) -> None:
        self._api = api
        self._writer = ConditionalWriter(api)
        self._timers = timers
        self._name = name
        self._holder = holder
        self._incarnation = incarnation
        self._identity = f"{holder}-{secrets.token_hex(IDENTITY_BYTES)}"
        self._duration_s = duration_s
        self._takeover_delay_s = takeover_delay_s
        self._restarts_take_over = restarts_take_over
        self._lock = asyncio.Lock()
        self._stored: StoredObject | None = None
        self._valid_until = 0.0
        self._clock_offset = 0.0
        self._seen_version = ""
        self._seen_at = 0.0
        self._seen_holder = ""
        self._task: asyncio.Task | None = None

    @property
    def fencing_number(self) -> int:
        """Fencing number while the lease is held; 0 otherwise."""
        if self._stored is None:
            return 0
        return self._stored.body["fencing_number"]

    @property
    def seen_holder(self) -> str:
        """Last known holder; empty if there is none."""
        if self._stored is not None:
            return self._holder
        return self._seen_holder

    @property
    def remaining_s(self) -> float:
        """Time for which the lease remains valid, in seconds."""
        if self._stored is None or self._clock_jumped():
            return 0.0
        return max(0.0, self._valid_until - self._timers.now())

    def check(self) -> bool:
        """Returns whether this process holds a valid lease."""
        return self.remaining_s > 0

    def require(self) -> int:
        """Returns the fencing number for an action that starts now.

        Raises:
          LeaseLostError: This process does not hold a valid lease.
        """
        if not self.check():
            raise LeaseLostError(f"lease {self._name} is not held")
        return self.fencing_number

    async def acquire(self) -> bool:
        """Attempts once to acquire or renew the lease.

        Call it repeatedly: the wait for the expiry of a lease spans calls.

        Returns:
          Whether this process holds a valid lease.

        Raises:
          ObjectApiError: The lease could not be read or written.
        """
        async with self._lock:
            if self._stored is not None:
                return await self._renew()
            return await self._acquire()

    async def renew(self) -> bool:
        """Renews the lease if it is held.

        Returns:
          Whether this process holds a valid lease.

        Raises:
          ObjectApiError: The lease could not be written; it stays valid until
              the last renewal expires.
        """
        async with self._lock:
            return self._stored is not None and await self._renew()

    async def release(self) -> None:
        """Releases the lease, so that another process need not wait.

        Raises:
          ObjectApiError: The lease could not be written; it expires instead.
        """
        async with self._lock:
            stored, self._stored = self._stored, None
            if stored is None:
                return
            try:
                await self._writer.update(
                    stored, {**stored.body, "released": True}
                )
            except (ObjectConflictError, ObjectNotFoundError):
                log.info("leases: {} was already taken over", self._name)

    def start(
        self,
        on_change: Callable[[bool], None] | None = None,
        is_candidate: Callable[[], bool] | None = None,
    ) -> None:
        """Starts a background task that acquires and renews until `stop`.

        Args:
          on_change: Called when the lease becomes valid or invalid.
          is_candidate: Returns whether this node competes for the lease; by
              default, all nodes do. A holder keeps its lease in any case.
        """
        self._task = start_supervised(
            f"lease {self._name}", lambda: self._run(on_change, is_candidate)
        )

    async def stop(self) -> None:
        """Stops the background task and releases the lease."""
        await cancel_tasks(self._task)
        self._task = None
        try:
            await self.release()
        except ObjectApiError as error:
            log.warning("leases: {} not released: {}", self._name, error)

    async def _run(
        self,
        on_change: Callable[[bool], None] | None,
        is_candidate: Callable[[], bool] | None,
    ) -> None:
        was_valid = False
        while True:
            try:
                if (
                    self._stored is not None
                    or is_candidate is None
                    or is_candidate()
                ):
                    await self.acquire()
            except ObjectApiError as error:
                log.debug(
                    "leases: {} not acquired or renewed: {}", self._name, error
                )
            except Exception as error:
                # An unexpected error must not end the task.
                log.opt(exception=error).error(
                    "leases: {}: unexpected error", self._name
                )
            valid = self.check()
            if valid != was_valid:
                was_valid = valid
                log.info(
                    "leases: {} {}", self._name, "held" if valid else "not held"
                )
                if on_change is not None:
                    on_change(valid)
            await self._timers.sleep(self._duration_s / RENEWALS_PER_DURATION)

    def _clock_jumped(self) -> bool:
        # The monotonic clock of a suspended VM does not advance.
        offset = self._timers.wall() - self._timers.now()
        return abs(offset - self._clock_offset) > CLOCK_JUMP_S

    def _body(self, fencing_number: int, era: int) -> dict[str, Any]:
        return attrs.asdict(
            Lease(
                self._holder,
                self._incarnation,
                self._identity,
                fencing_number,
                self._duration_s,
                era=era,
            )
        )

    async def _acquire(self) -> bool:
        sent_at, offset = self._read_clocks()
        stored, lease, era = await self._read()
        if lease is None:
            wait_s = self._duration_s if era > 0 else 0.0
            is_available = self._has_waited(f"none in {era}", wait_s, sent_at)
            number = 0
        else:
            if self._is_own(lease) and lease.era >= era:
                # An earlier write took effect after its response had timed
                # out.
                return await self._write(
                    stored, lease.fencing_number, era, sent_at, offset
                )
            is_available = self._is_available(stored, lease, era, sent_at)
            number = lease.fencing_number
        if not is_available:
            return False
        number = max(number, era * NUMBERS_PER_ERA) + 1
        return await self._write(stored, number, era, sent_at, offset)

    async def _read(self) -> tuple[StoredObject | None, Lease | None, int]:
        """Returns the stored lease and the era of the object API."""
        try:
            stored = await self._api.get(KIND, self._name)
        except ObjectNotFoundError as error:
            stored, lease, era = None, None, error.era
            self._seen_holder = ""
        else:
            lease, era = Lease.from_body(stored.body), era_of(stored.version)
            self._seen_holder = "" if lease.released else lease.holder
        return stored, lease, era

    def _is_own(self, lease: Lease) -> bool:
        return lease.identity == self._identity and not lease.released

    def _is_available(
        self, stored: StoredObject, lease: Lease, era: int, sent_at: float
    ) -> bool:
        is_current = lease.era >= era
        if (
            is_current
            and self._restarts_take_over
            and not lease.released
            and lease.holder == self._holder
            and lease.incarnation < self._incarnation
        ):
            return True
        if is_current and lease.released:
            wait_s = self._takeover_delay_s
        else:
            wait_s = max(lease.duration_s, self._duration_s)
        return self._has_waited(stored.version, wait_s, sent_at)

    def _has_waited(self, version: str, wait_s: float, sent_at: float) -> bool:
        """Returns whether a version was seen for long enough.

        Args:
          version: Version of the stored lease.
          wait_s: Time since this node first read it, in seconds.
          sent_at: Time before the current read, on the monotonic clock.
        """
        if version != self._seen_version and wait_s > 0:
            self._seen_version = version
            self._seen_at = self._timers.now()
            return False
        return wait_s == 0 or sent_at - self._seen_at >= wait_s

    async def _write(
        self,
        stored: StoredObject | None,
        fencing_number: int,
        era: int,
        sent_at: float,
        offset: float,
    ) -> bool:
        """Writes the lease as held by this process.

        Args:
          stored: Lease that is replaced; None if there is none.
          fencing_number: Fencing number.
          era: Era of the object API that the decision is based on.
          sent_at: Start of the validity on the monotonic clock.
          offset: Difference of the clocks at that time, in seconds.
        """
        body = self._body(fencing_number, era)
        try:
            if stored is None:
                written = await self._writer.create(KIND, self._name, body)
            else:
                written = await self._writer.update(stored, body)
        except (ObjectConflictError, ObjectNotFoundError):
            return False
        if era_of(written.version) != era:
            # What the decision is based on may be forgotten by now.
            return False
        self._set_held(written, sent_at, offset)
        return self.check()

    async def _renew(self) -> bool:
        stored = self._stored
        sent_at, offset = self._read_clocks()
        body = self._body(self.fencing_number, era_of(stored.version))
        try:
            written = await self._writer.update(stored, body)
        except (ObjectConflictError, ObjectNotFoundError):
            return await self._recover_renewal(sent_at, offset)
        self._set_held(written, sent_at, offset)
        return self.check()

    async def _recover_renewal(self, sent_at: float, offset: float) -> bool:
        """Renews a lease that is stored with another version, or not at all.

        A renewal whose response was lost may have taken effect late. The stored
        lease is then still this one, with an unknown version. Or the object
        API has come back from an older copy; a lease that is valid is then
        still that of this process, whatever is stored.
        """
        held = Lease.from_body(self._stored.body)
        stored, lease, era = await self._read()
        is_valid = self.check()
        self._stored = None
        is_forgotten = (0 if lease is None else lease.era) < era
        if lease is None and not is_forgotten:
            return False
        if is_forgotten and not is_valid:
            log.warning("leases: {} may have been taken over", self._name)
            return False
        if not is_forgotten and not (
            self._is_own(lease) and lease.fencing_number == held.fencing_number
        ):
            log.warning("leases: {} was taken over", self._name)
            return False
        return await self._write(
            stored, held.fencing_number, era, sent_at, offset
        )

    def _read_clocks(self) -> tuple[float, float]:
        now = self._timers.now()
        return now, self._timers.wall() - now

    def _set_held(
        self, written: StoredObject, sent_at: float, offset: float
    ) -> None:
        self._stored = written
        self._valid_until = sent_at + self._duration_s * VALIDITY_FRACTION
        self._clock_offset = offset
