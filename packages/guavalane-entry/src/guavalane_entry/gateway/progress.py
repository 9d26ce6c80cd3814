"""Progress of one request over its attempts."""

from __future__ import annotations

import attrs

from guavalane_core.moves.samples import AttemptSample


@attrs.define
class Progress:
    """State of a request over its attempts.

    Attributes:
      possibly_run: Whether an endpoint may have run it.
      arrivals: Attempts that may have reached an endpoint.
      runs: Attempts that may have run.
      tried: IDs of the endpoints that were attempted.
      last_event_id: ID of the last event that the caller received.
      counted_s: Estimated true time at which its usage was counted; None if
          it was not counted.
      first_event_s: Time from arrival to the first stream event, in seconds.
      events: Number of stream events that were forwarded.
      longest_gap_s: Longest gap between two reads of its stream, in seconds.
      last_outcome: Outcome of the attempt before; empty at the first one.
      last_status: Status of the last endpoint response; None without one.
      last_connection: Number of the connection of the last endpoint response;
          None without one.
      last_failure: Status, headers and body of an endpoint's error response,
          forwarded if no attempt succeeds.
      output_s: Monotonic time at which the output of the current attempt began,
          in seconds; None before.
      served: Whether the endpoint of the current attempt has sent output for
          so long that the prompt cannot be what crashes it.
      sample: Measurement of the current attempt; None between attempts.
    """

    possibly_run: bool = False
    arrivals: int = 0
    runs: int = 0
    tried: set[str] = attrs.field(factory=set)
    last_event_id: str | None = None
    counted_s: float | None = None
    first_event_s: float | None = None
    events: int = 0
    longest_gap_s: float = 0.0
    last_outcome: str = ""
    last_status: int | None = None
    last_connection: int | None = None
    last_failure: tuple[int, list[tuple[str, str]], bytes] | None = None
    output_s: float | None = None
    served: bool = False
    sample: AttemptSample | None = None
