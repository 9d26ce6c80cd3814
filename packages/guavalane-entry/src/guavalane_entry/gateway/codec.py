"""Decoding of caller requests and encoding of endpoint headers."""

from __future__ import annotations

from collections.abc import Iterable

from guavalane_core.forwarding import CallerRequest, Prompt, PromptPart
from guavalane_core.header_text import printable_header
from guavalane_entry.gateway.errors import MalformedRequestError
from guavalane_entry.gateway.names import CONNECTION_HEADERS, HeaderNames

# Longest time limit that a caller may request, in seconds; larger values are
# rejected as caller errors.
MAX_TIME_LIMIT_S = 86_400.0
# Digits of a number of tokens; contexts of models have seven.
MAX_TOKEN_DIGITS = 9


class RequestCodec:
    """Converts between HTTP headers and the fields of a request.

    Args:
      names: Header names of the deployment.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._not_forwarded = names.not_forwarded

    @property
    def names(self) -> HeaderNames:
        """Header names of the deployment."""
        return self._names

    def read(
        self,
        method: str,
        host: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes | bytearray,
        arrived_s: float,
    ) -> CallerRequest:
        """Parses a request from a caller.

        Raises:
          MalformedRequestError: A header that the gateway reads is repeated
              or invalid.
        """
        names = self._names
        headers = list(headers)
        values = _read_single_headers(headers, names)
        if not target.startswith("/"):
            raise MalformedRequestError("the target is not a path")
        # A request has a host, whatever its sender says of the connection.
        dropped = self._not_forwarded | (
            _connection_options(headers) - {"host"}
        )
        return CallerRequest(
            request_id=values.get(names.request_id.lower(), ""),
            method=method,
            host=host.partition(":")[0].lower(),
            target=target,
            headers=tuple(
                (name, value)
                for name, value in headers
                if name.lower() not in dropped
            ),
            body=body,
            arrived_s=arrived_s,
            time_limit_s=_read_time_limit(
                values.get(names.time_left_ms.lower())
            ),
            key=_read_key(values.get("authorization"), names.key_scheme),
            prompt=self._read_prompt(values),
            resume_after=values.get(names.resume_after.lower()),
        )

    def endpoint_headers(
        self,
        request: CallerRequest,
        *,
        endpoint_id: str,
        organisation: str | None,
        time_left_s: float,
        urgency: int | None,
        resume_after: str | None,
    ) -> list[tuple[str, str]]:
        """Returns the request headers for one attempt at an endpoint."""
        names = self._names
        headers = [*request.headers, (names.expected_endpoint, endpoint_id)]
        left_ms = max(1, int(time_left_s * 1000))
        headers.append((names.time_left_ms, str(left_ms)))
        if organisation is not None:
            headers.append((names.organisation, organisation))
        if urgency is not None:
            headers.append((names.urgency, str(urgency)))
        if resume_after is not None:
            headers.append((names.resume_after, resume_after))
        return headers

    def response_headers(
        self, headers: Iterable[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Returns the endpoint response headers to forward to the caller."""
        headers = list(headers)
        dropped = CONNECTION_HEADERS | _connection_options(headers)
        return [
            (name, value)
            for name, value in headers
            if name.lower() not in dropped
        ]

    def _read_prompt(self, values: dict[str, str]) -> Prompt | None:
        names = self._names
        counts = values.get(names.token_counts.lower())
        if counts is None:
            return None
        try:
            input_tokens, output_tokens = map(_read_tokens, counts.split(","))
            hint = values.get(names.output_hint.lower())
            return Prompt(
                model=printable_header(values.get(names.model.lower(), "")),
                input_tokens=input_tokens,
                max_output_tokens=output_tokens,
                parts=read_parts(
                    printable_header(values.get(names.prompt_parts.lower(), ""))
                ),
                likely_output_tokens=None
                if hint is None
                else _read_tokens(hint),
            )
        except ValueError:
            raise MalformedRequestError(
                "the headers that describe the prompt cannot be understood"
            ) from None


def _read_single_headers(
    headers: list[tuple[str, str]], names: HeaderNames
) -> dict[str, str]:
    used = {
        name.lower()
        for name in (
            names.request_id,
            names.time_left_ms,
            names.model,
            names.token_counts,
            names.prompt_parts,
            names.output_hint,
            names.resume_after,
            "authorization",
            "host",
        )
    }
    values: dict[str, str] = {}
    for name, value in headers:
        key = name.lower()
        if key not in used:
            continue
        if key in values:
            raise MalformedRequestError(f"header {name} is doubled")
        values[key] = value.strip(" \t")
    return values


def _connection_options(headers: list[tuple[str, str]]) -> frozenset[str]:
    named = [
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    ]
    return frozenset(named)


def _read_time_limit(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        limit_s = float(text) / 1000
    except ValueError:
        raise MalformedRequestError("the time limit is not a number") from None
    if not 0 <= limit_s <= MAX_TIME_LIMIT_S:
        raise MalformedRequestError("the time limit is out of range")
    return limit_s


def _read_key(text: str | None, scheme: str) -> str | None:
    if text is None:
        return None
    given, _, key = text.partition(" ")
    return key.strip() if given.lower() == scheme.lower() else None


def read_parts(text: str) -> tuple[PromptPart, ...]:
    """Parses prompt parts of the form `ID:TOKENS,ID:TOKENS`.

    Raises:
      ValueError: A number of tokens is invalid.
    """
    parts = []
    for entry in text.split(","):
        if entry.strip():
            part_id, _, tokens = entry.strip().partition(":")
            parts.append(PromptPart(part_id, _read_tokens(tokens)))
    return tuple(parts)


def _read_tokens(text: str) -> int:
    """Parses a number of tokens.

    Raises:
      ValueError: It is not a decimal number, or too large. A negative one would
          be credited to the allotment of its organisation.
    """
    digits = text.strip()
    if not (digits.isascii() and digits.isdecimal()):
        raise ValueError(f"{text!r} is not a number of tokens")
    if len(digits) > MAX_TOKEN_DIGITS:
        raise ValueError(f"{text!r} has too many digits")
    return int(digits)
