"""What has happened to one request so far."""

from __future__ import annotations

import attrs


@attrs.define
class Progress:
    """What has happened to a request so far.

    Attributes:
      possibly_run: Whether an endpoint may have run it.
      arrivals: Attempts that may have reached an endpoint.
      runs: Attempts that may have run.
      tried: Endpoints that it was sent to.
      last_event_id: Last event that the caller got.
      counted_s: Estimate of the true time under which its usage was counted;
          None if it was not.
      first_event_s: Time from the request to the first event of its stream.
      longest_gap_s: Longest pause between two reads of its stream.
      last_status: Status of the last endpoint's answer; None without one.
      last_failure: Endpoint's own failure, whole, to be passed on at the end.
    """

    possibly_run: bool = False
    arrivals: int = 0
    runs: int = 0
    tried: set[str] = attrs.field(factory=set)
    last_event_id: str | None = None
    counted_s: float | None = None
    first_event_s: float | None = None
    longest_gap_s: float = 0.0
    last_status: int | None = None
    last_failure: tuple[int, list[tuple[str, str]], bytes] | None = None
