"""Quarantine of parts of requests that crash endpoints, over all nodes."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from guavalane_core.forwarding import Endpoint
from guavalane_core.messages import QuarantineReport, encode
from guavalane_core.objects import ObjectApi
from guavalane_core.quarantine import Quarantine, RequestParts
from guavalane_core.quarantine.evidence import NEVER_S
from guavalane_core.timers import Subscription, Timers
from guavalane_entry.gateway.decision_log import DecisionLog
from guavalane_entry.gateway.quarantine_messages import (
    MS_PER_S,
    make_report,
    quarantine_from_message,
)
from guavalane_entry.gateway.quarantine_store import (
    QuarantineSink,
    QuarantineStore,
)
from guavalane_entry.gateway.report_timer import ReportTimer
from guavalane_entry.gateway.view import NodeView

# Delay of a report after a crash, in seconds. Responses of one endpoint break
# off within milliseconds of each other.
REPORT_DELAY_S = 0.02
# Delay before reports of other nodes are evaluated, in seconds. After the loss
# of a zone, hundreds of them arrive together.
EVALUATION_DELAY_S = 0.1
# Number of repetitions of a report, and interval between them, in seconds:
# datagrams can be lost.
REPETITIONS = 2
REPETITION_PERIOD_S = 0.25
# Longest delay before a node tells that it has served a part, in seconds. The
# first one to do so spares the others the report.
MAX_REPLY_DELAY_S = 0.2
# Range of the delay before a quarantine is stored that other nodes have decided
# as well, in seconds. The node that saw the last crash stores it at once.
MIN_SAVE_DELAY_S = 0.4
MAX_SAVE_DELAY_S = 1.2
# Additional delay per node before the key of digests is stored, in seconds: all
# nodes of a new deployment find that there is none at the same time.
KEY_DELAY_S = 0.05
# Range of the delay before a superseded quarantine is deleted, in seconds. It
# exceeds the delay of its write, which other nodes may still begin.
MIN_DELETE_DELAY_S = 2.0
MAX_DELETE_DELAY_S = 4.0
# Minimum interval between claims of trials, in seconds.
CLAIM_PERIOD_S = 2.0


class QuarantineService:
    """Keeps the evidence and quarantines of this node and of all others.

    Args:
      view: Shared state, whose quarantines are updated.
      api: Object API.
      timers: Timer service.
      log: Decision log.
      send: Function that sends a frame to all other nodes.
    """

    def __init__(
        self,
        view: NodeView,
        api: ObjectApi,
        timers: Timers,
        log: DecisionLog,
        send: Callable[[bytes], None],
    ) -> None:
        self._view = view
        self._name = view.settings.name
        self._table = view.quarantines
        self._timers = timers
        self._log = log
        self._send = send
        self._store = QuarantineStore(api, timers, log)
        self._sink = QuarantineSink(
            self._adopt,
            self._release_deleted,
            self._save_later,
            self._use_digest_key,
            log,
        )
        self._has_stored_key = False
        self._repetitions_left = 0
        self._report_timer = ReportTimer(view, timers, self._send_report)
        self._next_evaluation: Subscription | None = None
        # Served parts of crashes that no node has reported yet.
        self._unreported: set[str] = set()
        self._claimed_trials: set[str] = set()
        self._next_claim_s = NEVER_S

    @property
    def sink(self) -> QuarantineSink:
        """Sink of the stored quarantines."""
        return self._sink

    async def stop(self) -> None:
        """Stops reports and pending writes."""
        self._report_timer.cancel()
        if self._next_evaluation is not None:
            self._next_evaluation.cancel()
        await self._store.stop()

    def on_crash(self, endpoint: Endpoint, parts: Mapping[str, int]) -> None:
        """Records a crash that this node has seen.

        Args:
          endpoint: Endpoint.
          parts: Parts of requests that were present, with their positions.
        """
        now_s = self._timers.now()
        if self._table.evidence.add_crash(endpoint.process, parts, now_s):
            self._evaluate(save_delay_s=0.0)
            self._repetitions_left = REPETITIONS
            self._report_timer.send_within(REPORT_DELAY_S)

    def is_explained(self, endpoint: Endpoint) -> bool:
        """Returns whether a part is suspected of an endpoint's crash."""
        parts = self._table.evidence.parts_at(endpoint.process)
        return self._table.has_suspect(parts)

    def on_served(self, parts: RequestParts, began_s: float) -> None:
        """Records that an endpoint has served a request without crashing.

        Args:
          parts: Parts of the request.
          began_s: Monotonic time at which the output began, in seconds.
        """
        evidence = self._table.evidence
        for part_id in self._table.known_parts(parts):
            had_open_crash = evidence.has_open_crash(part_id)
            ended = self._table.on_success(part_id, began_s, self._name)
            if ended is not None:
                self._log_released(ended, "served")
                self._store.delete(part_id)
                self._repetitions_left = REPETITIONS
                self._report_timer.send_within(REPORT_DELAY_S)
            elif had_open_crash or part_id in self._table.quarantines:
                self._unreported.add(part_id)
                self._reply_later()

    def receive(self, report: QuarantineReport) -> None:
        """Applies a report of another node."""
        now_s = self._timers.now()
        evidence = self._table.evidence
        reported = {success.part for success in report.successes}
        for success in report.successes:
            at_s = now_s - success.age_ms / MS_PER_S
            ended = self._table.on_success(
                success.part, at_s, report.node, success.count
            )
            if ended is not None:
                self._log_released(ended, report.node)
        # One success clears a part; each counts for the end of a quarantine.
        self._unreported -= reported - self._table.quarantines.keys()
        is_changed = False
        for crash in report.crashes:
            at_s = now_s - crash.age_ms / MS_PER_S
            parts = {present.part: present.position for present in crash.parts}
            if not evidence.add_crash(crash.process, parts, at_s):
                continue
            is_changed = True
        for message in report.quarantines:
            self._adopt(quarantine_from_message(message))
        if is_changed and self._next_evaluation is None:
            self._next_evaluation = self._timers.call_later(
                EVALUATION_DELAY_S, self._evaluate_reports
            )
        if self._unreported:
            self._reply_later()
        self._report_timer.refresh()

    def take_trial(self, quarantine: Quarantine) -> bool:
        """Returns whether a request with a quarantined part may be sent.

        A trial that is due is claimed in the background, for the next request
        with the part, so that no caller waits for the object API.
        """
        part_id = quarantine.part_id
        if part_id in self._claimed_trials:
            self._claimed_trials.discard(part_id)
            return True
        now_s = self._timers.now()
        is_due = quarantine.next_trial_ms <= self._now_ms()
        if is_due and now_s >= self._next_claim_s:
            self._next_claim_s = now_s + CLAIM_PERIOD_S
            self._store.claim_trial(
                part_id, self._now_ms(), self._on_trial_claimed
            )
        return False

    def _on_trial_claimed(self, quarantine: Quarantine | None) -> None:
        if quarantine is None:
            return
        self._claimed_trials.add(quarantine.part_id)
        self._adopt(quarantine)
        self._log.event(
            "quarantine.trial",
            part=quarantine.part_id,
            trials=quarantine.trials,
            next_trial_ms=quarantine.next_trial_ms,
        )

    def _now_ms(self) -> int:
        return int(self._view.clock.now() * MS_PER_S)

    def _reply_later(self) -> None:
        delay_s = self._view.rng.uniform(0, MAX_REPLY_DELAY_S)
        self._timers.call_later(delay_s, self._reply)

    def _reply(self) -> None:
        """Tells of successes unless another node has done so."""
        if self._unreported:
            self._report_timer.send_within(0.0)

    def _evaluate_reports(self) -> None:
        self._next_evaluation = None
        self._evaluate(self._draw_save_delay_s())

    def _draw_save_delay_s(self) -> float:
        return self._view.rng.uniform(MIN_SAVE_DELAY_S, MAX_SAVE_DELAY_S)

    def _evaluate(self, save_delay_s: float) -> None:
        added = self._table.update(self._timers.now(), self._now_ms())
        for quarantine in added:
            part = quarantine.part_id
            self._log.event(
                "quarantine.started",
                part=part,
                crashes=quarantine.crashes,
                source="evidence",
                since_ms=quarantine.since_ms,
            )
            self._save(part, save_delay_s)
        if added:
            self._release_superseded()
            self._repetitions_left = REPETITIONS
            self._report_timer.send_within(REPORT_DELAY_S)

    def _release_superseded(self) -> None:
        for ended in self._table.release_superseded(self._timers.now()):
            part = ended.part_id
            self._log_released(ended, "superseded")
            self._store.delete(
                part,
                self._view.rng.uniform(MIN_DELETE_DELAY_S, MAX_DELETE_DELAY_S),
                lambda part=part: self._sink.is_stored(part),
            )

    def _save(self, part: str, delay_s: float) -> None:
        self._store.save(
            self._table.quarantines[part],
            delay_s,
            lambda: self._unsaved(part),
        )

    def _save_later(self, part: str) -> None:
        """Stores a quarantine again, unless another node is faster."""
        if part in self._table.quarantines:
            self._save(part, self._draw_save_delay_s())

    def _use_digest_key(self, key: bytes | None) -> None:
        """Applies the stored key, or stores that of this node without one."""
        self._has_stored_key = key is not None
        if key is not None:
            self._view.update_digest_key(key)
            return
        self._store.save_digest_key(
            self._view.digest_key,
            self._draw_save_delay_s()
            + self._view.rng.uniform(0, KEY_DELAY_S * self._view.node_count),
            lambda: not self._has_stored_key,
        )

    def _unsaved(self, part: str) -> bool:
        is_known = part in self._table.quarantines
        return is_known and not self._sink.is_stored(part)

    def _adopt(self, quarantine: Quarantine) -> None:
        now_s = self._timers.now()
        if self._table.adopt(quarantine, now_s, self._now_ms()):
            self._log.event(
                "quarantine.started",
                part=quarantine.part_id,
                crashes=quarantine.crashes,
                source="received",
                since_ms=quarantine.since_ms,
            )

    def _release_deleted(self, part: str) -> None:
        ended = self._table.release(part, self._timers.now())
        if ended is not None:
            self._log_released(ended, "deleted")

    def _log_released(self, quarantine: Quarantine, reason: str) -> None:
        self._log.event(
            "quarantine.ended",
            part=quarantine.part_id,
            reason=reason,
            trials=quarantine.trials,
        )

    def _send_report(self) -> None:
        report = make_report(
            self._name,
            self._table,
            self._timers.now(),
            self._now_ms(),
        )
        if report is None:
            return
        self._unreported.clear()
        self._send(encode(report))
        if self._repetitions_left > 0:
            self._repetitions_left -= 1
            self._report_timer.send_within(REPETITION_PERIOD_S)
        else:
            self._report_timer.refresh()
