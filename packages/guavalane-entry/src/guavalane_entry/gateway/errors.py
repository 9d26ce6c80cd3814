"""Errors that the gateway itself returns to callers."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from guavalane_core.exceptions import RequestError
from guavalane_core.quarantine import Quarantine
from guavalane_core.quarantine.parts import is_request


class RefusalError(RequestError):
    """The request was rejected: it has not run and will not run.

    Attributes:
      retry_after_s: Delay after which a retry may succeed, in seconds.
    """

    code = "overloaded"
    status = 503

    def __init__(
        self, message: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, not_run=True)
        self.retry_after_s = retry_after_s

    @property
    def log_fields(self) -> dict[str, Any]:
        """Further fields of the log line of the rejection."""
        return {}


class NotConfiguredError(RefusalError):
    """The node has not received a configuration yet."""

    code = "not_configured"


class StoppingError(RefusalError):
    """The node stops before it could answer the request."""

    code = "stopping"


class NoEndpointError(RefusalError):
    """No endpoint of the service accepts requests."""

    code = "no_endpoint"


class EndpointsLimitedError(RefusalError):
    """The endpoints have reached their rate limits, stated or while cold.

    Attributes:
      waits_s: Time until the limit of each endpoint admits a request of this
          node in seconds, infinite if it admits none.
    """

    code = "endpoints_limited"

    def __init__(
        self, waits_s: Mapping[str, float], retry_after_s: float
    ) -> None:
        super().__init__(
            f"{len(waits_s)} endpoints have reached the rate limits that they"
            " stated or that hold while they are cold, and no other one is"
            " free",
            retry_after_s,
        )
        self.waits_s = waits_s

    @property
    def log_fields(self) -> dict[str, Any]:
        """Further fields of the log line of the rejection."""
        waits_s = {
            name: round(wait_s, 3) if math.isfinite(wait_s) else None
            for name, wait_s in self.waits_s.items()
        }
        return {"limit_waits_s": waits_s}


class QuarantinedError(RefusalError):
    """The request, or a part of its prompt, crashes endpoints.

    Attributes:
      code: `request_quarantined` or `prompt_quarantined`.
      quarantine: Quarantine of the request or of the part.
    """

    def __init__(self, quarantine: Quarantine, retry_after_s: float) -> None:
        part = quarantine.part_id
        is_whole = is_request(part)
        super().__init__(
            f"{'this request' if is_whole else f'prompt part {part}'} crashed"
            f" endpoints {quarantine.crashes} times without a success in"
            " between",
            retry_after_s,
        )
        self.code = f"{'request' if is_whole else 'prompt'}_quarantined"
        self.quarantine = quarantine

    @property
    def log_fields(self) -> dict[str, Any]:
        """Further fields of the log line of the rejection."""
        return {"part": self.quarantine.part_id}


class AllotmentSpentError(RefusalError):
    """The organisation has exhausted its allotment.

    Attributes:
      draw: `exhausted`, or `reserved` if the units that are left are kept for
        more urgent requests.
    """

    code = "allotment_spent"
    status = 429

    def __init__(self, message: str, retry_after_s: float, draw: str) -> None:
        super().__init__(message, retry_after_s)
        self.draw = draw

    @property
    def log_fields(self) -> dict[str, Any]:
        """Further fields of the log line of the rejection."""
        return {
            "draw": self.draw,
            "retry_after_s": round(self.retry_after_s, 3),
        }


class MemoryShortError(RefusalError):
    """The memory for bodies is used up, and this one was not complete."""

    code = "memory_short"


class BodyTimeoutError(RefusalError):
    """The body made no progress for the configured idle timeout."""

    code = "body_timeout"
    status = 408


class UnknownRouteError(RefusalError):
    """No route matches the host and path."""

    code = "unknown_route"
    status = 404


class UnknownKeyError(RefusalError):
    """The key is missing or unknown."""

    code = "unknown_key"
    status = 401


class MalformedRequestError(RefusalError):
    """The request is malformed."""

    code = "invalid_request"
    status = 400


class BodyTooLargeError(RefusalError):
    """The body exceeds the configured limit."""

    code = "body_too_large"
    status = 413


class HeaderTooLargeError(RefusalError):
    """The header exceeds the configured limit."""

    code = "header_too_large"
    status = 431


class OutcomeUnknownError(RequestError):
    """The request was sent and may have run, but no response arrived."""

    code = "outcome_unknown"
    status = 502

    def __init__(self, message: str) -> None:
        super().__init__(message, not_run=False)


class ResponseTimeoutError(OutcomeUnknownError):
    """The request may have run, but its deadline has passed."""

    code = "answer_timeout"
    status = 504
