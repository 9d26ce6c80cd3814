"""Conversion of quarantines and their evidence for other nodes and storage."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any

from guavalane_core.exceptions import ConfigurationError
from guavalane_core.messages import (
    EndpointCrash,
    PartQuarantine,
    PartSuccess,
    PresentPart,
    QuarantineReport,
)
from guavalane_core.quarantine import Quarantine, QuarantineTable
from guavalane_core.quarantine.parts import KEY_BYTES

# Age up to which crashes and quarantines are reported, in seconds. Older
# quarantines are read from the object API.
REPORTED_AGE_S = 60.0
# Maximum number of crashes, of their parts and of quarantines per report, so
# that it fits in one datagram.
MAX_REPORTED_CRASHES = 8
MAX_REPORTED_PARTS = 160
MAX_REPORTED_QUARANTINES = 16
MS_PER_S = 1000
_BODY_FIELDS = ("since_ms", "crashes", "trials", "next_trial_ms")


def make_report(
    node: str, table: QuarantineTable, now_s: float, now_ms: int
) -> QuarantineReport | None:
    """Returns the report of what is recent; None if nothing is.

    Args:
      node: Name of this node.
      table: Quarantines and evidence of this node.
      now_s: Monotonic time in seconds.
      now_ms: Time of day in milliseconds since the epoch.
    """
    evidence = table.evidence
    crashes = []
    parts_left = MAX_REPORTED_PARTS
    for crash in evidence.recent_crashes(now_s, REPORTED_AGE_S):
        if len(crashes) == MAX_REPORTED_CRASHES or not parts_left:
            break
        parts = [
            PresentPart(part=part, position=position)
            for part, position in crash.parts.items()
        ][:parts_left]
        parts_left -= len(parts)
        crashes.append(
            EndpointCrash(
                process=crash.process,
                age_ms=_age_ms(now_s, crash.at_s),
                parts=tuple(parts),
            )
        )
    quarantines = [
        PartQuarantine(part=quarantine.part_id, **_body_of(quarantine))
        for quarantine in table.quarantines.values()
        if now_ms - quarantine.since_ms < REPORTED_AGE_S * MS_PER_S
    ][-MAX_REPORTED_QUARANTINES:]
    if not crashes and not quarantines:
        return None
    parts = {present.part for crash in crashes for present in crash.parts}
    successes = [
        PartSuccess(
            part=part,
            age_ms=_age_ms(now_s, evidence.last_success_s(part)),
            count=count,
        )
        for part in sorted(parts)
        if (count := evidence.own_successes(part, node))
    ]
    return QuarantineReport(
        node=node,
        crashes=tuple(crashes),
        successes=tuple(successes),
        quarantines=tuple(quarantines),
    )


def quarantine_from_message(message: PartQuarantine) -> Quarantine:
    """Converts a message to a quarantine."""
    return Quarantine(
        message.part,
        message.since_ms,
        message.crashes,
        message.trials,
        message.next_trial_ms,
    )


def object_name(part_id: str) -> str:
    """Returns the name of the stored object of a part.

    Callers choose the identifiers of parts, so they are not used as names.
    """
    return hashlib.sha256(part_id.encode()).hexdigest()[:32]


def encode_quarantine(quarantine: Quarantine) -> dict[str, Any]:
    """Returns the body of the stored object of a quarantine."""
    return {"part": quarantine.part_id, **_body_of(quarantine)}


def decode_quarantine(body: Mapping[str, Any]) -> Quarantine:
    """Decodes the body of a stored quarantine.

    Raises:
      ConfigurationError: The body is not a quarantine.
    """
    part = body.get("part")
    values = [body.get(field) for field in _BODY_FIELDS]
    if not isinstance(part, str) or any(type(v) is not int for v in values):
        raise ConfigurationError([f"not a quarantine: {dict(body)!r:.200}"])
    return Quarantine(part, *values)


def encode_digest_key(key: bytes) -> dict[str, Any]:
    """Returns the body of the stored object of the key of digests."""
    return {"digest_key": key.hex()}


def decode_digest_key(body: Mapping[str, Any]) -> bytes:
    """Decodes the body of the stored key of digests.

    Raises:
      ConfigurationError: The body is not a key.
    """
    text = body.get("digest_key")
    try:
        key = bytes.fromhex(text) if isinstance(text, str) else b""
    except ValueError:
        key = b""
    if len(key) != KEY_BYTES:
        raise ConfigurationError(["not a key of digests"])
    return key


def _body_of(quarantine: Quarantine) -> dict[str, int]:
    return {field: getattr(quarantine, field) for field in _BODY_FIELDS}


def _age_ms(now_s: float, at_s: float) -> int:
    return max(0, int((now_s - at_s) * MS_PER_S))
