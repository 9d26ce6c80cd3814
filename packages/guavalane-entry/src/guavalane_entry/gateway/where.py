"""Explanation of where a request would be sent, without sending it."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Any

import attrs
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from guavalane_core.forwarding import (
    AttemptOutcome,
    CallerRequest,
    Prompt,
    Service,
)
from guavalane_entry.gateway.admission import admit, make_stopping_error
from guavalane_entry.gateway.capacity import service_capacity
from guavalane_entry.gateway.codec import read_parts
from guavalane_entry.gateway.errors import RefusalError
from guavalane_entry.gateway.exchange import (
    can_end_before_stop,
    make_unplaced_error,
)
from guavalane_entry.gateway.selection import (
    Exclusion,
    SelectionTrace,
    select_endpoint,
)
from guavalane_entry.gateway.view import NodeView

PATH = "/where"
# Digits after the point of costs in seconds and of units.
COST_DIGITS = 6
UNIT_DIGITS = 1


PARAMETERS = frozenset(
    {
        "host",
        "method",
        "model",
        "organisation",
        "parts",
        "path",
        "tokens",
        "tried",
    }
)


class InvalidQueryError(ValueError):
    """A parameter of the query is missing or invalid."""


@attrs.frozen(kw_only=True)
class WhereQuery:
    """Request that is asked about.

    Attributes:
      host: Host of the request.
      path: Path, also with a query.
      method: HTTP method.
      organisation: Name of the organisation; empty for none.
      prompt: Prompt; None if the request is not for a model.
      tried: Endpoints that are taken as tried before.
    """

    host: str
    path: str
    method: str = "POST"
    organisation: str = ""
    prompt: Prompt | None = None
    tried: frozenset[str] = frozenset()

    @classmethod
    def parse(cls, values: Mapping[str, str]) -> WhereQuery:
        """Parses the parameters of a query.

        Raises:
          InvalidQueryError: A parameter is missing, unknown or invalid.
        """
        unknown = sorted(values.keys() - PARAMETERS)
        if unknown:
            raise InvalidQueryError(f"unknown parameter {unknown[0]!r:.100}")
        host = values.get("host", "").partition(":")[0].lower()
        path = values.get("path", "")
        if not host or not path.startswith("/"):
            raise InvalidQueryError("expected a host and a path")
        return cls(
            host=host,
            path=path,
            method=values.get("method", "POST"),
            organisation=values.get("organisation", ""),
            prompt=_read_prompt(values),
            tried=frozenset(filter(None, values.get("tried", "").split(","))),
        )


def _read_prompt(values: Mapping[str, str]) -> Prompt | None:
    if "tokens" not in values:
        if "parts" in values:
            raise InvalidQueryError("prompt parts need token counts")
        return None
    try:
        input_tokens, output_tokens = map(int, values["tokens"].split(","))
        parts = read_parts(values.get("parts", ""))
    except ValueError:
        raise InvalidQueryError(
            "expected tokens=INPUT,OUTPUT and parts=ID:TOKENS,..."
        ) from None
    if min(input_tokens, output_tokens) < 0:
        raise InvalidQueryError("a number of tokens is negative")
    return Prompt(
        values.get("model", ""), input_tokens, output_tokens, parts=parts
    )


class WhereHandler:
    """Answers queries on the node's metrics listener.

    The decisions are made by the code that makes them for requests, on a copy
    of what they use up. Keys are neither taken nor shown.

    Args:
      view: Shared state of the node.
    """

    def __init__(self, view: NodeView) -> None:
        self._view = view

    async def serve(self, request: BaseRequest) -> Response:
        """Handles an HTTP request."""
        if request.method != "GET":
            return Response(status=405, headers={"Allow": "GET"})
        try:
            query = WhereQuery.parse(request.query)
        except InvalidQueryError as error:
            problem = {"code": "invalid_request", "detail": str(error)}
            return _as_json(problem, status=422)
        return _as_json(explain(self._view, query))


def explain(view: NodeView, query: WhereQuery) -> dict[str, Any]:
    """Returns where a request would be sent, and why, as plain data."""
    result: dict[str, Any] = {
        "node": view.settings.name,
        "configuration": None,
        "route": None,
        "organisation": None,
        "service": None,
        "candidates": [],
        "excluded": [],
    }
    table = view.table
    preview = view.copy_for_preview()
    if table is not None:
        result["configuration"] = table.configuration.version
        result["route"] = _describe_route(view, query)
        result["organisation"] = _describe_organisation(preview, query)
    request = _make_request(preview, query)
    refusal: RefusalError | None = None
    try:
        admitted = admit(preview, request)
        route, service = admitted.route, admitted.service
        if admitted.organisation is not None:
            result["organisation"]["units"] = admitted.units
    except RefusalError as error:
        refusal = error
        # The endpoints are of interest even so. The same random numbers lead
        # to the same service.
        preview = view.copy_for_preview()
        route = table and table.find_route(request.host, request.path)
        service = route and _find_service(preview, route)
    if service is None:
        result["outcome"] = _describe_refusal(refusal)
        return result
    result["service"] = _describe_service(view, service)
    trace = SelectionTrace()
    chosen = select_endpoint(
        preview, service, route.name, request, query.tried, trace
    )
    result["candidates"] = [
        {
            "endpoint": candidate.endpoint.endpoint_id,
            "zone": candidate.endpoint.zone,
            "version": candidate.endpoint.version,
            "requests": candidate.load.requests,
            "prefill_tokens": candidate.load.prefill_tokens,
            "cached_tokens": candidate.cached_tokens,
            "chosen": candidate is chosen,
            "cost": {name: _rounded(term) for name, term in terms.items()},
        }
        for terms, candidate in trace.costs
    ]
    result["excluded"] = [
        _describe_exclusion(preview, service, name, reason)
        for name, reason in sorted(trace.excluded.items())
    ]
    prompt = request.prompt
    expected = 0 if prompt is None else prompt.expected_output_tokens
    if refusal is None and not can_end_before_stop(view, route, expected):
        refusal = make_stopping_error(preview)
    if refusal is None and chosen is None:
        refusal = make_unplaced_error(preview, service, AttemptOutcome.NOT_SENT)
    if refusal is not None:
        result["outcome"] = _describe_refusal(refusal)
    else:
        result["outcome"] = {"sent_to": chosen.endpoint.endpoint_id}
    return result


def _make_request(view: NodeView, query: WhereQuery) -> CallerRequest:
    key = None
    if view.table is not None and query.organisation:
        organisation = view.table.named_organisation(query.organisation)
        if organisation is not None:
            key = min(organisation.keys, default=None)
    return CallerRequest(
        request_id="",
        method=query.method,
        host=query.host,
        target=query.path,
        headers=(),
        body=b"",
        arrived_s=view.timers.now(),
        key=key,
        prompt=query.prompt,
    )


def _find_service(view: NodeView, route: Any) -> Service | None:
    name = view.table.choose_service(route, view.rng)
    return view.table.configuration.services.get(name or "")


def _describe_route(view: NodeView, query: WhereQuery) -> dict[str, Any] | None:
    path = query.path.partition("?")[0]
    route = view.table.find_route(query.host, path)
    if route is None:
        return None
    return {
        "name": route.name,
        "delivery": route.delivery.value,
        "objective_s": route.latency_objective_s,
        "max_endpoints": route.max_endpoints,
        "services": {share.service: share.weight for share in route.shares},
    }


def _describe_organisation(
    view: NodeView, query: WhereQuery
) -> dict[str, Any] | None:
    organisation = view.table.named_organisation(query.organisation)
    if organisation is None:
        return None
    found = {"name": organisation.name, "units": None, "units_left": None}
    if organisation.rate_per_s > 0:
        levels = view.allotments.levels(view.timers.now())
        found["units_left"] = round(levels[organisation.name], UNIT_DIGITS)
        found["units_per_s"] = organisation.rate_per_s
    return found


def _describe_service(view: NodeView, service: Service) -> dict[str, Any]:
    capacity = service_capacity(view, service)
    return {
        "name": service.name,
        "endpoints": capacity.endpoints,
        "requests": capacity.requests,
        "slots": capacity.slots,
        "free": max(0, capacity.slots - capacity.requests),
    }


def _describe_exclusion(
    view: NodeView, service: Service, endpoint_id: str, reason: Exclusion
) -> dict[str, Any]:
    found: dict[str, Any] = {"endpoint": endpoint_id, "reason": reason.value}
    endpoint = view.directory.get(endpoint_id)
    if reason is Exclusion.RATE_LIMIT and endpoint is not None:
        wait_s = view.endpoint_wait_s(service, endpoint)
        found["wait_s"] = None if math.isinf(wait_s) else round(wait_s, 3)
    return found


def _describe_refusal(error: RefusalError) -> dict[str, Any]:
    return {
        "rejected": error.code,
        "status": error.status,
        "detail": str(error),
    }


def _rounded(term: Any) -> Any:
    return round(term, COST_DIGITS) if isinstance(term, float) else term


def _as_json(value: Any, status: int = 200) -> Response:
    return Response(
        status=status,
        body=json.dumps(value).encode(),
        content_type="application/json",
    )
