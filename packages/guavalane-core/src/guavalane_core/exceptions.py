"""Exceptions of guavalane, each with a stable error code."""

from __future__ import annotations


class GuavalaneError(Exception):
    """Base class of all errors.

    Attributes:
      code: Stable identifier that callers and operators may rely on.
      status: HTTP status with which the error is returned to a caller.
    """

    code = "internal_error"
    status = 500


class ConfigurationError(GuavalaneError):
    """Settings or a configuration are invalid.

    Attributes:
      errors: All validation errors, each with its key path.
    """

    code = "invalid_configuration"
    status = 422

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class GenerationConflictError(GuavalaneError):
    """A change is based on a configuration that is no longer in force."""

    code = "generation_conflict"
    status = 409


class MoveRefusedError(GuavalaneError):
    """A version move cannot be planned or confirmed as requested.

    Args:
      message: Human-readable reason.
      earliest_s: Earliest feasible deadline, as wall time in seconds; None
          if no deadline is feasible.
    """

    code = "move_refused"
    status = 422

    def __init__(self, message: str, earliest_s: float | None = None) -> None:
        super().__init__(message)
        self.earliest_s = earliest_s


class UnknownMoveError(GuavalaneError):
    """No move with this name exists."""

    code = "unknown_move"
    status = 404


class MessageError(GuavalaneError):
    """A message from another node is malformed or of unknown type."""

    code = "invalid_message"
    status = 400


class ProtocolVersionError(MessageError):
    """A message has an unsupported protocol version."""

    code = "foreign_version"


class ObjectApiError(GuavalaneError):
    """Base class of errors of the object API."""

    code = "object_api_error"
    status = 503


class ObjectNotFoundError(ObjectApiError):
    """The object does not exist.

    Attributes:
      era: Era of the object API that does not have it; 0 if it has no eras.
    """

    code = "object_not_found"
    status = 404

    def __init__(self, message: str, era: int = 0) -> None:
        super().__init__(message)
        self.era = era


class ObjectConflictError(ObjectApiError):
    """A conditional write was rejected because the object has changed."""

    code = "object_conflict"
    status = 409


class ObjectApiUnavailableError(ObjectApiError):
    """The object API did not accept the call; nothing was written."""

    code = "object_api_unavailable"


class WriteOutcomeUnknownError(ObjectApiError):
    """The response to a write was lost; the write may have taken effect."""

    code = "write_outcome_unknown"


class WatchGapError(ObjectApiError):
    """A watch cannot resume from its version; a new list is required."""

    code = "watch_gap"
    status = 410


class LeaseLostError(GuavalaneError):
    """The process does not hold the lease that the action requires."""

    code = "lease_lost"
    status = 409


class OrderFailedError(GuavalaneError):
    """An engine did not respond; the order may have been received."""

    code = "order_failed"
    status = 502


class StaleOrderError(GuavalaneError):
    """An engine rejected an order with an outdated fencing number."""

    code = "stale_order"
    status = 409


class OrderRefusedError(GuavalaneError):
    """An order is invalid; nothing was recorded or sent."""

    code = "order_refused"
    status = 422


class OrderConflictError(GuavalaneError):
    """A concurrent order for the engine was recorded instead of this one."""

    code = "order_conflict"
    status = 409


class OrderNotSentError(GuavalaneError):
    """An order was not sent because it could not be recorded."""

    code = "order_not_sent"
    status = 503


class UnknownOrderError(GuavalaneError):
    """No order exists for this endpoint."""

    code = "unknown_order"
    status = 404


class RequestError(GuavalaneError):
    """A caller's request failed.

    Args:
      message: Human-readable description.
      not_run: True only if no byte of the request was sent to an endpoint.
    """

    code = "request_failed"
    status = 500

    def __init__(self, message: str, *, not_run: bool) -> None:
        super().__init__(message)
        self.not_run = not_run


class InvalidRequestError(RequestError):
    """The request is malformed."""

    code = "invalid_request"
    status = 400


class BodyTimeoutError(RequestError):
    """No part of the body arrived in time."""

    code = "body_timeout"
    status = 408


class MemoryShortError(RequestError):
    """The memory for bodies is used up, and this one was not complete."""

    code = "memory_short"
    status = 503


class UnauthorizedError(RequestError):
    """The caller's API key is missing or unknown."""

    code = "unauthorized"
    status = 401


class ForbiddenRouteError(RequestError):
    """The organisation is not allowed to use the route."""

    code = "forbidden_route"
    status = 403


class UnknownRouteError(RequestError):
    """No route matches the request."""

    code = "unknown_route"
    status = 404


class UnknownRequestError(RequestError):
    """No request with this ID is known."""

    code = "unknown_request"
    status = 404


class RequestInProgressError(RequestError):
    """A request with this idempotency key is in progress."""

    code = "request_in_progress"
    status = 409


class IdempotencyKeyReusedError(RequestError):
    """The idempotency key was already used with a different body."""

    code = "idempotency_key_reused"
    status = 422


class OverloadedError(RequestError):
    """The queue of the organisation is full."""

    code = "overloaded"
    status = 429


class DeadlineUnreachableError(RequestError):
    """The request cannot be completed within its deadline."""

    code = "deadline_unreachable"
    status = 504


class DeadlineExceededError(RequestError):
    """The deadline expired while the request was running."""

    code = "deadline_exceeded"
    status = 504


class NoEndpointError(RequestError):
    """No endpoint is currently available for the request."""

    code = "no_endpoint"
    status = 503


class EndpointFailedError(RequestError):
    """All attempts failed and no retries remain."""

    code = "endpoint_failed"
    status = 502


class OutcomeUnknownError(RequestError):
    """It cannot be determined whether the request was executed."""

    code = "outcome_unknown"
    status = 502


class ClaimUnavailableError(RequestError):
    """The at-most-once claim could not be written."""

    code = "claim_unavailable"
    status = 503


class RecordingUnavailableError(RequestError):
    """The durable request could not be recorded."""

    code = "recording_unavailable"
    status = 503


class AnswerNotStoredError(RequestError):
    """The request completed, but its response was too large to store."""

    code = "answer_not_stored"
    status = 410


class LookupUnavailableError(RequestError):
    """No node is currently able to look up the request."""

    code = "lookup_unavailable"
    status = 503


class DrainingError(RequestError):
    """The node is shutting down and accepts no new requests."""

    code = "draining"
    status = 503


class StreamMovedError(RequestError):
    """The request continues on another node.

    Args:
      request_id: Identifier of the request.
      node: Name of that node; empty if unknown.
    """

    code = "stream_moved"
    status = 503

    def __init__(self, request_id: str, node: str = "") -> None:
        super().__init__(
            f"the request continues at {node or 'another node'}",
            not_run=False,
        )
        self.request_id = request_id
        self.node = node

    @property
    def location(self) -> str:
        """Path from which any node resumes the response."""
        hint = f"?node={self.node}" if self.node else ""
        return f"/v1/requests/{self.request_id}{hint}"


class AttemptError(GuavalaneError):
    """One attempt to send a request to an endpoint failed.

    Args:
      message: Human-readable description.
      sent: Whether the endpoint may have received any part of the request.
      leaving: Whether the endpoint reported that it is shutting down.
      overloaded: Whether the endpoint rejected the request because of its load.
    """

    code = "attempt_failed"
    status = 502

    def __init__(
        self,
        message: str,
        *,
        sent: bool,
        leaving: bool = False,
        overloaded: bool = False,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.leaving = leaving
        self.overloaded = overloaded
