"""Progress of one request over its attempts."""

from __future__ import annotations

import attrs

from guavalane_core.forwarding import AttemptOutcome, Endpoint
from guavalane_core.moves.samples import AttemptSample
from guavalane_core.placement import Candidate, Work
from guavalane_entry.hedged_race import Entrant
from guavalane_entry.response_end import ResponseEnd

# Minimum remaining time for another attempt, in seconds.
MIN_ATTEMPT_TIME_S = 0.05


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
      has_begun_event: Whether a stream was broken off within an event that no
          attempt has sent since. A stream that ends without it is incomplete.
      events: Number of stream events that were forwarded.
      longest_gap_s: Longest gap between two reads of its stream, in seconds.
      last_outcome: Outcome of the attempt before; empty at the first one.
      last_status: Status of the last endpoint response; None without one.
      response_end: What ended the body that was forwarded; None before.
      last_failure: Status, headers and body of an endpoint's error response,
          forwarded if no attempt succeeds.
      active: Attempts in flight.
      has_hedge: Whether a hedged attempt was made.
    """

    possibly_run: bool = False
    arrivals: int = 0
    runs: int = 0
    tried: set[str] = attrs.field(factory=set)
    last_event_id: str | None = None
    counted_s: float | None = None
    first_event_s: float | None = None
    has_begun_event: bool = False
    events: int = 0
    longest_gap_s: float = 0.0
    last_outcome: str = ""
    last_status: int | None = None
    response_end: ResponseEnd | None = None
    last_failure: tuple[int, list[tuple[str, str]], bytes] | None = None
    active: int = 0
    has_hedge: bool = False


@attrs.define(eq=False)
class AttemptState:
    """State of one attempt at a request.

    Attributes:
      candidate: Endpoint with its load.
      is_hedge: Whether it is a hedged attempt.
      entrant: Part in a race of two attempts; None if there is no race.
      running: Whether its task has begun, which then takes back what was
          counted for the attempt.
      sent_s: Monotonic time at which it was sent, in seconds.
      uncached_tokens: Prompt tokens that the endpoint has to process.
      work: Its entry in the work table.
      sample: Measurement of its version.
      status: Status of the response; None without one.
      connection: Number of the connection of the response; None without one.
      end: What ends the body of the response; None without one.
      had_room: Whether the endpoint rejected it although it could have run it.
      responding: Whether the response has begun.
      output_s: Monotonic time at which its output began, in seconds; None
          before.
      served: Whether the endpoint has sent output for so long that the prompt
          cannot be what crashes it.
      outcome: How it ended; None before.
    """

    candidate: Candidate
    is_hedge: bool = False
    entrant: Entrant | None = None
    running: bool = False
    sent_s: float = 0.0
    uncached_tokens: int = 0
    work: Work | None = None
    sample: AttemptSample | None = None
    status: int | None = None
    connection: int | None = None
    end: ResponseEnd | None = None
    had_room: bool = False
    responding: bool = False
    output_s: float | None = None
    served: bool = False
    outcome: AttemptOutcome | None = None

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint of the attempt."""
        return self.candidate.endpoint

    @property
    def has_won(self) -> bool:
        """Whether its response may be forwarded."""
        return self.entrant is None or self.entrant.has_won

    @property
    def has_lost(self) -> bool:
        """Whether the response of another attempt is forwarded."""
        return self.entrant is not None and self.entrant.has_lost
