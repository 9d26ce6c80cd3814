"""Problem responses for errors of the gateway itself."""

from __future__ import annotations

import json

from guavalane_core.exceptions import RequestError
from guavalane_core.forwarding import CallerRequest
from guavalane_entry.gateway.components import GatewayComponents
from guavalane_entry.gateway.reply import Reply

PROBLEM_TYPE = "application/problem+json"


def problem_of(
    error: RequestError,
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Returns the status, headers and body that report an error."""
    headers = [("Content-Type", PROBLEM_TYPE)]
    retry_after_s = getattr(error, "retry_after_s", None)
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.2f}"))
    body = {
        "type": f"urn:guavalane:error:{error.code}",
        "title": error.code.replace("_", " "),
        "status": error.status,
        "code": error.code,
        "not_run": error.not_run,
        "detail": str(error),
    }
    return error.status, headers, json.dumps(body).encode()


async def refuse(
    components: GatewayComponents,
    request: CallerRequest,
    reply: Reply,
    error: RequestError,
) -> None:
    """Responds to a request with an error of the gateway itself."""
    components.metrics.count("refusals", error.code)
    components.log.request(
        "request.refused",
        request.request_id,
        code=error.code,
        status=error.status,
        reason=str(error),
        **getattr(error, "log_fields", {}),
    )
    await reply.send_response(*problem_of(error))
